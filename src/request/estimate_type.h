/** @file estimate_type.h Measured usage of a program, relative to its declared size. */
#pragma once

#include "request/job_type.h"

#include <array>

namespace bulrushloft {

constexpr std::size_t estimateSampleCount = 16; ///< Number of samples that a usage history keeps.

/** Measured usage of one attempt, with amounts relative to the declared size. */
struct UsageSample {
    std::int64_t m_cpuPermille = 0; ///< Peak CPU usage, in thousandths of the declared CPU.
    std::int64_t m_memoryPermille = 0; ///< Peak memory usage, in thousandths of the declared memory.
    Duration m_runTime; ///< Time from start to end.
};

/** Latest usage samples of one program of one team. */
struct UsageHistory {
    std::array<UsageSample, estimateSampleCount> m_samples {}; ///< Ring buffer of the latest samples.
    std::uint32_t m_count = 0; ///< Samples added so far, including those that the ring buffer has dropped.
    std::int64_t m_outOfMemoryPermille = 0; ///< Largest memory grant that an attempt exceeded, in thousandths of the declared memory; 0 if none.
};

} // namespace bulrushloft
