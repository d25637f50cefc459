/** @file shard_type.h Ids of shards, ownership and positions on the log. */
#pragma once

#include "core/strong_id.h"

#include <compare>
#include <cstdint>
#include <string>

namespace bulrushloft {

/** Position of an entry in a stream of the log, from 0. */
using Offset = StrongId<struct OffsetTag>;

/** Term of ownership of a shard: one more than the offset of the claim that began it; 0 before the first claim. */
using Epoch = StrongId<struct EpochTag>;

/** One run of one process; a restarted process has another one. */
using InstanceId = StrongId<struct InstanceIdTag>;

/** What a worker or runner compares before it obeys: it refuses whatever is lower than the highest it has seen. */
struct FencingToken {
    Epoch m_epoch; ///< Term of the shard's owner.
    std::uint32_t m_generation = 0; ///< Number of the adoption within the term.

    constexpr auto operator<=>(const FencingToken&) const = default;
};

} // namespace bulrushloft
