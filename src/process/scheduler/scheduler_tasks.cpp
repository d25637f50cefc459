/** @file scheduler_tasks.cpp Life cycle of attempts: placement, recording, start, stop, end and loss. */
#include "core/invariant.h"
#include "core/log_func.h"
#include "process/scheduler/active_workers.h"
#include "process/scheduler/crash_record.h"
#include "process/scheduler/late_start.h"
#include "process/scheduler/order_health.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "process/scheduler/start_tickets.h"
#include "process/scheduler/stray_attempt.h"
#include "process/scheduler/unread_usage.h"
#include "process/scheduler/wait_report.h"
#include "request/plan_func.h"
#include "table/scheduler_table.h"

#include <algorithm>

namespace bulrushloft::scheduler {

namespace detail {

    Resources grantOf(const StepRun& run)
    {
        Resources size = planOf(run).m_size;
        if (planOf(run).m_isBestEffort)
            size.m_cpuMilli = 0;
        return size;
    }

    void placeTask(Scheduler& scheduler, const TaskRef& ref, WorkerIndex index, TimePoint now)
    {
        Task& task = ref.task();
        Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        BULRUSH_INVARIANT(task.m_phase == RunPhase::None && task.m_resolution == TaskResolution::Open, "a task has one attempt at a time");
        ++task.m_attempt;
        task.m_phase = RunPhase::Recording;
        task.m_worker = index;
        task.m_batch = scheduler.m_nextBatch;
        task.m_placedAt = now;
        task.m_ticket.clear();
        task.m_isTicketRenewedAhead = false;
        task.m_checkpointAtStart = task.m_checkpoint;
        task.m_isCallPending = false;
        task.m_startLeaseUntilMs = 0;
        task.m_startProcessMs = 0;
        task.m_isStartedAnew = false;
        task.m_mayHaveArrived = false;
        task.m_otherProcessUntil = {};
        task.m_isStopAcknowledged = false;
        task.m_hasPassedProbation = false;
        task.m_isKnownToRun = false;
        task.m_knownToRunAt = {};
        task.m_isCrashCounted = false;
        task.m_hasStartBroken = false;
        task.m_isIsolated = false;
        task.m_missedSyncs = 0;
        task.m_tries = 0;
        task.m_percent = -1;
        task.m_pace = 100;
        task.m_progressAt = now;
        task.m_progressClockMs = 0;
        task.m_longestPercentMs = 0;
        worker.m_granted = worker.m_granted + grantOf(*ref.m_run);
        worker.m_tasks.push_back(ref);
        worker.m_suspects += isSuspect(task) ? 1 : 0;
        ref.m_run->m_expectedRunTime = predictRunTime(scheduler, *ref.m_run->m_job, ref.m_run->m_step);
        BULRUSH_INVARIANT(fitsInto(worker.m_granted, worker.m_announcement.m_capacity), "granted resources fit the worker's capacity");
        ++ref.m_run->m_attemptsByWorker[index];
        ++ref.m_run->m_activeAttempts;
        countAttempt(scheduler, ref);
        scheduler.m_recording.push_back(ref);
        markDirty(scheduler, *ref.m_run->m_job);
        ++scheduler.m_counters.m_placements;
        logEvent(LogLevel::Info, "task-placed", { { "task", format(nameOf(ref)) }, { "attempt", task.m_attempt }, { "worker", worker.m_announcement.m_id }, { "waited_ms", (now - task.m_waitingSince).m_ms }, { "cpu", planOf(*ref.m_run).m_size.m_cpuMilli }, { "gpus", planOf(*ref.m_run).m_size.m_gpus }, { "batch", task.m_batch } });
    }

    void detachTask(Scheduler& scheduler, const TaskRef& ref, TimePoint now)
    {
        Task& task = ref.task();
        if (task.m_phase == RunPhase::None)
            return;
        StepRun& run = *ref.m_run;
        Worker& worker = scheduler.m_workers[static_cast<std::size_t>(task.m_worker)];
        worker.m_granted = worker.m_granted - grantOf(run);
        scheduler.m_changedWorkers.push_back(task.m_worker);
        std::erase(worker.m_tasks, ref);
        worker.m_suspects -= isSuspect(task) ? 1 : 0;
        if (--run.m_attemptsByWorker[task.m_worker] == 0)
            run.m_attemptsByWorker.erase(task.m_worker);
        --run.m_activeAttempts;
        releaseAttempt(ref);
        if (task.m_phase == RunPhase::Recording) {
            std::erase(scheduler.m_recording, ref);
        } else {
            task.m_lastWorker = task.m_worker;
            task.m_lastAttempt = task.m_attempt;
        }
        if (task.m_phase == RunPhase::Starting || task.m_phase == RunPhase::Stopping)
            std::erase(scheduler.m_startingOrStopping, ref);
        task.m_phase = RunPhase::None;
        recountLingering(scheduler, std::exchange(task.m_worker, noWorker));
        task.m_waitingSince = now;
        markDirty(scheduler, *run.m_job);
        scheduler.m_needsPlacing = true;
        if (task.m_resolution != TaskResolution::Open)
            return;
        if (task.m_isKnownDone)
            return finishTask(scheduler, ref, now);
        markWaiting(scheduler, run);
    }

