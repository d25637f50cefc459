/** @file customer_share.cpp Fair shares of customers, and the order of their waiting steps. */
#include "process/scheduler/customer_share.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <numeric>

namespace bulrushloft::scheduler {

namespace {

    /** Where a step stands in its group; lower values come first. */
    enum class ShareBand : std::uint8_t {
        Below, ///< Its customer has less than its share in use.
        Owed, ///< It has its share in use, and got too little before.
        Above, ///< It has had its share.
    };

    constexpr std::size_t bandCount = static_cast<std::size_t>(ShareBand::Above) + 1;

    /** Steps of a group that have a customer. */
    struct ShareGroup {
        std::vector<std::size_t> m_places; ///< Places in the order that they share.
        std::array<std::vector<std::size_t>, bandCount> m_steps; ///< By ShareBand.
    };

    ShareBand bandOf(const CustomerShare& customer, bool needsApproval)
    {
        if (customer.m_current >= entitlementOf(customer) || (needsApproval && customer.m_approvals >= customer.m_share))
            return ShareBand::Above;
        // What is owed comes after the shares: the sum of both exceeds the pool, and small customers would wait for what a large one is owed.
        return customer.m_current < customer.m_share ? ShareBand::Below : ShareBand::Owed;
    }

} // namespace

double dominantShare(const Resources& used, const Resources& capacity)
{
    const auto share = [](std::int64_t part, std::int64_t whole) { return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0; };
    return std::max({ share(used.m_cpuMilli, capacity.m_cpuMilli), share(used.m_memoryMb, capacity.m_memoryMb), share(used.m_gpus, capacity.m_gpus) });
}

double averageAfter(double average, double value, Duration elapsed)
{
    const double kept = std::exp(-static_cast<double>(elapsed.m_ms) / static_cast<double>(shareAveraging.m_ms));
    return value + (average - value) * kept;
}

std::vector<double> fairShares(const std::vector<double>& weights)
{
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::vector<double> shares;
    shares.reserve(weights.size());
    for (const double weight : weights)
        shares.push_back(sum > 0 ? weight / sum : 1.0 / static_cast<double>(weights.size()));
    return shares;
}

double entitlementOf(const CustomerShare& customer)
{
    // Without it, a small customer whose jobs come in bursts is beyond its share during each of them, and in time on average only.
    constexpr double compensation = 4;
    return std::clamp(customer.m_share + compensation * (customer.m_share - customer.m_average), 0.0, 1.0);
}

std::vector<std::size_t> orderByShare(const std::vector<ShareStep>& steps, std::vector<CustomerShare> customers)
{
    std::vector<std::size_t> order(steps.size());
    std::iota(order.begin(), order.end(), 0);
    std::vector<ShareGroup> groups;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const ShareStep& step = steps[i];
        if (!step.m_customer)
            continue;
        groups.resize(std::max(groups.size(), step.m_group + 1));
        ShareGroup& group = groups[step.m_group];
        CustomerShare& customer = customers[*step.m_customer];
        group.m_places.push_back(i);
        const ShareBand band = bandOf(customer, step.m_approvals > 0);
        group.m_steps[static_cast<std::size_t>(band)].push_back(i);
        if (band == ShareBand::Above)
            continue;
        customer.m_current += step.m_demand;
        customer.m_approvals += step.m_approvals;
    }
    for (const ShareGroup& group : groups) {
        auto place = group.m_places.begin();
        for (const auto& band : group.m_steps) {
            for (const std::size_t step : band)
                order[*place++] = step;
        }
    }
    return order;
}

} // namespace bulrushloft::scheduler
