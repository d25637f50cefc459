/** @file approval_proxy.cpp Choice of the VM that sends an approval request, and the report of what the VMs are kept for. */
#include "process/scheduler/approval_proxy.h"

#include "core/log_func.h"
#include "process/scheduler/approvals.h"
#include "process/scheduler/scheduler_detail.h"

namespace bulrushloft::scheduler::detail {

namespace {

    constexpr Duration slowRequestThreshold { 100 }; ///< A request that is expected to take longer is slow.
    constexpr Duration maxQuickRequestWait { 60 }; ///< How long a quick request may wait for its VM; a slow one is sent only if a VM is free.

    /** Positions of VMs in the list, from the first one up to the end. */
    struct ProxyRange {
        std::size_t m_first = 0;
        std::size_t m_end = 0;
    };

    /** @return The VMs reserved for quick requests whose time these share with steps that have waited long; with one VM, that one and all slow requests. */
    ProxyRange sharedProxies(const Scheduler& scheduler)
    {
        constexpr std::size_t sharedDivisor = 3;
        const std::size_t reserved = countReservedProxies(scheduler);
        if (reserved == 0)
            return { .m_first = 0, .m_end = scheduler.m_approvalProxies.size() };
        return { .m_first = reserved - (reserved + sharedDivisor - 1) / sharedDivisor, .m_end = reserved };
    }

    /** @return The VMs that a step may use for a request whether requests of the other kind come or not. */
    ProxyRange ownProxies(const Scheduler& scheduler, const StepRun& run, bool isSlow)
    {
        const std::size_t count = scheduler.m_approvalProxies.size();
        if (!isSlow)
            return { .m_first = 0, .m_end = count - countSlowProxies(scheduler) };
        return { .m_first = run.m_mayUseKeptProxies ? sharedProxies(scheduler).m_first : countReservedProxies(scheduler), .m_end = count };
    }

    /** @return Whether other requests have had a shared VM for at least as long as its last slow request took. */
    bool isSlowTurn(const ApprovalProxy& proxy, TimePoint now)
    {
        return now >= proxy.m_slowUntil + proxy.m_slowLength;
    }

    /** @return Whether a quick request leaves a shared VM to a slow one that waits for it. The turn ends if a full pass finds no step that takes it. */
    bool isLeftToSlow(const Scheduler& scheduler, ApprovalProxy& proxy, TimePoint now)
    {
        if (!proxy.m_isSlowWaiting || !isSlowTurn(proxy, now))
            return false;
        const TimePoint freeSince = std::max(proxy.m_busyUntil, proxy.m_slowUntil + proxy.m_slowLength);
        const bool wasOffered = freeSince <= scheduler.m_fullPassAt && scheduler.m_fullPassAt < now;
        if (!wasOffered)
            return true;
        proxy.m_isSlowWaiting = false;
        proxy.m_slowUntil = now;
        return false;
    }

    /** @return Whether the step may use one of its own VMs now, apart from when that is free. */
    bool mayUse(Scheduler& scheduler, std::size_t index, bool isSlow, TimePoint now)
    {
        const ProxyRange shared = sharedProxies(scheduler);
        if (index < shared.m_first || index >= shared.m_end)
            return true;
        ApprovalProxy& proxy = scheduler.m_approvalProxies[index];
        if (!isSlow)
            return !isLeftToSlow(scheduler, proxy, now);
        const bool isOnlyOneForQuick = scheduler.m_approvalProxies.size() > 1 && shared.m_first == 0;
        return !isOnlyOneForQuick || isSlowTurn(proxy, now);
    }

    /** Notes on the shared VMs that a slow request waits for them. */
    void noteSlowWait(Scheduler& scheduler)
    {
        const ProxyRange shared = sharedProxies(scheduler);
        for (std::size_t i = shared.m_first; i < shared.m_end; ++i)
            scheduler.m_approvalProxies[i].m_isSlowWaiting = true;
    }

