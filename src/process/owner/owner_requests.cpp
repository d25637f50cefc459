/** @file owner_requests.cpp Requests to runners: admission, recording of intents, retries, and what callers are told. */
#include "process/owner/owner_detail.h"

#include "core/hash_func.h"
#include "process/owner/health_func.h"
#include "process/owner/request_answer.h"
#include "process/owner/request_dispatch.h"
#include "request/runner_choice_func.h"

#include <algorithm>

namespace bulrushloft {

namespace detail {

    namespace {

        constexpr Duration wallClockTolerance { 60'000 };
        constexpr Duration refusalRetryAfter { 500 };

        void answerCallers(RequestRun& request, const RunAnswer& answer, Effects& effects)
        {
            for (const CallerToken caller : request.m_callers)
                effects.m_answers.push_back({ .m_caller = caller, .m_answer = answer });
            request.m_callers.clear();
        }

        void addRefusal(ShardOwner& owner, const RunCall& call, TimePoint now);

        void evictOldAnswers(ShardOwner& owner, TimePoint now)
        {
            while (!owner.m_answeredKeys.empty()) {
                const auto oldest = owner.m_requests.find(owner.m_answeredKeys.front());
                const bool isRetained = oldest != owner.m_requests.end() && oldest->second.m_phase == RequestPhase::Answered;
                const bool isRecent = isRetained && now - oldest->second.m_answeredAt < owner.m_options.m_answerRetention;
                if (isRecent && owner.m_answeredBytes <= owner.m_options.m_answerRetentionBytes)
                    return;
                if (isRetained) {
                    owner.m_answeredBytes -= viewOf(oldest->second.m_answer.m_body).size();
                    owner.m_requests.erase(oldest);
                }
                owner.m_answeredKeys.pop_front();
            }
        }

        /** Completes a request; the answer is kept for retries with the same key. */
        void completeRequest(ShardOwner& owner, const std::string& key, RunAnswer answer, TimePoint now, Effects& effects)
        {
            RequestRun& request = owner.m_requests.at(key);
            answerCallers(request, answer, effects);
            --owner.m_teams[request.m_call.m_team].m_requests;
            if (answer.m_outcome == RunOutcome::NotRun)
                addRefusal(owner, request.m_call, now);
            request.m_phase = RequestPhase::Answered;
            request.m_call.m_body.reset();
            request.m_answer = std::move(answer);
            request.m_answeredAt = now;
            owner.m_answeredBytes += viewOf(request.m_answer.m_body).size();
            owner.m_answeredKeys.push_back(key);
            evictOldAnswers(owner, now);
        }

        void queueRequestOutcome(ShardOwner& owner, const RequestRun& request, RequestState state)
        {
            if (!request.m_call.m_isIdempotent)
                queueRecord(owner, FinishRequestRecord { .m_key = request.m_call.m_key, .m_state = state });
        }

        bool isDispatchOfKey(const std::string& dispatch, const std::string& key)
        {
            const std::size_t end = dispatch.rfind('#');
            return end == key.size() && dispatch.compare(0, end, key) == 0;
        }

        /**
         * @param mayHaveEarlierDispatch Whether a former owner may have dispatched the key to a runner that has not reported in this term.
         * @return Whether an attempt of an earlier term may be running.
         */
        bool mayBeRunning(const ShardOwner& owner, const std::string& key, bool mayHaveEarlierDispatch, TimePoint now)
        {
            return std::any_of(owner.m_runners.begin(), owner.m_runners.end(), [&](const Runner& runner) {
                const bool isGone = runner.m_isListed && runner.m_vm.m_state == VmState::Gone;
                const bool hasNotReported = mayHaveEarlierDispatch && !owner.m_formerOwnerStates.empty() && runner.m_boot == 0 && !isGone && now < owner.m_inheritedRequestsEndBy;
                return hasNotReported || std::any_of(runner.m_foreignDispatches.begin(), runner.m_foreignDispatches.end(), [&key](const std::string& id) { return isDispatchOfKey(id, key); });
            });
        }

        bool isBlocked(const ShardOwner& owner, const RequestRun& request, TimePoint now)
        {
            const RunCall& call = request.m_call;
            if (!call.m_isIdempotent) {
                const auto known = owner.m_state.m_requests.find(call.m_key);
                return known != owner.m_state.m_requests.end() && known->second.m_state == RequestState::Intended;
            }
            // Shortly after the start of the term, a former owner that has not noticed its end may have dispatched even the first attempt.
            const bool mayHaveEarlierDispatch = call.m_attempt > 1 || now < owner.m_ownedSince + owner.m_options.m_maxReadAge + owner.m_options.m_dispatchValidity * 2;
            return mayBeRunning(owner, call.m_key, mayHaveEarlierDispatch, now);
        }

        /** @return Whether the record of the key may have expired, so that a retry finds the key unknown although the request may have run. */
        bool mayHaveExpired(const ShardOwner& owner, const RunCall& call, TimePoint now)
        {
            if (call.m_isIdempotent || call.m_attempt <= 1 || owner.m_state.m_requestsRetainedSince.m_ms == 0)
                return false;
            return !call.m_age || toWall(now, owner.m_options.m_wallOffset) - *call.m_age - wallClockTolerance < owner.m_state.m_requestsRetainedSince;
        }

        /** @return Whether an earlier attempt may have run in an earlier term; idempotent requests are not recorded in the journal. */
        bool mayHaveRunBefore(const RunCall& call)
        {
            return call.m_isIdempotent && call.m_attempt > 1;
        }

        /** Records that an attempt is answered as not run, so that an older attempt with the same key does not run later. */
        void addRefusal(ShardOwner& owner, const RunCall& call, TimePoint now)
        {
            std::uint32_t& attempt = owner.m_refusedAttempts[call.m_key];
            attempt = std::max(attempt, call.m_attempt);
            owner.m_refusalsByAge.push_back({ .m_key = call.m_key, .m_refusedAt = now });
        }

        void evictOldRefusals(ShardOwner& owner, TimePoint now)
        {
            while (!owner.m_refusalsByAge.empty() && now - owner.m_refusalsByAge.front().m_refusedAt > owner.m_options.m_answerRetention) {
                owner.m_refusedAttempts.erase(owner.m_refusalsByAge.front().m_key);
                owner.m_refusalsByAge.pop_front();
            }
        }

        /** @return Whether a later attempt with the same key was answered as not run, so that this one must not run any more. */
        bool isStaleAttempt(const ShardOwner& owner, const RunCall& call)
        {
            const auto refused = owner.m_refusedAttempts.find(call.m_key);
            return refused != owner.m_refusedAttempts.end() && call.m_attempt < refused->second;
        }

        /** @return NotRun, or Unknown if an earlier attempt may have run, which an owner that may have been superseded without noticing can't rule out. */
        RunOutcome outcomeOfRefusal(const ShardOwner& owner, const RunCall& call, TimePoint now)
        {
            const bool isUncertain = mayHaveRunBefore(call) || (call.m_attempt > 1 && !mayStartWorkUnjournaled(owner, now));
            return isUncertain ? RunOutcome::Unknown : RunOutcome::NotRun;
        }

        std::uint32_t countSlots(const ShardOwner& owner)
        {
            std::uint32_t slots = 0;
            for (const Runner& runner : owner.m_runners)
                slots += runner.m_link == LinkState::Adopted ? runner.m_slots : 0;
            return slots;
        }

        double meanServiceMs(const ShardOwner& owner)
        {
            double sum = 0;
            double count = 0;
            for (const Runner& runner : owner.m_runners) {
                sum += runner.m_serviceMs;
                count += runner.m_serviceMs > 0 ? 1 : 0;
            }
            return count > 0 ? sum / count : 0;
        }

        Expected<void> admit(ShardOwner& owner, const RunCall& call, TimePoint now)
        {
            const auto team = owner.m_policy->m_teams.find(call.m_team);
            if (team == owner.m_policy->m_teams.end())
                return fail(ErrorKind::UnknownName, "there is no team \"" + call.m_team + "\"", "use a team that the settings define");
            const auto workClass = owner.m_policy->m_classes.find(call.m_workClass);
            if (workClass == owner.m_policy->m_classes.end())
                return fail(ErrorKind::UnknownName, "there is no work class \"" + call.m_workClass + "\"", "use a work class that the settings define");
            if (owner.m_teams[call.m_team].m_requests >= team->second.m_requestLimit)
                return fail(ErrorKind::QuotaExceeded, "team " + call.m_team + " has " + std::to_string(team->second.m_requestLimit) + " requests in progress, which is its limit", "retry later");
            if (static_cast<std::int64_t>(owner.m_queuedRequests) >= owner.m_policy->m_limits.m_requestQueueLimit)
                return fail(ErrorKind::Overloaded, "the request queue of shard " + owner.m_state.m_shard + " is full", "retry later");
            if (!call.m_isIdempotent && isLogSlow(owner, now))
                return fail(ErrorKind::Unavailable, "the log does not answer, so no non-idempotent request can be started", "retry with the same key");
            const double waitMs = meanServiceMs(owner) * static_cast<double>(owner.m_queuedRequests) / std::max<double>(countSlots(owner), 1);
            const Duration limit = std::min(workClass->second.m_queueLimit, call.m_deadline);
            if (waitMs > static_cast<double>(limit.m_ms))
                return fail(ErrorKind::Overloaded, "the request would wait about " + std::to_string(static_cast<std::int64_t>(waitMs)) + " ms, more than the " + std::to_string(limit.m_ms) + " ms that its work class and deadline allow", "retry later");
            return {};
        }

        /**
         * Handles a call whose key belongs to a request that is in progress or was answered recently.
         * @return Whether the call was handled; otherwise it is to be processed as a new request.
         */
        bool joinKnownRequest(ShardOwner& owner, const RunCall& call, std::uint64_t digest, CallerToken caller, TimePoint now, Effects& effects)
        {
            const auto known = owner.m_requests.find(call.m_key);
            if (known == owner.m_requests.end())
                return false;
            RequestRun& request = known->second;
            if (request.m_digest != digest) {
                answerError(effects, caller, { ErrorKind::Conflict, "the key \"" + call.m_key + "\" was already used for a different request", "use a new key for a new request" }, RunOutcome::NotRun);
                return true;
            }
            if (request.m_phase != RequestPhase::Answered) {
                request.m_call.m_attempt = std::max(request.m_call.m_attempt, call.m_attempt);
                const TimePoint deadline = now + call.m_deadline;
                request.m_deadline = request.m_callers.empty() ? deadline : std::max(request.m_deadline, deadline);
                request.m_callers.push_back(caller);
                owner.m_requestTimers.emplace(request.m_deadline, call.m_key);
                return true;
            }
            const RunOutcome outcome = request.m_answer.m_outcome;
            if (isStaleAttempt(owner, call)) {
                effects.m_answers.push_back({ .m_caller = caller, .m_answer = request.m_answer });
                return true;
            }
            const bool mayRunAgain = outcome == RunOutcome::NotRun || (outcome == RunOutcome::Unknown && call.m_isIdempotent && now >= request.m_dispatchStoppedBy);
            if (mayRunAgain) {
                std::erase(owner.m_answeredKeys, call.m_key);
                owner.m_answeredBytes -= viewOf(request.m_answer.m_body).size();
                owner.m_requests.erase(known);
                return false;
            }
            effects.m_answers.push_back({ .m_caller = caller, .m_answer = request.m_answer });
            return true;
        }

        /**
         * Queues a request again if its deadline has not passed, a caller is waiting and the retry budget allows it.
         * @param fallbackAnswer Answer that completes the request otherwise.
         */
        void retryOrComplete(ShardOwner& owner, const std::string& key, RunAnswer fallbackAnswer, TimePoint now, Effects& effects)
        {
            RequestRun& request = owner.m_requests.at(key);
            request.m_triedRunners.push_back(request.m_runner);
            if (owner.m_isTermOver || owner.m_isReleasing) {
                for (const CallerToken caller : request.m_callers)
                    effects.m_answers.push_back({ .m_caller = caller, .m_answer = MovedAnswer { .m_mayHaveRun = request.m_mayHaveRun } });
                request.m_callers.clear();
                return completeRequest(owner, key, std::move(fallbackAnswer), now, effects);
            }
            const bool isStillAwaited = now < request.m_deadline && !request.m_callers.empty();
            if (!isStillAwaited || owner.m_retryBudget < 1)
                return completeRequest(owner, key, std::move(fallbackAnswer), now, effects);
            owner.m_retryBudget -= 1;
            enqueue(owner, request);
        }

        void onNotRun(ShardOwner& owner, const std::string& key, const std::string& reason, TimePoint now, Effects& effects)
        {
            RequestRun& request = owner.m_requests.at(key);
            queueRequestOutcome(owner, request, RequestState::NotRun);
            if (request.m_call.m_isIdempotent && (request.m_lostAnswers > 0 || mayHaveRunBefore(request.m_call)))
                return retryOrComplete(owner, key, lostAnswer(), now, effects);
            request.m_mayHaveRun = false;
            retryOrComplete(owner, key, notRunAnswer(ErrorKind::Unavailable, reason), now, effects);
        }

        /** Handles a dispatch that may have run and whose answer was lost. */
        void onAnswerLost(ShardOwner& owner, const std::string& key, std::optional<DispatchState> state, TimePoint now, Effects& effects)
        {
            RequestRun& request = owner.m_requests.at(key);
            if (request.m_call.m_isIdempotent) {
                ++request.m_lostAnswers;
                return retryOrComplete(owner, key, lostAnswer(), now, effects);
            }
            const RequestState end = !state ? RequestState::Unknown : (*state == DispatchState::Done ? RequestState::Done : RequestState::Failed);
            queueRequestOutcome(owner, request, end);
            completeRequest(owner, key, *answerFromRecord({ .m_state = end }), now, effects);
        }

        void onCompleteAnswer(ShardOwner& owner, const std::string& key, const DispatchAnswer& answer, TimePoint now, Effects& effects)
        {
            RequestRun& request = owner.m_requests.at(key);
            Runner& runner = owner.m_runners[request.m_runner];
            const auto serviceMs = static_cast<double>((now - request.m_dispatchedAt).m_ms);
            runner.m_serviceMs = smoothServiceTime(runner.m_serviceMs, std::max(serviceMs, 1.0));
            runner.m_hasReportedLeaving = runner.m_hasReportedLeaving || answer.m_isLeaving;
            updateRunnerHealth(runner, false, now);
            owner.m_observations.push_back({ .m_span = ObservedSpan::RequestRun, .m_team = request.m_call.m_team, .m_workClass = request.m_call.m_workClass, .m_seconds = serviceMs / 1000.0 });
            RunAnswer runAnswer = toRunAnswer(answer, runner.m_name);
            queueRequestOutcome(owner, request, runAnswer.m_outcome == RunOutcome::Done ? RequestState::Done : RequestState::Failed);
            completeRequest(owner, key, std::move(runAnswer), now, effects);
        }

        /** Answers the callers at the deadline with what is known; a request that was dispatched to a runner stays open. */
        void onDeadline(ShardOwner& owner, const std::string& key, TimePoint now, Effects& effects)
        {
            RequestRun& request = owner.m_requests.at(key);
            switch (request.m_phase) {
            case RequestPhase::Queued:
            case RequestPhase::Journaling:
                removeFromLane(owner, request);
                if (request.m_mayHaveRun || outcomeOfRefusal(owner, request.m_call, now) == RunOutcome::Unknown)
                    return completeRequest(owner, key, makeErrorAnswer(RunOutcome::Unknown, ErrorKind::TimedOut, "the deadline passed after an attempt that may have run", "retry with the same key"), now, effects);
                return completeRequest(owner, key, notRunAnswer(ErrorKind::TimedOut, "the deadline passed before a runner had a free slot"), now, effects);
            case RequestPhase::Blocked:
                return completeRequest(owner, key, makeErrorAnswer(RunOutcome::Unknown, ErrorKind::TimedOut, "the deadline passed while an earlier attempt might still be running", "retry with the same key"), now, effects);
            case RequestPhase::Dispatched:
            case RequestPhase::Resolving:
                answerCallers(request, makeErrorAnswer(RunOutcome::Unknown, ErrorKind::TimedOut, "the deadline passed before the runner answered", "retry with the same key to get the outcome"), effects);
                request.m_deadline = farFuture;
                return;
            case RequestPhase::Answered:
                return;
            }
        }

        /** Queues or answers a blocked request once its earlier attempt is known to have ended. */
        void unblock(ShardOwner& owner, const std::string& key, TimePoint now, Effects& effects)
        {
            const auto found = owner.m_requests.find(key);
            if (found == owner.m_requests.end() || found->second.m_phase != RequestPhase::Blocked) {
                owner.m_blockedRequests.erase(key);
                return;
            }
            if (isBlocked(owner, found->second, now))
                return;
            owner.m_blockedRequests.erase(key);
            const auto recorded = owner.m_state.m_requests.find(key);
            auto runAnswer = recorded == owner.m_state.m_requests.end() ? std::nullopt : answerFromRecord(recorded->second);
            if (runAnswer)
                return completeRequest(owner, key, std::move(*runAnswer), now, effects);
            found->second.m_mayHaveRun = mayHaveRunBefore(found->second.m_call);
            enqueue(owner, found->second);
        }

        /** Resolves the dispatch of an idempotent request whose runner can't be queried, once the runner has stopped it at its time limit. */
        void resolveTimedOutDispatch(ShardOwner& owner, const std::string& key, TimePoint now, Effects& effects)
        {
            const auto found = owner.m_requests.find(key);
            if (found == owner.m_requests.end() || found->second.m_phase != RequestPhase::Resolving || !found->second.m_call.m_isIdempotent)
                return;
            if (now < found->second.m_dispatchStoppedBy + owner.m_options.m_leaseMargin)
                owner.m_requestTimers.emplace(found->second.m_dispatchStoppedBy + owner.m_options.m_leaseMargin, key);
            else
                resolveDispatch(owner, found->second.m_dispatch, std::nullopt, now, effects);
        }

    } // namespace

