/** @file estimate.cpp Estimates of sizes from the maximum, and of run times from a percentile, of the latest usage samples. */
#include "request/estimate_func.h"

#include <algorithm>
#include <vector>

namespace bulrushloft {

namespace {

    constexpr std::uint32_t minSampleCount = 4; ///< Number of samples from which on the estimate replaces the declared size.
    constexpr std::int64_t grantPercentOfPeak = 120; ///< Grant, in percent of the peak usage.
    constexpr std::int64_t minCpuMilli = 50;
    constexpr std::int64_t minMemoryMb = 16;
    constexpr std::int64_t runTimePercentile = 80;
    constexpr std::int64_t maxEstimateFactor = 4; ///< Largest estimate, as a multiple of the declared size.
    constexpr std::int64_t grantPercentAfterOutOfMemory = 150; ///< Next memory grant, in percent of the grant that was exceeded.

    std::size_t sampleCount(const UsageHistory& history)
    {
        return std::min<std::size_t>(history.m_count, estimateSampleCount);
    }

    constexpr std::int64_t permille = 1'000;

    /** Rounds up, so that an estimate is never below the measured usage. */
    std::int64_t toPermille(std::int64_t amount, std::int64_t declared)
    {
        return declared > 0 ? (amount * permille + declared - 1) / declared : 0;
    }

    std::int64_t fromPermille(std::int64_t part, std::int64_t declared)
    {
        return (part * declared + permille - 1) / permille;
    }

    template <typename Field>
    std::int64_t maxOverSamples(const UsageHistory& history, Field field)
    {
        std::int64_t value = 0;
        for (std::size_t i = 0; i < sampleCount(history); ++i)
            value = std::max(value, field(history.m_samples[i]));
        return value;
    }

} // namespace

void addUsage(UsageHistory& history, const Resources& declared, const TaskUsage& usage)
{
    UsageSample& sample = history.m_samples[history.m_count % estimateSampleCount];
    sample.m_cpuPermille = toPermille(usage.m_peakCpuMilli, declared.m_cpuMilli);
    sample.m_memoryPermille = toPermille(usage.m_peakMemoryMb, declared.m_memoryMb);
    sample.m_runTime = usage.m_runTime;
    ++history.m_count;
}

void recordOutOfMemory(UsageHistory& history, const Resources& declared, std::int64_t grantedMb)
{
    history.m_outOfMemoryPermille = std::max(history.m_outOfMemoryPermille, toPermille(grantedMb, declared.m_memoryMb));
}

Resources estimateSize(const UsageHistory* history, const Resources& declared)
{
    Resources size = declared;
    if (!history)
        return size;
    if (history->m_count >= minSampleCount) {
        const std::int64_t cpu = maxOverSamples(*history, [](const UsageSample& sample) { return sample.m_cpuPermille; });
        const std::int64_t memory = maxOverSamples(*history, [](const UsageSample& sample) { return sample.m_memoryPermille; });
        size.m_cpuMilli = std::max(minCpuMilli, fromPermille(cpu * grantPercentOfPeak / 100, declared.m_cpuMilli));
        size.m_memoryMb = std::max(minMemoryMb, fromPermille(memory * grantPercentOfPeak / 100, declared.m_memoryMb));
    }
    if (history->m_outOfMemoryPermille > 0)
        size.m_memoryMb = std::max(size.m_memoryMb, fromPermille(history->m_outOfMemoryPermille * grantPercentAfterOutOfMemory / 100, declared.m_memoryMb));
    // Without the limit, a task that uses everything it is granted would be granted more on every run.
    size.m_cpuMilli = std::min(size.m_cpuMilli, declared.m_cpuMilli * maxEstimateFactor);
    size.m_memoryMb = std::min(size.m_memoryMb, declared.m_memoryMb * maxEstimateFactor);
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
