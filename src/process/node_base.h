/** @file node_base.h One daemon as its deciding thread sees the world. */
#pragma once

#include "process/member_type.h"
#include "process/owner_base.h"
#include "process/snapshot_func.h"
#include "version/settings_base.h"

#include <memory>

namespace bulrushloft {

/** What a daemon is told at its start. */
struct NodeOptions {
    std::string m_cell; ///< Name of the cell.
    std::string m_member; ///< Name of this VM.
    Address m_address; ///< Where this daemon listens.
    std::string m_zone; ///< Its zone.
    InstanceId m_instance; ///< This process; begins with the calendar time of its start.
    std::vector<Address> m_seeds; ///< Daemons to greet before the list of VMs is known.
    Duration m_heartbeatInterval { 1'000 }; ///< Time between two heartbeats.
    Duration m_settleTime { 1'500 }; ///< Wait for heartbeats after the start.
    OwnerOptions m_owner; ///< Times of the owners.
};

/** How far a daemon is with a shard. */
enum class ShardRole : std::uint8_t {
    Idle, ///< Not its business now.
    LoadingSnapshot, ///< Reads the newest snapshot.
    Replaying, ///< Reads the journal from there on.
    Claiming, ///< Its claim is on the way.
    Owning, ///< Its claim is confirmed.
};

/** Writing of one snapshot. */
struct SnapshotWriter {
    std::vector<std::string> m_entries; ///< Parts, the next one first to go.
    std::size_t m_nextEntry = 0; ///< Index of the part that is out or due.
    bool m_isInFlight = false; ///< An append is out.
    std::uint64_t m_ticket = 0; ///< Its ticket.
    TimePoint m_nextAt; ///< Monotonic time of the next snapshot or part.
    Offset m_covered; ///< Offset up to which the latest whole snapshot reaches.
};

/** A shard on a daemon. */
struct ShardSlot {
    std::string m_name; ///< The shard.
    ShardRole m_role = ShardRole::Idle; ///< How far this daemon is with it.
    TimePoint m_ownerlessSince; ///< Monotonic time since which nobody is known to own it; 0 when somebody does.
    TimePoint m_isolatedSince; ///< While owning: monotonic time since which few of the others are heard; 0 otherwise.
    TimePoint m_yieldedAt; ///< Monotonic time at which the shard was last left to others for that; 0 when never.
    bool m_isTakeoverRequested = false; ///< The owner has asked this daemon to take over.
    TimePoint m_takeoverDeadline; ///< Monotonic time at which an attempt to take over ends.
    SnapshotAssembler m_assembler; ///< While loading.
    Offset m_snapshotNext; ///< While loading: the next entry of the snapshot stream.
    ShardState m_state; ///< While replaying and claiming.
    bool m_isReadInFlight = false; ///< A read is out.
    bool m_isAppendInFlight = false; ///< The append of the claim is out.
    std::uint64_t m_ticket = 0; ///< Ticket of the latest read or append.
    TimePoint m_retryAt; ///< Monotonic time of the next try.
    std::string m_claimBytes; ///< The claim, repeated to the letter.
    std::unique_ptr<ShardOwner> m_owner; ///< While owning.
    SnapshotWriter m_writer; ///< While owning.
    std::string m_successor; ///< While leaving: the successor that was asked.
    TimePoint m_successorAskedAt; ///< While leaving: when it was asked.
};

/** A call of a caller of this daemon, or of another daemon on behalf of a caller. */
struct PendingCall {
    CallerCall m_call; ///< What is asked.
    bool m_isForwarded = false; ///< Another daemon has passed it on; it is not passed on again.
    TimePoint m_arrivedAt; ///< Monotonic time of arrival.
    TimePoint m_deadline; ///< Monotonic time at which it is answered whatever is known.
    bool m_isInFlight = false; ///< With the owner.
    bool m_mayHaveReachedOwner = false; ///< Some owner may have acted on it.
    TimePoint m_retryAt; ///< Monotonic time of the next try.
};

/** A change of settings on its way. */
struct PendingChange {
    SettingsChange m_change; ///< The change.
    std::vector<CallerToken> m_callers; ///< Who waits.
    bool m_isInFlight = false; ///< An append is out.
    std::uint64_t m_ticket = 0; ///< Its ticket.
    TimePoint m_retryAt; ///< Monotonic time of the next append.
    TimePoint m_deadline; ///< Monotonic time at which "unknown" is told.
};

/** Following the settings stream. */
struct SettingsReader {
    bool m_isSnapshotLoaded = false; ///< The snapshot stream has been read to its end.
    SnapshotAssembler m_assembler; ///< While the snapshot stream is read.
    Offset m_snapshotNext; ///< Next entry of the snapshot stream.
    bool m_isInFlight = false; ///< A read is out.
    std::uint64_t m_ticket = 0; ///< Its ticket.
    TimePoint m_retryAt; ///< Monotonic time of the next read after a failure.
    bool m_hasReachedEnd = false; ///< The stream was read to its end once.
    TimePoint m_nextFetchAt; ///< Monotonic time of the next question to another daemon.
    std::uint32_t m_failures = 0; ///< Reads in a row without an answer.
};

/** The latest term of a shard that was heard of. */
struct KnownTerm {
    Epoch m_epoch; ///< The term.
    TimePoint m_receivedAt; ///< Monotonic time at which it was first heard of.
};

/** A daemon. */
struct Node {
    NodeOptions m_options; ///< What it was told at its start.
    TimePoint m_startedAt; ///< Monotonic time of its start.
    MemberState m_memberState = MemberState::Starting; ///< What it is fit for.
    MemberTable m_members; ///< The other daemons.
    bool m_hasMajority = true; ///< More than half of the known daemons are heard.
    std::map<std::string, KnownTerm> m_knownTerms; ///< Latest terms, by shard.
    VmList m_vms; ///< The platform's list.
    TimePoint m_vmListConfirmedAt; ///< Monotonic time at which the list was last told to be current.
    TimePoint m_lastStepAt; ///< Monotonic time of the latest step.
    bool m_hasVmList = false; ///< Whether the list was ever read.
    std::uint64_t m_heartbeatSequence = 0; ///< Counts the heartbeats.
    TimePoint m_nextHeartbeatAt; ///< Monotonic time of the next heartbeat.
    TimePoint m_nextProbeAt; ///< Monotonic time of the next probe of silent daemons.

    SettingsState m_settings; ///< The settings.
    SharedPolicy m_policy; ///< The same for the deciding code.
    SettingsReader m_settingsReader; ///< Following their stream.
    SnapshotWriter m_settingsWriter; ///< Writing their snapshots.
    std::map<std::string, PendingChange> m_changes; ///< Changes on their way, by id.

    std::map<std::string, ShardSlot> m_shards; ///< All shards, by name.
    std::vector<std::unique_ptr<ShardOwner>> m_retiredOwners; ///< Former terms that still have answers to relay.
    std::unordered_map<CallerToken, PendingCall> m_calls; ///< Calls that are not answered.
    std::multimap<TimePoint, CallerToken> m_callTimers; ///< Calls by the time at which they are looked at again.
    std::uint64_t m_lastTicket = 0; ///< Of the latest append or read of the daemon itself.
    TimePoint m_nextTimersAt; ///< Monotonic time of the next look at all shards.
};

} // namespace bulrushloft
