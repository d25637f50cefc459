/**
 * @file stray_attempt.h Attempts that a worker still lists although they counted as ended or lost. Each report has them stopped; until they have
 * ended, their tasks are not placed anywhere else.
 */
#pragma once

#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::scheduler::detail {

/** Releases the tasks whose stray attempts the worker's previous report has listed; called before its next report is read, and when its lease has run out. */
void forgetStrays(Scheduler& scheduler, Worker& worker);

/**
 * Holds a task that still has to complete and has no started attempt, as an earlier attempt runs on a worker. An attempt that is not started yet is withdrawn.
 * The hold ends with the worker's next report, or when its lease has run out.
 */
void noteStray(Scheduler& scheduler, WorkerIndex index, const TaskRef& ref, TimePoint now);

/** @return Whether a task is held. */
bool isHeldForStray(const Task& task, TimePoint now);

/** @return Number of open tasks of a step that have no attempt and are not held; none of a gang while one of its tasks is held. */
std::uint32_t countPlaceable(const StepRun& run, TimePoint now);

} // namespace bulrushloft::scheduler::detail
