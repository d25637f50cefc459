/** @file log_type.h Answers of the platform's append-only log service. */
#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "core/shard_type.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** An entry of a stream. */
struct LogEntry {
    Offset m_offset; ///< Position in the stream.
    TimePoint m_time; ///< Time of the append on the log's clock.
    std::string m_bytes; ///< Appended content.
};

/** Answer to a successful append. */
struct LogAppendAnswer {
    Offset m_offset; ///< Position of the new entry.
    TimePoint m_time; ///< Time of the append on the log's clock.
};

/** Answer to a successful read. */
struct LogReadAnswer {
    Offset m_oldest; ///< Offset of the oldest retained entry.
    Offset m_end; ///< Offset one past the newest entry.
    TimePoint m_now; ///< Current time on the log's clock.
    std::vector<LogEntry> m_entries; ///< Entries from the requested offset on, up to the size limit of the read.
};

/** Result of an append. On an error the entry may still have been appended, as the answer can get lost. */
using LogAppendResult = tl::expected<LogAppendAnswer, Error>;

using LogReadResult = tl::expected<LogReadAnswer, Error>;

} // namespace bulrushloft
