/** @file leader_monitor.cpp Suspicion of a failed leader. */
#include "process/cell/leader_monitor.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    /** @return How long a heartbeat may stay unanswered; with the interval before it, the leader's silence is m_suspectAfter long. */
    Duration silenceLimit(const HeartbeatTiming& timing, std::int64_t factor)
    {
        return timing.m_suspectAfter * factor - timing.m_interval;
    }

} // namespace

void watchNewLeader(LeaderMonitor& monitor, bool hadLeader, TimePoint now)
{
    const std::int64_t factor = hadLeader ? suspicionFactorAfter(now - monitor.m_knownSince, monitor.m_suspectFactor) : monitor.m_suspectFactor;
    monitor = { .m_knownSince = now, .m_answeredAt = now, .m_unansweredSince = {}, .m_seenByPeerAt = {}, .m_storeReachedAt = now, .m_suspectFactor = factor, .m_nextProbeAt = now };
}

void resetObservations(LeaderMonitor& monitor, TimePoint now)
{
    monitor.m_answeredAt = now;
    monitor.m_storeReachedAt = now;
    monitor.m_unansweredSince.reset();
}

void onHeartbeatSent(LeaderMonitor& monitor, TimePoint now)
{
    if (!monitor.m_unansweredSince)
        monitor.m_unansweredSince = now;
}

void onLeaderConfirmed(LeaderMonitor& monitor, bool isStoreReached, TimePoint now)
{
    monitor.m_answeredAt = now;
    monitor.m_unansweredSince.reset();
    if (isStoreReached)
        monitor.m_storeReachedAt = now;
}

void onOwnLinkBusy(LeaderMonitor& monitor, TimePoint now)
{
    if (monitor.m_unansweredSince)
        monitor.m_unansweredSince = now;
}

void onLeaderSeenByPeer(LeaderMonitor& monitor, TimePoint answeredAt)
{
    monitor.m_seenByPeerAt = std::max(monitor.m_seenByPeerAt, answeredAt);
}

bool isLeaderUnreachable(const LeaderMonitor& monitor, const HeartbeatTiming& timing, TimePoint now)
{
    return monitor.m_unansweredSince && now - *monitor.m_unansweredSince > silenceLimit(timing, 1);
}

bool isLeaderSilent(const LeaderMonitor& monitor, const HeartbeatTiming& timing, TimePoint now)
{
    if (!monitor.m_unansweredSince)
        return false;
    return now - std::max(*monitor.m_unansweredSince, monitor.m_seenByPeerAt) > silenceLimit(timing, monitor.m_suspectFactor);
}

Duration storeOutageOf(const LeaderMonitor& monitor)
{
    return monitor.m_answeredAt - monitor.m_storeReachedAt;
}

bool isProbeDue(const LeaderMonitor& monitor, const HeartbeatTiming& timing, TimePoint now)
{
    constexpr std::int64_t probeFraction = 3; // Of the silence limit; leaves time for several answers before a claim.
    return monitor.m_unansweredSince && now - *monitor.m_unansweredSince > silenceLimit(timing, 1) / probeFraction && now >= monitor.m_nextProbeAt;
}

} // namespace bulrushloft::cell
