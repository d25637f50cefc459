/** @file order_health.cpp Starts and stops that a worker does not answer, although it may answer syncs. */
#include "process/scheduler/order_health.h"

#include "core/log_func.h"
#include "process/scheduler/late_start.h"
#include "process/scheduler/scheduler_detail.h"
#include "request/plan_func.h"

#include <algorithm>

namespace bulrushloft::scheduler::detail {

namespace {

    constexpr std::uint32_t failuresUntilFailing = 2;
    constexpr Duration failingAfter { 300 }; ///< Orders that are lost now and then are answered sooner, as they are repeated.
    constexpr Duration withdrawAfter { 1'000 }; ///< Longer than lost calls to a healthy worker take.
    constexpr Duration recentFailure { 2'000 };
    constexpr Duration tryInterval { 250 }; ///< Time between orders while they fail; each may open a connection.
    constexpr Duration minHoldOut { 1'000 };
    constexpr Duration maxHoldOut { 10'000 };
    constexpr Duration probeValidity { 1'500 }; ///< For how long a start may be carried out that is sent after an order without an answer.
    constexpr Duration unprovenValidity { 2'500 }; ///< The same for a start to a worker that has answered no order lately: until one without an answer is withdrawn and settled.
    constexpr Duration provenFor { 2'000 }; ///< For how long an answered order shows that orders reach the worker.
    constexpr Duration forgottenAfter { 10'000 }; ///< An answer of that long ago says no more than none.
    constexpr Duration maxStopWait { 10'000 }; ///< Two leases; then the worker's other attempts are given up with the one that can't be stopped.

    /** @return Whether a placed task's start has certainly never been sent. */
    bool isStartUnsent(const Task& task)
    {
        return task.m_phase == RunPhase::Recording || (task.m_phase == RunPhase::Starting && !task.m_isCallPending && !task.m_mayHaveArrived);
    }

    bool isUnconfirmed(const Task& task)
    {
        return task.m_phase == RunPhase::Recording || task.m_phase == RunPhase::Starting;
    }

    /** @return Whether neither syncs nor other calls have been answered for a while. */
    bool isSilent(const Worker& worker, TimePoint now)
    {
        return worker.m_state != WorkerState::Adopted && worker.m_unansweredCalls >= failuresUntilFailing && now - worker.m_answeredAt >= withdrawAfter;
    }

    bool haveOrdersFailedFor(const Worker& worker, Duration time, TimePoint now)
    {
        return worker.m_orders.m_failures >= failuresUntilFailing && now - worker.m_orders.m_failingSince >= time;
    }

    /** @return Whether orders have failed for a time and one has been tried lately: earlier failures say nothing of the present. */
    bool areFailingNow(const Worker& worker, Duration time, TimePoint now)
    {
        return haveOrdersFailedFor(worker, time, now) && now - worker.m_orders.m_failedAt <= recentFailure;
    }

    void logWithdrawn(const Worker& worker, const TaskRef& ref, bool isWorkerSilent, TimePoint now)
    {
        const Task& task = ref.task();
        const std::string_view cause = isWorkerSilent ? "the worker does not answer" : "the worker answers syncs only";
        logEvent(LogLevel::Info, "start-withdrawn", { { "task", format(nameOf(ref)) }, { "attempt", task.m_attempt }, { "worker", worker.m_announcement.m_id }, { "cause", cause }, { "may_have_arrived", !isStartUnsent(task) }, { "answered_ms_ago", (now - worker.m_answeredAt).m_ms }, { "orders_failed", worker.m_orders.m_failures } });
    }

    void noteFailedOrder(Worker& worker, TimePoint now)
    {
        OrderHealth& orders = worker.m_orders;
        if (orders.m_failures == 0)
            orders.m_failingSince = now;
        ++orders.m_failures;
        orders.m_failedAt = now;
        orders.m_nextProbeAt = now + std::clamp(now - orders.m_failingSince, minHoldOut, maxHoldOut);
        if (orders.m_isReported || !areOrdersFailing(worker, now))
            return;
        orders.m_isReported = true;
        logEvent(LogLevel::Warning, "worker-orders-fail", { { "worker", worker.m_announcement.m_id }, { "failures", orders.m_failures }, { "failing_ms", (now - orders.m_failingSince).m_ms }, { "answered_ms_ago", (now - worker.m_answeredAt).m_ms }, { "tasks", worker.m_tasks.size() } });
    }

    void noteAnsweredOrder(Worker& worker, TimePoint now)
    {
        if (worker.m_orders.m_isReported)
            logEvent(LogLevel::Info, "worker-orders-answered", { { "worker", worker.m_announcement.m_id }, { "failures", worker.m_orders.m_failures }, { "failing_ms", (now - worker.m_orders.m_failingSince).m_ms } });
        worker.m_orders = {};
        worker.m_orders.m_answeredAt = now;
    }

    /** @return For how long a start may be carried out that is sent now; nothing when only the lease bounds it. */
    std::optional<Duration> startValidity(const Worker& worker, TimePoint now)
    {
        if (worker.m_orders.m_failures > 0)
            return probeValidity;
        const bool hasAnsweredLately = worker.m_orders.m_answeredAt && now - *worker.m_orders.m_answeredAt <= provenFor;
        return hasAnsweredLately ? std::nullopt : std::optional(unprovenValidity);
    }

} // namespace

void noteOrderOutcome(Worker& worker, OrderStatus status, TimePoint now)
{
    switch (status) {
    case OrderStatus::Unreported: // The peer that forwarded it has failed, or did not take it.
    case OrderStatus::NotForwarded:
    case OrderStatus::WrongInstance:
        return;
    case OrderStatus::NoAnswer:
    case OrderStatus::NotSent:
        return noteFailedOrder(worker, now);
    default:
        return noteAnsweredOrder(worker, now);
    }
}

bool areOrdersFailing(const Worker& worker, TimePoint now)
{
    return haveOrdersFailedFor(worker, failingAfter, now);
}

bool isHeldOutForOrders(const Worker& worker, TimePoint now)
{
    const auto isUnsettled = [](const TaskRef& ref) { return isUnconfirmed(ref.task()) || ref.task().m_phase == RunPhase::Stopping; };
    return areOrdersFailing(worker, now) && (now < worker.m_orders.m_nextProbeAt || std::any_of(worker.m_tasks.begin(), worker.m_tasks.end(), isUnsettled));
}

bool takeOrderTurn(Worker& worker, TimePoint now)
{
    if (!areOrdersFailing(worker, now))
        return true;
    if (now < worker.m_orders.m_nextTryAt)
        return false;
    worker.m_orders.m_nextTryAt = now + tryInterval;
    return true;
}

void withdrawUndelivered(Scheduler& scheduler, WorkerIndex index, TimePoint now)
{
    Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
    const bool isWorkerSilent = isSilent(worker, now);
    const bool answersSyncsOnly = worker.m_state != WorkerState::Gone && areFailingNow(worker, withdrawAfter, now);
    if (!isWorkerSilent && !answersSyncsOnly)
        return;
    const std::vector<TaskRef> tasks = worker.m_tasks;
    for (const TaskRef& ref : tasks) {
        const Task& task = ref.task();
        // A start that may have reached a silent worker waits for its lease to run out. A task that was just placed is a probe.
        const bool isProbe = !isWorkerSilent && now - task.m_placedAt < withdrawAfter;
        if (!isUnconfirmed(task) || isProbe || (isWorkerSilent && !isStartUnsent(task)))
            continue;
        logWithdrawn(worker, ref, isWorkerSilent, now);
        requestLateStop(worker, nameOf(ref), task.m_attempt, now);
        ref.task().m_wasUndelivered = true;
        stopTaskAndGang(scheduler, ref, now);
    }
}

double undeliveredCost(const Task& task, const Worker& worker, TimePoint now)
{
    constexpr double longestSilenceWeight = 6.0;
    if (!task.m_wasUndelivered)
        return 0;
    const Duration silence = worker.m_orders.m_answeredAt ? std::min(now - *worker.m_orders.m_answeredAt, forgottenAfter) : forgottenAfter;
    return longestSilenceWeight * static_cast<double>(silence.m_ms) / static_cast<double>(forgottenAfter.m_ms);
}

bool isRenewalWithheld(const Worker& worker, TimePoint now)
{
    if (!areFailingNow(worker, maxStopWait, now))
        return false;
    if (worker.m_unexpectedSince && now - *worker.m_unexpectedSince >= maxStopWait)
        return true;
    return std::any_of(worker.m_tasks.begin(), worker.m_tasks.end(), [&](const TaskRef& ref) {
        const Task& task = ref.task();
        return task.m_phase == RunPhase::Stopping && !task.m_isStopAcknowledged && now - task.m_stopRequestedAt >= maxStopWait;
    });
}

std::int64_t startDeadline(const Scheduler& scheduler, const Worker& worker, TimePoint now)
{
    const std::int64_t deadline = leaseDeadline(scheduler, worker, now);
    const std::optional<Duration> validity = startValidity(worker, now);
    if (!validity)
        return deadline;
    return std::min(deadline, worker.m_promptClock.m_ms + (now - worker.m_promptClock.m_readAt + *validity).m_ms);
}

void noteStartDeadline(Task& task, const Worker& worker, std::int64_t deadlineMs)
{
    task.m_isStartedAnew = task.m_isStartedAnew || (task.m_startLeaseUntilMs != 0 && task.m_startProcessMs != worker.m_processStartMs);
    task.m_startLeaseUntilMs = std::max(task.m_startLeaseUntilMs, deadlineMs);
    task.m_startProcessMs = worker.m_processStartMs;
}

bool isStartRuledOut(const Task& task, const SyncReport& report, TimePoint now)
{
    if (task.m_phase != RunPhase::Stopping || task.m_isStopAcknowledged)
        return false;
    if (task.m_startLeaseUntilMs == 0) // An earlier leader has sent its starts.
        return now - task.m_stopRequestedAt >= lateStartLimit;
    // The process refuses a start whose lease deadline has passed. A new process does not: its clock counts anew.
    const bool isSameProcess = !task.m_isStartedAnew && report.m_processStartMs == task.m_startProcessMs;
    return (isSameProcess && report.m_clockMs > task.m_startLeaseUntilMs) || now - task.m_startSentAt >= lateStartLimit;
}

} // namespace bulrushloft::scheduler::detail
