/** @file leader_choice.h Which VM should lead. */
#pragma once

#include "connection/peer_type.h"
#include "core/clock_type.h"

#include <vector>

namespace bulrushloft::cell {

/**
 * How well a VM could lead: its scarcer resource counts, as a leader of many workers needs both.
 * @param cpuShare Share of a core. @param linkMbps Bandwidth of its link, in Mbit/s.
 * @return The smaller of the percent of a core and the bandwidth in Mbit/s.
 */
int strengthOf(double cpuShare, double linkMbps);

/** @return Whether a VM should lead only when no stronger one can. */
bool isWeak(const PeerMember& member);

/** @return Position of a VM among those that could lead after a term: the strongest first, equals in an order that differs with each term. */
std::int64_t rankOf(const PeerMember& self, const std::vector<PeerMember>& others, std::uint64_t previousToken);

/** Sorts members so that the first could lead next, see rankOf(). */
void sortByRank(std::vector<PeerMember>& members, std::uint64_t previousToken);

/** How often a follower calls its leader, and when it doubts it. */
struct HeartbeatTiming {
    Duration m_interval { 250 }; ///< Between heartbeats.
    Duration m_suspectAfter { 900 }; ///< A leader that is not heard of for longer is in doubt.
};

/** Followers of a lower rank follow slowly; they learn of a new term from the store. */
constexpr std::size_t fastFollowerCount = 40;
constexpr HeartbeatTiming slowTiming { .m_interval = { 1'500 }, .m_suspectAfter = { 3'900 } };

/**
 * Load: 300 VMs that call their leader four times a second each take a third of its 0.25 cores.
 * @param rank Position of the follower, see rankOf(). @param quick Pace of the first followers.
 */
HeartbeatTiming timingOf(std::int64_t rank, const HeartbeatTiming& fast);

/**
 * Load: more than the leader can do; it answers late, is replaced, and its successors, which also have to load, are replaced in turn.
 * @param lastTerm How long the former term lasted. @param patience The factor before.
 * @return By how much longer a leader may be silent before it is in doubt.
 */
std::int64_t suspicionFactorAfter(Duration lastTerm, std::int64_t previousFactor);

/**
 * Load: all VMs start at once after a loss of power and know no peer; on a VM with a slow link the records take seconds to
 * load, and its calls to hundreds of workers then time out.
 * @param others Peers that are known. @return How long a weak VM leaves the claim to stronger ones; nothing for others.
 */
Duration claimDelayOf(const PeerMember& self, const std::vector<PeerMember>& others);

} // namespace bulrushloft::cell
