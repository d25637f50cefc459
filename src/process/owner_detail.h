/** @file owner_detail.h What the sources of the owner share among themselves. */
#pragma once

#include "process/owner_func.h"

namespace bulrushloft::detail {

// Journal.

/** Adds a record to the next append. */
void queueRecord(ShardOwner& owner, Record record);

/** Sends what is due to the log. */
void flushJournal(ShardOwner& owner, TimePoint now, Effects& effects);

/** @return Whether an append has been out so long that new work can't be accepted. */
bool isLogSlow(const ShardOwner& owner, TimePoint now);

/**
 * @return Whether work may be begun without a record on the log: not while the shard may have been claimed unheard,
 * which is when other daemons are silent, most of them are, and the stream was not read to its end just now.
 */
bool mayActUnrecorded(const ShardOwner& owner, TimePoint now);

/** @return Whether idempotent tasks may start before their placement is confirmed. */
bool mayStartUnjournaled(const ShardOwner& owner, TimePoint now);

// Tasks.

/** @return The worker's index, made on first use. */
std::size_t findOrAddWorker(ShardOwner& owner, const std::string& name);

/** Books an attempt on its worker. */
TaskRun& addRun(ShardOwner& owner, const TaskRun& run);

/** @return Whether a worker of an earlier term might still be running a task without a record. */
bool hasUnresolvedWorker(const ShardOwner& owner, TimePoint now);

/** @return Whether a worker is to get no new work because it leaves or is drained. */
bool isLeaving(const ShardOwner& owner, const Worker& worker);

/** Adds the end of an attempt to the next append. */
void queueOutcome(ShardOwner& owner, const TaskOutcome& outcome, TimePoint now);

/** Adds a cancellation to the next append. */
void queueCancel(ShardOwner& owner, JobNumber number, TimePoint now);

/** Takes an attempt off its worker; its outcome is still to be recorded. */
void endRun(ShardOwner& owner, TaskRun& run, TaskResult result, const TaskUsage& usage, TimePoint now);

/** Takes back an attempt whose placement was found void. */
void revertPlacement(ShardOwner& owner, TaskRun& run, TimePoint now);

/** Forgets an attempt. */
void eraseRun(ShardOwner& owner, const TaskRef& ref);

/** Puts a task that waits into the queue. */
void queueTask(ShardOwner& owner, const Job& job, std::uint32_t task, TimePoint now);

/** Puts all waiting tasks of a job into the queue. */
void queueJob(ShardOwner& owner, const Job& job, TimePoint now);

/** Takes a job out of the queue. */
void dequeueJob(ShardOwner& owner, JobNumber number);

/** Wants an attempt stopped. */
void requestStop(ShardOwner& owner, TaskRun& run, bool wantsCheckpoint);

/** Takes one task out of the queue. */
void dequeueTask(ShardOwner& owner, const TaskRef& ref);

/** @return Whether any attempt of a task is on a worker or on its way. */
bool isTaskPlaced(const ShardOwner& owner, const Job& job, std::uint32_t task);

/** Notes that a worker has confirmed the start of an attempt. */
void markStarted(ShardOwner& owner, TaskRun& run, const Job& job, TimePoint now);

/**
 * Takes the end of an attempt that was started while the log was down by an owner that is gone.
 * @return Whether the journal wants it; otherwise it is acknowledged and dropped.
 */
bool adoptUnknownEnd(ShardOwner& owner, std::size_t worker, const FinishedTask& finished, TimePoint now);

/** @return The name under which placements name this run of a worker. */
std::string nameWithBoot(const Worker& worker);

/** Has a worker's commands sent in this step. */
void requestSync(ShardOwner& owner, std::size_t index);

/** Calls updateGang() for the job of an attempt, if it is a gang. */
void updateGangOf(ShardOwner& owner, const TaskRef& ref, TimePoint now);

/** Releases, stops or queues the tasks of a gang after one of them changed. */
void updateGang(ShardOwner& owner, const Job& job, TimePoint now);

/** @return How many tasks of this size the listed workers hold when they are empty. */
std::int64_t countFittingTasks(const ShardOwner& owner, const Resources& size);

/** Places waiting tasks on workers. */
void schedule(ShardOwner& owner, TimePoint now);

/** Adopts, polls and commands workers. */
void stepWorkers(ShardOwner& owner, TimePoint now, Effects& effects);

/** Answers callers that wait for a job. */
void answerWaiters(ShardOwner& owner, JobNumber number, TimePoint now, Effects& effects);

/** Handles deadlines of waiting callers. */
void stepWaiters(ShardOwner& owner, TimePoint now, Effects& effects);

// Requests.

/** @return How calls reach a runner now. */
EndpointLink runnerLink(const ShardOwner& owner, const Runner& runner);

/** Has a runner adopted again before anything more is sent to it. */
void dropRunnerLink(Runner& runner, TimePoint now);

/** @return The runner's index, made on first use. */
std::size_t findOrAddRunner(ShardOwner& owner, const std::string& name);

/**
 * Acts on what became of a dispatch without its answer.
 * @param state What the runner said; nothing when the runner is gone and can't tell any more.
 */
void resolveDispatch(ShardOwner& owner, const std::string& id, std::optional<DispatchState> state, TimePoint now, Effects& effects);

/** Opens a dispatch for each intent of an earlier term, so that its runner is asked. */
void inheritIntents(ShardOwner& owner);

void stepRunners(ShardOwner& owner, TimePoint now, Effects& effects);
/** Dispatches queued requests to free slots. */
void dispatchRequests(ShardOwner& owner, TimePoint now, Effects& effects);
void stepRequests(ShardOwner& owner, TimePoint now, Effects& effects);
void onRunCall(ShardOwner& owner, const RunCall& call, CallerToken caller, TimePoint now, Effects& effects);
void onIntentConfirmed(ShardOwner& owner, const IntendRequestRecord& record, bool isRecorded, TimePoint now, Effects& effects);

/** Passes every caller that can still be served elsewhere on to the next owner. */
void redirectCallers(ShardOwner& owner, Effects& effects);

// Confirmed records of jobs.

void onAcceptConfirmed(ShardOwner& owner, const AcceptJobRecord& record, const Expected<void>& result, TimePoint now, Effects& effects);
void onPlaceConfirmed(ShardOwner& owner, const PlaceRecord& record, const Expected<void>& result, TimePoint now);
void onOutcomeConfirmed(ShardOwner& owner, const OutcomeRecord& record, TimePoint now, Effects& effects);
void onCancelConfirmed(ShardOwner& owner, const CancelJobRecord& record, TimePoint now, Effects& effects);

/** @return Where a job stands, for callers. */
JobView viewJob(const ShardOwner& owner, const Job& job, bool withTasks);

/** Answers a caller with an error. */
void answerError(Effects& effects, CallerToken caller, const Error& error, RunCertainty certainty, Duration retryAfter = {});

} // namespace bulrushloft::detail
