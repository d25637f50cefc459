/** @file node_calls.cpp Routes callers' calls to the owner of their shard, and again when the owner changes. */
#include "process/node/node_detail.h"

#include "core/log_func.h"
#include "process/node/member_func.h"
#include "process/owner/owner_detail.h"
#include "process/owner/owner_func.h"
#include "process/owner/ownership_func.h"

#include <algorithm>

namespace bulrushloft {

namespace detail {

    namespace {

        constexpr Duration rerouteDelay { 30 }; ///< Delay before a call is routed again after its shard has moved.
        constexpr Duration failureDelay { 100 }; ///< Delay before a call is routed again after it had no known owner or could not be forwarded.
        constexpr Duration ownerAnswerMargin { 200 }; ///< Time past the deadline of a call during which its owner may still answer.
        constexpr Duration retryHint { 1'000 }; ///< Time after which callers are advised to retry.

        void setTimer(Node& node, CallerToken caller, PendingCall& call, TimePoint at)
        {
            call.m_timerAt = at;
            node.m_callTimers.emplace(at, caller);
        }

        /** @return The call to send; marked as a retry when an owner may have acted on it, so that the next owner looks for the first attempt. */
        CallerCall makeAttempt(const PendingCall& pending, TimePoint now)
        {
            CallerCall call = pending.m_call;
            if (auto* const submit = std::get_if<SubmitCall>(&call); submit && pending.m_mayHaveReachedOwner)
                submit->m_attempt = std::max<std::uint32_t>(submit->m_attempt, 2);
            auto* const run = std::get_if<RunCall>(&call);
            if (!run)
                return call;
            run->m_deadline = pending.m_deadline - now;
            if (!pending.m_mayHaveReachedOwner)
                return call;
            run->m_attempt = std::max<std::uint32_t>(run->m_attempt, 2);
            const Duration waited = now - pending.m_arrivedAt;
            run->m_age = run->m_age ? *run->m_age + waited : waited;
            return call;
        }

        /** @return Outcome to report for an unanswered call: NotRun if no attempt can have reached an owner, else Unknown. */
        RunOutcome outcomeOf(const PendingCall& pending)
        {
            return pending.m_mayHaveReachedOwner || isRetry(pending.m_call) ? RunOutcome::Unknown : RunOutcome::NotRun;
        }

        Error noOwnerError(const std::string& shard)
        {
            return { ErrorKind::Unavailable, "shard " + shard + " has no owner at the moment", "retry the call" };
        }

        void answerTimedOut(PendingCall& pending, CallerToken caller, Effects& effects)
        {
            const std::string shard = shardOf(pending.m_call, 1);
            if (!pending.m_mayHaveReachedOwner)
                return answerError(effects, caller, noOwnerError(shard), outcomeOf(pending), retryHint);
            const Error error { ErrorKind::TimedOut, "the owner of the shard did not answer in time", "retry with the same key to learn the outcome" };
            answerError(effects, caller, error, RunOutcome::Unknown, retryHint);
        }

        std::optional<std::string> findShard(const Node& node, const CallerCall& call)
        {
            const auto pool = poolOf(call);
            if (!pool)
                return std::nullopt;
            const auto policy = node.m_policy->m_pools.find(*pool);
            if (policy == node.m_policy->m_pools.end())
                return std::nullopt;
            const std::string shard = shardOf(call, policy->second.m_shards);
            return node.m_shards.contains(shard) ? std::optional(shard) : std::nullopt;
        }

        std::string listPools(const Node& node)
        {
            std::string names;
            for (const auto& [name, pool] : node.m_policy->m_pools)
                names += (names.empty() ? "" : ", ") + name;
            return names.empty() ? "none are configured" : names;
        }

        void onCellCall(const Node& node, CallerToken caller, TimePoint now, Effects& effects)
        {
            CellAnswer answer { .m_member = node.m_options.m_member };
            answer.m_members.push_back({ .m_name = node.m_options.m_member, .m_address = format(node.m_options.m_address), .m_zone = node.m_options.m_zone, .m_state = std::string(nameOf(node.m_memberState)), .m_instance = node.m_options.m_instance.m_value, .m_settingsVersion = node.m_settings.m_version });
            for (const auto& [name, member] : node.m_members) {
                const Heartbeat& latest = member.m_lastHeartbeat;
                const std::string state = isAlive(member, now) ? std::string(nameOf(latest.m_state)) : "dead";
                answer.m_members.push_back({ .m_name = name, .m_address = format(latest.m_address), .m_zone = latest.m_zone, .m_state = state, .m_instance = latest.m_instance.m_value, .m_settingsVersion = latest.m_settingsVersion, .m_heartbeatAgeMs = (now - member.m_receivedAt).m_ms });
            }
            for (const auto& [name, slot] : node.m_shards) {
                ShardView view { .m_name = name };
                if (slot.m_owner) {
                    view.m_owner = node.m_options.m_member;
                    view.m_address = format(node.m_options.m_address);
                    view.m_epoch = slot.m_owner->m_state.m_epoch.m_value;
                } else if (const Member* const owner = findOwner(node.m_members, name, now)) {
                    view.m_owner = owner->m_lastHeartbeat.m_member;
                    view.m_address = format(owner->m_lastHeartbeat.m_address);
                    for (const OwnedShard& owned : owner->m_lastHeartbeat.m_shards)
                        view.m_epoch = owned.m_shard == name ? owned.m_epoch.m_value : view.m_epoch;
                }
                answer.m_shards.push_back(std::move(view));
            }
            effects.m_answers.push_back({ .m_caller = caller, .m_answer = std::move(answer) });
        }

        void forward(Node& node, CallerToken caller, PendingCall& pending, const Member& owner, TimePoint now, Effects& effects)
        {
            pending.m_isInFlight = true;
            effects.m_forwards.push_back({ .m_owner = owner.m_lastHeartbeat.m_address, .m_caller = caller, .m_call = makeAttempt(pending, now), .m_timeout = pending.m_deadline - now + ownerAnswerMargin });
            setTimer(node, caller, pending, pending.m_deadline + ownerAnswerMargin);
        }

        /**
         * Removes the call that an answer belongs to; if the shard has moved, a call that was not forwarded here is kept and routed again.
         * @return Whether the answer is to be sent to the caller.
         */
        bool completeCall(Node& node, const AnswerEffect& answer, TimePoint now)
        {
            const auto found = node.m_calls.find(answer.m_caller);
            if (found == node.m_calls.end())
                return true;
            PendingCall& pending = found->second;
            const auto* const moved = std::get_if<MovedAnswer>(&answer.m_answer);
            if (!moved || pending.m_isForwarded) {
                node.m_calls.erase(found);
                return true;
            }
            pending.m_isInFlight = false;
            pending.m_mayHaveReachedOwner = pending.m_mayHaveReachedOwner || moved->m_mayHaveRun;
            setTimer(node, answer.m_caller, pending, now + rerouteDelay);
            return false;
        }

    } // namespace

