/** @file call_refusals.cpp Counts and logs calls that were refused, by customer and cause. */
#include "process/cell/call_refusals.h"

#include "core/log_func.h"

namespace bulrushloft::cell {

namespace {

    constexpr std::size_t maxCustomers = 50; ///< Customers with counts of their own.
    constexpr std::uint32_t maxLinesPerSecond = 20;
    constexpr std::size_t maxLoggedName = 64;
    constexpr const char* noCustomer = "-";

    CountByCause& countsOf(CallRefusals& refusals, const std::string& customer)
    {
        const auto found = refusals.m_byCustomer.find(customer);
        if (found != refusals.m_byCustomer.end())
            return found->second;
        return refusals.m_byCustomer.size() < maxCustomers ? refusals.m_byCustomer[customer] : refusals.m_ofOthers;
    }

} // namespace

void noteRefusedCall(CallRefusals& refusals, const RefusedCall& call, TimePoint now)
{
    constexpr std::int64_t msPerSecond = 1'000;
    const std::string customer = call.m_customer.empty() ? noCustomer : call.m_customer;
    ++countsOf(refusals, customer)[call.m_cause];
    if (refusals.m_second != now.m_ms / msPerSecond) {
        refusals.m_second = now.m_ms / msPerSecond;
        refusals.m_logged = 0;
    }
    if (refusals.m_logged >= maxLinesPerSecond) {
        ++refusals.m_unlogged;
        return;
    }
    ++refusals.m_logged;
    logEvent(LogLevel::Info, "call-refused", { { "customer", customer.substr(0, maxLoggedName) }, { "cause", call.m_cause }, { "queue", call.m_queue.substr(0, maxLoggedName) }, { "unlogged_before", refusals.m_unlogged } });
    refusals.m_unlogged = 0;
}

} // namespace bulrushloft::cell
