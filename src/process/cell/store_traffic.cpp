/** @file store_traffic.cpp Counting and logging of this daemon's calls to each partition of the store. */
#include "process/cell/store_traffic.h"

#include "core/log_func.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    constexpr Duration lateLimit { 8'000 }; ///< The store may carry out a call seconds after it was sent; longer than that is not expected.

    constexpr Duration maxLatency { 1'000 }; ///< Estimates are bounded, so that the end of an overload is seen soon.

    void forgetLate(CallTraffic& traffic, TimePoint now)
    {
        while (!traffic.m_givenUp.empty() && now - traffic.m_givenUp.front() > lateLimit)
            traffic.m_givenUp.pop_front();
    }

    /** @return The first open call that was sent later than a given time. */
    std::deque<TimePoint>::const_iterator firstOpenAfter(const CallTraffic& traffic, TimePoint sentAt)
    {
        return std::find_if(traffic.m_open.begin(), traffic.m_open.end(), [&](TimePoint open) { return open > sentAt; });
    }

    std::optional<TimePoint> timeOfOpen(const CallTraffic& traffic, const std::deque<TimePoint>::const_iterator& open)
    {
        return open == traffic.m_open.end() ? std::nullopt : std::optional(*open);
    }

    /** @return Whether the partition is no longer called, nor expected to carry out an earlier call. */
    bool isForgotten(const CallTraffic& traffic, TimePoint now)
    {
        return traffic.m_open.empty() && now - traffic.m_lastSentAt > lateLimit;
    }

    /** Notes that the store has answered a call, whatever its outcome. */
    void onAnswer(CallTraffic& traffic, TimePoint sentAt)
    {
        const auto later = firstOpenAfter(traffic, sentAt);
        traffic.m_unansweredSince = timeOfOpen(traffic, later);
        traffic.m_sentSinceAnswer = static_cast<std::uint32_t>(traffic.m_open.end() - later);
    }

    void onCarriedOut(CallTraffic& traffic, TimePoint sentAt, TimePoint now)
    {
        traffic.m_undoneSince = timeOfOpen(traffic, firstOpenAfter(traffic, sentAt));
        traffic.m_latency = now - sentAt;
        traffic.m_answeredAt = now;
        traffic.m_refusalsInRow = 0;
        onAnswer(traffic, sentAt);
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
    ++traffic.m_sentSinceAnswer;
    traffic.m_lastSentAt = now;
    traffic.m_unansweredSince = traffic.m_unansweredSince.value_or(now);
    traffic.m_undoneSince = traffic.m_undoneSince.value_or(now);
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
        return onCarriedOut(traffic, sentAt, now);
    case StoreStatus::NotDone:
        ++traffic.m_refused;
        ++traffic.m_refusalsInRow;
        onAnswer(traffic, sentAt);
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
        return onCarriedOut(traffic, sentAt, now);
    }
}

Duration answeredLatency(const CallTraffic& appends, Duration initial)
{
    constexpr Duration refusalDelay { 50 };
    constexpr std::uint32_t maxDoublings = 4;
    const Duration answered = appends.m_latency == Duration {} ? initial : appends.m_latency;
    const Duration afterRefusals = appends.m_refusalsInRow > 0 ? refusalDelay * (std::int64_t { 1 } << std::min(appends.m_refusalsInRow, maxDoublings)) : Duration {};
    return std::max(std::min(answered, maxLatency), afterRefusals);
}

Duration silenceOf(const CallTraffic& appends, TimePoint now)
{
    return appends.m_unansweredSince && !isForgotten(appends, now) ? now - *appends.m_unansweredSince : Duration {};
}

Duration undoneTime(const CallTraffic& traffic, TimePoint now)
{
    return traffic.m_undoneSince && !isForgotten(traffic, now) ? now - *traffic.m_undoneSince : Duration {};
}

Duration expectedLatency(const CallTraffic& appends, Duration initial, TimePoint now)
{
    constexpr std::int64_t silenceDivisor = 3; // One or two answers in a row may be lost.
    return std::max(answeredLatency(appends, initial), std::min(silenceOf(appends, now) / silenceDivisor, maxLatency));
}

Duration pauseBetweenAppends(const CallTraffic& appends, Duration initial, std::int64_t writers, TimePoint now)
{
    constexpr Duration maxPause { 2'000 }; // Callers wait for little longer.
    return std::min(expectedLatency(appends, initial, now) * writers, maxPause);
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
