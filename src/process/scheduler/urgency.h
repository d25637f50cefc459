/** @file urgency.h In which order waiting steps are placed when there is not room for all. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>

namespace bulrushloft::scheduler {

/** How much can still be gained by starting a step now; lower comes first. */
enum class UrgencyClass : std::uint8_t {
    Lasting, ///< Each second down counts.
    InTime, ///< The job can still meet its objective.
    Late, ///< The job will be late but still of use.
    Overdue, ///< The job is too late to be of much use; it still runs.
};

/** What the order looks at. */
struct UrgencyInput {
    bool m_isLongRunning = false; ///< The tasks run until the job is cancelled.
    TimePoint m_acceptedAt; ///< When the job, or its occurrence, became due.
    Duration m_objective; ///< Time from then in which the job should end.
    Duration m_remaining; ///< Estimated rest of the longest chain from this step on.
    double m_remainingWork = 0; ///< Core-seconds that the job still takes; a GPU counts as eight cores.
};

/** Place of a step in the order. */
struct Urgency {
    UrgencyClass m_class = UrgencyClass::InTime; ///< Compared first.
    TimePoint m_key; ///< Latest start that meets the objective, or the due time once that has passed.

    auto operator<=>(const Urgency&) const = default;
};

constexpr double agePerCoreSecondMs = 200; ///< Late jobs go by age, less this for each core-second that they still take.

constexpr std::int64_t lateFactor = 3; ///< A job is of some use up to this multiple of its objective.

/**
 * Decides where a step stands in the order.
 * Answers bursts above capacity: work that can still be in time goes first, least slack first; what is late
 * already does not push it aside, and goes by age less its work, so that what is nearly done frees its room soon and
 * nothing waits for ever.
 */
constexpr Urgency urgencyOf(const UrgencyInput& input, TimePoint now)
{
    if (input.m_isLongRunning)
        return { .m_class = UrgencyClass::Lasting, .m_key = input.m_acceptedAt };
    const TimePoint latestStart = input.m_acceptedAt + input.m_objective - input.m_remaining;
    // Estimates are rough: a start that is late by a fifth of the rest may still be in time.
    if (now <= latestStart + input.m_remaining / 5)
        return { .m_class = UrgencyClass::InTime, .m_key = latestStart };
    const TimePoint byAgeAndWork = input.m_acceptedAt + Duration { static_cast<std::int64_t>(input.m_remainingWork * agePerCoreSecondMs) };
    const TimePoint lastUse = input.m_acceptedAt + input.m_objective * lateFactor - input.m_remaining;
    return { .m_class = now <= lastUse ? UrgencyClass::Late : UrgencyClass::Overdue, .m_key = byAgeAndWork };
}

} // namespace bulrushloft::scheduler
