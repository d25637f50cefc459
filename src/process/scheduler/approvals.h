/** @file approvals.h Approval tickets of steps, and requests for missing ones. */
#pragma once

#include "process/scheduler/pool_view.h"

namespace bulrushloft::scheduler::detail {

/** What a blocked step needs approvals for. */
struct ApprovalNeed {
    const ApprovalPolicy& m_policy; ///< The queue's policy.
    std::uint32_t m_tasks = 0; ///< Tasks without a worker.
    double m_speedWeight = 0; ///< See speedWeightOf().
};

/** @return Whether the step has a ticket for the worker that is valid at the given time. */
bool hasTicket(const StepRun& run, WorkerIndex worker, TimePoint time);

/** @return Whether the step has been waiting for a VM that sends its approval request for so long that it may use those that are kept for such steps. */
bool isStarvedOfApprovals(const StepRun& run, const ApprovalPolicy& policy, TimePoint now);

/** Drops a ticket that the worker has refused, so that a new one is requested. */
void forgetTicket(StepRun& run, WorkerIndex worker);

/** @return Whether a worker has the label of the step's tasks and could hold one of them if it were empty. */
bool isSuitable(const StepRun& run, const Worker& worker);

/** @return Whether a further request for the step may be sent now, and a VM is free to send it. */
bool canRequestApprovals(Scheduler& scheduler, const StepRun& run, const ApprovalPolicy& policy, TimePoint now);

/** Requests the approvals that a blocked step needs; canRequestApprovals() must hold. @param view Workers of the step's pool. */
void requestApprovals(Scheduler& scheduler, StepRun& run, const ApprovalNeed& need, PoolView& view, TimePoint now, SchedulerEffects& effects);

} // namespace bulrushloft::scheduler::detail
