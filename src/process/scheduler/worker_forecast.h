/** @file worker_forecast.h When workers are expected to have room, from the predicted ends of what they run. */
#pragma once

#include "process/scheduler/scheduler_base.h"

#include <optional>
#include <vector>

namespace bulrushloft::scheduler::detail {

/** The predicted end of an attempt. */
struct ExpectedEnd {
    TimePoint m_at; ///< When the attempt is expected to end; farFuture for long-running tasks.
    Resources m_grant; ///< Resources that become free then.
};

/** What a forecast of ends takes into account besides the predicted run time and the worker's speed. */
struct ForecastRules {
    double m_remoteFactor = 1; ///< Slowdown factor of tasks that run outside the rack of their data.
    bool m_extendsOverdue = false; ///< Attempts that run longer than predicted are expected to go on for some time, and those of unknown length for ever.
};

/** What a placement pass knows of room that comes free on a worker, for steps that wait for a better place. */
struct WorkerOutlook {
    std::size_t m_attempts = 0; ///< Number of attempts on the worker when m_ends was made.
    std::vector<ExpectedEnd> m_ends; ///< Expected ends of these, the earliest first.
    std::vector<ExpectedEnd> m_claims; ///< Expected ends of tasks that wait for room there.
    std::vector<const StepRun*> m_claimants; ///< Step of each of m_claims.
    Resources m_searchedSize; ///< Size of the tasks that m_roomAt holds for.
    std::optional<TimePoint> m_roomAt; ///< When the first task of that size is expected to have room; unset until it is searched for.
};

/** @return The predicted ends of all attempts on a worker, the earliest first. */
std::vector<ExpectedEnd> expectedEndsOf(const Worker& worker, TimePoint now, const ForecastRules& rules = {});

/**
 * Predicts when a worker has room for a task if nothing else is placed on it.
 * @param ends The worker's expected ends, the earliest first. @param free Its free resources now.
 * @return now when there is room already, farFuture when there never is.
 */
TimePoint expectedRoomAt(const std::vector<ExpectedEnd>& ends, const Resources& free, const Resources& size, TimePoint now);

} // namespace bulrushloft::scheduler::detail
