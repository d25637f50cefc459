/** @file approvals.h Approval tickets of steps, and requests for missing ones. */
#pragma once

#include "process/scheduler/pool_view.h"

namespace bulrushloft::scheduler::detail {

/** @return Whether the step has a ticket for the worker that is valid at the given time. */
bool hasTicket(const StepRun& run, WorkerIndex worker, TimePoint time);

/** @return Whether a worker has the label of the step's tasks and could hold one of them if it were empty. */
bool isSuitable(const StepRun& run, const Worker& worker);

/** @return Whether the step waits for no answer to a request, and a VM is free to send one. */
bool canRequestApprovals(Scheduler& scheduler, const StepRun& run, const ApprovalPolicy& policy, TimePoint now);

/**
 * Requests the approvals that a blocked step needs; canRequestApprovals() must hold.
 * @param view Workers of the step's pool. @param withRoom Positions in the view of the suitable workers that have room for a task of the step now.
 */
void requestApprovals(Scheduler& scheduler, StepRun& run, const ApprovalPolicy& policy, const PoolView& view, const std::vector<std::uint32_t>& withRoom, TimePoint now, SchedulerEffects& effects);

} // namespace bulrushloft::scheduler::detail
