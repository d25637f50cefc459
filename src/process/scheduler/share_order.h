/** @file share_order.h Shares of customers in the scheduler's pools, and the order of its ranked steps by them. */
#pragma once

#include "process/scheduler/pool_view.h"

namespace bulrushloft::scheduler::detail {

/** A waiting step and its sort key. */
struct RankedStep {
    Urgency m_urgency;
    StepRun* m_run = nullptr;
};

/** Computes the shares and averages of all customers anew; done in each full pass. */
void updateShares(Scheduler& scheduler, const PoolViews& views, TimePoint now);

/** Notes that a step of a pool was left waiting for room or for a VM that sends its approval request. */
void noteShortage(Scheduler& scheduler, const std::string& pool, TimePoint now);

/**
 * Puts steps whose customers are below their shares before the others of the same urgency class and queue priority, in pools with a shortage.
 * @param ranked Steps in the order of urgency.
 */
void orderRanked(const Scheduler& scheduler, std::vector<RankedStep>& ranked, TimePoint now);

/** Counts an approval request of a step. @param duration Its expected duration. */
void countApprovalRequest(const StepRun& run, Duration duration);

} // namespace bulrushloft::scheduler::detail
