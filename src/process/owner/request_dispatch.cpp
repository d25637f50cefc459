/** @file request_dispatch.cpp Queue of requests and their dispatch to runners. */
#include "process/owner/request_dispatch.h"

#include "core/invariant.h"
#include "core/log_func.h"
#include "process/owner/health_func.h"
#include "process/owner/owner_detail.h"
#include "request/runner_choice_func.h"

#include <algorithm>

namespace bulrushloft::detail {

namespace {

    constexpr double retryBudgetPerRequest = 0.1;
    constexpr double maxRetryBudget = 10;

    const ClassPolicy& classPolicyOf(const ShardOwner& owner, const RunCall& call)
    {
        static const ClassPolicy fallback;
        const auto found = owner.m_policy->m_classes.find(call.m_workClass);
        return found == owner.m_policy->m_classes.end() ? fallback : found->second;
    }

    std::vector<RunnerOffer> listOffers(const ShardOwner& owner, TimePoint now)
    {
        std::vector<RunnerOffer> offers;
        for (std::size_t index = 0; index < owner.m_runners.size(); ++index) {
            const Runner& runner = owner.m_runners[index];
            const auto inFlight = runner.m_reservedSlots + static_cast<std::uint32_t>(runner.m_foreignDispatches.size());
            if (acceptsRequests(owner, runner, now) && inFlight < runner.m_slots)
                offers.push_back({ .m_runner = index, .m_slots = runner.m_slots, .m_inFlight = inFlight, .m_serviceMs = runner.m_serviceMs });
        }
        return offers;
    }

    void openDispatch(ShardOwner& owner, RequestRun& request, std::size_t index)
    {
        Runner& runner = owner.m_runners[index];
        request.m_runner = index;
        request.m_dispatch = request.m_call.m_key + "#" + std::to_string(owner.m_state.m_epoch.m_value) + "." + std::to_string(++owner.m_lastDispatch);
        ++runner.m_reservedSlots;
        BULRUSH_INVARIANT(runner.m_reservedSlots <= runner.m_slots, "a runner has no more requests in flight than slots");
        owner.m_dispatches[request.m_dispatch] = { .m_key = request.m_call.m_key, .m_runner = index, .m_boot = runner.m_boot, .m_isInFlight = true, .m_holdsSlot = true };
    }

    /** Removes and returns the next key of a lane, from the team with the fewest requests in flight relative to its weight. */
    std::string popNextKey(ShardOwner& owner, RequestLane& lane)
    {
        auto best = lane.m_byTeam.begin();
        double bestShare = 0;
        for (auto team = lane.m_byTeam.begin(); team != lane.m_byTeam.end(); ++team) {
            const auto policy = owner.m_policy->m_teams.find(team->first);
            const std::int64_t weight = policy == owner.m_policy->m_teams.end() ? 1 : std::max<std::int64_t>(policy->second.m_weight, 1);
            const auto waiting = static_cast<std::int64_t>(team->second.size());
            const double share = static_cast<double>(owner.m_teams[team->first].m_requests - waiting) / static_cast<double>(weight);
            if (team == lane.m_byTeam.begin() || share < bestShare) {
                best = team;
                bestShare = share;
            }
        }
        std::string key = std::move(best->second.front());
        best->second.pop_front();
        if (best->second.empty())
            lane.m_byTeam.erase(best);
        --owner.m_queuedRequests;
        return key;
    }

    /** Chooses a runner, preferably one on which no earlier dispatch of the request was unsuccessful. */
    std::size_t pickRunner(ShardOwner& owner, const RequestRun& request, const std::vector<RunnerOffer>& offers)
    {
        std::vector<RunnerOffer> untried;
        for (const RunnerOffer& offer : offers) {
            if (std::find(request.m_triedRunners.begin(), request.m_triedRunners.end(), offer.m_runner) == request.m_triedRunners.end())
                untried.push_back(offer);
        }
        const std::vector<RunnerOffer>& candidates = untried.empty() ? offers : untried;
        const std::size_t chosen = chooseRunner(candidates, RunnerPolicy::ExpectedLatency, owner.m_lastDispatch, owner.m_random);
        return chosen == noRunner ? noRunner : candidates[chosen].m_runner;
    }