    void stopTask(Scheduler& scheduler, const TaskRef& ref, TimePoint now)
    {
        Task& task = ref.task();
        const bool wasNeverSent = task.m_phase == RunPhase::Recording || (task.m_phase == RunPhase::Starting && !task.m_isCallPending && !task.m_mayHaveArrived);
        if (wasNeverSent)
            return detachTask(scheduler, ref, now);
        if (task.m_phase != RunPhase::Starting && task.m_phase != RunPhase::Running)
            return;
        if (task.m_phase == RunPhase::Running)
            scheduler.m_startingOrStopping.push_back(ref);
        task.m_phase = RunPhase::Stopping;
        task.m_stopRequestedAt = now;
        task.m_isCallPending = false;
        task.m_isStopAcknowledged = false;
        task.m_nextCallAt = now;
        task.m_tries = 0;
    }

    void stopTaskAndGang(Scheduler& scheduler, const TaskRef& ref, TimePoint now)
    {
        if (!planOf(*ref.m_run).m_isGang)
            return stopTask(scheduler, ref, now);
        for (std::uint32_t i = 0; i < ref.m_run->m_tasks.size(); ++i)
            stopTask(scheduler, { ref.m_run, i }, now);
    }

    void stopOtherMembers(Scheduler& scheduler, const TaskRef& ref, TimePoint now)
    {
        if (!planOf(*ref.m_run).m_isGang)
            return;
        for (std::uint32_t i = 0; i < ref.m_run->m_tasks.size(); ++i) {
            if (i != ref.m_index)
                stopTask(scheduler, { ref.m_run, i }, now);
        }
    }

    void markTaskLost(Scheduler& scheduler, const TaskRef& ref, std::string_view cause, TimePoint now)
    {
        const Task& task = ref.task();
        if (task.m_phase == RunPhase::None) // It was withdrawn with another lost member of its gang.
            return;
        logEvent(LogLevel::Warning, "task-lost", { { "task", format(nameOf(ref)) }, { "attempt", task.m_attempt }, { "worker", scheduler.m_workers[static_cast<std::size_t>(task.m_worker)].m_announcement.m_id }, { "cause", cause } });
        ++scheduler.m_counters.m_lost;
        detachTask(scheduler, ref, now);
        stopOtherMembers(scheduler, ref, now);
    }

    void markTasksLost(Scheduler& scheduler, WorkerIndex index, std::string_view cause, TimePoint now)
    {
        const std::vector<TaskRef> lost = scheduler.m_workers[static_cast<std::size_t>(index)].m_tasks;
        for (const TaskRef& ref : lost)
            markTaskLost(scheduler, ref, cause, now);
    }

} // namespace detail

namespace {

    using namespace detail;

    /** Notes the progress that a worker reports for the current attempt of a task. @param clockMs The worker's clock in the report. */
    void noteProgress(Task& task, int percent, std::int64_t clockMs, TimePoint now)
    {
        if (percent == task.m_percent && task.m_progressClockMs != 0)
            return;
        const int gained = percent - task.m_percent;
        if (task.m_progressClockMs != 0 && gained > 0)
            task.m_longestPercentMs = std::max(task.m_longestPercentMs, (clockMs - task.m_progressClockMs) / gained);
        task.m_progressAt = now;
        task.m_progressClockMs = clockMs;
        task.m_percent = percent;
    }

    void confirmStart(Scheduler& scheduler, const TaskRef& ref, TimePoint now)
    {
        Task& task = ref.task();
        std::erase(scheduler.m_startingOrStopping, ref);
        task.m_phase = RunPhase::Running;
        task.m_confirmedAt = now;
        task.m_progressAt = now;
        task.m_hasStarted = true;
        task.m_wasUndelivered = false;
        noteKnownToRun(scheduler, ref, now);
        Job& job = *ref.m_run->m_job;
        if (job.m_stage == JobStage::Pending) {
            job.m_stage = JobStage::Active;
            --scheduler.m_pendingCounts[job.m_plan.m_queue];
        }
    }

