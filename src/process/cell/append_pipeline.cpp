/** @file append_pipeline.cpp Ordering, repeats and confirmation of a fenced writer's appends. */
#include "process/cell/append_pipeline.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace bulrushloft::cell {

namespace {

    constexpr std::size_t maxUnconfirmed = 4; ///< The store recognises repeats of the last five appends only.
    constexpr Duration overlapDelay { 100 }; ///< An append without an answer for this long no longer delays the next one.
    constexpr std::uint64_t fenceSequence = 1; ///< Sequence number of the first append of an epoch.
    constexpr const char* fenceKey = "fence";
    constexpr Duration minTimeout { 800 };
    constexpr Duration maxTimeout { 4'000 };
    constexpr Duration retryDelay { 100 };
    constexpr std::int64_t latencyMultiple = 3; ///< Timeouts and hedges wait for this multiple of the usual latency, and once more for each attempt without an answer.
    constexpr std::int64_t slowHedgeLatencies = 2; ///< On a slow store a hedge waits for this multiple of the longest of the latest latencies.
    constexpr Duration minHedgeDelay { 30 }; ///< Bound from below, so that a fast store does not get a copy for a short delay.
    constexpr Duration initialHedgeDelay { 100 }; ///< Before the first confirmation the latency is not known.
    constexpr std::size_t maxLatencies = 5; ///< Latencies that are kept.
    constexpr std::size_t maxInFlight = 3; ///< Attempts of the oldest append in flight at a time; one more when the store has answered another call since.
    constexpr std::size_t maxInFlightWhenLossy = 12; ///< The same while answers are lost; so many that hardly ever all of them are lost.
    constexpr std::uint32_t maxOpenAttempts = 20; ///< No hedges beyond it: the client has 32 connections to the store, and reads need some.
    constexpr Duration lossMemory { 2'000 }; ///< Answers count as being lost for this long after the latest proof.
    constexpr std::int64_t lossMemoryLatencies = 12; ///< The same on a slow store, as a multiple of the latency.
    constexpr std::uint32_t inOrderLimit = 14; ///< After so many answers in order none counts as lost; fewer would often come in a row while a third of them is lost.
    constexpr Duration slowLatency { 100 }; ///< A store that takes at least this long is slow: attempts wait for each other in the partition.
    constexpr std::size_t maxSendsPerLatency = 4; ///< Attempts of all appends within the time of one answer; all four appends may be sent.
    constexpr std::int64_t lossySendsPerLatency = 2; ///< The same while answers are lost; attempts without an answer are carried out as well, only later.

    /** @return Whether an append has failed and has to be repeated before a later one is sent. */
    bool isRepeatNeeded(const AppendPipeline& pipeline)
    {
        return std::any_of(pipeline.m_queue.begin(), pipeline.m_queue.end(), [](const PipelinedAppend& each) { return each.m_attempts > 0 && each.m_inFlight.empty(); });
    }

    /** @return Whether an attempt was lately overtaken by a later one: the store loses answers, it is not merely slow. */
    bool isLossKnown(const AppendPipeline& pipeline, TimePoint now)
    {
        return pipeline.m_lossSeenAt && now - *pipeline.m_lossSeenAt <= std::max(lossMemory, pipeline.m_lastLatency * lossMemoryLatencies);
    }

    /** @return Whether the store's answers take so long that attempts wait for each other in the partition, which carries out one at a time. */
    bool isStoreSlow(const AppendPipeline& pipeline)
    {
        return pipeline.m_lastLatency >= slowLatency;
    }

    /**
     * The latency is at least the time that an append occupies the partition, and grows with what waits there, so that a bound on the
     * attempts in one latency bounds what waits. Attempts whose time is over are included, as the store may carry them out late.
     * @return Whether a slow partition can carry out another attempt of any append.
     */
    bool isWithinBudget(const AppendPipeline& pipeline, TimePoint now)
    {
        if (!isStoreSlow(pipeline))
            return true;
        if (isLossKnown(pipeline, now))
            return (now - pipeline.m_lastSentAt) * lossySendsPerLatency >= pipeline.m_lastLatency;
        return pipeline.m_lastSends.size() < maxSendsPerLatency || now - pipeline.m_lastSends.front() >= pipeline.m_lastLatency;
    }

    /** @return The longest of the latest latencies; that of the fence before the first confirmation. */
    Duration longestLatency(const AppendPipeline& pipeline)
    {
        return std::accumulate(pipeline.m_latencies.begin(), pipeline.m_latencies.end(), pipeline.m_lastLatency, [](Duration longest, Duration each) { return std::max(longest, each); });
    }

    /**
     * While answers are lost, the shortest of the latest latencies counts, as some answers may be held back and attempts without an answer
     * delay nothing. Otherwise the partition carries out one append at a time, so that those without an answer come first. On a slow
     * store isWithinBudget() bounds the hedges, so that they need not wait for those that come first.
     * @return Time before the first hedge.
     */
    Duration firstHedgeDelay(const AppendPipeline& pipeline, TimePoint now)
    {
        if (pipeline.m_lastLatency == Duration {})
            return initialHedgeDelay;
        if (isStoreSlow(pipeline))
            return isLossKnown(pipeline, now) ? pipeline.m_lastLatency / lossySendsPerLatency : longestLatency(pipeline) * slowHedgeLatencies;
        if (isLossKnown(pipeline, now))
            return std::max(minHedgeDelay, *std::min_element(pipeline.m_latencies.begin(), pipeline.m_latencies.end()) * (latencyMultiple + 1));
        return std::max(minHedgeDelay, pipeline.m_lastLatency * (latencyMultiple + pipeline.m_openAttempts));
    }

    /** @return Whether another attempt of the oldest append is to be sent beside those in flight. */
    bool isHedgeDue(const AppendPipeline& pipeline, TimePoint lastStoreReplyAt, TimePoint now)
    {
        constexpr std::uint32_t maxDoublings = 5;
        const PipelinedAppend& oldest = pipeline.m_queue.front();
        const bool hasReplied = lastStoreReplyAt > oldest.m_latest.m_sentAt;
        const std::size_t limit = isLossKnown(pipeline, now) ? maxInFlightWhenLossy : maxInFlight + (hasReplied ? 1 : 0);
        if (pipeline.m_openAttempts >= maxOpenAttempts || oldest.m_inFlight.size() >= limit)
            return false;
        const bool isLossLikely = isLossKnown(pipeline, now) || (oldest.m_unanswered > 0 && hasReplied);
        const Duration delay = isLossLikely ? std::min(firstHedgeDelay(pipeline, now), appendTimeout(pipeline) / 2) : firstHedgeDelay(pipeline, now);
        const Duration grownDelay = std::max(delay, std::min(delay * (std::int64_t { 1 } << std::min(oldest.m_hedges, maxDoublings)), minTimeout));
        return now - oldest.m_latest.m_sentAt >= (hasReplied || isLossKnown(pipeline, now) ? delay : grownDelay);
    }

    /**
     * A store that refuses appends but answers other calls has too much waiting in the partition: repeats come less and less often.
     * One that refuses all calls is asked at the usual interval, so that its return is seen soon.
     * @return Whether the time after the latest refusals is over.
     */
    bool isRefusalPauseOver(const AppendPipeline& pipeline, TimePoint lastStoreReplyAt, TimePoint now)
    {
        constexpr std::uint32_t freeRefusals = 3; // As many as make a leader hand over.
        constexpr std::uint32_t maxDoublings = 3;
        constexpr Duration replyMemory { 1'000 };
        if (pipeline.m_refusalsInRow <= freeRefusals || now - lastStoreReplyAt > replyMemory)
            return true;
        const std::uint32_t doublings = std::min(pipeline.m_refusalsInRow - freeRefusals, maxDoublings);
        return now - pipeline.m_lastSentAt >= retryDelay * (std::int64_t { 1 } << doublings);
    }

    /** @return Whether an attempt of the oldest append is due. */
    bool isOldestDue(const AppendPipeline& pipeline, TimePoint lastStoreReplyAt, TimePoint now)
    {
        const PipelinedAppend& oldest = pipeline.m_queue.front();
        if (!isRefusalPauseOver(pipeline, lastStoreReplyAt, now))
            return false;
        return now >= oldest.m_notBefore && (oldest.m_inFlight.empty() || isHedgeDue(pipeline, lastStoreReplyAt, now));
    }

    /** @return The first append that was not sent yet, if it may be sent beside the earlier ones, else null. */
    PipelinedAppend* findOverlapping(AppendPipeline& pipeline, TimePoint now)
    {
        // Two appends sent at the same moment could overtake each other.
        if (isRepeatNeeded(pipeline) || now - pipeline.m_lastSentAt < overlapDelay)
            return nullptr;
        const auto unsent = std::find_if(pipeline.m_queue.begin(), pipeline.m_queue.end(), [](const PipelinedAppend& each) { return each.m_attempts == 0; });
        const bool isWithinWindow = unsent - pipeline.m_queue.begin() < static_cast<std::ptrdiff_t>(maxUnconfirmed);
        return unsent != pipeline.m_queue.end() && isWithinWindow ? &*unsent : nullptr;
    }

    /** Notes whether an attempt that has confirmed its append has overtaken an earlier one, of any append when the store is slow. */
    void judgeLoss(AppendPipeline& pipeline, const PipelinedAppend& append, const AppendAttempt& attempt, TimePoint now)
    {
        const auto overtaken = std::erase_if(pipeline.m_pending, [&](const AppendAttempt& each) { return each.m_number < attempt.m_number; });
        if (append.m_inFlight.front().m_number < attempt.m_number || (isStoreSlow(pipeline) && overtaken > 0)) {
            pipeline.m_lossSeenAt = now;
            pipeline.m_answeredInOrder = 0;
        } else if (append.m_inFlight.size() > 1 && !isStoreSlow(pipeline)) { // The hedges were needless: the store has become slow.
            pipeline.m_lossSeenAt.reset();
        }
    }

    /** Counts an attempt that the store has carried out, also a needless one. After several that have overtaken none, answers no longer count as being lost. */
    void countInOrder(AppendPipeline& pipeline)
    {
        if (++pipeline.m_answeredInOrder >= inOrderLimit && isStoreSlow(pipeline))
            pipeline.m_lossSeenAt.reset();
    }

    /** Records the latency of an attempt, and whether it was answered before an earlier attempt of the same append. */
    void measure(AppendPipeline& pipeline, const PipelinedAppend& append, const AppendAttempt& attempt, TimePoint now)
    {
        judgeLoss(pipeline, append, attempt, now);
        pipeline.m_lastLatency = now - attempt.m_sentAt;
        pipeline.m_latencies.push_back(pipeline.m_lastLatency);
        if (pipeline.m_latencies.size() > maxLatencies)
            pipeline.m_latencies.pop_front();
        ++pipeline.m_confirmations;
    }

    /** Removes the confirmed appends. Once fencingAppend() is stored, the store accepts sequence numbers in order only, so a confirmation covers all earlier appends too. */
    void confirm(AppendPipeline& pipeline, std::uint64_t sequence, TimePoint now)
    {
        while (!pipeline.m_queue.empty() && pipeline.m_queue.front().m_append.m_writer->m_sequence <= sequence) {
            const PipelinedAppend& front = pipeline.m_queue.front();
            pipeline.m_lastConfirmation = { .m_age = now - front.m_firstSentAt, .m_attempts = front.m_attempts };
            if (front.m_batch > 0)
                pipeline.m_confirmedBatch = front.m_batch;
            pipeline.m_queue.pop_front();
        }
        pipeline.m_refusals = 0;
        pipeline.m_refusalsInRow = 0;
        pipeline.m_attemptsBeforeOldest = pipeline.m_attempts;
    }

    /** Processes an attempt that has failed. @param append The attempt's append, of which it is no longer in flight. */
    AppendOutcome onFailure(AppendPipeline& pipeline, PipelinedAppend& append, const AppendAttempt& attempt, StoreStatus status, TimePoint now)
    {
        const bool isOldest = &append == &pipeline.m_queue.front();
        if (status == StoreStatus::OutOfSequence) // An attempt that was sent before the append became the oldest may have arrived before its predecessor.
            return isOldest && attempt.m_number > pipeline.m_attemptsBeforeOldest ? AppendOutcome::SequenceMismatch : AppendOutcome::Proceed;
        append.m_unanswered += status == StoreStatus::Unknown ? 1 : 0;
        pipeline.m_refusalsInRow += status == StoreStatus::NotDone ? 1 : 0;
        if (status == StoreStatus::NotDone || append.m_inFlight.empty())
            append.m_notBefore = now + retryDelay;
        pipeline.m_refusals += status == StoreStatus::NotDone && isOldest && append.m_inFlight.empty() ? 1 : 0;
        return AppendOutcome::Proceed;
    }

} // namespace

AppendPipeline makePipeline(std::string writer, std::uint64_t epoch)
{
    AppendPipeline pipeline;
    pipeline.m_writer = { .m_name = std::move(writer), .m_epoch = epoch, .m_sequence = fenceSequence };
    return pipeline;
}

StoreAppend fencingAppend(const AppendPipeline& pipeline, StorePartition partition)
{
    return { .m_partition = std::move(partition), .m_records = { { .m_key = fenceKey, .m_value = {} } }, .m_writer = pipeline.m_writer, .m_expectedEnd = {} };
}

bool acceptsAppend(const AppendPipeline& pipeline, TimePoint lastStoreReplyAt, TimePoint now)
{
    if (pipeline.m_queue.empty())
        return true;
    const bool isDue = now - pipeline.m_lastSentAt >= overlapDelay;
    if (isStoreSlow(pipeline) && isLossKnown(pipeline, now)) // A later append would be refused as out of order whenever the earlier one is lost.
        return false;
    const bool isStoreResponsive = pipeline.m_lastLatency >= overlapDelay || lastStoreReplyAt > pipeline.m_lastSentAt;
    return isDue && isStoreResponsive && !pipeline.m_queue.back().m_inFlight.empty() && !isRepeatNeeded(pipeline) && pipeline.m_queue.size() < maxUnconfirmed;
}

void pushAppend(AppendPipeline& pipeline, StoreAppend append, std::uint64_t batch)
{
    ++pipeline.m_writer.m_sequence;
    append.m_writer = pipeline.m_writer;
    pipeline.m_queue.push_back({ .m_append = std::move(append), .m_batch = batch, .m_firstSentAt = {}, .m_latest = {}, .m_inFlight = {}, .m_notBefore = {} });
}

const PipelinedAppend* beginSend(AppendPipeline& pipeline, TimePoint lastStoreReplyAt, TimePoint now)
{
    if (pipeline.m_queue.empty())
        return nullptr;
    const bool isRequested = std::exchange(pipeline.m_isAttemptRequested, false);
    PipelinedAppend* const next = isRequested || isOldestDue(pipeline, lastStoreReplyAt, now) ? &pipeline.m_queue.front() : findOverlapping(pipeline, now);
    if (!next || (!isRequested && !isWithinBudget(pipeline, now)))
        return nullptr;
    next->m_latest = { .m_sequence = next->m_append.m_writer->m_sequence, .m_number = ++pipeline.m_attempts, .m_sentAt = now };
    next->m_firstSentAt = next->m_attempts++ == 0 ? now : next->m_firstSentAt;
    next->m_hedges += next->m_inFlight.empty() ? 0 : 1;
    next->m_inFlight.push_back(next->m_latest);
    ++pipeline.m_openAttempts;
    pipeline.m_lastSentAt = now;
    pipeline.m_pending.push_back(next->m_latest);
    pipeline.m_lastSends.push_back(now);
    if (pipeline.m_lastSends.size() > maxSendsPerLatency)
        pipeline.m_lastSends.pop_front();
    return next;
}

void requestAttempt(AppendPipeline& pipeline)
{
    pipeline.m_isAttemptRequested = true;
}

AppendOutcome onAppendAnswer(AppendPipeline& pipeline, const AppendAttempt& attempt, StoreStatus status, TimePoint now)
{
    --pipeline.m_openAttempts;
    std::erase_if(pipeline.m_pending, [&](const AppendAttempt& each) { return each.m_number == attempt.m_number; });
    if (status == StoreStatus::Fenced)
        return AppendOutcome::Fenced;
    if (status == StoreStatus::Done)
        countInOrder(pipeline);
    const auto found = std::find_if(pipeline.m_queue.begin(), pipeline.m_queue.end(), [&](const PipelinedAppend& each) { return each.m_append.m_writer->m_sequence == attempt.m_sequence; });
    if (found == pipeline.m_queue.end())
        return AppendOutcome::Proceed;
    if (status == StoreStatus::Done) {
        measure(pipeline, *found, attempt, now);
        confirm(pipeline, attempt.m_sequence, now);
        return AppendOutcome::Proceed;
    }
    std::erase_if(found->m_inFlight, [&](const AppendAttempt& each) { return each.m_number == attempt.m_number; });
    return onFailure(pipeline, *found, attempt, status, now);
}

Duration appendTimeout(const AppendPipeline& pipeline)
{
    // The partition carries out one append at a time, so those without an answer come first.
    return std::clamp(pipeline.m_lastLatency * (latencyMultiple + pipeline.m_openAttempts), minTimeout, maxTimeout);
}

std::optional<TimePoint> oldestUnconfirmedSince(const AppendPipeline& pipeline)
{
    if (pipeline.m_queue.empty() || pipeline.m_queue.front().m_attempts == 0)
        return std::nullopt;
    return pipeline.m_queue.front().m_firstSentAt;
}

} // namespace bulrushloft::cell
