/** @file leader_codec.h The claim of a leader as the store keeps it. */
#pragma once

#include "connection/peer_type.h"

namespace bulrushloft::cell {

constexpr const char* claimKey = "leader"; ///< Key of the claim in the topic of claims.

std::string encodeClaim(const PeerMember& member);

/** @return The leader, or nothing when the bytes can't be read. */
std::optional<PeerMember> decodeClaim(const std::string& bytes);

} // namespace bulrushloft::cell
