/** @file pool_view.cpp Search for room on the workers of a pool. */
#include "process/scheduler/pool_view.h"

#include "process/scheduler/scheduler_detail.h"

#include <algorithm>

namespace bulrushloft::scheduler::detail {

namespace {

    void addWorker(PoolView& view, WorkerIndex index, Worker& worker, bool hasChanged)
    {
        if (hasChanged || !worker.m_wasAccepting)
            view.m_changed.push_back(static_cast<std::uint32_t>(view.m_workers.size()));
        worker.m_viewPosition = static_cast<std::uint32_t>(view.m_workers.size());
        view.m_workers.push_back(index);
        view.m_free.push_back(worker.m_announcement.m_capacity - worker.m_granted);
        view.m_reservedFor.push_back(worker.m_reservedFor);
        view.m_reservedCount += worker.m_reservedFor ? 1 : 0;
        view.m_hasHeldWorkers = view.m_hasHeldWorkers || worker.m_heldForSuspectUntil.m_ms > 0;
    }

} // namespace

PoolViews takePoolViews(Scheduler& scheduler, TimePoint now)
{
    std::vector<bool> hasChanged(scheduler.m_workers.size(), false);
    for (const WorkerIndex index : std::exchange(scheduler.m_changedWorkers, {}))
        hasChanged[static_cast<std::size_t>(index)] = true;
    PoolViews views;
    PoolView* view = nullptr;
    const std::string* pool = nullptr; // Workers of a pool mostly stand next to each other, which saves most of the lookups.
    for (const WorkerIndex index : scheduler.m_activeWorkers) {
        Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        const bool isAccepting = acceptsTasks(worker, now);
        if (isAccepting && (!pool || *pool != worker.m_announcement.m_pool)) {
            pool = &worker.m_announcement.m_pool;
            view = &views[*pool];
        }
        if (isAccepting)
            addWorker(*view, index, worker, hasChanged[static_cast<std::size_t>(index)]);
        worker.m_wasAccepting = isAccepting;
    }
    return views;
}

std::vector<std::uint32_t> findRoom(PoolView& view, const Resources& size, const StepRun& run)
{
    std::vector<std::uint32_t> positions;
    const auto isKnown = [&] { return std::any_of(view.m_sizesWithoutRoom.begin(), view.m_sizesWithoutRoom.end(), [&](const Resources& smaller) { return fitsInto(smaller, size); }); };
    if (!run.m_hasReservations && isKnown())
        return positions;
    for (std::uint32_t i = 0; i < view.m_free.size(); ++i) {
        if (hasRoom(view, i, size, run))
            positions.push_back(i);
    }
    constexpr std::size_t maxSizes = 24; ///< Beyond this number, comparing sizes would take longer than it saves.
    if (positions.empty() && view.m_sizesWithoutRoom.size() < maxSizes)
        view.m_sizesWithoutRoom.push_back(size);
    return positions;
}

bool hasRoom(const PoolView& view, std::uint32_t position, const Resources& size, const StepRun& run)
{
    return fitsInto(size, view.m_free[position]) && (!view.m_reservedFor[position] || view.m_reservedFor[position] == &run);
}

std::optional<std::uint32_t> findPosition(const Scheduler& scheduler, const PoolView& view, WorkerIndex worker)
{
    const Worker& each = scheduler.m_workers[static_cast<std::size_t>(worker)];
    const bool isInView = each.m_wasAccepting && each.m_viewPosition < view.m_workers.size() && view.m_workers[each.m_viewPosition] == worker;
    return isInView ? std::optional(each.m_viewPosition) : std::nullopt;
}

bool hasNewRoom(const PoolView& view, const Resources& size, const StepRun& run)
{
    return std::any_of(view.m_changed.begin(), view.m_changed.end(), [&](std::uint32_t position) { return hasRoom(view, position, size, run); });
}

TimePoint expectedRoomAt(const Scheduler& scheduler, PoolView& view, std::uint32_t position, const Resources& size, TimePoint now)
{
    if (fitsInto(size, view.m_free[position]))
        return now;
    view.m_ends.resize(view.m_workers.size());
    std::vector<ExpectedEnd>& ends = view.m_ends[position];
    const Worker& worker = scheduler.m_workers[static_cast<std::size_t>(view.m_workers[position])];
    if (ends.empty() && !worker.m_tasks.empty())
        ends = expectedEndsOf(worker, now);
    return expectedRoomAt(ends, view.m_free[position], size, now);
}

void reserveWorkers(Scheduler& scheduler, PoolView& view, const std::vector<std::uint32_t>& positions, StepRun& run)
{
    for (const std::uint32_t position : positions) {
        scheduler.m_workers[static_cast<std::size_t>(view.m_workers[position])].m_reservedFor = &run;
        view.m_reservedFor[position] = &run;
    }
    view.m_reservedCount += positions.size();
    view.m_reservingSteps += positions.empty() ? 0 : 1;
    run.m_hasReservations = run.m_hasReservations || !positions.empty();
}

std::int64_t countFitting(const Resources& size, const Resources& free, std::int64_t limit)
{
    if (!fitsInto(size, free)) // What is free is negative once the capacity has shrunk below what is granted.
        return 0;
    if (size.m_cpuMilli > 0)
        limit = std::min(limit, free.m_cpuMilli / size.m_cpuMilli);
    if (size.m_memoryMb > 0)
        limit = std::min(limit, free.m_memoryMb / size.m_memoryMb);
    if (size.m_gpus > 0)
        limit = std::min(limit, free.m_gpus / size.m_gpus);
    return limit;
}

} // namespace bulrushloft::scheduler::detail
