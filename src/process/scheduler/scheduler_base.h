/** @file scheduler_base.h State of the leader's scheduler: jobs, tasks and workers. */
#pragma once

#include "connection/order_type.h"
#include "connection/peer_type.h"
#include "connection/store_type.h"
#include "process/scheduler/customer_usage.h"
#include "process/scheduler/known_queue.h"
#include "process/scheduler/urgency.h"
#include "process/scheduler/wait_type.h"
#include "request/plan_type.h"
#include "version/cluster_type.h"

#include <deque>
#include <limits>
#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bulrushloft::scheduler {

/** Index of a worker in Scheduler::m_workers. */
using WorkerIndex = std::int32_t;
constexpr WorkerIndex noWorker = -1;

constexpr std::uint64_t unknownBatch = std::numeric_limits<std::uint64_t>::max(); ///< No batch; later than all batches.

/** Timeouts and limits of the scheduler. */
struct SchedulerOptions {
    Duration m_lease { 5'000 }; ///< Duration of the leases granted to workers.
    Duration m_longestLease { 6'000 }; ///< Upper bound that workers enforce on the duration of a lease.
    Duration m_gangTimeout { 3'000 }; ///< How long a worker waits for the other members of a gang before it ends the attempt.
    Duration m_syncWait { 1'000 }; ///< How long a worker may hold a sync open until an attempt ends.
    Duration m_idleSyncInterval { 2'500 }; ///< Minimum interval between syncs of an idle worker.
    Duration m_endedJobRetention { 150'000 }; ///< How long the state of ended jobs is kept.
    double m_clockDrift = 0.02; ///< Fraction by which a worker's clock may run slow.
    double m_remoteFactor = 2; ///< Slowdown factor of tasks that run outside the rack of their data.
    double m_capOverrun = 0; ///< Fraction by which what a customer has placed may exceed its cap; a part of it is not running yet, or has ended.
    bool m_waitsForBetterPlace = false; ///< Whether tasks wait for a place near their data or their gang, or on a faster worker, as long as that pays.
    std::uint64_t m_token = 0; ///< Fencing token of this leader's term.
};

/** Phase of an attempt. */
enum class RunPhase : std::uint8_t {
    None, ///< The task has no attempt.
    Recording, ///< Placed on a worker; the store has not confirmed the record yet.
    Starting, ///< The worker has not confirmed the start yet.
    Running, ///< The worker has confirmed the start.
    Stopping, ///< The attempt is to be stopped and is not known to have ended.
};

/** Whether a task still has to complete. */
enum class TaskResolution : std::uint8_t {
    Open, ///< The task still has to complete.
    Done, ///< The task completed.
    Failed, ///< The task failed as often as its queue allows.
};

/** A task and its current attempt. */
struct Task {
    TaskResolution m_resolution = TaskResolution::Open;
    RunPhase m_phase = RunPhase::None; ///< Phase of the current attempt.
    bool m_isCallPending = false; ///< A start or stop call has not been answered yet.
    TimePoint m_startSentAt; ///< Time of the latest start call.
    std::int64_t m_startLeaseUntilMs = 0; ///< Latest lease deadline in a start call of the current attempt, on the worker's clock; 0 when none was sent.
    std::int64_t m_startProcessMs = 0; ///< Worker::m_processStartMs at the latest start call.
    bool m_isStartedAnew = false; ///< Start calls of the current attempt carry deadlines of more than one process of the worker.
    bool m_mayHaveArrived = false; ///< An unanswered start call may still be executed by the worker.
    TimePoint m_otherProcessUntil; ///< Until then the current attempt may have been started by a process of the worker that has made no report; zero when the process that reported has started it.
    bool m_isKnownDone = false; ///< An earlier attempt has ended as done; the task is resolved as soon as it has no attempt.
    bool m_hasStarted = false; ///< A worker has confirmed the start of at least one attempt.
    bool m_isStopAcknowledged = false; ///< The worker has accepted the stop.
    std::uint16_t m_failures = 0; ///< Number of failed attempts.
    std::uint16_t m_crashes = 0; ///< Number of workers that crashed while an attempt is known to have been running there, without a common cause of several crashes.
    std::uint16_t m_suspicions = 0; ///< Number of those crashes, since an attempt last passed its probation, that fell into the probation; see crash_record.h.
    std::uint16_t m_provenSuspicions = 0; ///< Number of those that are also counted in m_crashes, or proven by the record of an earlier term.
    bool m_isCrashCounted = false; ///< A crash of the worker has been counted for the current attempt, which isn't counted again.
    bool m_wasUndelivered = false; ///< The latest attempt was withdrawn as no start got an answer; until a start is confirmed.
    bool m_hasStartBroken = false; ///< A start call of the current attempt ended before its timeout, as its connection broke.
    bool m_isKnownToRun = false; ///< The worker has confirmed or listed the current attempt; only then a crash of the worker is known to be one under the task.
    bool m_isIsolated = false; ///< The current attempt began its probation when no other attempt on its worker was on probation, and none has been placed there since.
    bool m_hasPassedProbation = false; ///< The worker has listed the current attempt for longer than a task needs to crash it.
    std::uint16_t m_missedSyncs = 0; ///< Consecutive syncs that did not list the current attempt.
    std::uint16_t m_tries = 0; ///< Calls made in the current phase.
    std::uint32_t m_attempt = 0; ///< Number of the newest attempt; 0 before the first.
    WorkerIndex m_worker = noWorker; ///< Worker of the current attempt.
    PoolUsage* m_countedIn = nullptr; ///< The customer's usage of a pool that counts the current attempt; null for none.
    WorkerIndex m_lastWorker = noWorker; ///< Worker of the latest attempt that has ended, was refused or was lost.
    std::uint32_t m_lastAttempt = 0; ///< Number of that attempt.
    std::uint64_t m_batch = 0; ///< Record batch that must be durable before the start is sent.
    TimePoint m_placedAt; ///< Time at which the current attempt was placed.
    TimePoint m_confirmedAt; ///< Time at which the worker confirmed the start, or accepted the stop.
    TimePoint m_knownToRunAt; ///< Time of the latest answer that confirmed or listed the current attempt; zero for none in this term.
    TimePoint m_nextCallAt; ///< Earliest time of the next start or stop call.
    TimePoint m_stopRequestedAt; ///< When the current attempt was to be stopped; only in the phase Stopping.
    TimePoint m_waitingSince; ///< Time since which the task has been waiting for a worker.
    bool m_hasLeftPlace = false; ///< Since its latest attempt, it has left a free place to others to wait for a better one.
    TimePoint m_waitsForPlaceSince; ///< Since when a place that it has left has stayed unused; zero for none.
    int m_percent = -1; ///< Latest reported progress in percent; -1 when none was reported.
    int m_loadMetric = 0; ///< Latest tail latency or CPU usage; see RunningAttempt.
    int m_pace = 100; ///< Ordered speed in percent of full speed.
    TimePoint m_progressAt; ///< Time at which the latest change in progress was reported.
    std::int64_t m_progressClockMs = 0; ///< Worker's clock in the report that first showed the present progress; 0 when none has shown any.
    std::int64_t m_longestPercentMs = 0; ///< Longest time that the current attempt has taken for a percent of its work, on the worker's clock.
    std::uint16_t m_stalls = 0; ///< Number of attempts that were stopped in this term as they reported no progress.
    std::string m_checkpoint; ///< Newest checkpoint; empty for none.
    std::string m_checkpointAtStart; ///< Checkpoint from which the current attempt resumes; empty for none.
    std::string m_ticket; ///< Approval ticket that the latest start call carried; empty for none.
    bool m_isTicketRenewedAhead = false; ///< A new ticket has been requested while the record of the current attempt is awaited.
    TimePoint m_recordedAt; ///< Time at which the record of the current attempt became durable.
    TimePoint m_strayUntil; ///< Until then no attempt is placed, as a worker has listed an earlier one; zero once that has ended.
    std::vector<WorkerIndex> m_failedOn; ///< Workers on which an attempt of the task failed.
};

/** Permission to start tasks of a step on a worker. */
struct Ticket {
    std::string m_text; ///< Sent with the start of a task.
    TimePoint m_usableUntil; ///< Latest time at which a start that carries it is sent.
    bool m_isRenewalPending = false; ///< A request for a new ticket has not been answered yet.
};

/** What is known about the approval of a step on a worker. */
enum class ApprovalMark : std::uint8_t {
    Unknown, ///< Not asked for yet.
    Asked, ///< A request that names the worker has not been answered yet.
    Approved, ///< The step may run there with a ticket.
    Denied, ///< The step must not run there.
};

/** Known approvals of a step. */
struct ApprovalState {
    std::vector<ApprovalMark> m_marks; ///< By WorkerIndex; workers beyond its end are Unknown.
    std::unordered_map<WorkerIndex, Ticket> m_tickets; ///< Ticket of each approved worker.
    std::uint32_t m_pendingRequests = 0; ///< Requests that have not been answered yet.
    std::uint32_t m_askedWorkers = 0; ///< Number of workers whose mark is Asked.
    std::uint32_t m_generation = 0; ///< Counts how often the step's queue was sent to another pool; requests from before are not counted any more.
    TimePoint m_nextRequestAt; ///< Earliest time of the next request.
};

struct Job;

/** A step in one occurrence of its job. */
struct StepRun {
    Job* m_job = nullptr; ///< Job that the step belongs to.
    std::uint32_t m_occurrence = 0; ///< Number of the occurrence, from 0.
    std::uint32_t m_step = 0; ///< Index of the step in the job's plan.
    bool m_isReleased = false; ///< All predecessor steps are done, so tasks can be placed.
    std::uint32_t m_doneCount = 0; ///< Number of tasks that are done.
    std::uint32_t m_activeAttempts = 0; ///< Number of tasks whose phase is not None.
    double m_logRunTimeSum = 0; ///< Sum of the logarithms of the run times (ms) of completed tasks, scaled to a worker of mean speed.
    std::uint32_t m_logRunTimeCount = 0; ///< Number of samples in m_logRunTimeSum.
    std::uint32_t m_gangFailures = 0; ///< Number of failed attempts of the gang as a whole.
    std::uint32_t m_lastFailedAttempt = 0; ///< Number of the latest gang attempt that is included in m_gangFailures; each attempt is counted once.
    double m_gangFactor = 1; ///< Run time of the gang as last placed divided by the one in a single rack; 1 for other steps.
    Duration m_expectedRunTime; ///< Run time of a task on a worker of mean speed, as predicted when a task was last placed.
    TimePoint m_reservedReadyAt = farFuture; ///< When all workers that are reserved for the step are expected to have room; farFuture when they don't suffice.
    TimePoint m_reservingSince; ///< Time since which workers have been reserved for the step; 0 for never.
    bool m_isWaiting = false; ///< The step is in Scheduler::m_waitingSteps.
    bool m_isChanged = true; ///< Something about the step itself has changed since a pass examined it, such as its tasks or approvals.
    TimePoint m_approvalRequestedAt; ///< When the latest approval request was sent, or the first one was delayed; zero for never.
    bool m_mayUseKeptProxies = false; ///< It has waited so long to send a request that this pass lets it use the VMs kept for such steps.
    bool m_isApprovalRequestDelayed = false; ///< An approval request was due and no VM was free to send it.
    TimePoint m_strayUntil; ///< The latest Task::m_strayUntil of its tasks, or a later time.
    bool m_hasReservations = false; ///< Workers are reserved for the step.
    bool m_isPlaceClockRunning = false; ///< Task::m_waitsForPlaceSince of one of its tasks is set.
    bool m_waitsForPlace = false; ///< The latest pass that examined the step has left places to others that a task of the step could have taken, as better ones are expected to come free.
    bool m_hadSuspects = false; ///< A task of the step was on probation when its worker crashed.
    std::uint64_t m_heldAtRelease = 0; ///< CustomerUsage::m_releases when the customer's cap left no room for the step; 0 while it is not held back.
    TimePoint m_heldSince; ///< Time since which the cap has held the step back; zero while it does not.
    bool m_isCapReported = false; ///< It is logged that the step can't start under a reduced cap.
    UrgencyInput m_urgencyInput; ///< What the step's urgency was last computed from.
    TimePoint m_urgencyInputAt; ///< When m_urgencyInput was last updated; zero for never.
    ApprovalState m_approval; ///< Approvals; unused when the queue requires none.
    std::vector<Task> m_tasks; ///< Tasks of the step, by index.
    std::unordered_map<WorkerIndex, std::uint32_t> m_attemptsByWorker; ///< Number of current attempts on each worker; limited by StepPlan::m_perWorkerLimit.
};

/** Stage of a job as reported to callers. */
enum class JobStage : std::uint8_t {
    Pending, ///< No task has started.
    Active, ///< At least one task has started.
    Complete, ///< All tasks are done.
    Failed, ///< A task has reached the queue's limit of failures.
    Cancelled, ///< Cancelled by the caller.
};

static_assert(static_cast<std::uint8_t>(JobStage::Cancelled) + 1 == jobStageCount);

/** @return Whether a job at this stage has ended. */
constexpr bool isFinal(JobStage stage)
{
    return stage != JobStage::Pending && stage != JobStage::Active;
}

/** What is predicted of a job as a whole. */
struct JobForecast {
    TimePoint m_at; ///< When it was made; zero for never.
    Duration m_criticalPath; ///< Run time of the longest chain of steps.
    std::vector<Duration> m_remainingTimes; ///< By step of the plan: run time of the longest chain of steps that begins with it.
    double m_remainingWork = 0; ///< Core-seconds that the job still needs; a GPU counts as eight cores.
};

/** An accepted job and its steps. */
struct Job {
    JobPlan m_plan; ///< The job as its caller submitted it.
    const KnownQueue* m_queue = nullptr; ///< Its queue.
    JobStage m_stage = JobStage::Pending;
    std::uint32_t m_recordedFailureLimit = 0; ///< Limit of failures of its queue that an earlier leader recorded; 0 for none. Used when the configuration does not name the queue any more.
    std::uint64_t m_stageBatch = 0; ///< Record batch that makes a final stage durable.
    bool m_isDirty = false; ///< The job has changes that are not in a record batch yet.
    std::string m_planRecord; ///< Encoded plan that still has to be recorded; empty when it is recorded already or stored elsewhere.
    bool m_isHeld = false; ///< None of its steps is released, as an unread record may cancel the job; see Scheduler::m_areCancellationsUnread.
    bool m_isPlanInProgress = false; ///< The leader has recorded the plan itself; a plan that a VM stored is in the topic of jobs instead.
    bool m_isPlanShortened = false; ///< The recorded plan was replaced by a short one, as the job has ended.
    std::uint64_t m_planBatch = 0; ///< Record batch that makes the plan durable; 0 when the plan is stored elsewhere.
    std::uint32_t m_nextOccurrence = 0; ///< Number of the first occurrence that is not due yet.
    std::uint32_t m_openTasks = 0; ///< Tasks that are not done, over all occurrences that are due.
    TimePoint m_acceptedAt; ///< Monotonic time of acceptance.
    TimePoint m_endedAt; ///< Monotonic time of the end.
    Duration m_criticalPath; ///< Predicted run time of the critical path at acceptance.
    CustomerUsage* m_customer = nullptr; ///< Its customer; null for none.
    PoolUsage* m_poolUsage = nullptr; ///< What the customer has running in the pool in which the job's tasks are placed; null for none.
    JobForecast m_forecast; ///< What the urgency of its waiting steps was last computed from.
    std::vector<std::unique_ptr<StepRun>> m_runs; ///< Steps of all occurrences that are due, by occurrence and step.
};

/** Refers to a task by its step and index. */
struct TaskRef {
    StepRun* m_run = nullptr; ///< Step of the task; null for no task.
    std::uint32_t m_index = 0; ///< Index of the task in the step.

    bool operator==(const TaskRef&) const = default;
    Task& task() const { return m_run->m_tasks[m_index]; }
};

/** Connection state of a worker, as seen by the leader. */
enum class WorkerState : std::uint8_t {
    New, ///< The worker has not answered this leader yet.
    Adopted, ///< The worker has accepted this leader's token and reported its attempts.
    Silent, ///< The worker was adopted, but has not answered the latest calls.
    Gone, ///< The worker's lease has run out, or another worker answers at its address.
};

/** The end of an attempt that has not been acknowledged to its worker yet. */
struct PendingEnd {
    std::uint64_t m_number = 0; ///< Number of the end, assigned by the worker.
    std::uint64_t m_batch = 0; ///< Record batch that makes the end durable; unknownBatch while the job's submission is unread.
};

/** A start whose call ended without an answer, so that it may still be carried out. */
struct LateStart {
    TaskName m_task; ///< Name of the task.
    std::uint32_t m_attempt = 0; ///< Number of the attempt.
    TimePoint m_expiresAt; ///< From then on, the start is too old to be carried out.
    bool m_isStopDue = false; ///< The worker has restarted since, and its new process has not answered a stop.
    TimePoint m_nextStopAt; ///< When the stop is next sent, if it is due.
    bool m_isRefused = false; ///< The worker's present process has accepted a stop of the attempt or listed its end, and will not start it any more.
};

/** The end of an attempt of a job whose submission has not been read. It is not acknowledged until the job is known, or known not to exist. */
struct UnmatchedEnd {
    WorkerIndex m_worker = noWorker; ///< Worker that has reported it.
    EndedAttempt m_ended; ///< The end as reported.
};

/** Whether starts and stops get answers from a worker; syncs don't count. See order_health.h. */
struct OrderHealth {
    std::uint32_t m_failures = 0; ///< Consecutive orders without an answer.
    TimePoint m_failingSince; ///< When the first of them ended.
    TimePoint m_failedAt; ///< When the latest of them ended.
    TimePoint m_nextTryAt; ///< Earliest time of the next order while orders fail.
    TimePoint m_nextProbeAt; ///< From then on, a task may be placed on the worker although its orders fail.
    std::optional<TimePoint> m_answeredAt; ///< When one was last answered by the worker's present process; empty when none has been in this term.
    bool m_isReported = false; ///< It is logged that orders fail.
};

/** Recent failures and relative speed of a worker. */
struct WorkerHealth {
    TimePoint m_quarantinedUntil; ///< No tasks are placed on the worker before this time.
    double m_failures = 0; ///< Failed attempts, decayed exponentially.
    double m_successes = 0; ///< Completed attempts, decayed exponentially.
    double m_logSlowdown = 0; ///< Mean of log(run time on this worker / run time of the same step at mean speed); 0 is mean speed.
    std::uint32_t m_samples = 0; ///< Number of samples in m_logSlowdown.
    std::string m_lastFailedJob; ///< Job of the latest failure; repeated failures of one job count less.
    TimePoint m_decayedAt; ///< Time of the latest decay of the counts.
};

/** A reading of a worker's clock; the clock may have shown it some time before. */
struct ClockReading {
    std::int64_t m_ms = 0; ///< What the clock showed; 0 when unknown.
    TimePoint m_readAt; ///< Monotonic time at which the report arrived.
};

/** Time during which a worker has answered no call; the latest one. */
struct WorkerOutage {
    TimePoint m_answeredAt; ///< Time of the latest answer before it.
    TimePoint m_failedAt; ///< Time at which the first call failed; zero when none has since the latest report.
    TimePoint m_brokeAt; ///< Time at which the open sync ended before its timeout, as its connection broke; zero when it did not.
    bool m_isOver = false; ///< A call has been answered since, perhaps by the worker's next process.
};

/** A worker that was found to have crashed. */
struct WorkerCrash {
    TimePoint m_at; ///< When its connections broke; zero when the time of the crash is not known.
    TimePoint m_provenAt; ///< When the crash was proven.
    bool m_isUnexplained = false; ///< No attempt that was on probation there can have caused it.
    bool m_hadIsolatedSuspect = false; ///< A suspect ran there without other attempts on probation.
    std::vector<const Job*> m_jobs; ///< Jobs of the attempts that were on probation; only compared, as the jobs may be gone.
    TaskRef m_soleSuspect; ///< The only attempt that was on probation; only compared. Empty for none or several.
};

/** A worker as the leader knows it. */
struct Worker {
    WorkerAnnouncement m_announcement; ///< Latest announcement of the worker.
    WorkerState m_state = WorkerState::New; ///< Whether the leader can rely on the worker.
    bool m_isAnnounced = false; ///< The worker is currently announced.
    bool m_isActive = false; ///< It is in Scheduler::m_activeWorkers.
    bool m_wasAccepting = false; ///< Whether it accepted tasks at the latest placement pass.
    std::uint32_t m_unexpectedAttempts = 0; ///< Attempts in its latest report that the scheduler did not expect there.
    std::optional<TimePoint> m_unexpectedSince; ///< Since when each of its reports has listed an attempt that is not expected there and is to be stopped.
    std::vector<std::pair<TaskName, std::uint32_t>> m_unexpected; ///< Those of known jobs with a customer: task and attempt.
    std::vector<CountedAttempt> m_lingering; ///< Attempts without a current task that may run there and count for their customers.
    std::vector<TaskName> m_strays; ///< Tasks that are held for an attempt that its latest report lists.
    std::uint32_t m_suspects = 0; ///< Number of suspects among m_tasks; nothing else is placed beside them.
    std::uint32_t m_unansweredCalls = 0; ///< Consecutive calls without an answer.
    std::uint32_t m_viewPosition = 0; ///< Its position in the pool's view of the latest placement pass, if it accepted tasks then.
    Resources m_granted; ///< Sum of the resources of m_tasks.
    const StepRun* m_lastReservedFor = nullptr; ///< Step for which it was reserved before the latest full pass; only compared. Null for none.
    const StepRun* m_reservedFor = nullptr; ///< Blocked step for which the worker is reserved; only compared, as the step may be gone. Null for none.
    TimePoint m_heldForSuspectUntil; ///< Until then, the worker is kept for a suspect of the step in m_reservedFor.
    OrderHealth m_orders; ///< Whether starts and stops get answers.
    WorkerHealth m_health; ///< Recent failures and speed.
    std::string m_rack; ///< Rack label; empty when the worker has none.
    std::vector<TaskRef> m_tasks; ///< Tasks whose current attempt may be on the worker.
    std::int64_t m_processStartMs = 0; ///< Start of its process in Unix milliseconds; 0 when unknown.
    ClockReading m_clock; ///< From the latest report; a bound from below, so the end of leases is computed from it.
    ClockReading m_promptClock; ///< From the latest report that came in time, or a later one that tells more; lease deadlines are computed from it.
    std::int64_t m_leaseUntilMs = 0; ///< Latest lease deadline that may have reached the worker, on its clock.
    TimePoint m_earlierLeasesEndAt = farFuture; ///< Time by which all leases granted in earlier terms have run out.
    bool m_isSyncPending = false; ///< A sync has not been answered yet.
    TimePoint m_syncSentAt; ///< When the latest sync was sent.
    TimePoint m_movedAt; ///< When its announcement last named another address; zero for never.
    TimePoint m_removedAt; ///< When its announcement was last removed; zero for never.
    TimePoint m_syncTimeoutAt; ///< When the latest sync ends if it is not answered.
    TimePoint m_reportedSyncSentAt; ///< When the sync was sent whose report was used last.
    TimePoint m_nextSyncAt; ///< Earliest time of the next sync.
    TimePoint m_answeredAt; ///< Time of the latest answer.
    bool m_isCrashNoted = false; ///< Its crash is among the recent ones; until its next report.
    WorkerOutage m_outage; ///< Its latest time without answers, until its next report.
    std::uint64_t m_highestSeenEnd = 0; ///< Number of the latest end that has been processed; 0 for none.
    std::uint64_t m_ackedEndNumber = 0; ///< Ends up to this number are durable and can be acknowledged.
    bool m_hasOtherProcess = false; ///< Its process may have started again since its latest report; its clock and leases are unknown until the next one.
    bool m_isProcessConfirmed = false; ///< No call has failed since the latest sync answer, so the process that numbered the ends still runs.
    std::vector<LateStart> m_lateStarts; ///< Starts without an answer that may still be carried out.
    TimePoint m_restartNotedAt; ///< When a report last showed that its process had restarted; zero for never.
    std::deque<PendingEnd> m_pendingEnds; ///< Ends that have been processed and are not durable yet.
    TimePoint m_drainingSince; ///< Time at which the worker first announced that it is draining.
    std::uint32_t m_pendingNames = 0; ///< Unanswered approval requests that name the worker; their steps are going to use its room.
};

/** A VM that sends approval requests for the leader, one at a time. */
struct ApprovalProxy {
    std::string m_member; ///< Name of the VM.
    TimePoint m_busyUntil; ///< Expected time of the answer to its last queued request.
    TimePoint m_slowUntil {}; ///< Expected end of its last slow request, or of a turn that no slow request took.
    Duration m_slowLength {}; ///< Expected duration of its last slow request.
    TimePoint m_answeredAt {}; ///< When one of its requests was last answered.
    std::uint32_t m_failures = 0; ///< Its requests that have failed since, while those of other VMs were answered.
    bool m_isSlowWaiting = false; ///< A slow request waits for this VM, which it shares with quick ones.
};

/** A request to approve a step on a list of workers. */
struct ApprovalRequest {
    std::string m_member; ///< VM that sends the request.
    TaskName m_step; ///< Job, occurrence and step; the task index is 0.
    std::uint32_t m_generation = 0; ///< ApprovalState::m_generation when it was sent.
    std::vector<std::string> m_workers; ///< Ids of the workers for which approval is requested.
};

/** Calls that the scheduler asks its owner to make. */
struct SchedulerEffects {
    std::vector<AddressedOrder<StartOrder>> m_starts; ///< Attempts to start.
    std::vector<AddressedOrder<StopOrder>> m_stops; ///< Attempts to stop.
    std::vector<AddressedOrder<PaceOrder>> m_paces; ///< Best-effort tasks to slow down or speed up.
    std::vector<AddressedOrder<SyncOrder>> m_syncs; ///< Syncs to send.
    std::vector<ApprovalRequest> m_approvalRequests; ///< Approval requests to send.
    bool m_isFenced = false; ///< A worker has seen a higher fencing token, so this leader has been replaced.
};

/** Run time statistics of a queue's tasks, over logarithms of milliseconds. */
struct RunTimeModel {
    double m_mean = 0; ///< Mean run time at mean worker speed.
    double m_variance = 0; ///< Variance of the run times.
    double m_bias = 0; ///< Mean difference between run time and the caller's estimate.
    double m_errorVariance = 0; ///< Variance of that difference.
    std::uint32_t m_samples = 0; ///< Number of steps that have contributed.
};

/** How many of the workers named in approval requests were approved. */
struct ApprovalRate {
    double m_named = 0; ///< Workers named.
    double m_approved = 0; ///< Workers approved.
};

/** Learned speed of a worker. */
struct WorkerSpeed {
    double m_logSlowdown = 0; ///< See WorkerHealth::m_logSlowdown.
    std::uint32_t m_samples = 0; ///< Number of samples.
};

/** Counts of the waits of tasks for better places than the free ones. Waits that are neither ended nor given up go on, or ended with their job. */
struct PlaceWaitCounters {
    std::uint64_t m_begun = 0; ///< Tasks that have left a free place to others.
    std::uint64_t m_ended = 0; ///< Those that got a better place.
    std::uint64_t m_givenUp = 0; ///< Those that got no better place.
    std::uint64_t m_waitedMs = 0; ///< Time in ms for which such places have stayed unused, summed over the tasks.

    bool operator==(const PlaceWaitCounters&) const = default;
};

/** Counters exported as metrics. */
struct SchedulerCounters {
    std::uint64_t m_placements = 0; ///< Attempts placed.
    std::uint64_t m_starts = 0; ///< Start calls sent, including repeats.
    std::uint64_t m_syncs = 0; ///< Sync calls sent.
    std::uint64_t m_approvalRequests = 0; ///< Approval requests sent.
    std::uint64_t m_done = 0; ///< Attempts that completed.
    std::uint64_t m_failed = 0; ///< Attempts that failed.
    std::uint64_t m_lost = 0; ///< Attempts lost with their worker.
    std::uint64_t m_refused = 0; ///< Starts refused by a worker.
    PlaceWaitCounters m_placeWaits;
};

/** State of the scheduler for one term of the leader. */
struct Scheduler {
    SchedulerOptions m_options;
    Duration m_wallOffset; ///< Wall-clock time minus monotonic time.
    TimePoint m_earlierLeadersStoppedAt = farFuture; ///< By then the leaders of earlier terms have stopped renewing leases.
    std::unordered_map<std::string, KnownQueue> m_queues; ///< Queues that were configured during this term or that accepted jobs name, by name.
    bool m_areQueueRecordsDue = false; ///< The policy of a queue with jobs may differ from what is recorded; see updateQueueRecords().
    std::set<std::string> m_dueQueues; ///< Names of the queues whose records are written with the next batch.
    std::unordered_map<std::string, std::unique_ptr<Job>> m_jobs; ///< All jobs, by id.
    std::unordered_map<std::string, ApprovalRate> m_approvalRates; ///< Share of approved workers, by queue.
    std::unordered_map<std::string, RunTimeModel> m_runTimes; ///< Run time models, by queue.
    std::unordered_set<std::string> m_cancelledEarly; ///< Ids of jobs whose cancellation was read before their submission.
    std::unordered_map<std::string, std::uint64_t> m_storedEnds; ///< By job id, offset after the newest submission or cancellation that was read in the topic of jobs; also of unknown jobs.
    bool m_isJobsTopicBehind = false; ///< The topic of jobs has not been read to its end lately, so that a copy of a submission may be unread. No job expires meanwhile.
    bool m_areSubmissionsUnread = false; ///< Submissions and cancellations that VMs have stored themselves have not all been read. Unknown attempts and ends are kept.
    bool m_areCancellationsUnread = false; ///< Neither these cancellations nor their copies have all been read. Jobs without recorded tasks are held. Implies m_areSubmissionsUnread.
    bool m_isProgressUnread = false; ///< Records of earlier terms have not all been read, so that a job that counts as new may have run. All jobs are held, no worker is called, and attempts and ends of held jobs are kept. Implies m_areCancellationsUnread.
    std::unordered_map<std::string, CustomerUsage> m_customers; ///< Customers in the configuration or with accepted jobs, by name.
    std::map<std::string, PoolShares, std::less<>> m_pools; ///< Pools with shares of customers, by name.
    std::unordered_map<std::string, std::vector<CountedAttempt>> m_unreadAttempts; ///< Attempts of customers in m_unmatchedProgress, by job id.
    std::unordered_map<std::string, std::string> m_unmatchedProgress; ///< Progress records of jobs whose submission has not been read, by job id.
    std::vector<UnmatchedEnd> m_unmatchedEnds; ///< Ends of attempts of such jobs.
    std::unordered_map<std::string, WorkerSpeed> m_restoredSpeeds; ///< Speeds learned in earlier terms, by worker id, of workers that have not been announced in this term.
    TimePoint m_learnedRecordedAt; ///< When learned run times were last recorded.
    std::uint32_t m_learnedSamples = 0; ///< Number of samples in that record.
    std::deque<Worker> m_workers; ///< All workers seen during this term; WorkerIndex refers to this list.
    std::vector<WorkerIndex> m_activeWorkers; ///< The workers that steps look at, in ascending order; see active_workers.h.
    std::unordered_map<std::string, WorkerIndex> m_workerById; ///< Index of each worker, by id.
    std::vector<StepRun*> m_waitingSteps; ///< Steps that may have tasks without an attempt.
    std::vector<TaskRef> m_startingOrStopping; ///< Tasks in the phases Starting and Stopping.
    std::vector<TaskRef> m_recording; ///< Tasks in the phase Recording.
    std::deque<WorkerCrash> m_recentCrashes; ///< Crashes of workers that were proven lately, the earliest first; not recorded, so a new leader begins without any.
    std::vector<Job*> m_dirtyJobs; ///< Jobs with changes that are not in a record batch yet.
    std::vector<Job*> m_scheduledJobs; ///< Jobs with future occurrences.
    std::deque<std::pair<TimePoint, std::string>> m_endedJobs; ///< Ids of ended jobs, by time of their end.
    std::vector<std::string> m_expiredJobs; ///< Ids of jobs past their retention whose submissions still have to be deleted from the topic of jobs, the earliest first; see forgetJob().
    std::vector<std::string> m_droppedKeys; ///< Keys to delete from the store with the next batch.
    std::uint64_t m_nextBatch = 1; ///< Number of the record batch that is being collected.
    std::uint64_t m_confirmedBatch = 0; ///< Number of the newest durable batch.
    std::vector<ApprovalProxy> m_approvalProxies; ///< VMs that can send approval requests.
    std::unordered_map<std::string, std::uint32_t> m_pendingCounts; ///< Number of accepted jobs without a started task, by queue.
    double m_meanRecordMs = 20; ///< Moving average of the time from a placement until its record is durable.
    TimePoint m_nextTicketCheckAt; ///< Time of the next check for placed tasks whose ticket lapses.
    TimePoint m_leasesRenewedAt; ///< When a call that renews the lease of a worker was last sent; zero before the first.
    double m_meanAnswerMs = 20; ///< Moving average of the time in which workers answer start calls.
    TimePoint m_lossyUntil; ///< Until this time, orders are assumed to get lost on the way to healthy workers.
    TimePoint m_nextWatchAt; ///< Time of the next check for stalled tasks and incomplete gangs.
    TimePoint m_nextPacingAt; ///< Time of the next adjustment of the speed of best-effort tasks.
    bool m_isInitialLoad = true; ///< The records and workers present at the start of the term are being loaded; they are logged as totals only.
    bool m_needsPlacing = false; ///< Something has changed that may allow a placement.
    TimePoint m_placedAt; ///< Time of the latest placement pass.
    TimePoint m_fullPassAt; ///< Time of the latest full placement pass.
    std::vector<WorkerIndex> m_changedWorkers; ///< Workers on which room may have appeared since the latest placement pass.
    TimePoint m_nextCustomerReportAt; ///< Time of the next report on customers at their caps.
    TimePoint m_nextWaitReportAt; ///< Time of the next report on steps that wait long.
    WaitSummary m_waitSummary; ///< Result of the latest report.
    PlaceWaitCounters m_reportedPlaceWaits; ///< Counts of waits for better places at the latest report on them.
    TimePoint m_placeWaitsReportedAt; ///< When that was made.
    SchedulerCounters m_counters;
};

} // namespace bulrushloft::scheduler
