/** @file append_queue.h Appends that a partition of the stand-in store has accepted and carries out one at a time. */
#pragma once

#include "core/clock_type.h"

#include <algorithm>
#include <cstdint>

namespace bulrushloft::soak {

/** Appends of one partition, counted by outcome. */
struct AppendCounts {
    std::uint64_t m_sent = 0; ///< Appends that have reached the partition.
    std::uint64_t m_done = 0; ///< Appends that were carried out, whether their condition held or not.
    std::uint64_t m_refused = 0; ///< Appends that were refused because too much was waiting.
    std::uint64_t m_late = 0; ///< Appends that were left unanswered and are carried out seconds later.
};

/** Queue of one partition. The work of an append is fixed when it arrives: a store that gets faster does not shorten what is waiting. */
struct AppendQueue {
    TimePoint m_freeAt; ///< When all appends that have arrived will be carried out.
    Duration m_longestWait; ///< Most work that was waiting in the whole run.
    Duration m_longestWatchedWait; ///< Most work that was waiting since the latest call of watchWait().
    AppendCounts m_counts;
};

/** Work in the queue above which an append is refused. */
constexpr Duration maxAppendWait { 2'000 };

/** @return Work that is waiting, as the time until it is carried out. */
inline Duration waitOf(const AppendQueue& queue, TimePoint now)
{
    return std::max(queue.m_freeAt - now, Duration {});
}

/** @return Whether an append that arrives now is refused. Late appends are queued nevertheless. */
inline bool isFull(const AppendQueue& queue, TimePoint now)
{
    return waitOf(queue, now) > maxAppendWait;
}

/**
 * Queues an append behind all earlier ones.
 * @param length Time that the partition needs for it. @return When it is carried out.
 */
inline TimePoint enqueue(AppendQueue& queue, TimePoint now, Duration length)
{
    queue.m_freeAt = std::max(queue.m_freeAt, now) + length;
    queue.m_longestWait = std::max(queue.m_longestWait, waitOf(queue, now));
    queue.m_longestWatchedWait = std::max(queue.m_longestWatchedWait, waitOf(queue, now));
    return queue.m_freeAt;
}

/** Begins a new measurement of m_longestWatchedWait with what is waiting now. */
inline void watchWait(AppendQueue& queue, TimePoint now)
{
    queue.m_longestWatchedWait = waitOf(queue, now);
}

} // namespace bulrushloft::soak
