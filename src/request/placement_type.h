/** @file placement_type.h Inputs of a placement decision. */
#pragma once

#include "request/resources_type.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bulrushloft {

/** Resources of a worker that accepts tasks, during one scheduling pass. */
struct WorkerOffer {
    Resources m_free; ///< Resources that are not granted.
    Resources m_capacity; ///< Total resources.
    std::uint32_t m_zone = 0; ///< Number of the worker's availability zone.
    std::uint32_t m_rack = 0; ///< Number of the worker's rack.
    std::size_t m_worker = 0; ///< The owner's index of the worker.
};

/** Distribution of one job's tasks, for PlacementPolicy::Spread. */
struct SpreadCounts {
    std::unordered_map<std::uint32_t, std::uint32_t> m_byZone; ///< Number of tasks by zone.
    std::unordered_map<std::uint32_t, std::uint32_t> m_byRack; ///< Number of tasks by rack.
    std::unordered_map<std::size_t, std::uint32_t> m_byWorker; ///< Number of tasks by the owner's index of the worker.
};

constexpr std::size_t noOffer = SIZE_MAX;

} // namespace bulrushloft
