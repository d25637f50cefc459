/** @file worker_forecast.cpp Prediction of ends and of room on a worker. */
#include "process/scheduler/worker_forecast.h"

#include "process/scheduler/place_wait.h"
#include "process/scheduler/scheduler_detail.h"

#include <algorithm>

namespace bulrushloft::scheduler::detail {

namespace {

    /** @return Whether an earlier term placed the attempt, so that it is not known when it started. */
    bool isOfEarlierTerm(const Task& task)
    {
        return task.m_placedAt == TimePoint {};
    }

    /** @return When an attempt is expected to end: from its progress where the worker reports it, else from the predicted run time. */
    TimePoint expectedEndOf(const Worker& worker, const TaskRef& ref, TimePoint now, const ForecastRules& rules)
    {
        constexpr int minUsefulPercent = 10; ///< Less progress says little about the whole run time.
        constexpr std::int64_t completePercent = 100;
        const StepRun& run = *ref.m_run;
        const Task& task = ref.task();
        if (planOf(run).m_isLongRunning)
            return farFuture;
        if (task.m_phase == RunPhase::Stopping)
            return now;
        if (rules.m_extendsOverdue && run.m_expectedRunTime.m_ms <= 0)
            return farFuture;
        const bool isRemote = !planOf(run).m_dataRack.empty() && planOf(run).m_dataRack != worker.m_rack;
        const Duration runTime { static_cast<std::int64_t>(static_cast<double>(run.m_expectedRunTime.m_ms) * slowdownOf(worker) * run.m_gangFactor * (isRemote ? rules.m_remoteFactor : 1)) };
        const auto endOf = [&](TimePoint startedAt, Duration length) { return rules.m_extendsOverdue ? expectedEndOfAttempt(startedAt, length, now) : startedAt + length; };
        if (isOfEarlierTerm(task))
            return endOf(task.m_progressAt, runTime * (completePercent - std::clamp<std::int64_t>(task.m_percent, 0, completePercent)) / completePercent);
        // A start that waits for its record or its confirmation is expected to wait as long again.
        const TimePoint startedAt = task.m_phase == RunPhase::Running ? task.m_confirmedAt : now + (now - task.m_placedAt);
        const bool isProgressUseful = task.m_phase == RunPhase::Running && task.m_percent >= minUsefulPercent && task.m_percent <= completePercent && task.m_checkpointAtStart.empty();
        if (isProgressUseful)
            return endOf(startedAt, (task.m_progressAt - startedAt) * completePercent / task.m_percent);
        return endOf(startedAt, runTime);
    }

} // namespace

std::vector<ExpectedEnd> expectedEndsOf(const Worker& worker, TimePoint now, const ForecastRules& rules)
{
    std::vector<ExpectedEnd> ends;
    ends.reserve(worker.m_tasks.size());
    for (const TaskRef& ref : worker.m_tasks)
        ends.push_back({ .m_at = std::max(now, expectedEndOf(worker, ref, now, rules)), .m_grant = grantOf(*ref.m_run) });
    std::sort(ends.begin(), ends.end(), [](const ExpectedEnd& one, const ExpectedEnd& other) { return one.m_at < other.m_at; });
    return ends;
}

TimePoint expectedRoomAt(const std::vector<ExpectedEnd>& ends, const Resources& free, const Resources& size, TimePoint now)
{
    Resources room = free;
    if (fitsInto(size, room))
        return now;
    for (const ExpectedEnd& end : ends) {
        room = room + end.m_grant;
        if (fitsInto(size, room))
            return end.m_at;
    }
    return farFuture;
}

} // namespace bulrushloft::scheduler::detail
