/** @file scheduler_pacing.cpp Throttling of best-effort tasks that share a worker with serving tasks near or above their latency target. */
#include "core/log_func.h"
#include "process/scheduler/scheduler_detail.h"
#include "request/plan_func.h"

#include <algorithm>

namespace bulrushloft::scheduler::detail {

namespace {

    constexpr Duration pacingInterval { 500 };
    constexpr double slowDownAbove = 0.85; ///< Ratio of tail latency to target above which best-effort tasks are slowed down.
    constexpr double speedUpBelow = 0.6; ///< Ratio of tail latency to target below which best-effort tasks are sped up.
    constexpr int paceStep = 20; ///< Increase per speed-up, in percent of full speed.
    constexpr int minRunningPace = 10; ///< Best-effort tasks that would run below this pace, in percent of full speed, are paused.

    /** @return The highest ratio of tail latency to target among the worker's serving tasks; 0 when it has none. */
    double worstTailRatio(const Worker& worker)
    {
        double worst = 0;
        for (const TaskRef& ref : worker.m_tasks) {
            const Duration target = planOf(*ref.m_run).m_tailLatencyTarget;
            if (target.m_ms > 0 && ref.task().m_phase == RunPhase::Running)
                worst = std::max(worst, static_cast<double>(ref.task().m_loadMetric) / static_cast<double>(target.m_ms));
        }
        return worst;
    }

    /** @return The next pace in percent: halved above the upper threshold, raised below the lower one, else unchanged. */
    int nextPace(int pace, double tailRatio)
    {
        if (tailRatio > slowDownAbove) {
            const int half = pace / 2;
            return half < minRunningPace ? 0 : half;
        }
        return tailRatio < speedUpBelow ? std::min(100, pace + paceStep) : pace;
    }

} // namespace

void stepPacing(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects)
{
    if (now < scheduler.m_nextPacingAt)
        return;
    scheduler.m_nextPacingAt = now + pacingInterval;
    for (const WorkerIndex index : scheduler.m_activeWorkers) {
        const Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        if (worker.m_state != WorkerState::Adopted)
            continue;
        const double tailRatio = worstTailRatio(worker);
        for (const TaskRef& ref : worker.m_tasks) {
            Task& task = ref.task();
            if (!planOf(*ref.m_run).m_isBestEffort || task.m_phase != RunPhase::Running)
                continue;
            const int pace = nextPace(task.m_pace, tailRatio);
            if (pace == task.m_pace)
                continue;
            logEvent(LogLevel::Info, "task-pace-changed", { { "task", format(nameOf(ref)) }, { "worker", worker.m_announcement.m_id }, { "from_percent", task.m_pace }, { "to_percent", pace }, { "tail_latency_percent_of_target", static_cast<int>(tailRatio * 100) } });
            task.m_pace = pace;
            effects.m_paces.push_back({ targetOf(scheduler, worker), { .m_task = nameOf(ref), .m_attempt = task.m_attempt, .m_percent = static_cast<std::uint32_t>(pace) } });
        }
    }
}

} // namespace bulrushloft::scheduler::detail
