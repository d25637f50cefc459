/** @file admission.h Whether submissions are taken, wait or are refused; decided from what is known of the store. */
#pragma once

#include "core/clock_type.h"

#include <optional>

namespace bulrushloft::cell {

/** What a leader knows of the store when a submission waits. */
struct StoreHealth {
    std::optional<TimePoint> m_oldestAppendSentAt; ///< Since when the oldest append is not confirmed.
    TimePoint m_lastContactAt; ///< When the store last answered any call.
    bool m_isReadyForAppend = false; ///< Whether the next append may be filled.
};

/** What is done with a submission that has not been recorded. */
enum class Admission : std::uint8_t {
    Accept, ///< It goes into the next append.
    Wait, ///< The append before it is not answered yet.
    Refuse, ///< The store is silent; nothing of it has left, so it surely never runs.
};

/**
 * Load: the store falls silent while jobs keep coming. What has left in an append can only be told as unknown, which
 * clients can't repeat; what waits here is refused for certain once the silence is no longer a slow answer.
 */
Admission decideAdmission(const StoreHealth& health, TimePoint now);

/** When a refused caller should come back: often enough for the few seconds that clients have, and no storm. */
constexpr Duration clientRetryDelay { 1'000 };

/** @return Whether the store answered so lately that the silence told by the leader is the leader's own. */
bool hasRecentAnswer(TimePoint lastAnswerAt, TimePoint now);

} // namespace bulrushloft::cell
