/** @file partition_silence_test.cpp Single partitions of the store that carry out nothing while others do. */
#define BOOST_TEST_MODULE partition_silence
#include <boost/test/unit_test.hpp>

#include "process/cell/partition_silence.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;

namespace {

const StorePartition progress { .m_topic = "keyed.progress" };
const StorePartition leader { .m_topic = "keyed.leader" };
const StorePartition jobs { .m_topic = "keyed.jobs" };
constexpr Duration readWait { 1'000 };
constexpr Duration answerTime { 10 };

/** Reads a partition without a pause, each answer being held back for readWait, up to a time at which the last read is open. */
void readUntil(CallTraffic& reads, TimePoint from, TimePoint until)
{
    TimePoint sentAt = from;
    for (; sentAt + readWait + answerTime < until; sentAt = sentAt + readWait + answerTime) {
        onCallSent(reads, sentAt);
        onCallAnswered(reads, StoreStatus::Done, sentAt, sentAt + readWait + answerTime);
    }
    onCallSent(reads, sentAt);
}

} // namespace

BOOST_AUTO_TEST_CASE(reads_that_the_store_holds_back_are_no_silence)
{
    StoreTraffic traffic;
    for (TimePoint now { 11'000 }; now < TimePoint { 14'000 }; now = now + Duration { 50 }) {
        traffic.m_partitions.clear();
        readUntil(traffic.m_partitions[jobs].m_reads, { 10'000 }, now);
        BOOST_TEST(partitionSilence(traffic, jobs, now).m_ms < partitionSilenceLimit.m_ms);
    }
}

BOOST_AUTO_TEST_CASE(one_partition_that_answers_nothing_is_told_from_the_others)
{
    StoreTraffic traffic;
    const TimePoint now { 20'000 };
    for (const StorePartition& each : { jobs, leader })
        readUntil(traffic.m_partitions[each].m_reads, { 10'000 }, now);
    CallTraffic& appends = traffic.m_partitions[progress].m_appends;
    onCallSent(appends, { 12'000 });
    onCallAnswered(appends, StoreStatus::Done, { 12'000 }, { 12'010 });
    onCallSent(appends, { 15'000 });
    onCallAnswered(appends, StoreStatus::Unknown, { 15'000 }, { 15'800 });
    onCallSent(appends, { 16'000 });

    BOOST_TEST(partitionSilence(traffic, progress, now).m_ms == 5'000); // From the first call without an answer, also if it was given up.
    const OtherPartitions others = otherPartitions(traffic, progress, now);
    BOOST_TEST(others.m_answering == 2);
    BOOST_TEST(others.m_silent == 0);
    BOOST_TEST(!others.m_latest.m_topic.empty());
    BOOST_TEST((now - others.m_latestAt).m_ms <= (readWait + answerTime).m_ms);
    const OtherPartitions seenFromJobs = otherPartitions(traffic, jobs, now);
    BOOST_TEST(seenFromJobs.m_answering == 1);
    BOOST_TEST(seenFromJobs.m_silent == 1);
}

BOOST_AUTO_TEST_CASE(an_answer_of_either_kind_ends_the_silence_and_a_refusal_does_not)
{
    const TimePoint now { 20'000 };
    StoreTraffic traffic;
    PartitionTraffic& partition = traffic.m_partitions[progress];
    onCallSent(partition.m_appends, { 10'000 });
    BOOST_TEST(partitionSilence(traffic, progress, now).m_ms == 10'000);
    onCallSent(partition.m_reads, { 19'000 });
    onCallAnswered(partition.m_reads, StoreStatus::Done, { 19'000 }, { 19'900 });
    BOOST_TEST(partitionSilence(traffic, progress, now).m_ms == 100);

    CallTraffic& refused = traffic.m_partitions[leader].m_appends;
    onCallSent(refused, { 10'000 });
    onCallAnswered(refused, StoreStatus::NotDone, { 10'000 }, { 15'000 });
    BOOST_TEST(partitionSilence(traffic, leader, { 15'000 }).m_ms == 5'000);
    BOOST_TEST(silenceOf(refused, { 15'000 }).m_ms == 0);
    BOOST_TEST(partitionSilence(traffic, jobs, now).m_ms == 0); // Never called.
}

BOOST_AUTO_TEST_CASE(a_silence_is_reported_after_its_limit_then_paced_and_ends_with_an_answer)
{
    StoreTraffic traffic;
    PartitionTraffic& partition = traffic.m_partitions[progress];
    const TimePoint sentAt { 10'000 };
    onCallSent(partition.m_appends, sentAt);
    reportSilence(traffic, sentAt + partitionSilenceLimit - Duration { 100 });
    BOOST_TEST(!partition.m_reportedSilence.has_value());

    const TimePoint reportedAt = sentAt + partitionSilenceLimit;
    reportSilence(traffic, reportedAt);
    BOOST_REQUIRE(partition.m_reportedSilence.has_value());
    BOOST_TEST(partition.m_reportedSilence->m_since.m_ms == sentAt.m_ms);
    BOOST_TEST(partition.m_reportedSilence->m_nextReportAt.m_ms == reportedAt.m_ms + 5'000);
    onCallSent(partition.m_appends, reportedAt);
    reportSilence(traffic, reportedAt + Duration { 4'900 });
    BOOST_TEST(partition.m_reportedSilence->m_nextReportAt.m_ms == reportedAt.m_ms + 5'000);
    reportSilence(traffic, reportedAt + Duration { 5'000 });
    BOOST_TEST(partition.m_reportedSilence->m_nextReportAt.m_ms == reportedAt.m_ms + 10'000);

    const TimePoint answeredAt = reportedAt + Duration { 6'000 };
    onCallAnswered(partition.m_appends, StoreStatus::Done, reportedAt, answeredAt);
    reportSilence(traffic, answeredAt);
    BOOST_TEST(!partition.m_reportedSilence.has_value());
}

// A VM whose term has ended calls the partition of the records no more, so it cannot tell whether that answers.
BOOST_AUTO_TEST_CASE(the_silence_of_a_partition_that_is_no_longer_called_is_forgotten)
{
    StoreTraffic traffic;
    PartitionTraffic& partition = traffic.m_partitions[progress];
    onCallSent(partition.m_appends, { 10'000 });
    onCallAnswered(partition.m_appends, StoreStatus::Unknown, { 10'000 }, { 12'500 });
    reportSilence(traffic, { 12'600 });
    BOOST_TEST(partition.m_reportedSilence.has_value());
    reportSilence(traffic, { 30'000 });
    BOOST_TEST(!partition.m_reportedSilence.has_value());
    BOOST_TEST(partitionSilence(traffic, progress, { 30'000 }).m_ms == 0);
}
