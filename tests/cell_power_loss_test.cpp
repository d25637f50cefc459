/**
 * @file cell_power_loss_test.cpp Simulations of the load of cell_lossy_writes_test.cpp with a store that answers: the same settings from the
 * environment, but CELL_LOSS. They show that the load fits the workers, with and without the loss of power and the rack crashes.
 */
#define BOOST_TEST_MODULE cell_power_loss
#include <boost/test/unit_test.hpp>

#include "cell_worlds.h"

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

constexpr std::uint64_t defaultSeed = 33;
constexpr std::uint64_t defaultSimulationCount = 3;

} // namespace

BOOST_AUTO_TEST_CASE(jobs_run_and_callers_are_served_after_a_loss_of_power)
{
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", defaultSimulationCount), makeOutageOptions());
}

BOOST_AUTO_TEST_CASE(jobs_that_need_approvals_complete_without_faults)
{
    CellSimulationOptions options = makeOutageOptions();
    options.m_powerLoss.m_at = {};
    options.m_rackWaves.m_count = 0;
    options.m_recoveryDuration = options.m_finishTime;
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", defaultSimulationCount), options);
}
