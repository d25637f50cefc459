/**
 * @file cell_moved_queue_test.cpp Simulations in which versions of the configuration send queues from one pool to another, remove them and bring them back while
 * jobs last: nothing may run twice, nothing may start in a pool to which no version sends its queue, and each accepted job must end, whatever fails.
 * CELL_SEED sets the first seed, CELL_WORLDS the number of simulations of each case, CELL_NODES, CELL_WORKERS and CELL_JOBS the size,
 * CELL_FAULTS the number of random faults, CELL_LATE the share of late orders in percent; CELL_LOG turns on the log; with CELL_GO_ON a violation
 * does not end its simulation. --run_test=NAME runs one case. Each error message begins with the settings that replay its simulation.
 */
#define BOOST_TEST_MODULE cell_moved_queue
#include <boost/test/unit_test.hpp>

#include "cell_worlds.h"

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

constexpr std::uint64_t defaultSeed = 6'000;
constexpr std::uint64_t defaultSimulationCount = 3;

CellSimulationOptions makeMoveOptions(int lateOrderPercent)
{
    CellSimulationOptions options;
    options.m_nodes = intFromEnvironment("CELL_NODES", 5);
    options.m_workers = intFromEnvironment("CELL_WORKERS", 16);
    options.m_jobs = intFromEnvironment("CELL_JOBS", 90);
    options.m_faults = intFromEnvironment("CELL_FAULTS", 0);
    options.m_lateOrderShare = static_cast<double>(fromEnvironment("CELL_LATE", static_cast<std::uint64_t>(lateOrderPercent))) / 100;
    options.m_longRunShare = 0.15; // These outlast several moves.
    options.m_longRunTime = { 9'000 };
    options.m_maxTries = 20; // A queue may be away for a while.
    options.m_queueMoves = { .m_count = 6, .m_removal = { 1'200 } };
    options.m_recoveryDuration = { 60'000 };
    options.m_stopsAtViolation = !std::getenv("CELL_GO_ON");
    return options;
}

CellSimulationOptions makeApprovalOptions(int lateOrderPercent)
{
    CellSimulationOptions options = makeMoveOptions(lateOrderPercent);
    options.m_needsApprovals = true;
    options.m_workers = intFromEnvironment("CELL_WORKERS", 48);
    options.m_jobs = intFromEnvironment("CELL_JOBS", 120);
    options.m_recoveryDuration = { 90'000 };
    return options;
}

void runMoves(const CellSimulationOptions& options)
{
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", defaultSimulationCount), options);
}

} // namespace

// Nothing fails: each start is in the pool of the version in force, and no job that could run stands still for 3 s.
BOOST_AUTO_TEST_CASE(queues_move_there_and_back)
{
    CellSimulationOptions options = makeMoveOptions(0);
    options.m_queueMoves.m_isCalm = true;
    options.m_queueMoves.m_interval = { 2'500 };
    options.m_startTime = { 3'000 };
    runMoves(options);
}

// LOST (review/14): the tasks of a pool that loses its workers after the move stood still for good.
BOOST_AUTO_TEST_CASE(the_former_pool_loses_its_workers)
{
    CellSimulationOptions options = makeMoveOptions(0);
    options.m_queueMoves = { .m_count = 1, .m_first = { 4'000 }, .m_emptied = { 90'000 } }; // They don't return before the end.
    options.m_startTime = { 3'000 };
    runMoves(options);
}

BOOST_AUTO_TEST_CASE(leaders_are_killed)
{
    CellSimulationOptions options = makeMoveOptions(5);
    options.m_leaderKills = { { 3'010 }, { 6'050 }, { 9'200 }, { 12'020 }, { 15'500 }, { 18'300 } };
    runMoves(options);
}

// The next leaders know the removed queues from the records only.
BOOST_AUTO_TEST_CASE(leaders_are_killed_while_queues_are_away)
{
    CellSimulationOptions options = makeMoveOptions(0);
    options.m_queueMoves.m_count = 3;
    options.m_queueMoves.m_interval = { 6'000 };
    options.m_queueMoves.m_removal = { 5'000 };
    options.m_leaderKills = { { 4'000 }, { 7'000 }, { 10'000 }, { 13'000 }, { 16'000 } };
    runMoves(options);
}

BOOST_AUTO_TEST_CASE(all_daemons_lose_power)
{
    CellSimulationOptions options = makeMoveOptions(3);
    options.m_powerLoss = { .m_at = { 9'050 }, .m_downTime = { 1'300 } }; // Right after the third move.
    runMoves(options);
}

BOOST_AUTO_TEST_CASE(random_faults_and_late_orders)
{
    CellSimulationOptions options = makeMoveOptions(5);
    options.m_faults = intFromEnvironment("CELL_FAULTS", 8);
    runMoves(options);
}

BOOST_AUTO_TEST_CASE(zone_of_the_leader_is_cut_off)
{
    CellSimulationOptions options = makeMoveOptions(0);
    options.m_nodes = intFromEnvironment("CELL_NODES", 7);
    options.m_zoneCut = { .m_count = 1, .m_length = { 12'000 } };
    runMoves(options);
}

BOOST_AUTO_TEST_CASE(store_is_away_for_nine_seconds)
{
    CellSimulationOptions options = makeMoveOptions(0);
    options.m_storeOutage = { .m_start = { 5'000 }, .m_length = { 9'000 } };
    runMoves(options);
}

// Orders to the former pool are on their way while the version comes, and their workers start again.
BOOST_AUTO_TEST_CASE(workers_crash_and_start_again)
{
    CellSimulationOptions options = makeMoveOptions(10);
    options.m_crashSeries = { .m_count = 6, .m_share = 0.2, .m_isRenamed = false };
    runMoves(options);
}

// Gangs, tickets, and requests for approvals that are under way.
BOOST_AUTO_TEST_CASE(queues_with_approvals)
{
    CellSimulationOptions options = makeApprovalOptions(0);
    options.m_queueMoves.m_isCalm = true;
    runMoves(options);
}

BOOST_AUTO_TEST_CASE(queues_with_approvals_while_leaders_are_killed)
{
    CellSimulationOptions options = makeApprovalOptions(3);
    options.m_leaderKills = { { 6'050 }, { 12'020 }, { 18'300 } };
    runMoves(options);
}

// LOST (review/11): leaders that had never seen a removed queue sent starts without a ticket until it came back.
BOOST_AUTO_TEST_CASE(queues_with_approvals_are_away_while_leaders_are_killed)
{
    CellSimulationOptions options = makeApprovalOptions(0);
    options.m_queueMoves = { .m_count = 1, .m_first = { 6'000 }, .m_removal = { 24'000 }, .m_removalShare = 1 };
    options.m_leaderKills = { { 7'000 }, { 12'000 } };
    options.m_startTime = { 7'000 }; // The platform's bound for a job with nothing running: 3 s, after 4 s of calm.
    runMoves(options);
}

// Caps hold over both pools, and change with each version.
BOOST_AUTO_TEST_CASE(customers_with_caps)
{
    CellSimulationOptions options = makeMoveOptions(5);
    options.m_jobs = intFromEnvironment("CELL_JOBS", 60);
    options.m_caps = { .m_customers = 3, .m_cpuMilli = { 6'000, 12'000, 8'000 }, .m_overrun = 0.1, .m_changes = 0 };
    options.m_leaderKills = { { 6'050 }, { 12'020 } };
    runMoves(options);
}
