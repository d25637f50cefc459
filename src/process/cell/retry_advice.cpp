/** @file retry_advice.cpp Retry delays of refused callers. */
#include "process/cell/retry_advice.h"

#include <algorithm>
#include <cmath>

namespace bulrushloft::cell {

namespace {

    constexpr std::int64_t secondMs = 1'000;
    constexpr Duration second { secondMs };
    constexpr Duration maxBackoff { 8'000 };
    constexpr std::int64_t callsPerPatience = 4; ///< Calls that a caller makes at least while it waits.

    /** @return Time between the calls of one caller during an outage. */
    Duration backoffFor(const Refusal& refusal)
    {
        if (!refusal.m_storeOutage)
            return second;
        const Duration expectedRest { refusal.m_storeOutage->m_ms / 2 };
        const Duration affordable { refusal.m_patience.m_ms / callsPerPatience };
        return std::clamp(std::min(expectedRest, affordable), second, maxBackoff);
    }

    std::uint32_t& returnsIn(RetrySchedule& schedule, std::int64_t secondNumber)
    {
        return schedule.m_returns[static_cast<std::size_t>(secondNumber) % RetrySchedule::horizonSeconds];
    }

    void advance(RetrySchedule& schedule, TimePoint now)
    {
        constexpr double peakDecay = 0.98; ///< Per second; halves the peak within about half a minute.
        const std::int64_t current = now.m_ms / secondMs;
        const std::int64_t passed = current - schedule.m_second;
        if (passed <= 0)
            return;
        schedule.m_peakServed = std::max(schedule.m_peakServed * std::pow(peakDecay, static_cast<double>(passed)), static_cast<double>(schedule.m_served));
        schedule.m_served = 0;
        const auto horizon = static_cast<std::int64_t>(RetrySchedule::horizonSeconds);
        for (std::int64_t gone = std::max(schedule.m_second, current - horizon); gone < current; ++gone)
            returnsIn(schedule, gone) = 0;
        schedule.m_second = current;
    }

} // namespace

void countServedCall(RetrySchedule& schedule, TimePoint now)
{
    advance(schedule, now);
    ++schedule.m_served;
}

Duration scheduleReturn(RetrySchedule& schedule, const Refusal& refusal, TimePoint now)
{
    advance(schedule, now);
    const std::int64_t earliest = (backoffFor(refusal).m_ms + secondMs - 1) / secondMs;
    const std::int64_t latest = std::clamp((refusal.m_patience - second).m_ms / secondMs, earliest, static_cast<std::int64_t>(RetrySchedule::horizonSeconds) - 1);
    std::int64_t delay = earliest;
    const bool isLimited = !refusal.m_isUrgent && schedule.m_peakServed > 0;
    while (isLimited && delay < latest && returnsIn(schedule, schedule.m_second + delay) >= schedule.m_peakServed)
        ++delay;
    ++returnsIn(schedule, schedule.m_second + delay);
    return second * delay;
}

} // namespace bulrushloft::cell
