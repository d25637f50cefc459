/**
 * @file cell_zone_cut_test.cpp Simulations of issue 39: the leader, alone or with another daemon, is cut off from the others and the store for longer
 * than a new leader waits for earlier leases. Each of the two leaders reaches another half of the workers; no task may run under both.
 * CELL_SEED sets the first seed, CELL_WORLDS the number of simulations of each case, CELL_NODES, CELL_WORKERS and CELL_JOBS the size,
 * CELL_FAULTS the number of random faults, CELL_LATE the share of late orders in percent; CELL_LOG turns on the log; with CELL_GO_ON a violation
 * does not end its simulation. --run_test=NAME runs one case. Each error message begins with the settings that replay its simulation.
 */
#define BOOST_TEST_MODULE cell_zone_cut
#include <boost/test/unit_test.hpp>

#include "cell_worlds.h"

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

constexpr std::uint64_t defaultSeed = 1'000;
constexpr std::uint64_t defaultSimulationCount = 6;

/** Runs simulations with a cut. */
void runCuts(const ZoneCut& cut)
{
    CellSimulationOptions options = makeLongRunOptions();
    options.m_zoneCut = cut;
    options.m_loadDuration = { 20'000 };
    // Three steps of the longest attempts after the last cut.
    options.m_recoveryDuration = cut.m_start + Duration { cut.m_count * (cut.m_length + cut.m_pause).m_ms } + Duration { 3 * options.m_longRunTime.m_ms } - options.m_loadDuration;
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", defaultSimulationCount), options);
}

} // namespace

BOOST_AUTO_TEST_CASE(leader_with_another_daemon)
{
    runCuts({ .m_count = 1 });
}

BOOST_AUTO_TEST_CASE(leader_alone)
{
    runCuts({ .m_count = 1, .m_companions = 0 });
}

BOOST_AUTO_TEST_CASE(only_messages_to_the_others_arrive)
{
    runCuts({ .m_count = 1, .m_direction = CutDirection::FromOthers });
}

BOOST_AUTO_TEST_CASE(only_messages_from_the_others_arrive)
{
    runCuts({ .m_count = 1, .m_direction = CutDirection::ToOthers });
}

BOOST_AUTO_TEST_CASE(two_cuts)
{
    runCuts({ .m_count = 2 });
}

BOOST_AUTO_TEST_CASE(all_daemons_restart_just_before)
{
    runCuts({ .m_count = 1, .m_restartLead = { 4'500 } });
}

BOOST_AUTO_TEST_CASE(leader_restarts_just_before_and_knows_no_peers)
{
    runCuts({ .m_count = 1, .m_companions = 0, .m_restartsLeader = true });
}

BOOST_AUTO_TEST_CASE(leadership_topic_is_not_answered)
{
    runCuts({ .m_count = 1, .m_store = StoreCut::LeaderTopic });
}

BOOST_AUTO_TEST_CASE(cut_leader_is_suspended_shortly)
{
    runCuts({ .m_count = 1, .m_suspensions = 6 });
}
