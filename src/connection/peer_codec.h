/** @file peer_codec.h Encoding of the messages between daemons as CBOR. */
#pragma once

#include "connection/peer_type.h"

namespace bulrushloft {

/** @return The message as CBOR. */
std::string encodePeerMessage(const PeerMessage& message);

/** @return The message, or InvalidInput when the bytes are malformed or come from an incompatible version. */
Expected<PeerMessage> decodePeerMessage(std::string_view bytes);

/** @return The reply as CBOR. */
std::string encodePeerReply(const PeerReply& reply);

/** @return The reply, or InvalidInput when the bytes are malformed or come from an incompatible version. */
Expected<PeerReply> decodePeerReply(std::string_view bytes);

} // namespace bulrushloft
