/** @file customer_report.cpp Collection and bounds of the reports on customers. */
#include "process/scheduler/customer_report.h"

#include "core/log_func.h"
#include "process/scheduler/scheduler_detail.h"

#include <algorithm>

namespace bulrushloft::scheduler {

namespace {

    /** @return Reports on all customers. */
    std::vector<CustomerReport> collect(const Scheduler& scheduler)
    {
        std::unordered_map<const CustomerUsage*, CustomerReport> reports;
        for (const auto& [name, customer] : scheduler.m_customers) {
            CustomerReport& report = reports[&customer];
            report = { .m_name = name, .m_running = customer.m_running, .m_cap = customer.m_cap };
            for (const auto& [pool, usage] : customer.m_pools)
                report.m_share = std::max(report.m_share, usage.m_averagedAt == TimePoint {} ? 0 : usage.m_share);
        }
        for (const StepRun* const run : scheduler.m_waitingSteps) {
            if (!run->m_job->m_customer || !run->m_isReleased)
                continue;
            CustomerReport& report = reports.at(run->m_job->m_customer);
            report.m_waiting += detail::countUnplaced(*run);
            report.m_heldSteps += run->m_heldAtRelease != 0 ? 1 : 0;
        }
        std::vector<CustomerReport> list;
        list.reserve(reports.size());
        for (auto& [customer, report] : reports)
            list.push_back(std::move(report));
        return list;
    }

    auto sortKeyOf(const CustomerReport& report)
    {
        return std::tuple { -report.m_running.m_cpuMilli, -report.m_running.m_gpus, -static_cast<std::int64_t>(report.m_waiting), std::string_view(report.m_name) };
    }

} // namespace

std::vector<CustomerReport> reportCustomers(const Scheduler& scheduler)
{
    std::vector<CustomerReport> reports = collect(scheduler);
    std::sort(reports.begin(), reports.end(), [](const CustomerReport& one, const CustomerReport& other) { return sortKeyOf(one) < sortKeyOf(other); });
    if (reports.size() <= maxReportedCustomers)
        return reports;
    CustomerReport rest { .m_name = otherCustomers };
    for (std::size_t i = maxReportedCustomers; i < reports.size(); ++i) {
        rest.m_running = rest.m_running + reports[i].m_running;
        rest.m_cap = rest.m_cap + reports[i].m_cap;
        rest.m_waiting += reports[i].m_waiting;
        rest.m_heldSteps += reports[i].m_heldSteps;
        rest.m_share = std::max(rest.m_share, reports[i].m_share);
    }
    reports.resize(maxReportedCustomers);
    reports.push_back(std::move(rest));
    return reports;
}

void stepCustomerReport(Scheduler& scheduler, TimePoint now)
{
    constexpr Duration interval { 10'000 };
    constexpr std::size_t maxNamed = 8;
    constexpr std::size_t maxNameBytes = 40;
    if (scheduler.m_customers.empty() || now < scheduler.m_nextCustomerReportAt)
        return;
    scheduler.m_nextCustomerReportAt = now + interval;
    std::size_t customers = 0;
    std::uint64_t steps = 0;
    std::string text;
    for (const CustomerReport& report : reportCustomers(scheduler)) {
        if (report.m_heldSteps == 0)
            continue;
        if (customers < maxNamed)
            text += (customers == 0 ? "" : " ") + report.m_name.substr(0, maxNameBytes) + ":" + std::to_string(report.m_running.m_cpuMilli) + ":" + std::to_string(report.m_cap.m_cpuMilli) + ":" + std::to_string(report.m_heldSteps);
        ++customers;
        steps += report.m_heldSteps;
    }
    if (customers > 0)
        logEvent(LogLevel::Info, "customers-at-cap", { { "customers", customers }, { "steps_held", steps }, { "name_cpu_cap_steps", text } });
}

} // namespace bulrushloft::scheduler
