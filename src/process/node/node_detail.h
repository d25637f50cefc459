/** @file node_detail.h Functions shared by the node's source files. */
#pragma once

#include "process/node/node_func.h"

namespace bulrushloft::detail {

/** Log streams of the settings changes and of the settings snapshots. */
constexpr const char* settingsStream = "settings";
constexpr const char* settingsSnapshotStream = "snapshot.settings";

/** Performs the due steps of loading, claiming, owning and handing over shards. */
void stepShards(Node& node, TimePoint now, Effects& effects);

/** Performs the due reads of the settings, appends of pending changes and writes of settings snapshots. */
void stepSettings(Node& node, TimePoint now, Effects& effects);

/** Routes the calls whose retry is due and answers those whose timeout has passed. */
void stepCalls(Node& node, TimePoint now, Effects& effects);

/** Passes a call to the owner of its shard, here or on a peer; schedules a retry when no owner is known. */
void routeCall(Node& node, CallerToken caller, TimePoint now, Effects& effects);

/** Removes the calls that have an answer among the effects; for a call that was not forwarded here, an answer that says the shard has moved is dropped instead, and the call is routed again later. */
void completeCalls(Node& node, TimePoint now, Effects& effects);

/** Handle the results of appends to and reads of shard streams. @return Whether the stream belongs to a shard. */
bool onShardAppend(Node& node, const AppendEffect& sent, const LogAppendResult& result, TimePoint now, Effects& effects);
bool onShardRead(Node& node, const ReadEffect& sent, const LogReadResult& result, TimePoint now, Effects& effects);

/** Handle the results of appends to and reads of the settings streams. @return Whether the stream is one of them. */
bool onSettingsAppend(Node& node, const AppendEffect& sent, const LogAppendResult& result, TimePoint now);
bool onSettingsRead(Node& node, const ReadEffect& sent, const LogReadResult& result, TimePoint now, Effects& effects);

/** Handles a call that reads or changes the settings. */
void onSettingsCall(Node& node, const CallerCall& call, CallerToken caller, TimePoint now, Effects& effects);

/** Builds the policy from the current settings and passes it to all owners. */
void applySettings(Node& node);

/** Appends the next part of a snapshot unless an append is in flight. */
void stepSnapshotWriter(SnapshotWriter& writer, const std::string& stream, std::uint64_t& lastTicket, TimePoint now, Effects& effects);

/** Handles the result of appending a part; a failure restarts the snapshot. */
void onWriterResult(SnapshotWriter& writer, std::uint64_t ticket, bool isConfirmed, TimePoint now);

/** @return Whether this daemon has the lowest name of all daemons that are alive and ready; that daemon writes the settings snapshots. */
bool isFirstMember(const Node& node, TimePoint now);

} // namespace bulrushloft::detail
