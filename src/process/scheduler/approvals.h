/** @file approvals.h Approval tickets of steps, and requests for missing ones. */
#pragma once

#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::scheduler::detail {

/** @return Whether the step has a ticket for the worker that is valid at the given time. */
bool hasTicket(const StepRun& run, WorkerIndex worker, TimePoint time);

/**
 * Requests the approvals that a blocked step needs, if a VM is free to send the request.
 * @param fitting Workers of the pool that could hold a task of the step; first those that have room for one now and are not reserved.
 * @param withRoom Number of those first workers.
 * @return Whether an approval request was added to the effects.
 */
bool requestApprovals(Scheduler& scheduler, StepRun& run, const ApprovalPolicy& policy, const std::vector<WorkerIndex>& fitting, std::size_t withRoom, TimePoint now, SchedulerEffects& effects);

} // namespace bulrushloft::scheduler::detail
