/** @file store_traffic.cpp Counting and logging of this daemon's calls to each partition of the store. */
#include "process/cell/store_traffic.h"

#include "core/log_func.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    constexpr Duration lateLimit { 8'000 }; ///< The store may carry out a call seconds after it was sent; longer than that is not expected.

    void forgetLate(CallTraffic& traffic, TimePoint now)
    {
        while (!traffic.m_givenUp.empty() && now - traffic.m_givenUp.front() > lateLimit)
            traffic.m_givenUp.pop_front();
    }

    void logPartition(const StorePartition& partition, const PartitionTraffic& traffic, TimePoint now)
    {
        const CallTraffic& appends = traffic.m_appends;
        const CallTraffic& last = traffic.m_reported;
        const std::int64_t oldestOpenMs = appends.m_open.empty() ? 0 : (now - appends.m_open.front()).m_ms;
        const std::int64_t oldestReadMs = traffic.m_reads.m_open.empty() ? 0 : (now - traffic.m_reads.m_open.front()).m_ms;
        logEvent(LogLevel::Info, "store-traffic", { { "topic", partition.m_topic }, { "part", partition.m_partition }, { "sent", appends.m_sent - last.m_sent }, { "done", appends.m_done - last.m_done }, { "refused", appends.m_refused - last.m_refused }, { "rejected", appends.m_rejected - last.m_rejected }, { "unanswered", appends.m_unanswered - last.m_unanswered }, { "open", appends.m_open.size() }, { "given_up_lately", appends.m_givenUp.size() }, { "oldest_open_ms", oldestOpenMs }, { "latency_ms", appends.m_latency.m_ms }, { "reads_open", traffic.m_reads.m_open.size() }, { "reads_unanswered", traffic.m_reads.m_unanswered - traffic.m_reportedUnansweredReads }, { "oldest_read_ms", oldestReadMs }, { "read_latency_ms", traffic.m_reads.m_latency.m_ms } });
    }

    /** @return Whether calls to the partition were refused, rejected or given up since the last report, or appends wait long. */
    bool isNotable(const PartitionTraffic& traffic, TimePoint now)
    {
        constexpr Duration longWait { 500 };
        const CallTraffic& appends = traffic.m_appends;
        const bool hasFailed = appends.m_refused > traffic.m_reported.m_refused || appends.m_unanswered > traffic.m_reported.m_unanswered || traffic.m_reads.m_unanswered > traffic.m_reportedUnansweredReads;
        return hasFailed || (!appends.m_open.empty() && now - appends.m_open.front() > longWait);
    }

} // namespace

void onCallSent(CallTraffic& traffic, TimePoint now)
{
    ++traffic.m_sent;
    traffic.m_open.push_back(now);
}

void onCallAnswered(CallTraffic& traffic, StoreStatus status, TimePoint sentAt, TimePoint now)
{
    if (const auto open = std::find(traffic.m_open.begin(), traffic.m_open.end(), sentAt); open != traffic.m_open.end())
        traffic.m_open.erase(open);
    forgetLate(traffic, now);
    switch (status) {
    case StoreStatus::Done:
        ++traffic.m_done;
        traffic.m_latency = now - sentAt;
        return;
    case StoreStatus::NotDone:
        ++traffic.m_refused;
        return;
    case StoreStatus::Unknown:
        ++traffic.m_unanswered;
        traffic.m_givenUp.push_back(sentAt);
        return;
    case StoreStatus::Fenced:
    case StoreStatus::OutOfSequence:
    case StoreStatus::EndMismatch:
    case StoreStatus::Expired:
        ++traffic.m_rejected;
        return;
    }
}

void reportTraffic(StoreTraffic& traffic, TimePoint now)
{
    constexpr Duration interval { 1'000 };
    if (now < traffic.m_nextReportAt)
        return;
    traffic.m_nextReportAt = now + interval;
    for (auto& [partition, each] : traffic.m_partitions) {
        forgetLate(each.m_appends, now);
        forgetLate(each.m_reads, now);
        if (isNotable(each, now))
            logPartition(partition, each, now);
        each.m_reported = each.m_appends;
        each.m_reportedUnansweredReads = each.m_reads.m_unanswered;
    }
}

} // namespace bulrushloft::cell