    void onRunCall(ShardOwner& owner, const RunCall& call, CallerToken caller, TimePoint now, Effects& effects)
    {
        const std::uint64_t digest = stableHash(viewOf(call.m_body), stableHash(call.m_target));
        if (joinKnownRequest(owner, call, digest, caller, now, effects))
            return;
        const auto recorded = owner.m_state.m_requests.find(call.m_key);
        if (recorded != owner.m_state.m_requests.end()) {
            if (recorded->second.m_digest != digest)
                return answerError(effects, caller, { ErrorKind::Conflict, "the key \"" + call.m_key + "\" was already used for a different request", "use a new key for a new request" }, RunOutcome::NotRun);
            if (auto runAnswer = answerFromRecord(recorded->second)) {
                effects.m_answers.push_back({ .m_caller = caller, .m_answer = std::move(*runAnswer) });
                return;
            }
        }
        if (mayHaveExpired(owner, call, now)) {
            effects.m_answers.push_back({ .m_caller = caller, .m_answer = makeErrorAnswer(RunOutcome::Unknown, ErrorKind::UnknownName, "the record of the key \"" + call.m_key + "\" may have expired, so it is unknown whether the request ran", "check with the service whether it ran; send new work with a new key as attempt 1") });
            return;
        }
        if (isStaleAttempt(owner, call))
            return answerError(effects, caller, { ErrorKind::Stale, "a later attempt with the key \"" + call.m_key + "\" was already answered as not run", "retry with a higher attempt number" }, outcomeOfRefusal(owner, call, now));
        // A request that may have run already is not refused; its caller waits until the runner has reported the outcome.
        const bool isIntended = recorded != owner.m_state.m_requests.end() && recorded->second.m_state == RequestState::Intended;
        if (const auto admitted = isIntended ? Expected<void>() : admit(owner, call, now); !admitted) {
            ++owner.m_counters.m_shed;
            addRefusal(owner, call, now);
            return answerError(effects, caller, admitted.error(), outcomeOfRefusal(owner, call, now), refusalRetryAfter);
        }
        RequestRun& request = owner.m_requests[call.m_key];
        request.m_call = call;
        request.m_digest = digest;
        request.m_callers = { caller };
        request.m_arrivedAt = now;
        request.m_deadline = now + call.m_deadline;
        request.m_mayHaveRun = isIntended || mayHaveRunBefore(call);
        ++owner.m_teams[call.m_team].m_requests;
        owner.m_requestTimers.emplace(request.m_deadline, call.m_key);
        if (isBlocked(owner, request, now)) {
            request.m_phase = RequestPhase::Blocked;
            owner.m_blockedRequests.insert(call.m_key);
        } else {
            enqueue(owner, request);
        }
    }

