/** @file start_tickets.cpp Renewal of the tickets of placed tasks, before and after their record is durable. */
#include "process/scheduler/start_tickets.h"

#include "core/log_func.h"
#include "process/scheduler/approvals.h"
#include "process/scheduler/scheduler_detail.h"
#include "request/plan_func.h"

#include <algorithm>

namespace bulrushloft::scheduler::detail {

namespace {

    constexpr Duration checkInterval { 10 }; ///< Short beside the duration of a quick approval request.
    constexpr Duration maxTicketWait { 3'000 }; ///< A start that has waited so long for a ticket gives up its place: the bound for a job with nothing running.
    constexpr std::uint16_t maxTriesWithTicket = 4; ///< A worker that refuses so many starts of an attempt won't accept a new ticket either.
    constexpr Duration joiningMargin { 100 }; ///< Tickets that lapse this soon after a renewal are renewed with it, so that the members of a gang can start together.

    const std::optional<ApprovalPolicy>& policyOf(const StepRun& run)
    {
        return queuePolicyOf(*run.m_job).m_approval;
    }

    const Ticket* findTicket(const TaskRef& ref)
    {
        const auto found = ref.m_run->m_approval.m_tickets.find(ref.task().m_worker);
        return found == ref.m_run->m_approval.m_tickets.end() ? nullptr : &found->second;
    }

    /** @return Whether a start of a placed task has still to be sent. */
    bool isStartOpen(const Task& task)
    {
        return task.m_phase == RunPhase::Recording || (task.m_phase == RunPhase::Starting && !task.m_isCallPending);
    }

    bool hasBegunToStart(const Task& task)
    {
        return task.m_phase == RunPhase::Running || (task.m_phase == RunPhase::Starting && task.m_tries > 0);
    }

    /**
     * Predicts when the start of a placed task can be sent. A record that is overdue may become durable at any time.
     * @param renewalTime Duration of a request for a new ticket.
     */
    TimePoint expectedStartAt(const Scheduler& scheduler, const Task& task, Duration renewalTime, TimePoint now)
    {
        constexpr double overdueMultiple = 3;
        constexpr double minOverdueMs = 150;
        if (task.m_phase != RunPhase::Recording)
            return now;
        const double overdueMs = std::max(scheduler.m_meanRecordMs * overdueMultiple, minOverdueMs);
        const bool isOverdue = static_cast<double>((now - task.m_placedAt).m_ms) > overdueMs;
        return isOverdue ? now + renewalTime : task.m_placedAt + Duration { static_cast<std::int64_t>(scheduler.m_meanRecordMs) };
    }

    /**
     * @return Whether a placed task's ticket has to be renewed now. A slow request is sent ahead of the expected start, once for each
     * placement, as the record may be delayed further; a quick one is sent when the record is durable.
     */
    bool isRenewalDue(const Scheduler& scheduler, const TaskRef& ref, const ApprovalPolicy& policy, TimePoint now)
    {
        const Task& task = ref.task();
        const Ticket* const ticket = findTicket(ref);
        if (!isStartOpen(task) || !ticket || ticket->m_isRenewalPending)
            return false;
        if (task.m_phase == RunPhase::Recording && (task.m_isTicketRenewedAhead || !isSlowPolicy(policy)))
            return false;
        const Duration renewalTime = approvalRequestDuration(policy, ref.m_run->m_attemptsByWorker.size());
        const TimePoint startAt = expectedStartAt(scheduler, task, renewalTime, now);
        return ticket->m_usableUntil < startAt && now + renewalTime >= startAt;
    }

    /** Requests new tickets for a step with a placed task that needs one, for all its workers on which a start has still to be sent. */
    void renewTickets(Scheduler& scheduler, StepRun& run, const ApprovalPolicy& policy, TimePoint now, SchedulerEffects& effects)
    {
        const Duration renewalTime = approvalRequestDuration(policy, run.m_attemptsByWorker.size());
        std::vector<WorkerIndex> workers;
        for (std::uint32_t i = 0; i < run.m_tasks.size(); ++i) {
            const TaskRef ref { &run, i };
            const Ticket* const ticket = isStartOpen(ref.task()) ? findTicket(ref) : nullptr;
            if (ticket && !ticket->m_isRenewalPending && ticket->m_usableUntil < now + renewalTime + joiningMargin)
                workers.push_back(ref.task().m_worker);
        }
        std::sort(workers.begin(), workers.end());
        workers.erase(std::unique(workers.begin(), workers.end()), workers.end());
        const std::vector<WorkerIndex> named = requestRenewals(scheduler, run, policy, std::move(workers), now, effects);
        for (Task& task : run.m_tasks) {
            const bool isNamed = task.m_phase == RunPhase::Recording && std::binary_search(named.begin(), named.end(), task.m_worker);
            task.m_isTicketRenewedAhead = task.m_isTicketRenewedAhead || isNamed;
        }
    }

    /** Withdraws a placed task that is not approved there any more, or has waited too long for a ticket. */
    void withdrawWithoutTicket(Scheduler& scheduler, const TaskRef& ref, TimePoint now)
    {
        const Task& task = ref.task();
        if (task.m_phase != RunPhase::Starting || task.m_isCallPending)
            return;
        const Ticket* const ticket = findTicket(ref);
        const Duration waited = now - (ticket ? std::max(task.m_recordedAt, ticket->m_usableUntil) : task.m_recordedAt);
        if (ticket && waited < maxTicketWait)
            return;
        logEvent(LogLevel::Warning, "start-withdrawn", { { "task", format(nameOf(ref)) }, { "attempt", task.m_attempt }, { "worker", scheduler.m_workers[static_cast<std::size_t>(task.m_worker)].m_announcement.m_id }, { "cause", ticket ? "no new ticket in time" : "the worker is not approved any more" }, { "may_have_arrived", task.m_mayHaveArrived }, { "waited_ms", waited.m_ms } });
        stopTaskAndGang(scheduler, ref, now);
    }

    /** Examines the placed tasks of a list. */
    void stepTicketsOf(Scheduler& scheduler, const std::vector<TaskRef>& tasks, TimePoint now, SchedulerEffects& effects)
    {
        for (const TaskRef& ref : tasks) {
            const auto& policy = policyOf(*ref.m_run);
            const bool isWorkerReachable = isStartOpen(ref.task()) && scheduler.m_workers[static_cast<std::size_t>(ref.task().m_worker)].m_state == WorkerState::Adopted;
            if (!policy || !isWorkerReachable) // No start is sent to a worker that does not answer.
                continue;
            withdrawWithoutTicket(scheduler, ref, now);
            if (canRequestApprovals(scheduler, *ref.m_run, *policy, now) && isRenewalDue(scheduler, ref, *policy, now))
                renewTickets(scheduler, *ref.m_run, *policy, now, effects);
        }
    }

} // namespace

bool hasTicketsToStart(const TaskRef& ref, TimePoint now)
{
    if (!policyOf(*ref.m_run))
        return true;
    if (!hasTicket(*ref.m_run, ref.task().m_worker, now))
        return false;
    const std::vector<Task>& tasks = ref.m_run->m_tasks;
    if (!planOf(*ref.m_run).m_isGang || std::any_of(tasks.begin(), tasks.end(), hasBegunToStart))
        return true;
    return std::all_of(tasks.begin(), tasks.end(), [&](const Task& task) { return !isStartOpen(task) || hasTicket(*ref.m_run, task.m_worker, now); });
}

std::string ticketTextFor(const TaskRef& ref)
{
    const Ticket* const ticket = findTicket(ref);
    return ticket ? ticket->m_text : std::string();
}

bool dropRefusedTicket(const TaskRef& ref, TimePoint now)
{
    const Task& task = ref.task();
    if (task.m_tries >= maxTriesWithTicket) {
        forgetTicket(*ref.m_run, task.m_worker);
        return false;
    }
    expireTicket(*ref.m_run, task.m_worker, task.m_ticket, now);
    return true;
}

void updateMeanRecordTime(Scheduler& scheduler, Duration recordTime)
{
    constexpr double newRecordWeight = 0.2;
    scheduler.m_meanRecordMs += (static_cast<double>(recordTime.m_ms) - scheduler.m_meanRecordMs) * newRecordWeight;
}

void stepStartTickets(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects)
{
    if (now < scheduler.m_nextTicketCheckAt)
        return;
    scheduler.m_nextTicketCheckAt = now + checkInterval;
    const std::vector<TaskRef> starting = scheduler.m_startingOrStopping; // Changed by withdrawals.
    stepTicketsOf(scheduler, starting, now, effects);
    const std::vector<TaskRef> recording = scheduler.m_recording;
    stepTicketsOf(scheduler, recording, now, effects);
}

} // namespace bulrushloft::scheduler::detail
