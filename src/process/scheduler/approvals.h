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

/** Drops the approval of a worker that keeps refusing tickets, so that it is requested anew. */
void forgetTicket(StepRun& run, WorkerIndex worker);

/** Marks a ticket as lapsed, unless a newer one has arrived since. @param text The ticket that was refused. */
void expireTicket(StepRun& run, WorkerIndex worker, const std::string& text, TimePoint now);

/** @return Expected duration of a request that names this many workers. */
Duration approvalRequestDuration(const ApprovalPolicy& policy, std::size_t workers);

/** @return Whether requests of a queue are slow; slow ones are sent ahead of time, and several at once. */
bool isSlowPolicy(const ApprovalPolicy& policy);

/**
 * Requests new tickets for approved workers, if a VM is free to do so.
 * @return The workers that the request names, a part from the beginning of the given ones; none when nothing was sent.
 */
std::vector<WorkerIndex> requestRenewals(Scheduler& scheduler, StepRun& run, const ApprovalPolicy& policy, std::vector<WorkerIndex> workers, TimePoint now, SchedulerEffects& effects);

/** @return Whether a worker has the label of the step's tasks and could hold one of them if it were empty. */
bool isSuitable(const StepRun& run, const Worker& worker);

/** @return Whether a further request for the step may be sent now, and a VM is free to send it. */
bool canRequestApprovals(Scheduler& scheduler, const StepRun& run, const ApprovalPolicy& policy, TimePoint now);

/** Requests the approvals that a blocked step needs; canRequestApprovals() must hold. @param view Workers of the step's pool. */
void requestApprovals(Scheduler& scheduler, StepRun& run, const ApprovalNeed& need, PoolView& view, TimePoint now, SchedulerEffects& effects);

} // namespace bulrushloft::scheduler::detail
