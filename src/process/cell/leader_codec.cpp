/** @file leader_codec.cpp Encoding of leadership claims as CBOR. */
#include "process/cell/leader_codec.h"

#include "connection/member_codec.h"
#include "core/cbor.h"

namespace bulrushloft::cell {

using Json = nlohmann::json;

std::string encodeClaim(const PeerMember& member)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(memberToJson(member));
    return { bytes.begin(), bytes.end() };
}

std::optional<PeerMember> decodeClaim(const std::string& bytes)
{
    try {
        return memberFromJson(decodeCbor(bytes));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace bulrushloft::cell
