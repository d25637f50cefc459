/** @file node_detail.h Functions shared by the node's source files. */
#pragma once

#include "process/node_func.h"

namespace bulrushloft::detail {

/** Log streams of the settings changes and of the settings snapshots. */
constexpr const char* settingsStream = "settings";
constexpr const char* settingsSnapshotStream = "snapshot.settings";

/** Loads, claims and hands over shards as far as due. */
void stepShards(Node& node, TimePoint now, Effects& effects);

/** Reads new settings, appends pending changes and writes settings snapshots as far as due. */
void stepSettings(Node& node, TimePoint now, Effects& effects);

/** Routes the calls whose retry is due and answers those whose timeout has passed. */
void stepCalls(Node& node, TimePoint now, Effects& effects);

/** Passes a call to the owner of its shard, here or on a peer; schedules a retry when no owner is known. */
void routeCall(Node& node, CallerToken caller, TimePoint now, Effects& effects);

/** Closes the calls that have an answer among the effects; drops answers that say the shard has moved and schedules these calls to be routed again. */
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

/** @return Whether no live ready peer has a lower name than this daemon; the first daemon by name writes the settings snapshots. */
bool isFirstMember(const Node& node, TimePoint now);

} // namespace bulrushloft::detail
