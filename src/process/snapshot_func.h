/** @file snapshot_func.h Snapshots of replayed state, re-appended to the log well inside its retention. */
#pragma once

#include "connection/log_type.h"
#include "process/shard_state_base.h"

#include <optional>
#include <string>
#include <vector>

namespace bulrushloft {

/** @return The replayed state of a shard as bytes. */
std::string encodeShardState(const ShardState& state);

/** @return The state, or an error when the bytes are damaged. */
Expected<ShardState> decodeShardState(std::string_view bytes);

/**
 * Cuts a snapshot into entries for the log.
 * @param id Names the snapshot; unique in its stream.
 * @param bytes The snapshot.
 */
std::vector<std::string> splitSnapshot(std::uint64_t id, const std::string& bytes);

/** Puts the entries of a snapshot stream together again. */
struct SnapshotAssembler {
    std::uint64_t m_id = 0; ///< Snapshot that is being put together.
    std::vector<std::string> m_parts; ///< Its parts so far.
    std::string m_complete; ///< The newest snapshot whose parts were all there.
};

/** Adds one entry; entries that are damaged or out of turn are passed over. */
void addSnapshotEntry(SnapshotAssembler& assembler, std::string_view bytes);

} // namespace bulrushloft
