/** @file late_start.cpp Starts without an answer, and their stops at a worker that has restarted. */
#include "process/scheduler/late_start.h"

#include "core/log_func.h"
#include "process/scheduler/order_health.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_func.h"

#include <algorithm>

namespace bulrushloft::scheduler::detail {

namespace {

    constexpr Duration longestStartCall { 2'000 }; ///< A start that ends without an answer was sent less than this long ago, also through a peer.
    constexpr Duration stopRepeatInterval { 1'000 }; ///< A stop without an answer is repeated after this time,
    constexpr Duration stopRetryDelay { 100 }; ///< and after a shorter one when its call has failed.

    bool isCurrentAttempt(Scheduler& scheduler, WorkerIndex index, const LateStart& late)
    {
        const TaskRef ref = findTask(scheduler, late.m_task);
        return ref.m_run && ref.task().m_worker == index && ref.task().m_attempt == late.m_attempt && ref.task().m_phase != RunPhase::None;
    }

    auto findLateStart(Worker& worker, const TaskName& task, std::uint32_t attempt)
    {
        return std::find_if(worker.m_lateStarts.begin(), worker.m_lateStarts.end(), [&](const LateStart& late) { return late.m_attempt == attempt && late.m_task == task; });
    }

} // namespace

void noteUnansweredStart(Scheduler& scheduler, WorkerIndex index, const TaskName& task, std::uint32_t attempt, TimePoint now)
{
    Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
    auto late = findLateStart(worker, task, attempt);
    if (late == worker.m_lateStarts.end())
        late = worker.m_lateStarts.insert(late, { .m_task = task, .m_attempt = attempt });
    late->m_expiresAt = now + lateStartLimit;
    recountLingering(scheduler, index);
    const bool mayPrecedeRestart = worker.m_restartNotedAt > TimePoint {} && now - worker.m_restartNotedAt < longestStartCall;
    if (!mayPrecedeRestart || late->m_isStopDue)
        return;
    late->m_isStopDue = true;
    late->m_nextStopAt = now;
}

void stopLateStarts(Scheduler& scheduler, WorkerIndex index, TimePoint now)
{
    Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
    worker.m_restartNotedAt = now;
    for (LateStart& late : worker.m_lateStarts) {
        late.m_isStopDue = true;
        late.m_nextStopAt = now;
        late.m_isRefused = false;
    }
    recountLingering(scheduler, index);
    if (!worker.m_lateStarts.empty())
        logEvent(LogLevel::Info, "late-starts-stopped", { { "worker", worker.m_announcement.m_id }, { "starts", worker.m_lateStarts.size() } });
}

void requestLateStop(Worker& worker, const TaskName& task, std::uint32_t attempt, TimePoint now)
{
    const auto late = findLateStart(worker, task, attempt);
    if (late == worker.m_lateStarts.end() || std::exchange(late->m_isStopDue, true))
        return;
    late->m_nextStopAt = now;
}

void onLateStartStopped(Scheduler& scheduler, WorkerIndex index, const TaskName& task, std::uint32_t attempt, OrderStatus status, TimePoint now)
{
    Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
    const auto late = findLateStart(worker, task, attempt);
    if (late == worker.m_lateStarts.end())
        return;
    const bool isRefused = status == OrderStatus::Done || status == OrderStatus::WrongInstance; // Another worker at the address refuses the start as well.
    if (isRefused)
        late->m_isStopDue = false;
    else
        late->m_nextStopAt = now + stopRetryDelay;
    // The attempt counts until the next report, as it may have been started just before; if it runs, that report lists it.
    late->m_isRefused = late->m_isRefused || isRefused;
}

void noteListedEnd(Scheduler& scheduler, WorkerIndex index, const TaskName& task, std::uint32_t attempt)
{
    Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
    const auto late = findLateStart(worker, task, attempt);
    if (late != worker.m_lateStarts.end())
        late->m_isRefused = true;
    std::erase_if(worker.m_unexpected, [&](const auto& each) { return each.first == task && each.second == attempt; });
    recountLingering(scheduler, index);
}

void stepLateStarts(Scheduler& scheduler, WorkerIndex index, TimePoint now, SchedulerEffects& effects)
{
    Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
    if (worker.m_lateStarts.empty())
        return;
    if (std::erase_if(worker.m_lateStarts, [&](const LateStart& late) { return now >= late.m_expiresAt; }) > 0)
        recountLingering(scheduler, index);
    for (LateStart& late : worker.m_lateStarts) {
        if (!late.m_isStopDue || now < late.m_nextStopAt || isCurrentAttempt(scheduler, index, late) || !takeOrderTurn(worker, now))
            continue;
        late.m_nextStopAt = now + stopRepeatInterval;
        effects.m_stops.push_back({ targetOf(scheduler, worker), { .m_task = late.m_task, .m_attempt = late.m_attempt } });
    }
}

} // namespace bulrushloft::scheduler::detail