    /**
     * @return The VM kept for the other kind of request that has been idle longest, if that is as long as the request takes, and a full
     * pass over the waiting steps has left it idle: nobody comes for whom it is kept.
     */
    ApprovalProxy* findUnwantedProxy(Scheduler& scheduler, const ProxyRange& own, Duration duration, TimePoint now)
    {
        ApprovalProxy* best = nullptr;
        for (std::size_t i = 0; i < scheduler.m_approvalProxies.size(); ++i) {
            ApprovalProxy& proxy = scheduler.m_approvalProxies[i];
            const bool isOwn = i >= own.m_first && i < own.m_end;
            const bool wasOffered = proxy.m_busyUntil <= scheduler.m_fullPassAt && scheduler.m_fullPassAt < now;
            if (!isOwn && wasOffered && proxy.m_busyUntil + duration <= now && (!best || proxy.m_busyUntil < best->m_busyUntil))
                best = &proxy;
        }
        return best;
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
 * request, which needs a free VM, found none for seconds, while the workers that it was for stood idle. Of two VMs one is kept, too.
 */
std::size_t countSlowProxies(const Scheduler& scheduler)
{
    return (scheduler.m_approvalProxies.size() + 1) / 3;
}

ApprovalProxy* chooseProxy(Scheduler& scheduler, const StepRun& run, Duration duration, TimePoint now)
{
    const bool isSlow = isSlowRequest(duration);
    const ProxyRange own = ownProxies(scheduler, run, isSlow);
    ApprovalProxy* best = nullptr;
    for (std::size_t i = own.m_first; i < own.m_end; ++i) {
        ApprovalProxy& proxy = scheduler.m_approvalProxies[i];
        if ((!best || proxy.m_busyUntil < best->m_busyUntil) && mayUse(scheduler, i, isSlow, now))
            best = &proxy;
    }
    const Duration longestWait = isSlow ? Duration { 0 } : maxQuickRequestWait;
    if (best && best->m_busyUntil <= now + longestWait)
        return best;
    ApprovalProxy* const unwanted = findUnwantedProxy(scheduler, own, duration, now);
    if (!unwanted && isSlow && own.m_first == sharedProxies(scheduler).m_first)
        noteSlowWait(scheduler);
    return unwanted;
}

void occupyProxy(ApprovalProxy& proxy, Duration duration, TimePoint now)
{
    proxy.m_busyUntil = std::max(proxy.m_busyUntil, now) + duration;
    if (!isSlowRequest(duration))
        return;
    proxy.m_slowUntil = proxy.m_busyUntil;
    proxy.m_slowLength = duration;
    proxy.m_isSlowWaiting = false;
}

void noteProxyOutcome(Scheduler& scheduler, const std::string& member, bool isAnswered, TimePoint now)
{
    constexpr Duration recentAnswer { 3'000 }; ///< Longer than a request takes until it fails.
    constexpr Duration firstHoldOut { 1'000 };
    constexpr std::uint32_t maxDoublings = 3;
    auto& proxies = scheduler.m_approvalProxies;
    const auto proxy = std::find_if(proxies.begin(), proxies.end(), [&](const ApprovalProxy& each) { return each.m_member == member; });
    if (proxy == proxies.end())
        return;
    if (isAnswered) {
        proxy->m_answeredAt = now;
        proxy->m_failures = 0;
        return;
    }
    const bool areOthersAnswered = std::any_of(proxies.begin(), proxies.end(), [&](const ApprovalProxy& each) { return &each != &*proxy && each.m_answeredAt.m_ms > 0 && now - each.m_answeredAt <= recentAnswer; });
    if (!areOthersAnswered)
        return;
    proxy->m_busyUntil = std::max(proxy->m_busyUntil, now + firstHoldOut * (std::int64_t { 1 } << std::min(proxy->m_failures, maxDoublings)));
    ++proxy->m_failures;
}

void reportProxies(const Scheduler& scheduler, TimePoint now)
{
    constexpr std::size_t maxNamed = 8;
    std::size_t slow = 0;
    std::size_t quick = 0;
    for (const StepRun* const run : scheduler.m_waitingSteps) {
        const auto& policy = queuePolicyOf(*run->m_job).m_approval;
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
