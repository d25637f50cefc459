/** @file scheduler_base.h The state with which the leader decides: jobs, tasks, workers. */
#pragma once

#include "connection/order_type.h"
#include "connection/store_type.h"
#include "request/plan_type.h"
#include "version/cluster_type.h"

#include <deque>
#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bulrushloft::scheduler {

/** Index of a worker in the scheduler. */
using WorkerIndex = std::int32_t;
constexpr WorkerIndex noWorker = -1;

/** Times and limits of the scheduler. */
struct SchedulerOptions {
    Duration m_lease { 5'000 }; ///< Length of the leases that workers get.
    Duration m_longestLease { 6'000 }; ///< Workers shorten longer leases to this.
    Duration m_formerGrace { 3'000 }; ///< How long an isolated former leader may go on renewing leases.
    Duration m_gangTimeout { 3'000 }; ///< Longest wait of a gang's member for the others.
    Duration m_syncWait { 1'000 }; ///< How long a sync waits at the worker for an end.
    Duration m_idleSync { 2'500 }; ///< Between syncs of a worker on which nothing runs.
    Duration m_memory { 150'000 }; ///< How long ended jobs are remembered.
    double m_clockDrift = 0.02; ///< Workers' clocks may be slower by this share.
    double m_remoteFactor = 2; ///< Slow-down of tasks away from their data.
    std::uint64_t m_token = 0; ///< Fencing token of this term.
};

/** Where one attempt stands. */
enum class RunPhase : std::uint8_t {
    None, ///< No attempt is out.
    Recording, ///< Placed; the record is not confirmed yet.
    Starting, ///< The start is on its way or unanswered.
    Running, ///< The worker has confirmed it.
    Stopping, ///< A stop is on its way, or the end is awaited.
};

/** Whether a task still has to run. */
enum class TaskFate : std::uint8_t {
    Open, ///< Not ended.
    Done, ///< Ran to its end.
    Failed, ///< Failed for the last time.
};

/** One task with its present attempt. */
struct Task {
    TaskFate m_fate = TaskFate::Open; ///< Whether it still has to run.
    RunPhase m_phase = RunPhase::None; ///< Where the present attempt stands.
    bool m_isCallOut = false; ///< A start or stop is unanswered.
    TimePoint m_calledAt; ///< When the latest start was sent.
    bool m_mayHaveArrived = false; ///< An unanswered start may still be carried out.
    bool m_hasStarted = false; ///< Some attempt was confirmed by a worker.
    bool m_isStopAnswered = false; ///< The worker has taken the stop.
    std::uint16_t m_failures = 0; ///< Runs that failed.
    std::uint16_t m_missedLooks = 0; ///< Syncs in a row that did not show the attempt.
    std::uint16_t m_tries = 0; ///< Calls of the present phase.
    std::uint32_t m_attempt = 0; ///< Number of the newest attempt.
    WorkerIndex m_worker = noWorker; ///< Worker of the present attempt.
    WorkerIndex m_lastWorker = noWorker; ///< Worker of the latest attempt that was lost or left.
    std::uint32_t m_lastAttempt = 0; ///< That attempt.
    std::uint64_t m_batch = 0; ///< Record batch that must be confirmed before the start.
    TimePoint m_placedAt; ///< When the present attempt was placed.
    TimePoint m_confirmedAt; ///< When the worker confirmed it, or took the stop.
    TimePoint m_nextCallAt; ///< When the call is repeated.
    TimePoint m_waitingSince; ///< Since when it has waited for a worker.
    int m_percent = -1; ///< Newest progress.
    int m_loadMetric = 0; ///< Newest tail or use; see RunningAttempt.
    int m_pace = 100; ///< Share of its speed that was ordered.
    TimePoint m_progressAt; ///< When the progress last changed.
    std::string m_checkpoint; ///< Newest checkpoint.
    std::string m_checkpointAtStart; ///< Checkpoint from which the present attempt resumes.
    std::string m_ticket; ///< Ticket of the present attempt.
    std::vector<WorkerIndex> m_failedOn; ///< Workers on which it failed.
};

/** What is known of the approvals of a step. */
struct ApprovalState {
    std::unordered_map<WorkerIndex, std::pair<std::string, TimePoint>> m_approved; ///< Ticket and the time up to which it can be used.
    std::unordered_set<WorkerIndex> m_denied; ///< Workers that may not run the step.
    bool m_isAskOut = false; ///< A call is unanswered.
    TimePoint m_nextAskAt; ///< No call before.
};

struct Job;

/** One step of one occurrence. */
struct StepRun {
    Job* m_job = nullptr; ///< Its job.
    std::uint32_t m_occurrence = 0; ///< Number of the occurrence.
    std::uint32_t m_step = 0; ///< Index of the step.
    bool m_isReleased = false; ///< All earlier steps are done.
    std::uint32_t m_doneCount = 0; ///< Tasks that are done.
    std::uint32_t m_openRuns = 0; ///< Tasks whose phase is not None.
    double m_logRunSum = 0; ///< Sum of the logarithms of the run times of tasks that are done, at mean speed.
    std::uint32_t m_logRunCount = 0; ///< Tasks behind m_logRunSum.
    std::uint32_t m_gangFailures = 0; ///< Failed runs of a gang.
    std::uint32_t m_lastFailedAttempt = 0; ///< The latest attempt of a gang that was counted as failed.
    TimePoint m_reservingSince; ///< Since when workers are kept for it; 0 for never.
    bool m_isWaiting = false; ///< Is in the list of steps that may have tasks to place.
    ApprovalState m_approval; ///< Approvals, when the queue asks for them.
    std::vector<Task> m_tasks; ///< One a task.
    std::unordered_map<WorkerIndex, std::uint32_t> m_onWorker; ///< Attempts by worker, for the limit for each worker.
};

/** Where a job stands, as callers see it. */
enum class JobStage : std::uint8_t {
    Pending, ///< No task has started.
    Active, ///< Some task has started.
    Complete, ///< All tasks are done.
    Failed, ///< A task has failed too often.
    Cancelled, ///< Ended by its caller.
};

/** @return Whether a job at this stage will not change again. */
constexpr bool isFinal(JobStage stage)
{
    return stage != JobStage::Pending && stage != JobStage::Active;
}

/** A job. */
struct Job {
    JobPlan m_plan; ///< What the caller asked for.
    JobStage m_stage = JobStage::Pending; ///< Where it stands.
    std::uint64_t m_stageBatch = 0; ///< Record batch that makes a final stage durable.
    bool m_isDirty = false; ///< Changes are not in a batch yet.
    std::string m_planRecord; ///< The plan as it is to be recorded; empty when it is, or will be elsewhere.
    std::uint64_t m_planBatch = 0; ///< Record batch that makes the plan durable; 0 when it is stored elsewhere.
    std::uint32_t m_nextOccurrence = 0; ///< First occurrence that is not due.
    std::uint32_t m_openTasks = 0; ///< Tasks that are not done, over all occurrences that are due.
    TimePoint m_acceptedAt; ///< Monotonic time of acceptance.
    TimePoint m_endedAt; ///< Monotonic time of the end.
    Duration m_chain; ///< Estimated longest chain.
    std::vector<std::unique_ptr<StepRun>> m_runs; ///< Steps of all occurrences that are due.
};

/** A task in its step. */
struct TaskRef {
    StepRun* m_run = nullptr; ///< The step.
    std::uint32_t m_index = 0; ///< Index of the task.

    bool operator==(const TaskRef&) const = default;
    Task& task() const { return m_run->m_tasks[m_index]; }
};

/** Whether the leader can count on a worker. */
enum class WorkerLink : std::uint8_t {
    New, ///< Has not answered under this term.
    Adopted, ///< Obeys this term; its lists are known.
    Silent, ///< Adopted, but its latest calls were not answered.
    Gone, ///< Its process has ended or its lease has run out.
};

/** An end that is not acknowledged yet. */
struct PendingEnd {
    std::uint64_t m_number = 0; ///< Its number at the worker.
    std::uint64_t m_batch = 0; ///< Record batch that makes it durable.
};

/** How a worker has treated tasks lately. */
struct WorkerHealth {
    double m_failures = 0; ///< Failed runs, decayed.
    double m_successes = 0; ///< Done runs, decayed.
    double m_logSlowness = 0; ///< Mean logarithm of run time over that of tasks of the same step elsewhere.
    std::uint32_t m_samples = 0; ///< Ends behind m_logSlowness.
    TimePoint m_heldOutUntil; ///< No placements before.
    std::string m_lastFailedJob; ///< Job of the latest failure; failures count across jobs.
    TimePoint m_decayedAt; ///< When the counts were last decayed.
};

/** A worker. */
struct Worker {
    WorkerAnnouncement m_notice; ///< As announced.
    bool m_isListed = false; ///< Is announced now.
    std::string m_rack; ///< Its rack label.
    WorkerLink m_link = WorkerLink::New; ///< Whether it can be counted on.
    Resources m_granted; ///< Sum of the attempts that may be on it.
    std::vector<TaskRef> m_tasks; ///< Attempts that may be on it.
    std::uint32_t m_strangers = 0; ///< Attempts on it that are not wanted, at the latest look.
    std::int64_t m_processStartMs = 0; ///< Start of its process.
    std::int64_t m_clockMs = 0; ///< Its clock at the latest answer; 0 when not known.
    TimePoint m_clockSeenAt; ///< Our clock when that answer came.
    std::int64_t m_leaseUntilMs = 0; ///< The latest lease deadline that may have reached it.
    TimePoint m_lapseAt = farFuture; ///< Bound of the leases of earlier terms, on our clock.
    bool m_isSyncOut = false; ///< A sync is unanswered.
    TimePoint m_nextSyncAt; ///< When the next one is due.
    TimePoint m_answeredAt; ///< When it last answered.
    std::uint32_t m_unanswered = 0; ///< Calls in a row without an answer.
    std::uint64_t m_seenEnds = 0; ///< Highest number of an end that was taken.
    std::uint64_t m_ackedEndNumber = 0; ///< Ends up to this number are recorded.
    std::deque<PendingEnd> m_pendingEnds; ///< Taken, not recorded.
    WorkerHealth m_health; ///< How it has treated tasks.
    TimePoint m_drainingSince; ///< When it was first seen draining.
};

/** A VM that can ask for approvals; each asks one at a time. */
struct Advisor {
    std::string m_member; ///< Name of the VM.
    TimePoint m_busyUntil; ///< When its calls so far will be answered.
};

/** A call for approvals. */
struct ApprovalAsk {
    std::string m_member; ///< The VM that asks.
    TaskName m_step; ///< Job, occurrence and step; the index is 0.
    std::vector<std::string> m_workers; ///< Ids of the workers named.
};

/** What the scheduler wants done. */
struct SchedulerEffects {
    std::vector<AddressedOrder<StartOrder>> m_starts; ///< Attempts to start.
    std::vector<AddressedOrder<StopOrder>> m_stops; ///< Attempts to stop.
    std::vector<AddressedOrder<PaceOrder>> m_paces; ///< Fillers to slow down or speed up.
    std::vector<AddressedOrder<SyncOrder>> m_syncs; ///< Syncs to send.
    std::vector<ApprovalAsk> m_asks; ///< Approvals to ask for.
    bool m_isFenced = false; ///< A worker obeys a later leader.
};

/** What the run times of a queue's tasks have shown; all are logarithms of milliseconds. */
struct RunTimeModel {
    double m_mean = 0; ///< Mean run time at mean speed.
    double m_variance = 0; ///< Variance of the run times.
    double m_bias = 0; ///< Mean of run time less estimate.
    double m_errorVariance = 0; ///< Variance of run time less estimate.
    std::uint32_t m_samples = 0; ///< Steps behind these.
};

/** Counters that metrics show. */
struct SchedulerCounters {
    std::uint64_t m_placements = 0; ///< Attempts placed.
    std::uint64_t m_starts = 0; ///< Start calls sent, repeats included.
    std::uint64_t m_syncs = 0; ///< Sync calls sent.
    std::uint64_t m_asks = 0; ///< Approval calls sent.
    std::uint64_t m_done = 0; ///< Attempts that ended done.
    std::uint64_t m_failed = 0; ///< Attempts that ended failed.
    std::uint64_t m_lost = 0; ///< Attempts lost with their worker.
    std::uint64_t m_refused = 0; ///< Starts that a worker refused.
};

/** The scheduler of one term. */
struct Scheduler {
    SchedulerOptions m_options; ///< Times and limits.
    Duration m_wallOffset; ///< Calendar time less monotonic time.
    std::unordered_map<std::string, QueueSettings> m_queues; ///< All queues ever seen in this term, in their newest form.
    std::unordered_map<std::string, std::unique_ptr<Job>> m_jobs; ///< All jobs.
    std::unordered_map<std::string, RunTimeModel> m_runTimes; ///< Learned run times by queue.
    std::unordered_set<std::string> m_cancelledEarly; ///< Cancelled before their submission was read.
    std::deque<Worker> m_workers; ///< All workers ever seen in this term.
    std::unordered_map<std::string, WorkerIndex> m_workerById; ///< Their indexes.
    std::vector<StepRun*> m_waiting; ///< Steps that may have tasks without an attempt.
    std::vector<TaskRef> m_calls; ///< Tasks in the phases Starting and Stopping.
    std::vector<TaskRef> m_recording; ///< Tasks in the phase Recording.
    std::vector<Job*> m_dirtyJobs; ///< Jobs with changes that are not in a batch.
    std::vector<Job*> m_scheduledJobs; ///< Jobs with occurrences to come.
    std::deque<std::pair<TimePoint, std::string>> m_endedJobs; ///< Ended jobs by the time of their end.
    std::vector<std::string> m_expiredJobs; ///< Jobs that were forgotten; their submissions are to be dropped from the topic of jobs.
    std::vector<std::string> m_droppedKeys; ///< Keys to drop with the next batch.
    std::uint64_t m_nextBatch = 1; ///< Number of the batch that collects changes now.
    std::uint64_t m_confirmedBatch = 0; ///< The newest batch that is durable.
    std::vector<Advisor> m_advisors; ///< VMs that can ask for approvals.
    std::unordered_map<std::string, std::uint32_t> m_pendingCounts; ///< Accepted jobs without a start, by queue.
    double m_usualAnswerMs = 20; ///< How long an answered start takes on the mean of late.
    TimePoint m_lossyUntil; ///< Orders get lost on the way to workers that are well.
    TimePoint m_nextWatchAt; ///< When progress is looked at again.
    TimePoint m_nextPacingAt; ///< When pacing is looked at again.
    bool m_isBeginning = true; ///< The records and workers that a term begins with are being taken; they are logged as counts.
    bool m_needsPlacing = false; ///< Something has changed for placement.
    TimePoint m_placedAt; ///< When placement last ran.
    SchedulerCounters m_counters; ///< For metrics.
};

} // namespace bulrushloft::scheduler
