/** @file log_type.h Calls to the platform's append-only log and its answers. */
#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "process/shard_type.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** One entry of a stream. */
struct LogEntry {
    Offset m_offset; ///< Its place.
    TimePoint m_time; ///< When the log took it, on the log's clock.
    std::string m_bytes; ///< What was appended.
};

/** The log took an append. */
struct LogAppendAnswer {
    Offset m_offset; ///< Place of the entry.
    TimePoint m_time; ///< When the log took it, on the log's clock.
};

/** What a read found. */
struct LogReadAnswer {
    Offset m_oldest; ///< The oldest entry that is still kept.
    Offset m_end; ///< One past the newest entry.
    TimePoint m_now; ///< The log's clock.
    std::vector<LogEntry> m_entries; ///< Entries from the asked offset on, as many as fit.
};

/** Result of an append; an append without an answer may have taken effect. */
using LogAppendResult = tl::expected<LogAppendAnswer, Error>;

using LogReadResult = tl::expected<LogReadAnswer, Error>;

} // namespace bulrushloft
