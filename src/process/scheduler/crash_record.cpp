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
    constexpr std::uint16_t maxCrashes = 5; ///< Limit for tasks that crash their workers later than on probation: the most that callers allow.
    constexpr Duration recentPeriod { 10'000 }; ///< Covers the time from a crash under a task to the next one: its worker is back, and another one is free for the task.
    constexpr Duration calmRunTime { 30'000 }; ///< An attempt that has run for this long ends the count of crashes of a long-running task.

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

    /**
     * Selects the attempts that may have caused a crash: those on probation. If one of them was isolated, the others had passed
     * theirs under an earlier leader.
     */
    std::vector<TaskRef> selectSuspects(const std::vector<TaskRef>& affected)
    {
        std::vector<TaskRef> suspects = affected;
        std::erase_if(suspects, [](const TaskRef& ref) { return ref.task().m_hasPassedProbation; });
        const auto isIsolated = [](const TaskRef& ref) { return ref.task().m_isIsolated; };
        if (std::any_of(suspects.begin(), suspects.end(), isIsolated))
            std::erase_if(suspects, std::not_fn(isIsolated));
        return suspects;
    }

    void countCrash(Scheduler& scheduler, Worker& worker, const TaskRef& ref, bool isSuspected)
    {
        Task& task = ref.task();
        ++task.m_crashes;
        if (isSuspected) {
            worker.m_suspects += isSuspect(task) ? 0 : 1;
            ++task.m_suspicions;
            task.m_provenSuspicions += task.m_isKnownToRun ? 1 : 0;
            ref.m_run->m_hadSuspects = true;
        }
        markDirty(scheduler, *ref.m_run->m_job);
    }

    /** @return Whether a task is known to have caused the crash of its worker, if no other attempt was on probation there. */
    bool isProvenCulprit(const TaskRef& ref)
    {
        const Task& task = ref.task();
        const std::uint16_t needed = planOf(*ref.m_run).m_isLongRunning ? crashesOfLongRunningCulprit : crashesOfCulprit;
        return task.m_isKnownToRun && task.m_provenSuspicions >= needed;
    }

    /** @return Whether so many workers crashed under a task that it is given up without further proof. Long-running tasks have no such limit. */
    bool isOverLimit(const TaskRef& ref)
    {
        return ref.task().m_crashes >= maxCrashes && !planOf(*ref.m_run).m_isLongRunning;
    }

    /** When a worker has crashed, as far as that is known. */
    struct CrashTime {
        TimePoint m_answeredAt; ///< Latest answer of the process that has crashed, as far as it is told from that of the next one.
        TimePoint m_failedAt; ///< First call that failed; the time of the proof if none did.
        std::string_view m_syncEnd; ///< How the open sync ended, for logs.
    };

    CrashTime crashTimeOf(const Worker& worker, TimePoint now)
    {
        const WorkerOutage& outage = worker.m_outage;
        if (outage.m_failedAt == TimePoint {})
            return { .m_answeredAt = worker.m_answeredAt, .m_failedAt = now, .m_syncEnd = "no call has failed" };
        return { .m_answeredAt = outage.m_answeredAt, .m_failedAt = outage.m_failedAt, .m_syncEnd = outage.m_brokeAt == TimePoint {} ? "timed out" : "broke" };
    }

    std::size_t countUnexplained(const Scheduler& scheduler)
    {
        return static_cast<std::size_t>(std::count_if(scheduler.m_recentCrashes.begin(), scheduler.m_recentCrashes.end(), [](const WorkerCrash& crash) { return crash.m_isUnexplained; }));
    }

    /** Adds a crash to the recent ones and forgets the earlier ones. */
    void noteCrash(Scheduler& scheduler, const WorkerCrash& crash)
    {
        std::erase_if(scheduler.m_recentCrashes, [&](const WorkerCrash& other) { return crash.m_provenAt - other.m_provenAt > recentPeriod; });
        scheduler.m_recentCrashes.push_back(crash);
    }

    void logCrash(const Scheduler& scheduler, const Worker& worker, const CrashTime& time, std::string_view proof, std::size_t onProbation, TimePoint now)
    {
        logEvent(LogLevel::Warning, "worker-crashed", { { "worker", worker.m_announcement.m_id }, { "proof", proof }, { "tasks", worker.m_tasks.size() }, { "on_probation", onProbation }, { "is_draining", worker.m_announcement.m_isDraining }, { "has_reported", worker.m_clock.m_ms != 0 }, { "answered_ms_ago", (now - time.m_answeredAt).m_ms }, { "failed_ms_ago", (now - time.m_failedAt).m_ms }, { "sync_end", time.m_syncEnd }, { "recent_crashes", scheduler.m_recentCrashes.size() }, { "recent_unexplained", countUnexplained(scheduler) } });
    }

    void logSuspect(const Worker& worker, const TaskRef& ref, bool wasAlone)
    {
        const Task& task = ref.task();
        logEvent(LogLevel::Warning, "task-suspected", { { "task", format(nameOf(ref)) }, { "attempt", task.m_attempt }, { "worker", worker.m_announcement.m_id }, { "crashes", task.m_crashes }, { "on_probation_in_a_row", task.m_suspicions }, { "proven", task.m_provenSuspicions }, { "was_known_to_run", task.m_isKnownToRun }, { "was_alone", wasAlone } });
    }

    /** Logs on what evidence a task is given up. */
    void logCulprit(const Scheduler& scheduler, const TaskRef& ref, const CrashTime& time, TimePoint now)
    {
        const Task& task = ref.task();
        const bool isKnown = task.m_knownToRunAt != TimePoint {}; // Otherwise only the record of an earlier term tells.
        const TimePoint knownAt = isKnown ? task.m_knownToRunAt : time.m_failedAt;
        logEvent(LogLevel::Warning, "task-given-up", { { "task", format(nameOf(ref)) }, { "attempt", task.m_attempt }, { "crashes", task.m_crashes }, { "cause", "workers crashed under it" }, { "on_probation_in_a_row", task.m_suspicions }, { "proven", task.m_provenSuspicions }, { "is_known_in_this_term", isKnown }, { "known_to_run_to_failure_ms", (time.m_failedAt - knownAt).m_ms }, { "known_to_run_to_proof_ms", (now - knownAt).m_ms }, { "confirmed_to_failure_ms", (time.m_failedAt - task.m_confirmedAt).m_ms }, { "sync_end", time.m_syncEnd }, { "recent_crashes", scheduler.m_recentCrashes.size() }, { "recent_unexplained", countUnexplained(scheduler) } });
    }

    /**
     * Counts a crash for all attempts that may have been running on the worker. A worker that leaves as announced has not crashed.
     * @return The tasks to give up.
     */
    std::vector<TaskRef> recordCrash(Scheduler& scheduler, WorkerIndex index, const CrashTime& time, std::string_view proof, TimePoint now)
    {
        Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        std::vector<TaskRef> affected = worker.m_tasks;
        std::erase_if(affected, [](const TaskRef& ref) { return !mayHaveRun(ref.task()); });
        const std::vector<TaskRef> suspects = selectSuspects(affected);
        if (!worker.m_tasks.empty())
            logCrash(scheduler, worker, time, proof, suspects.size(), now);
        std::vector<TaskRef> culprits;
        if (worker.m_announcement.m_isDraining)
            return culprits;
        const bool wasAlone = suspects.size() == 1;
        for (const TaskRef& ref : affected) {
            const bool isSuspected = std::find(suspects.begin(), suspects.end(), ref) != suspects.end();
            countCrash(scheduler, worker, ref, isSuspected);
            if (isSuspected)
                logSuspect(worker, ref, wasAlone);
            if ((isSuspected && wasAlone && isProvenCulprit(ref)) || isOverLimit(ref))
                culprits.push_back(ref);
        }
        if (worker.m_state != WorkerState::Gone)
            noteCrash(scheduler, { .m_at = time.m_failedAt, .m_provenAt = now, .m_isUnexplained = suspects.empty() });
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

} // namespace

bool isOnProbation(const Task& task)
{
    return !task.m_hasPassedProbation && !(task.m_phase == RunPhase::Stopping && task.m_isStopAcknowledged);
}

void loseTasksToCrash(Scheduler& scheduler, WorkerIndex index, TimePoint now)
{
    constexpr std::string_view proof = "another worker answers at its address";
    const CrashTime time = crashTimeOf(scheduler.m_workers[static_cast<std::size_t>(index)], now);
    const std::vector<TaskRef> culprits = recordCrash(scheduler, index, time, proof, now);
    markTasksLost(scheduler, index, proof, now);
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

void noteFailedSync(Worker& worker, TimePoint now)
{
    if (worker.m_outage.m_brokeAt == TimePoint {} && now < worker.m_syncTimeoutAt)
        worker.m_outage.m_brokeAt = now;
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
    task.m_suspicions = 0;
    task.m_provenSuspicions = 0;
    task.m_isIsolated = false;
    markDirty(scheduler, *ref.m_run->m_job); // Before other attempts start there, so that a later leader doesn't take this one for the cause of their crash.
    --scheduler.m_workers[static_cast<std::size_t>(task.m_worker)].m_suspects;
    scheduler.m_changedWorkers.push_back(task.m_worker);
    scheduler.m_needsPlacing = true;
}

} // namespace bulrushloft::scheduler::detail
