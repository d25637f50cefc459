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

namespace {

constexpr std::uint64_t defaultSimulationCount = 6;
constexpr std::uint64_t defaultSeed = 33;

CellSimulationOptions makeOptions()
{
    CellSimulationOptions options;
    options.m_nodes = intFromEnvironment("CELL_NODES", 8);
    options.m_workers = intFromEnvironment("CELL_WORKERS", 40);
    options.m_jobs = intFromEnvironment("CELL_JOBS", 220);
    options.m_faults = 0;
    options.m_lateOrderShare = 0;
    options.m_needsApprovals = true;
    options.m_finishTime = { 14'000 };
    options.m_stopsAtViolation = !std::getenv("CELL_GO_ON");
    options.m_loadDuration = { 26'000 };
    options.m_recoveryDuration = { 30'000 };
    return options;
}

} // namespace

BOOST_AUTO_TEST_CASE(jobs_run_and_callers_are_served_after_a_loss_of_power_while_writes_stay_unanswered)
{
    CellSimulationOptions options = makeOptions();
    options.m_lossyWrites = { .m_share = static_cast<double>(fromEnvironment("CELL_LOSS", 45)) / 100, .m_start = { 6'000 }, .m_length = { 50'000 } };
    options.m_powerLoss = { .m_at = { 8'000 }, .m_downTime = { 1'300 }, .m_backlogJobs = intFromEnvironment("CELL_BACKLOG", 40) };
    options.m_rackWaves = { .m_count = intFromEnvironment("CELL_WAVES", 3), .m_first = { 7'000 }, .m_interval = { 7'000 }, .m_downTime = { 5'000 } };
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", defaultSimulationCount), options);
}

// The same load without faults: what the other case finds is not for want of capacity.
BOOST_AUTO_TEST_CASE(jobs_that_need_approvals_complete_without_faults)
{
    CellSimulationOptions options = makeOptions();
    options.m_recoveryDuration = { 14'000 };
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", 2), options);
}
