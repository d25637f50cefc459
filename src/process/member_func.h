/** @file member_func.h Tracks the daemons of a cell by their heartbeats. */
#pragma once

#include "core/error_type.h"
#include "process/member_type.h"

#include <optional>

namespace bulrushloft {

/** A daemon whose latest heartbeat is older than this is considered dead. */
constexpr Duration memberTimeout { 3'500 };

/** Effect of a heartbeat on the member table. */
enum class HeartbeatOutcome : std::uint8_t {
    Ignored, ///< The heartbeat was a duplicate or older than the latest one.
    Updated, ///< The heartbeat is the latest one of a new or known process.
    NewInstance, ///< A new process runs on a known VM; the previous one has ended.
};

/**
 * Updates the member table with a heartbeat.
 * @param members The peers of this daemon.
 * @param heartbeat The received heartbeat.
 * @param now Monotonic time.
 */
HeartbeatOutcome applyHeartbeat(MemberTable& members, const Heartbeat& heartbeat, TimePoint now);

/** @return Whether the daemon is considered alive. */
bool isAlive(const Member& member, TimePoint now);

/** @return The live daemon that announces a shard with the highest term, or nullptr when there is none. */
const Member* findOwner(const MemberTable& members, const std::string& shard, TimePoint now);

std::string encodeHeartbeat(const Heartbeat& heartbeat);

/**
 * Decodes a datagram.
 * @return The heartbeat, or an error when the datagram is not one.
 */
Expected<Heartbeat> decodeHeartbeat(std::string_view bytes);

} // namespace bulrushloft
