/** @file approvals.cpp Requests for approvals of steps, which VMs send for the leader, and the tickets in their answers. */
#include "process/scheduler/approvals.h"

#include "core/log_func.h"
#include "process/scheduler/approval_proxy.h"
#include "process/scheduler/better_place.h"
#include "process/scheduler/placement_cost.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "process/scheduler/share_order.h"
#include "request/plan_func.h"

#include <algorithm>

namespace bulrushloft::scheduler {

namespace detail {

    namespace {

        constexpr std::size_t maxNamedWorkers = 30; ///< Maximum number of workers named in one request; the objectives of jobs allow for the duration of such a request.
        constexpr Duration ticketExpiryMargin { 200 }; ///< Tickets are not used for this long before they expire.
        constexpr Duration roomHorizon { 3'000 }; ///< A step relies on approved workers that are expected to have room within this time.
        constexpr std::uint32_t maxParallelRequests = 3; ///< Slow requests of a step that may be under way at the same time.

        ApprovalMark markOf(const ApprovalState& state, WorkerIndex worker)
        {
            const auto index = static_cast<std::size_t>(worker);
            return index < state.m_marks.size() ? state.m_marks[index] : ApprovalMark::Unknown;
        }

        void setMark(ApprovalState& state, WorkerIndex worker, ApprovalMark mark)
        {
            const auto index = static_cast<std::size_t>(worker);
            if (index >= state.m_marks.size())
                state.m_marks.resize(index + 1, ApprovalMark::Unknown);
            state.m_marks[index] = mark;
        }

        /** @return Expected share of approved workers, from 0 to 1. */
        double approvalRateOf(const Scheduler& scheduler, const std::string& queue)
        {
            constexpr double priorNamed = 4;
            constexpr double priorApproved = 2;
            const auto found = scheduler.m_approvalRates.find(queue);
            const ApprovalRate rate = found == scheduler.m_approvalRates.end() ? ApprovalRate {} : found->second;
            return (rate.m_approved + priorApproved) / (rate.m_named + priorNamed);
        }

        /** @return Number of approved workers that leaves a blocked step a choice. */
        std::size_t wantedApprovals(const Scheduler& scheduler, const StepRun& run, const ApprovalNeed& need, const PoolView& view)
        {
            constexpr std::size_t choicePercent = 150;
            const Resources& capacity = scheduler.m_workers[static_cast<std::size_t>(view.m_workers.front())].m_announcement.m_capacity;
            const std::int64_t limit = planOf(run).m_perWorkerLimit > 0 ? planOf(run).m_perWorkerLimit : need.m_tasks;
            const auto perWorker = static_cast<std::size_t>(std::max<std::int64_t>(1, countFitting(grantOf(run), capacity, limit)));
            return (need.m_tasks * choicePercent / 100 + perWorker - 1) / perWorker + 1;
        }

        /** Collects approved workers that need a new ticket: those that are expected to have room when the answer arrives. */
        std::vector<WorkerIndex> findRenewals(const Scheduler& scheduler, const StepRun& run, const ApprovalNeed& need, PoolView& view, TimePoint now)
        {
            const bool isSlow = isSlowPolicy(need.m_policy);
            const bool isGang = planOf(run).m_isGang;
            // Slow requests are sent before the room appears, so that it can be used at once.
            const TimePoint answerAt = isSlow ? now + approvalRequestDuration(need.m_policy, need.m_tasks) : now;
            const bool waitsForReservations = isGang && isSlow && run.m_reservedReadyAt < farFuture;
            if (waitsForReservations && run.m_reservedReadyAt > answerAt)
                return {};
            // A name prolongs a slow request by little, so it also names workers that will have room while the new tickets are valid.
            const TimePoint lastRoomAt = isSlow ? answerAt + need.m_policy.m_validity / 2 : answerAt;
            std::vector<WorkerIndex> chosen;
            std::int64_t room = 0;
            bool isAnyDue = false;
            for (const auto& [worker, ticket] : run.m_approval.m_tickets) {
                const auto position = findPosition(scheduler, view, worker);
                const StepRun* const reservedFor = position ? view.m_reservedFor[*position] : nullptr;
                const bool isOpen = reservedFor == &run || (!reservedFor && !waitsForReservations);
                const TimePoint roomAt = position && isOpen ? expectedRoomAt(scheduler, view, *position, grantOf(run), now) : farFuture;
                if (roomAt > lastRoomAt)
                    continue;
                const bool isDue = roomAt <= answerAt;
                const std::int64_t fitting = std::max<std::int64_t>(1, countFitting(grantOf(run), view.m_free[*position], need.m_tasks));
                room += isDue ? fitting : 0;
                // More urgent steps with requests under way are going to use the room.
                const bool isClaimed = !isSlow && scheduler.m_workers[static_cast<std::size_t>(worker)].m_pendingNames >= fitting;
                if (ticket.m_isRenewalPending || isClaimed || hasTicket(run, worker, answerAt))
                    continue;
                chosen.push_back(worker);
                isAnyDue = isAnyDue || isDue;
            }
            if (!isAnyDue || (isGang && room < need.m_tasks)) // A gang can't start then anyway.
                chosen.clear();
            return chosen;
        }

        /** @return Number of further tasks of a step that its limit of tasks on one worker allows on a worker. */
        std::uint32_t remainingLimit(const StepRun& run, WorkerIndex worker)
        {
            const std::uint32_t limit = planOf(run).m_perWorkerLimit;
            const auto found = run.m_attemptsByWorker.find(worker);
            const std::uint32_t existing = found == run.m_attemptsByWorker.end() ? 0 : found->second;
            return limit == 0 ? UINT32_MAX : limit - std::min(limit, existing);
        }

        /**
         * Load: the store confirms the leader's records late, and the attempts that wait for theirs are forecast to end soon all that time.
         * On a full pool more urgent steps take the room that was forecast, hundreds of steps wait, and each must ask rarely.
         * @return Whether a task of the step has waited, and the step has sent no request, for longer than the forecasts reach on which it relies.
         */
        bool hasForecastFailed(const StepRun& run, TimePoint now)
        {
            const auto hasWaited = [&](const Task& task) { return task.m_resolution == TaskResolution::Open && task.m_phase == RunPhase::None && now - task.m_waitingSince > roomHorizon; };
            return now - run.m_approvalRequestedAt > roomHorizon && std::any_of(run.m_tasks.begin(), run.m_tasks.end(), hasWaited);
        }

        /** @return Number of approved workers on which a task of the step may soon start. Others have left, are full for long, or have reached the step's limit. */
        std::size_t countUsableApprovals(const Scheduler& scheduler, const StepRun& run, PoolView& view, TimePoint now)
        {
            return static_cast<std::size_t>(std::count_if(run.m_approval.m_tickets.begin(), run.m_approval.m_tickets.end(), [&](const auto& entry) {
                const auto position = findPosition(scheduler, view, entry.first);
                const bool isOpen = position && (!view.m_reservedFor[*position] || view.m_reservedFor[*position] == &run);
                return isOpen && remainingLimit(run, entry.first) > 0 && expectedRoomAt(scheduler, view, *position, grantOf(run), now) <= now + roomHorizon;
            }));
        }

        /** A worker that could be named in a request; those on which a task would end sooner, and then those that suit the step better, come first. */
        struct NameableWorker {
            TimePoint m_readyAt; ///< When it is expected to have room; later by some time for each other request that names it, and by the additional run time outside of the preferred rack.
            double m_cost = 0; ///< See costOf(); higher for each other request that names it.
            WorkerIndex m_worker = noWorker;

            auto operator<=>(const NameableWorker&) const = default;
        };

        /** Workers whose approval is unknown. */
        struct UnknownWorkers {
            std::vector<NameableWorker> m_workers; ///< Suitable workers that have room or will have some.
            std::size_t m_withRoom = 0; ///< Number of those that have room now.
        };

        /** @param isRoomNeeded Whether workers without room for a task now are left out. */
        UnknownWorkers findUnknown(const Scheduler& scheduler, const StepRun& run, const ApprovalNeed& need, PoolView& view, bool isRoomNeeded, TimePoint now)
        {
            constexpr Duration delayPerName { 300 };
            constexpr double costPerName = 1.0;
            UnknownWorkers unknown;
            const std::string preferredRack = preferredRackOf(scheduler, run, view, now);
            for (std::uint32_t i = 0; i < view.m_workers.size(); ++i) {
                if (isRoomNeeded && !fitsInto(grantOf(run), view.m_free[i]))
                    continue;
                const WorkerIndex index = view.m_workers[i];
                const Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
                const bool isFree = !view.m_reservedFor[i] || view.m_reservedFor[i] == &run;
                // The approval stays known beyond the reservation of others; a further request would take the whole base time again.
                if (markOf(run.m_approval, index) != ApprovalMark::Unknown || !(isFree || isSlowPolicy(need.m_policy)) || !isSuitable(run, worker))
                    continue;
                const TimePoint readyAt = expectedRoomAt(scheduler, view, i, grantOf(run), now);
                if (readyAt >= farFuture)
                    continue;
                unknown.m_withRoom += isFree && readyAt <= now ? 1 : 0;
                const Duration delay = (isSlowPolicy(need.m_policy) ? delayPerName * worker.m_pendingNames : Duration {}) + remoteDelayOf(scheduler, run, worker, preferredRack);
                unknown.m_workers.push_back({ .m_readyAt = readyAt + delay, .m_cost = costOf(scheduler, run, index, need.m_speedWeight) + costPerName * worker.m_pendingNames, .m_worker = index });
            }
            return unknown;
        }

        /** @return Number of workers that are named in any case, as they prolong a request by little; a further request would take the whole base time again. */
        std::size_t cheapNames(const ApprovalPolicy& policy)
        {
            constexpr double shareOfBaseTime = 0.2;
            return policy.m_callTimePerWorkerMs <= 0 ? maxNamedWorkers : static_cast<std::size_t>(policy.m_baseCallTimeMs * shareOfBaseTime / policy.m_callTimePerWorkerMs);
        }

        /** Chooses workers with unknown approval to name, as many as the step is expected to need. */
        std::vector<WorkerIndex> chooseUnknown(const Scheduler& scheduler, const StepRun& run, const ApprovalNeed& need, PoolView& view, TimePoint now, std::size_t limit)
        {
            constexpr std::size_t ampleMultiple = 2; ///< A step with this multiple of the wanted approvals waits for room on approved workers.
            constexpr std::size_t spareNames = 2;
            const double rate = approvalRateOf(scheduler, run.m_job->m_plan.m_queue);
            const std::size_t wanted = wantedApprovals(scheduler, run, need, view);
            const std::size_t usable = countUsableApprovals(scheduler, run, view, now);
            const double expected = static_cast<double>(usable) + run.m_approval.m_askedWorkers * rate;
            const bool isShort = expected < static_cast<double>(wanted);
            const bool isAmple = usable >= wanted * ampleMultiple;
            if (!isShort && (run.m_approval.m_askedWorkers > 0 || (isAmple && !hasForecastFailed(run, now))))
                return {};
            UnknownWorkers unknown = findUnknown(scheduler, run, need, view, !isShort && isAmple, now);
            const double missing = isShort ? static_cast<double>(wanted) - expected : static_cast<double>(wanted);
            const std::size_t sufficient = isSlowPolicy(need.m_policy) ? std::max(static_cast<std::size_t>(missing / rate) + spareNames, cheapNames(need.m_policy)) : maxNamedWorkers;
            const std::size_t count = std::min({ limit, isShort ? unknown.m_workers.size() : unknown.m_withRoom, sufficient });
            std::partial_sort(unknown.m_workers.begin(), unknown.m_workers.begin() + static_cast<std::ptrdiff_t>(count), unknown.m_workers.end());
            std::vector<WorkerIndex> chosen;
            for (std::size_t i = 0; i < count; ++i)
                chosen.push_back(unknown.m_workers[i].m_worker);
            return chosen;
        }

        /** Sends one request if a VM is free to do so. @param renewals Workers to renew tickets for. @param unknown Workers whose approval is unknown. @return Whether it was sent. */
        bool sendRequest(Scheduler& scheduler, StepRun& run, const ApprovalPolicy& policy, const std::vector<WorkerIndex>& renewals, const std::vector<WorkerIndex>& unknown, TimePoint now, SchedulerEffects& effects)
        {
            const std::size_t count = renewals.size() + unknown.size();
            const Duration duration = approvalRequestDuration(policy, count);
            ApprovalProxy* const proxy = count == 0 ? nullptr : chooseProxy(scheduler, run, duration, now);
            if (!proxy)
                return false;
            occupyProxy(*proxy, duration, now);
            countApprovalRequest(run, duration);
            run.m_approvalRequestedAt = now;
            ApprovalState& state = run.m_approval;
            ++state.m_pendingRequests;
            state.m_askedWorkers += static_cast<std::uint32_t>(unknown.size());
            ApprovalRequest request { .m_member = proxy->m_member, .m_step = nameOf({ &run, 0 }), .m_generation = state.m_generation, .m_workers = {} };
            const auto name = [&](WorkerIndex index) {
                Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
                ++worker.m_pendingNames;
                request.m_workers.push_back(worker.m_announcement.m_id);
            };
            for (const WorkerIndex index : renewals) {
                state.m_tickets.at(index).m_isRenewalPending = true;
                name(index);
            }
            for (const WorkerIndex index : unknown) {
                setMark(state, index, ApprovalMark::Asked);
                name(index);
            }
            ++scheduler.m_counters.m_approvalRequests;
            effects.m_approvalRequests.push_back(std::move(request));
            return true;
        }

        /** Sends the next request that a blocked step needs. @return Whether there was anything to request, and a VM free to do so. */
        bool sendNextRequest(Scheduler& scheduler, StepRun& run, const ApprovalNeed& need, PoolView& view, TimePoint now, SchedulerEffects& effects)
        {
            std::vector<WorkerIndex> renewals = findRenewals(scheduler, run, need, view, now);
            renewals.resize(std::min(renewals.size(), maxNamedWorkers));
            const std::vector<WorkerIndex> unknown = chooseUnknown(scheduler, run, need, view, now, maxNamedWorkers - renewals.size());
            return sendRequest(scheduler, run, need.m_policy, renewals, unknown, now, effects);
        }

        /** Applies the answer for one worker. @param ticket Null when the worker was denied, or the request failed. */
        void applyAnswer(ApprovalState& state, WorkerIndex worker, bool isAnswered, const Approval* approval, TimePoint usableUntil)
        {
            const bool wasAsked = markOf(state, worker) == ApprovalMark::Asked;
            state.m_askedWorkers -= wasAsked ? 1 : 0;
            if (const auto known = state.m_tickets.find(worker); known != state.m_tickets.end())
                known->second.m_isRenewalPending = false;
            if (!isAnswered) {
                if (wasAsked)
                    setMark(state, worker, ApprovalMark::Unknown);
                return;
            }
            setMark(state, worker, approval ? ApprovalMark::Approved : ApprovalMark::Denied);
            if (approval)
                state.m_tickets.insert_or_assign(worker, Ticket { .m_text = approval->m_ticket, .m_usableUntil = usableUntil });
            else
                state.m_tickets.erase(worker);
        }

    } // namespace

