/** @file member_func.h Tracks the daemons of a cell by their heartbeats. */
#pragma once

#include "core/error_type.h"
#include "process/node/member_type.h"

#include <optional>

namespace bulrushloft {

/** A daemon whose latest heartbeat is older than this is considered dead. */
constexpr Duration memberTimeout { 3'500 };

/** Effect of a heartbeat on the member table. */
enum class HeartbeatOutcome : std::uint8_t {
    Ignored, ///< The heartbeat was a duplicate or older than the latest one.
    Updated, ///< The heartbeat is the first one from a VM or a newer one of the known process.
    NewInstance, ///< A new process runs on a known VM; the previous one has ended.
};

/**
 * Updates the member table with a heartbeat.
 * @param members The peers of this daemon.
 * @param heartbeat The received heartbeat.
 * @param now Monotonic time.
 */
HeartbeatOutcome applyHeartbeat(MemberTable& members, const Heartbeat& heartbeat, TimePoint now);

/** @return Whether the daemon's latest heartbeat is within the timeout and its address has not refused connections since. */
bool isAlive(const Member& member, TimePoint now);

/** @return Among the live daemons that announce the shard as theirs, the one with the highest term; nullptr if there is none. */
const Member* findOwner(const MemberTable& members, const std::string& shard, TimePoint now);

std::string encodeHeartbeat(const Heartbeat& heartbeat);

/**
 * Decodes a heartbeat.
 * @param bytes Contents of the datagram.
 * @return The heartbeat; InvalidInput if the datagram is not a valid heartbeat.
 */
Expected<Heartbeat> decodeHeartbeat(std::string_view bytes);

} // namespace bulrushloft
