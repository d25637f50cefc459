/** @file member_codec.h A daemon of the cell as a row of CBOR. */
#pragma once

#include "connection/peer_type.h"

#include <nlohmann/json.hpp>

namespace bulrushloft {

/** @return The row of a member. */
nlohmann::json memberToJson(const PeerMember& member);

/** @return The member that a row holds. Throws what nlohmann::json throws when it holds none. */
PeerMember memberFromJson(const nlohmann::json& row);

} // namespace bulrushloft
