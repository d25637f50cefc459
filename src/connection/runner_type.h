/** @file runner_type.h Calls to a runner and its answers; see docs/PLATFORM.md for the protocol. */
#pragma once

#include "connection/http_type.h"
#include "core/clock_type.h"
#include "process/shard_type.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** What a runner knows of one dispatch. */
enum class DispatchState : std::uint8_t {
    NeverStarted, ///< It has not begun it and never will: an older token is refused, and so is a cancelled dispatch.
    Running, ///< It is at work on it.
    Done, ///< It ran to its end.
    Failed, ///< It ran and failed.
};

/** A dispatch and where it stands. */
struct DispatchReport {
    std::string m_dispatch; ///< Id of the dispatch.
    DispatchState m_state = DispatchState::NeverStarted; ///< Where it stands.
};

/** Takes a runner over and asks for the state of dispatches. */
struct AdoptRunnerCall {
    FencingToken m_token; ///< The new token.
    std::vector<std::string> m_queriedIds; ///< Dispatches whose state is wanted.
};

/** Asks a runner for its state without taking it over. */
struct ProbeRunnerCall {
    FencingToken m_token; ///< The current token.
    std::vector<std::string> m_queriedIds; ///< Dispatches whose state is wanted.
    std::vector<std::string> m_cancelledIds; ///< Dispatches that must not begin any more.
};

/** What a runner tells. */
struct RunnerReport {
    std::uint64_t m_boot = 0; ///< Names this run of the runner.
    TimePoint m_clock; ///< The runner's own clock.
    std::uint32_t m_slots = 0; ///< Requests that it serves at once.
    bool m_isLeaving = false; ///< It will go away and wants no new work.
    std::vector<std::string> m_inFlight; ///< Ids of the dispatches it is at work on.
    std::vector<DispatchReport> m_states; ///< One for each id that was asked for or cancelled.
};

/** Dispatches one request. */
struct DispatchCall {
    FencingToken m_token; ///< The token of the latest adoption.
    std::uint64_t m_boot = 0; ///< The run of the runner that is meant.
    std::string m_dispatch; ///< Id of the dispatch; unique over the life of the cell.
    Duration m_timeLimit; ///< The runner stops the work after this time.
    TimePoint m_validUntil; ///< On the runner's clock; past it the dispatch is refused.
    std::string m_target; ///< What to run.
    SharedBody m_body; ///< Body of the request.
};

/** A runner's answer to a dispatch. */
struct DispatchAnswer {
    unsigned m_status = 200; ///< Status of the service.
    bool m_isLeaving = false; ///< The runner will go away.
    SharedBody m_body; ///< The whole answer, checked against its digest.
};

std::string_view nameOf(DispatchState state);

} // namespace bulrushloft
