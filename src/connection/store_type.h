/** @file store_type.h Calls to the metadata store, which holds all durable state, and its answers. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrushloft {

/** A partition of a topic in the store. */
struct StorePartition {
    std::string m_topic; ///< Topic name.
    std::uint32_t m_partition = 0; ///< Partition number within the topic.

    auto operator<=>(const StorePartition&) const = default;
};

/** A record of a keyed topic, which retains the newest record of each key. */
struct KeyedRecord {
    std::string m_key; ///< Key, at most 255 bytes.
    std::string m_value; ///< Value; an empty one deletes the key.
    std::uint64_t m_offset = 0; ///< Offset in the partition; only set for records that were read.
};

/** Identity of a fenced writer: the store refuses its appends once it has seen a higher epoch under the same name. */
struct FencedWriter {
    std::string m_name; ///< Name that all successive holders of the role share.
    std::uint64_t m_epoch = 0; ///< Increases with each new holder of the role.
    std::uint64_t m_sequence = 0; ///< Increases by one with each append; a retry repeats the number, so that the store can detect the duplicate.
};

/** An append to a keyed topic. */
struct StoreAppend {
    StorePartition m_partition; ///< Target partition.
    std::vector<KeyedRecord> m_records; ///< Records to append; an empty list only advances the writer's epoch.
    std::optional<FencedWriter> m_writer; ///< Writer of a fenced append; unset for an unfenced one.
    std::optional<std::uint64_t> m_expectedEnd; ///< If set, append only if the end of the partition is at this offset.
};

/** Outcome of an append or a read. */
enum class StoreStatus : std::uint8_t {
    Done, ///< Carried out.
    NotDone, ///< Refused or not sent; definitely had no effect.
    Unknown, ///< No conclusive answer: the call may have taken effect, or still take effect seconds later.
    Fenced, ///< The store has seen a higher epoch of this writer.
    OutOfSequence, ///< The store expected a different sequence number.
    EndMismatch, ///< The partition does not end at StoreAppend::m_expectedEnd.
    Expired, ///< The requested records have been deleted.
};

/** Answer to an append. */
struct StoreAppendAnswer {
    StoreStatus m_status = StoreStatus::Unknown; ///< Outcome.
    std::uint64_t m_offset = 0; ///< Offset of the first appended record; only valid with Done.
    std::uint64_t m_end = 0; ///< End offset of the partition; only valid with Done or EndMismatch.
    std::string m_reason; ///< Description of the answer or failure, for the log.
};

/** A read of consecutive records. */
struct StoreRead {
    StorePartition m_partition; ///< Target partition.
    std::uint64_t m_from = 0; ///< Offset of the first record to read.
    Duration m_wait; ///< Maximum time that the store may wait for a record to arrive.
    std::uint32_t m_maxKb = 1'024; ///< Size limit of the answer in kilobytes.
};

/** Answer to a StoreRead. */
struct StoreReadAnswer {
    StoreStatus m_status = StoreStatus::Unknown; ///< Outcome: Done, Expired, NotDone or Unknown.
    std::uint64_t m_end = 0; ///< End offset of the partition.
    std::vector<KeyedRecord> m_records; ///< Records from the requested offset on.
    std::string m_reason; ///< Description of the answer or failure, for the log.
};

/** A paged read of the newest record of each key. */
struct StoreNewestRead {
    StorePartition m_partition; ///< Target partition.
    std::string m_after; ///< Last key of the previous page; empty for the first page.
};

/** Answer to a StoreNewestRead: one page. */
struct StoreNewestAnswer {
    StoreStatus m_status = StoreStatus::Unknown; ///< Outcome: Done, NotDone or Unknown.
    std::vector<KeyedRecord> m_records; ///< Newest record of each key.
    bool m_hasMore = false; ///< Whether there are further pages after the last key of this one.
    std::uint64_t m_end = 0; ///< End offset of the partition at the time of the read.
    std::string m_reason; ///< Description of the answer or failure, for the log.
};

} // namespace bulrushloft
