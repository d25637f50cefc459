/** @file call_refusals.h Counts and logs calls that were refused, by customer and cause. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bulrushloft::cell {

/** Counts by cause; the names of causes are literals. */
using CountByCause = std::map<std::string_view, std::uint64_t>;

/** Refused calls. A bounded number of customers is counted apart, the others together; a bounded number of refusals is logged each second. */
struct CallRefusals {
    std::map<std::string, CountByCause> m_byCustomer; ///< Counts by name of the customer; "-" is that of calls without a valid key.
    CountByCause m_ofOthers; ///< Counts of further customers.
    std::int64_t m_second = 0; ///< Second of the monotonic clock that m_logged counts.
    std::uint32_t m_logged = 0; ///< Refusals logged in this second.
    std::uint64_t m_unlogged = 0; ///< Refusals that were not logged since the latest line.
};

/** A refused call. */
struct RefusedCall {
    std::string m_customer; ///< Name of the customer; empty for none.
    std::string_view m_cause; ///< Why it was refused, a literal of a few words joined by hyphens; never contains a key.
    std::string m_queue; ///< Name of the queue; empty if it is not known.
};

/** Counts a refused call, and logs it unless too many were logged in this second. @param now Monotonic time. */
void noteRefusedCall(CallRefusals& refusals, const RefusedCall& call, TimePoint now);

} // namespace bulrushloft::cell
