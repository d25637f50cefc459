/** @file snapshot_func.h Snapshots of a shard's state, written to the log often enough that one always lies within the log's retention. */
#pragma once

#include "connection/log_type.h"
#include "process/journal/shard_state_base.h"

#include <optional>
#include <string>
#include <vector>

namespace bulrushloft {

/** @return The state of a shard, encoded as CBOR. */
std::string encodeShardState(const ShardState& state);

/** @return The decoded state; InvalidInput if the bytes are damaged or of another format version, Internal if the state is inconsistent. */
Expected<ShardState> decodeShardState(std::string_view bytes);

/**
 * Splits a snapshot into entries for the log.
 * @param id Id of the snapshot, unique within its stream.
 * @param bytes The encoded snapshot.
 * @return The encoded entries, in the order in which to append them.
 */
std::vector<std::string> splitSnapshot(std::uint64_t id, const std::string& bytes);

/** Reassembles snapshots from the entries of a snapshot stream. */
struct SnapshotAssembler {
    std::uint64_t m_id = 0; ///< Id of the snapshot that is being assembled.
    std::vector<std::string> m_parts; ///< Parts of that snapshot received so far.
    std::string m_complete; ///< The newest complete snapshot; empty if there is none.
};

/** Adds one entry; entries that are damaged or out of order are ignored. */
void addSnapshotEntry(SnapshotAssembler& assembler, std::string_view bytes);

} // namespace bulrushloft
