/** @file cell_gate.cpp The leader's decisions on submissions: what they are based on, and the log of refusals. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/cell/service_load.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    /** @return Whether this deployment lets the leader refuse submissions. */
    bool isGateEnabled(const CellNode& node)
    {
        return node.m_cluster && (node.m_options.m_rejectsHopeless || !node.m_cluster->m_customers.empty());
    }

    /** @return Whether the leader has read everything that may hold a submission, up to a short time ago; only then it can tell that a job is new. */
    bool areSubmissionsRead(const CellNode& node)
    {
        const scheduler::Scheduler& scheduler = *node.m_scheduler;
        const bool isComplete = !scheduler.m_areSubmissionsUnread && !scheduler.m_areCancellationsUnread && !scheduler.m_isProgressUnread && !node.m_jobsTail.m_isListing;
        return isComplete && node.m_lastBootTime - node.m_jobsTail.m_upToDateAt <= node.m_options.m_maxJobsStaleness;
    }

    bool isKnown(const CellNode& node, const std::string& job)
    {
        const scheduler::Scheduler& scheduler = *node.m_scheduler;
        if (scheduler.m_jobs.contains(job) || scheduler.m_unmatchedProgress.contains(job) || scheduler.m_storedEnds.contains(job))
            return true;
        return std::any_of(node.m_pendingSubmissions.begin(), node.m_pendingSubmissions.end(), [&](const PendingSubmission& pending) { return pending.m_plan.m_id == job; });
    }

    void logRefusal(CellNode& node, const JobPlan& plan, const GateDecision& decision)
    {
        std::uint32_t suppressed = 0;
        if (!takeLogLine(node.m_gate, node.m_now, suppressed))
            return;
        const bool isOverRate = decision.m_cause == GateCause::OverRate;
        logEvent(LogLevel::Info, "submission-refused", { { "job", plan.m_id }, { "customer", plan.m_customer }, { "queue", plan.m_queue }, { "cause", isOverRate ? "over-rate" : "hopeless" }, { "wait_ms", decision.m_wait.m_ms }, { "retry_after_ms", decision.m_retryAfter.m_ms }, { "not_logged", suppressed } });
    }

} // namespace

void stepGate(CellNode& node)
{
    if (!isActiveLeader(node) || !isGateEnabled(node))
        return;
    SubmissionGate& gate = node.m_gate;
    beginGateTerm(gate, node.m_term, node.m_now);
    applyCustomers(gate, node.m_cluster, node.m_now);
    if (node.m_now < gate.m_nextEstimateAt)
        return;
    gate.m_nextEstimateAt = node.m_now + loadInterval(*node.m_scheduler);
    gate.m_estimate = { .m_madeAt = node.m_now, .m_load = collectLoad(*node.m_scheduler, gate.m_callSlowdown, node.m_now) };
}

std::optional<PeerWriteAnswer> refuseAtGate(CellNode& node, JobPlan& plan)
{
    SubmissionGate& gate = node.m_gate;
    if (!isGateEnabled(node) || gate.m_term != node.m_term || !areSubmissionsRead(node) || isKnown(node, plan.m_id))
        return std::nullopt;
    GateRequest request { .m_job = plan.m_id, .m_customer = plan.m_customer, .m_need = {} };
    const std::string& pool = scheduler::detail::poolFor(*node.m_scheduler, plan);
    const bool isBehindOthers = gate.m_estimate && gate.m_estimate->m_load.m_pools.contains(pool); // The predictions take a walk over all steps, so they are made only then.
    if (isBehindOthers && isEstimable(plan, node.m_now + node.m_wallOffset))
        request.m_need = needOf(*node.m_scheduler, plan);
    const GateDecision decision = decide(gate, request, node.m_now);
    if (decision.m_cause == GateCause::Accepted)
        return std::nullopt;
    logRefusal(node, plan, decision);
    return PeerWriteAnswer { .m_outcome = decision.m_isCustomerOver ? WriteOutcome::OverLimit : WriteOutcome::Rejected, .m_retryAfter = decision.m_retryAfter };
}

void noteApprovalTime(CellNode& node, const scheduler::ApprovalRequest& request, TimePoint sentAt)
{
    node.m_gate.m_callSlowdown = averageSlowdown(*node.m_scheduler, request, node.m_gate.m_callSlowdown, sentAt, node.m_now);
}

bool isWritingDirectly(const CellNode& node, const std::string& job)
{
    return std::any_of(node.m_directWriters.begin(), node.m_directWriters.end(), [&](const DirectWriter& writer) {
        return std::any_of(writer.m_queue.begin(), writer.m_queue.end(), [&](const std::shared_ptr<PendingWrite>& write) {
            return std::any_of(write->m_records.begin(), write->m_records.end(), [&](const KeyedRecord& record) { return record.m_key == job; });
        });
    });
}

} // namespace bulrushloft::cell::detail
