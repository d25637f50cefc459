/** @file owner_func.h Interface of a shard owner: creation, events, calls and periodic steps. */
#pragma once

#include "process/owner_base.h"

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
 * Updates the contact with the other daemons. An owner that may have been superseded without its knowledge starts less work
 * without a record.
 * @param hasSilentPeer Whether any known daemon sends no heartbeats.
 * @param hasMajority Whether heartbeats arrive from more than half of the known daemons.
 */
void setPeerContact(ShardOwner& owner, bool hasSilentPeer, bool hasMajority);

/** Called when the term may be over, because another daemon reports a later one or after a pause: no work starts without a record until the journal has been read. */
void requireFreshRead(ShardOwner& owner);

/** Performs all work that is due: appends, placements, adoptions, polls, deadlines. */
void step(ShardOwner& owner, TimePoint now, Effects& effects);

/** @return Monotonic time at which step() must be called next if no event occurs before. */
TimePoint nextDeadline(const ShardOwner& owner, TimePoint now);

/** Handles the log's answer to an append, or its failure. */
void onAppendResult(ShardOwner& owner, std::uint64_t ticket, const LogAppendResult& result, TimePoint now, Effects& effects);

/** Handles the log's answer to a read of the owner's stream, or its failure. */
void onReadResult(ShardOwner& owner, std::uint64_t ticket, const LogReadResult& result, TimePoint now, Effects& effects);

void onWorkerAdopted(ShardOwner& owner, const AdoptWorkerEffect& sent, const EndpointResult<AdoptWorkerAnswer>& result, TimePoint now, TimePoint sentAt);
void onWorkerSynced(ShardOwner& owner, const SyncWorkerEffect& sent, const EndpointResult<SyncWorkerAnswer>& result, TimePoint now);
void onRunnerAdopted(ShardOwner& owner, const AdoptRunnerEffect& sent, const EndpointResult<RunnerReport>& result, TimePoint now, TimePoint sentAt, Effects& effects);
void onRunnerProbed(ShardOwner& owner, const ProbeRunnerEffect& sent, const EndpointResult<RunnerReport>& result, TimePoint now, TimePoint sentAt, Effects& effects);
void onDispatchAnswered(ShardOwner& owner, const std::string& dispatch, const EndpointResult<DispatchAnswer>& result, TimePoint now, Effects& effects);

/** Handles a caller's call; the answer is an effect of this or a later step. */
void onCall(ShardOwner& owner, const CallerCall& call, CallerToken caller, TimePoint now, Effects& effects);

/** Starts to release the shard; no new decisions are made from now on. */
void beginRelease(ShardOwner& owner, Effects& effects);

/** @return Whether callers still wait for the answers of requests. */
bool hasWaitingCallers(const ShardOwner& owner);

/**
 * Recomputes the granted resources and reserved slots from the attempts and dispatches and compares them with the stored sums.
 * @return Internal with the first difference, if there is one.
 */
Expected<void> checkOwner(const ShardOwner& owner);

} // namespace bulrushloft
