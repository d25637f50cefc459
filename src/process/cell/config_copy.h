/** @file config_copy.h Copies of the newest configuration in a topic of the cell's own, for VMs that start while the operator's topic does not answer. */
#pragma once

#include "process/cell/hedged_call.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace bulrushloft::cell {

constexpr std::uint32_t configCopyCount = 4; ///< One partition each: of a store that has lost 0.6 of its partitions, all are silent in an eighth of the cases; of two, in a third.

/** One copy of the configuration. */
struct ConfigCopy {
    HedgedCall m_write; ///< The current append, due or awaiting its answer.
    std::uint64_t m_storedVersion = 0; ///< The copy is known to be of this version or a later one; 0 for unknown.
    HedgedCall m_read; ///< The current listing, due or awaiting its answer.
    bool m_isRead = false; ///< Whether a listing was answered.
    std::string m_text; ///< Key and value that were listed, separated by a newline; empty when there were none.
};

/** All copies, as a daemon knows them. */
struct ConfigCopies {
    std::array<ConfigCopy, configCopyCount> m_copies; ///< By partition.
    std::optional<TimePoint> m_waitingSince; ///< Since when a daemon without a configuration has been waiting for the operator's topic.
    std::optional<TimePoint> m_firstReadAt; ///< When the first copy was read.
};

} // namespace bulrushloft::cell
