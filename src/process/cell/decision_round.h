/** @file decision_round.h A round of the decision thread: queued work, urgent work first. */
#pragma once

#include "core/bounded_queue.h"

#include <functional>

namespace bulrushloft::cell {

/** Work for the decision thread. */
using WorkItem = std::function<void()>;

/** Queues of the decision thread. */
struct WorkQueues {
    explicit WorkQueues(std::size_t capacity)
        : m_items(capacity)
        , m_urgentItems(capacity)
    {
    }

    BoundedQueue<WorkItem> m_items;
    BoundedQueue<WorkItem> m_urgentItems; ///< Work that overtakes m_items, such as heartbeats: a busy leader must not be mistaken for a dead one.
};

/** What a round calls. */
struct RoundCalls {
    std::function<void()> m_noteTime; ///< Called before each item: what an item brings, such as a worker's clock, may be newer than the round's start.
    std::function<void(const WorkItem&)> m_runItem; ///< Runs an item.
};

/**
 * Runs queued work.
 * @param first An item taken from the queue. @param limit Maximum number of items, without urgent ones.
 * @return Number of items, without urgent ones.
 */
std::size_t runRound(WorkQueues& queues, WorkItem first, std::size_t limit, const RoundCalls& calls);

} // namespace bulrushloft::cell
