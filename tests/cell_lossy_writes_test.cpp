/**
 * @file cell_lossy_writes_test.cpp Simulations of issue 33: for tens of seconds the store leaves a large share of its writes unanswered and
 * carries them out seconds later, meanwhile all daemons lose power under a backlog, and racks of workers crash in waves.
 * CELL_SEED sets the first seed, CELL_WORLDS the number of simulations, CELL_LOSS the share of lost answers in percent, CELL_WAVES the
 * number of rack crashes, CELL_NODES, CELL_WORKERS, CELL_JOBS and CELL_BACKLOG the size; with CELL_GO_ON a violation does not end its simulation.
 */
#define BOOST_TEST_MODULE cell_lossy_writes
#include <boost/test/unit_test.hpp>

#include "cell_worlds.h"

using namespace bulrushloft;
using namespace bulrushloft::test;

BOOST_AUTO_TEST_CASE(jobs_run_and_callers_are_served_after_a_loss_of_power_while_writes_stay_unanswered)
{
    constexpr std::uint64_t defaultSeed = 33;
    constexpr std::uint64_t defaultSimulationCount = 6;
    CellSimulationOptions options = makeOutageOptions();
    options.m_lossyWrites = { .m_share = static_cast<double>(fromEnvironment("CELL_LOSS", 45)) / 100, .m_start = { 6'000 }, .m_length = { 50'000 } };
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", defaultSimulationCount), options);
}
