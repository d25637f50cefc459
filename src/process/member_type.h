/** @file member_type.h The daemons of the cell and the heartbeats they exchange. */
#pragma once

#include "core/address_type.h"
#include "core/clock_type.h"
#include "process/shard_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushloft {

/** What a daemon is fit for. */
enum class MemberState : std::uint8_t {
    Starting, ///< Not yet caught up; takes no calls and no shards.
    Ready, ///< Serves.
    Leaving, ///< Shuts down gracefully; takes no shards.
};

/** A shard that a daemon owns, by its own word. */
struct OwnedShard {
    std::string m_shard; ///< The shard.
    Epoch m_epoch; ///< The term.
};

/** What a daemon tells the others several times a minute. */
struct Heartbeat {
    std::string m_cell; ///< Name of the cell; others are ignored.
    std::string m_member; ///< Name of the VM.
    InstanceId m_instance; ///< The process.
    std::uint64_t m_sequence = 0; ///< Counts the heartbeats of the process.
    Address m_address; ///< Where it listens.
    std::string m_zone; ///< Its zone.
    MemberState m_state = MemberState::Starting; ///< What it is fit for.
    std::uint64_t m_settingsVersion = 0; ///< Version of the settings that it has in force.
    std::vector<OwnedShard> m_shards; ///< Shards that it owns.
    std::vector<OwnedShard> m_recentTerms; ///< Terms of others that began lately.
};

/** Another daemon. */
struct Member {
    Heartbeat m_lastHeartbeat; ///< Its latest heartbeat.
    TimePoint m_receivedAt; ///< Monotonic time of that heartbeat.
    bool m_refusesConnections = false; ///< Its address refuses connections: the process is gone.
};

using MemberTable = std::map<std::string, Member>;

std::string_view nameOf(MemberState state);

} // namespace bulrushloft
