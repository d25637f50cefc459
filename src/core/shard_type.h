/** @file shard_type.h Types of log offsets, terms of ownership, process ids and fencing tokens. */
#pragma once

#include "core/strong_id.h"

#include <compare>
#include <cstdint>
#include <string>

namespace bulrushloft {

/** Position of an entry in a stream of the log, from 0. */
using Offset = StrongId<struct OffsetTag>;

/** Term of ownership of a shard: one more than the offset of the claim that started it; 0 before the first claim. */
using Epoch = StrongId<struct EpochTag>;

/** Id of a daemon process; a restarted process has a higher one. */
using InstanceId = StrongId<struct InstanceIdTag>;

/** Fencing token of a call to a worker or runner, which rejects tokens lower than the highest it has received. */
struct FencingToken {
    Epoch m_epoch; ///< Term of the shard's owner.
    std::uint32_t m_generation = 0; ///< Number of the adoption of the endpoint within the term, from 1.

    constexpr auto operator<=>(const FencingToken&) const = default;
};

} // namespace bulrushloft