    /** Notes whether the process that has reported has started an attempt. If it may be another one, the worker is asked for a report. */
    void noteStarter(Scheduler& scheduler, const TaskRef& ref, std::int64_t clockMs, TimePoint now)
    {
        Task& task = ref.task();
        Worker& worker = scheduler.m_workers[static_cast<std::size_t>(task.m_worker)];
        const bool isKnown = isReportingProcess(scheduler, worker, clockMs, now);
        task.m_otherProcessUntil = isKnown ? TimePoint {} : now;
        const bool isReportOpen = worker.m_hasOtherProcess && worker.m_isSyncPending && worker.m_syncSentAt >= task.m_startSentAt;
        if (isKnown || isReportOpen)
            return;
        logEvent(LogLevel::Info, "start-by-unknown-process", { { "task", format(nameOf(ref)) }, { "attempt", task.m_attempt }, { "worker", worker.m_announcement.m_id }, { "clock_ms", clockMs }, { "reported_clock_ms", worker.m_clock.m_ms }, { "report_requested_ms_ago", (now - worker.m_reportedSyncSentAt).m_ms } });
        requestReport(worker, now);
    }

    /** Requeues a task whose refused start can't be executed later. */
    void requeueTask(Scheduler& scheduler, const TaskRef& ref, std::string_view cause, TimePoint now)
    {
        logEvent(LogLevel::Info, "start-refused", { { "task", format(nameOf(ref)) }, { "attempt", ref.task().m_attempt }, { "worker", scheduler.m_workers[static_cast<std::size_t>(ref.task().m_worker)].m_announcement.m_id }, { "cause", cause } });
        ++scheduler.m_counters.m_refused;
        detachTask(scheduler, ref, now);
        stopOtherMembers(scheduler, ref, now);
    }

    /** Handles a refused start. If an earlier start call is unanswered and may still be executed, a stop has to rule that out first. */
    void handleRefusedStart(Scheduler& scheduler, const TaskRef& ref, std::string_view cause, TimePoint now)
    {
        if (ref.task().m_mayHaveArrived)
            stopTask(scheduler, ref, now);
        else
            requeueTask(scheduler, ref, cause, now);
    }

    /** Logs an end without effect on its task; acknowledged like any other, it is not reported again. */
    void logIgnoredEnd(const Scheduler& scheduler, const TaskRef& ref, WorkerIndex index, const EndedAttempt& ended)
    {
        const Task& task = ref.task();
        const bool isOutcome = ended.m_end == AttemptEnd::Done || ended.m_end == AttemptEnd::Failed;
        if (!isOutcome || task.m_resolution != TaskResolution::Open || isFinal(ref.m_run->m_job->m_stage))
            return;
        logEvent(LogLevel::Warning, "end-ignored", { { "task", format(ended.m_task) }, { "attempt", ended.m_attempt }, { "worker", scheduler.m_workers[static_cast<std::size_t>(index)].m_announcement.m_id }, { "end", findName(attemptEndNames, ended.m_end) }, { "latest_attempt", task.m_attempt }, { "phase", findName(runPhaseNames, task.m_phase) } });
    }

    /** Completes a task, or its gang, whose earlier attempt has ended as done. A later attempt is stopped first. */
    void acceptLateDone(Scheduler& scheduler, const TaskRef& ref, TimePoint now)
    {
        Task& task = ref.task();
        task.m_isKnownDone = true;
        stopTaskAndGang(scheduler, ref, now);
        if (task.m_phase == RunPhase::None)
            finishTask(scheduler, ref, now);
    }

    /**
     * Handles an end of an attempt that is not current any more: its worker has returned after its attempts counted as lost, perhaps
     * in an earlier term. A task that has ended as done is done, whichever attempt it was; long-running tasks run again. The checkpoint
     * of the latest attempt is used if no later one has been started.
     */
    void handleLateEnd(Scheduler& scheduler, const TaskRef& ref, WorkerIndex index, const EndedAttempt& ended, TimePoint now)
    {
        Task& task = ref.task();
        const StepPlan& plan = planOf(*ref.m_run);
        const bool isOpen = task.m_resolution == TaskResolution::Open && !isFinal(ref.m_run->m_job->m_stage);
        if (isOpen && ended.m_end == AttemptEnd::Done && !plan.m_isLongRunning) {
            logEvent(LogLevel::Info, "late-end-accepted", { { "task", format(ended.m_task) }, { "attempt", ended.m_attempt }, { "worker", scheduler.m_workers[static_cast<std::size_t>(index)].m_announcement.m_id }, { "latest_attempt", task.m_attempt }, { "phase", findName(runPhaseNames, task.m_phase) } });
            return acceptLateDone(scheduler, ref, now);
        }
        const bool hasNotStarted = task.m_phase == RunPhase::None || task.m_phase == RunPhase::Recording;
        const bool isLatest = task.m_lastWorker == index && task.m_lastAttempt == ended.m_attempt;
        if (isOpen && hasNotStarted && isLatest && !plan.m_isLongRunning && !plan.m_isGang && !ended.m_checkpoint.empty())
            task.m_checkpoint = ended.m_checkpoint;
        logIgnoredEnd(scheduler, ref, index, ended);
    }