    void startRequest(ShardOwner& owner, RequestRun& request, std::size_t runner, TimePoint now, Effects& effects)
    {
        openDispatch(owner, request, runner);
        if (request.m_call.m_isIdempotent)
            return dispatch(owner, request, now, effects);
        request.m_phase = RequestPhase::Journaling;
        const Runner& chosen = owner.m_runners[runner];
        queueRecord(owner, IntendRequestRecord { .m_key = request.m_call.m_key, .m_digest = request.m_digest, .m_runner = chosen.m_name + "/" + std::to_string(chosen.m_boot), .m_dispatch = request.m_dispatch });
    }

} // namespace

bool acceptsRequests(const ShardOwner& owner, const Runner& runner, TimePoint now)
{
    return runner.m_link == LinkState::Adopted && runner.m_isListed && runner.m_vm.m_state == VmState::Live && !runner.m_hasReportedLeaving
        && !owner.m_policy->m_drained.contains(runner.m_name) && isHealthy(runner, now);
}

void enqueue(ShardOwner& owner, RequestRun& request)
{
    request.m_phase = RequestPhase::Queued;
    RequestLane& lane = owner.m_requestLanes[classPolicyOf(owner, request.m_call).m_priority];
    lane.m_byTeam[request.m_call.m_team].push_back(request.m_call.m_key);
    ++owner.m_queuedRequests;
}

void removeFromLane(ShardOwner& owner, const RequestRun& request)
{
    const auto lane = owner.m_requestLanes.find(classPolicyOf(owner, request.m_call).m_priority);
    if (request.m_phase != RequestPhase::Queued || lane == owner.m_requestLanes.end())
        return;
    const auto team = lane->second.m_byTeam.find(request.m_call.m_team);
    if (team == lane->second.m_byTeam.end())
        return;
    owner.m_queuedRequests -= std::erase(team->second, request.m_call.m_key);
    if (team->second.empty())
        lane->second.m_byTeam.erase(team);
}

void closeDispatch(ShardOwner& owner, const std::string& id)
{
    const auto open = owner.m_dispatches.find(id);
    if (open == owner.m_dispatches.end())
        return;
    if (open->second.m_holdsSlot)
        --owner.m_runners[open->second.m_runner].m_reservedSlots;
    owner.m_dispatches.erase(open);
}

void dispatch(ShardOwner& owner, RequestRun& request, TimePoint now, Effects& effects)
{
    Runner& runner = owner.m_runners[request.m_runner];
    DispatchCall call;
    call.m_token = { .m_epoch = owner.m_state.m_epoch, .m_generation = runner.m_generation };
    call.m_boot = runner.m_boot;
    call.m_dispatch = request.m_dispatch;
    call.m_timeLimit = request.m_deadline - now;
    call.m_validUntil = runner.m_reportedClock + (now - runner.m_earliestClockReadAt) + owner.m_options.m_dispatchValidity;
    call.m_target = request.m_call.m_target;
    call.m_body = request.m_call.m_body;
    request.m_phase = RequestPhase::Dispatched;
    request.m_dispatchedAt = now;
    request.m_dispatchStoppedBy = now + owner.m_options.m_dispatchValidity + call.m_timeLimit;
    request.m_mayHaveRun = true;
    ++request.m_dispatches;
    ++owner.m_counters.m_dispatches;
    if (request.m_dispatches == 1) {
        owner.m_retryBudget = std::min(owner.m_retryBudget + retryBudgetPerRequest, maxRetryBudget);
        owner.m_observations.push_back({ .m_span = ObservedSpan::RequestWait, .m_team = request.m_call.m_team, .m_workClass = request.m_call.m_workClass, .m_seconds = static_cast<double>((now - request.m_arrivedAt).m_ms) / 1000.0 });
    }
    logEvent(LogLevel::Debug, "request-dispatched", { { "request", request.m_call.m_key }, { "dispatch", request.m_dispatch }, { "runner", runner.m_name }, { "daemon", owner.m_options.m_member }, { "attempt", request.m_call.m_attempt } });
    effects.m_dispatches.push_back({ .m_link = runnerLink(owner, runner), .m_call = std::move(call), .m_sentAt = now });
}

void dispatchRequests(ShardOwner& owner, TimePoint now, Effects& effects)
{
    if (owner.m_queuedRequests == 0 || owner.m_isReleasing || now < owner.m_pausedUntil || !mayStartWorkUnjournaled(owner, now))
        return;
    std::vector<RunnerOffer> offers = listOffers(owner, now);
    while (!offers.empty() && !owner.m_requestLanes.empty()) {
        const auto lane = owner.m_requestLanes.begin();
        if (lane->second.m_byTeam.empty()) {
            owner.m_requestLanes.erase(lane);
            continue;
        }
        const std::string key = popNextKey(owner, lane->second);
        const auto found = owner.m_requests.find(key);
        if (found == owner.m_requests.end() || found->second.m_phase != RequestPhase::Queued)
            continue;
        startRequest(owner, found->second, pickRunner(owner, found->second, offers), now, effects);
        offers = listOffers(owner, now);
    }
}

} // namespace bulrushloft::detail
