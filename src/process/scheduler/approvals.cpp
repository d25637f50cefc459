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

        ApprovalMark markOf(const StepRun& run, WorkerIndex worker)
        {
            const auto index = static_cast<std::size_t>(worker);
            return index < run.m_approval.m_marks.size() ? run.m_approval.m_marks[index] : ApprovalMark::Unknown;
        }

        void setMark(ApprovalState& state, WorkerIndex worker, ApprovalMark mark)
        {
            const auto index = static_cast<std::size_t>(worker);
            if (index >= state.m_marks.size())
                state.m_marks.resize(index + 1, ApprovalMark::Unknown);
            state.m_marks[index] = mark;
        }

        /** Collects the approved workers whose ticket is not valid at the time. */
        std::vector<WorkerIndex> findExpiringTickets(const StepRun& run, bool isSlow, const PoolView& view, const std::vector<std::uint32_t>& withRoom, TimePoint usableAt)
        {
            std::vector<WorkerIndex> chosen;
            const auto isExpiring = [&](WorkerIndex worker) { return markOf(run, worker) == ApprovalMark::Approved && !hasTicket(run, worker, usableAt); };
            for (const std::uint32_t position : withRoom) {
                if (isExpiring(view.m_workers[position]))
                    chosen.push_back(view.m_workers[position]);
            }
            // A quick request can wait until the worker has room; a slow one has to be sent ahead of time.
            for (std::size_t i = 0; isSlow && i < view.m_workers.size(); ++i) {
                const WorkerIndex worker = view.m_workers[i];
                if (isExpiring(worker) && std::find(chosen.begin(), chosen.end(), worker) == chosen.end())
                    chosen.push_back(worker);
            }
            return chosen;
        }

        /**
         * Chooses the workers to name in a request: approved ones whose ticket needs a renewal, then those with unknown approval, first the ones with room.
         * @param usableAt Time at which a ticket must still be valid to need no renewal.
         */
        std::vector<WorkerIndex> chooseWorkersToName(const Scheduler& scheduler, const StepRun& run, bool isSlow, const PoolView& view, const std::vector<std::uint32_t>& withRoom, TimePoint usableAt)
        {
            std::vector<WorkerIndex> chosen = findExpiringTickets(run, isSlow, view, withRoom, usableAt);
            const std::size_t renewals = chosen.size();
            for (const std::uint32_t position : withRoom) {
                if (markOf(run, view.m_workers[position]) == ApprovalMark::Unknown)
                    chosen.push_back(view.m_workers[position]);
            }
            constexpr std::size_t minApprovedWorkers = 3;
            const bool hasUnknownWithRoom = chosen.size() > renewals;
            const std::size_t approved = run.m_approval.m_tickets.size();
            for (std::size_t i = 0; (hasUnknownWithRoom || approved < minApprovedWorkers) && i < view.m_workers.size() && chosen.size() < maxNamedWorkers; ++i) {
                const WorkerIndex worker = view.m_workers[i];
                const bool isFull = std::find(chosen.begin() + static_cast<std::ptrdiff_t>(renewals), chosen.end(), worker) == chosen.end();
                if (isFull && markOf(run, worker) == ApprovalMark::Unknown && isSuitable(run, scheduler.m_workers[static_cast<std::size_t>(worker)]))
                    chosen.push_back(worker);
            }
            if (chosen.size() > maxNamedWorkers)
                chosen.resize(maxNamedWorkers);
            return chosen;
        }

    } // namespace

    bool hasTicket(const StepRun& run, WorkerIndex worker, TimePoint time)
    {
        const auto found = run.m_approval.m_tickets.find(worker);
        return found != run.m_approval.m_tickets.end() && time <= found->second.m_usableUntil;
    }

    bool isSuitable(const StepRun& run, const Worker& worker)
    {
        const std::string& label = planOf(run).m_label;
        const auto& labels = worker.m_announcement.m_labels;
        return (label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end()) && fitsInto(grantOf(run), worker.m_announcement.m_capacity);
    }

    bool canRequestApprovals(Scheduler& scheduler, const StepRun& run, const ApprovalPolicy& policy, TimePoint now)
    {
        return !run.m_approval.m_isRequestPending && now >= run.m_approval.m_nextRequestAt && chooseProxy(scheduler, requestDuration(policy, 1), now);
    }

    void requestApprovals(Scheduler& scheduler, StepRun& run, const ApprovalPolicy& policy, const PoolView& view, const std::vector<std::uint32_t>& withRoom, TimePoint now, SchedulerEffects& effects)
    {
        const Duration shortest = requestDuration(policy, 1);
        const bool isSlow = shortest > slowRequestThreshold;
        // Slow requests are repeated before the tickets expire, so that resources can be used as soon as they become free.
        const TimePoint usableAt = isSlow ? now + shortest : now;
        const std::vector<WorkerIndex> named = chooseWorkersToName(scheduler, run, isSlow, view, withRoom, usableAt);
        const Duration duration = requestDuration(policy, named.size());
        ApprovalProxy* const proxy = named.empty() ? nullptr : chooseProxy(scheduler, duration, now);
        if (!proxy)
            return;
        proxy->m_busyUntil = std::max(proxy->m_busyUntil, now) + duration;
        run.m_approval.m_isRequestPending = true;
        run.m_approval.m_nextRequestAt = proxy->m_busyUntil + answerTimeoutMargin;
        ApprovalRequest request { .m_member = proxy->m_member, .m_step = nameOf({ &run, 0 }), .m_workers = {} };
        for (const WorkerIndex worker : named)
            request.m_workers.push_back(scheduler.m_workers[static_cast<std::size_t>(worker)].m_announcement.m_id);
        ++scheduler.m_counters.m_approvalRequests;
        effects.m_approvalRequests.push_back(std::move(request));
    }

} // namespace detail

void onApprovals(Scheduler& scheduler, const ApprovalRequest& request, const std::optional<std::vector<Approval>>& approvals, TimePoint now)
{
    const TaskRef ref = detail::findTask(scheduler, request.m_step);
    if (!ref.m_run)
        return;
    ApprovalState& state = ref.m_run->m_approval;
    state.m_isRequestPending = false;
    ref.m_run->m_isChanged = true;
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
        detail::setMark(state, found->second, approval == approvals->end() ? ApprovalMark::Denied : ApprovalMark::Approved);
        if (approval == approvals->end())
            state.m_tickets.erase(found->second);
        else
            state.m_tickets.insert_or_assign(found->second, Ticket { .m_text = approval->m_ticket, .m_usableUntil = now + validity - detail::ticketExpiryMargin });
    }
}

} // namespace bulrushloft::scheduler
