/** @file member.cpp Tracks the daemons of a cell by their heartbeats. */
#include "process/node/member_func.h"

#include "process/journal/codec_enum.h"
#include "table/member_table.h"

#include <algorithm>

namespace bulrushloft {

using Json = nlohmann::json;

namespace {

    constexpr unsigned memberStateCount = 3;

    const OwnedShard* findShard(const Heartbeat& heartbeat, const std::string& shard)
    {
        const auto found = std::find_if(heartbeat.m_shards.begin(), heartbeat.m_shards.end(), [&shard](const OwnedShard& owned) { return owned.m_shard == shard; });
        return found == heartbeat.m_shards.end() ? nullptr : &*found;
    }

    Json encodeShards(const std::vector<OwnedShard>& shards)
    {
        Json rows = Json::array();
        for (const OwnedShard& owned : shards)
            rows.push_back(Json::array({ owned.m_shard, owned.m_epoch.m_value }));
        return rows;
    }

    std::vector<OwnedShard> decodeShards(const Json& rows)
    {
        std::vector<OwnedShard> shards;
        for (const Json& row : rows)
            shards.push_back({ .m_shard = row.at(0), .m_epoch = { row.at(1).get<std::uint64_t>() } });
        return shards;
    }

} // namespace

std::string_view nameOf(MemberState state)
{
    return findName(memberStateNames, state);
}

HeartbeatOutcome applyHeartbeat(MemberTable& members, const Heartbeat& heartbeat, TimePoint now)
{
    Member& member = members[heartbeat.m_member];
    const bool isSameProcess = member.m_lastHeartbeat.m_instance == heartbeat.m_instance;
    if (isSameProcess && heartbeat.m_sequence <= member.m_lastHeartbeat.m_sequence)
        return HeartbeatOutcome::Ignored;
    // An instance id is the wall-clock time at which the process started, so a delayed datagram of an earlier process has a lower id.
    const bool isOlderProcess = heartbeat.m_instance < member.m_lastHeartbeat.m_instance;
    if (isOlderProcess)
        return HeartbeatOutcome::Ignored;
    const bool isReplaced = !isSameProcess && member.m_lastHeartbeat.m_instance.m_value != 0;
    member.m_lastHeartbeat = heartbeat;
    member.m_receivedAt = now;
    member.m_refusesConnections = false;
    return isReplaced ? HeartbeatOutcome::NewInstance : HeartbeatOutcome::Updated;
}

bool isAlive(const Member& member, TimePoint now)
{
    return !member.m_refusesConnections && now - member.m_receivedAt < memberTimeout;
}

const Member* findOwner(const MemberTable& members, const std::string& shard, TimePoint now)
{
    const Member* best = nullptr;
    Epoch bestEpoch;
    for (const auto& [name, member] : members) {
        const OwnedShard* const owned = findShard(member.m_lastHeartbeat, shard);
        if (!owned || !isAlive(member, now) || owned->m_epoch <= bestEpoch)
            continue;
        best = &member;
        bestEpoch = owned->m_epoch;
    }
    return best;
}

std::string encodeHeartbeat(const Heartbeat& heartbeat)
{
    const Json fields = Json::array({ heartbeat.m_cell, heartbeat.m_member, heartbeat.m_instance.m_value, heartbeat.m_sequence, heartbeat.m_address.m_host,
        heartbeat.m_address.m_port, heartbeat.m_zone, static_cast<unsigned>(heartbeat.m_state), heartbeat.m_settingsVersion, encodeShards(heartbeat.m_shards), encodeShards(heartbeat.m_recentTerms) });
    std::string bytes;
    Json::to_cbor(fields, bytes);
    return bytes;
}

Expected<Heartbeat> decodeHeartbeat(std::string_view bytes)
{
    try {
        const Json fields = Json::from_cbor(bytes);
        Heartbeat heartbeat;
        heartbeat.m_cell = fields.at(0);
        heartbeat.m_member = fields.at(1);
        heartbeat.m_instance.m_value = fields.at(2);
        heartbeat.m_sequence = fields.at(3);
        heartbeat.m_address.m_host = fields.at(4);
        heartbeat.m_address.m_port = fields.at(5);
        heartbeat.m_zone = fields.at(6);
        heartbeat.m_state = decodeEnum<MemberState>(fields.at(7), memberStateCount);
        heartbeat.m_settingsVersion = fields.at(8);
        heartbeat.m_shards = decodeShards(fields.at(9));
        heartbeat.m_recentTerms = decodeShards(fields.at(10));
        return heartbeat;
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, std::string("the datagram is not a valid heartbeat: ") + error.what(), "none needed; the datagram is dropped");
    }
}

} // namespace bulrushloft
