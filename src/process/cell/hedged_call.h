/** @file hedged_call.h A store call that is repeated in parallel while it is unanswered (request hedging); the first answer counts. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>

namespace bulrushloft::cell {

/** State of the current call and its attempts; calls follow one after the other. */
struct HedgedCall {
    std::uint64_t m_callNumber = 0; ///< Number of the current call; answers to earlier calls are discarded.
    std::uint32_t m_inFlight = 0; ///< Number of its attempts without an answer.
    std::uint32_t m_attempts = 0; ///< Number of its attempts, also of failed ones.
    TimePoint m_lastAttemptAt; ///< When the latest attempt was sent.
    TimePoint m_notBefore; ///< Earliest time of the next attempt.
};

constexpr std::uint32_t defaultMaxInFlight = 6; ///< Attempts of a call in flight at a time.

/**
 * @param hedgeDelay How long an attempt may remain unanswered before another one is sent in parallel.
 * @param maxInFlight Maximum number of attempts in flight at a time.
 * @return Whether an attempt is due now.
 */
bool isAttemptDue(const HedgedCall& call, Duration hedgeDelay, TimePoint now, std::uint32_t maxInFlight = defaultMaxInFlight);

/** Records that an attempt is sent. @return Number of the call, to be passed to isAnswerToCall() with the answer. */
std::uint64_t beginAttempt(HedgedCall& call, TimePoint now);

/** @return Whether an answer belongs to the current call. @param callNumber Call number that beginAttempt() returned. */
bool isAnswerToCall(const HedgedCall& call, std::uint64_t callNumber);

/** Ends the current call and discards its other attempts. @param nextAt Earliest time of the next call. */
void endCall(HedgedCall& call, TimePoint nextAt);

/** Records a failed attempt. @param nextAt Earliest time of the next attempt, unless others are still in flight. */
void failAttempt(HedgedCall& call, TimePoint nextAt);

} // namespace bulrushloft::cell