    /** @return Whether the submission or the progress of a job may be unread. */
    bool mayBeUnread(const Scheduler& scheduler, const std::string& job)
    {
        if (!scheduler.m_areSubmissionsUnread)
            return false;
        const auto found = scheduler.m_jobs.find(job);
        return found == scheduler.m_jobs.end() || (scheduler.m_isProgressUnread && found->second->m_isHeld);
    }

    /** @return The batch with which all changes made so far are durable. */
    std::uint64_t presentBatch(const Scheduler& scheduler)
    {
        return scheduler.m_dirtyJobs.empty() ? scheduler.m_confirmedBatch : scheduler.m_nextBatch;
    }

    /** Handles an end that a worker has reported, or keeps it if its job may be unread. */
    void takeEnd(Scheduler& scheduler, WorkerIndex index, const EndedAttempt& ended, TimePoint now)
    {
        const bool isUnmatched = mayBeUnread(scheduler, ended.m_task.m_job);
        if (isUnmatched)
            scheduler.m_unmatchedEnds.push_back({ .m_worker = index, .m_ended = ended });
        if (isUnmatched)
            releaseUnreadEnd(scheduler, ended.m_task, ended.m_attempt);
        else
            handleEnd(scheduler, index, ended, now);
        Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        worker.m_highestSeenEnd = ended.m_number;
        worker.m_pendingEnds.push_back({ .m_number = ended.m_number, .m_batch = isUnmatched ? unknownBatch : presentBatch(scheduler) });
    }

    /** Forgets the numbers of a worker's unmatched ends, as its new process numbers its ends anew. */
    void forgetEndNumbers(Scheduler& scheduler, WorkerIndex index)
    {
        for (UnmatchedEnd& unmatched : scheduler.m_unmatchedEnds) {
            if (unmatched.m_worker == index)
                unmatched.m_ended.m_number = 0;
        }
    }

    /** Updates tasks from the worker's list of running attempts and stops attempts that are not expected there. */
    void handleRunning(Scheduler& scheduler, WorkerIndex index, const SyncReport& report, TimePoint now, SchedulerEffects& effects)
    {
        Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        worker.m_unexpectedAttempts = 0;
        const auto unexpectedSince = std::exchange(worker.m_unexpectedSince, std::nullopt);
        forgetStrays(scheduler, worker);
        worker.m_unexpected.clear();
        for (const RunningAttempt& running : report.m_running) {
            const TaskRef ref = findTask(scheduler, running.m_task);
            const bool isExpected = ref.m_run && ref.task().m_worker == index && ref.task().m_attempt == running.m_attempt && ref.task().m_phase != RunPhase::None && ref.task().m_phase != RunPhase::Recording;
            if (!isExpected) {
                ++worker.m_unexpectedAttempts;
                if (mayBeUnread(scheduler, running.m_task.m_job)) // It may be wanted, and takes room of unknown size.
                    continue;
                logEvent(LogLevel::Warning, "unexpected-attempt", { { "task", format(running.m_task) }, { "attempt", running.m_attempt }, { "worker", worker.m_announcement.m_id } });
                if (ref.m_run && ref.m_run->m_job->m_customer)
                    worker.m_unexpected.emplace_back(running.m_task, running.m_attempt);
                if (ref.m_run)
                    noteStray(scheduler, index, ref, now);
                worker.m_unexpectedSince = unexpectedSince.value_or(now);
                effects.m_stops.push_back({ targetOf(scheduler, worker), { .m_task = running.m_task, .m_attempt = running.m_attempt } });
                continue;
            }
            Task& task = ref.task();
            task.m_missedSyncs = 0;
            task.m_otherProcessUntil = {};
            if (task.m_phase == RunPhase::Starting)
                confirmStart(scheduler, ref, now);
            noteKnownToRun(scheduler, ref, now);
            noteListed(scheduler, ref, now);
            if (!running.m_checkpoint.empty())
                task.m_checkpoint = running.m_checkpoint;
            noteProgress(task, running.m_percent, report.m_clockMs, now);
            task.m_loadMetric = running.m_loadMetric;
        }
        recountLingering(scheduler, index);
    }

