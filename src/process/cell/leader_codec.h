/** @file leader_codec.h Encoding of leadership claims in the store. */
#pragma once

#include "connection/peer_type.h"

namespace bulrushloft::cell {

constexpr const char* claimKey = "leader"; ///< Key of the claim in the leader topic.

std::string encodeClaim(const PeerMember& member);

/** @return The claimant, or nothing when the bytes are not a valid claim. */
std::optional<PeerMember> decodeClaim(const std::string& bytes);

} // namespace bulrushloft::cell
