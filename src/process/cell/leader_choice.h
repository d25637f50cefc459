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
std::int64_t rankOf(const PeerMember& self, const std::vector<PeerMember>& others, std::uint64_t formerToken);

/**
 * Load: all VMs start at once after a loss of power and know no peer; on a VM with a slow link the records take seconds to
 * load, and its calls to hundreds of workers then time out.
 * @param others Peers that are known. @return How long a weak VM leaves the claim to stronger ones; nothing for others.
 */
Duration delayOfWeak(const PeerMember& self, const std::vector<PeerMember>& others);

} // namespace bulrushloft::cell
