/** @file store_type.h Calls to the metadata store that keeps all that must last. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrushloft {

/** A partition of a topic of the store. */
struct StorePartition {
    std::string m_topic; ///< Name of the topic.
    std::uint32_t m_partition = 0; ///< Number of the partition.

    auto operator<=>(const StorePartition&) const = default;
};

/** One record of a topic that keeps the newest record of each key. */
struct KeyedRecord {
    std::string m_key; ///< At most 255 bytes.
    std::string m_value; ///< Empty to drop the key.
    std::uint64_t m_offset = 0; ///< Its place in the partition, as read.
};

/** A writer that the store fences by its epoch. */
struct FencedWriter {
    std::string m_name; ///< Name shared by all holders of the role.
    std::uint64_t m_epoch = 0; ///< Rises with each holder.
    std::uint64_t m_sequence = 0; ///< Rises by one with each append; a repeat has the same number.
};

/** An append to a keyed topic. */
struct StoreAppend {
    StorePartition m_partition; ///< Where.
    std::vector<KeyedRecord> m_records; ///< What; none only sets the epoch.
    std::optional<FencedWriter> m_writer; ///< Set for fenced appends.
    std::optional<std::uint64_t> m_expectedEnd; ///< Append only if the partition ends here.
};

/** How an append or read ended. */
enum class StoreStatus : std::uint8_t {
    Done, ///< Carried out.
    NotDone, ///< Refused; surely not carried out.
    Unknown, ///< No answer; may have been carried out, now or seconds later.
    Fenced, ///< A writer with a higher epoch exists.
    OutOfSequence, ///< Another sequence number was expected.
    EndMismatch, ///< The partition does not end where the condition says.
    Expired, ///< The records that were asked for have been deleted.
};

/** Answer to an append. */
struct StoreAppendAnswer {
    StoreStatus m_status = StoreStatus::Unknown; ///< How it ended.
    std::uint64_t m_offset = 0; ///< Offset of the first record, when Done.
    std::uint64_t m_end = 0; ///< End of the partition, when Done or EndMismatch.
    std::string m_reason; ///< What was answered, for the log.
};

/** A read of records from an offset on. */
struct StoreRead {
    StorePartition m_partition; ///< Where.
    std::uint64_t m_from = 0; ///< First offset.
    Duration m_wait; ///< How long the store may wait for a record.
    std::uint32_t m_maxKb = 1'024; ///< Most kilobytes in the answer.
};

/** Answer to a read. */
struct StoreReadAnswer {
    StoreStatus m_status = StoreStatus::Unknown; ///< Done, Expired, NotDone or Unknown.
    std::uint64_t m_end = 0; ///< End of the partition.
    std::vector<KeyedRecord> m_records; ///< Records from the offset on.
    std::string m_reason; ///< What was answered, for the log.
};

/** A read of the newest record of each key. */
struct StoreNewestRead {
    StorePartition m_partition; ///< Where.
    std::string m_after; ///< Continue after this key; empty to begin.
};

/** Answer to a read of the newest records; one page. */
struct StoreNewestAnswer {
    StoreStatus m_status = StoreStatus::Unknown; ///< Done, NotDone or Unknown.
    std::vector<KeyedRecord> m_records; ///< One record a key.
    bool m_hasMore = false; ///< Continue after the last key.
    std::uint64_t m_end = 0; ///< End of the partition when the page was read.
    std::string m_reason; ///< What was answered, for the log.
};

} // namespace bulrushloft
