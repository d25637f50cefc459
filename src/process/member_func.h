/** @file member_func.h Membership by heartbeats. */
#pragma once

#include "core/error_type.h"
#include "process/member_type.h"

#include <optional>

namespace bulrushloft {

/** A daemon that has not been heard for this long is taken for dead. */
constexpr Duration memberTimeout { 3'500 };

/** What a heartbeat changed. */
enum class HeartbeatOutcome : std::uint8_t {
    Ignored, ///< Nothing, or it was older than what is known.
    Updated, ///< The daemon lives.
    NewInstance, ///< Another process runs on that VM; the one before is gone.
};

/**
 * Takes a heartbeat into the table.
 * @param members The other daemons.
 * @param heartbeat What came.
 * @param now Monotonic time.
 */
HeartbeatOutcome applyHeartbeat(MemberTable& members, const Heartbeat& heartbeat, TimePoint now);

/** @return Whether the daemon is taken for alive. */
bool isAlive(const Member& member, TimePoint now);

/** @return The living daemon that owns a shard in the highest term, or nullptr. */
const Member* findOwner(const MemberTable& members, const std::string& shard, TimePoint now);

std::string encodeHeartbeat(const Heartbeat& heartbeat);

/** Reads a datagram; whatever is not a heartbeat is an error. */
Expected<Heartbeat> decodeHeartbeat(std::string_view bytes);

} // namespace bulrushloft
