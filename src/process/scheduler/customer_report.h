/** @file customer_report.h What customers have running and waiting, for metrics and the log; bounded in the number of customers. */
#pragma once

#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::scheduler {

/** What a customer has running and waiting. */
struct CustomerReport {
    std::string m_name; ///< Name of the customer; otherCustomers for the sum of those that are not reported on their own.
    Resources m_running; ///< Sum of the full sizes of all attempts that may be running.
    Resources m_cap; ///< Cap; an amount of 0 means no limit, and in a sum that no customer has one.
    std::uint64_t m_waiting = 0; ///< Tasks without an attempt in released steps.
    std::uint64_t m_heldSteps = 0; ///< Steps held back by the cap.
    double m_share = 0; ///< Largest fair share of a pool, 0 to 1; in a sum the largest of all.
};

constexpr std::size_t maxReportedCustomers = 50; ///< Customers that are reported on their own.
constexpr const char* otherCustomers = "(other)"; ///< Name of the sum of all others.

/** @return Reports on the customers with the most running and waiting, and the sum of the others if there are any. */
std::vector<CustomerReport> reportCustomers(const Scheduler& scheduler);

/** Logs at intervals which customers are held back by their caps: one line of bounded length. */
void stepCustomerReport(Scheduler& scheduler, TimePoint now);

} // namespace bulrushloft::scheduler
