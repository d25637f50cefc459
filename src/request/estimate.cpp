/** @file estimate.cpp Quantiles over the latest uses of a program. */
#include "request/estimate_func.h"

#include <algorithm>
#include <vector>

namespace bulrushloft {

namespace {

    constexpr std::uint32_t samplesBeforeTrust = 4;
    constexpr std::int64_t headroomPercent = 120;
    constexpr std::int64_t smallestCpuMilli = 50;
    constexpr std::int64_t smallestMemoryMb = 16;
    constexpr std::int64_t runTimePercentile = 80;

    std::size_t sampleCount(const UsageHistory& history)
    {
        return std::min<std::size_t>(history.m_count, estimateSampleCount);
    }

    template <typename Field>
    std::int64_t largest(const UsageHistory& history, Field field)
    {
        std::int64_t value = 0;
        for (std::size_t i = 0; i < sampleCount(history); ++i)
            value = std::max(value, field(history.m_samples[i]));
        return value;
    }

} // namespace

void addUsage(UsageHistory& history, const TaskUsage& usage)
{
    history.m_samples[history.m_count % estimateSampleCount] = usage;
    ++history.m_count;
}

void addOutOfMemory(UsageHistory& history, std::int64_t grantedMb)
{
    history.m_largestOutOfMemoryMb = std::max(history.m_largestOutOfMemoryMb, grantedMb);
}

Resources estimateSize(const UsageHistory* history, const Resources& declared)
{
    Resources size = declared;
    if (!history)
        return size;
    if (history->m_count >= samplesBeforeTrust) {
        const std::int64_t cpu = largest(*history, [](const TaskUsage& usage) { return usage.m_peakCpuMilli; });
        const std::int64_t memory = largest(*history, [](const TaskUsage& usage) { return usage.m_peakMemoryMb; });
        size.m_cpuMilli = std::max(smallestCpuMilli, cpu * headroomPercent / 100);
        size.m_memoryMb = std::max(smallestMemoryMb, memory * headroomPercent / 100);
    }
    if (history->m_largestOutOfMemoryMb > 0)
        size.m_memoryMb = std::max(size.m_memoryMb, history->m_largestOutOfMemoryMb * 2);
    return size;
}

Duration estimateRunTime(const UsageHistory* history, Duration declared)
{
    if (!history || history->m_count == 0)
        return declared;
    std::vector<std::int64_t> times;
    for (std::size_t i = 0; i < sampleCount(*history); ++i)
        times.push_back(history->m_samples[i].m_runTime.m_ms);
    const std::size_t rank = (times.size() - 1) * runTimePercentile / 100;
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(rank), times.end());
    return { times[rank] };
}

} // namespace bulrushloft
