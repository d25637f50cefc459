/** @file gated_load.h A simulated scheduler whose submissions pass the leader's gate, or not, so that the same load can be replayed with and without it. */
#pragma once

#include "approval_load.h"
#include "process/cell/service_load.h"
#include "process/cell/submission_gate.h"

#include <memory>
#include <set>

namespace bulrushloft::test {

inline constexpr double plainSlackFactor = 1.5;
inline constexpr Duration plainTarget { 1'000 };

/** What became of the jobs of a replay. */
struct GatedResult {
    int m_offered = 0;
    int m_refusedOverRate = 0;
    int m_refusedHopeless = 0;
    int m_inTime = 0; ///< Jobs that could end within their objective when they started.
    int m_late = 0; ///< Jobs that could end within three times their objective.
    int m_useless = 0; ///< Accepted jobs that could not.

    /** @return Worth of the results: a late one counts a fifth. */
    double value() const { return m_inTime + 0.2 * m_late; }
};

/** A scheduler behind the gate. Jobs of one step are offered by customers. */
struct GatedLoad : ApprovalLoad {
    /** A job that was offered. */
    struct Offer {
        std::string m_queue;
        std::string m_customer;
        Duration m_runTime;
        cell::GateCause m_cause = cell::GateCause::Accepted;
    };

    cell::SubmissionGate m_gate;
    bool m_isGated = true;
    std::map<std::string, Offer> m_offers; ///< By id; the ids of two replays of the same load are the same.
    std::vector<Duration> m_retryTimes; ///< Of the refused ones.

    GatedLoad(int workers, int proxies, bool isGated, std::vector<CustomerSettings> customers = {})
        : ApprovalLoad(workers, proxies, 0.3)
        , m_isGated(isGated)
    {
        ClusterSettings cluster = m_cluster;
        cluster.m_version = 2;
        QueueSettings plain = makeQueue("plain", plainSlackFactor, plainTarget, {});
        plain.m_approval.reset();
        cluster.m_queues.push_back(plain);
        plain.m_name = "other";
        cluster.m_queues.push_back(plain);
        cluster.m_customers = std::move(customers);
        configure(cluster);
        cell::beginGateTerm(m_gate, 1, m_now);
        cell::applyCustomers(m_gate, std::make_shared<const ClusterSettings>(cluster), m_now);
        m_areCallsSerial = true;
        m_onAnswered = [this](const ApprovalRequest& request, TimePoint sentAt) { m_gate.m_callSlowdown = cell::averageSlowdown(m_scheduler, request, m_gate.m_callSlowdown, sentAt, m_now); };
    }

    void offer(const std::string& queue, const std::string& customer, const StepPlan& step)
    {
        const std::string id = nextJobId();
        Offer& offered = m_offers[id];
        offered = { .m_queue = queue, .m_customer = customer, .m_runTime = step.m_estimatedRunTime };
        if (m_isGated) {
            JobPlan plan { .m_id = id, .m_queue = queue, .m_policy = { .m_pool = "pool" }, .m_payload = "p", .m_steps = { step }, .m_firstStart = {}, .m_period = {}, .m_occurrenceCount = 0, .m_submittedAt = m_now, .m_customer = customer };
            cell::GateRequest request { .m_job = id, .m_customer = customer, .m_need = {} };
            if (cell::isEstimable(plan, m_now))
                request.m_need = cell::needOf(m_scheduler, plan);
            const cell::GateDecision decision = cell::decide(m_gate, request, m_now);
            offered.m_cause = decision.m_cause;
            if (decision.m_cause != cell::GateCause::Accepted) {
                m_retryTimes.push_back(decision.m_retryAfter);
                ++m_nextJob;
                return;
            }
        }
        submit(queue, step);
    }

    void runGated(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end;) {
            tick();
            if (m_now < m_gate.m_nextEstimateAt)
                continue;
            m_gate.m_nextEstimateAt = m_now + cell::loadInterval(m_scheduler);
            m_gate.m_estimate = { .m_madeAt = m_now, .m_load = cell::collectLoad(m_scheduler, m_gate.m_callSlowdown, m_now) };
        }
    }

    Duration objectiveOf(const Offer& offer) const
    {
        const QueueSettings& queue = this->queue(offer.m_queue);
        return Duration { static_cast<std::int64_t>(queue.m_slackFactor * static_cast<double>(offer.m_runTime.m_ms)) } + queue.m_latencyTarget;
    }

    bool isInTime(const std::string& id, std::int64_t objectives = 1) const
    {
        const auto wait = m_waits.find(id);
        const Offer& offer = m_offers.at(id);
        return wait != m_waits.end() && wait->second + offer.m_runTime <= objectiveOf(offer) * objectives;
    }

    /** @return What became of the jobs, of one customer or of all. @param isCounted Chooses the jobs. */
    GatedResult result(const std::function<bool(const Offer&)>& isCounted = [](const Offer&) { return true; }) const
    {
        GatedResult result;
        for (const auto& [id, offer] : m_offers) {
            if (!isCounted(offer))
                continue;
            ++result.m_offered;
            result.m_refusedOverRate += offer.m_cause == cell::GateCause::OverRate ? 1 : 0;
            result.m_refusedHopeless += offer.m_cause == cell::GateCause::Hopeless ? 1 : 0;
            if (offer.m_cause != cell::GateCause::Accepted)
                continue;
            if (isInTime(id))
                ++result.m_inTime;
            else if (isInTime(id, 3))
                ++result.m_late;
            else
                ++result.m_useless;
        }
        return result;
    }
};

} // namespace bulrushloft::test