    Duration approvalRequestDuration(const ApprovalPolicy& policy, std::size_t workers)
    {
        return { static_cast<std::int64_t>(policy.m_baseCallTimeMs + policy.m_callTimePerWorkerMs * static_cast<double>(workers)) + 1 };
    }

    bool isSlowPolicy(const ApprovalPolicy& policy)
    {
        return isSlowRequest(approvalRequestDuration(policy, 1));
    }

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
        const std::uint32_t limit = isSlowPolicy(policy) ? maxParallelRequests : 1;
        return run.m_approval.m_pendingRequests < limit && now >= run.m_approval.m_nextRequestAt && chooseProxy(scheduler, run, approvalRequestDuration(policy, 1), now);
    }

    bool isStarvedOfApprovals(const StepRun& run, const ApprovalPolicy& policy, TimePoint now)
    {
        constexpr Duration longWait { 3'000 };
        const bool isWaiting = run.m_isApprovalRequestDelayed && run.m_approval.m_pendingRequests == 0;
        return isWaiting && isSlowPolicy(policy) && run.m_approvalRequestedAt.m_ms > 0 && now - run.m_approvalRequestedAt >= longWait;
    }

    void forgetTicket(StepRun& run, WorkerIndex worker)
    {
        run.m_approval.m_tickets.erase(worker);
        if (markOf(run.m_approval, worker) == ApprovalMark::Approved) // Otherwise the answer to a request under way tells, and ends its count.
            setMark(run.m_approval, worker, ApprovalMark::Unknown);
    }

    void expireTicket(StepRun& run, WorkerIndex worker, const std::string& text, TimePoint now)
    {
        const auto found = run.m_approval.m_tickets.find(worker);
        if (found != run.m_approval.m_tickets.end() && found->second.m_text == text)
            found->second.m_usableUntil = std::min(found->second.m_usableUntil, now - Duration { 1 });
    }

    std::vector<WorkerIndex> requestRenewals(Scheduler& scheduler, StepRun& run, const ApprovalPolicy& policy, std::vector<WorkerIndex> workers, TimePoint now, SchedulerEffects& effects)
    {
        workers.resize(std::min(workers.size(), maxNamedWorkers));
        if (!canRequestApprovals(scheduler, run, policy, now) || !sendRequest(scheduler, run, policy, workers, {}, now, effects))
            workers.clear();
        return workers;
    }

    void requestApprovals(Scheduler& scheduler, StepRun& run, const ApprovalNeed& need, PoolView& view, TimePoint now, SchedulerEffects& effects)
    {
        while (canRequestApprovals(scheduler, run, need.m_policy, now) && sendNextRequest(scheduler, run, need, view, now, effects)) { }
    }

} // namespace detail

void onApprovals(Scheduler& scheduler, const ApprovalRequest& request, const std::optional<std::vector<Approval>>& approvals, TimePoint now)
{
    for (const std::string& id : request.m_workers) {
        if (const auto found = scheduler.m_workerById.find(id); found != scheduler.m_workerById.end())
            --scheduler.m_workers[static_cast<std::size_t>(found->second)].m_pendingNames;
    }
    detail::noteProxyOutcome(scheduler, request.m_member, approvals.has_value(), now);
    const TaskRef ref = detail::findTask(scheduler, request.m_step);
    if (!ref.m_run)
        return;
    ApprovalState& state = ref.m_run->m_approval;
    const bool isCounted = request.m_generation == state.m_generation;
    state.m_pendingRequests -= isCounted && state.m_pendingRequests > 0 ? 1 : 0;
    ref.m_run->m_isChanged = true;
    scheduler.m_needsPlacing = true;
    logEvent(LogLevel::Info, "approval-request-ended", { { "step", format(request.m_step) }, { "sent_by", request.m_member }, { "workers_named", request.m_workers.size() }, { "approved", approvals ? static_cast<std::int64_t>(approvals->size()) : -1 } });
    constexpr Duration retryDelay { 150 };
    if (isCounted)
        state.m_nextRequestAt = approvals ? now : now + retryDelay;
    const auto& policy = detail::queuePolicyOf(*ref.m_run->m_job).m_approval;
    const TimePoint usableUntil = now + (policy ? policy->m_validity : Duration {}) - detail::ticketExpiryMargin;
    for (const std::string& id : request.m_workers) {
        const auto found = scheduler.m_workerById.find(id);
        if (found == scheduler.m_workerById.end())
            continue;
        const auto approval = approvals ? std::find_if(approvals->begin(), approvals->end(), [&](const Approval& row) { return row.m_worker == id; }) : std::vector<Approval>::const_iterator();
        const bool isApproved = approvals && approval != approvals->end();
        detail::applyAnswer(state, found->second, approvals.has_value(), isApproved ? &*approval : nullptr, usableUntil);
    }
    if (!approvals || !isCounted)
        return;
    ApprovalRate& rate = scheduler.m_approvalRates[ref.m_run->m_job->m_plan.m_queue];
    rate.m_named += static_cast<double>(request.m_workers.size());
    rate.m_approved += static_cast<double>(approvals->size());
}

} // namespace bulrushloft::scheduler
