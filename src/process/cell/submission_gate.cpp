/** @file submission_gate.cpp Decisions of a leader on submissions. */
#include "process/cell/submission_gate.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace bulrushloft::cell {

namespace {

    constexpr Duration quietTime { 1'000 }; ///< A new leader refuses nothing for this long, as it has not reached all workers yet.
    constexpr std::size_t maxCountedCustomers = 4'096; ///< Names counted one by one; configurations that change often must not make the counts grow.

    CustomerBucket* findBucket(SubmissionGate& gate, const std::string& customer)
    {
        const auto found = gate.m_buckets.find(customer);
        return customer.empty() || found == gate.m_buckets.end() ? nullptr : &found->second;
    }

    ServiceProspect prospectOf(const SubmissionGate& gate, const GateRequest& request, TimePoint now)
    {
        const bool isEstimated = request.m_need && gate.m_estimate && now - gate.m_since >= quietTime;
        return isEstimated ? assess(*gate.m_estimate, *request.m_need, now) : ServiceProspect {};
    }

    /** @return Time until the work ahead of a refused submission has drained, spread over the seconds after it. */
    Duration returnAfterDrain(SubmissionGate& gate, Duration wait)
    {
        constexpr std::int64_t longest = 30; ///< Later estimates say little, and a change of the load would be missed.
        constexpr std::int64_t spread = 3;
        const std::int64_t seconds = std::clamp<std::int64_t>((wait.m_ms + 999) / 1'000, 1, longest);
        return Duration { 1'000 } * (seconds + static_cast<std::int64_t>(gate.m_hopeless++) % spread);
    }

    void countDecision(SubmissionGate& gate, const std::string& customer, GateCause cause)
    {
        const bool isCounted = gate.m_counts.size() < maxCountedCustomers || gate.m_counts.contains(customer);
        ++gate.m_counts[isCounted ? customer : std::string()][static_cast<std::size_t>(cause)];
    }

} // namespace

void beginGateTerm(SubmissionGate& gate, std::uint64_t term, TimePoint now)
{
    if (gate.m_term == term)
        return;
    gate.m_term = term;
    gate.m_since = now;
    gate.m_cluster = nullptr;
    gate.m_buckets.clear();
    gate.m_estimate.reset();
    gate.m_nextEstimateAt = now;
    gate.m_callSlowdown = 1;
}

void applyCustomers(SubmissionGate& gate, const SharedCluster& cluster, TimePoint now)
{
    if (gate.m_cluster == cluster)
        return;
    setCustomers(gate.m_buckets, cluster->m_customers, now);
    gate.m_cluster = cluster;
}

GateDecision decide(SubmissionGate& gate, const GateRequest& request, TimePoint now)
{
    CustomerBucket* const bucket = findBucket(gate, request.m_customer);
    const ServiceProspect prospect = prospectOf(gate, request, now);
    const bool isInProfile = !bucket || takeToken(*bucket, request.m_job, now);
    GateDecision decision { .m_cause = GateCause::Accepted, .m_isCustomerOver = !isInProfile || prospect.m_isHeldByCap, .m_retryAfter = {}, .m_wait = prospect.m_waitLate };
    if (!isInProfile && prospect.m_isShort) {
        decision.m_cause = GateCause::OverRate;
        decision.m_retryAfter = promiseToken(*bucket, request.m_job, now);
    } else if (prospect.m_isHopeless) {
        decision.m_cause = GateCause::Hopeless;
        decision.m_retryAfter = returnAfterDrain(gate, prospect.m_waitLate);
        if (bucket && isInProfile)
            returnToken(*bucket);
    }
    countDecision(gate, request.m_customer, decision.m_cause);
    return decision;
}

bool takeLogLine(SubmissionGate& gate, TimePoint now, std::uint32_t& suppressed)
{
    constexpr std::uint32_t maxLinesPerSecond = 20;
    if (const std::int64_t second = now.m_ms / 1'000; second != gate.m_logSecond) {
        gate.m_logSecond = second;
        gate.m_loggedLines = 0;
    }
    if (gate.m_loggedLines >= maxLinesPerSecond) {
        ++gate.m_suppressedLines;
        return false;
    }
    ++gate.m_loggedLines;
    suppressed = std::exchange(gate.m_suppressedLines, 0);
    return true;
}

std::vector<std::pair<std::string, GateCounts>> largestCounts(const SubmissionGate& gate, std::size_t limit)
{
    std::vector<std::pair<std::string, GateCounts>> counts(gate.m_counts.begin(), gate.m_counts.end());
    const auto total = [](const GateCounts& each) { return std::accumulate(each.begin(), each.end(), std::uint64_t {}); };
    std::stable_sort(counts.begin(), counts.end(), [&](const auto& one, const auto& other) { return total(one.second) > total(other.second); });
    if (counts.size() <= limit)
        return counts;
    GateCounts others {};
    for (std::size_t i = limit; i < counts.size(); ++i) {
        for (std::size_t cause = 0; cause < gateCauseCount; ++cause)
            others[cause] += counts[i].second[cause];
    }
    counts.resize(limit);
    counts.emplace_back("others", others);
    return counts;
}

} // namespace bulrushloft::cell
