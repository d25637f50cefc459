/** @file member_codec.cpp Conversion of members of the cell to and from JSON arrays. */
#include "connection/member_codec.h"

namespace bulrushloft {

nlohmann::json memberToJson(const PeerMember& member)
{
    return nlohmann::json::array({ member.m_name, member.m_address.m_host, member.m_address.m_port, member.m_instance, member.m_strength });
}

PeerMember memberFromJson(const nlohmann::json& row)
{
    return { .m_name = row.at(0), .m_address = { .m_host = row.at(1), .m_port = row.at(2) }, .m_instance = row.at(3), .m_strength = row.at(4) };
}

} // namespace bulrushloft
