/** @file wait_report.cpp Collects the steps that wait long and judges what each of them waits for. */
#include "process/scheduler/wait_report.h"

#include "core/log_func.h"
#include "process/scheduler/approval_proxy.h"
#include "process/scheduler/approvals.h"
#include "process/scheduler/crash_record.h"
#include "process/scheduler/pool_view.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/suspect_placement.h"
#include "request/plan_func.h"
#include "table/scheduler_table.h"

#include <algorithm>

namespace bulrushloft::scheduler {

namespace {

    using namespace detail;

    constexpr Duration reportInterval { 1'000 };
    constexpr Duration longWait { 2'000 }; ///< Steps that have waited for longer are reported.
    constexpr Duration longRecordWait { 300 }; ///< Starts whose record took longer are reported.
    constexpr std::size_t maxExamined = 128; ///< Each step is compared with all workers of its pool; the rest is only counted.
    constexpr std::size_t maxLines = 5; ///< Lines a report for single steps.

    /** The task of a step that has waited longest. */
    struct LongestWait {
        const StepRun* m_run = nullptr;
        std::uint32_t m_index = 0; ///< Index of the task.
        TimePoint m_since;
        bool m_isWorkerSilent = false; ///< The worker of its attempt does not answer.
    };

    using LongestWaits = std::unordered_map<const StepRun*, LongestWait>;

    void noteWait(LongestWaits& waits, const LongestWait& wait)
    {
        const auto [found, isNew] = waits.try_emplace(wait.m_run, wait);
        if (!isNew && wait.m_since < found->second.m_since)
            found->second = wait;
    }

    bool isOpen(const TaskRef& ref)
    {
        return ref.task().m_resolution == TaskResolution::Open && !isFinal(ref.m_run->m_job->m_stage);
    }

    bool isAnswering(const Worker& worker)
    {
        return worker.m_state == WorkerState::Adopted && !worker.m_orders.m_isReported;
    }

    void noteUnplaced(LongestWaits& waits, const StepRun& run)
    {
        if (!run.m_isReleased || isFinal(run.m_job->m_stage))
            return;
        for (std::uint32_t i = 0; i < run.m_tasks.size(); ++i) {
            const Task& task = run.m_tasks[i];
            if (task.m_resolution == TaskResolution::Open && task.m_phase == RunPhase::None)
                noteWait(waits, { .m_run = &run, .m_index = i, .m_since = task.m_waitingSince });
        }
    }

    void noteAttempt(LongestWaits& waits, const Scheduler& scheduler, const TaskRef& ref)
    {
        const Task& task = ref.task();
        if (!isOpen(ref))
            return;
        const TimePoint since = task.m_phase == RunPhase::Stopping ? task.m_stopRequestedAt : task.m_waitingSince;
        noteWait(waits, { .m_run = ref.m_run, .m_index = ref.m_index, .m_since = since, .m_isWorkerSilent = !isAnswering(scheduler.m_workers[static_cast<std::size_t>(task.m_worker)]) });
    }

    /** Notes the attempts that should run on workers that do not answer. */
    void noteUnreachable(LongestWaits& waits, const Worker& worker)
    {
        if (isAnswering(worker))
            return;
        for (const TaskRef& ref : worker.m_tasks) {
            if (isOpen(ref) && ref.task().m_phase == RunPhase::Running)
                noteWait(waits, { .m_run = ref.m_run, .m_index = ref.m_index, .m_since = worker.m_answeredAt, .m_isWorkerSilent = true });
        }
    }

    /** @return The steps that have waited long, the longest wait first. */
    std::vector<LongestWait> findLongWaits(const Scheduler& scheduler, TimePoint now)
    {
        LongestWaits waits;
        for (const StepRun* const run : scheduler.m_waitingSteps)
            noteUnplaced(waits, *run);
        for (const auto* const refs : { &scheduler.m_recording, &scheduler.m_startingOrStopping }) {
            for (const TaskRef& ref : *refs)
                noteAttempt(waits, scheduler, ref);
        }
        for (const WorkerIndex index : scheduler.m_activeWorkers)
            noteUnreachable(waits, scheduler.m_workers[static_cast<std::size_t>(index)]);
        std::vector<LongestWait> found;
        for (const auto& [run, wait] : waits) {
            if (now - wait.m_since > longWait)
                found.push_back(wait);
        }
        std::sort(found.begin(), found.end(), [](const LongestWait& one, const LongestWait& other) { return one.m_since < other.m_since; });
        return found;
    }

    std::uint32_t roomOn(const StepRun& run, const Worker& worker, WorkerIndex index)
    {
        std::int64_t limit = planOf(run).m_perWorkerLimit > 0 ? planOf(run).m_perWorkerLimit : planOf(run).m_count;
        if (const auto found = run.m_attemptsByWorker.find(index); planOf(run).m_perWorkerLimit > 0 && found != run.m_attemptsByWorker.end())
            limit -= std::min<std::int64_t>(limit, found->second);
        return static_cast<std::uint32_t>(countFitting(grantOf(run), worker.m_announcement.m_capacity - worker.m_granted, limit));
    }

    void addWorker(StepWaitFacts& facts, const Scheduler& scheduler, const StepRun& run, WorkerIndex index, TimePoint now)
    {
        const Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        ++facts.m_workers;
        if (!acceptsTasks(worker, now))
            return;
        ++facts.m_accepting;
        const std::uint32_t room = roomOn(run, worker, index);
        const bool isReserved = worker.m_reservedFor && worker.m_reservedFor != &run;
        const bool isOpen = room > 0 && !isReserved;
        facts.m_reserved += room > 0 && isReserved ? 1 : 0;
        facts.m_held += room > 0 && isReserved && isHeldForSuspect(worker, now) ? 1 : 0;
        if (facts.m_needsApproval && !run.m_approval.m_tickets.contains(index)) {
            facts.m_unapprovedOpen += isOpen ? 1 : 0;
            return;
        }
        ++facts.m_approved;
        facts.m_approvedOpen += isOpen ? 1 : 0;
        if (facts.m_needsApproval && !hasTicket(run, index, now))
            return;
        ++facts.m_ticketed;
        facts.m_open += isOpen ? 1 : 0;
        facts.m_places += isOpen ? room : 0;
    }

    StepWaitFacts factsOf(const Scheduler& scheduler, const LongestWait& wait, TimePoint now)
    {
        const StepRun& run = *wait.m_run;
        const Task& task = run.m_tasks[wait.m_index];
        StepWaitFacts facts {
            .m_phase = task.m_phase,
            .m_isWorkerSilent = wait.m_isWorkerSilent,
            .m_isSuspect = isSuspect(task),
            .m_isGang = planOf(run).m_isGang,
            .m_needsApproval = queuePolicyOf(*run.m_job).m_approval.has_value(),
            .m_isHeldByCap = run.m_heldAtRelease != 0,
            .m_waitsForPlace = run.m_waitsForPlace,
            .m_isRequestDelayed = run.m_isApprovalRequestDelayed,
            .m_unplaced = countUnplaced(run),
            .m_activeAttempts = run.m_activeAttempts,
            .m_pendingRequests = run.m_approval.m_pendingRequests,
        };
        if (facts.m_phase != RunPhase::None)
            return facts;
        for (const WorkerIndex index : scheduler.m_activeWorkers) {
            const Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
            if (worker.m_isAnnounced && worker.m_announcement.m_pool == poolOf(*run.m_job) && isSuitable(run, worker))
                addWorker(facts, scheduler, run, index, now);
        }
        return facts;
    }

    void logWait(const LongestWait& wait, const StepWaitFacts& facts, WaitCause cause, TimePoint now)
    {
        const StepRun& run = *wait.m_run;
        const StepPlan& plan = planOf(run);
        const Job& job = *run.m_job;
        logEvent(LogLevel::Info, "step-waits", { { "step", format(TaskName { .m_job = job.m_plan.m_id, .m_occurrence = run.m_occurrence, .m_step = run.m_step, .m_index = wait.m_index }) }, { "cause", findName(waitCauseNames, cause) }, { "waited_ms", (now - wait.m_since).m_ms }, { "urgency", findName(urgencyClassNames, urgencyOf(run.m_urgencyInput, now).m_class) }, { "queue", job.m_plan.m_queue }, { "pool", poolOf(job) }, { "config", queuePolicyOf(job).m_version }, { "unplaced", facts.m_unplaced }, { "attempts", facts.m_activeAttempts }, { "gang", facts.m_isGang }, { "cpu", plan.m_size.m_cpuMilli }, { "gpus", plan.m_size.m_gpus }, { "requests", facts.m_pendingRequests }, { "workers", facts.m_workers }, { "accepting", facts.m_accepting }, { "approved", facts.m_approved }, { "ticketed", facts.m_ticketed }, { "open", facts.m_open }, { "approved_open", facts.m_approvedOpen }, { "unapproved_open", facts.m_unapprovedOpen }, { "reserved", facts.m_reserved } });
    }

    std::string formatCauses(const WaitSummary& summary)
    {
        std::string text;
        for (const auto& [cause, name] : waitCauseNames) {
            if (const std::uint32_t steps = summary.m_byCause[static_cast<std::size_t>(cause)]; steps > 0)
                text += (text.empty() ? "" : " ") + std::string(name) + "=" + std::to_string(steps);
        }
        return text;
    }

    /** @return What a step waits for although there is room for it on workers that it may use. */
    WaitCause openRoomCauseOf(const StepWaitFacts& facts)
    {
        if (facts.m_isGang && facts.m_places < facts.m_unplaced)
            return WaitCause::GangShortOfRoom;
        if (facts.m_isSuspect)
            return WaitCause::SuspectNotIsolated;
        return facts.m_waitsForPlace ? WaitCause::AwaitsBetterPlace : WaitCause::RoomAvailable;
    }

    /** @return What a step waits for that could use room if it had the approval, or a valid ticket. */
    WaitCause approvalCauseOf(const StepWaitFacts& facts)
    {
        if (facts.m_pendingRequests > 0)
            return WaitCause::ApprovalUnanswered;
        if (facts.m_isRequestDelayed)
            return WaitCause::NoVmForRequest;
        if (facts.m_approved == 0)
            return WaitCause::NoApprovedWorker;
        return facts.m_approvedOpen > 0 ? WaitCause::NoValidTicket : WaitCause::NoRoomOnApproved;
    }

    WaitCause placementCauseOf(const StepWaitFacts& facts)
    {
        if (facts.m_isGang && facts.m_activeAttempts > 0)
            return WaitCause::GangEnding;
        if (facts.m_isHeldByCap)
            return WaitCause::CustomerAtCap;
        if (facts.m_workers == 0)
            return WaitCause::NoWorker;
        if (facts.m_accepting == 0)
            return WaitCause::WorkersNotAccepting;
        if (facts.m_open > 0)
            return openRoomCauseOf(facts);
        if (facts.m_approvedOpen + facts.m_unapprovedOpen > 0)
            return approvalCauseOf(facts);
        if (facts.m_held > 0)
            return WaitCause::HeldForSuspect;
        return facts.m_reserved > 0 ? WaitCause::Reserved : WaitCause::NoRoom;
    }

} // namespace

WaitCause waitCauseOf(const StepWaitFacts& facts)
{
    switch (facts.m_phase) {
    case RunPhase::None:
        return placementCauseOf(facts);
    case RunPhase::Recording:
        return WaitCause::RecordNotDurable;
    case RunPhase::Starting:
    case RunPhase::Running:
        return facts.m_isWorkerSilent ? WaitCause::WorkerSilent : WaitCause::StartUnconfirmed;
    case RunPhase::Stopping:
        return facts.m_isWorkerSilent ? WaitCause::WorkerSilent : WaitCause::AttemptStopping;
    }
    return WaitCause::RoomAvailable;
}

RecordWait findRecordWaits(const Scheduler& scheduler, std::uint64_t batch, TimePoint now)
{
    RecordWait result;
    for (const TaskRef& ref : scheduler.m_recording) {
        const Task& task = ref.task();
        const Duration waited = now - task.m_placedAt;
        if (task.m_batch > batch || waited <= longRecordWait)
            continue;
        ++result.m_starts;
        result.m_longest = std::max(result.m_longest, waited);
        const bool needsTicket = queuePolicyOf(*ref.m_run->m_job).m_approval.has_value();
        result.m_withoutTicket += needsTicket && !hasTicket(*ref.m_run, task.m_worker, now) ? 1 : 0;
    }
    return result;
}

void reportRecordWaits(const Scheduler& scheduler, std::uint64_t batch, TimePoint now)
{
    const RecordWait wait = findRecordWaits(scheduler, batch, now);
    if (wait.m_starts > 0)
        logEvent(LogLevel::Info, "starts-waited-for-record", { { "batch", batch }, { "starts", wait.m_starts }, { "longest_ms", wait.m_longest.m_ms }, { "without_valid_ticket", wait.m_withoutTicket }, { "recording", scheduler.m_recording.size() } });
}

void stepWaitReport(Scheduler& scheduler, TimePoint now)
{
    if (now < scheduler.m_nextWaitReportAt)
        return;
    scheduler.m_nextWaitReportAt = now + reportInterval;
    scheduler.m_waitSummary = {};
    WaitSummary& summary = scheduler.m_waitSummary;
    const std::vector<LongestWait> waits = findLongWaits(scheduler, now);
    if (waits.empty())
        return;
    const std::size_t examined = std::min(waits.size(), maxExamined);
    summary.m_steps = static_cast<std::uint32_t>(waits.size());
    summary.m_oldest = now - waits.front().m_since;
    summary.m_unexamined = static_cast<std::uint32_t>(waits.size() - examined);
    for (std::size_t i = 0; i < examined; ++i) {
        const StepWaitFacts facts = factsOf(scheduler, waits[i], now);
        const WaitCause cause = waitCauseOf(facts);
        ++summary.m_byCause[static_cast<std::size_t>(cause)];
        if (i < maxLines)
            logWait(waits[i], facts, cause, now);
    }
    logEvent(LogLevel::Info, "steps-waiting", { { "steps", summary.m_steps }, { "oldest_ms", summary.m_oldest.m_ms }, { "causes", formatCauses(summary) }, { "unexamined", summary.m_unexamined }, { "waiting_steps", scheduler.m_waitingSteps.size() }, { "recording", scheduler.m_recording.size() }, { "starting_or_stopping", scheduler.m_startingOrStopping.size() } });
    reportProxies(scheduler, now);
}

AdoptionState findAdoptionState(const Scheduler& scheduler)
{
    AdoptionState state;
    for (const WorkerIndex index : scheduler.m_activeWorkers) {
        const Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        const bool isNew = worker.m_state == WorkerState::New && (worker.m_isAnnounced || !worker.m_tasks.empty());
        const bool isSilent = worker.m_state == WorkerState::Silent;
        if (!isNew && !isSilent)
            continue;
        state.m_new += isNew ? 1 : 0;
        state.m_silent += isSilent ? 1 : 0;
        state.m_tasks += static_cast<std::uint32_t>(worker.m_tasks.size());
        if (!worker.m_tasks.empty())
            state.m_leasesEndAt = std::max(state.m_leasesEndAt, leaseEndBound(scheduler, worker));
    }
    return state;
}

} // namespace bulrushloft::scheduler
