/** @file service_load.h Collects the load from which the start of submissions is estimated. */
#pragma once

#include "process/cell/service_estimate.h"
#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::cell {

/**
 * Collects the load of all pools. Looks at a bounded number of waiting steps and projects them; without waiting steps nothing is looked at.
 * @param callSlowdown Time that approval requests take, divided by the expected one.
 * @param now Monotonic time.
 */
ServiceLoad collectLoad(const scheduler::Scheduler& scheduler, double callSlowdown, TimePoint now);

/** @return Time after which the load is collected again. It grows with the number of waiting steps, so that the share of time spent on it is bounded. */
Duration loadInterval(const scheduler::Scheduler& scheduler);

/** @return What a submission needs, with the predictions of the scheduler. @param plan Unchanged on return. */
SubmissionNeed needOf(const scheduler::Scheduler& scheduler, JobPlan& plan);

/** @return Whether a submission may be refused because of an estimate; long-running steps and later occurrences can wait for capacity that nobody can foresee. */
bool isEstimable(const JobPlan& plan, TimePoint wallNow);

/**
 * To be called before the scheduler learns of the answer. A request that waits behind another one of its VM counts from the end of that one.
 * @param former The average so far. @param sentAt When the request was sent.
 * @return Time that approval requests take divided by the expected time, averaged with this one.
 */
double averageSlowdown(const scheduler::Scheduler& scheduler, const scheduler::ApprovalRequest& request, double former, TimePoint sentAt, TimePoint now);

} // namespace bulrushloft::cell
