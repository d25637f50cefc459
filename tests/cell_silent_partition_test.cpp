/**
 * @file cell_silent_partition_test.cpp Simulations in which some partitions of the store don't answer while all others do: the cell must go on accepting jobs, and
 * running them where its leader lives; accepted jobs must complete. The settings from the environment are those of cell_store_outage_test.cpp.
 * CMakeLists.txt makes each case a test of its own.
 */
#define BOOST_TEST_MODULE cell_silent_partition
#include <boost/test/unit_test.hpp>

#include "cell_worlds.h"

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

constexpr std::uint64_t defaultSeed = 4'204;
constexpr std::uint64_t defaultSimulationCount = 2;
constexpr std::uint64_t defaultShareCount = 4; ///< Of simulations in which a share of all partitions is silent; the seed decides which.
constexpr Duration silenceStart { 8'000 };
constexpr Duration singleLength { 12'000 }; ///< Length of a period in which the partition of one duty is silent.
constexpr Duration shareLength { 24'000 }; ///< Length of a period in which a share of all partitions is silent.
constexpr Duration endDelay { 1'000 }; ///< The leader or all daemons end this long after the start of a period.
constexpr Duration daemonDownTime { 1'300 }; ///< After a loss of power, daemons start again after this time.
constexpr Duration recoveryTime { 12'000 }; ///< This long after the daemons are back, callers must be served.
constexpr int jobsPerSecond = 3;

/** What happens to the daemons while the partitions are silent. */
enum class DaemonFault : std::uint8_t {
    None,
    FollowerRestarts,
    LeaderKilled,
    PowerLost, ///< All daemons end and start again.
};

CellSimulationOptions makeOptions(SilentPartitions silence, DaemonFault fault)
{
    constexpr Duration loadAfter { 4'000 };
    constexpr Duration longRunTime { 14'000 }; // Longer than the longest lease, and than most periods.
    constexpr int mostSteps = 4; // One more than a job has, for the wait of a new leader.
    CellSimulationOptions options = makeLongRunOptions();
    silence.m_start = silenceStart;
    options.m_loadDuration = silence.m_start + silence.m_length * silence.m_count + silence.m_pause * (silence.m_count - 1) + loadAfter;
    options.m_longRunShare = 0.05;
    options.m_longRunTime = longRunTime;
    options.m_recoveryDuration = longRunTime * mostSteps;
    switch (fault) {
    case DaemonFault::None:
        break;
    case DaemonFault::FollowerRestarts:
        silence.m_followerDownTime = daemonDownTime;
        break;
    case DaemonFault::LeaderKilled:
        silence.m_leaderKillDelay = endDelay;
        silence.m_settlingTime = silence.m_settlingTime + endDelay;
        break;
    case DaemonFault::PowerLost:
        options.m_powerLoss = { .m_at = silence.m_start + endDelay, .m_downTime = daemonDownTime };
        silence.m_settlingTime = endDelay + daemonDownTime + recoveryTime;
        options.m_loadDuration = silence.m_start + silence.m_settlingTime + loadAfter; // The load ends while the partitions are still silent.
        break;
    }
    silence.m_mustLeasesHold = fault == DaemonFault::None || fault == DaemonFault::FollowerRestarts;
    options.m_silentPartitions = silence;
    options.m_jobs = intFromEnvironment("CELL_JOBS", static_cast<int>(options.m_loadDuration.m_ms * jobsPerSecond / 1'000));
    return options;
}

void run(const SilentPartitions& silence, DaemonFault fault = DaemonFault::None)
{
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", silence.m_share > 0 ? defaultShareCount : defaultSimulationCount), makeOptions(silence, fault));
}

/** @return A period in which the partition in use of one topic is silent. */
SilentPartitions makeSilence(const std::string& topic, Duration length = singleLength)
{
    return { .m_partitions = {}, .m_topics = { topic }, .m_length = length };
}

/** @return The same for a new leader, which can't know what that partition holds, so that jobs may be held while it is silent. */
SilentPartitions makeHoldingSilence(const std::string& topic, Duration length)
{
    SilentPartitions silence = makeSilence(topic, length);
    silence.m_mustTasksEnd = false;
    return silence;
}

/** @return A period in which a share of all partitions is silent. @param mustTasksEnd Whether tasks must keep ending where journal or claims answer. */
SilentPartitions makeSilentShare(double share, bool mustTasksEnd)
{
    return { .m_partitions = {}, .m_topics = {}, .m_share = share, .m_length = shareLength, .m_mustTasksEnd = mustTasksEnd };
}

const std::string journalTopic = "keyed.progress";
const std::string claimsTopic = "keyed.leader";
const std::string submissionsTopic = "keyed.jobs";
const std::string configurationTopic = "op";
const std::string announcementsTopic = "workers";

/** @return A period in which a partition is silent that a cell needs only after it has missed others. */
SilentPartitions makeSpareSilence(Duration length)
{
    return { .m_partitions = { { .m_topic = journalTopic, .m_partition = 31 } }, .m_topics = {}, .m_length = length };
}

} // namespace

// The next three show that the load and the bounds fit a cell that misses no partition.
BOOST_AUTO_TEST_CASE(cell_goes_on_while_a_spare_partition_is_silent)
{
    run(makeSpareSilence(singleLength));
}

BOOST_AUTO_TEST_CASE(cell_goes_on_after_a_kill_of_the_leader_with_a_spare_partition_silent)
{
    run(makeSpareSilence(singleLength), DaemonFault::LeaderKilled);
}

BOOST_AUTO_TEST_CASE(cell_goes_on_after_a_power_loss_with_a_spare_partition_silent)
{
    run(makeSpareSilence(shareLength), DaemonFault::PowerLost);
}

BOOST_AUTO_TEST_CASE(leader_goes_on_while_its_journal_is_silent)
{
    run(makeSilence(journalTopic));
}

BOOST_AUTO_TEST_CASE(leader_goes_on_while_its_journal_resets_connections)
{
    SilentPartitions silence = makeSilence(journalTopic);
    silence.m_kind = PartitionSilence::Reset;
    run(silence);
}

BOOST_AUTO_TEST_CASE(leader_goes_on_while_its_journal_refuses_calls)
{
    SilentPartitions silence = makeSilence(journalTopic);
    silence.m_kind = PartitionSilence::Refused;
    run(silence);
}

BOOST_AUTO_TEST_CASE(leader_goes_on_while_its_journal_is_silent_twice)
{
    SilentPartitions silence = makeSilence(journalTopic);
    silence.m_count = 2;
    run(silence);
}

BOOST_AUTO_TEST_CASE(leader_goes_on_while_its_journal_is_silent_and_a_follower_restarts)
{
    run(makeSilence(journalTopic), DaemonFault::FollowerRestarts);
}

BOOST_AUTO_TEST_CASE(submissions_are_accepted_after_a_kill_of_the_leader_with_the_journal_silent)
{
    run(makeHoldingSilence(journalTopic, singleLength), DaemonFault::LeaderKilled);
}

BOOST_AUTO_TEST_CASE(submissions_are_served_after_a_power_loss_with_the_journal_silent)
{
    run(makeHoldingSilence(journalTopic, shareLength), DaemonFault::PowerLost);
}

BOOST_AUTO_TEST_CASE(submissions_are_served_after_a_power_loss_with_the_journal_refusing_calls)
{
    SilentPartitions silence = makeHoldingSilence(journalTopic, shareLength);
    silence.m_kind = PartitionSilence::Refused;
    run(silence, DaemonFault::PowerLost);
}

BOOST_AUTO_TEST_CASE(cell_goes_on_while_the_claims_are_silent)
{
    run(makeSilence(claimsTopic));
}

BOOST_AUTO_TEST_CASE(submissions_are_accepted_after_a_kill_of_the_leader_with_the_claims_silent)
{
    run(makeHoldingSilence(claimsTopic, singleLength), DaemonFault::LeaderKilled);
}

BOOST_AUTO_TEST_CASE(submissions_are_served_after_a_power_loss_with_the_claims_silent)
{
    run(makeHoldingSilence(claimsTopic, shareLength), DaemonFault::PowerLost);
}

BOOST_AUTO_TEST_CASE(cell_goes_on_while_the_submissions_are_silent)
{
    run(makeSilence(submissionsTopic));
}

BOOST_AUTO_TEST_CASE(submissions_are_served_after_a_power_loss_with_their_partition_silent)
{
    run(makeHoldingSilence(submissionsTopic, shareLength), DaemonFault::PowerLost);
}

BOOST_AUTO_TEST_CASE(cell_goes_on_while_the_configuration_is_silent)
{
    run(makeSilence(configurationTopic), DaemonFault::FollowerRestarts);
}

BOOST_AUTO_TEST_CASE(cell_goes_on_after_a_power_loss_with_the_configuration_silent)
{
    run(makeSilence(configurationTopic, shareLength), DaemonFault::PowerLost);
}

BOOST_AUTO_TEST_CASE(cell_goes_on_while_the_worker_announcements_are_silent)
{
    run(makeSilence(announcementsTopic), DaemonFault::FollowerRestarts);
}

BOOST_AUTO_TEST_CASE(cell_goes_on_after_a_kill_of_the_leader_with_the_worker_announcements_silent)
{
    run(makeSilence(announcementsTopic), DaemonFault::LeaderKilled);
}

BOOST_AUTO_TEST_CASE(cell_goes_on_after_a_power_loss_with_the_worker_announcements_silent)
{
    run(makeSilence(announcementsTopic, shareLength), DaemonFault::PowerLost);
}

BOOST_AUTO_TEST_CASE(cell_goes_on_while_a_third_of_the_partitions_is_silent)
{
    run(makeSilentShare(0.3, true));
}

BOOST_AUTO_TEST_CASE(cell_goes_on_while_most_partitions_are_silent)
{
    run(makeSilentShare(0.6, true));
}

BOOST_AUTO_TEST_CASE(submissions_are_served_after_a_power_loss_with_a_third_of_the_partitions_silent)
{
    run(makeSilentShare(0.3, false), DaemonFault::PowerLost);
}

BOOST_AUTO_TEST_CASE(submissions_are_served_after_a_power_loss_with_most_partitions_silent)
{
    run(makeSilentShare(0.6, false), DaemonFault::PowerLost);
}
