/**
 * @file cell_admission_test.cpp Simulations of an overloaded cell whose leader refuses submissions, with random faults of daemons, network and store: a job
 * all of whose submissions were refused never runs, and an accepted one ends.
 * CELL_SEED sets the first seed, CELL_WORLDS the number of simulations, CELL_JOBS the load, CELL_FAULTS the number of faults. Each error message begins
 * with the settings that replay its simulation.
 */
#define BOOST_TEST_MODULE cell_admission
#include <boost/test/unit_test.hpp>

#include "cell_worlds.h"

using namespace bulrushloft;
using namespace bulrushloft::test;

BOOST_AUTO_TEST_CASE(refused_jobs_never_run_and_accepted_ones_end)
{
    constexpr std::uint64_t defaultSeed = 700;
    constexpr std::uint64_t defaultSimulationCount = 10;
    openLog({ .m_level = std::getenv("CELL_LOG") ? LogLevel::Info : LogLevel::Off, .m_process = "cell" });
    CellSimulationOptions options;
    options.m_nodes = 5;
    options.m_workers = 6;
    options.m_jobs = intFromEnvironment("CELL_JOBS", 300); // More than the workers can carry out in time.
    options.m_faults = intFromEnvironment("CELL_FAULTS", 6);
    options.m_customerWeight = 1;
    options.m_maxTries = 4;
    options.m_recoveryDuration = { 120'000 };
    options.m_leaderKills = { { 9'000 } };
    const std::uint64_t first = fromEnvironment("CELL_SEED", defaultSeed);
    const std::uint64_t count = fromEnvironment("CELL_WORLDS", defaultSimulationCount);
    int overLimit = 0;
    int refused = 0;
    int accepted = 0;
    for (options.m_seed = first; options.m_seed < first + count; ++options.m_seed) {
        const CellSimulationResult result = runCellSimulation(options);
        overLimit += result.m_overLimit;
        refused += result.m_refused;
        accepted += result.m_accepted;
        for (const std::string& violation : result.m_violations)
            BOOST_ERROR("CELL_SEED=" << options.m_seed << " CELL_WORLDS=1: " << violation);
    }
    std::cout << count << " simulations from seed " << first << ": " << accepted << " jobs accepted, " << refused << " refused for good, " << overLimit << " refusals as over the rate\n";
    BOOST_TEST(overLimit > 0); // Otherwise nothing was tested.
    BOOST_TEST(refused > 0);
}
