/** @file append_pipeline.cpp Order, repeats and confirmations of a fenced writer's appends. */
#include "process/cell/append_pipeline.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    constexpr std::size_t mostUnconfirmed = 4; ///< The store answers repeats of the last five appends only.
    constexpr Duration nextAppendAfter { 100 }; ///< An append that is silent for longer does not hold up the next one.
    constexpr Duration shortestTimeout { 800 };
    constexpr Duration longestTimeout { 4'000 };
    constexpr Duration retryPause { 100 };
    constexpr Duration shortestSilence { 150 };
    constexpr std::int64_t timesTheLast = 3; ///< An append is waited for so many times as long as the latest one took.

    bool isAnyOut(const AppendPipeline& pipeline)
    {
        return std::any_of(pipeline.m_queue.begin(), pipeline.m_queue.end(), [](const PipelinedAppend& each) { return each.m_isOut; });
    }

    /** @return Whether an append has to be repeated before a younger one is sent. */
    bool isRepeatDue(const AppendPipeline& pipeline)
    {
        return std::any_of(pipeline.m_queue.begin(), pipeline.m_queue.end(), [](const PipelinedAppend& each) { return each.m_isSent && !each.m_isOut; });
    }

    /** @return Whether the oldest append is silent while the store answers others: its answer or its connection is lost. */
    bool isPassedOver(const AppendPipeline& pipeline, TimePoint storeHeardAt, TimePoint now)
    {
        const PipelinedAppend& front = pipeline.m_queue.front();
        return front.m_isOut && storeHeardAt > front.m_sentAt && now - front.m_sentAt >= std::max(shortestSilence, pipeline.m_lastTook * timesTheLast);
    }

    /** Drops what is confirmed: the store takes sequence numbers in their order, so all before a confirmed one are kept too. */
    void confirm(AppendPipeline& pipeline, std::uint64_t sequence, TimePoint now)
    {
        while (!pipeline.m_queue.empty() && pipeline.m_queue.front().m_append.m_writer->m_sequence <= sequence) {
            const PipelinedAppend& front = pipeline.m_queue.front();
            pipeline.m_lastTook = now - front.m_sentAt;
            if (front.m_batch > 0)
                pipeline.m_confirmedBatch = front.m_batch;
            pipeline.m_queue.pop_front();
        }
        pipeline.m_refusals = 0;
    }

} // namespace

bool wantsAppend(const AppendPipeline& pipeline, TimePoint storeHeardAt, TimePoint now)
{
    if (pipeline.m_queue.empty())
        return true;
    const bool isDue = now - pipeline.m_lastSentAt >= nextAppendAfter;
    const bool isAlive = pipeline.m_lastTook >= nextAppendAfter || storeHeardAt > pipeline.m_lastSentAt;
    return isDue && isAlive && pipeline.m_queue.back().m_isOut && !isRepeatDue(pipeline) && pipeline.m_queue.size() < mostUnconfirmed;
}

void pushAppend(AppendPipeline& pipeline, StoreAppend append, std::uint64_t batch)
{
    ++pipeline.m_writer.m_sequence;
    append.m_writer = pipeline.m_writer;
    pipeline.m_queue.push_back({ .m_append = std::move(append), .m_batch = batch, .m_firstSentAt = {}, .m_sentAt = {} });
}

const PipelinedAppend* takeAppend(AppendPipeline& pipeline, TimePoint storeHeardAt, TimePoint now)
{
    if (!pipeline.m_queue.empty() && isPassedOver(pipeline, storeHeardAt, now))
        pipeline.m_queue.front().m_isOut = false;
    PipelinedAppend* next = nullptr;
    if (isRepeatDue(pipeline)) {
        // Alone, so that answers of earlier tries can't be taken for its own.
        if (!isAnyOut(pipeline) && now >= pipeline.m_retryAt)
            next = &pipeline.m_queue.front();
    } else {
        const auto unsent = std::find_if(pipeline.m_queue.begin(), pipeline.m_queue.end(), [](const PipelinedAppend& each) { return !each.m_isSent; });
        // Two that leave at once could overtake each other.
        const bool isSpaced = !isAnyOut(pipeline) || now - pipeline.m_lastSentAt >= nextAppendAfter;
        const bool isWithinWindow = unsent - pipeline.m_queue.begin() < static_cast<std::ptrdiff_t>(mostUnconfirmed);
        if (unsent != pipeline.m_queue.end() && isSpaced && isWithinWindow)
            next = &*unsent;
    }
    if (!next)
        return nullptr;
    next->m_firstSentAt = next->m_isSent ? next->m_firstSentAt : now;
    next->m_sentAt = now;
    next->m_isSent = true;
    next->m_isOut = true;
    pipeline.m_lastSentAt = now;
    return next;
}

AppendVerdict onAppendAnswer(AppendPipeline& pipeline, std::uint64_t sequence, StoreStatus status, TimePoint now)
{
    if (status == StoreStatus::Fenced)
        return AppendVerdict::Fenced;
    const auto found = std::find_if(pipeline.m_queue.begin(), pipeline.m_queue.end(), [&](const PipelinedAppend& each) { return each.m_append.m_writer->m_sequence == sequence; });
    if (found == pipeline.m_queue.end())
        return AppendVerdict::GoOn;
    if (status == StoreStatus::Done) {
        confirm(pipeline, sequence, now);
        return AppendVerdict::GoOn;
    }
    if (status == StoreStatus::OutOfSequence && found == pipeline.m_queue.begin())
        return AppendVerdict::Disordered;
    found->m_isOut = false;
    pipeline.m_retryAt = now + retryPause;
    pipeline.m_refusals += status == StoreStatus::NotDone && found == pipeline.m_queue.begin() ? 1 : 0;
    return AppendVerdict::GoOn;
}

Duration appendTimeout(const AppendPipeline& pipeline)
{
    return std::clamp(pipeline.m_lastTook * timesTheLast, shortestTimeout, longestTimeout);
}

std::optional<TimePoint> oldestSince(const AppendPipeline& pipeline)
{
    if (pipeline.m_queue.empty() || !pipeline.m_queue.front().m_isSent)
        return std::nullopt;
    return pipeline.m_queue.front().m_firstSentAt;
}

} // namespace bulrushloft::cell
