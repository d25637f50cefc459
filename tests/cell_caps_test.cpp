/**
 * @file cell_caps_test.cpp Simulations in which no start may raise what a customer has running above its cap by more than the permitted overrun and one
 * task, whatever fails: losses of power, cuts of zones, a store that is away, lost answers, orders carried out late, killed leaders, and caps that change.
 * CELL_SEED sets the first seed, CELL_WORLDS the number of simulations of each case, CELL_NODES, CELL_WORKERS and CELL_JOBS the size,
 * CELL_FAULTS the number of random faults, CELL_LATE the share of late orders in percent; CELL_LOG turns on the log; with CELL_GO_ON a violation
 * does not end its simulation. --run_test=NAME runs one case. Each error message begins with the settings that replay its simulation.
 */
#define BOOST_TEST_MODULE cell_caps
#include <boost/test/unit_test.hpp>

#include "cell_worlds.h"

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

constexpr std::uint64_t defaultSeed = 4'000;
constexpr std::uint64_t defaultSimulationCount = 4;

CellSimulationOptions makeCapOptions(int lateOrderPercent)
{
    CellSimulationOptions options;
    options.m_nodes = intFromEnvironment("CELL_NODES", 5);
    options.m_workers = intFromEnvironment("CELL_WORKERS", 10);
    options.m_jobs = intFromEnvironment("CELL_JOBS", 75);
    options.m_faults = intFromEnvironment("CELL_FAULTS", 0);
    options.m_lateOrderShare = static_cast<double>(fromEnvironment("CELL_LATE", static_cast<std::uint64_t>(lateOrderPercent))) / 100;
    options.m_caps = { .m_customers = 3, .m_overrun = 0, .m_changes = 4 };
    options.m_recoveryDuration = { 60'000 };
    options.m_stopsAtViolation = !std::getenv("CELL_GO_ON");
    return options;
}

/** Runs simulations one by one, so that each must have brought customers to their caps. */
void runCaps(const CellSimulationOptions& options)
{
    const std::uint64_t seed = fromEnvironment("CELL_SEED", defaultSeed);
    const std::uint64_t count = fromEnvironment("CELL_WORLDS", defaultSimulationCount);
    openLog({ .m_level = std::getenv("CELL_LOG") ? LogLevel::Info : LogLevel::Off, .m_process = "cell" });
    constexpr double rounding = 1e-9;
    double highest = 0;
    std::uint64_t full = 0;
    std::uint64_t starts = 0;
    for (CellSimulationOptions each = options; each.m_seed < seed + count; ++each.m_seed) {
        each.m_seed = std::max(each.m_seed, seed);
        const CellSimulationResult result = runCellSimulation(each);
        for (const std::string& violation : result.m_violations)
            BOOST_ERROR("CELL_SEED=" << each.m_seed << " CELL_WORLDS=1: " << violation);
        BOOST_TEST(result.m_fullCapStarts > 0U);
        // The scheduler places up to the permitted overrun, so a single attempt that it has not counted shows.
        BOOST_TEST(result.m_highestCapUse <= 1 + options.m_caps.m_overrun + rounding, "CELL_SEED=" << each.m_seed << " CELL_WORLDS=1: " << result.m_highestCapUse << " of a cap in use");
        highest = std::max(highest, result.m_highestCapUse);
        full += result.m_fullCapStarts;
        starts += result.m_startedAttempts;
    }
    std::cout << count << " simulations from seed " << seed << ": " << starts << " attempts, " << full << " brought a customer to its cap, at most " << highest << " of a cap in use\n";
}

} // namespace

BOOST_AUTO_TEST_CASE(caps_that_change)
{
    runCaps(makeCapOptions(0));
}

BOOST_AUTO_TEST_CASE(random_faults_and_late_orders)
{
    CellSimulationOptions options = makeCapOptions(5);
    options.m_faults = intFromEnvironment("CELL_FAULTS", 8);
    runCaps(options);
}

BOOST_AUTO_TEST_CASE(all_daemons_lose_power)
{
    CellSimulationOptions options = makeCapOptions(3);
    options.m_powerLoss = { .m_at = { 8'000 }, .m_downTime = { 1'300 } };
    runCaps(options);
}

BOOST_AUTO_TEST_CASE(zone_of_the_leader_is_cut_off)
{
    CellSimulationOptions options = makeCapOptions(0);
    options.m_nodes = intFromEnvironment("CELL_NODES", 7);
    options.m_zoneCut = { .m_count = 1, .m_length = { 12'000 } };
    runCaps(options);
}

BOOST_AUTO_TEST_CASE(store_is_away_for_nine_seconds)
{
    CellSimulationOptions options = makeCapOptions(0);
    options.m_storeOutage = { .m_length = { 9'000 } };
    runCaps(options);
}

BOOST_AUTO_TEST_CASE(answers_of_the_store_are_lost)
{
    CellSimulationOptions options = makeCapOptions(0);
    options.m_lossyWrites = { .m_share = 0.35, .m_start = { 4'000 }, .m_length = { 10'000 } };
    runCaps(options);
}

// The new leader must count attempts whose record is stored and whose start may be on its way.
BOOST_AUTO_TEST_CASE(leaders_are_killed)
{
    CellSimulationOptions options = makeCapOptions(10);
    options.m_leaderKills = { { 3'000 }, { 7'010 }, { 7'500 }, { 12'020 }, { 16'000 } };
    runCaps(options);
}

// Plans that VMs have stored themselves are unread in a silent partition, while their progress is read.
BOOST_AUTO_TEST_CASE(partitions_are_silent_as_the_leader_is_killed)
{
    CellSimulationOptions options = makeCapOptions(0);
    options.m_leaderKills = { { 2'000 }, { 4'000 }, { 6'000 } }; // VMs store submissions themselves until the next term leads.
    options.m_longRunShare = 0.15; // Of these jobs, tasks run when the plans are unread.
    options.m_longRunTime = { 10'000 };
    options.m_jobs = intFromEnvironment("CELL_JOBS", 36);
    options.m_loadDuration = { 12'000 };
    options.m_recoveryDuration = { 90'000 };
    options.m_silentPartitions = { .m_topics = { "keyed.jobs" }, .m_length = { 9'000 }, .m_leaderKillDelay = { 200 }, .m_mustTasksEnd = false, .m_mustLeasesHold = false };
    runCaps(options);
}

// What runs stays within the permitted overrun, which the scheduler uses for tasks that are placed and don't run yet.
BOOST_AUTO_TEST_CASE(caps_with_an_overrun)
{
    CellSimulationOptions options = makeCapOptions(7);
    options.m_caps.m_overrun = 0.1;
    options.m_faults = intFromEnvironment("CELL_FAULTS", 8);
    runCaps(options);
}

// Gangs start whole, and steps at the cap request no approvals.
BOOST_AUTO_TEST_CASE(gangs_and_approvals)
{
    CellSimulationOptions options = makeCapOptions(3);
    options.m_needsApprovals = true;
    options.m_workers = intFromEnvironment("CELL_WORKERS", 24);
    options.m_jobs = intFromEnvironment("CELL_JOBS", 140);
    options.m_caps.m_cpuMilli = { 60'000, 90'000, 70'000 };
    options.m_leaderKills = { { 7'010 }, { 14'020 } };
    options.m_recoveryDuration = { 90'000 };
    runCaps(options);
}

BOOST_AUTO_TEST_CASE(workers_crash_and_start_again)
{
    CellSimulationOptions options = makeCapOptions(10);
    options.m_crashSeries = { .m_count = 6, .m_share = 0.3, .m_isRenamed = false };
    runCaps(options);
}
