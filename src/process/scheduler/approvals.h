/** @file approvals.h When and for which workers the approvals of a step are asked for. */
#pragma once

#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::scheduler::detail {

/** @return Whether a ticket of the step for a worker can be used now. */
bool hasTicket(const StepRun& run, WorkerIndex worker, TimePoint now);

/**
 * Asks for the approvals that a blocked step needs, if a VM is free to ask.
 * @param fitting Workers of the pool that could hold a task of the step, those with room now first.
 * @param withRoom How many of them have room now.
 * @return Whether a call was added to the effects.
 */
bool requestApprovals(Scheduler& scheduler, StepRun& run, const ApprovalPolicy& policy, const std::vector<WorkerIndex>& fitting, std::size_t withRoom, TimePoint now, SchedulerEffects& effects);

} // namespace bulrushloft::scheduler::detail
