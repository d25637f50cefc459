/** @file scheduler_watch.cpp Detection of stalled tasks and of gangs whose members do not all start. */
#include "core/log_func.h"
#include "process/scheduler/active_workers.h"
#include "process/scheduler/scheduler_detail.h"
#include "request/plan_func.h"

#include <algorithm>

namespace bulrushloft::scheduler::detail {

namespace {

    constexpr Duration watchInterval { 250 };
    constexpr Duration minTimeWithoutProgress { 1'800 }; ///< Long enough that even a short task on a slow worker reports progress.
    constexpr Duration stallQuarantine { 4'000 };
    constexpr Duration gangStopMargin { 1'200 }; ///< Gangs are stopped this long before their workers would end the attempts themselves.
    constexpr int completePercent = 100;

    /**
     * Progress is reported in whole percent, so that of a long task stays the same for long. It is taken to stand still only after a time that neither
     * its run time nor the pace of its attempt explains. Once several attempts were stopped for that, the task rather than the workers is slow, and the
     * time doubles with each further one, so that a task that begins anew each time can end.
     * @return How long the current attempt may report the same progress.
     */
    Duration progressLimit(const TaskRef& ref)
    {
        constexpr std::int64_t runTimeDivisor = 5; // Twenty steps of a hundredth: the task may take twenty times as long as expected.
        constexpr std::int64_t paceMultiple = 3; // The longest step so far, on a worker that turns three times as slow.
        constexpr int freeStalls = 2; // The workers may well be at fault.
        constexpr int maxDoublings = 10;
        const Task& task = ref.task();
        const Duration expected = std::max(ref.m_run->m_expectedRunTime, planOf(*ref.m_run).m_estimatedRunTime);
        const Duration base = std::max({ minTimeWithoutProgress, expected / runTimeDivisor, Duration { task.m_longestPercentMs * paceMultiple } });
        return base * (std::int64_t { 1 } << std::clamp(task.m_stalls - freeStalls + 1, 0, maxDoublings));
    }

    bool isStalled(const TaskRef& ref, const Worker& worker)
    {
        const StepPlan& plan = planOf(*ref.m_run);
        const Task& task = ref.task();
        const bool isWatched = task.m_phase == RunPhase::Running && task.m_percent >= 0 && !plan.m_isBestEffort && !plan.m_isLongRunning && task.m_percent < completePercent;
        // Judged by the worker's clock in its reports, as these may be late or missing, and other answers say nothing about progress.
        return isWatched && task.m_progressClockMs != 0 && worker.m_clock.m_ms - task.m_progressClockMs > progressLimit(ref).m_ms;
    }

    void watchWorker(Scheduler& scheduler, Worker& worker, TimePoint now)
    {
        if (worker.m_state != WorkerState::Adopted || worker.m_unansweredCalls > 0)
            return;
        const std::vector<TaskRef> tasks = worker.m_tasks;
        for (const TaskRef& ref : tasks) {
            if (!isStalled(ref, worker))
                continue;
            worker.m_health.m_quarantinedUntil = std::max(worker.m_health.m_quarantinedUntil, now + stallQuarantine);
            logEvent(LogLevel::Warning, "task-stalled", { { "task", format(nameOf(ref)) }, { "attempt", ref.task().m_attempt }, { "worker", worker.m_announcement.m_id }, { "percent", ref.task().m_percent }, { "without_progress_ms", (now - ref.task().m_progressAt).m_ms }, { "limit_ms", progressLimit(ref).m_ms }, { "earlier_stalls", ref.task().m_stalls } });
            ++ref.task().m_stalls;
            stopTask(scheduler, ref, now);
        }
    }

    /** @return Whether running members have waited so long for unconfirmed ones that their workers will soon end the attempts. */
    bool isGangStartOverdue(const Scheduler& scheduler, const StepRun& run, TimePoint now)
    {
        bool isAnyStartUnconfirmed = false;
        TimePoint firstStartedAt = farFuture;
        for (const Task& task : run.m_tasks) {
            isAnyStartUnconfirmed = isAnyStartUnconfirmed || task.m_phase == RunPhase::Starting;
            if (task.m_phase == RunPhase::Running)
                firstStartedAt = std::min(firstStartedAt, task.m_confirmedAt);
        }
        return isAnyStartUnconfirmed && now - firstStartedAt > scheduler.m_options.m_gangTimeout - gangStopMargin;
    }

    void watchGangs(Scheduler& scheduler, TimePoint now)
    {
        const std::vector<TaskRef> tasks = scheduler.m_startingOrStopping;
        for (const TaskRef& ref : tasks) {
            StepRun& run = *ref.m_run;
            if (ref.task().m_phase != RunPhase::Starting || !planOf(run).m_isGang || !isGangStartOverdue(scheduler, run, now))
                continue;
            logEvent(LogLevel::Warning, "gang-start-overdue", { { "step", format(nameOf(ref)) }, { "attempt", ref.task().m_attempt } });
            stopTaskAndGang(scheduler, ref, now);
        }
    }

} // namespace

void stepWatch(Scheduler& scheduler, TimePoint now)
{
    if (now < scheduler.m_nextWatchAt)
        return;
    scheduler.m_nextWatchAt = now + watchInterval;
    retireWorkers(scheduler, now);
    for (const WorkerIndex index : scheduler.m_activeWorkers)
        watchWorker(scheduler, scheduler.m_workers[static_cast<std::size_t>(index)], now);
    watchGangs(scheduler, now);
}

} // namespace bulrushloft::scheduler::detail
