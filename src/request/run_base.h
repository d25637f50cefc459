/** @file run_base.h A request to a runner while its owner works on it. */
#pragma once

#include "connection/caller_type.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** Where a request stands, as its owner knows it. */
enum class RequestPhase : std::uint8_t {
    Blocked, ///< An earlier attempt may still be running; waits until that is resolved.
    Queued, ///< Waits for a free slot.
    Journaling, ///< A slot is reserved; the intent is not yet confirmed on the log.
    Dispatched, ///< With the runner.
    Resolving, ///< The answer did not come; the runner is asked what became of it.
    Answered, ///< Ended; kept for retries.
};

/** A request. */
struct RequestRun {
    RunCall m_call; ///< What is asked.
    std::uint64_t m_digest = 0; ///< Hash of the body.
    RequestPhase m_phase = RequestPhase::Queued; ///< Where it stands.
    std::vector<CallerToken> m_callers; ///< Who waits; retries of one key join.
    TimePoint m_arrivedAt; ///< Monotonic time of arrival.
    TimePoint m_deadline; ///< Monotonic time at which the callers are answered whatever is known.
    std::size_t m_runner = SIZE_MAX; ///< Index of the chosen runner.
    std::string m_dispatch; ///< Id of the latest dispatch.
    TimePoint m_dispatchedAt; ///< Monotonic time of the latest dispatch.
    TimePoint m_dispatchStoppedBy; ///< Monotonic time by which the runner has surely stopped the latest dispatch.
    std::uint32_t m_dispatches = 0; ///< Dispatches so far.
    std::uint32_t m_lostAnswers = 0; ///< Dispatches that may have run and whose answer was lost.
    std::vector<std::size_t> m_triedRunners; ///< Runners that have failed it.
    bool m_mayHaveRun = false; ///< Whether a dispatch may have begun to run.
    RunAnswer m_answer; ///< What the callers were told, for retries.
    TimePoint m_answeredAt; ///< Monotonic time of the answer.
};

} // namespace bulrushloft
