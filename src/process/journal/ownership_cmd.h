/** @file ownership_cmd.h Commands that change the owner of a shard. */
#pragma once

#include "core/command_type.h"
#include "core/error_type.h"
#include "process/journal/shard_state_base.h"

namespace bulrushloft {

/**
 * Starts a new term of ownership if the claim supersedes the current term.
 * @param state The shard.
 * @param entry The entry that contains the claim.
 * @param record The claim.
 * @param offset Offset of the entry in the stream; the number of the new term is derived from it.
 * @param mode Test or execute.
 * @return Stale if another claim was applied first.
 */
Expected<void> claimShard(ShardState& state, const JournalEntry& entry, const ClaimRecord& record, Offset offset, CommandMode mode);

/** Removes the former owners, because every endpoint now rejects their fencing tokens. */
Expected<void> fenceFormerOwners(ShardState& state, CommandMode mode);

/** Records that the owner has released the current term. */
Expected<void> releaseShard(ShardState& state, CommandMode mode);

} // namespace bulrushloft
