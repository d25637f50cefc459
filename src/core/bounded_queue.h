/** @file bounded_queue.h Bounded queue that passes items between threads. */
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
 * A bounded queue for many producers and one consumer, which can wait for an item with a timeout.
 * tryPush() rejects an item when the queue is full, so that callers can report overload early instead of queueing without limit.
 */
template <typename Item>
class BoundedQueue {
public:
    /** @param capacity Maximum number of items in the queue. */
    explicit BoundedQueue(std::size_t capacity) { m_queue.set_capacity(static_cast<std::ptrdiff_t>(capacity)); }

    /**
     * Adds an item without waiting.
     * @return False if the queue is full; the item is then unchanged.
     */
    bool tryPush(Item&& item)
    {
        if (!m_queue.try_push(std::move(item)))
            return false;
        wakeConsumer();
        return true;
    }

    /** Adds an item, blocking while the queue is full; for results that must not be lost. */
    void push(Item&& item)
    {
        m_queue.push(std::move(item));
        wakeConsumer();
    }

    /** Removes the oldest item, without waiting. @return False if the queue is empty. */
    bool tryPop(Item& item) { return m_queue.try_pop(item); }

    /**
     * Removes the oldest item, waiting for one if the queue is empty.
     * @param item Receives the item.
     * @param limit Maximum time to wait.
     * @return False if no item arrived in time.
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

    /** @return Number of items in the queue; approximate while other threads use it. */
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
