/** @file crash_record.cpp Counts crashes of workers for their tasks, and gives up the tasks that cause them. */
#include "process/scheduler/crash_record.h"

#include "core/log_func.h"
#include "process/scheduler/scheduler_detail.h"
#include "request/plan_func.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace bulrushloft::scheduler::detail {

namespace {

    constexpr std::uint16_t crashesOfCulprit = 2; ///< Proven crashes on probation in a row, in the latest of which no other attempt was on probation.
    constexpr std::uint16_t crashesOfLongRunningCulprit = 3; ///< The same for a long-running task, which has to be restarted however it ends.
    constexpr std::uint16_t maxCrashes = 5; ///< Limit for crashes at any time, and for those on probation in a row that can't be proven: the most that callers allow.
    constexpr Duration recentPeriod { 10'000 }; ///< Covers the time from a crash under a task to the next one: its worker is back, and another one is free for the task.
    constexpr Duration sameMoment { 20 }; ///< In which connections to workers break that crash at once; longer than the delay between zones.
    constexpr std::size_t commonCauseCrashes = 2; ///< Other workers that crash at the same moment without being the task's doing.
    constexpr Duration shortestExpiry { 1'000 }; ///< An announcement expires only after several heartbeats of silence; one that is removed sooner was removed by the worker as it left.
    constexpr Duration calmRunTime { 30'000 }; ///< An attempt that has run for this long ends the count of crashes of a long-running task.

    /** When a worker has crashed, as far as that is known. */
    struct CrashTime {
        TimePoint m_answeredAt; ///< Latest answer of the process that has crashed, as far as it is told from that of the next one.
        TimePoint m_failedAt; ///< First call that failed; the time of the proof if none did.
        TimePoint m_brokeAt; ///< Time of the crash, as the open sync broke; zero when it is not known.
        std::string_view m_syncEnd; ///< How the open sync ended, for logs.

        bool isKnown() const { return m_brokeAt != TimePoint {}; }
    };

    /** @return Whether the worker has made a report in this term; of one that hasn't, only the records of its attempts tell. */
    bool hasReported(const Worker& worker)
    {
        return worker.m_clock.m_ms != 0;
    }

    CrashTime crashTimeOf(const Worker& worker, TimePoint now)
    {
        const WorkerOutage& outage = worker.m_outage;
        if (outage.m_failedAt == TimePoint {})
            return { .m_answeredAt = worker.m_answeredAt, .m_failedAt = now, .m_brokeAt = {}, .m_syncEnd = "no call has failed" };
        const bool hasBroken = outage.m_brokeAt != TimePoint {} && hasReported(worker);
        return { .m_answeredAt = outage.m_answeredAt, .m_failedAt = outage.m_failedAt, .m_brokeAt = hasBroken ? outage.m_brokeAt : TimePoint {}, .m_syncEnd = hasBroken ? "broke" : "timed out" };
    }

    /** @return Whether a worker that has ended had left: it announced that it drains, or its announcement vanished too soon to have expired. */
    bool hasLeft(const Worker& worker, const CrashTime& time)
    {
        const bool wasRemovedSoon = worker.m_removedAt != TimePoint {} && worker.m_removedAt - time.m_failedAt < shortestExpiry;
        return worker.m_announcement.m_isDraining || (hasReported(worker) && !worker.m_isAnnounced && wasRemovedSoon);
    }

    /** @return Whether an attempt may have been running on its worker when that crashed. */
    bool mayHaveRun(const Task& task)
    {
        switch (task.m_phase) {
        case RunPhase::None:
        case RunPhase::Recording:
            return false;
        case RunPhase::Starting:
            return task.m_isCallPending || task.m_mayHaveArrived;
        case RunPhase::Running:
            return true;
        case RunPhase::Stopping:
            return !task.m_isStopAcknowledged;
        }
        return false;
    }

    /** @return How many workers have crashed lately that no task can have crashed. */
    std::size_t countUnexplained(const Scheduler& scheduler, TimePoint now)
    {
        return static_cast<std::size_t>(std::count_if(scheduler.m_recentCrashes.begin(), scheduler.m_recentCrashes.end(), [&](const WorkerCrash& crash) {
            return crash.m_isUnexplained && now - crash.m_provenAt <= recentPeriod;
        }));
    }

    /** @return How many other workers may have crashed before the term began, as they have made no report yet. Those of isolated suspects don't count. */
    std::size_t countUnheard(const Scheduler& scheduler, const Worker& except)
    {
        const auto isIsolated = [](const TaskRef& ref) { return ref.task().m_isIsolated; };
        return static_cast<std::size_t>(std::count_if(scheduler.m_activeWorkers.begin(), scheduler.m_activeWorkers.end(), [&](WorkerIndex index) {
            const Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
            const bool isUnheard = worker.m_state == WorkerState::New && (worker.m_isAnnounced || !worker.m_tasks.empty());
            return isUnheard && &worker != &except && std::none_of(worker.m_tasks.begin(), worker.m_tasks.end(), isIsolated);
        }));
    }

    /** @return Whether an attempt is known to have been running until its worker crashed. */
    bool isKnownToHaveRun(const Scheduler& scheduler, const Worker& worker, const Task& task, const CrashTime& time, TimePoint now)
    {
        if (!hasReported(worker)) // Its time is unknown, so that a crash of several workers doesn't show as one.
            return task.m_isKnownToRun && task.m_isIsolated && countUnexplained(scheduler, now) == 0 && countUnheard(scheduler, worker) < commonCauseCrashes;
        const bool isKnownAtAll = task.m_isKnownToRun && task.m_knownToRunAt != TimePoint {} && time.isKnown();
        const bool wasStopped = task.m_phase == RunPhase::Stopping && task.m_stopRequestedAt < time.m_brokeAt;
        const bool mayRunInNextProcess = task.m_otherProcessUntil != TimePoint {};
        return isKnownAtAll && !wasStopped && !mayRunInNextProcess && time.m_brokeAt - task.m_knownToRunAt <= scheduler.m_options.m_syncWait + probationPeriod;
    }

    /** @return Whether an attempt may have been on probation when its worker crashed. */
    bool wasOnProbation(const Task& task, const CrashTime& time)
    {
        if (task.m_hasPassedProbation || !mayHaveRun(task))
            return false;
        const bool isAgeKnown = time.isKnown() && task.m_phase != RunPhase::Starting && task.m_knownToRunAt != TimePoint {};
        return !isAgeKnown || time.m_brokeAt - task.m_confirmedAt < probationPeriod;
    }

    /**
     * Selects the attempts that may have caused a crash: those on probation. If one of them was isolated, the others had passed
     * theirs under an earlier leader.
     */
    std::vector<TaskRef> selectSuspects(const std::vector<TaskRef>& affected, const CrashTime& time)
    {
        std::vector<TaskRef> suspects = affected;
        std::erase_if(suspects, [&](const TaskRef& ref) { return !wasOnProbation(ref.task(), time); });
        const auto isIsolated = [](const TaskRef& ref) { return ref.task().m_isIsolated; };
        if (std::any_of(suspects.begin(), suspects.end(), isIsolated))
            std::erase_if(suspects, std::not_fn(isIsolated));
        return suspects;
    }

    /** Describes the crash of a worker with these suspects. */
    WorkerCrash describeCrash(const std::vector<TaskRef>& suspects, const CrashTime& time, TimePoint now)
    {
        WorkerCrash crash { .m_at = time.m_brokeAt, .m_provenAt = now, .m_isUnexplained = suspects.empty(), .m_jobs = {}, .m_soleSuspect = {} };
        for (const TaskRef& ref : suspects) {
            crash.m_hadIsolatedSuspect = crash.m_hadIsolatedSuspect || ref.task().m_isIsolated;
            crash.m_jobs.push_back(ref.m_run->m_job);
        }
        if (suspects.size() == 1)
            crash.m_soleSuspect = suspects.front();
        return crash;
    }

    /** @return The crashes that are proven, and those of workers whose connections broke and that have not answered since. */
    std::vector<WorkerCrash> likelyCrashes(const Scheduler& scheduler, WorkerIndex except, TimePoint now)
    {
        std::vector<WorkerCrash> crashes(scheduler.m_recentCrashes.begin(), scheduler.m_recentCrashes.end());
        for (const WorkerIndex index : scheduler.m_activeWorkers) {
            const Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
            const CrashTime time = crashTimeOf(worker, now);
            if (index != except && time.isKnown() && !worker.m_outage.m_isOver && !worker.m_isCrashNoted)
                crashes.push_back(describeCrash(selectSuspects(worker.m_tasks, time), time, now));
        }
        return crashes;
    }

    /**
     * @return Whether several other workers have crashed at the same moment that no attempt of the job can have crashed. Crashes under
     * isolated suspects don't count, as several culprits may be started at once.
     */
    bool hasCommonCause(const std::vector<WorkerCrash>& others, const Job* job, const CrashTime& time)
    {
        const auto count = std::count_if(others.begin(), others.end(), [&](const WorkerCrash& other) {
            const bool isAtOnce = time.isKnown() && other.m_at != TimePoint {} && std::max(other.m_at - time.m_brokeAt, time.m_brokeAt - other.m_at) <= sameMoment;
            return isAtOnce && !other.m_hadIsolatedSuspect && std::find(other.m_jobs.begin(), other.m_jobs.end(), job) == other.m_jobs.end();
        });
        return static_cast<std::size_t>(count) >= commonCauseCrashes;
    }

    /** Adds a crash to the recent ones, once for each process, and forgets the earlier ones. */
    void noteCrash(Scheduler& scheduler, Worker& worker, WorkerCrash crash, bool hasOtherCause)
    {
        std::erase_if(scheduler.m_recentCrashes, [&](const WorkerCrash& other) { return crash.m_provenAt - other.m_provenAt > recentPeriod; });
        if (std::exchange(worker.m_isCrashNoted, true))
            return;
        const bool wasCutOff = crash.m_at == TimePoint {} && hasReported(worker); // A task that crashes its worker breaks the connections.
        crash.m_isUnexplained = crash.m_isUnexplained || hasOtherCause || wasCutOff;
        scheduler.m_recentCrashes.push_back(std::move(crash));
    }

    /** @param isProven The crash is held against the task. */
    void countCrash(Scheduler& scheduler, Worker& worker, const TaskRef& ref, bool isSuspected, bool isProven)
    {
        Task& task = ref.task();
        task.m_isCrashCounted = true;
        task.m_crashes += isProven ? 1 : 0;
        if (isSuspected) {
            worker.m_suspects += isSuspect(task) ? 0 : 1;
            ++task.m_suspicions;
            task.m_provenSuspicions += isProven ? 1 : 0;
            ref.m_run->m_hadSuspects = true;
        }
        markDirty(scheduler, *ref.m_run->m_job);
    }

    /**
     * @return Whether a task is known to have caused the crash of its worker, if no other attempt was on probation there. While workers
     * crash that no task has crashed, two crashes may be a coincidence.
     */
    bool isProvenCulprit(const Scheduler& scheduler, const TaskRef& ref, TimePoint now)
    {
        const std::uint16_t needed = planOf(*ref.m_run).m_isLongRunning ? crashesOfLongRunningCulprit : crashesOfCulprit;
        const std::uint16_t forCoincidence = countUnexplained(scheduler, now) > 0 ? 1 : 0;
        return ref.task().m_provenSuspicions >= needed + forCoincidence;
    }

    /**
     * @return Whether so many workers in a row crashed on a task's probation that it is given up although not all are held against it,
     * as callers allow no further start of a task that causes them. The time of this one is known, or enough others are held against it.
     */
    bool isAlwaysSuspected(const Task& task, const CrashTime& time)
    {
        const bool isKnown = time.isKnown() && (task.m_isKnownToRun || task.m_hasStartBroken);
        return task.m_suspicions >= maxCrashes && (isKnown || task.m_provenSuspicions >= crashesOfCulprit);
    }

    /** @return Whether so many workers crashed under a task that it is given up without further proof. Long-running tasks have no such limit. */
    bool isOverLimit(const TaskRef& ref)
    {
        return ref.task().m_crashes >= maxCrashes && !planOf(*ref.m_run).m_isLongRunning;
    }

    void logCrash(const Scheduler& scheduler, const Worker& worker, const CrashTime& time, std::string_view proof, std::size_t onProbation, TimePoint now)
    {
        logEvent(LogLevel::Warning, "worker-crashed", { { "worker", worker.m_announcement.m_id }, { "proof", proof }, { "tasks", worker.m_tasks.size() }, { "on_probation", onProbation }, { "is_draining", worker.m_announcement.m_isDraining }, { "has_left", hasLeft(worker, time) }, { "has_reported", hasReported(worker) }, { "answered_ms_ago", (now - time.m_answeredAt).m_ms }, { "failed_ms_ago", (now - time.m_failedAt).m_ms }, { "sync_end", time.m_syncEnd }, { "recent_crashes", scheduler.m_recentCrashes.size() }, { "recent_unexplained", countUnexplained(scheduler, now) } });
    }

    void logSuspect(const Worker& worker, const TaskRef& ref, bool wasAlone, bool isProven, bool hasOtherCause)
    {
        const Task& task = ref.task();
        logEvent(LogLevel::Warning, "task-suspected", { { "task", format(nameOf(ref)) }, { "attempt", task.m_attempt }, { "worker", worker.m_announcement.m_id }, { "crashes", task.m_crashes }, { "on_probation_in_a_row", task.m_suspicions }, { "proven", task.m_provenSuspicions }, { "was_known_to_run", task.m_isKnownToRun }, { "was_alone", wasAlone }, { "is_proven", isProven }, { "has_common_cause", hasOtherCause } });
    }

    /** Logs on what evidence a task is given up. */
    void logCulprit(const Scheduler& scheduler, const TaskRef& ref, const CrashTime& time, TimePoint now)
    {
        const Task& task = ref.task();
        const bool isKnown = task.m_knownToRunAt != TimePoint {}; // Otherwise only the record of an earlier term tells.
        const TimePoint knownAt = isKnown ? task.m_knownToRunAt : time.m_failedAt;
        logEvent(LogLevel::Warning, "task-given-up", { { "task", format(nameOf(ref)) }, { "attempt", task.m_attempt }, { "crashes", task.m_crashes }, { "cause", "workers crashed under it" }, { "on_probation_in_a_row", task.m_suspicions }, { "proven", task.m_provenSuspicions }, { "is_known_in_this_term", isKnown }, { "known_to_run_to_failure_ms", (time.m_failedAt - knownAt).m_ms }, { "known_to_run_to_proof_ms", (now - knownAt).m_ms }, { "confirmed_to_failure_ms", (time.m_failedAt - task.m_confirmedAt).m_ms }, { "sync_end", time.m_syncEnd }, { "recent_crashes", scheduler.m_recentCrashes.size() }, { "recent_unexplained", countUnexplained(scheduler, now) } });
    }

    /** @return The attempts on a worker that may have been running when it crashed, without those that another crash was counted for. */
    std::vector<TaskRef> selectAffected(const Worker& worker)
    {
        std::vector<TaskRef> affected = worker.m_tasks;
        std::erase_if(affected, [](const TaskRef& ref) { return !mayHaveRun(ref.task()) || ref.task().m_isCrashCounted; });
        return affected;
    }

    /**
     * Counts a crash for all attempts that may have been running on the worker. A worker that has left has not crashed.
     * @return The tasks to give up.
     */
    std::vector<TaskRef> recordCrash(Scheduler& scheduler, WorkerIndex index, const CrashTime& time, std::string_view proof, TimePoint now)
    {
        Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        const std::vector<TaskRef> affected = selectAffected(worker);
        const std::vector<TaskRef> suspects = selectSuspects(affected, time);
        if (!worker.m_tasks.empty())
            logCrash(scheduler, worker, time, proof, suspects.size(), now);
        std::vector<TaskRef> culprits;
        if (hasLeft(worker, time))
            return culprits;
        const std::vector<WorkerCrash> others = likelyCrashes(scheduler, index, now);
        const WorkerCrash crash = describeCrash(suspects, time, now);
        const bool wasAlone = suspects.size() == 1;
        for (const TaskRef& ref : affected) {
            const bool isSuspected = std::find(suspects.begin(), suspects.end(), ref) != suspects.end();
            const bool hasOtherCause = hasCommonCause(others, ref.m_run->m_job, time);
            const bool isProven = !hasOtherCause && isKnownToHaveRun(scheduler, worker, ref.task(), time, now);
            countCrash(scheduler, worker, ref, isSuspected, isProven);
            if (isSuspected)
                logSuspect(worker, ref, wasAlone, isProven, hasOtherCause);
            const bool isCulprit = isSuspected && wasAlone && ((isProven && isProvenCulprit(scheduler, ref, now)) || isAlwaysSuspected(ref.task(), time));
            if (isCulprit || (isProven && isOverLimit(ref)))
                culprits.push_back(ref);
        }
        noteCrash(scheduler, worker, crash, hasCommonCause(others, nullptr, time));
        return culprits;
    }

    /** Fails the jobs of tasks that cause crashes. */
    void giveUp(Scheduler& scheduler, const std::vector<TaskRef>& culprits, const CrashTime& time, TimePoint now)
    {
        for (const TaskRef& ref : culprits) {
            Task& task = ref.task();
            Job& job = *ref.m_run->m_job;
            if (isFinal(job.m_stage) || task.m_resolution != TaskResolution::Open)
                continue;
            logCulprit(scheduler, ref, time, now);
            task.m_resolution = TaskResolution::Failed;
            endJob(scheduler, job, JobStage::Failed, now);
        }
    }

    /** Notes that a suspect has passed its probation: where it was the only one, the worker has crashed for another reason. */
    void noteCleared(Scheduler& scheduler, const TaskRef& ref)
    {
        for (WorkerCrash& crash : scheduler.m_recentCrashes)
            crash.m_isUnexplained = crash.m_isUnexplained || crash.m_soleSuspect == ref;
    }

} // namespace

bool hasMovedLately(const Scheduler& scheduler, const Worker& worker, TimePoint now)
{
    constexpr Duration timeoutMargin { 1'000 }; ///< No call takes longer than a sync is held open and this.
    return worker.m_movedAt != TimePoint {} && now - worker.m_movedAt < scheduler.m_options.m_syncWait + timeoutMargin;
}

bool isOnProbation(const Task& task)
{
    return !task.m_hasPassedProbation && !(task.m_phase == RunPhase::Stopping && task.m_isStopAcknowledged);
}

void loseTasksToCrash(Scheduler& scheduler, WorkerIndex index, TimePoint now)
{
    constexpr std::string_view proof = "another worker answers at its address";
    constexpr Duration retryDelay { 1'000 }; ///< Time until the worker is called again, which may be back at its address.
    Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
    const CrashTime time = crashTimeOf(worker, now);
    const std::vector<TaskRef> culprits = recordCrash(scheduler, index, time, proof, now);
    markTasksLost(scheduler, index, proof, now);
    worker.m_state = WorkerState::Gone; // Also if a start or a stop proves it: further starts there would look like further crashes.
    worker.m_nextSyncAt = now + retryDelay;
    giveUp(scheduler, culprits, time, now);
}

void noteRestart(Scheduler& scheduler, WorkerIndex index, TimePoint now)
{
    const CrashTime time = crashTimeOf(scheduler.m_workers[static_cast<std::size_t>(index)], now);
    const std::vector<TaskRef> culprits = recordCrash(scheduler, index, time, "its process has started again", now);
    // A repeated start would run an attempt in the new process that may have crashed the old one, beside other tasks.
    const std::vector<TaskRef> tasks = scheduler.m_workers[static_cast<std::size_t>(index)].m_tasks;
    for (const TaskRef& ref : tasks) {
        if (isSuspect(ref.task()) && ref.task().m_phase == RunPhase::Starting)
            stopTask(scheduler, ref, now);
    }
    giveUp(scheduler, culprits, time, now);
}

void noteFailedCall(Worker& worker, TimePoint now)
{
    WorkerOutage& outage = worker.m_outage;
    if (outage.m_failedAt == TimePoint {} || outage.m_isOver)
        outage = { .m_answeredAt = worker.m_answeredAt, .m_failedAt = now, .m_brokeAt = {} };
}

void noteFailedSync(Worker& worker, OrderStatus status, TimePoint now)
{
    WorkerOutage& outage = worker.m_outage;
    const bool hasBroken = status == OrderStatus::NoAnswer && now < worker.m_syncTimeoutAt;
    // A connection that is refused tells the time of the crash only if the worker has answered a moment ago.
    const bool wasRefused = status == OrderStatus::NotSent && now - outage.m_answeredAt < probationPeriod;
    if (outage.m_brokeAt == TimePoint {} && (hasBroken || wasRefused))
        outage.m_brokeAt = now;
}

void noteKnownToRun(Scheduler& scheduler, const TaskRef& ref, TimePoint now)
{
    Task& task = ref.task();
    task.m_knownToRunAt = now;
    if (std::exchange(task.m_isKnownToRun, true) || !isSuspect(task))
        return;
    markDirty(scheduler, *ref.m_run->m_job); // If this leader ends with the worker, its successor still knows that the crash was one under the task.
}

void noteListed(Scheduler& scheduler, const TaskRef& ref, TimePoint now)
{
    Task& task = ref.task();
    if (task.m_phase != RunPhase::Running)
        return;
    const Duration age = now - task.m_confirmedAt;
    if (age >= calmRunTime)
        task.m_crashes = 0;
    if (task.m_hasPassedProbation || age < probationPeriod)
        return;
    task.m_hasPassedProbation = true;
    if (!isSuspect(task))
        return;
    logEvent(LogLevel::Info, "task-cleared", { { "task", format(nameOf(ref)) }, { "attempt", task.m_attempt }, { "worker", scheduler.m_workers[static_cast<std::size_t>(task.m_worker)].m_announcement.m_id }, { "crashes", task.m_crashes }, { "ran_ms", age.m_ms } });
    noteCleared(scheduler, ref);
    task.m_suspicions = 0;
    task.m_provenSuspicions = 0;
    task.m_isIsolated = false;
    markDirty(scheduler, *ref.m_run->m_job); // Before other attempts start there, so that a later leader doesn't take this one for the cause of their crash.
    --scheduler.m_workers[static_cast<std::size_t>(task.m_worker)].m_suspects;
    scheduler.m_changedWorkers.push_back(task.m_worker);
    scheduler.m_needsPlacing = true;
}

} // namespace bulrushloft::scheduler::detail
