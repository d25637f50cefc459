/** @file partition_queue.h Queue of a partition of the metadata store, which carries out its appends one at a time; in the time of its user, without records. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

namespace bulrushloft::test {

/** Attempts to append to a partition. */
struct PartitionCounts {
    std::uint64_t m_sent = 0; ///< All attempts, including those that have not arrived yet.
    std::uint64_t m_done = 0; ///< Carried out.
    std::uint64_t m_refused = 0; ///< Refused because too much was waiting.
    std::uint64_t m_late = 0; ///< Sent with an answer that is lost; the partition gets them seconds later.
    std::uint64_t m_waiting = 0; ///< Arrived and not yet carried out.
    std::int64_t m_longestWaitMs = 0; ///< Longest time from the arrival of an append to its end, in ms.
    std::int64_t m_longestWatchedWaitMs = 0; ///< The same since the latest call of watchWait().
};

/**
 * The appends of a partition. An append takes as long as the store needs when it arrives, also if the store becomes faster while it waits.
 * All times are in ms of a clock that does not go back.
 */
class PartitionQueue {
public:
    static constexpr std::int64_t maxWaitingMs = 2'000; ///< With more waiting, the store refuses appends.

    explicit PartitionQueue(std::int64_t appendMs = 2)
        : m_appendMs(appendMs)
    {
    }

    /** Sets the time that each append that arrives from now on occupies the partition. */
    void setAppendTime(std::int64_t appendMs) { m_appendMs = appendMs; }

    /** Counts an append that arrives in time. @return When it is carried out; nothing if it is refused. */
    std::optional<std::int64_t> append(std::int64_t now)
    {
        ++m_counts.m_sent;
        if (waitingTime(now) > maxWaitingMs) {
            ++m_counts.m_refused;
            return std::nullopt;
        }
        return enqueue(now);
    }

    /** Counts an append whose answer is lost, at the time at which it is sent; arriveLate() follows. */
    void sendLate()
    {
        ++m_counts.m_sent;
        ++m_counts.m_late;
    }

    /** An append of sendLate() takes its place, however much is waiting. @return When it is carried out. */
    std::int64_t arriveLate(std::int64_t now) { return enqueue(now); }

    /** @return When a read or listing that arrives now is carried out: after all appends that have arrived. */
    std::int64_t readTime(std::int64_t now) const { return std::max(now, m_freeAt); }

    /** @return Time that the partition needs for the appends that have arrived, in ms. */
    std::int64_t waitingTime(std::int64_t now) const { return std::max<std::int64_t>(m_freeAt - now, 0); }

    /** Begins a new measurement of m_longestWatchedWaitMs with what is waiting now. */
    void watchWait(std::int64_t now) { m_counts.m_longestWatchedWaitMs = waitingTime(now); }

    /** @return The counts up to now. */
    const PartitionCounts& counts(std::int64_t now)
    {
        for (; !m_endTimes.empty() && m_endTimes.front() <= now; m_endTimes.pop_front())
            ++m_counts.m_done;
        m_counts.m_waiting = m_endTimes.size();
        return m_counts;
    }

private:
    std::int64_t enqueue(std::int64_t now)
    {
        m_freeAt = std::max(m_freeAt, now) + m_appendMs;
        m_endTimes.push_back(m_freeAt);
        m_counts.m_longestWaitMs = std::max(m_counts.m_longestWaitMs, m_freeAt - now);
        m_counts.m_longestWatchedWaitMs = std::max(m_counts.m_longestWatchedWaitMs, m_freeAt - now);
        return m_freeAt;
    }

    std::int64_t m_appendMs; ///< Time that an append occupies the partition.
    std::int64_t m_freeAt = 0; ///< When all appends that have arrived are carried out.
    std::deque<std::int64_t> m_endTimes; ///< When the appends that are not yet counted as done are carried out.
    PartitionCounts m_counts;
};

} // namespace bulrushloft::test
