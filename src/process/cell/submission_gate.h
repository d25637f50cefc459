/** @file submission_gate.h Whether a leader accepts a submission, judged by the rate of its customer and by what can still be started in time. */
#pragma once

#include "process/cell/customer_admission.h"
#include "process/cell/service_estimate.h"
#include "version/cluster_type.h"

#include <map>
#include <optional>

namespace bulrushloft::cell {

/** Why a submission is accepted or refused. */
enum class GateCause : std::uint8_t {
    Accepted, ///< It becomes part of the next append.
    OverRate, ///< Its customer is over its rate, and capacity is short.
    Hopeless, ///< It can't be started before its result is of no use any more.
};

constexpr std::size_t gateCauseCount = 3;
static_assert(static_cast<std::size_t>(GateCause::Hopeless) + 1 == gateCauseCount);

/** Decision on a submission. */
struct GateDecision {
    GateCause m_cause = GateCause::Accepted;
    bool m_isCustomerOver = false; ///< Its customer is over its rate.
    Duration m_retryAfter; ///< When a refused caller should return: whole seconds, at least one.
    Duration m_wait; ///< Estimated time until it starts.
};

/** Decisions of one customer, by cause. */
using GateCounts = std::array<std::uint64_t, gateCauseCount>;

/** State of the decisions of one term. A new leader begins with full buckets and without an estimate. */
struct SubmissionGate {
    std::uint64_t m_term = 0; ///< Fencing token of the term.
    TimePoint m_since; ///< When the term began to accept submissions.
    SharedCluster m_cluster; ///< Configuration from which the buckets were made.
    CustomerBuckets m_buckets; ///< Token bucket of each customer.
    std::optional<ServiceEstimate> m_estimate; ///< Latest estimate; empty before the first.
    TimePoint m_nextEstimateAt; ///< When the next one is due.
    double m_callSlowdown = 1; ///< Time that approval requests take, divided by the expected one; a moving average.
    std::uint32_t m_hopeless = 0; ///< Hopeless submissions refused; spreads their returns.
    std::map<std::string, GateCounts> m_counts; ///< Decisions by customer, kept when the term ends; empty name for no customer.
    std::int64_t m_logSecond = 0; ///< Second of the monotonic clock to which the next two counts refer.
    std::uint32_t m_loggedLines = 0; ///< Refusals logged in it.
    std::uint32_t m_suppressedLines = 0; ///< Refusals since that were not logged.
};

/** Begins a term unless it is the present one. */
void beginGateTerm(SubmissionGate& gate, std::uint64_t term, TimePoint now);

/** Applies a configuration unless it is the present one. @param cluster Not null. */
void applyCustomers(SubmissionGate& gate, const SharedCluster& cluster, TimePoint now);

/** What a decision is based on. */
struct GateRequest {
    std::string m_job; ///< Id of the job, which is not known yet.
    std::string m_customer; ///< Name of the customer; empty for none.
    std::optional<SubmissionNeed> m_need; ///< What it needs; empty if it is never refused because of an estimate.
};

/** Decides on a submission that certainly was not appended, takes a token for it and counts it. @param now Monotonic time. */
GateDecision decide(SubmissionGate& gate, const GateRequest& request, TimePoint now);

/** @return Whether a refusal may be logged now; bounds the lines. @param suppressed Receives the number of refusals that were not logged before this one. */
bool takeLogLine(SubmissionGate& gate, TimePoint now, std::uint32_t& suppressed);

/** Largest counts by customer, at most as many as given; the rest is summed under "others". */
std::vector<std::pair<std::string, GateCounts>> largestCounts(const SubmissionGate& gate, std::size_t limit);

} // namespace bulrushloft::cell
