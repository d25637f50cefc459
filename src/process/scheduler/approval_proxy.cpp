/** @file approval_proxy.cpp Choice of the VM that sends an approval request, and the report of what the VMs are kept for. */
#include "process/scheduler/approval_proxy.h"

#include "core/log_func.h"
#include "process/scheduler/approvals.h"
#include "process/scheduler/scheduler_detail.h"

namespace bulrushloft::scheduler::detail {

namespace {

    constexpr Duration slowRequestThreshold { 100 }; ///< A request that is expected to take longer is slow.
    constexpr Duration maxQuickRequestWait { 60 }; ///< How long a quick request may wait for its VM; a slow one is sent only if a VM is free.

    /** @return How many of the reserved VMs steps that have waited long may use; at least one stays with the quick requests. */
    std::size_t countKeptProxies(const Scheduler& scheduler)
    {
        constexpr std::size_t keptDivisor = 3;
        const std::size_t reserved = countReservedProxies(scheduler);
        return reserved > 1 ? (reserved + keptDivisor - 1) / keptDivisor : 0;
    }

    /** @return Name of a VM, what it is kept for (quick or slow requests, or any), and for how many milliseconds it has been idle (negative: is still busy). */
    std::string describeProxy(const Scheduler& scheduler, std::size_t index, TimePoint now)
    {
        const ApprovalProxy& proxy = scheduler.m_approvalProxies[index];
        const char* kind = "any";
        if (index < countReservedProxies(scheduler))
            kind = "quick";
        else if (index >= scheduler.m_approvalProxies.size() - countSlowProxies(scheduler))
            kind = "slow";
        return proxy.m_member + ":" + kind + ":" + (proxy.m_busyUntil.m_ms == 0 ? "unused" : std::to_string((now - proxy.m_busyUntil).m_ms));
    }

} // namespace

bool isSlowRequest(Duration duration)
{
    return duration > slowRequestThreshold;
}

std::size_t countReservedProxies(const Scheduler& scheduler)
{
    return scheduler.m_approvalProxies.size() > 1 ? (scheduler.m_approvalProxies.size() + 2) / 3 : 0;
}

/*
 * Load: after a standstill hundreds of steps whose requests are quick wait, and each VM always has a quick request queued. A slow
 * request, which needs a free VM, found none for seconds, while the workers that it was for stood idle.
 */
std::size_t countSlowProxies(const Scheduler& scheduler)
{
    constexpr std::size_t slowDivisor = 3;
    return scheduler.m_approvalProxies.size() / slowDivisor;
}

ApprovalProxy* chooseProxy(Scheduler& scheduler, const StepRun& run, Duration duration, TimePoint now)
{
    const bool isSlow = isSlowRequest(duration);
    const std::size_t reserved = countReservedProxies(scheduler) - (run.m_mayUseKeptProxies ? countKeptProxies(scheduler) : 0);
    ApprovalProxy* best = nullptr;
    const std::size_t end = scheduler.m_approvalProxies.size() - (isSlow ? 0 : countSlowProxies(scheduler));
    for (std::size_t i = isSlow ? reserved : 0; i < end; ++i) {
        ApprovalProxy& proxy = scheduler.m_approvalProxies[i];
        if (!best || proxy.m_busyUntil < best->m_busyUntil)
            best = &proxy;
    }
    const Duration longestWait = isSlow ? Duration { 0 } : maxQuickRequestWait;
    return best && best->m_busyUntil <= now + longestWait ? best : nullptr;
}

void reportProxies(const Scheduler& scheduler, TimePoint now)
{
    constexpr std::size_t maxNamed = 8;
    std::size_t slow = 0;
    std::size_t quick = 0;
    for (const StepRun* const run : scheduler.m_waitingSteps) {
        const auto& policy = queueOf(scheduler, *run->m_job).m_approval;
        if (run->m_isApprovalRequestDelayed && policy)
            ++(isSlowPolicy(*policy) ? slow : quick);
    }
    if (slow + quick == 0)
        return;
    const std::size_t vms = scheduler.m_approvalProxies.size();
    std::size_t idle = 0;
    std::string text;
    for (std::size_t i = 0; i < vms; ++i) {
        idle += scheduler.m_approvalProxies[i].m_busyUntil <= now ? 1 : 0;
        if (i < maxNamed)
            text += (i == 0 ? "" : " ") + describeProxy(scheduler, i, now);
    }
    logEvent(LogLevel::Info, "approval-vms", { { "slow_steps_waiting", slow }, { "quick_steps_waiting", quick }, { "vms", vms }, { "idle", idle }, { "kept_for_quick", countReservedProxies(scheduler) }, { "kept_for_slow", countSlowProxies(scheduler) }, { "name_kind_idle_ms", text } });
}

} // namespace bulrushloft::scheduler::detail
