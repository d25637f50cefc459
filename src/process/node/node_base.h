/** @file node_base.h State of a daemon's decision thread. */
#pragma once

#include "process/journal/snapshot_func.h"
#include "process/node/member_type.h"
#include "process/owner/owner_base.h"
#include "version/settings_base.h"

#include <memory>

namespace bulrushloft {

/** Options of a node. */
struct NodeOptions {
    std::string m_cell; ///< Name of the cell.
    std::string m_member; ///< Name of this VM.
    Address m_address; ///< Listening address of this daemon.
    std::string m_zone; ///< Availability zone of this VM.
    InstanceId m_instance; ///< Id of this process; the wall-clock time of its start in milliseconds, so that a later process has a higher one.
    std::vector<Address> m_seeds; ///< Daemons that receive heartbeats even before the VM list has been read.
    Duration m_heartbeatInterval { 1'000 }; ///< Interval between heartbeats.
    Duration m_settleTime { 1'500 }; ///< Shortest time from the start to the state Ready, so that the heartbeats of peers arrive first.
    OwnerOptions m_owner; ///< Options of the shard owners.
};

/** Progress of a daemon in taking over a shard. */
enum class ShardRole : std::uint8_t {
    Idle, ///< Not involved.
    LoadingSnapshot, ///< Reading the newest snapshot.
    Replaying, ///< Reading the journal from the snapshot's offset on.
    Claiming, ///< Appending the claim; not confirmed yet.
    Owning, ///< The claim is confirmed; this daemon owns the shard.
};

/** Writes a snapshot, in parts. */
struct SnapshotWriter {
    std::vector<std::string> m_entries; ///< Parts of the snapshot; empty when none is being written.
    std::size_t m_nextEntry = 0; ///< Index of the part that is in flight or appended next.
    bool m_isInFlight = false; ///< An append has not been answered yet.
    std::uint64_t m_ticket = 0; ///< Ticket of that append.
    TimePoint m_nextAt; ///< Monotonic time of the next snapshot or part.
    Offset m_covered; ///< Journal offset up to which the latest snapshot begun covers the journal, exclusive; set but not in use.
};

/** State of one shard on this daemon. */
struct ShardSlot {
    std::string m_name; ///< Name of the shard.
    ShardRole m_role = ShardRole::Idle; ///< Progress in taking it over.
    TimePoint m_ownerlessSince; ///< Monotonic time since which no owner is known; 0 when one is known.
    TimePoint m_isolatedSince; ///< While owning: monotonic time since which the log has answered but no majority of the daemons has sent heartbeats; 0 otherwise.
    TimePoint m_yieldedAt; ///< Monotonic time at which the shard was last released because of that isolation; 0 when never.
    bool m_isTakeoverRequested = false; ///< The owner has requested that this daemon take over.
    TimePoint m_takeoverDeadline; ///< Monotonic time at which the takeover is abandoned.
    SnapshotAssembler m_assembler; ///< While loading: collects the parts of the snapshot.
    Offset m_snapshotNext; ///< While loading: offset of the next entry of the snapshot stream.
    ShardState m_state; ///< While replaying and claiming: the state replayed so far.
    bool m_isReadInFlight = false; ///< A read has not been answered yet.
    bool m_isAppendInFlight = false; ///< The append of the claim has not been answered yet.
    std::uint64_t m_ticket = 0; ///< Ticket of the latest read or append.
    TimePoint m_retryAt; ///< Monotonic time before which no read or append is sent.
    std::string m_claimBytes; ///< The encoded claim; retries append identical bytes.
    std::unique_ptr<ShardOwner> m_owner; ///< Set while owning.
    SnapshotWriter m_writer; ///< While owning: writes the snapshots of the shard.
    std::string m_successor; ///< While leaving: daemon that was asked to take over; empty before, "nobody" when there is no candidate.
    TimePoint m_successorAskedAt; ///< While leaving: monotonic time of that request.
};

/** A call that is not answered yet; from a caller, or forwarded by another daemon. */
struct PendingCall {
    CallerCall m_call; ///< The call.
    bool m_isForwarded = false; ///< Another daemon has forwarded the call; it is not forwarded again.
    TimePoint m_arrivedAt; ///< Monotonic time at which the call arrived.
    TimePoint m_deadline; ///< Monotonic time at which the call is answered as timed out.
    bool m_isInFlight = false; ///< The call has been passed to an owner that has not answered yet.
    bool m_mayHaveReachedOwner = false; ///< An owner may have received the call and acted on it.
    TimePoint m_timerAt; ///< Monotonic time of the next retry, or of the timeout while the call is in flight.
};

/** A change of settings that the log has not confirmed yet. */
struct PendingChange {
    SettingsChange m_change; ///< The change.
    std::vector<CallerToken> m_callers; ///< Callers that wait for the result.
    bool m_isInFlight = false; ///< An append has not been answered yet.
    std::uint64_t m_ticket = 0; ///< Ticket of that append.
    TimePoint m_retryAt; ///< Monotonic time of the next append; far in the future once an append has succeeded.
    TimePoint m_deadline; ///< Monotonic time at which the callers are answered that the outcome is unknown.
};

/** Reads the settings snapshot and follows the settings stream. */
struct SettingsReader {
    bool m_isSnapshotLoaded = false; ///< The snapshot stream has been read to its end.
    SnapshotAssembler m_assembler; ///< Collects the parts of the snapshot.
    Offset m_snapshotNext; ///< Offset of the next entry of the snapshot stream.
    bool m_isInFlight = false; ///< A read has not been answered yet.
    std::uint64_t m_ticket = 0; ///< Ticket of that read.
    TimePoint m_retryAt; ///< Monotonic time of the next read after a failure.
    bool m_isCaughtUp = false; ///< The settings have been up to date at least once: the stream was read to its end, or newer settings were fetched from a peer.
    TimePoint m_nextFetchAt; ///< Monotonic time of the next fetch from a peer.
    std::uint32_t m_failures = 0; ///< Consecutive failed reads.
};

/** The highest term of a shard that heartbeats have announced. */
struct KnownTerm {
    Epoch m_epoch; ///< Number of the term.
    TimePoint m_receivedAt; ///< Monotonic time at which the term was first announced.
};

/** State of a daemon: its peers, settings, shards and open calls. */
struct Node {
    NodeOptions m_options;
    TimePoint m_startedAt; ///< Monotonic time of the start.
    MemberState m_memberState = MemberState::Starting; ///< State announced in heartbeats.
    MemberTable m_members; ///< Peers, by name of their VM.
    bool m_hasMajority = true; ///< More than half of the known daemons, this one included, send heartbeats.
    std::map<std::string, KnownTerm> m_knownTerms; ///< Highest announced terms, by shard.
    VmList m_vms; ///< Latest VM list of the platform.
    TimePoint m_vmListConfirmedAt; ///< Monotonic time at which the platform last sent the list or confirmed that it is current.
    TimePoint m_lastStepAt; ///< Monotonic time of the latest step or event.
    bool m_hasVmList = false; ///< Whether the list has been read at least once.
    std::uint64_t m_heartbeatSequence = 0; ///< Sequence number of the latest heartbeat.
    TimePoint m_nextHeartbeatAt; ///< Monotonic time of the next heartbeat.
    TimePoint m_nextProbeAt; ///< Monotonic time of the next probe of silent peers.

    SettingsState m_settings; ///< Settings in force and their history.
    SharedPolicy m_policy; ///< Policy built from the settings; shared with the owners.
    SettingsReader m_settingsReader;
    SnapshotWriter m_settingsWriter; ///< Writes snapshots of the settings.
    std::map<std::string, PendingChange> m_changes; ///< Changes not confirmed by the log yet, by id.

    std::map<std::string, ShardSlot> m_shards; ///< All shards, by name.
    std::vector<std::unique_ptr<ShardOwner>> m_retiredOwners; ///< Owners of ended terms that still have answers to relay to callers.
    std::unordered_map<CallerToken, PendingCall> m_calls; ///< Calls that are not answered yet.
    std::multimap<TimePoint, CallerToken> m_callTimers; ///< Calls by the time of their next retry or timeout; may hold outdated times.
    std::uint64_t m_lastTicket = 0; ///< Ticket of the latest append or read that the node itself, not an owner, has sent.
    TimePoint m_nextTimersAt; ///< Monotonic time of the next run of the periodic work.
};

} // namespace bulrushloft
