/**
 * @file cell_soak_test.cpp Simulations of a cell with random faults.
 * CELL_SEED sets the first seed, CELL_WORLDS the number of simulations; CELL_LOG turns on the log.
 * CELL_EXTRA sets further kinds of faults (bits of ExtraFault), CELL_FAULTS the number of faults, CELL_NODES and CELL_WORKERS the
 * number of daemons and workers, CELL_JOBS the number of jobs, CELL_LATE the share of late orders in percent, CELL_ROUND_MIN and
 * CELL_ROUND_MAX the length of a busy daemon's rounds in ms; with CELL_GO_ON a violation does not end its simulation.
 * Each error message begins with the settings that replay its simulation.
 */
#define BOOST_TEST_MODULE cell_soak
#include <boost/test/unit_test.hpp>

#include "cell_worlds.h"

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

constexpr std::uint64_t defaultSimulationCount = 25;
constexpr std::uint64_t defaultSeed = 20261204;

} // namespace

BOOST_AUTO_TEST_CASE(guarantees_hold_under_random_faults)
{
    CellSimulationOptions options;
    options.m_extraFaults = static_cast<std::uint32_t>(fromEnvironment("CELL_EXTRA", 0));
    options.m_stopsAtViolation = !std::getenv("CELL_GO_ON");
    options.m_faults = intFromEnvironment("CELL_FAULTS", options.m_faults);
    options.m_nodes = intFromEnvironment("CELL_NODES", options.m_nodes);
    options.m_workers = intFromEnvironment("CELL_WORKERS", options.m_workers);
    options.m_jobs = intFromEnvironment("CELL_JOBS", options.m_jobs);
    options.m_lateOrderShare = static_cast<double>(fromEnvironment("CELL_LATE", 3)) / 100;
    options.m_minRoundMs = intFromEnvironment("CELL_ROUND_MIN", static_cast<int>(options.m_minRoundMs));
    options.m_maxRoundMs = intFromEnvironment("CELL_ROUND_MAX", static_cast<int>(options.m_maxRoundMs));
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", defaultSimulationCount), options);
}

// Workers that do not guard their capacity shrink and grow again, half of them while they can't be reached.
BOOST_AUTO_TEST_CASE(guarantees_hold_while_the_capacity_of_workers_changes)
{
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", defaultSimulationCount), { .m_faults = 2, .m_capacityChanges = 16 });
}

BOOST_AUTO_TEST_CASE(all_jobs_complete_without_faults)
{
    CellSimulationOptions options { .m_seed = 1, .m_nodes = 3, .m_workers = 6, .m_jobs = 40, .m_faults = 0, .m_lateOrderShare = 0 };
    options.m_recoveryDuration = { 15'000 };
    const CellSimulationResult result = runCellSimulation(options);
    BOOST_TEST(result.m_violations.empty());
    BOOST_TEST(result.m_accepted == 40);
    BOOST_TEST(result.m_terms == 1U);
}