    void onIntentConfirmed(ShardOwner& owner, const IntendRequestRecord& record, bool isRecorded, TimePoint now, Effects& effects)
    {
        const auto found = owner.m_requests.find(record.m_key);
        const bool isPending = found != owner.m_requests.end() && found->second.m_phase == RequestPhase::Journaling && found->second.m_dispatch == record.m_dispatch;
        if (!isPending || !isRecorded) {
            closeDispatch(owner, record.m_dispatch);
            if (isRecorded)
                queueRecord(owner, FinishRequestRecord { .m_key = record.m_key, .m_state = RequestState::NotRun });
            else if (isPending)
                completeRequest(owner, record.m_key, notRunAnswer(ErrorKind::Conflict, "another request with the same key was recorded first"), now, effects);
            return;
        }
        RequestRun& request = found->second;
        const Runner& runner = owner.m_runners[request.m_runner];
        const bool canDispatch = now >= owner.m_pausedUntil && acceptsRequests(owner, runner, now) && runner.m_boot == owner.m_dispatches.at(record.m_dispatch).m_boot;
        if (canDispatch)
            return dispatch(owner, request, now, effects);
        closeDispatch(owner, record.m_dispatch);
        queueRecord(owner, FinishRequestRecord { .m_key = record.m_key, .m_state = RequestState::NotRun });
        enqueue(owner, request);
    }

