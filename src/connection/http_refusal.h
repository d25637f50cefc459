/** @file http_refusal.h Responses, counts and log lines of refused requests. */
#pragma once

#include "connection/http_limits.h"

#include <atomic>
#include <string>
#include <string_view>

namespace bulrushloft {

/** @return Name of the cause in logs and metrics. */
std::string_view nameOf(HttpRefusal cause);

/** @return Status that a refused client gets. */
unsigned statusOf(HttpRefusal cause);

/**
 * @param reason Error text of a malformed request.
 * @return The whole response to a refused request, after which the connection is closed.
 */
std::string makeRefusalResponse(HttpRefusal cause, const HttpLimits& limits, std::string_view reason);

/** Counts the refusals of a server and logs some of them. */
class HttpRefusalLog {
public:
    /** @param listener Name of the server in the log. */
    void setListener(std::string listener) { m_listener = std::move(listener); }

    /**
     * Counts a refusal, and logs it unless there were too many within the last second. To be called on one thread only.
     * @param peer Address of the client.
     * @param firstWord A short printable piece of what the client sent.
     */
    void note(HttpRefusal cause, std::string_view peer, std::string_view firstWord);

    /** @return Refusals by cause; may be called on any thread. */
    HttpRefusalCounts counts() const;

private:
    std::string m_listener;
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(HttpRefusal::Count)> m_counts {};
    TimePoint m_periodStart; ///< When the present period of one second began.
    int m_logged = 0; ///< Lines in the present period.
    std::uint64_t m_unlogged = 0; ///< Refusals without a line since the last one with a line.
};

} // namespace bulrushloft
