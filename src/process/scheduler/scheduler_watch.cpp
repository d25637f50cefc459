/** @file scheduler_watch.cpp Tasks that stand still and gangs that do not come together. */
#include "core/log_func.h"
#include "process/scheduler/scheduler_detail.h"
#include "request/plan_func.h"

#include <algorithm>

namespace bulrushloft::scheduler::detail {

namespace {

    constexpr Duration watchInterval { 250 };
    constexpr Duration longestStandstill { 1'800 }; ///< Even a task on a slow worker shows progress in this time.
    constexpr Duration stalledHoldOut { 4'000 };
    constexpr Duration gangStopMargin { 1'200 }; ///< Before the workers give a gang up themselves.
    constexpr int wholePercent = 100;

    bool isStalled(const TaskRef& ref, const Worker& worker, TimePoint now)
    {
        const StepPlan& plan = planOf(*ref.m_run);
        const Task& task = ref.task();
        const bool isWatched = task.m_phase == RunPhase::Running && task.m_percent >= 0 && !plan.m_isBestEffort && !plan.m_isLongRunning && task.m_percent < wholePercent;
        // The worker has to be heard: without looks there is no progress to be seen.
        return isWatched && now - task.m_progressAt > longestStandstill && worker.m_answeredAt - task.m_progressAt > longestStandstill;
    }

    void watchWorker(Scheduler& scheduler, Worker& worker, TimePoint now)
    {
        if (worker.m_link != WorkerLink::Adopted || worker.m_unanswered > 0)
            return;
        const std::vector<TaskRef> tasks = worker.m_tasks;
        for (const TaskRef& ref : tasks) {
            if (!isStalled(ref, worker, now))
                continue;
            worker.m_health.m_heldOutUntil = std::max(worker.m_health.m_heldOutUntil, now + stalledHoldOut);
            logEvent(LogLevel::Warning, "task-stalled", { { "task", format(nameOf(ref)) }, { "attempt", ref.task().m_attempt }, { "worker", worker.m_notice.m_id }, { "percent", ref.task().m_percent }, { "still_ms", (now - ref.task().m_progressAt).m_ms } });
            stopTask(scheduler, ref, now);
        }
    }

    /** @return Whether some members have waited so long for the others that the workers will soon give up. */
    bool isGangTorn(const Scheduler& scheduler, const StepRun& run, TimePoint now)
    {
        bool isSomeMissing = false;
        TimePoint firstAt = farFuture;
        for (const Task& task : run.m_tasks) {
            isSomeMissing = isSomeMissing || task.m_phase == RunPhase::Starting;
            if (task.m_phase == RunPhase::Running)
                firstAt = std::min(firstAt, task.m_confirmedAt);
        }
        return isSomeMissing && now - firstAt > scheduler.m_options.m_gangTimeout - gangStopMargin;
    }

    void watchGangs(Scheduler& scheduler, TimePoint now)
    {
        const std::vector<TaskRef> calls = scheduler.m_calls;
        for (const TaskRef& ref : calls) {
            StepRun& run = *ref.m_run;
            if (ref.task().m_phase != RunPhase::Starting || !planOf(run).m_isGang || !isGangTorn(scheduler, run, now))
                continue;
            logEvent(LogLevel::Warning, "gang-torn", { { "step", format(nameOf(ref)) }, { "attempt", ref.task().m_attempt } });
            for (std::uint32_t i = 0; i < run.m_tasks.size(); ++i)
                stopTask(scheduler, { &run, i }, now);
        }
    }

} // namespace

void stepWatch(Scheduler& scheduler, TimePoint now)
{
    if (now < scheduler.m_nextWatchAt)
        return;
    scheduler.m_nextWatchAt = now + watchInterval;
    for (Worker& worker : scheduler.m_workers)
        watchWorker(scheduler, worker, now);
    watchGangs(scheduler, now);
}

} // namespace bulrushloft::scheduler::detail
