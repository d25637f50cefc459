/** @file ownership_cmd.h Commands on the ownership of a shard. */
#pragma once

#include "core/command_type.h"
#include "core/error_type.h"
#include "process/shard_state_base.h"

namespace bulrushloft {

/**
 * Begins a term if the claim supersedes the current one.
 * @param state The shard.
 * @param entry The entry that holds the claim.
 * @param record The claim.
 * @param offset Place of the entry in the stream; it gives the new term its number.
 * @return Stale when another claim came first.
 */
Expected<void> claimShard(ShardState& state, const JournalEntry& entry, const ClaimRecord& record, Offset offset, CommandMode mode);

/** Forgets the former owners: no endpoint obeys them any more. */
Expected<void> fenceFormerOwners(ShardState& state, CommandMode mode);

/** Marks the current term as given up by its owner. */
Expected<void> releaseShard(ShardState& state, CommandMode mode);

} // namespace bulrushloft
