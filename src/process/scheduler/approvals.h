/** @file approvals.h When to request approvals for a step, and for which workers. */
#pragma once

#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::scheduler::detail {

/** @return Whether the step has a ticket for the worker that is valid now. */
bool hasTicket(const StepRun& run, WorkerIndex worker, TimePoint time);

/**
 * Requests the approvals that a blocked step needs, if a VM is free to send the request.
 * @param fitting Workers of the pool that could hold a task of the step, those with free resources first.
 * @param withRoom Number of workers in fitting that have free resources.
 * @return Whether a request was added to the effects.
 */
bool requestApprovals(Scheduler& scheduler, StepRun& run, const ApprovalPolicy& policy, const std::vector<WorkerIndex>& fitting, std::size_t withRoom, TimePoint now, SchedulerEffects& effects);

} // namespace bulrushloft::scheduler::detail
