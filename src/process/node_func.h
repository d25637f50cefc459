/** @file node_func.h What happens to a daemon, and what it decides. */
#pragma once

#include "process/node_base.h"

namespace bulrushloft {

/** Makes a daemon that has yet to catch up. */
Node makeNode(const NodeOptions& options, TimePoint now);

/** Notices a pause of the process; called before each event is handled. */
void detectPause(Node& node, TimePoint now);

/** Does what is due. */
void step(Node& node, TimePoint now, Effects& effects);

/** @return Monotonic time at which step() next has something to do without any event. */
TimePoint nextDeadline(const Node& node, TimePoint now);

/** A caller asks something; the answer comes as an effect, now or later. */
void onCallerCall(Node& node, CallerToken caller, CallerCall call, bool isForwarded, Duration timeout, TimePoint now, Effects& effects);

/** The owner that a call was forwarded to has answered, or not. */
void onForwardResult(Node& node, CallerToken caller, const EndpointResult<CallerAnswer>& result, TimePoint now, Effects& effects);

void onAppendResult(Node& node, const AppendEffect& sent, const AppendResult& result, TimePoint now, Effects& effects);
void onReadResult(Node& node, const ReadEffect& sent, const ReadResult& result, TimePoint now, Effects& effects);
void onVmList(Node& node, VmList list, TimePoint now);

/** The platform says that its list has not changed. */
void onVmListUnchanged(Node& node, TimePoint now);
void onHeartbeat(Node& node, const Heartbeat& heartbeat, TimePoint now);

/** Another daemon asks this one to take a shard over. */
void onTakeShard(Node& node, const std::string& shard, TimePoint now);

/** Another daemon has sent the settings that it has in force. */
void onSettingsFetched(Node& node, const SettingsState& settings, TimePoint now, Effects& effects);

/** A silent daemon's address refused a connection: no process listens there. */
void onPeerRefused(Node& node, const ProbePeerEffect& sent, TimePoint now);

void onWorkerAdopted(Node& node, const AdoptWorkerEffect& sent, const EndpointResult<AdoptWorkerAnswer>& result, TimePoint now, TimePoint sentAt);
void onWorkerSynced(Node& node, const SyncWorkerEffect& sent, const EndpointResult<SyncWorkerAnswer>& result, TimePoint now);
void onRunnerAdopted(Node& node, const AdoptRunnerEffect& sent, const EndpointResult<RunnerReport>& result, TimePoint now, TimePoint sentAt, Effects& effects);
void onRunnerProbed(Node& node, const ProbeRunnerEffect& sent, const EndpointResult<RunnerReport>& result, TimePoint now, TimePoint sentAt, Effects& effects);
void onDispatchAnswered(Node& node, const std::string& shard, const std::string& dispatch, const EndpointResult<DispatchAnswer>& result, TimePoint now, Effects& effects);

/** Begins the graceful shutdown: shards are handed over, calls in flight are answered. */
void beginShutdown(Node& node);

/** @return Whether nothing is left to hand over or to answer. */
bool isShutdownComplete(const Node& node);

/** Checks the caches of all owners. */
Expected<void> checkNode(const Node& node);

} // namespace bulrushloft
