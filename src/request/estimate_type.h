/** @file estimate_type.h What runs of one program used, and what the next run is expected to use. */
#pragma once

#include "request/job_type.h"

#include <array>

namespace bulrushloft {

constexpr std::size_t estimateSampleCount = 16;

/** The latest uses of one program of one team. */
struct UsageHistory {
    std::array<TaskUsage, estimateSampleCount> m_samples {}; ///< A ring of the latest uses.
    std::uint32_t m_count = 0; ///< Uses seen so far; the ring holds the latest of them.
    std::int64_t m_largestOutOfMemoryMb = 0; ///< Largest grant that was too small, 0 when none was.
};

} // namespace bulrushloft
