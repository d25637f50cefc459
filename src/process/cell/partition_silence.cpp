/** @file partition_silence.cpp Log lines about single partitions of the store that carry out nothing. */
#include "process/cell/partition_silence.h"

#include "core/log_func.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    constexpr Duration reportInterval { 5'000 };

    TimePoint latestAnswerAt(const PartitionTraffic& traffic)
    {
        return std::max(traffic.m_appends.m_answeredAt, traffic.m_reads.m_answeredAt);
    }

    std::uint64_t refusals(const PartitionTraffic& traffic)
    {
        return traffic.m_appends.m_refused + traffic.m_reads.m_refused;
    }

    void logSilence(const StoreTraffic& all, const StorePartition& partition, const PartitionTraffic& traffic, TimePoint now)
    {
        const ReportedSilence& reported = *traffic.m_reportedSilence;
        const OtherPartitions others = otherPartitions(all, partition, now);
        logEvent(LogLevel::Warning, "partition-silent", { { "topic", partition.m_topic }, { "part", partition.m_partition }, { "silent_ms", (now - reported.m_since).m_ms }, { "appends_open", traffic.m_appends.m_open.size() }, { "appends_given_up", traffic.m_appends.m_unanswered - reported.m_appendsGivenUp }, { "reads_open", traffic.m_reads.m_open.size() }, { "reads_given_up", traffic.m_reads.m_unanswered - reported.m_readsGivenUp }, { "refused", refusals(traffic) - reported.m_refused }, { "others_answering", others.m_answering }, { "others_silent", others.m_silent }, { "latest_other", others.m_latest.m_topic }, { "latest_other_ms_ago", others.m_latest.m_topic.empty() ? -1 : (now - others.m_latestAt).m_ms } });
    }

    void logSilenceEnd(const StorePartition& partition, const PartitionTraffic& traffic, TimePoint now)
    {
        const ReportedSilence& reported = *traffic.m_reportedSilence;
        const TimePoint answeredAt = latestAnswerAt(traffic);
        const bool isAnswered = answeredAt > reported.m_since;
        const TimePoint endedAt = isAnswered ? answeredAt : now;
        logEvent(LogLevel::Warning, isAnswered ? "partition-answers" : "partition-not-called", { { "topic", partition.m_topic }, { "part", partition.m_partition }, { "silent_ms", (endedAt - reported.m_since).m_ms }, { "appends_given_up", traffic.m_appends.m_unanswered - reported.m_appendsGivenUp }, { "reads_given_up", traffic.m_reads.m_unanswered - reported.m_readsGivenUp }, { "refused", refusals(traffic) - reported.m_refused } });
    }

    /** Ends a logged silence when the partition has carried out a call since, or is not called any more. */
    void endSilence(const StorePartition& partition, PartitionTraffic& traffic, Duration silence, TimePoint now)
    {
        if (!traffic.m_reportedSilence)
            return;
        if (silence > Duration {} && latestAnswerAt(traffic) <= traffic.m_reportedSilence->m_since)
            return;
        logSilenceEnd(partition, traffic, now);
        traffic.m_reportedSilence.reset();
    }

    void beginSilence(PartitionTraffic& traffic, Duration silence, TimePoint now)
    {
        if (!traffic.m_reportedSilence && silence >= partitionSilenceLimit)
            traffic.m_reportedSilence = ReportedSilence { .m_since = now - silence, .m_nextReportAt = now, .m_appendsGivenUp = traffic.m_appends.m_unanswered, .m_readsGivenUp = traffic.m_reads.m_unanswered, .m_refused = refusals(traffic) };
    }

} // namespace

Duration partitionSilence(const PartitionTraffic& traffic, TimePoint now)
{
    const Duration longest = std::max(undoneTime(traffic.m_appends, now), undoneTime(traffic.m_reads, now));
    return std::min(longest, now - latestAnswerAt(traffic));
}

Duration partitionSilence(const StoreTraffic& traffic, const StorePartition& partition, TimePoint now)
{
    const auto found = traffic.m_partitions.find(partition);
    return found == traffic.m_partitions.end() ? Duration {} : partitionSilence(found->second, now);
}

OtherPartitions otherPartitions(const StoreTraffic& traffic, const StorePartition& except, TimePoint now)
{
    OtherPartitions others;
    for (const auto& [partition, each] : traffic.m_partitions) {
        if (partition == except)
            continue;
        const TimePoint answeredAt = latestAnswerAt(each);
        const bool isSilent = partitionSilence(each, now) >= partitionSilenceLimit;
        others.m_silent += isSilent ? 1 : 0;
        others.m_answering += !isSilent && answeredAt.m_ms > 0 && now - answeredAt < partitionSilenceLimit ? 1 : 0;
        if (answeredAt > others.m_latestAt) {
            others.m_latest = partition;
            others.m_latestAt = answeredAt;
        }
    }
    return others;
}

void reportSilence(StoreTraffic& traffic, TimePoint now)
{
    constexpr Duration checkInterval { 100 };
    if (now < traffic.m_nextSilenceCheckAt)
        return;
    traffic.m_nextSilenceCheckAt = now + checkInterval;
    for (auto& [partition, each] : traffic.m_partitions) {
        const Duration silence = partitionSilence(each, now);
        endSilence(partition, each, silence, now);
        beginSilence(each, silence, now);
        if (!each.m_reportedSilence || now < each.m_reportedSilence->m_nextReportAt)
            continue;
        each.m_reportedSilence->m_nextReportAt = now + reportInterval;
        logSilence(traffic, partition, each, now);
    }
}

} // namespace bulrushloft::cell
