/** @file journal_func.h Encoding and execution of journal entries; an entry has the same effect on the owner and on every replica. */
#pragma once

#include "core/command_type.h"
#include "core/error_type.h"
#include "process/journal/shard_state_base.h"

namespace bulrushloft {

/** @return The entry, encoded as CBOR for the log. */
std::string encodeEntry(const JournalEntry& entry);

/**
 * Decodes an entry.
 * @param bytes The encoded entry, as read from the log.
 * @return The entry; InvalidInput if the bytes are damaged, of another format version or contain an unknown kind of record.
 */
Expected<JournalEntry> decodeEntry(std::string_view bytes);

/** Result of applying or skipping one entry. */
struct EntryResult {
    EntryVerdict m_verdict = EntryVerdict::Applied; ///< Whether the entry was applied and, if not, why.
    std::vector<Expected<void>> m_results; ///< Results of its records, in order; empty unless the entry was applied.
};

/**
 * Applies an entry of the journal.
 * @param state The shard; its next offset advances past the entry whatever the verdict.
 * @param entry The entry.
 * @param offset Offset of the entry; must be the next offset of the state.
 * @param logTime Time at which the log accepted the entry, on the log's clock.
 */
EntryResult applyEntry(ShardState& state, const JournalEntry& entry, Offset offset, TimePoint logTime);

/** Advances the state past an entry that could not be decoded. */
EntryResult skipMalformedEntry(ShardState& state, Offset offset);

/**
 * Runs the command of a record in test mode, without changing the state.
 * @return Success if the command would be executed were the record next in the journal; otherwise the error of the command.
 */
Expected<void> testRecord(const ShardState& state, const Record& record);

/**
 * Checks the caches of the state against the data that they are derived from.
 * @return Success, or Internal with a description of the first difference found.
 */
Expected<void> checkConsistency(const ShardState& state);

} // namespace bulrushloft