    void routeCall(Node& node, CallerToken caller, TimePoint now, Effects& effects)
    {
        PendingCall& pending = node.m_calls.at(caller);
        if (now >= pending.m_deadline)
            return answerTimedOut(pending, caller, effects);
        const auto shard = findShard(node, pending.m_call);
        if (!shard)
            return answerError(effects, caller, { ErrorKind::UnknownName, "no such pool or shard: \"" + poolOf(pending.m_call).value_or("") + "\"", "configured pools: " + listPools(node) }, outcomeOf(pending));
        ShardSlot& slot = node.m_shards.at(*shard);
        const bool isOwner = slot.m_owner && !slot.m_owner->m_isTermOver;
        if (isOwner) {
            pending.m_isInFlight = true;
            setTimer(node, caller, pending, pending.m_deadline + ownerAnswerMargin);
            return onCall(*slot.m_owner, makeAttempt(pending, now), caller, now, effects);
        }
        if (pending.m_isForwarded) {
            effects.m_answers.push_back({ .m_caller = caller, .m_answer = MovedAnswer {} });
            return;
        }
        if (const Member* const owner = findOwner(node.m_members, *shard, now))
            return forward(node, caller, pending, *owner, now, effects);
        setTimer(node, caller, pending, now + failureDelay);
    }

    void stepCalls(Node& node, TimePoint now, Effects& effects)
    {
        while (!node.m_callTimers.empty() && node.m_callTimers.begin()->first <= now) {
            const CallerToken caller = node.m_callTimers.begin()->second;
            const TimePoint at = node.m_callTimers.begin()->first;
            node.m_callTimers.erase(node.m_callTimers.begin());
            const auto found = node.m_calls.find(caller);
            if (found == node.m_calls.end() || found->second.m_timerAt != at)
                continue;
            if (found->second.m_isInFlight) {
                found->second.m_mayHaveReachedOwner = true;
                answerTimedOut(found->second, caller, effects);
            } else {
                routeCall(node, caller, now, effects);
            }
        }
    }

    void completeCalls(Node& node, TimePoint now, Effects& effects)
    {
        std::erase_if(effects.m_answers, [&](const AnswerEffect& answer) { return !completeCall(node, answer, now); });
    }

} // namespace detail

void onCallerCall(Node& node, CallerToken caller, CallerCall call, bool isForwarded, Duration timeout, TimePoint now, Effects& effects)
{
    const bool isShardCall = poolOf(call).has_value();
    if (!isShardCall) {
        if (std::holds_alternative<CellCall>(call))
            detail::onCellCall(node, caller, now, effects);
        else
            detail::onSettingsCall(node, call, caller, now, effects);
        return;
    }
    if (node.m_memberState == MemberState::Starting) {
        const Error error { ErrorKind::Unavailable, "this daemon is still starting and accepts no calls yet", "retry later or on another entry VM" };
        return detail::answerError(effects, caller, error, isRetry(call) ? RunOutcome::Unknown : RunOutcome::NotRun, { 1'000 });
    }
    PendingCall& pending = node.m_calls[caller];
    pending.m_call = std::move(call);
    pending.m_isForwarded = isForwarded;
    pending.m_arrivedAt = now;
    pending.m_deadline = now + timeout;
    detail::routeCall(node, caller, now, effects);
    detail::completeCalls(node, now, effects);
}

void onForwardResult(Node& node, CallerToken caller, const EndpointResult<CallerAnswer>& result, TimePoint now, Effects& effects)
{
    const auto found = node.m_calls.find(caller);
    if (found == node.m_calls.end() || !found->second.m_isInFlight)
        return;
    PendingCall& pending = found->second;
    if (result) {
        effects.m_answers.push_back({ .m_caller = caller, .m_answer = *result });
        detail::completeCalls(node, now, effects);
        return;
    }
    pending.m_isInFlight = false;
    pending.m_mayHaveReachedOwner = pending.m_mayHaveReachedOwner || result.error().m_progress == CallProgress::MaybeDelivered;
    detail::setTimer(node, caller, pending, now + detail::failureDelay);
}

} // namespace bulrushloft