    bool isListed(const SyncReport& report, const TaskRef& ref)
    {
        const TaskName name = nameOf(ref);
        return std::any_of(report.m_running.begin(), report.m_running.end(), [&](const RunningAttempt& running) {
            return running.m_attempt == ref.task().m_attempt && running.m_task == name;
        });
    }

    /**
     * Has the new process of a restarted worker stop an attempt that ran on the former one. An unreported copy of its start may still
     * arrive there, and the new process, which knows nothing of the attempt, would run it.
     */
    void stopAtNewProcess(Scheduler& scheduler, const TaskRef& ref, TimePoint now)
    {
        Task& task = ref.task();
        stopTask(scheduler, ref, now);
        task.m_isStopAcknowledged = false; // A stop that the former process has accepted does not bind the new one.
        task.m_nextCallAt = now;
    }

    /**
     * Detaches tasks whose attempts are missing from the worker's list.
     * @param isFirstReport The worker's first report in this term, or since its process restarted: a single miss is conclusive.
     */
    void handleMissing(Scheduler& scheduler, WorkerIndex index, const SyncReport& report, bool isFirstReport, TimePoint sentAt, TimePoint now)
    {
        constexpr std::uint16_t missedSyncsUntilLost = 2;
        const std::vector<TaskRef> tasks = scheduler.m_workers[static_cast<std::size_t>(index)].m_tasks;
        for (const TaskRef& ref : tasks) {
            Task& task = ref.task();
            const bool isListingExpected = task.m_phase == RunPhase::Running || (task.m_phase == RunPhase::Stopping && task.m_isStopAcknowledged) || isStartRuledOut(task, report, now);
            if (!isListingExpected || task.m_confirmedAt >= sentAt || isListed(report, ref))
                continue;
            ++task.m_missedSyncs;
            if (task.m_phase == RunPhase::Running && !isFirstReport && task.m_missedSyncs < missedSyncsUntilLost)
                continue;
            logEvent(LogLevel::Info, "attempt-missing", { { "task", format(nameOf(ref)) }, { "attempt", task.m_attempt }, { "phase", findName(runPhaseNames, task.m_phase) }, { "worker", scheduler.m_workers[static_cast<std::size_t>(index)].m_announcement.m_id }, { "is_first_report", isFirstReport }, { "confirmed_ms_ago", (now - task.m_confirmedAt).m_ms }, { "sync_sent_ms_ago", (now - sentAt).m_ms } });
            if (isFirstReport && task.m_mayHaveArrived)
                stopAtNewProcess(scheduler, ref, now);
            else
                detachTask(scheduler, ref, now);
            if (task.m_resolution == TaskResolution::Open)
                stopOtherMembers(scheduler, ref, now);
        }
    }

    /** @return Whether a late answer tells nothing new: a later one has been used, or the worker has been announced as restarted since. */
    bool isOutdated(const Worker& worker, OrderStatus status, const SyncReport& report, TimePoint sentAt)
    {
        const std::int64_t announcedStartMs = worker.m_announcement.m_processStartMs;
        const bool isOfOtherProcess = status == OrderStatus::Done && announcedStartMs != 0 && report.m_processStartMs != announcedStartMs;
        return sentAt < worker.m_reportedSyncSentAt || isOfOtherProcess;
    }

    /** Counts the outcome of a start. While orders fail, a further failure says nothing of syncs, which are counted on their own. */
    void countOrder(Scheduler& scheduler, WorkerIndex index, OrderStatus status, TimePoint now)
    {
        Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        const bool wereFailing = areOrdersFailing(worker, now);
        noteOrderOutcome(worker, status, now);
        const bool saysNothing = status == OrderStatus::NotSent || status == OrderStatus::NotForwarded || status == OrderStatus::Unreported || status == OrderStatus::WrongInstance;
        if (saysNothing || (wereFailing && status == OrderStatus::NoAnswer))
            return;
        countAnswer(scheduler, index, status != OrderStatus::NoAnswer, now);
    }

