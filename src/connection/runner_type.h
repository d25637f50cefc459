/** @file runner_type.h Calls to a runner and its answers; see docs/PLATFORM.md for the protocol. */
#pragma once

#include "connection/http_type.h"
#include "core/clock_type.h"
#include "core/shard_type.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** State of a dispatch at a runner. */
enum class DispatchState : std::uint8_t {
    NeverStarted, ///< Not started, and never will be: the runner refuses lower tokens and cancelled dispatches.
    Running, ///< In progress.
    Done, ///< Ran to completion.
    Failed, ///< Ran and failed.
};

/** A dispatch and its state. */
struct DispatchReport {
    std::string m_dispatch; ///< Id of the dispatch.
    DispatchState m_state = DispatchState::NeverStarted; ///< State at the runner.
};

/** Adopts a runner under a new token and asks for the state of dispatches. */
struct AdoptRunnerCall {
    FencingToken m_token; ///< The new token.
    std::vector<std::string> m_queriedIds; ///< Ids of the dispatches whose state is requested.
};

/** Asks a runner for its state without adopting it. */
struct ProbeRunnerCall {
    FencingToken m_token; ///< The current token.
    std::vector<std::string> m_queriedIds; ///< Ids of the dispatches whose state is requested.
    std::vector<std::string> m_cancelledIds; ///< Ids of the dispatches to cancel; those not started yet are refused from now on.
};

/** Answer of a runner to an adoption or a probe. */
struct RunnerReport {
    std::uint64_t m_boot = 0; ///< Boot id: changes whenever the runner restarts.
    TimePoint m_clock; ///< Time on the runner's clock.
    std::uint32_t m_slots = 0; ///< Maximum number of concurrent requests.
    bool m_isLeaving = false; ///< Whether the runner is about to shut down and accepts no new work.
    std::vector<std::string> m_inFlight; ///< Ids of the dispatches in progress.
    std::vector<DispatchReport> m_states; ///< State of each dispatch that the call queried or cancelled.
};

/** Dispatches one request. */
struct DispatchCall {
    FencingToken m_token; ///< Token of the latest adoption.
    std::uint64_t m_boot = 0; ///< Boot id that the runner is expected to have.
    std::string m_dispatch; ///< Id of the dispatch; unique over the lifetime of the cell.
    Duration m_timeLimit; ///< Maximum run time, after which the runner aborts the request.
    TimePoint m_validUntil; ///< Time on the runner's clock after which the runner refuses the dispatch.
    std::string m_target; ///< Operation that the runner is asked to perform.
    SharedBody m_body; ///< Body of the request.
};

/** A runner's answer to a dispatch. */
struct DispatchAnswer {
    unsigned m_status = 200; ///< HTTP status that the service returned.
    bool m_isLeaving = false; ///< Whether the runner is about to shut down.
    SharedBody m_body; ///< Complete body of the answer, verified against its digest.
};

std::string_view nameOf(DispatchState state);

} // namespace bulrushloft
