/** @file owner_func.h Interface of a shard owner: creation, events, calls and periodic steps. */
#pragma once

#include "process/owner/owner_base.h"

namespace bulrushloft {

/**
 * Creates the owner of a shard once its claim has been confirmed.
 * @param options Timing parameters and identity.
 * @param state State of the shard, replayed from the journal up to the claim.
 * @param policy Settings in force.
 * @param now Monotonic time.
 */
ShardOwner makeOwner(const OwnerOptions& options, ShardState state, SharedPolicy policy, TimePoint now);

/** Applies a new version of the settings. */
void setPolicy(ShardOwner& owner, SharedPolicy policy);

/** Applies a new version of the platform's list of VMs. */
void setVmList(ShardOwner& owner, const VmList& list, TimePoint now);

/** Records that a former owner is proven to have stopped renewing leases and dispatching requests. */
void markFormerOwnerStopped(ShardOwner& owner, InstanceId former, TimePoint now);

/**
 * Updates what the owner knows about the contact with the other daemons. While a peer is silent and there is no majority, the
 * owner may have been superseded without its knowledge and starts work without a record only after a recent read of the journal.
 * @param hasSilentPeer Whether any known daemon sends no heartbeats.
 * @param hasMajority Whether heartbeats arrive from more than half of the known daemons.
 */
void setPeerContact(ShardOwner& owner, bool hasSilentPeer, bool hasMajority);

/**
 * Prevents work from starting without a record until the journal has been read. Called when the term may be over: another
 * daemon has reported a later one, or the process was paused.
 */
void requireFreshRead(ShardOwner& owner);

/** Performs all work that is due: appends, placements, adoptions, polls, deadlines. */
void step(ShardOwner& owner, TimePoint now, Effects& effects);

/** @return Monotonic time at which step() must be called next if no event occurs before. */
TimePoint nextDeadline(const ShardOwner& owner, TimePoint now);

/** Handles the log's answer to an append, or its failure. */
void onAppendResult(ShardOwner& owner, std::uint64_t ticket, const LogAppendResult& result, TimePoint now, Effects& effects);

/** Handles the log's answer to a read of the owner's stream, or its failure. */
void onReadResult(ShardOwner& owner, std::uint64_t ticket, const LogReadResult& result, TimePoint now, Effects& effects);

// Answers of workers and runners to calls, or their failures; sentAt is the monotonic time at which the call was sent.

void onWorkerAdopted(ShardOwner& owner, const AdoptWorkerEffect& sent, const EndpointResult<AdoptWorkerAnswer>& result, TimePoint now, TimePoint sentAt);
void onWorkerSynced(ShardOwner& owner, const SyncWorkerEffect& sent, const EndpointResult<SyncWorkerAnswer>& result, TimePoint now);
void onRunnerAdopted(ShardOwner& owner, const AdoptRunnerEffect& sent, const EndpointResult<RunnerReport>& result, TimePoint now, TimePoint sentAt, Effects& effects);
void onRunnerProbed(ShardOwner& owner, const ProbeRunnerEffect& sent, const EndpointResult<RunnerReport>& result, TimePoint now, TimePoint sentAt, Effects& effects);
void onDispatchAnswered(ShardOwner& owner, const std::string& dispatch, const EndpointResult<DispatchAnswer>& result, TimePoint now, Effects& effects);

/** Handles a caller's call; the answer is an effect of this or a later step. */
void onCall(ShardOwner& owner, const CallerCall& call, CallerToken caller, TimePoint now, Effects& effects);

/** Starts to release the shard: no new decisions are made from now on, and callers that do not wait for a dispatch in progress are redirected. */
void beginRelease(ShardOwner& owner, Effects& effects);

/** @return Whether callers still wait for the answers of requests. */
bool hasWaitingCallers(const ShardOwner& owner);

/**
 * Recomputes the granted resources and reserved slots from the attempts and dispatches and compares them with the stored sums
 * and the capacities of the adopted workers.
 * @return An error of kind Internal that describes the first discrepancy, if there is one.
 */
Expected<void> checkOwner(const ShardOwner& owner);

} // namespace bulrushloft
