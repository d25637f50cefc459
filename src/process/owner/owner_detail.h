/** @file owner_detail.h Functions shared by the sources of the shard owner. */
#pragma once

#include "process/owner/owner_func.h"

namespace bulrushloft::detail {

// Journal.

/** Adds a record to the next append. */
void queueRecord(ShardOwner& owner, Record record);

/** Sends the appends and reads that are due. */
void flushJournal(ShardOwner& owner, TimePoint now, Effects& effects);

/** @return Whether an append has been unanswered for so long that new work is refused. */
bool isLogSlow(const ShardOwner& owner, TimePoint now);

/**
 * @return Whether work may start without a record in the journal. It may not while another daemon may have claimed the shard
 * without this owner's knowledge. That is possible after requireFreshRead() until the journal has been read, and also while a
 * peer is silent, there is no majority, and no recent read has reached the end of the stream.
 */
bool mayStartWorkUnjournaled(const ShardOwner& owner, TimePoint now);

/** @return Whether idempotent tasks may start before the log has confirmed their placement, as it has not answered for long. */
bool mayStartTasksUnjournaled(const ShardOwner& owner, TimePoint now);

// Tasks.

/** @return Index of the worker; it is added if it is not known yet. */
std::size_t findOrAddWorker(ShardOwner& owner, const std::string& name);

/** Adds an attempt and reserves its resources on its worker. */
TaskRun& addRun(ShardOwner& owner, const TaskRun& run);

/** @return Whether a worker that is not adopted yet may still run a task of an earlier term without a record. */
bool hasUnresolvedWorker(const ShardOwner& owner, TimePoint now);

/** @return Whether a worker gets no new tasks because it is shutting down or drained. */
bool isLeaving(const ShardOwner& owner, const Worker& worker);

/** Adds the outcome of an attempt to the next append. */
void queueOutcome(ShardOwner& owner, const TaskOutcome& outcome, TimePoint now);

/** Adds a cancellation to the next append. */
void queueCancel(ShardOwner& owner, JobNumber number, TimePoint now);

/** Releases an attempt's resources on its worker and queues its outcome to be recorded; an orphan is erased at once. */
void endRun(ShardOwner& owner, TaskRun& run, TaskResult result, const TaskUsage& usage, TimePoint now);

/** Reverts an attempt whose placement the journal rejected: it is stopped if it may be on the worker, else its task waits again. */
void revertPlacement(ShardOwner& owner, TaskRun& run, TimePoint now);

/** Erases an ended attempt and queues its acknowledgement to the worker. */
void eraseRun(ShardOwner& owner, const TaskRef& ref);

/** Adds a waiting task to the queue. */
void queueTask(ShardOwner& owner, const Job& job, std::uint32_t task, TimePoint now);

/** Adds all waiting tasks of a job to the queue. */
void queueJob(ShardOwner& owner, const Job& job, TimePoint now);

/** Removes a job from the queue. */
void dequeueJob(ShardOwner& owner, JobNumber number);

/** Queues a stop of an attempt for the next commands to its worker. @param wantsCheckpoint Whether the worker first saves the task's state. */
void requestStop(ShardOwner& owner, TaskRun& run, bool wantsCheckpoint);

/** Removes a task from the queue. */
void dequeueTask(ShardOwner& owner, const TaskRef& ref);

/** @return Whether the task's next attempt has been placed already. */
bool isTaskPlaced(const ShardOwner& owner, const Job& job, std::uint32_t task);

/** Called when a worker has confirmed the start of an attempt: sets its times and measures its wait. */
void markStarted(ShardOwner& owner, TaskRun& run, const Job& job, TimePoint now);

/**
 * Handles the end of an attempt that this owner does not know, such as one that a former owner started while the log did not answer.
 * @return Whether the attempt was added to the owner's attempts, to be acknowledged to the worker once its outcome is recorded;
 * if not, the caller acknowledges the end at once.
 */
bool adoptUnknownEnd(ShardOwner& owner, std::size_t worker, const FinishedTask& finished, TimePoint now);

/** @return "name/boot id" of the worker, the form in which placements are recorded. */
std::string nameWithBoot(const Worker& worker);

/** Has the worker's commands sent when stepWorkers() runs next, without waiting for the scan of all workers. */
void requestSync(ShardOwner& owner, std::size_t index);

/** Calls updateGang() if the attempt belongs to a gang. */
void updateGangOf(ShardOwner& owner, const TaskRef& ref, TimePoint now);

/** Releases, stops or queues the tasks of a gang after the state of one of them has changed. */
void updateGang(ShardOwner& owner, const Job& job, TimePoint now);

/** @return Number of tasks of this size that fit on the listed workers if nothing else runs on them. */
std::int64_t countFittingTasks(const ShardOwner& owner, const Resources& size);

/** Runs a scheduling pass if one is due: places waiting tasks on workers. */
void schedule(ShardOwner& owner, TimePoint now);

/** Sends adoptions, polls and commands that are due to workers. */
void stepWorkers(ShardOwner& owner, TimePoint now, Effects& effects);

/** Answers the callers that wait for a job if their condition holds or their deadline has passed. */
void answerWaiters(ShardOwner& owner, JobNumber number, TimePoint now, Effects& effects);

/** Answers all callers that wait for a job or a submission and whose condition holds or whose deadline has passed. */
void stepWaiters(ShardOwner& owner, TimePoint now, Effects& effects);

// Requests.

/** @return Address and token for calls to a runner. */
EndpointLink runnerLink(const ShardOwner& owner, const Runner& runner);

/** Marks a runner's link as down; it must be adopted again before anything else is sent to it. */
void dropRunnerLink(Runner& runner, TimePoint now);

/** @return Index of the runner; it is added if it is not known yet. */
std::size_t findOrAddRunner(ShardOwner& owner, const std::string& name);

/**
 * Handles the outcome of a dispatch whose answer was lost.
 * @param state State that the runner reported; empty when the runner is gone or has restarted, so that the outcome is unknown.
 */
void resolveDispatch(ShardOwner& owner, const std::string& id, std::optional<DispatchState> state, TimePoint now, Effects& effects);

/** Opens a dispatch for each recorded intent of an earlier term, so that its runner is queried for the outcome. */
void inheritIntents(ShardOwner& owner);

/** Sends adoptions and probes that are due to runners. */
void stepRunners(ShardOwner& owner, TimePoint now, Effects& effects);

/** Dispatches queued requests to runners with free slots. */
void dispatchRequests(ShardOwner& owner, TimePoint now, Effects& effects);

/** Handles the deadlines of requests, blocked requests and the expiry of kept answers. */
void stepRequests(ShardOwner& owner, TimePoint now, Effects& effects);

void onRunCall(ShardOwner& owner, const RunCall& call, CallerToken caller, TimePoint now, Effects& effects);
void onIntentConfirmed(ShardOwner& owner, const IntendRequestRecord& record, bool isRecorded, TimePoint now, Effects& effects);

/** Redirects to the next owner every caller that does not wait for a dispatch in progress. */
void redirectCallers(ShardOwner& owner, Effects& effects);

// Confirmed records of jobs.

void onAcceptConfirmed(ShardOwner& owner, const AcceptJobRecord& record, const Expected<void>& result, TimePoint now, Effects& effects);
void onPlaceConfirmed(ShardOwner& owner, const PlaceRecord& record, const Expected<void>& result, TimePoint now);
void onOutcomeConfirmed(ShardOwner& owner, const OutcomeRecord& record, TimePoint now, Effects& effects);
void onCancelConfirmed(ShardOwner& owner, const CancelJobRecord& record, TimePoint now, Effects& effects);

/** @return State of a job as reported to callers. @param withTasks Whether to include its tasks, up to a limit. */
JobView viewJob(const ShardOwner& owner, const Job& job, bool withTasks);

/**
 * Answers a caller with an error.
 * @param outcome What is known about whether the work ran.
 * @param retryAfter Delay after which the caller is advised to retry; zero for no advice.
 */
void answerError(Effects& effects, CallerToken caller, const Error& error, RunOutcome outcome, Duration retryAfter = {});

} // namespace bulrushloft::detail
