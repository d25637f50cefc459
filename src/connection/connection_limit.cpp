/** @file connection_limit.cpp Learns from rejected connections how many a server accepts. */
#include "connection/connection_limit.h"

#include <algorithm>

namespace bulrushloft {

namespace {

    constexpr Duration firstPause { 500 }; ///< While other connections work, a new one is not urgent.
    constexpr Duration maxPause { 4'000 };
    constexpr Duration pauseWithoutConnection { 100 }; ///< Shorter than the timeout of any call, so that a call that waits still gets an attempt.

} // namespace

std::size_t usableConnections(const ConnectionLimit& limit, TimePoint now)
{
    const bool isLimited = limit.m_learned && now < limit.m_nextOpenAt;
    return isLimited ? std::max<std::size_t>(1, *limit.m_learned) : limit.m_max;
}

bool mayOpenConnection(const ConnectionLimit& limit, std::size_t openCount, TimePoint now)
{
    if (openCount >= limit.m_max)
        return false;
    return !limit.m_learned || openCount < *limit.m_learned || now >= limit.m_nextOpenAt;
}

void noteConnectionAttempt(ConnectionLimit& limit, std::size_t openCount, TimePoint now)
{
    if (limit.m_learned && openCount >= *limit.m_learned)
        limit.m_nextOpenAt = now + limit.m_pause;
}

void noteConnectionRejected(ConnectionLimit& limit, TimePoint openedAt, std::size_t workingCount, TimePoint now)
{
    const bool isKnown = limit.m_learned && openedAt <= limit.m_rejectedAt; // Attempts that began together are rejected together.
    if (workingCount == 0)
        limit.m_pause = pauseWithoutConnection;
    else if (limit.m_pause < firstPause)
        limit.m_pause = firstPause;
    else if (!isKnown)
        limit.m_pause = std::min(limit.m_pause * 2, maxPause);
    limit.m_learned = workingCount;
    limit.m_rejectedAt = now;
    limit.m_nextOpenAt = now + limit.m_pause;
}

void noteConnectionAccepted(ConnectionLimit& limit, TimePoint openedAt, std::size_t workingCount)
{
    if (!limit.m_learned)
        return;
    limit.m_learned = std::max(*limit.m_learned, workingCount);
    if (openedAt > limit.m_rejectedAt) {
        limit.m_pause = {};
        limit.m_nextOpenAt = {};
    }
    if (*limit.m_learned >= limit.m_max)
        limit.m_learned.reset();
}

} // namespace bulrushloft
