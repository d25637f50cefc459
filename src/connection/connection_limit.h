/** @file connection_limit.h Number of connections that a server is found to accept from this client. */
#pragma once

#include "core/clock_type.h"

#include <cstddef>
#include <optional>

namespace bulrushloft {

/**
 * A server may be full with connections of other clients, those included that lost power and closed nothing. It then rejects new
 * connections while the open ones work. What is learned from a rejection holds until a new connection is accepted.
 */
struct ConnectionLimit {
    std::size_t m_max = 64; ///< Maximum number of open connections, set by the client.
    std::optional<std::size_t> m_learned; ///< Number of connections that worked when the latest new one was rejected; nothing while none is.
    Duration m_pause; ///< Time between attempts to open more than m_learned.
    TimePoint m_nextOpenAt; ///< Monotonic time from which one more than m_learned may be opened.
    TimePoint m_rejectedAt; ///< Monotonic time of the latest rejection.
};

/** @return Maximum number of connections until the next attempt to open one; at least 1. */
std::size_t usableConnections(const ConnectionLimit& limit, TimePoint now);

/** @param openCount Number of open connections. @return Whether one more may be opened now. */
bool mayOpenConnection(const ConnectionLimit& limit, std::size_t openCount, TimePoint now);

/** Notes the start of an attempt to open a connection. @param openCount Number of open connections before it. */
void noteConnectionAttempt(ConnectionLimit& limit, std::size_t openCount, TimePoint now);

/** Notes that a new connection was rejected. @param openedAt When the attempt began. @param workingCount Number of connections that have carried an answer. */
void noteConnectionRejected(ConnectionLimit& limit, TimePoint openedAt, std::size_t workingCount, TimePoint now);

/** Notes the first answer on a new connection. @param openedAt When the attempt began. @param workingCount Number of connections that have carried an answer, this one included. */
void noteConnectionAccepted(ConnectionLimit& limit, TimePoint openedAt, std::size_t workingCount);

} // namespace bulrushloft
