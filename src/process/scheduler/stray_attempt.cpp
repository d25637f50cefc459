/** @file stray_attempt.cpp Holds tasks of which an earlier attempt still runs. */
#include "process/scheduler/stray_attempt.h"

#include "process/scheduler/scheduler_detail.h"

#include <algorithm>

namespace bulrushloft::scheduler::detail {

void forgetStrays(Scheduler& scheduler, Worker& worker)
{
    for (const TaskName& name : std::exchange(worker.m_strays, {})) {
        const TaskRef ref = findTask(scheduler, name);
        if (!ref.m_run)
            continue;
        ref.task().m_strayUntil = {};
        ref.m_run->m_isChanged = true;
        scheduler.m_needsPlacing = true;
    }
}

void noteStray(Scheduler& scheduler, WorkerIndex index, const TaskRef& ref, TimePoint now)
{
    Task& task = ref.task();
    if (task.m_resolution != TaskResolution::Open || isFinal(ref.m_run->m_job->m_stage) || planOf(*ref.m_run).m_isSpeculative)
        return;
    const bool isUnsent = task.m_phase == RunPhase::Recording || (task.m_phase == RunPhase::Starting && !task.m_isCallPending && !task.m_mayHaveArrived);
    if (task.m_phase != RunPhase::None && !isUnsent)
        return;
    Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
    constexpr std::int64_t maxLeases = 2; // The lease that the attempt has, and one that a call to the worker may renew once more before it falls silent.
    task.m_strayUntil = now + scheduler.m_options.m_longestLease * maxLeases;
    ref.m_run->m_strayUntil = std::max(ref.m_run->m_strayUntil, task.m_strayUntil);
    worker.m_strays.push_back(nameOf(ref));
    if (isUnsent)
        stopTaskAndGang(scheduler, ref, now);
}

bool isHeldForStray(const Task& task, TimePoint now)
{
    return now < task.m_strayUntil;
}

std::uint32_t countPlaceable(const StepRun& run, TimePoint now)
{
    const std::uint32_t unplaced = countUnplaced(run);
    if (now >= run.m_strayUntil)
        return unplaced;
    const auto isHeld = [&](const Task& task) { return task.m_resolution == TaskResolution::Open && task.m_phase == RunPhase::None && isHeldForStray(task, now); };
    const auto held = static_cast<std::uint32_t>(std::count_if(run.m_tasks.begin(), run.m_tasks.end(), isHeld));
    const bool isAllHeld = held > 0 && planOf(run).m_isGang; // The members of a gang start together.
    return isAllHeld || held >= unplaced ? 0 : unplaced - held;
}

} // namespace bulrushloft::scheduler::detail
