/** @file scheduler_detail.h Functions shared by the scheduler's source files. */
#pragma once

#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::scheduler::detail {

const StepPlan& planOf(const StepRun& run);
TaskName nameOf(const TaskRef& ref);

/** @return Resources that a task reserves on its worker; best-effort tasks reserve no CPU. */
Resources grantOf(const StepRun& run);

/** Gives a job that has just been accepted the progress and the ends of attempts that were read before its submission. */
void restoreUnmatched(Scheduler& scheduler, Job& job, TimePoint now);

/** Handles an end of an attempt that a worker has reported. */
void handleEnd(Scheduler& scheduler, WorkerIndex index, const EndedAttempt& ended, TimePoint now);

/** Handles the ends of a job's attempts that were reported before its submission was read, so that they are acknowledged once recorded. */
void handleUnmatchedEnds(Scheduler& scheduler, const std::string& job, TimePoint now);

/** Marks the ends that are durable as to be acknowledged with the next sync. */
void acknowledgeEnds(Scheduler& scheduler, TimePoint now);

/** Schedules the job's progress to be recorded with the next batch. */
void markDirty(Scheduler& scheduler, Job& job);

/** Adds a step to the list of steps that may have tasks to place. */
void markWaiting(Scheduler& scheduler, StepRun& run);

/** Opens the occurrences that are due and releases the steps whose predecessors are done. */
void releaseDueOccurrences(Scheduler& scheduler, Job& job, TimePoint now);

/** @return A step of a job that has been opened; null if there is none. */
StepRun* findRun(const Job& job, std::uint32_t occurrence, std::uint32_t step);

/** Releases the steps whose predecessors are done. */
void releaseReadySteps(Scheduler& scheduler, Job& job, TimePoint now);

/** Creates the steps of an occurrence, which follows the latest one, and releases those without predecessors. */
void openOccurrence(Scheduler& scheduler, Job& job, std::uint32_t occurrence, TimePoint now);

/** Moves a job to a final stage and stops its attempts. */
void endJob(Scheduler& scheduler, Job& job, JobStage stage, TimePoint now);

/** Marks a task, or all tasks of its gang, as done. */
void finishTask(Scheduler& scheduler, const TaskRef& ref, TimePoint now);

/** Counts a failed attempt; fails the job when the queue's limit is reached. */
void failTask(Scheduler& scheduler, const TaskRef& ref, TimePoint now);

/** Creates an attempt of a task on a worker. */
void placeTask(Scheduler& scheduler, const TaskRef& ref, WorkerIndex index, TimePoint now);

/** Removes the current attempt and frees its resources; callers must know that the attempt does not run any more. */
void detachTask(Scheduler& scheduler, const TaskRef& ref, TimePoint now);

/** Ends the current attempt: drops it when its start was never sent, else has the worker stop it. */
void stopTask(Scheduler& scheduler, const TaskRef& ref, TimePoint now);

/** Ends the current attempt of a task, or those of its whole gang, as with stopTask(). */
void stopTaskAndGang(Scheduler& scheduler, const TaskRef& ref, TimePoint now);

/** Stops the other members of a gang when one member has ended or is lost, because they only run together. */
void stopOtherMembers(Scheduler& scheduler, const TaskRef& ref, TimePoint now);

/**
 * Marks all attempts on a worker as lost, because its lease has run out or another worker answers at its address.
 * @param cause Reason for the log.
 */
void markTasksLost(Scheduler& scheduler, WorkerIndex index, std::string_view cause, TimePoint now);

/** Marks an attempt as lost, and stops the other members of its gang. @param cause Reason for the log. */
void markTaskLost(Scheduler& scheduler, const TaskRef& ref, std::string_view cause, TimePoint now);

/** @return The lease deadline to send, in milliseconds on the worker's clock; 0 when its clock is unknown. */
std::int64_t leaseDeadline(const Scheduler& scheduler, const Worker& worker, TimePoint now);

/** @return Monotonic time of the leader by which all leases have run out that the worker's reporting process holds. */
TimePoint leaseEndBound(const Scheduler& scheduler, const Worker& worker);

OrderTarget targetOf(const Scheduler& scheduler, const Worker& worker);

/**
 * Updates the moving average of answer times.
 * @param answerTime Time from a start call to its answer.
 */
void updateMeanAnswerTime(Scheduler& scheduler, Duration answerTime);

/**
 * Chooses the timeout of a call while orders get lost: a multiple of the mean answer time.
 * Load: some orders get no answer, and a step of many tasks then waits for the one task whose start has to be repeated.
 * @param minTimeout, maxTimeout Bounds of the result.
 * @return How long to wait for an answer before the call is repeated.
 */
Duration lossyTimeout(const Scheduler& scheduler, Duration minTimeout, Duration maxTimeout);

/** Notes a reading of a worker's clock. @param isOld It comes from a late report, and an earlier reading may tell more. */
void updateClock(const Scheduler& scheduler, Worker& worker, const ClockReading& reading, bool isOld);

/** Counts an answered or unanswered call to a worker. */
void countAnswer(Scheduler& scheduler, WorkerIndex index, bool hasAnswered, TimePoint now);

/** Issues the starts, stops and syncs that are due, expires leases and stops tasks on draining workers. */
void stepCalls(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects);

/** @return Number of open tasks of a step without an attempt. */
std::uint32_t countUnplaced(const StepRun& run);

/** Places the tasks of waiting steps. */
void placeWaiting(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects);

/** Stops stalled tasks so that they run elsewhere, and gangs whose members do not all start in time. */
void stepWatch(Scheduler& scheduler, TimePoint now);

/** Slows down best-effort tasks that share a worker with serving tasks near or above their latency target, and speeds them up again. */
void stepPacing(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects);

/**
 * Tells whether the process that made the worker's latest report has answered an order. A worker that starts again under
 * its id counts its clock anew, and the answer to a start names no process.
 * @param clockMs The worker's clock in the answer; 0 when not reported.
 * @return False also when the clock doesn't tell.
 */
bool isReportingProcess(const Scheduler& scheduler, const Worker& worker, std::int64_t clockMs, TimePoint now);

/** Has the worker report at once, also beside a sync that is open, as its process may have started again. */
void requestReport(Worker& worker, TimePoint now);

/** Updates the worker's health and speed with the outcome of an attempt. */
void countOutcome(Scheduler& scheduler, const TaskRef& ref, bool isDone, TimePoint now);

/** @return Whether new tasks may be placed on a worker. */
bool acceptsTasks(const Worker& worker, TimePoint now);

/** @return Slowdown factor of a worker relative to the mean; 1 is mean speed. */
double slowdownOf(const Worker& worker);

/**
 * Updates the speed of a worker and the run time model of a queue with a task that completed in its first attempt.
 * @param logRunTime Logarithm of the run time in milliseconds.
 */
void learnRunTime(Scheduler& scheduler, StepRun& run, WorkerHealth& health, double logRunTime);

/** @return Predicted run time of a task of the step: the caller's estimate combined with the queue's run time model. */
Duration predictRunTime(const Scheduler& scheduler, const Job& job, std::uint32_t step);

/** @return For each step of the job's plan, the predicted run time of the longest chain of steps that begins with it. */
std::vector<Duration> predictCriticalPaths(const Scheduler& scheduler, const Job& job);

/** @return Predicted run time of the job's critical path. */
Duration predictCriticalPath(const Scheduler& scheduler, const Job& job);

/** Finds a task by its name. @return An empty reference when the task is unknown. */
TaskRef findTask(Scheduler& scheduler, const TaskName& name);

} // namespace bulrushloft::scheduler::detail
