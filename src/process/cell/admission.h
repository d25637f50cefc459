/** @file admission.h Admission control: whether submissions are accepted, wait or are refused, depending on the store's health. */
#pragma once

#include "core/clock_type.h"

#include <optional>

namespace bulrushloft::cell {

/** A writer's view of the metadata store. */
struct StoreHealth {
    std::optional<TimePoint> m_oldestAppendSentAt; ///< When the oldest unconfirmed append was sent; empty when all are confirmed.
    TimePoint m_lastContactAt; ///< When the store last answered any call.
    bool m_isReadyForAppend = false; ///< Whether another append may be sent now.
};

/** Decision on a submission that has not been recorded. */
enum class Admission : std::uint8_t {
    Accept, ///< It becomes part of the next append.
    Wait, ///< An earlier append is still unanswered.
    Refuse, ///< The store is silent; the submission was never sent, so it certainly won't run.
};

/**
 * Decides on pending submissions. When the store falls silent while jobs keep arriving, a submission that was sent in an
 * unanswered append can only be reported as unknown, which clients can't retry. Submissions that still wait are refused
 * instead, which is a certain outcome, once the silence is too long for a store that is merely slow.
 */
Admission decideAdmission(const StoreHealth& health, TimePoint now);

/**
 * Checks whether the store answers this daemon although it does not answer the leader.
 * @param lastAnswerAt When the store last answered this daemon.
 * @return Whether the answer is so recent that a silence reported by the leader can't affect the whole store.
 */
bool hasRecentAnswer(TimePoint lastAnswerAt, TimePoint now);

} // namespace bulrushloft::cell