    void resolveDispatch(ShardOwner& owner, const std::string& id, std::optional<DispatchState> state, TimePoint now, Effects& effects)
    {
        const OpenDispatch open = owner.m_dispatches.at(id);
        closeDispatch(owner, id);
        if (open.m_isInherited) {
            RequestState end = RequestState::Unknown;
            if (state)
                end = *state == DispatchState::NeverStarted ? RequestState::NotRun : (*state == DispatchState::Done ? RequestState::Done : RequestState::Failed);
            queueRecord(owner, FinishRequestRecord { .m_key = open.m_key, .m_state = end });
            return;
        }
        const auto found = owner.m_requests.find(open.m_key);
        if (found == owner.m_requests.end() || found->second.m_dispatch != id)
            return;
        if (state && *state == DispatchState::NeverStarted)
            onNotRun(owner, open.m_key, "the runner did not start the request", now, effects);
        else
            onAnswerLost(owner, open.m_key, state, now, effects);
    }

    void inheritIntents(ShardOwner& owner)
    {
        for (const auto& [key, record] : owner.m_state.m_requests) {
            if (record.m_state != RequestState::Intended)
                continue;
            const std::size_t slash = record.m_runner.rfind('/');
            const std::size_t runner = findOrAddRunner(owner, record.m_runner.substr(0, slash));
            const std::uint64_t boot = std::strtoull(record.m_runner.c_str() + slash + 1, nullptr, 10);
            owner.m_dispatches[record.m_dispatch] = { .m_key = key, .m_runner = runner, .m_boot = boot, .m_isInFlight = false, .m_isInherited = true };
        }
    }

