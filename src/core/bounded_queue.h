/** @file bounded_queue.h The bounded ring that joins two duty threads. */
#pragma once

#include "core/clock_type.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <utility>

#include <tbb/concurrent_queue.h>

namespace bulrushloft {

/**
 * A bounded queue with many producers and one consumer that can wait with a time limit.
 * A full ring refuses the item, so that overload is answered early instead of being stored.
 */
template <typename Item>
class BoundedQueue {
public:
    /** @param capacity The largest number of items held. */
    explicit BoundedQueue(std::size_t capacity) { m_queue.set_capacity(static_cast<std::ptrdiff_t>(capacity)); }

    /**
     * Adds an item without waiting.
     * @return False when the ring is full; the item is then unchanged.
     */
    bool tryPush(Item&& item)
    {
        if (!m_queue.try_push(std::move(item)))
            return false;
        wakeConsumer();
        return true;
    }

    /** Adds an item, waiting for room; for results that must not be lost. */
    void push(Item&& item)
    {
        m_queue.push(std::move(item));
        wakeConsumer();
    }

    /** Takes an item if there is one. */
    bool tryPop(Item& item) { return m_queue.try_pop(item); }

    /**
     * Takes an item, waiting for one at most the given time.
     * @param item Receives the item.
     * @param limit The longest wait in milliseconds.
     * @return False when no item came in time.
     */
    bool tryPopFor(Item& item, Duration limit)
    {
        if (m_queue.try_pop(item))
            return true;
        std::unique_lock lock(m_mutex);
        m_isConsumerWaiting = true;
        m_wakeUp.wait_for(lock, std::chrono::milliseconds(limit.m_ms), [&] { return !m_queue.empty(); });
        m_isConsumerWaiting = false;
        lock.unlock();
        return m_queue.try_pop(item);
    }

    /** @return The number of items held, approximate while threads run. */
    std::size_t size() const
    {
        const auto count = m_queue.size();
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    }

private:
    void wakeConsumer()
    {
        if (!m_isConsumerWaiting)
            return;
        const std::lock_guard lock(m_mutex);
        m_wakeUp.notify_one();
    }

    tbb::concurrent_bounded_queue<Item> m_queue;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::atomic<bool> m_isConsumerWaiting { false };
};

} // namespace bulrushloft
