/** @file placement_cost.h Cost of running a task on a worker; the worker with the lowest cost is chosen. */
#pragma once

#include "process/scheduler/scheduler_base.h"
#include "process/scheduler/urgency.h"

namespace bulrushloft::scheduler::detail {

/** @return Sum of the free fractions of each resource; GPUs count twice. */
double freeShareOf(const Resources& left, const Resources& capacity);

/** @return Weight of a worker's speed in its cost: jobs with little slack get fast workers, jobs with much slack leave them free. */
double speedWeightOf(const QueuePolicy& queue, Urgency urgency);

/** @return Cost of running a further task of the step on a worker that has room for it, without regard to earlier failures of the task. */
double costOf(const Scheduler& scheduler, const StepRun& run, WorkerIndex index, double speedWeight);

/** @return Additional cost of a worker on which an attempt of the task has failed before; 0 for others. */
double failedBeforeCost(const Task& task, WorkerIndex index);

} // namespace bulrushloft::scheduler::detail
