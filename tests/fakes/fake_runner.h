/** @file fake_runner.h A stand-in for a runner: slots, speed, fencing, memory of dispatches. */
#pragma once

#include "connection/runner_codec.h"
#include "fake_worker.h"
#include "history.h"

#include <map>
#include <set>
#include <string>

namespace bulrushloft {

/** One dispatch on the runner. */
struct FakeDispatch {
    DispatchCall m_call; ///< As it came.
    TimePoint m_endsAt; ///< When it will be done.
    std::size_t m_run = 0; ///< Index in the history.
    bool m_isFailing = false; ///< Its answer will be a failure.
};

/** The runner. */
struct FakeRunner {
    std::string m_name; ///< Name of the VM.
    std::uint32_t m_slots = 8; ///< Requests at once.
    double m_speed = 1; ///< Work of one millisecond takes 1 / speed.
    std::uint64_t m_boot = 1; ///< This run of the runner.
    FencingToken m_token; ///< Highest token seen.
    Duration m_skew; ///< Its clock is ahead of the shared one by this.
    std::map<std::string, FakeDispatch> m_running; ///< By id of the dispatch.
    std::map<std::string, DispatchState> m_ended; ///< Ended dispatches by id.
    std::set<std::string> m_cancelled; ///< Dispatches that must not begin any more.
    bool m_isLeaving = false; ///< Says so in its answers.
    bool m_ignoresTokens = false; ///< The guard is out.
    TimePoint m_lastStart; ///< When it last took a dispatch.
    History* m_history = nullptr; ///< Where runs are noted.
};

inline std::string requestKeyOf(const std::string& dispatch)
{
    return dispatch.substr(0, dispatch.rfind('#'));
}

/** Tries to begin a dispatch. @return Why not, or nothing. */
inline std::optional<std::string> startDispatch(FakeRunner& runner, const DispatchCall& call, TimePoint now)
{
    const bool isStale = call.m_token < runner.m_token || call.m_boot != runner.m_boot;
    if (isStale && !runner.m_ignoresTokens)
        return "stale";
    if (now + runner.m_skew > call.m_validUntil)
        return "past its time";
    if (runner.m_cancelled.contains(call.m_dispatch))
        return "cancelled";
    if (runner.m_running.contains(call.m_dispatch) || runner.m_ended.contains(call.m_dispatch))
        return "known already";
    if (runner.m_running.size() >= runner.m_slots) {
        runner.m_history->m_limitViolations.push_back(runner.m_name + " was given more requests than it has slots");
        return "no slot";
    }
    const Duration runTime { static_cast<std::int64_t>(static_cast<double>(payloadNumber(call.m_target, "work_ms", 20)) / runner.m_speed) };
    FakeDispatch dispatch { .m_call = call, .m_endsAt = now + std::min(runTime, call.m_timeLimit) };
    dispatch.m_isFailing = runTime > call.m_timeLimit || payloadNumber(call.m_target, "fail", 0) != 0;
    dispatch.m_run = runner.m_history->begin(requestKeyOf(call.m_dispatch), runner.m_name, now);
    runner.m_lastStart = now;
    runner.m_running.emplace(call.m_dispatch, std::move(dispatch));
    return std::nullopt;
}

/** Ends a dispatch. @return Its answer: what it was asked, told back in a form that the caller can check. */
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

/** The VM is replaced by an empty one. */
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
