/** @file journal_func.h Encoding of journal entries and their execution, the same for every origin. */
#pragma once

#include "core/command_type.h"
#include "core/error_type.h"
#include "process/shard_state_base.h"

namespace bulrushloft {

/** @return The entry as bytes for the log. */
std::string encodeEntry(const JournalEntry& entry);

/**
 * Reads an entry from the log.
 * @param bytes What the log holds.
 * @return The entry, or InvalidInput when the bytes are damaged or of an unknown kind.
 */
Expected<JournalEntry> decodeEntry(std::string_view bytes);

/** What came of one entry. */
struct AppliedEntry {
    EntryVerdict m_verdict = EntryVerdict::Applied; ///< What replay made of it.
    std::vector<Expected<void>> m_results; ///< One a record; empty unless applied.
};

/**
 * Executes an entry at its place in the stream.
 * @param state The shard; its next offset moves past the entry whatever the verdict.
 * @param entry The entry.
 * @param offset Its place, which has to be the state's next offset.
 * @param logTime When the log took it, on the log's clock.
 */
AppliedEntry applyEntry(ShardState& state, const JournalEntry& entry, Offset offset, TimePoint logTime);

/** Moves past an entry that could not be decoded. */
AppliedEntry skipMalformedEntry(ShardState& state, Offset offset);

/**
 * Runs the first pass of a command.
 * @return Whether the record would be executed if it were the next on the log.
 */
Expected<void> testRecord(const ShardState& state, const Record& record);

/**
 * Rebuilds every cache of the state and compares.
 * @return The first difference, or nothing.
 */
Expected<void> checkConsistency(const ShardState& state);

} // namespace bulrushloft
