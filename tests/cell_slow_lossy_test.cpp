/**
 * @file cell_slow_lossy_test.cpp Simulations of issue 36: for seconds the store is slow and carries a share of its writes out late. Once it is
 * sound, its partitions must not stay occupied by attempts of before, and callers must be served within seconds.
 * CELL_SEED sets the first seed, CELL_WORLDS the number of simulations, CELL_SLOW the factor by which the store is slower, CELL_SHARE the
 * share of late writes in percent, CELL_LENGTH the length of the period in ms, CELL_TRIES how often a client submits a job, CELL_NODES,
 * CELL_WORKERS and CELL_JOBS the size; CELL_TRAFFIC prints the attempts and the waiting time of each partition for each second; with
 * CELL_GO_ON a violation does not end its simulation.
 */
#define BOOST_TEST_MODULE cell_slow_lossy
#include <boost/test/unit_test.hpp>

#include "cell_worlds.h"

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

constexpr std::uint64_t defaultSeed = 36;
constexpr std::uint64_t defaultSimulationCount = 3;
constexpr Duration periodStart { 6'000 };
constexpr Duration loadAfterPeriod { 14'000 }; // Longer than 12 s, so that jobs are submitted late enough for RECOVER.
constexpr std::int64_t jobsPerSecond = 18; // As on the site of the incident.

CellSimulationOptions makeSlowLossyOptions(Duration length)
{
    CellSimulationOptions options;
    options.m_slowLossyStore = { .m_slowFactor = intFromEnvironment("CELL_SLOW", 60), .m_lateShare = static_cast<double>(fromEnvironment("CELL_SHARE", 35)) / 100, .m_start = periodStart, .m_length = { intFromEnvironment("CELL_LENGTH", static_cast<int>(length.m_ms)) } };
    options.m_loadDuration = periodStart + options.m_slowLossyStore.m_length + loadAfterPeriod;
    options.m_nodes = intFromEnvironment("CELL_NODES", 9);
    options.m_workers = intFromEnvironment("CELL_WORKERS", 60);
    options.m_jobs = intFromEnvironment("CELL_JOBS", static_cast<int>(jobsPerSecond * options.m_loadDuration.m_ms / 1'000));
    options.m_maxTries = intFromEnvironment("CELL_TRIES", 1);
    options.m_faults = 0;
    options.m_lateOrderShare = 0;
    options.m_finishTime = { 14'000 }; // The platform's finish_s.
    options.m_recoveryDuration = { 30'000 };
    options.m_stopsAtViolation = !std::getenv("CELL_GO_ON");
    options.m_printsTraffic = std::getenv("CELL_TRAFFIC") != nullptr;
    return options;
}

/** @return Options that a seed determines: another factor, share and length, and kills of leaders. */
CellSimulationOptions makeRandomOptions(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](std::int64_t low, std::int64_t high) { return std::uniform_int_distribution<std::int64_t>(low, high)(random); };
    CellSimulationOptions options = makeSlowLossyOptions({ draw(4'000, 40'000) });
    options.m_slowLossyStore.m_slowFactor = draw(10, 80);
    options.m_slowLossyStore.m_lateShare = static_cast<double>(draw(0, 50)) / 100;
    for (std::int64_t kills = draw(1, 4); kills > 0; --kills)
        options.m_leaderKills.push_back(periodStart + Duration { draw(0, options.m_slowLossyStore.m_length.m_ms) });
    return options;
}

} // namespace

BOOST_AUTO_TEST_CASE(callers_are_served_soon_after_the_store_is_sound)
{
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", defaultSimulationCount), makeSlowLossyOptions({ 14'000 }));
}

BOOST_AUTO_TEST_CASE(callers_are_served_soon_after_the_store_is_sound_although_all_daemons_lost_power)
{
    CellSimulationOptions options = makeSlowLossyOptions({ 14'000 });
    options.m_powerLoss = { .m_at = periodStart + Duration { 3'000 }, .m_downTime = { 1'300 } };
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", defaultSimulationCount), options);
}

BOOST_AUTO_TEST_CASE(callers_are_served_soon_after_any_slow_and_lossy_period_with_kills_of_leaders)
{
    const std::uint64_t firstSeed = fromEnvironment("CELL_SEED", defaultSeed);
    for (std::uint64_t seed = firstSeed; seed < firstSeed + fromEnvironment("CELL_WORLDS", defaultSimulationCount); ++seed)
        runSimulations(seed, 1, makeRandomOptions(seed));
}
