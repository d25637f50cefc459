/** @file approvals.cpp Requests for approvals of steps, which VMs send for the leader, and the tickets in their answers. */
#include "process/scheduler/approvals.h"

#include "core/log_func.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_func.h"

#include <algorithm>

namespace bulrushloft::scheduler {

namespace detail {

    namespace {

        constexpr std::size_t maxNamedWorkers = 30; ///< Maximum number of workers named in one request; the objectives of jobs allow for the duration of such a request.
        constexpr Duration slowRequestThreshold { 100 }; ///< A request that is expected to take longer is slow; it does not use the VMs that are reserved for quick requests.
        constexpr Duration maxQuickRequestWait { 60 }; ///< How long a quick request may wait for its VM; a slow one is sent only if a VM is free.
        constexpr Duration ticketExpiryMargin { 200 }; ///< Tickets are not used for this long before they expire.
        constexpr Duration answerTimeoutMargin { 400 }; ///< A request that takes this much longer than expected counts as failed.

        /**
         * Chooses the VM that sends a request.
         * @param duration Expected duration of the request.
         * @return The VM that is free soonest, or null when none is free soon enough.
         */
        ApprovalProxy* chooseProxy(Scheduler& scheduler, Duration duration, TimePoint now)
        {
            const bool isSlow = duration > slowRequestThreshold;
            const std::size_t reserved = scheduler.m_approvalProxies.size() > 1 ? (scheduler.m_approvalProxies.size() + 2) / 3 : 0;
            ApprovalProxy* best = nullptr;
            for (std::size_t i = isSlow ? reserved : 0; i < scheduler.m_approvalProxies.size(); ++i) {
                ApprovalProxy& proxy = scheduler.m_approvalProxies[i];
                if (!best || proxy.m_busyUntil < best->m_busyUntil)
                    best = &proxy;
            }
            const Duration longestWait = isSlow ? Duration { 0 } : maxQuickRequestWait;
            return best && best->m_busyUntil <= now + longestWait ? best : nullptr;
        }

        /** @return Expected duration of a request that names this many workers. */
        Duration requestDuration(const ApprovalPolicy& policy, std::size_t workers)
        {
            return { static_cast<std::int64_t>(policy.m_baseCallTimeMs + policy.m_callTimePerWorkerMs * static_cast<double>(workers)) + 1 };
        }

        /**
         * Chooses the workers to name in a request: those with unknown approval, and approved ones whose ticket needs a renewal.
         * @param usableAt Time at which a ticket must still be valid to need no renewal.
         */
        std::vector<WorkerIndex> chooseWorkersToName(const StepRun& run, bool isSlow, const std::vector<WorkerIndex>& fitting, std::size_t withRoom, TimePoint usableAt)
        {
            std::vector<WorkerIndex> chosen;
            std::vector<WorkerIndex> unknown;
            bool hasUnknownWithRoom = false;
            for (std::size_t i = 0; i < fitting.size(); ++i) {
                const WorkerIndex worker = fitting[i];
                if (run.m_approval.m_denied.contains(worker) || hasTicket(run, worker, usableAt))
                    continue;
                const bool hasRoom = i < withRoom;
                if (run.m_approval.m_approved.contains(worker)) {
                    // A quick request can wait until the worker has room; a slow one has to be sent ahead of time.
                    if (hasRoom || isSlow)
                        chosen.push_back(worker);
                } else {
                    unknown.push_back(worker);
                    hasUnknownWithRoom = hasUnknownWithRoom || hasRoom;
                }
            }
            constexpr std::size_t minApprovedWorkers = 3;
            const bool needsMore = hasUnknownWithRoom || run.m_approval.m_approved.size() < minApprovedWorkers;
            if (needsMore)
                chosen.insert(chosen.end(), unknown.begin(), unknown.end());
            if (chosen.size() > maxNamedWorkers)
                chosen.resize(maxNamedWorkers);
            return chosen;
        }

    } // namespace

    bool hasTicket(const StepRun& run, WorkerIndex worker, TimePoint time)
    {
        const auto found = run.m_approval.m_approved.find(worker);
        return found != run.m_approval.m_approved.end() && time <= found->second.second;
    }

    bool requestApprovals(Scheduler& scheduler, StepRun& run, const ApprovalPolicy& policy, const std::vector<WorkerIndex>& fitting, std::size_t withRoom, TimePoint now, SchedulerEffects& effects)
    {
        if (run.m_approval.m_isRequestPending || now < run.m_approval.m_nextRequestAt)
            return false;
        const bool isSlow = requestDuration(policy, 1) > slowRequestThreshold;
        // Slow requests are repeated before the tickets expire, so that resources can be used as soon as they become free.
        const TimePoint usableAt = isSlow ? now + requestDuration(policy, 1) : now;
        const std::vector<WorkerIndex> named = chooseWorkersToName(run, isSlow, fitting, withRoom, usableAt);
        if (named.empty())
            return false;
        const Duration duration = requestDuration(policy, named.size());
        ApprovalProxy* const proxy = chooseProxy(scheduler, duration, now);
        if (!proxy)
            return false;
        proxy->m_busyUntil = std::max(proxy->m_busyUntil, now) + duration;
        run.m_approval.m_isRequestPending = true;
        run.m_approval.m_nextRequestAt = proxy->m_busyUntil + answerTimeoutMargin;
        ApprovalRequest request { .m_member = proxy->m_member, .m_step = nameOf({ &run, 0 }), .m_workers = {} };
        for (const WorkerIndex worker : named)
            request.m_workers.push_back(scheduler.m_workers[static_cast<std::size_t>(worker)].m_announcement.m_id);
        ++scheduler.m_counters.m_approvalRequests;
        effects.m_approvalRequests.push_back(std::move(request));
        return true;
    }

} // namespace detail

void onApprovals(Scheduler& scheduler, const ApprovalRequest& request, const std::optional<std::vector<Approval>>& approvals, TimePoint now)
{
    const TaskRef ref = detail::findTask(scheduler, request.m_step);
    if (!ref.m_run)
        return;
    ApprovalState& state = ref.m_run->m_approval;
    state.m_isRequestPending = false;
    scheduler.m_needsPlacing = true;
    logEvent(LogLevel::Info, "approval-request-ended", { { "step", format(request.m_step) }, { "sent_by", request.m_member }, { "workers_named", request.m_workers.size() }, { "approved", approvals ? static_cast<std::int64_t>(approvals->size()) : -1 } });
    if (!approvals) {
        constexpr Duration retryDelay { 150 };
        state.m_nextRequestAt = now + retryDelay;
        return;
    }
    state.m_nextRequestAt = now;
    const auto& policy = detail::queueOf(scheduler, *ref.m_run->m_job).m_approval;
    const Duration validity = policy ? policy->m_validity : Duration {};
    for (const std::string& id : request.m_workers) {
        const auto found = scheduler.m_workerById.find(id);
        if (found == scheduler.m_workerById.end())
            continue;
        const auto approval = std::find_if(approvals->begin(), approvals->end(), [&](const Approval& row) { return row.m_worker == id; });
        if (approval == approvals->end())
            state.m_denied.insert(found->second);
        else
            state.m_approved.insert_or_assign(found->second, std::pair { approval->m_ticket, now + validity - detail::ticketExpiryMargin });
    }
}

} // namespace bulrushloft::scheduler
