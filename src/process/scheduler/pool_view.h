/** @file pool_view.h Compact copy of the workers of a pool, on which one placement pass searches for room. */
#pragma once

#include "process/scheduler/worker_forecast.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushloft::scheduler::detail {

/** The workers of a rack by the time at which they are expected to have room for a task of some size. */
struct RackRoom {
    std::string m_rack;
    Resources m_size; ///< Size of the task.
    std::vector<std::pair<TimePoint, std::uint32_t>> m_times; ///< Heap with the earliest time at its top, and the position of the worker. During a pass, times only become later; those below the top may be out of date.
};

/**
 * The workers of a pool that accept tasks.
 * Load: hundreds of steps wait for room on a thousand full workers. Their free resources stand side by side, so that a search
 * takes microseconds, and a size that was searched for in vain answers for all larger ones.
 */
struct PoolView {
    std::vector<WorkerIndex> m_workers; ///< Workers that accept tasks.
    std::vector<Resources> m_free; ///< Free resources of each of m_workers.
    std::vector<const StepRun*> m_reservedFor; ///< Blocked step for which each of m_workers is reserved; null for none.
    std::size_t m_reservedCount = 0; ///< Number of reserved workers.
    bool m_hasHeldWorkers = false; ///< A worker may be held for a suspect, see isHeldForSuspect().
    std::size_t m_reservingSteps = 0; ///< Number of steps for which this pass has reserved workers.
    std::vector<std::uint32_t> m_changed; ///< Positions of the workers on which room may have appeared since the previous pass.
    std::vector<std::vector<ExpectedEnd>> m_ends; ///< Expected ends on each of m_workers, as of the beginning of the pass; filled when they are first needed.
    std::vector<WorkerOutlook> m_outlooks; ///< By position: forecast for steps that wait for a better place; filled when first needed.
    std::uint32_t m_lastRoomLeft = 0; ///< Position of a worker that had room left for a step that waits for a better place; looked at first for the next one.
    std::vector<RackRoom> m_rackRooms; ///< For the racks and sizes that steps wait for; filled when first needed.
    std::vector<Resources> m_sizesWithoutRoom; ///< Task sizes for which no worker that is not reserved has room any more.
};

/** Views of all pools, by name of the pool. */
using PoolViews = std::map<std::string, PoolView, std::less<>>;

/** Builds the views of all pools with a worker that accepts tasks now, and forgets the changes that led to this pass. */
PoolViews takePoolViews(Scheduler& scheduler, TimePoint now);

/** @return Positions in m_workers of the workers that have room for a task of this size and are not reserved for another step. */
std::vector<std::uint32_t> findRoom(PoolView& view, const Resources& size, const StepRun& run);

/** @return Whether a worker has room for a task of this size and is not reserved for another step. */
bool hasRoom(const PoolView& view, std::uint32_t position, const Resources& size, const StepRun& run);

/** @return Position of a worker in m_workers; nothing when it accepts no tasks, or belongs to another pool. */
std::optional<std::uint32_t> findPosition(const Scheduler& scheduler, const PoolView& view, WorkerIndex worker);

/** @return Whether room for a task of this size may have appeared since the previous pass on a worker that is not reserved for another step. */
bool hasNewRoom(const PoolView& view, const Resources& size, const StepRun& run);

/** @return When a worker is expected to have room for a task of this size if nothing else is placed on it. */
TimePoint expectedRoomAt(const Scheduler& scheduler, PoolView& view, std::uint32_t position, const Resources& size, TimePoint now);

/** Reserves workers for a blocked step until the next full pass. @param positions Positions in m_workers. */
void reserveWorkers(Scheduler& scheduler, PoolView& view, const std::vector<std::uint32_t>& positions, StepRun& run);

/** @return Number of tasks of a size that fit into the free resources, at most the given limit. */
std::int64_t countFitting(const Resources& size, const Resources& free, std::int64_t limit);

} // namespace bulrushloft::scheduler::detail
