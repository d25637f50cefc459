/** @file runner_base.h A runner as the owner of its shard knows it. */
#pragma once

#include "connection/runner_type.h"
#include "connection/vm_list_type.h"
#include "process/worker_base.h"

#include <set>
#include <string>

namespace bulrushloft {

/** A runner. */
struct Runner {
    std::string m_name; ///< Name of its VM.
    VmInfo m_vm; ///< What the platform's list says.
    bool m_isListed = false; ///< Whether the list has it.
    LinkState m_link = LinkState::Down; ///< Whether it obeys this owner now.
    std::uint32_t m_generation = 0; ///< Of the latest adoption.
    std::uint64_t m_boot = 0; ///< Run of the runner, 0 before the first adoption of this term.
    bool m_hasReportedLeaving = false; ///< It said itself that it will go away.
    std::uint32_t m_slots = 0; ///< Requests that it serves at once.
    std::uint32_t m_reservedSlots = 0; ///< Requests decided for it that are not answered or resolved.
    std::set<std::string> m_foreignDispatches; ///< Dispatches of an earlier owner that it is still at work on.

    TimePoint m_reportedClock; ///< Its own clock at its latest report.
    TimePoint m_earliestClockReadAt; ///< Monotonic time at which the call of that report was sent.
    TimePoint m_retryAt; ///< Monotonic time of the next adoption or probe.
    std::uint32_t m_failedAdoptions = 0; ///< Failed adoptions in a row.
    bool m_isProbeInFlight = false; ///< A probe is out.

    double m_serviceMs = 0; ///< Smoothed service time in milliseconds, 0 before the first answer.
    std::uint32_t m_consecutiveFailures = 0; ///< Failed dispatches since the last good one.
    TimePoint m_quarantinedUntil; ///< Monotonic time until which it gets no new work because it failed too much.
};

} // namespace bulrushloft
