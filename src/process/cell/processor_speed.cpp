/** @file processor_speed.cpp Compares the time that items take with the usual one. */
#include "process/cell/processor_speed.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    constexpr Duration intervalLength { 100 };
    constexpr std::size_t minItems = 5; ///< Fewer items in an interval tell nothing.
    constexpr std::uint32_t minUsualCount = 20; ///< Intervals after which the usual time of an item is known.
    constexpr std::uint32_t maxUsualCount = 100; ///< The usual time follows slow changes of the load within about ten seconds.
    constexpr double slowFactor = 2.5; ///< Averages of a busy leader's items vary by less than this factor.
    constexpr double recentWeight = 0.4; ///< Single intervals vary by a factor of three, as some items are large.
    constexpr double busyShare = 0.3; ///< The thread of the sockets takes most of the rest on a VM with one core.
    constexpr Duration slowTime { 500 };

    bool isBusy(const ProcessorSpeed& speed, Duration length)
    {
        constexpr double usPerMs = 1'000;
        return static_cast<double>(speed.m_interval.m_itemUs + speed.m_interval.m_stepUs) >= busyShare * usPerMs * static_cast<double>(length.m_ms);
    }

    void updateUsual(ProcessorSpeed& speed, double itemUs)
    {
        speed.m_usualCount = std::min(speed.m_usualCount + 1, maxUsualCount);
        speed.m_usualItemUs += (itemUs - speed.m_usualItemUs) / speed.m_usualCount;
    }

    void endInterval(ProcessorSpeed& speed, TimePoint now)
    {
        if (speed.m_interval.m_items < minItems)
            return speed.m_slowSince.reset();
        const double itemUs = static_cast<double>(speed.m_interval.m_itemUs) / static_cast<double>(speed.m_interval.m_items);
        speed.m_recentItemUs += (speed.m_usualCount == 0 ? 1 : recentWeight) * (itemUs - speed.m_recentItemUs);
        const bool isSlow = speed.m_usualCount >= minUsualCount && speed.m_recentItemUs >= slowFactor * speed.m_usualItemUs;
        if (!isSlow)
            updateUsual(speed, itemUs);
        if (!isSlow || !isBusy(speed, now - speed.m_intervalAt))
            return speed.m_slowSince.reset();
        if (!speed.m_slowSince)
            speed.m_slowSince = speed.m_intervalAt;
    }

} // namespace

void noteRound(ProcessorSpeed& speed, const RoundTimes& round, TimePoint now)
{
    if (speed.m_intervalAt == TimePoint {})
        speed.m_intervalAt = now;
    speed.m_interval.m_items += round.m_items;
    speed.m_interval.m_itemUs += round.m_itemUs;
    speed.m_interval.m_stepUs += round.m_stepUs;
    if (now - speed.m_intervalAt < intervalLength)
        return;
    endInterval(speed, now);
    speed.m_interval = {};
    speed.m_intervalAt = now;
}

bool isSlowed(const ProcessorSpeed& speed, TimePoint now)
{
    return speed.m_slowSince && now - *speed.m_slowSince >= slowTime;
}

} // namespace bulrushloft::cell
