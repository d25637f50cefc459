/** @file urgency.h Order in which waiting steps are placed when capacity is short. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>

namespace bulrushloft::scheduler {

/** Class of a waiting step by the benefit of starting it now; lower values are placed first. */
enum class UrgencyClass : std::uint8_t {
    LongRunning, ///< Long-running tasks, for which every second without a running task is an outage.
    InTime, ///< The job can still meet its objective.
    Late, ///< The job will miss its objective, but its result is still of use.
    Overdue, ///< The result will be too late to be of much use; the job still runs.
};

/** Properties of a step that determine its urgency. */
struct UrgencyInput {
    bool m_isLongRunning = false; ///< The tasks run until the job is cancelled.
    TimePoint m_dueAt; ///< Time at which the job, or its occurrence, became due.
    Duration m_objective; ///< Time after m_dueAt within which the job should end.
    Duration m_remaining; ///< Predicted run time of the longest chain of steps that begins with this step.
    double m_remainingWork = 0; ///< Core-seconds that the job still needs; a GPU counts as eight cores.
};

/** Sort key of a waiting step; lower is more urgent. */
struct Urgency {
    UrgencyClass m_class = UrgencyClass::InTime; ///< Compared first.
    TimePoint m_key; ///< Due time for LongRunning; latest start that meets the objective for InTime; due time plus a delay for the remaining work for Late and Overdue.

    auto operator<=>(const Urgency&) const = default;
};

constexpr double delayPerCoreSecondMs = 200; ///< Late jobs are ordered by due time plus this for each core-second that they still need.

constexpr std::int64_t usefulLatenessFactor = 3; ///< The result of a job is of some use up to this multiple of its objective.

/**
 * Computes the urgency of a step.
 * Load: bursts of jobs that exceed the capacity. Work that can still meet its objective is placed first, least slack first, and is not
 * displaced by late work. Late work is ordered by due time plus remaining work, so that nearly finished jobs soon free
 * their resources and no job starves.
 */
constexpr Urgency urgencyOf(const UrgencyInput& input, TimePoint now)
{
    if (input.m_isLongRunning)
        return { .m_class = UrgencyClass::LongRunning, .m_key = input.m_dueAt };
    const TimePoint latestStart = input.m_dueAt + input.m_objective - input.m_remaining;
    // Estimates are rough: a start that is late by up to a fifth of the remaining time may still meet the objective.
    if (now <= latestStart + input.m_remaining / 5)
        return { .m_class = UrgencyClass::InTime, .m_key = latestStart };
    const TimePoint delayedByWork = input.m_dueAt + Duration { static_cast<std::int64_t>(input.m_remainingWork * delayPerCoreSecondMs) };
    const TimePoint latestUsefulStart = input.m_dueAt + input.m_objective * usefulLatenessFactor - input.m_remaining;
    return { .m_class = now <= latestUsefulStart ? UrgencyClass::Late : UrgencyClass::Overdue, .m_key = delayedByWork };
}

} // namespace bulrushloft::scheduler
