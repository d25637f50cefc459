/** @file ownership_func.h Which shards there are, what belongs to them, and who should own them. */
#pragma once

#include "core/error_type.h"
#include "version/policy_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bulrushloft {

/** @return The name of a shard: pool, hyphen, index. */
std::string shardName(const std::string& pool, std::uint32_t index);

/** @return The pool of a shard by its name. */
std::string poolOfShard(const std::string& shard);

/** @return The shard of a pool that a rack belongs to; a rack is never divided. */
std::uint32_t shardIndexForRack(const std::string& rack, std::uint32_t shards);

/** @return The shard of a pool that serves a key. */
std::string shardForKey(const std::string& pool, const std::string& key, std::uint32_t shards);

/** @return All shards of all pools. */
std::vector<std::string> listShards(const Policy& policy);

/** A VM that may own shards. */
struct OwnerCandidate {
    std::string m_member; ///< Name of the VM.
    std::uint32_t m_ownedCount = 0; ///< Shards that it owns already.
};

/**
 * Ranks the candidates for a shard: those that own the fewest shards first, then by rendezvous hash.
 * @return Names of the VMs, the best first.
 */
std::vector<std::string> rankCandidates(const std::string& shard, const std::vector<OwnerCandidate>& candidates);

} // namespace bulrushloft
