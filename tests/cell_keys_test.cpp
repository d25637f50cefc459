/**
 * @file cell_keys_test.cpp Simulations in which the operator replaces keys of customers while daemons lose power, the store, each other or time: no call
 * that was sent later than the limit with a removed key may pass on any of them. Calm cells must accept valid keys.
 * CELL_SEED sets the first seed, CELL_WORLDS the number of simulations of each case, CELL_NODES, CELL_WORKERS and CELL_JOBS the size,
 * CELL_FAULTS the number of random faults; CELL_LOG turns on the log; with CELL_GO_ON a violation does not end its simulation.
 */
#define BOOST_TEST_MODULE cell_keys
#include <boost/test/unit_test.hpp>

#include "cell_worlds.h"

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

constexpr std::uint64_t defaultSeed = 7'000;
constexpr std::uint64_t defaultSimulationCount = 8;

/** @return Options of simulations with customers, without further faults. */
CellSimulationOptions makeKeyOptions()
{
    CellSimulationOptions options;
    options.m_nodes = intFromEnvironment("CELL_NODES", 7);
    options.m_workers = intFromEnvironment("CELL_WORKERS", 8);
    options.m_jobs = intFromEnvironment("CELL_JOBS", 30);
    options.m_faults = intFromEnvironment("CELL_FAULTS", 0);
    options.m_lateOrderShare = 0;
    options.m_keyChanges = { .m_customers = 5 };
    options.m_stopsAtViolation = !std::getenv("CELL_GO_ON");
    options.m_loadDuration = { 30'000 };
    return options;
}

void run(const CellSimulationOptions& options)
{
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", defaultSimulationCount), options);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_calm_cell_accepts_valid_keys)
{
    run(makeKeyOptions());
}

BOOST_AUTO_TEST_CASE(suspended_daemons)
{
    CellSimulationOptions options = makeKeyOptions();
    options.m_keyChanges.m_suspensions = 8;
    run(options);
}

BOOST_AUTO_TEST_CASE(records_that_can_not_be_decoded)
{
    CellSimulationOptions options = makeKeyOptions();
    options.m_keyChanges.m_unreadableShare = 0.5;
    options.m_keyChanges.m_suspensions = 3;
    run(options);
}

BOOST_AUTO_TEST_CASE(store_away_for_all)
{
    for (const bool isUnresponsive : { true, false }) {
        CellSimulationOptions options = makeKeyOptions();
        options.m_storeOutage = { .m_length = { 9'000 }, .m_isUnresponsive = isUnresponsive };
        run(options);
    }
}

BOOST_AUTO_TEST_CASE(leader_and_further_daemons_cut_off)
{
    for (const StoreCut store : { StoreCut::All, StoreCut::None }) {
        for (const CutDirection direction : { CutDirection::Both, CutDirection::FromOthers, CutDirection::ToOthers }) {
            CellSimulationOptions options = makeKeyOptions();
            options.m_zoneCut = { .m_count = 2, .m_start = { 4'000 }, .m_length = { 12'000 }, .m_pause = { 3'000 }, .m_companions = 2, .m_direction = direction, .m_store = store };
            options.m_loadDuration = { 34'000 };
            run(options);
        }
    }
}

BOOST_AUTO_TEST_CASE(loss_of_power_and_lost_answers)
{
    CellSimulationOptions options = makeKeyOptions();
    options.m_powerLoss = { .m_at = { 8'000 } };
    options.m_lossyWrites = { .m_share = 0.4, .m_start = { 6'000 }, .m_length = { 20'000 } };
    run(options);
}

BOOST_AUTO_TEST_CASE(random_faults)
{
    CellSimulationOptions options = makeKeyOptions();
    options.m_faults = intFromEnvironment("CELL_FAULTS", 14);
    options.m_extraFaults = BusyFault | SlowPeersFault | LeaderKillsFault | SplitFault;
    options.m_keyChanges.m_unreadableShare = 0.15;
    options.m_keyChanges.m_suspensions = 3;
    run(options);
}
