/**
 * @file cell_worker_connections_test.cpp Simulations of issue 45: calls to workers need connections, of which a worker accepts a limited number. A daemon
 * that loses power leaves its own open for good. Jobs that could run must start although their first worker can't be given orders.
 * CELL_SEED sets the first seed, CELL_WORLDS the number of simulations of each case, CELL_NODES, CELL_WORKERS and CELL_JOBS the size, CELL_CAP the
 * connections that a worker accepts, CELL_ORDER_POOL and CELL_SYNC_POOL those of a daemon to a worker; CELL_LOG turns on the log; with CELL_GO_ON a violation
 * does not end its simulation. CMakeLists.txt makes each case a test of its own.
 */
#define BOOST_TEST_MODULE cell_worker_connections
#include <boost/test/unit_test.hpp>

#include "cell_worlds.h"

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

constexpr std::uint64_t defaultSeed = 4'500;
constexpr std::uint64_t defaultSimulationCount = 4;
constexpr Duration loadAfter { 12'000 }; ///< The load goes on for this long after the last fault.
constexpr Duration finishTime { 14'000 }; ///< The platform's finish_s.
constexpr Duration longestLease { 6'000 }; ///< Of a worker; a start without an answer may run until it ends.
constexpr Duration standstill { 3'000 }; ///< From here on the platform counts a job as standing still.
constexpr int jobsPerSecond = 4;
constexpr int ampleCap = 64; ///< As on the platform's sites.
constexpr int leaderCap = 40; ///< 12 leaders with a pool for orders and one for syncs open more, with one pool of four fewer.
constexpr int daemonCap = 32; ///< The same for 24 daemons, most of which don't lead.
constexpr Duration earlyStart { 500 }; ///< The leader then has a connection for syncs to each worker, but few for orders.

/** Runs simulations with faults of connections. @param startTime See CellSimulationOptions. */
void run(ConnectionFaults faults, Duration startTime = {})
{
    CellSimulationOptions options = makeLongRunOptions();
    faults.m_workerCap = intFromEnvironment("CELL_CAP", faults.m_workerCap);
    faults.m_orderPool = intFromEnvironment("CELL_ORDER_POOL", faults.m_orderPool);
    faults.m_syncPool = intFromEnvironment("CELL_SYNC_POOL", faults.m_syncPool);
    options.m_connectionFaults = faults;
    options.m_longRunShare = 0;
    options.m_startTime = startTime;
    options.m_finishTime = finishTime;
    options.m_loadDuration = faults.m_start + faults.m_interval * std::max(faults.m_powerLossCount, faults.m_silenceCount) + loadAfter;
    options.m_recoveryDuration = finishTime + standstill + Duration { 5'000 };
    options.m_jobs = intFromEnvironment("CELL_JOBS", static_cast<int>(options.m_loadDuration.m_ms * jobsPerSecond / 1'000));
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", defaultSimulationCount), options);
}

} // namespace

BOOST_AUTO_TEST_CASE(jobs_run_without_faults)
{
    run({ .m_workerCap = ampleCap }, longestLease + standstill);
}

BOOST_AUTO_TEST_CASE(jobs_run_while_leaders_are_killed_in_series)
{
    run({ .m_workerCap = ampleCap, .m_powerLossCount = 12, .m_isKill = true });
}

// After ten losses of power, five of 48 workers reset new connections; their tasks were never started elsewhere.
BOOST_AUTO_TEST_CASE(jobs_run_after_leaders_lose_power_in_series)
{
    run({ .m_workerCap = leaderCap, .m_powerLossCount = 12 });
}

BOOST_AUTO_TEST_CASE(jobs_run_after_daemons_lose_power_in_series)
{
    run({ .m_workerCap = daemonCap, .m_powerLossCount = 24, .m_hitsLeader = false, .m_interval = { 1'500 } });
}

// The answered syncs renewed the lease, so that starts without an answer were never withdrawn.
BOOST_AUTO_TEST_CASE(jobs_run_elsewhere_when_workers_answer_syncs_only)
{
    run({ .m_workerCap = ampleCap, .m_sickShare = 0.2 }, longestLease + standstill);
}

// A start that is withdrawn from such a worker may still arrive there; no task may run twice for it.
BOOST_AUTO_TEST_CASE(tasks_run_once_when_workers_answer_syncs_only_and_carry_orders_out_late)
{
    run({ .m_workerCap = ampleCap, .m_sickShare = 0.2, .m_lateShare = 0.5 }, longestLease + standstill);
}

BOOST_AUTO_TEST_CASE(jobs_run_elsewhere_when_workers_close_new_connections)
{
    run({ .m_workerCap = ampleCap, .m_powerLossCount = 1, .m_sickShare = 0.2, .m_doSickTakeOrders = true, .m_closedShare = 1 }, longestLease + standstill);
}

BOOST_AUTO_TEST_CASE(jobs_run_elsewhere_when_workers_keep_connections_and_close_new_ones)
{
    run({ .m_workerCap = ampleCap, .m_start = earlyStart, .m_sickShare = 0.2, .m_doSickTakeOrders = true, .m_closedShare = 1 }, longestLease + standstill);
}

BOOST_AUTO_TEST_CASE(jobs_run_elsewhere_when_workers_close_some_connections)
{
    run({ .m_workerCap = ampleCap, .m_powerLossCount = 1, .m_sickShare = 0.3, .m_doSickTakeOrders = true, .m_closedShare = 0.6 }, longestLease + standstill);
}

BOOST_AUTO_TEST_CASE(jobs_run_after_connections_go_silent)
{
    run({ .m_workerCap = ampleCap, .m_silenceCount = 4, .m_silentShare = 0.5 }, longestLease + standstill);
}

BOOST_AUTO_TEST_CASE(guarantees_hold_under_random_faults)
{
    CellSimulationOptions options;
    options.m_connectionFaults = { .m_workerCap = intFromEnvironment("CELL_CAP", ampleCap), .m_orderPool = intFromEnvironment("CELL_ORDER_POOL", 6), .m_syncPool = intFromEnvironment("CELL_SYNC_POOL", 2), .m_powerLossCount = 2, .m_hitsLeader = false, .m_interval = { 6'000 }, .m_silenceCount = 2, .m_silentShare = 0.3 };
    options.m_faults = intFromEnvironment("CELL_FAULTS", options.m_faults);
    options.m_stopsAtViolation = !std::getenv("CELL_GO_ON");
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", defaultSimulationCount), options);
}
