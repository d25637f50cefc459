/** @file peer_codec.h Messages between daemons as CBOR. */
#pragma once

#include "connection/peer_type.h"

namespace bulrushloft {

std::string encodePeerMessage(const PeerMessage& message);
Expected<PeerMessage> decodePeerMessage(std::string_view bytes);
std::string encodePeerReply(const PeerReply& reply);
Expected<PeerReply> decodePeerReply(std::string_view bytes);

} // namespace bulrushloft
