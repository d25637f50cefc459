/** @file service_estimate.cpp Estimate of the start of a submission. */
#include "process/cell/service_estimate.h"

#include "process/scheduler/urgency.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    constexpr Duration fullWeightAge { 1'000 };
    constexpr Duration maxAge { 3'000 };
    constexpr double hopelessMargin = 1.5; ///< An estimate that is too long by up to this factor refuses nothing that could be of use.
    constexpr std::int64_t slackDivisor = 2; ///< Capacity counts as short from this part of the slack on, so that what arrives within its customer's rate still finds the rest.
    constexpr double roomyShare = 0.1; ///< Share of a pool's capacity that is free only if it is not the workers that are short. Fragments too small for any waiting task are not counted as free.
    constexpr Duration visibleWait { 1'000 }; ///< No submission is hopeless while no task has waited this long, whatever the estimate.

    double weightAt(Duration age)
    {
        if (age <= fullWeightAge)
            return 1;
        return age >= maxAge ? 0 : static_cast<double>((maxAge - age).m_ms) / static_cast<double>((maxAge - fullWeightAge).m_ms);
    }

    BandLoad operator+(BandLoad sum, const BandLoad& band)
    {
        for (std::size_t i = 0; i < sum.m_size.size(); ++i) {
            sum.m_size[i] += band.m_size[i];
            sum.m_work[i] += band.m_work[i];
        }
        sum.m_quickCallMs += band.m_quickCallMs;
        sum.m_slowCallMs += band.m_slowCallMs;
        return sum;
    }

    /** @return Sum of the bands up to and including the given one. */
    BandLoad sumUpTo(const PoolLoad& pool, std::size_t lastBand)
    {
        BandLoad sum;
        for (std::size_t band = 0; band <= lastBand; ++band)
            sum = sum + pool.m_bands[band];
        return sum;
    }

    /**
     * What fits into the free resources starts at once. While a good part of the pool is free, steps wait for something else, such as a worker with a label that
     * none has, and tell nothing about the wait of others.
     * @return Time in ms until waiting tasks have been started on the pool, in one dimension.
     */
    double workerWait(const PoolLoad& pool, const BandLoad& waiting, std::size_t dimension)
    {
        const double size = waiting.m_size[dimension];
        const double free = std::max(0.0, pool.m_free[dimension]);
        if (size <= free || pool.m_capacity[dimension] <= 0 || free > roomyShare * pool.m_capacity[dimension])
            return 0;
        return waiting.m_work[dimension] * (1 - free / size) / pool.m_capacity[dimension];
    }

    double approvalWait(const ServiceLoad& load, const BandLoad& waiting, bool isSlow)
    {
        const double callMs = isSlow ? waiting.m_slowCallMs : waiting.m_quickCallMs;
        return callMs * load.m_callSlowdown / std::max(1.0, isSlow ? load.m_slowVms : load.m_quickVms);
    }

    double waitBehind(const ServiceLoad& load, const PoolLoad& pool, const BandLoad& waiting, const SubmissionNeed& need)
    {
        double wait = need.m_needsApproval ? approvalWait(load, waiting, need.m_isSlowCall) : 0;
        for (std::size_t dimension = 0; dimension < need.m_uses.size(); ++dimension)
            wait = std::max(wait, need.m_uses[dimension] ? workerWait(pool, waiting, dimension) : 0);
        return wait;
    }

} // namespace

std::size_t bandOf(Duration slack)
{
    return static_cast<std::size_t>(std::lower_bound(bandLimits.begin(), bandLimits.end(), slack) - bandLimits.begin());
}

namespace {

    /** @return What can be expected of a submission behind the work that waits for a pool, or for room under the cap of a customer. @param weight Weight of the estimate, 0 to 1. */
    ServiceProspect assessBehind(const ServiceLoad& load, const PoolLoad& pool, const SubmissionNeed& need, double weight)
    {
        const Duration slack = need.m_objective - need.m_criticalPath;
        const BandLoad ahead = sumUpTo(pool, bandOf(slack));
        const BandLoad all = sumUpTo(pool, lateBand);
        const auto weighed = [&](double wait) { return Duration { static_cast<std::int64_t>(wait * weight) }; };
        ServiceProspect prospect { .m_waitInTime = weighed(waitBehind(load, pool, ahead, need)), .m_waitLate = weighed(waitBehind(load, pool, all, need)) };
        // Late work is placed after what can be in time, but is what a further submission delays.
        const Duration waitWithLate = weighed(waitBehind(load, pool, ahead + pool.m_bands[lateBand], need));
        prospect.m_isShort = waitWithLate.m_ms > 0 && waitWithLate > slack / slackDivisor;
        const Duration latestUsefulStart = need.m_objective * scheduler::usefulLatenessFactor - need.m_criticalPath;
        prospect.m_isHopeless = pool.m_oldestWait >= visibleWait && prospect.m_waitInTime > slack && static_cast<double>(prospect.m_waitLate.m_ms) > static_cast<double>(latestUsefulStart.m_ms) * hopelessMargin;
        return prospect;
    }

} // namespace

ServiceProspect assess(const ServiceEstimate& estimate, const SubmissionNeed& need, TimePoint now)
{
    const ServiceLoad& load = estimate.m_load;
    const double weight = weightAt(now - estimate.m_madeAt);
    if (weight <= 0)
        return {};
    ServiceProspect prospect;
    if (const auto pool = load.m_pools.find(need.m_pool); pool != load.m_pools.end())
        prospect = assessBehind(load, pool->second, need, weight);
    const auto customer = need.m_customer.empty() ? load.m_customers.end() : load.m_customers.find(need.m_customer);
    if (customer == load.m_customers.end())
        return prospect;
    SubmissionNeed underCap = need;
    underCap.m_needsApproval = false; // Approvals are short for a pool, not for a customer.
    const ServiceProspect byCap = assessBehind(load, customer->second, underCap, weight);
    prospect.m_isHeldByCap = byCap.m_isHopeless && !prospect.m_isHopeless;
    prospect.m_waitInTime = std::max(prospect.m_waitInTime, byCap.m_waitInTime);
    prospect.m_waitLate = std::max(prospect.m_waitLate, byCap.m_waitLate);
    prospect.m_isShort = prospect.m_isShort || byCap.m_isShort;
    prospect.m_isHopeless = prospect.m_isHopeless || byCap.m_isHopeless;
    return prospect;
}

Duration backlogOf(const ServiceLoad& load, const PoolLoad& pool)
{
    const BandLoad all = sumUpTo(pool, lateBand);
    const SubmissionNeed quick { .m_pool = {}, .m_uses = { true, true, true }, .m_needsApproval = true, .m_isSlowCall = false, .m_objective = {}, .m_criticalPath = {} };
    SubmissionNeed slow = quick;
    slow.m_isSlowCall = true;
    return { static_cast<std::int64_t>(std::max(waitBehind(load, pool, all, quick), waitBehind(load, pool, all, slow))) };
}

} // namespace bulrushloft::cell
