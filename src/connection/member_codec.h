/** @file member_codec.h Conversion of members of the cell to and from JSON arrays, which are sent and stored as CBOR. */
#pragma once

#include "connection/peer_type.h"

#include <nlohmann/json.hpp>

namespace bulrushloft {

/** @return The member as a JSON array. */
nlohmann::json memberToJson(const PeerMember& member);

/**
 * @param row A member as memberToJson() returns it.
 * @return The member.
 * @throws nlohmann::json::exception If the row does not hold a member.
 */
PeerMember memberFromJson(const nlohmann::json& row);

} // namespace bulrushloft
