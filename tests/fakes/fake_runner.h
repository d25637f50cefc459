/** @file fake_runner.h In-memory runner that runs dispatched requests in slots, with a fencing token and the state of ended and cancelled dispatches. */
#pragma once

#include "connection/runner_codec.h"
#include "fake_worker.h"
#include "history.h"

#include <map>
#include <set>
#include <string>

namespace bulrushloft {

/** A running dispatch. */
struct FakeDispatch {
    DispatchCall m_call; ///< The dispatch as received.
    TimePoint m_endsAt; ///< Planned end on the shared clock.
    std::size_t m_run = 0; ///< Index of its run in the history.
    bool m_isFailing = false; ///< Whether the run will fail, on request or by exceeding its time limit.
};

/** A runner. Functions that take `now` expect the time on the clock that all fakes share; the runner's own clock is ahead of it by m_skew. */
struct FakeRunner {
    std::string m_name; ///< Name of the VM.
    std::uint32_t m_slots = 8; ///< Maximum number of concurrent requests.
    double m_speed = 1; ///< Speed factor: work of 1 ms takes 1 / m_speed ms.
    std::uint64_t m_boot = 1; ///< Boot id: changes at each reboot.
    FencingToken m_token; ///< Highest fencing token seen.
    Duration m_skew; ///< Runner's clock minus the shared clock.
    std::map<std::string, FakeDispatch> m_running; ///< Running dispatches by id.
    std::map<std::string, DispatchState> m_ended; ///< Final states of ended dispatches by id.
    std::set<std::string> m_cancelled; ///< Ids of dispatches that were cancelled before they started; they are refused.
    bool m_isLeaving = false; ///< Whether its answers report that it is about to shut down.
    bool m_ignoresTokens = false; ///< Whether it accepts stale tokens and boot ids; set only to verify that the checks detect violations.
    TimePoint m_lastStart; ///< Time of the latest start of a dispatch.
    History* m_history = nullptr; ///< Where runs are recorded.
};

/** @return Key of the request in a dispatch id of the form "key#suffix". */
inline std::string requestKeyOf(const std::string& dispatch)
{
    return dispatch.substr(0, dispatch.rfind('#'));
}

/** Starts a dispatch. @return Reason for a refusal, as sent in the header Bulrush-Refused, or nothing. */
inline std::optional<std::string> startDispatch(FakeRunner& runner, const DispatchCall& call, TimePoint now)
{
    const bool isStale = call.m_token < runner.m_token || call.m_boot != runner.m_boot;
    if (isStale && !runner.m_ignoresTokens)
        return "stale";
    if (now + runner.m_skew > call.m_validUntil)
        return "validity expired";
    if (runner.m_cancelled.contains(call.m_dispatch))
        return "cancelled";
    if (runner.m_running.contains(call.m_dispatch) || runner.m_ended.contains(call.m_dispatch))
        return "duplicate dispatch";
    if (runner.m_running.size() >= runner.m_slots) {
        runner.m_history->m_limitViolations.push_back(runner.m_name + " received more requests than it has slots");
        return "no free slot";
    }
    const Duration runTime { static_cast<std::int64_t>(static_cast<double>(payloadNumber(call.m_target, "work_ms", 20)) / runner.m_speed) };
    FakeDispatch dispatch { .m_call = call, .m_endsAt = now + std::min(runTime, call.m_timeLimit) };
    dispatch.m_isFailing = runTime > call.m_timeLimit || payloadNumber(call.m_target, "fail", 0) != 0;
    dispatch.m_run = runner.m_history->begin(requestKeyOf(call.m_dispatch), runner.m_name, now);
    runner.m_lastStart = now;
    runner.m_running.emplace(call.m_dispatch, std::move(dispatch));
    return std::nullopt;
}

/** Ends a running dispatch. @return Its answer, whose body repeats the key and the digest of the request so that the caller can verify that it belongs to its request. */
inline DispatchAnswer endDispatch(FakeRunner& runner, const std::string& id, TimePoint now)
{
    const FakeDispatch dispatch = std::move(runner.m_running.at(id));
    runner.m_running.erase(id);
    runner.m_ended[id] = dispatch.m_isFailing ? DispatchState::Failed : DispatchState::Done;
    runner.m_history->end(dispatch.m_run, now, dispatch.m_isFailing ? "failed" : "done");
    const std::string echo = requestKeyOf(id) + "|" + digestOf(viewOf(dispatch.m_call.m_body)) + "|";
    const auto size = static_cast<std::size_t>(payloadNumber(dispatch.m_call.m_target, "answer_bytes", 0));
    return { .m_status = dispatch.m_isFailing ? 500U : 200U, .m_isLeaving = runner.m_isLeaving, .m_body = makeBody(echo + std::string(size, 'x')) };
}

inline RunnerReport makeRunnerReport(const FakeRunner& runner, const std::vector<std::string>& queriedIds, TimePoint now)
{
    RunnerReport report { .m_boot = runner.m_boot, .m_clock = now + runner.m_skew, .m_slots = runner.m_slots, .m_isLeaving = runner.m_isLeaving };
    for (const auto& [id, dispatch] : runner.m_running)
        report.m_inFlight.push_back(id);
    for (const std::string& id : queriedIds) {
        const auto ended = runner.m_ended.find(id);
        DispatchState state = ended == runner.m_ended.end() ? DispatchState::NeverStarted : ended->second;
        if (runner.m_running.contains(id))
            state = DispatchState::Running;
        report.m_states.push_back({ .m_dispatch = id, .m_state = state });
    }
    return report;
}

inline tl::expected<RunnerReport, StaleToken> adopt(FakeRunner& runner, const AdoptRunnerCall& call, TimePoint now)
{
    if (call.m_token <= runner.m_token && !runner.m_ignoresTokens)
        return tl::unexpected(StaleToken { runner.m_token });
    runner.m_token = call.m_token;
    return makeRunnerReport(runner, call.m_queriedIds, now);
}

inline tl::expected<RunnerReport, StaleToken> probe(FakeRunner& runner, const ProbeRunnerCall& call, TimePoint now)
{
    if (call.m_token != runner.m_token && !runner.m_ignoresTokens)
        return tl::unexpected(StaleToken { runner.m_token });
    for (const std::string& id : call.m_cancelledIds) {
        if (!runner.m_running.contains(id))
            runner.m_cancelled.insert(id);
    }
    return makeRunnerReport(runner, call.m_queriedIds, now);
}

/** Replaces the VM by an empty one: running dispatches are lost, and nothing of the old state is kept. */
inline void reboot(FakeRunner& runner, TimePoint now)
{
    for (const auto& [id, dispatch] : runner.m_running)
        runner.m_history->end(dispatch.m_run, now, "lost");
    runner.m_running.clear();
    runner.m_ended.clear();
    runner.m_cancelled.clear();
    runner.m_token = {};
    ++runner.m_boot;
}

} // namespace bulrushloft
