/** @file worker_forecast.h When workers are expected to have room, from the predicted ends of what they run. */
#pragma once

#include "process/scheduler/scheduler_base.h"

#include <vector>

namespace bulrushloft::scheduler::detail {

/** The predicted end of an attempt. */
struct ExpectedEnd {
    TimePoint m_at; ///< When the attempt is expected to end; farFuture for long-running tasks.
    Resources m_grant; ///< Resources that become free then.
};

/** @return The predicted ends of all attempts on a worker, the earliest first. */
std::vector<ExpectedEnd> expectedEndsOf(const Worker& worker, TimePoint now);

/**
 * Predicts when a worker has room for a task if nothing else is placed on it.
 * @param ends The worker's expected ends, the earliest first. @param free Its free resources now.
 * @return now when there is room already, farFuture when there never is.
 */
TimePoint expectedRoomAt(const std::vector<ExpectedEnd>& ends, const Resources& free, const Resources& size, TimePoint now);

} // namespace bulrushloft::scheduler::detail
