/** @file gated_sources.h Customers and other sources of jobs for a scheduler behind the gate. */
#pragma once

#include "gated_load.h"

#include <iostream>

namespace bulrushloft::test {

inline constexpr int poolWorkers = 60; ///< Of 32 cores: 60 jobs of makeStep() each second.
inline constexpr int vms = 12;
inline constexpr int jobsPerSecond = 60; ///< Capacity of the pool.
inline constexpr int customerCount = 20;

inline StepPlan makeStep()
{
    return { .m_count = 4, .m_size = { .m_cpuMilli = 4'000, .m_memoryMb = 4'000, .m_gpus = 0 }, .m_estimatedRunTime = { 2'000 } };
}

inline StepPlan makeApprovedStep()
{
    return { .m_count = 2, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1'000, .m_gpus = 0 }, .m_estimatedRunTime = { 1'000 } };
}

inline std::string customerName(int number)
{
    return "customer-" + std::to_string(number);
}

/** The first customer is entitled to a quarter of the usual load, the others share the rest. */
inline std::vector<CustomerSettings> makeCustomers(double usual)
{
    std::vector<CustomerSettings> customers;
    customers.reserve(customerCount);
    for (int i = 0; i < customerCount; ++i)
        customers.push_back({ .m_name = customerName(i), .m_keys = {}, .m_weight = i == 0 ? usual / 4 : usual * 3 / 4 / (customerCount - 1), .m_cap = {} });
    return customers;
}

/** A source of jobs at a rate that may change. */
struct Source {
    std::string m_queue;
    std::string m_customer;
    double m_rate; ///< Jobs per second.
    StepPlan m_step;
    double m_owed = 0;
};

inline void runSources(GatedLoad& load, std::vector<Source>& sources, Duration length)
{
    constexpr Duration slice { 50 };
    for (const TimePoint end = load.m_now + length; load.m_now < end;) {
        for (Source& source : sources) {
            for (source.m_owed += source.m_rate * static_cast<double>(slice.m_ms) / 1'000; source.m_owed >= 1; source.m_owed -= 1)
                load.offer(source.m_queue, source.m_customer, source.m_step);
        }
        load.runGated(slice);
    }
}

inline std::vector<Source> makeCustomerSources(double usual)
{
    std::vector<Source> sources;
    sources.reserve(customerCount);
    int number = 0;
    for (const CustomerSettings& customer : makeCustomers(usual)) // Spread over time, as their calls are.
        sources.push_back({ .m_queue = "plain", .m_customer = customer.m_name, .m_rate = customer.m_weight, .m_step = makeStep(), .m_owed = static_cast<double>(number++) / customerCount });
    return sources;
}

inline void print(const std::string& name, const GatedResult& result)
{
    std::cout << "  " << name << ": " << result.m_offered << " offered, " << result.m_refusedOverRate << " refused as over the rate, " << result.m_refusedHopeless << " as hopeless, "
              << result.m_inTime << " in time, " << result.m_late << " late, " << result.m_useless << " useless\n";
}

} // namespace bulrushloft::test
