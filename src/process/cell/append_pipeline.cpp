/** @file append_pipeline.cpp Ordering, repeats and confirmation of a fenced writer's appends. */
#include "process/cell/append_pipeline.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    constexpr std::size_t maxUnconfirmed = 4; ///< The store recognises repeats of the last five appends only.
    constexpr Duration overlapDelay { 100 }; ///< An append without an answer for this long no longer delays the next one.
    constexpr std::uint64_t fenceSequence = 1; ///< Sequence number of the first append of an epoch.
    constexpr const char* fenceKey = "fence";
    constexpr Duration minTimeout { 800 };
    constexpr Duration maxTimeout { 4'000 };
    constexpr Duration retryDelay { 100 };
    constexpr Duration minRepeatDelay { 150 };
    constexpr std::int64_t latencyMultiple = 3; ///< Timeouts are this multiple of the latest append's latency.

    bool isAnyInFlight(const AppendPipeline& pipeline)
    {
        return std::any_of(pipeline.m_queue.begin(), pipeline.m_queue.end(), [](const PipelinedAppend& each) { return each.m_isInFlight; });
    }

    /** @return Whether an append has failed and has to be repeated before a later one is sent. */
    bool isRepeatNeeded(const AppendPipeline& pipeline)
    {
        return std::any_of(pipeline.m_queue.begin(), pipeline.m_queue.end(), [](const PipelinedAppend& each) { return each.m_isSent && !each.m_isInFlight; });
    }

    /** @return Whether the oldest append has waited unusually long for its answer while the store answered other calls, so that its answer or its connection is presumed lost. */
    bool isPresumedLost(const AppendPipeline& pipeline, TimePoint lastStoreReplyAt, TimePoint now)
    {
        const PipelinedAppend& front = pipeline.m_queue.front();
        return front.m_isInFlight && lastStoreReplyAt > front.m_sentAt && now - front.m_sentAt >= std::max(minRepeatDelay, pipeline.m_lastLatency * latencyMultiple);
    }

    /** Removes the confirmed appends. Once fencingAppend() is stored, the store accepts sequence numbers in order only, so a confirmation covers all earlier appends too. */
    void confirm(AppendPipeline& pipeline, std::uint64_t sequence, TimePoint now)
    {
        pipeline.m_lastTotal = now - pipeline.m_queue.front().m_firstSentAt;
        pipeline.m_lastAttempts = pipeline.m_queue.front().m_attempts;
        while (!pipeline.m_queue.empty() && pipeline.m_queue.front().m_append.m_writer->m_sequence <= sequence) {
            const PipelinedAppend& front = pipeline.m_queue.front();
            pipeline.m_lastLatency = now - front.m_sentAt;
            if (front.m_batch > 0)
                pipeline.m_confirmedBatch = front.m_batch;
            pipeline.m_queue.pop_front();
        }
        pipeline.m_refusals = 0;
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
    const bool isStoreResponsive = pipeline.m_lastLatency >= overlapDelay || lastStoreReplyAt > pipeline.m_lastSentAt;
    return isDue && isStoreResponsive && pipeline.m_queue.back().m_isInFlight && !isRepeatNeeded(pipeline) && pipeline.m_queue.size() < maxUnconfirmed;
}

void pushAppend(AppendPipeline& pipeline, StoreAppend append, std::uint64_t batch)
{
    ++pipeline.m_writer.m_sequence;
    append.m_writer = pipeline.m_writer;
    pipeline.m_queue.push_back({ .m_append = std::move(append), .m_batch = batch, .m_firstSentAt = {}, .m_sentAt = {} });
}

const PipelinedAppend* beginSend(AppendPipeline& pipeline, TimePoint lastStoreReplyAt, TimePoint now)
{
    if (!pipeline.m_queue.empty() && isPresumedLost(pipeline, lastStoreReplyAt, now))
        pipeline.m_queue.front().m_isInFlight = false;
    PipelinedAppend* next = nullptr;
    if (isRepeatNeeded(pipeline)) {
        // A repeat is sent with nothing else in flight, so that answers to earlier attempts cannot be taken for its own.
        if (!isAnyInFlight(pipeline) && now >= pipeline.m_retryAt)
            next = &pipeline.m_queue.front();
    } else {
        const auto unsent = std::find_if(pipeline.m_queue.begin(), pipeline.m_queue.end(), [](const PipelinedAppend& each) { return !each.m_isSent; });
        // Two appends sent at the same moment could overtake each other.
        const bool isOverlapAllowed = !isAnyInFlight(pipeline) || now - pipeline.m_lastSentAt >= overlapDelay;
        const bool isWithinWindow = unsent - pipeline.m_queue.begin() < static_cast<std::ptrdiff_t>(maxUnconfirmed);
        if (unsent != pipeline.m_queue.end() && isOverlapAllowed && isWithinWindow)
            next = &*unsent;
    }
    if (!next)
        return nullptr;
    next->m_firstSentAt = next->m_isSent ? next->m_firstSentAt : now;
    next->m_sentAt = now;
    ++next->m_attempts;
    next->m_isSent = true;
    next->m_isInFlight = true;
    pipeline.m_lastSentAt = now;
    return next;
}

AppendOutcome onAppendAnswer(AppendPipeline& pipeline, std::uint64_t sequence, StoreStatus status, TimePoint now)
{
    if (status == StoreStatus::Fenced)
        return AppendOutcome::Fenced;
    const auto found = std::find_if(pipeline.m_queue.begin(), pipeline.m_queue.end(), [&](const PipelinedAppend& each) { return each.m_append.m_writer->m_sequence == sequence; });
    if (found == pipeline.m_queue.end())
        return AppendOutcome::Proceed;
    if (status == StoreStatus::Done) {
        confirm(pipeline, sequence, now);
        return AppendOutcome::Proceed;
    }
    if (status == StoreStatus::OutOfSequence && found == pipeline.m_queue.begin())
        return AppendOutcome::SequenceMismatch;
    found->m_isInFlight = false;
    pipeline.m_retryAt = now + retryDelay;
    pipeline.m_refusals += status == StoreStatus::NotDone && found == pipeline.m_queue.begin() ? 1 : 0;
    return AppendOutcome::Proceed;
}

Duration appendTimeout(const AppendPipeline& pipeline)
{
    return std::clamp(pipeline.m_lastLatency * latencyMultiple, minTimeout, maxTimeout);
}

std::optional<TimePoint> oldestUnconfirmedSince(const AppendPipeline& pipeline)
{
    if (pipeline.m_queue.empty() || !pipeline.m_queue.front().m_isSent)
        return std::nullopt;
    return pipeline.m_queue.front().m_firstSentAt;
}

} // namespace bulrushloft::cell