    void stepRequests(ShardOwner& owner, TimePoint now, Effects& effects)
    {
        while (!owner.m_requestTimers.empty() && owner.m_requestTimers.begin()->first <= now) {
            const std::string key = owner.m_requestTimers.begin()->second;
            owner.m_requestTimers.erase(owner.m_requestTimers.begin());
            const auto found = owner.m_requests.find(key);
            if (found == owner.m_requests.end())
                continue;
            if (now >= found->second.m_deadline)
                onDeadline(owner, key, now, effects);
            resolveTimedOutDispatch(owner, key, now, effects);
        }
        const std::set<std::string> blocked = owner.m_blockedRequests;
        for (const std::string& key : blocked)
            unblock(owner, key, now, effects);
        evictOldAnswers(owner, now);
        evictOldRefusals(owner, now);
    }

    void redirectCallers(ShardOwner& owner, Effects& effects)
    {
        const auto redirect = [&effects](std::vector<CallerToken>& callers, bool mayHaveRun) {
            for (const CallerToken caller : callers)
                effects.m_answers.push_back({ .m_caller = caller, .m_answer = MovedAnswer { .m_mayHaveRun = mayHaveRun } });
            callers.clear();
        };
        for (auto& [key, accept] : owner.m_pendingAccepts)
            redirect(accept.m_callers, false);
        owner.m_pendingAccepts.clear();
        for (const JobWaiter& waiter : owner.m_jobWaiters)
            effects.m_answers.push_back({ .m_caller = waiter.m_caller, .m_answer = MovedAnswer {} });
        owner.m_jobWaiters.clear();
        for (auto& [key, request] : owner.m_requests) {
            if (request.m_phase != RequestPhase::Dispatched)
                redirect(request.m_callers, request.m_mayHaveRun);
        }
    }

} // namespace detail

void onDispatchAnswered(ShardOwner& owner, const std::string& dispatch, const EndpointResult<DispatchAnswer>& result, TimePoint now, Effects& effects)
{
    const auto open = owner.m_dispatches.find(dispatch);
    if (open == owner.m_dispatches.end())
        return;
    const std::string key = open->second.m_key;
    const auto found = owner.m_requests.find(key);
    const bool isCurrent = found != owner.m_requests.end() && found->second.m_dispatch == dispatch && found->second.m_phase == RequestPhase::Dispatched;
    if (!isCurrent)
        return detail::closeDispatch(owner, dispatch);
    if (result) {
        detail::closeDispatch(owner, dispatch);
        return detail::onCompleteAnswer(owner, key, *result, now, effects);
    }
    Runner& runner = owner.m_runners[found->second.m_runner];
    const EndpointFailure& failure = result.error();
    updateRunnerHealth(runner, !failure.m_staleToken, now);
    if (failure.m_staleToken && failure.m_staleToken->m_highest.m_epoch > owner.m_state.m_epoch)
        owner.m_reader.m_isReadDue = true;
    detail::dropRunnerLink(runner, now);
    const bool neverStarted = failure.m_staleToken || failure.m_isRefused || failure.m_progress != CallProgress::MaybeDelivered;
    if (neverStarted) {
        detail::closeDispatch(owner, dispatch);
        return detail::onNotRun(owner, key, failure.m_reason, now, effects);
    }
    open->second.m_isInFlight = false;
    found->second.m_phase = RequestPhase::Resolving;
    owner.m_requestTimers.emplace(found->second.m_dispatchStoppedBy + owner.m_options.m_leaseMargin, key);
    if (owner.m_isTermOver)
        detail::redirectCallers(owner, effects);
}

} // namespace bulrushloft
