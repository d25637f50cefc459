/** @file place_wait.cpp Expected saving of a better place against the time until it is free. */
#include "process/scheduler/place_wait.h"

#include <algorithm>

namespace bulrushloft::scheduler {

PlaceWait decidePlaceWait(const PlaceWaitInput& input, TimePoint now)
{
    const double saving = static_cast<double>(input.m_runTime.m_ms) * (input.m_factorNow - input.m_factorThen);
    if (saving < static_cast<double>(minSaving.m_ms))
        return {};
    const Duration worthwhile { static_cast<std::int64_t>(saving * input.m_shareOfSaving) };
    const TimePoint until = std::min(input.m_since + std::min(worthwhile, input.m_longestWait), input.m_latestStart);
    return { .m_isWorthwhile = now < until && input.m_roomAt <= until, .m_until = until };
}

TimePoint expectedEndOfAttempt(TimePoint startedAt, Duration predicted, TimePoint now)
{
    constexpr std::int64_t toleratedPart = 4; ///< An attempt counts as overdue once it exceeds the prediction by 1/toleratedPart; predictions are not more exact.
    constexpr Duration reportDelay { 100 }; ///< Ends are known this long after they happen, even when the worker answers late.
    constexpr std::int64_t remainingPart = 2; ///< An overdue attempt is expected to run 1/remainingPart of the time so far again.
    const Duration elapsed = now - startedAt;
    if (elapsed <= predicted + predicted / toleratedPart + reportDelay)
        return std::max(now, startedAt + predicted);
    return now + elapsed / remainingPart;
}

} // namespace bulrushloft::scheduler
