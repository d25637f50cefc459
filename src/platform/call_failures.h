/** @file call_failures.h Counts and logs the calls to workers that had no complete answer. */
#pragma once

#include "connection/http_type.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <tuple>

namespace bulrushloft::platform {

/** Kinds of calls to workers. */
enum class WorkerCall : std::uint8_t {
    Start,
    Stop,
    Pace,
    Sync,
};

/** Failed calls of one client, by how they ended. */
class CallFailures {
public:
    /**
     * Counts a failed call. The first of its kind is logged at once, further ones at most once a second with their number.
     * @param worker Id of the worker. @param call Kind of the call. @param failure How it ended.
     */
    void note(const std::string& worker, WorkerCall call, const HttpFailure& failure);

    /** @return Number of failed calls so far that ended in this way; may be called on any thread. */
    std::uint64_t count(CallEnd end) const { return m_counts.at(static_cast<std::size_t>(end)); }

private:
    /** Failures that have not been logged yet. */
    struct Unlogged {
        TimePoint m_loggedAt; ///< When the latest line was written; zero before the first.
        std::uint64_t m_failures = 0; ///< Failures since then.
    };

    /** Worker, kind of call, how it ended, and whether the connection had carried an earlier call. */
    using Key = std::tuple<std::string, WorkerCall, CallEnd, bool>;

    static constexpr std::size_t endCount = 7; ///< Number of values of CallEnd.
    std::map<Key, Unlogged> m_unlogged;
    std::array<std::atomic<std::uint64_t>, endCount> m_counts {};
};

} // namespace bulrushloft::platform
