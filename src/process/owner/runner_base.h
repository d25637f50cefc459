/** @file runner_base.h State of a runner, as the owner of its shard knows it. */
#pragma once

#include "connection/runner_type.h"
#include "connection/vm_list_type.h"
#include "process/owner/worker_base.h"

#include <set>
#include <string>

namespace bulrushloft {

/** A runner. */
struct Runner {
    std::string m_name; ///< Name of its VM.
    VmInfo m_vm; ///< Its latest entry in the platform's list of VMs.
    bool m_isListed = false; ///< Whether the VM has appeared in the list.
    LinkState m_link = LinkState::Down; ///< Whether the runner accepts this owner's fencing token.
    std::uint32_t m_generation = 0; ///< Generation of the latest adoption in this term.
    std::uint64_t m_boot = 0; ///< Boot id that the runner reported; 0 before the first adoption of this term.
    bool m_hasReportedLeaving = false; ///< Whether the runner has reported that it will shut down.
    std::uint32_t m_slots = 0; ///< Number of requests that it can process concurrently.
    std::uint32_t m_reservedSlots = 0; ///< Slots reserved for dispatches whose outcome is not known yet.
    std::set<std::string> m_foreignDispatches; ///< Ids of dispatches that run on it without a slot reserved by this owner, such as those of an earlier owner.

    TimePoint m_reportedClock; ///< The runner's own clock in its latest report.
    TimePoint m_earliestClockReadAt; ///< Lower bound of the monotonic time at which that clock was read: when the call was sent.
    TimePoint m_retryAt; ///< Monotonic time of the next adoption or probe.
    std::uint32_t m_failedAdoptions = 0; ///< Consecutive failed adoptions.
    bool m_isProbeInFlight = false; ///< Whether a probe has not been answered yet.

    double m_serviceMs = 0; ///< Smoothed service time in milliseconds; 0 before the first answer.
    std::uint32_t m_consecutiveFailures = 0; ///< Failed dispatches since the last successful one.
    TimePoint m_quarantinedUntil; ///< Monotonic time before which no requests are sent to it, after repeated failures.
};

} // namespace bulrushloft
