/** @file leader_choice.h Choice of the VM that leads the cell. */
#pragma once

#include "connection/peer_type.h"
#include "core/clock_type.h"

#include <vector>

namespace bulrushloft::cell {

/**
 * Rates how well a VM could lead. The scarcer resource counts, as a leader of many workers needs both.
 * @param cpuShare Share of a core, 1 for a whole one. @param linkMbps Bandwidth of the VM's link in Mbit/s.
 * @return The smaller of the processor share in percent of a core and the bandwidth in Mbit/s.
 */
int strengthOf(double cpuShare, double linkMbps);

/** @return Whether a VM should lead only if no stronger one can. */
bool isWeak(const PeerMember& member);

/** @return Whether a leader hands over to another VM that could lead. */
bool isMuchStronger(const PeerMember& other, const PeerMember& leader);

/**
 * @param previousToken Token of the term before the election.
 * @return Number of other VMs that are preferred to this one as the next leader: stronger VMs first, equal ones in an order that differs with each term.
 */
std::int64_t rankOf(const PeerMember& self, const std::vector<PeerMember>& others, std::uint64_t previousToken);

/** Sorts members by their preference as the next leader, see rankOf(). */
void sortByRank(std::vector<PeerMember>& members, std::uint64_t previousToken);

/** Heartbeat interval of a follower, and its timeout for the leader. */
struct HeartbeatTiming {
    Duration m_interval { 250 }; ///< Time between heartbeats.
    Duration m_suspectAfter { 900 }; ///< A leader without an answer for longer is suspected to have failed.
};

/** Number of top-ranked followers that send heartbeats at short intervals; the others use slowTiming and learn of a new term from the store. */
constexpr std::size_t fastFollowerCount = 40;
constexpr HeartbeatTiming slowTiming { .m_interval = { 1'500 }, .m_suspectAfter = { 3'900 } };

/**
 * Slows the heartbeats of low-ranked followers: 300 VMs that each send four a second use a third of a leader's 0.25 cores.
 * @param rank Rank of the follower, see rankOf(). @param fast Timing of the first fastFollowerCount followers.
 * @return The timing that the follower uses.
 */
HeartbeatTiming timingOf(std::int64_t rank, const HeartbeatTiming& fast);

/**
 * Lengthens the timeout for a leader after short terms. Otherwise an overloaded leader that answers late is replaced, and
 * so are its successors in turn, as they have to load the records as well.
 * @param lastTerm How long the previous term lasted. @param previousFactor The factor of the previous term.
 * @return Factor by which the leader's timeout is multiplied, 1 after a term of normal length.
 */
std::int64_t suspicionFactorAfter(Duration lastTerm, std::int64_t previousFactor);

/**
 * Delays the claim of a weak VM. After a loss of power all VMs start at once and know no peer; a VM with a slow link would
 * take seconds to load the records, and its calls to hundreds of workers would then time out.
 * @param others The known peers. @return How long the VM leaves the claim to stronger ones; zero when it is strong, or when peers are known and all of them are weak.
 */
Duration claimDelayOf(const PeerMember& self, const std::vector<PeerMember>& others);

} // namespace bulrushloft::cell
