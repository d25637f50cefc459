/** @file hedged_call.h A call to the store that is sent again while it is silent; the first answer counts. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>

namespace bulrushloft::cell {

/** The tries of one call after the other. */
struct HedgedCall {
    std::uint64_t m_callNumber = 0; ///< Number of the call; answers to earlier ones are dropped.
    std::uint32_t m_inFlight = 0; ///< Its tries that are unanswered.
    TimePoint m_lastAttemptAt; ///< When the latest try was sent.
    TimePoint m_notBefore; ///< No try before.
};

/**
 * @param patience How long a try may be silent before another one is sent beside it.
 * @return Whether a try is to be sent.
 */
bool isAttemptDue(const HedgedCall& call, Duration hedgeDelay, TimePoint now);

/** Notes that a try is sent. @return What its answer has to give. */
std::uint64_t beginAttempt(HedgedCall& call, TimePoint now);

/** @return Whether an answer belongs to the present call. */
bool isAnswerToCall(const HedgedCall& call, std::uint64_t callNumber);

/** The present call is over; its other tries are dropped. @param nextAt The next call is not sent before. */
void endCall(HedgedCall& call, TimePoint nextAt);

/** A try has failed. @param nextAt When no other is on its way, none is sent before. */
void failAttempt(HedgedCall& call, TimePoint nextAt);

} // namespace bulrushloft::cell
