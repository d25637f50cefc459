/** @file run_base.h State of a request to a runner while its owner processes it. */
#pragma once

#include "connection/caller_type.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** Phase of a request at its owner. */
enum class RequestPhase : std::uint8_t {
    Blocked, ///< An earlier attempt may still be running; the request waits until that is resolved.
    Queued, ///< Waiting for a free slot of a runner.
    Journaling, ///< A slot is reserved; the log has not yet acknowledged the intent.
    Dispatched, ///< Sent to the runner, awaiting the answer.
    Resolving, ///< No answer arrived; the runner is queried for the state of the dispatch.
    Answered, ///< Answered; the answer is kept for retries.
};

/** A request to a runner. */
struct RequestRun {
    RunCall m_call; ///< The caller's call.
    std::uint64_t m_digest = 0; ///< Hash of the target and the body.
    RequestPhase m_phase = RequestPhase::Queued; ///< Current phase.
    std::vector<CallerToken> m_callers; ///< Callers that wait for the answer; retries with the same key are added.
    TimePoint m_arrivedAt; ///< Monotonic time of arrival.
    TimePoint m_deadline; ///< Monotonic time at which the callers are answered even if the outcome is unknown.
    std::size_t m_runner = SIZE_MAX; ///< Index of the chosen runner; SIZE_MAX before one is chosen.
    std::string m_dispatch; ///< Id of the latest dispatch.
    TimePoint m_dispatchedAt; ///< Monotonic time of the latest dispatch.
    TimePoint m_dispatchStoppedBy; ///< Monotonic time by which the runner is guaranteed to have stopped the latest dispatch.
    std::uint32_t m_dispatches = 0; ///< Number of dispatches so far.
    std::uint32_t m_lostAnswers = 0; ///< Number of dispatches that may have run and whose answer was lost.
    std::vector<std::size_t> m_triedRunners; ///< Indices of runners on which earlier dispatches did not succeed.
    bool m_mayHaveRun = false; ///< Whether any dispatch may have started to run.
    RunAnswer m_answer; ///< Answer that was sent to the callers, kept for retries.
    TimePoint m_answeredAt; ///< Monotonic time of the answer.
};

} // namespace bulrushloft
