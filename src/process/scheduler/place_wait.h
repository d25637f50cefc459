/** @file place_wait.h Whether a task waits for a better place than the ones that are free now. */
#pragma once

#include "core/clock_type.h"

namespace bulrushloft::scheduler {

constexpr double waitShareOfSaving = 0.75; ///< A wait may use up this fraction of the run time that the better place saves; see docs/design/place-wait.md.

/** What is known of the best place that is free now, and of a better one that is expected to come free. */
struct PlaceWaitInput {
    TimePoint m_since; ///< When the task first left a free place unused; the present time when it has not yet.
    TimePoint m_roomAt; ///< When the better place is expected to be free; farFuture when nothing is known to free it.
    Duration m_runTime; ///< Predicted run time at mean speed near the data; 0 when unknown.
    double m_factorNow = 1; ///< Run time in the free place divided by m_runTime.
    double m_factorThen = 1; ///< Run time in the better place divided by m_runTime.
    TimePoint m_latestStart; ///< Latest start in the better place with which the job is expected to meet its objective.
    Duration m_longestWait; ///< Upper bound of the wait, whatever it saves.
    double m_shareOfSaving = waitShareOfSaving; ///< Fraction of the saving that the wait may use up.
};

/** A decision to wait for a better place, or not. */
struct PlaceWait {
    bool m_isWorthwhile = false; ///< The task waits; the decision is made again at each placement pass.
    TimePoint m_until; ///< When the wait ends at the latest. Unset if it saves too little in any case.
};

constexpr Duration minSaving { 100 }; ///< Placement passes without another event are 50 ms apart, so shorter savings cannot be planned for.

/**
 * Compares the run time that a better place saves with the time until it is expected to be free.
 * The bound counts from the beginning of the wait, so that a place that is always about to come free is not waited for indefinitely.
 */
PlaceWait decidePlaceWait(const PlaceWaitInput& input, TimePoint now);

/**
 * Predicts the end of an attempt, also of one that runs longer than predicted.
 * Load: 3 % of the tasks run 7 times as long as the others. One that is overdue is not about to end: the longer it has run, the longer it still runs.
 * @param predicted Predicted run time of the whole attempt.
 */
TimePoint expectedEndOfAttempt(TimePoint startedAt, Duration predicted, TimePoint now);

} // namespace bulrushloft::scheduler
