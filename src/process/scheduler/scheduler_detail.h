/** @file scheduler_detail.h What the sources of the scheduler share. */
#pragma once

#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::scheduler::detail {

/** @return The queue of a job; one with defaults when the operator never named it. */
const QueueSettings& queueOf(const Scheduler& scheduler, const Job& job);

const StepPlan& planOf(const StepRun& run);
TaskName nameOf(const TaskRef& ref);

/** @return What a task takes of a worker; fillers reserve no processors. */
Resources grantOf(const StepRun& run);

/** Has the job's progress written with the next batch. */
void markDirty(Scheduler& scheduler, Job& job);

/** Adds a step to those that may have tasks to place. */
void markWaiting(Scheduler& scheduler, StepRun& run);

/** Opens the occurrences that are due and releases the steps whose predecessors are done. */
void releaseDueOccurrences(Scheduler& scheduler, Job& job, TimePoint now);

/** Releases the steps whose predecessors are done. */
void releaseReadySteps(Scheduler& scheduler, Job& job, TimePoint now);

/** Creates the steps of an occurrence. */
void openOccurrence(Scheduler& scheduler, Job& job, std::uint32_t occurrence, TimePoint now);

/** Moves a job to a final stage and stops what it runs. */
void endJob(Scheduler& scheduler, Job& job, JobStage stage, TimePoint now);

/** A task has ended done. */
void finishTask(Scheduler& scheduler, const TaskRef& ref, TimePoint now);

/** A task has ended failed; the job fails at the queue's limit. */
void failTask(Scheduler& scheduler, const TaskRef& ref, TimePoint now);

/** Gives a task an attempt on a worker. */
void placeTask(Scheduler& scheduler, const TaskRef& ref, WorkerIndex index, std::string ticket, TimePoint now);

/** The present attempt is known to be nowhere; its room is free. */
void detachTask(Scheduler& scheduler, const TaskRef& ref, TimePoint now);

/** Ends an attempt: drops it when it was not sent, else has it stopped. */
void stopTask(Scheduler& scheduler, const TaskRef& ref, TimePoint now);

/** The process of a worker has ended or its lease has run out: all its attempts are lost. */
void markTasksLost(Scheduler& scheduler, WorkerIndex index, std::string_view cause, TimePoint now);

/** @return The lease deadline to send, on the worker's clock; 0 when its clock is not known. */
std::int64_t leaseDeadline(const Scheduler& scheduler, const Worker& worker, TimePoint now);

OrderTarget targetOf(const Scheduler& scheduler, const Worker& worker);

/** Learns how long answered starts take. @param took From the start to its answer. */
void updateMeanAnswerTime(Scheduler& scheduler, Duration answerTime);

/**
 * Load: a share of the orders gets no answer; a step of many tasks waits for the one that is repeated.
 * @param least, most Bounds. @return How long an answer is waited for while orders get lost: a few times as long as answers take.
 */
Duration lossyTimeout(const Scheduler& scheduler, Duration minTimeout, Duration maxTimeout);

/** Counts an answer or its absence. */
void countAnswer(Scheduler& scheduler, WorkerIndex index, bool hasAnswered, TimePoint now);

/** Calls that are due: starts, stops, syncs; leases that have run out. */
void stepCalls(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects);

/** Places what waits. */
void placeWaiting(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects);

/** Tasks that make no progress are stopped and run elsewhere; gangs that do not come together in time are stopped. */
void stepWatch(Scheduler& scheduler, TimePoint now);

/** Slows fillers down beside serving tasks that are over their target, and speeds them up again. */
void stepPacing(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects);

/** Counts the end of a run for the worker's health and speed. */
void countOutcome(Scheduler& scheduler, const TaskRef& ref, bool isDone, TimePoint now);

/** @return Whether new tasks may be placed on a worker. */
bool acceptsTasks(const Worker& worker, TimePoint now);

/** @return How many times slower than the mean a worker is. */
double slowdownOf(const Worker& worker);

/** Learns from a task that ran from its beginning to its end; the run time is a logarithm of milliseconds. */
void learnRunTime(Scheduler& scheduler, StepRun& run, WorkerHealth& health, double logRunTime);

/** @return The run time of a task of a step as far as is known: its caller's estimate weighed against what its queue has shown. */
Duration predictRunTime(const Scheduler& scheduler, const Job& job, std::uint32_t step);

/** @return Expected run time of a step and of the longest chain that depends on it. */
Duration predictCriticalPathFrom(const Scheduler& scheduler, const Job& job, std::uint32_t step);

/** @return Expected run time of the longest chain of the job. */
Duration predictCriticalPath(const Scheduler& scheduler, const Job& job);

/** Finds a task by its name, or an empty reference. */
TaskRef findTask(Scheduler& scheduler, const TaskName& name);

} // namespace bulrushloft::scheduler::detail
