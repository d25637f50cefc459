/** @file owner_func.h What happens to the owner of a shard, and what it decides. */
#pragma once

#include "process/owner_base.h"

namespace bulrushloft {

/**
 * Makes the owner of a shard whose claim was confirmed.
 * @param options Names and times.
 * @param state The journal's state, replayed to the claim.
 * @param policy Settings in force.
 * @param now Monotonic time.
 */
ShardOwner makeOwner(const OwnerOptions& options, ShardState state, SharedPolicy policy, TimePoint now);

/** Takes over a new version of the settings. */
void setPolicy(ShardOwner& owner, SharedPolicy policy);

/** Takes over a new version of the platform's list of VMs. */
void setVmList(ShardOwner& owner, const VmList& list, TimePoint now);

/** Notes that a former owner is proved to have stopped renewing leases and dispatching. */
void markFormerStopped(ShardOwner& owner, InstanceId former, TimePoint now);

/** Notes which of the other daemons are heard; an owner that might have been superseded unheard acts with more care. */
void setPeerContact(ShardOwner& owner, bool isSuspect, bool hasMajority);

/** The term may be over, as another daemon tells or after a pause: nothing unrecorded is begun until the journal has been read. */
void requireFreshRead(ShardOwner& owner);

/** Does what is due: appends, placements, adoptions, polls, deadlines. */
void step(ShardOwner& owner, TimePoint now, Effects& effects);

/** @return Monotonic time at which step() next has something to do without any event. */
TimePoint nextDeadline(const ShardOwner& owner, TimePoint now);

/** The log has answered an append, or not. */
void onAppendResult(ShardOwner& owner, std::uint64_t ticket, const AppendResult& result, TimePoint now, Effects& effects);

/** The log has answered a read of the owner's stream, or not. */
void onReadResult(ShardOwner& owner, std::uint64_t ticket, const ReadResult& result, TimePoint now, Effects& effects);

void onWorkerAdopted(ShardOwner& owner, const AdoptWorkerEffect& sent, const EndpointResult<AdoptWorkerAnswer>& result, TimePoint now, TimePoint sentAt);
void onWorkerSynced(ShardOwner& owner, const SyncWorkerEffect& sent, const EndpointResult<SyncWorkerAnswer>& result, TimePoint now);
void onRunnerAdopted(ShardOwner& owner, const AdoptRunnerEffect& sent, const EndpointResult<RunnerReport>& result, TimePoint now, TimePoint sentAt, Effects& effects);
void onRunnerProbed(ShardOwner& owner, const ProbeRunnerEffect& sent, const EndpointResult<RunnerReport>& result, TimePoint now, TimePoint sentAt, Effects& effects);
void onDispatchAnswered(ShardOwner& owner, const std::string& dispatch, const EndpointResult<DispatchAnswer>& result, TimePoint now, Effects& effects);

/** Handles a caller's call; the answer comes as an effect, now or later. */
void onCall(ShardOwner& owner, const CallerCall& call, CallerToken caller, TimePoint now, Effects& effects);

/** Begins to give the shard up; nothing new is decided from now on. */
void beginRelease(ShardOwner& owner, Effects& effects);

/** @return Whether anything is still to be relayed to callers. */
bool hasWaitingCallers(const ShardOwner& owner);

/**
 * Rebuilds the ledger and the other caches and compares.
 * @return The first difference, or nothing.
 */
Expected<void> checkOwner(const ShardOwner& owner);

} // namespace bulrushloft
