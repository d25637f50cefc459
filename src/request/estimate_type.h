/** @file estimate_type.h What runs of one program used of what they declared. */
#pragma once

#include "request/job_type.h"

#include <array>

namespace bulrushloft {

constexpr std::size_t estimateSampleCount = 16;

/** What one run used. */
struct UsageSample {
    std::int64_t m_cpuPermille = 0; ///< Highest use of processors, in thousandths of what was declared.
    std::int64_t m_memoryPermille = 0; ///< Highest use of memory, in thousandths of what was declared.
    Duration m_runTime; ///< From start to end.
};

/** The latest uses of one program of one team. */
struct UsageHistory {
    std::array<UsageSample, estimateSampleCount> m_samples {}; ///< A ring of the latest uses.
    std::uint32_t m_count = 0; ///< Uses seen so far; the ring holds the latest of them.
    std::int64_t m_outOfMemoryPermille = 0; ///< Largest grant that was too small, in thousandths of what was declared.
};

} // namespace bulrushloft
