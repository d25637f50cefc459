/** @file fake_log.h A stand-in for the platform's log: offsets, retention, outages, lost answers. */
#pragma once

#include "connection/log_type.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace bulrushloft {

/** One stream. */
struct FakeStream {
    Offset m_oldest; ///< First entry that is stored.
    Offset m_end; ///< One past the last entry.
    std::deque<LogEntry> m_entries; ///< Kept entries.
};

/** The log. */
struct FakeLog {
    std::map<std::string, FakeStream> m_streams; ///< By name.
    Duration m_retention { 3'600'000 }; ///< Entries older than this are dropped.
    bool m_isDown = false; ///< No call is answered and no append takes effect.
    double m_lostAnswerShare = 0; ///< Share of appends that take effect without an answer.
    std::uint64_t m_maxAppendsPerSecond = 500; ///< Cap; further appends wait for the next second.
    std::uint64_t m_appendsTotal = 0; ///< Appends that took effect.
};

/** Appends; the answer says where. */
inline LogAppendAnswer append(FakeLog& log, const std::string& stream, std::string bytes, TimePoint now)
{
    FakeStream& stored = log.m_streams[stream];
    const Offset offset = stored.m_end;
    stored.m_entries.push_back({ .m_offset = offset, .m_time = now, .m_bytes = std::move(bytes) });
    ++stored.m_end.m_value;
    ++log.m_appendsTotal;
    return { .m_offset = offset, .m_time = now };
}

/** Drops what is older than the retention. */
inline void expire(FakeLog& log, TimePoint now)
{
    for (auto& [name, stream] : log.m_streams) {
        while (!stream.m_entries.empty() && now - stream.m_entries.front().m_time > log.m_retention) {
            stream.m_entries.pop_front();
            ++stream.m_oldest.m_value;
        }
    }
}

/** Reads entries from an offset on, at least one if there is one. */
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
