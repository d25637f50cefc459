/** @file fake_log.h In-memory append-only log with offsets and a retention period, and settings for outages, lost answers and a rate limit. */
#pragma once

#include "connection/log_type.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace bulrushloft {

/** A stream of the log. */
struct FakeStream {
    Offset m_oldest; ///< Offset of the oldest retained entry; m_end if there is none.
    Offset m_end; ///< Offset one past the newest entry.
    std::deque<LogEntry> m_entries; ///< Retained entries, the oldest first.
};

/** The log. The functions below simulate only offsets and retention; the caller simulates outages, lost answers and the rate limit. */
struct FakeLog {
    std::map<std::string, FakeStream> m_streams; ///< Streams by name.
    Duration m_retention { 3'600'000 }; ///< Entries older than this are dropped at the next read.
    bool m_isDown = false; ///< Whether all calls fail without taking effect.
    double m_lostAnswerShare = 0; ///< Share of appends, 0 to 1, that take effect but whose answer is lost.
    std::uint64_t m_maxAppendsPerSecond = 500; ///< Rate limit; further appends in the same second are refused.
    std::uint64_t m_appendsTotal = 0; ///< Number of appends that have taken effect.
};

/** Appends an entry. @return Its offset and time. */
inline LogAppendAnswer append(FakeLog& log, const std::string& stream, std::string bytes, TimePoint now)
{
    FakeStream& stored = log.m_streams[stream];
    const Offset offset = stored.m_end;
    stored.m_entries.push_back({ .m_offset = offset, .m_time = now, .m_bytes = std::move(bytes) });
    ++stored.m_end.m_value;
    ++log.m_appendsTotal;
    return { .m_offset = offset, .m_time = now };
}

/** Drops entries that are older than the retention period. */
inline void expire(FakeLog& log, TimePoint now)
{
    for (auto& [name, stream] : log.m_streams) {
        while (!stream.m_entries.empty() && now - stream.m_entries.front().m_time > log.m_retention) {
            stream.m_entries.pop_front();
            ++stream.m_oldest.m_value;
        }
    }
}

/**
 * Reads entries.
 * @param from Offset of the first entry to read; the oldest retained entry is read first if this is lower.
 * @param limitBytes Size at which the read stops; the entry that reaches it is still returned.
 */
inline LogReadAnswer read(FakeLog& log, const std::string& stream, Offset from, std::size_t limitBytes, TimePoint now)
{
    expire(log, now);
    const FakeStream& stored = log.m_streams[stream];
    LogReadAnswer answer { .m_oldest = stored.m_oldest, .m_end = stored.m_end, .m_now = now };
    std::size_t bytes = 0;
    for (std::uint64_t offset = std::max(from, stored.m_oldest).m_value; offset < stored.m_end.m_value && bytes < limitBytes; ++offset) {
        const LogEntry& entry = stored.m_entries[offset - stored.m_oldest.m_value];
        answer.m_entries.push_back(entry);
        bytes += entry.m_bytes.size();
    }
    return answer;
}

} // namespace bulrushloft
