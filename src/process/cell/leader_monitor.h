/** @file leader_monitor.h A follower's view of the leader's liveness, and when it suspects that the leader has failed. */
#pragma once

#include "process/cell/leader_choice.h"

#include <optional>

namespace bulrushloft::cell {

/** What a follower knows of the leader's liveness. */
struct LeaderMonitor {
    TimePoint m_knownSince; ///< When the leader's claim became known.
    TimePoint m_answeredAt; ///< When the leader last confirmed that it leads; m_knownSince before its first answer.
    std::optional<TimePoint> m_unansweredSince; ///< When the first heartbeat was sent that the leader has not answered; empty while it answers.
    TimePoint m_seenByPeerAt; ///< When the leader last answered another daemon, as far as daemons that were asked have told.
    TimePoint m_storeReachedAt; ///< When the leader last reported that it reaches the store; m_knownSince before its first report.
    std::uint32_t m_refusals = 0; ///< Consecutive heartbeats that failed at once, as when the leader's VM refuses connections.
    std::int64_t m_suspectFactor = 1; ///< Multiplier of the suspicion timeout, see suspicionFactorAfter().
    TimePoint m_nextProbeAt; ///< When another daemon is next asked about a silent leader.
};

/** Starts monitoring a leader whose claim has become known. The factor is derived from the length of the previous leader's term. */
void watchNewLeader(LeaderMonitor& monitor, bool hadLeader, TimePoint now);

/** Forgets what was observed, so that the leader is not suspected before further heartbeats stay unanswered. */
void resetObservations(LeaderMonitor& monitor, TimePoint now);

/** Notes that a heartbeat was sent to the leader. */
void onHeartbeatSent(LeaderMonitor& monitor, TimePoint now);

/** Notes that the leader has confirmed that it leads. @param isStoreReached Whether it reported that the store answers it. */
void onLeaderConfirmed(LeaderMonitor& monitor, bool isStoreReached, TimePoint now);

/**
 * Notes that a large transfer occupies this daemon's link; heartbeats that stay unanswered meanwhile say nothing about the leader.
 * Load: a configuration of 256 KB takes a link of 2 Mbit/s longer than the timeout for the leader.
 */
void onOwnLinkBusy(LeaderMonitor& monitor, TimePoint now);

/** Notes that another daemon was answered by the leader. @param answeredAt When that was, on this daemon's clock. */
void onLeaderSeenByPeer(LeaderMonitor& monitor, TimePoint answeredAt);

/**
 * Load: hundreds of daemons call a new leader at once and restart in turn. A daemon whose heartbeats are due rarely, or whose
 * interval has just become shorter, has heard nothing for a while without anything being wrong, so only unanswered heartbeats count.
 * @return Whether the leader leaves this daemon's heartbeats unanswered for longer than the timeout.
 */
bool isLeaderUnreachable(const LeaderMonitor& monitor, const HeartbeatTiming& timing, TimePoint now);

/**
 * Load: the path between one daemon and the leader fails while all others reach it; a claim would replace a leader that works.
 * @return Whether the leader is suspected to have failed: it is unreachable, and it has not answered other daemons meanwhile either.
 */
bool isLeaderSilent(const LeaderMonitor& monitor, const HeartbeatTiming& timing, TimePoint now);

/** @return For how long the leader has reported that it does not reach the store; what it does while it is not heard of is not known. */
Duration storeOutageOf(const LeaderMonitor& monitor);

/** @return Whether another daemon is to be asked now whether it reaches the leader; begins well before the leader counts as silent. */
bool isProbeDue(const LeaderMonitor& monitor, const HeartbeatTiming& timing, TimePoint now);

} // namespace bulrushloft::cell
