/** @file customer_share.h Order of waiting steps by the fair shares of their customers, where room or approvals are short. */
#pragma once

#include "core/clock_type.h"
#include "request/resources_type.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace bulrushloft::scheduler {

constexpr Duration shareAveraging { 5'000 }; ///< Time constant of the averages: a customer that got too little is compensated within this time.

/** A customer's share of a pool, and what it has of it. All are fractions, 0 to 1. */
struct CustomerShare {
    double m_share = 0; ///< Fair share.
    double m_current = 0; ///< Dominant share of the pool in use.
    double m_average = 0; ///< The same, averaged.
    double m_approvals = 0; ///< Part of the approval requests of the pool, by their duration, averaged.
};

/** A waiting step, in the order of urgency. */
struct ShareStep {
    std::size_t m_group = 0; ///< Only steps of one group are compared: of a pool, an urgency class and a priority.
    std::optional<std::size_t> m_customer; ///< Position of its customer's share of the pool; empty for none.
    double m_demand = 0; ///< Dominant share of the pool that its tasks would take.
    double m_approvals = 0; ///< Part of the approval requests of the pool that its next request adds; 0 if it needs none or none are short.
};

/** @return The largest of the fractions of the capacity, by dimension. */
double dominantShare(const Resources& used, const Resources& capacity);

/** @return An average after the value has been the same for some time. */
double averageAfter(double average, double value, Duration elapsed);

/** @return Shares in proportion to the weights; equal ones if all weights are 0. */
std::vector<double> fairShares(const std::vector<double>& weights);

/** @return What a customer may have in use before the steps of others go first; more than its share after it got too little, and less after it got too much. */
double entitlementOf(const CustomerShare& customer);

/**
 * Orders steps so that in each group those of customers below their shares come first, then those of customers that are owed something, then the others; the
 * order is kept otherwise. The steps of a group share the places that they had, so that work without a customer keeps its own. The demand of each step
 * counts for those that follow.
 * @return The positions of the steps, in the new order.
 */
std::vector<std::size_t> orderByShare(const std::vector<ShareStep>& steps, std::vector<CustomerShare> customers);

} // namespace bulrushloft::scheduler