    TaskRef findCurrentAttempt(Scheduler& scheduler, const std::string& worker, const TaskName& name, std::uint32_t attempt)
    {
        const auto index = scheduler.m_workerById.find(worker);
        const TaskRef ref = findTask(scheduler, name);
        if (index == scheduler.m_workerById.end() || !ref.m_run || ref.task().m_worker != index->second || ref.task().m_attempt != attempt)
            return {};
        return ref;
    }

} // namespace

void detail::handleEnd(Scheduler& scheduler, WorkerIndex index, const EndedAttempt& ended, TimePoint now)
{
    noteListedEnd(scheduler, index, ended.m_task, ended.m_attempt);
    const TaskRef ref = findTask(scheduler, ended.m_task);
    if (!ref.m_run) { // Of an ended job only the stage may be known.
        if (!scheduler.m_jobs.contains(ended.m_task.m_job))
            logEvent(LogLevel::Warning, "end-unknown", { { "task", format(ended.m_task) }, { "attempt", ended.m_attempt }, { "worker", scheduler.m_workers[static_cast<std::size_t>(index)].m_announcement.m_id }, { "end", findName(attemptEndNames, ended.m_end) } });
        return;
    }
    Task& task = ref.task();
    const bool isCurrent = task.m_worker == index && task.m_attempt == ended.m_attempt && task.m_phase != RunPhase::None && task.m_phase != RunPhase::Recording;
    if (!isCurrent)
        return handleLateEnd(scheduler, ref, index, ended, now);
    if (!ended.m_checkpoint.empty())
        task.m_checkpoint = ended.m_checkpoint;
    if (task.m_phase == RunPhase::Starting)
        confirmStart(scheduler, ref, now);
    logEvent(LogLevel::Info, "attempt-ended", { { "task", format(ended.m_task) }, { "attempt", ended.m_attempt }, { "worker", scheduler.m_workers[static_cast<std::size_t>(index)].m_announcement.m_id }, { "end", findName(attemptEndNames, ended.m_end) }, { "ran_ms", (now - task.m_confirmedAt).m_ms }, { "estimate_ms", planOf(*ref.m_run).m_estimatedRunTime.m_ms }, { "image", planOf(*ref.m_run).m_image } });
    if (ended.m_end == AttemptEnd::Done || ended.m_end == AttemptEnd::Failed)
        countOutcome(scheduler, ref, ended.m_end == AttemptEnd::Done, now);
    if (ended.m_end == AttemptEnd::Failed)
        task.m_failedOn.push_back(index);
    detachTask(scheduler, ref, now);
    if (ended.m_end == AttemptEnd::Done && !planOf(*ref.m_run).m_isLongRunning)
        return finishTask(scheduler, ref, now);
    if (ended.m_end == AttemptEnd::Failed)
        failTask(scheduler, ref, now);
    if (task.m_resolution == TaskResolution::Open)
        stopOtherMembers(scheduler, ref, now);
}

void detail::handleUnmatchedEnds(Scheduler& scheduler, const std::string& job, TimePoint now)
{
    std::vector<UnmatchedEnd> matched;
    std::erase_if(scheduler.m_unmatchedEnds, [&](const UnmatchedEnd& unmatched) {
        if (unmatched.m_ended.m_task.m_job == job)
            matched.push_back(unmatched);
        return unmatched.m_ended.m_task.m_job == job;
    });
    for (const auto& [index, ended] : matched) {
        handleEnd(scheduler, index, ended, now);
        for (PendingEnd& pending : scheduler.m_workers[static_cast<std::size_t>(index)].m_pendingEnds) {
            if (pending.m_number == ended.m_number)
                pending.m_batch = presentBatch(scheduler);
        }
    }
}

void onSyncAnswer(Scheduler& scheduler, const std::string& id, OrderStatus status, const SyncReport& report, TimePoint sentAt, TimePoint now, SchedulerEffects& effects)
{
    const auto found = scheduler.m_workerById.find(id);
    if (found == scheduler.m_workerById.end())
        return;
    const WorkerIndex index = found->second;
    activateWorker(scheduler, index);
    Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
    const bool isLate = sentAt < worker.m_syncSentAt;
    if (!isLate)
        worker.m_isSyncPending = false;
    else if (isOutdated(worker, status, report, sentAt))
        return;
    if (status == OrderStatus::Fenced) {
        effects.m_isFenced = true;
        return;
    }
    if (status == OrderStatus::WrongInstance && hasMovedLately(scheduler, worker, now)) {
        worker.m_nextSyncAt = now + oldAddressRetryDelay;
        return;
    }
    if (status == OrderStatus::WrongInstance) {
        loseTasksToCrash(scheduler, index, now);
        return;
    }
    if (status == OrderStatus::Unreported) {
        worker.m_nextSyncAt = now;
        return;
    }
    if (status != OrderStatus::Done) {
        countAnswer(scheduler, index, false, now);
        if (!isLate)
            noteFailedSync(worker, status, now);
        return;
    }
    worker.m_reportedSyncSentAt = sentAt;
    countAnswer(scheduler, index, true, now);
    const bool hasRestarted = worker.m_processStartMs != 0 && report.m_processStartMs != worker.m_processStartMs;
    const bool isFirstReport = hasRestarted || worker.m_state == WorkerState::New;
    if (hasRestarted) {
        noteRestart(scheduler, index, now);
        stopLateStarts(scheduler, index, now);
        worker.m_highestSeenEnd = 0;
        worker.m_ackedEndNumber = 0;
        worker.m_pendingEnds.clear();
        forgetEndNumbers(scheduler, index);
        worker.m_leaseUntilMs = 0;
        worker.m_orders = {};
    }
    worker.m_outage = {};
    worker.m_isCrashNoted = false;
    worker.m_hasOtherProcess = worker.m_hasOtherProcess && isLate;
    worker.m_isProcessConfirmed = worker.m_isProcessConfirmed || !isLate; // The process that made a late report may have ended since.
    worker.m_processStartMs = report.m_processStartMs;
    updateClock(scheduler, worker, { .m_ms = report.m_clockMs, .m_readAt = now }, isLate && !hasRestarted);
    if (isFirstReport)
        worker.m_leaseUntilMs = std::max(worker.m_leaseUntilMs, report.m_clockMs + scheduler.m_options.m_longestLease.m_ms);
    if (worker.m_state != WorkerState::Adopted) {
        const bool isUnremarkable = worker.m_state == WorkerState::New && report.m_running.empty() && report.m_ended.empty();
        if (!isUnremarkable)
            logEvent(LogLevel::Info, "worker-adopted", { { "worker", id }, { "previous_state", findName(workerStateNames, worker.m_state) }, { "running", report.m_running.size() }, { "ended", report.m_ended.size() }, { "process_started_ms", report.m_processStartMs } });
        scheduler.m_needsPlacing = true;
    }
    worker.m_state = WorkerState::Adopted;
    for (const EndedAttempt& ended : report.m_ended) {
        if (ended.m_number > worker.m_highestSeenEnd)
            takeEnd(scheduler, index, ended, now);
    }
    handleRunning(scheduler, index, report, now, effects);
    constexpr std::size_t maxEndsPerReport = 500; ///< A report with this many ends may omit further ones, so an attempt that it does not list may have ended.
    if (report.m_ended.size() < maxEndsPerReport)
        handleMissing(scheduler, index, report, isFirstReport, sentAt, now);
    constexpr Duration maxRecordingWait { 400 }; ///< How long the next sync waits for the ends to become durable, so that it can acknowledge them.
    worker.m_nextSyncAt = worker.m_pendingEnds.empty() ? now : now + maxRecordingWait;
}

void onStartAnswer(Scheduler& scheduler, const std::string& worker, const TaskName& name, std::uint32_t attempt, const StartAnswer& answer, TimePoint now, SchedulerEffects& effects)
{
    const OrderStatus status = answer.m_status;
    const TaskRef ref = findCurrentAttempt(scheduler, worker, name, attempt);
    const auto index = scheduler.m_workerById.find(worker);
    if (index != scheduler.m_workerById.end()) {
        activateWorker(scheduler, index->second);
        countOrder(scheduler, index->second, status, now);
    }
    if (index != scheduler.m_workerById.end() && (status == OrderStatus::NoAnswer || status == OrderStatus::Unreported))
        noteUnansweredStart(scheduler, index->second, name, attempt, now);
    if (status == OrderStatus::Fenced)
        effects.m_isFenced = true;
    if (!ref.m_run || ref.task().m_phase != RunPhase::Starting)
        return;
    Task& task = ref.task();
    task.m_isCallPending = false;
    if (status != OrderStatus::NoAnswer && status != OrderStatus::NotSent && status != OrderStatus::NotForwarded && status != OrderStatus::Unreported)
        updateMeanAnswerTime(scheduler, now - task.m_startSentAt);
    constexpr Duration retryDelay { 30 };
    task.m_nextCallAt = now + retryDelay;
    switch (status) {
    case OrderStatus::Done:
    case OrderStatus::Superseded: // The attempt ran there and ended; the next sync reports its end or omits it.
        noteStarter(scheduler, ref, answer.m_clockMs, now);
        confirmStart(scheduler, ref, now);
        return;
    case OrderStatus::NoAnswer:
    case OrderStatus::Unreported:
        task.m_hasStartBroken = task.m_hasStartBroken || (status == OrderStatus::NoAnswer && now < task.m_otherProcessUntil);
        task.m_mayHaveArrived = true;
        task.m_otherProcessUntil = now;
        return;
    case OrderStatus::LeaseExpired: // The next sync refreshes the known clock of the worker, so a later deadline can be sent.
    case OrderStatus::NotSent:
    case OrderStatus::NotForwarded:
    case OrderStatus::Fenced:
        return;
    case OrderStatus::InvalidTicket:
        if (!dropRefusedTicket(ref, now))
            return handleRefusedStart(scheduler, ref, "no-ticket", now);
        ++scheduler.m_counters.m_refused;
        logEvent(LogLevel::Info, "ticket-refused", { { "task", format(name) }, { "attempt", attempt }, { "worker", worker }, { "tries", task.m_tries }, { "placed_ms_ago", (now - task.m_placedAt).m_ms } });
        return;
    case OrderStatus::InsufficientCapacity:
        return handleRefusedStart(scheduler, ref, "no-room", now);
    case OrderStatus::Unhealthy: {
        constexpr Duration unhealthyQuarantine { 1'500 };
        scheduler.m_workers[static_cast<std::size_t>(task.m_worker)].m_health.m_quarantinedUntil = now + unhealthyQuarantine;
        return handleRefusedStart(scheduler, ref, "unhealthy", now);
    }
    case OrderStatus::WrongInstance:
        if (hasMovedLately(scheduler, scheduler.m_workers[static_cast<std::size_t>(task.m_worker)], now))
            return;
        return loseTasksToCrash(scheduler, task.m_worker, now);
    case OrderStatus::Invalid:
        logEvent(LogLevel::Error, "start-invalid", { { "task", format(name) }, { "worker", worker } });
        return handleRefusedStart(scheduler, ref, "invalid", now);
    }
}

void onStopAnswer(Scheduler& scheduler, const std::string& worker, const TaskName& name, std::uint32_t attempt, OrderStatus status, TimePoint now, SchedulerEffects& effects)
{
    if (status == OrderStatus::Fenced)
        effects.m_isFenced = true;
    if (const auto index = scheduler.m_workerById.find(worker); index != scheduler.m_workerById.end()) {
        activateWorker(scheduler, index->second);
        Worker& addressee = scheduler.m_workers[static_cast<std::size_t>(index->second)];
        // A stop that is refused does not end the attempt either.
        noteOrderOutcome(addressee, status == OrderStatus::Unhealthy ? OrderStatus::NoAnswer : status, now);
        onLateStartStopped(scheduler, index->second, name, attempt, status, now);
    }
    const TaskRef ref = findCurrentAttempt(scheduler, worker, name, attempt);
    if (!ref.m_run || ref.task().m_phase != RunPhase::Stopping)
        return;
    Task& task = ref.task();
    task.m_isCallPending = false;
    constexpr Duration retryDelay { 100 };
    task.m_nextCallAt = now + retryDelay;
    const bool isMove = hasMovedLately(scheduler, scheduler.m_workers[static_cast<std::size_t>(task.m_worker)], now);
    if (status == OrderStatus::WrongInstance && !isMove)
        return loseTasksToCrash(scheduler, task.m_worker, now);
    if (status != OrderStatus::Done)
        return;
    task.m_isStopAcknowledged = true;
    task.m_confirmedAt = now;
}

void detail::acknowledgeEnds(Scheduler& scheduler, TimePoint now)
{
    for (const WorkerIndex index : scheduler.m_activeWorkers) {
        Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        while (!worker.m_pendingEnds.empty() && worker.m_pendingEnds.front().m_batch <= scheduler.m_confirmedBatch) {
            worker.m_ackedEndNumber = worker.m_pendingEnds.front().m_number;
            worker.m_pendingEnds.pop_front();
            worker.m_nextSyncAt = now;
        }
    }
}

void onRecorded(Scheduler& scheduler, std::uint64_t batch, TimePoint now)
{
    scheduler.m_confirmedBatch = batch;
    reportRecordWaits(scheduler, batch, now);
    std::uint64_t measuredBatch = 0;
    std::vector<TaskRef> remaining;
    for (const TaskRef& ref : scheduler.m_recording) {
        Task& task = ref.task();
        if (task.m_batch > batch) {
            remaining.push_back(ref);
            continue;
        }
        if (std::exchange(measuredBatch, task.m_batch) != task.m_batch)
            updateMeanRecordTime(scheduler, now - task.m_placedAt);
        task.m_phase = RunPhase::Starting;
        task.m_recordedAt = now;
        task.m_nextCallAt = now;
        scheduler.m_startingOrStopping.push_back(ref);
    }
    scheduler.m_recording = std::move(remaining);
    acknowledgeEnds(scheduler, now);
}

} // namespace bulrushloft::scheduler
