/** @file node_func.h Interface of the node: events that it handles and queries that it answers. */
#pragma once

#include "process/node/node_base.h"

namespace bulrushloft {

/** Creates a node in the state Starting. */
Node makeNode(const NodeOptions& options, TimePoint now);

/** Detects a pause of the process; must be called before each event is handled. */
void detectPause(Node& node, TimePoint now);

/** Performs all work that is due. */
void step(Node& node, TimePoint now, Effects& effects);

/** @return Monotonic time at which step() must be called next if no event arrives before. */
TimePoint nextDeadline(const Node& node, TimePoint now);

/**
 * Handles a caller's call; the answer is emitted as an effect, now or later.
 * @param isForwarded Whether another daemon has forwarded the call.
 * @param timeout Time within which the call has to be answered.
 */
void onCallerCall(Node& node, CallerToken caller, CallerCall call, bool isForwarded, Duration timeout, TimePoint now, Effects& effects);

/** Handles the result of a forwarded call: the owner's answer or a failure. */
void onForwardResult(Node& node, CallerToken caller, const EndpointResult<CallerAnswer>& result, TimePoint now, Effects& effects);

void onAppendResult(Node& node, const AppendEffect& sent, const LogAppendResult& result, TimePoint now, Effects& effects);
void onReadResult(Node& node, const ReadEffect& sent, const LogReadResult& result, TimePoint now, Effects& effects);
void onVmList(Node& node, VmList list, TimePoint now);

/** Handles the platform's confirmation that the VM list has not changed. */
void onVmListUnchanged(Node& node, TimePoint now);
void onHeartbeat(Node& node, const Heartbeat& heartbeat, TimePoint now);

/** Handles another daemon's request to take over a shard. */
void onTakeShard(Node& node, const std::string& shard, TimePoint now);

/** Handles the settings that were fetched from another daemon; they are applied if they are newer. */
void onSettingsFetched(Node& node, const SettingsState& settings, TimePoint now, Effects& effects);

/** Handles a refused connection to a silent daemon: no process listens there any more. */
void onPeerConnectionRefused(Node& node, const ProbePeerEffect& sent, TimePoint now);

void onWorkerAdopted(Node& node, const AdoptWorkerEffect& sent, const EndpointResult<AdoptWorkerAnswer>& result, TimePoint now, TimePoint sentAt);
void onWorkerSynced(Node& node, const SyncWorkerEffect& sent, const EndpointResult<SyncWorkerAnswer>& result, TimePoint now);
void onRunnerAdopted(Node& node, const AdoptRunnerEffect& sent, const EndpointResult<RunnerReport>& result, TimePoint now, TimePoint sentAt, Effects& effects);
void onRunnerProbed(Node& node, const ProbeRunnerEffect& sent, const EndpointResult<RunnerReport>& result, TimePoint now, TimePoint sentAt, Effects& effects);
void onDispatchAnswered(Node& node, const std::string& shard, const std::string& dispatch, const EndpointResult<DispatchAnswer>& result, TimePoint now, Effects& effects);

/** Begins a graceful shutdown, which hands over the shards and completes the calls in flight. */
void beginShutdown(Node& node);

/** @return Whether all shards are handed over and all calls answered. */
bool isShutdownComplete(const Node& node);

/** Checks the caches of all owners. @return An error that describes the first inconsistency. */
Expected<void> checkNode(const Node& node);

} // namespace bulrushloft
