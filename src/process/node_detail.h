/** @file node_detail.h What the sources of the daemon share among themselves. */
#pragma once

#include "process/node_func.h"

namespace bulrushloft::detail {

/** The stream of the settings and that of their snapshots. */
constexpr const char* settingsStream = "settings";
constexpr const char* settingsSnapshotStream = "snapshot.settings";

/** Loads, claims and hands over shards. */
void stepShards(Node& node, TimePoint now, Effects& effects);

/** Follows the settings and writes their snapshots. */
void stepSettings(Node& node, TimePoint now, Effects& effects);

/** Routes calls that are due. */
void stepCalls(Node& node, TimePoint now, Effects& effects);

/** Sends one call on its way, or sets the time of the next try. */
void routeCall(Node& node, CallerToken caller, TimePoint now, Effects& effects);

/** Turns answers of owners into answers to callers; calls that have moved are routed again. */
void completeCalls(Node& node, TimePoint now, Effects& effects);

/** Handles results for a shard's streams. */
bool onShardAppend(Node& node, const AppendEffect& sent, const AppendResult& result, TimePoint now, Effects& effects);
bool onShardRead(Node& node, const ReadEffect& sent, const ReadResult& result, TimePoint now, Effects& effects);

/** Handles results for the settings' streams. */
bool onSettingsAppend(Node& node, const AppendEffect& sent, const AppendResult& result, TimePoint now);
bool onSettingsRead(Node& node, const ReadEffect& sent, const ReadResult& result, TimePoint now, Effects& effects);

/** Begins or answers calls on the settings. */
void onSettingsCall(Node& node, const CallerCall& call, CallerToken caller, TimePoint now, Effects& effects);

/** Puts the replayed settings into force. */
void applySettings(Node& node);

/** Appends the next part of a snapshot, or does nothing while one is out. */
void stepSnapshotWriter(SnapshotWriter& writer, const std::string& stream, std::uint64_t& lastTicket, TimePoint now, Effects& effects);

/** Notes the result of appending a part. */
void onWriterResult(SnapshotWriter& writer, std::uint64_t ticket, bool isConfirmed, TimePoint now);

/** @return Whether this daemon's heartbeat-known rank lets it act for all, to write snapshots of the settings. */
bool isFirstMember(const Node& node, TimePoint now);

} // namespace bulrushloft::detail
