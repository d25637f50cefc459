/** @file placement_type.h What a placement decision looks at. */
#pragma once

#include "request/resources_type.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bulrushloft {

/** A worker that may take tasks, during one scheduling pass. */
struct WorkerOffer {
    Resources m_free; ///< What is not granted.
    Resources m_capacity; ///< What it has.
    std::uint32_t m_zone = 0; ///< Number of its zone.
    std::uint32_t m_rack = 0; ///< Number of its rack.
    std::size_t m_worker = 0; ///< Index of the worker at the owner.
};

/** Where the tasks of one job are, for spreading. */
struct SpreadCounts {
    std::unordered_map<std::uint32_t, std::uint32_t> m_byZone; ///< Tasks by zone.
    std::unordered_map<std::uint32_t, std::uint32_t> m_byRack; ///< Tasks by rack.
    std::unordered_map<std::size_t, std::uint32_t> m_byWorker; ///< Tasks by index of the worker.
};

constexpr std::size_t noOffer = SIZE_MAX;

} // namespace bulrushloft
