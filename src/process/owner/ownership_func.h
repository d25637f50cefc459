/** @file ownership_func.h Names of shards, assignment of racks and keys to shards, and ranking of candidate owners. */
#pragma once

#include "core/error_type.h"
#include "version/policy_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bulrushloft {

/** @return The name of a shard, in the form "pool-index". */
std::string shardName(const std::string& pool, std::uint32_t index);

/** @return The pool of a shard, taken from the name of the shard. */
std::string poolOfShard(const std::string& shard);

/**
 * @param rack Name of the rack.
 * @param shards Number of shards of the pool.
 * @return Index of the shard that the rack belongs to; all VMs of a rack belong to the same shard.
 */
std::uint32_t shardIndexForRack(const std::string& rack, std::uint32_t shards);

/**
 * @param pool Name of the pool.
 * @param key Idempotency key.
 * @param shards Number of shards of the pool.
 * @return Name of the shard that serves the key.
 */
std::string shardForKey(const std::string& pool, const std::string& key, std::uint32_t shards);

/** @return Names of all shards of all pools. */
std::vector<std::string> listShards(const Policy& policy);

/** A daemon that may own shards. */
struct OwnerCandidate {
    std::string m_member; ///< Name of its VM.
    std::uint32_t m_ownedCount = 0; ///< Number of shards that it owns already.
};

/**
 * Ranks the candidate owners of a shard by the number of shards they own, fewest first; ties are broken by rendezvous hash.
 * @return Names of the candidates' VMs, the best candidate first.
 */
std::vector<std::string> rankCandidates(const std::string& shard, const std::vector<OwnerCandidate>& candidates);

} // namespace bulrushloft
