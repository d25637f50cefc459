/** @file leader_codec.cpp Claims as CBOR. */
#include "process/cell/leader_codec.h"

#include <nlohmann/json.hpp>

namespace bulrushloft::cell {

using Json = nlohmann::json;

std::string encodeClaim(const PeerMember& member)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(Json::array({ member.m_name, member.m_address.m_host, member.m_address.m_port, member.m_instance, member.m_strength }));
    return { bytes.begin(), bytes.end() };
}

std::optional<PeerMember> decodeClaim(const std::string& bytes)
{
    try {
        const Json row = Json::from_cbor(bytes);
        return PeerMember { .m_name = row.at(0), .m_address = { .m_host = row.at(1), .m_port = row.at(2) }, .m_instance = row.at(3), .m_strength = row.at(4) };
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace bulrushloft::cell
