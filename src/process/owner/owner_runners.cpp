/** @file owner_runners.cpp The shard owner's links to its runners: adoption, probes and their reports on dispatches. */
#include "process/owner/owner_detail.h"

#include "core/log_func.h"

#include <algorithm>

namespace bulrushloft {

namespace detail {

    namespace {

        constexpr Duration probeInterval { 2'000 };
        constexpr Duration resolveProbeInterval { 100 };
        constexpr Duration minAdoptionRetryDelay { 200 };
        constexpr Duration maxAdoptionRetryDelay { 5'000 };

        FencingToken tokenOf(const ShardOwner& owner, const Runner& runner)
        {
            return { .m_epoch = owner.m_state.m_epoch, .m_generation = runner.m_generation };
        }

        /** @return Ids of the dispatches to a runner that are not in flight and whose outcome only the runner can report. */
        std::vector<std::string> unresolvedDispatchesOf(const ShardOwner& owner, std::size_t index)
        {
            std::vector<std::string> ids;
            for (const auto& [id, dispatch] : owner.m_dispatches) {
                if (dispatch.m_runner == index && !dispatch.m_isInFlight)
                    ids.push_back(id);
            }
            return ids;
        }

        void adopt(ShardOwner& owner, std::size_t index, Effects& effects)
        {
            Runner& runner = owner.m_runners[index];
            runner.m_link = LinkState::Adopting;
            runner.m_isProbeInFlight = false;
            ++runner.m_generation;
            effects.m_runnerAdoptions.push_back({ .m_link = runnerLink(owner, runner), .m_call = { .m_token = tokenOf(owner, runner), .m_queriedIds = unresolvedDispatchesOf(owner, index) } });
        }

        void probe(ShardOwner& owner, std::size_t index, const std::vector<std::string>& queriedIds, TimePoint now, Effects& effects)
        {
            Runner& runner = owner.m_runners[index];
            runner.m_isProbeInFlight = true;
            runner.m_retryAt = now + probeInterval;
            effects.m_runnerProbes.push_back({ .m_link = runnerLink(owner, runner), .m_call = { .m_token = tokenOf(owner, runner), .m_queriedIds = queriedIds, .m_cancelledIds = queriedIds } });
        }

        /** Resolves all dispatches to a runner as lost; called when its VM is gone, so that nothing runs on it any more. */
        void resolveAllAsLost(ShardOwner& owner, std::size_t index, TimePoint now, Effects& effects)
        {
            for (const std::string& id : unresolvedDispatchesOf(owner, index))
                resolveDispatch(owner, id, std::nullopt, now, effects);
            owner.m_runners[index].m_foreignDispatches.clear();
        }

        void stepLink(ShardOwner& owner, std::size_t index, TimePoint now, Effects& effects)
        {
            Runner& runner = owner.m_runners[index];
            if (runner.m_isListed && runner.m_vm.m_state == VmState::Gone)
                return resolveAllAsLost(owner, index, now, effects);
            if (!runner.m_isListed || owner.m_isReleasing)
                return;
            if (runner.m_link == LinkState::Down && now >= runner.m_retryAt)
                return adopt(owner, index, effects);
            if (runner.m_link != LinkState::Adopted || runner.m_isProbeInFlight)
                return;
            const std::vector<std::string> queriedIds = unresolvedDispatchesOf(owner, index);
            const bool hasUnresolved = !queriedIds.empty() || !runner.m_foreignDispatches.empty();
            const TimePoint dueAt = hasUnresolved ? runner.m_retryAt - probeInterval + resolveProbeInterval : runner.m_retryAt;
            if (now >= dueAt)
                probe(owner, index, queriedIds, now, effects);
        }

        void applyReport(ShardOwner& owner, std::size_t index, const RunnerReport& report, TimePoint sentAt, TimePoint now, Effects& effects)
        {
            Runner& runner = owner.m_runners[index];
            const bool hasRestarted = runner.m_boot != 0 && runner.m_boot != report.m_boot;
            runner.m_boot = report.m_boot;
            runner.m_slots = report.m_slots;
            runner.m_hasReportedLeaving = report.m_isLeaving;
            runner.m_reportedClock = report.m_clock;
            runner.m_earliestClockReadAt = sentAt;
            runner.m_retryAt = now + probeInterval;
            if (hasRestarted)
                logEvent(LogLevel::Info, "runner-restarted", { { "runner", runner.m_name } });
            runner.m_foreignDispatches.clear();
            for (const std::string& id : report.m_inFlight) {
                const auto open = owner.m_dispatches.find(id);
                const bool holdsSlot = open != owner.m_dispatches.end() && open->second.m_holdsSlot;
                if (!holdsSlot)
                    runner.m_foreignDispatches.insert(id);
            }
            for (const std::string& id : unresolvedDispatchesOf(owner, index)) {
                if (owner.m_dispatches.at(id).m_boot != report.m_boot)
                    resolveDispatch(owner, id, std::nullopt, now, effects);
            }
            for (const DispatchReport& state : report.m_states) {
                const auto open = owner.m_dispatches.find(state.m_dispatch);
                const bool isUnanswered = open != owner.m_dispatches.end() && open->second.m_runner == index && !open->second.m_isInFlight;
                if (isUnanswered && state.m_state != DispatchState::Running)
                    resolveDispatch(owner, state.m_dispatch, state.m_state, now, effects);
            }
        }

        void onLinkFailure(ShardOwner& owner, Runner& runner, const EndpointFailure& failure, TimePoint now)
        {
            const bool isSuperseded = failure.m_staleToken && failure.m_staleToken->m_highest.m_epoch > owner.m_state.m_epoch;
            if (isSuperseded)
                owner.m_reader.m_isReadDue = true;
            dropRunnerLink(runner, now);
        }

    } // namespace

    EndpointLink runnerLink(const ShardOwner& owner, const Runner& runner)
    {
        return { .m_shard = owner.m_state.m_shard, .m_name = runner.m_name, .m_address = runner.m_vm.m_address, .m_token = tokenOf(owner, runner) };
    }

    void dropRunnerLink(Runner& runner, TimePoint now)
    {
        if (runner.m_link == LinkState::Down)
            return;
        runner.m_link = LinkState::Down;
        runner.m_retryAt = now + std::min(minAdoptionRetryDelay * (1LL << std::min<std::uint32_t>(runner.m_failedAdoptions, 6)), maxAdoptionRetryDelay);
        ++runner.m_failedAdoptions;
    }

    std::size_t findOrAddRunner(ShardOwner& owner, const std::string& name)
    {
        const auto [found, isNew] = owner.m_runnerIndex.try_emplace(name, owner.m_runners.size());
        if (isNew) {
            owner.m_runners.emplace_back();
            owner.m_runners.back().m_name = name;
        }
        return found->second;
    }

    void stepRunners(ShardOwner& owner, TimePoint now, Effects& effects)
    {
        for (std::size_t index = 0; index < owner.m_runners.size(); ++index)
            stepLink(owner, index, now, effects);
    }

} // namespace detail

void onRunnerAdopted(ShardOwner& owner, const AdoptRunnerEffect& sent, const EndpointResult<RunnerReport>& result, TimePoint now, TimePoint sentAt, Effects& effects)
{
    const auto found = owner.m_runnerIndex.find(sent.m_link.m_name);
    if (owner.m_isTermOver || found == owner.m_runnerIndex.end())
        return;
    Runner& runner = owner.m_runners[found->second];
    const bool isCurrent = runner.m_link == LinkState::Adopting && sent.m_link.m_token == detail::tokenOf(owner, runner);
    if (!isCurrent)
        return;
    if (!result)
        return detail::onLinkFailure(owner, runner, result.error(), now);
    runner.m_link = LinkState::Adopted;
    runner.m_failedAdoptions = 0;
    detail::applyReport(owner, found->second, *result, sentAt, now, effects);
}

void onRunnerProbed(ShardOwner& owner, const ProbeRunnerEffect& sent, const EndpointResult<RunnerReport>& result, TimePoint now, TimePoint sentAt, Effects& effects)
{
    const auto found = owner.m_runnerIndex.find(sent.m_link.m_name);
    if (owner.m_isTermOver || found == owner.m_runnerIndex.end())
        return;
    Runner& runner = owner.m_runners[found->second];
    const bool isCurrent = runner.m_link == LinkState::Adopted && sent.m_link.m_token == detail::tokenOf(owner, runner);
    if (!isCurrent)
        return;
    runner.m_isProbeInFlight = false;
    if (!result)
        return detail::onLinkFailure(owner, runner, result.error(), now);
    detail::applyReport(owner, found->second, *result, sentAt, now, effects);
}

} // namespace bulrushloft
