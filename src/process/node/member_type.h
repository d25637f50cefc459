/** @file member_type.h The daemons of the cell and the heartbeats they exchange. */
#pragma once

#include "core/address_type.h"
#include "core/clock_type.h"
#include "core/shard_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushloft {

/** State of a daemon, as its heartbeats announce it. */
enum class MemberState : std::uint8_t {
    Starting, ///< Still loading the settings; accepts no calls and claims no shards.
    Ready, ///< Accepts calls and claims shards.
    Leaving, ///< Shutting down gracefully; claims no shards.
};

/** A shard and the term in which a daemon claims to own it. */
struct OwnedShard {
    std::string m_shard; ///< Name of the shard.
    Epoch m_epoch; ///< Term of the owner.
};

/** Datagram that a daemon sends to its peers at a fixed interval. */
struct Heartbeat {
    std::string m_cell; ///< Name of the cell; heartbeats of other cells are ignored.
    std::string m_member; ///< Name of the sender's VM.
    InstanceId m_instance; ///< Id of the sending process; a restarted process has a higher one.
    std::uint64_t m_sequence = 0; ///< Sequence number of the heartbeat within the process.
    Address m_address; ///< Listening address of the sender.
    std::string m_zone; ///< Availability zone of the sender.
    MemberState m_state = MemberState::Starting; ///< State of the sender.
    std::uint64_t m_settingsVersion = 0; ///< Version of the settings that the sender applies.
    std::vector<OwnedShard> m_shards; ///< Shards that the sender owns.
    std::vector<OwnedShard> m_recentTerms; ///< Terms that started recently, as known to the sender; a peer can thus learn of a term through a third daemon.
};

/** A peer, as known from its heartbeats. */
struct Member {
    Heartbeat m_lastHeartbeat; ///< Latest heartbeat received.
    TimePoint m_receivedAt; ///< Monotonic time at which that heartbeat was received.
    bool m_refusesConnections = false; ///< Whether its address has refused a connection since that heartbeat, which shows that the process has ended.
};

/** The peers of a daemon, by name of their VM. */
using MemberTable = std::map<std::string, Member>;

std::string_view nameOf(MemberState state);

} // namespace bulrushloft
