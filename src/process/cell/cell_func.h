/** @file cell_func.h What happens to a daemon of the cell. */
#pragma once

#include "process/cell/cell_base.h"

namespace bulrushloft::cell {

/** Makes a daemon that knows nothing yet. */
std::unique_ptr<CellNode> makeCell(CellOptions options, CellPorts ports, CellDecoders decoders, TimePoint now, Duration wallOffset);

/**
 * Takes the time before messages are handled; after a suspension a leader gives neither orders nor answers until the store confirms it.
 * @param now, bootNow As for stepCell().
 */
void advanceTime(CellNode& node, TimePoint now, TimePoint bootNow);

/**
 * Does all that is due.
 * @param now Monotonic time, which stands still while the machine is suspended.
 * @param bootNow Time that goes on during suspension.
 */
void stepCell(CellNode& node, TimePoint now, TimePoint bootNow);

/** Takes a client's call; the reply may come at once or later. */
void onClientCall(CellNode& node, const ClientCall& call, const ClientResponder& respond);

/** Takes a peer's message; the reply may come at once or later. */
void onPeerMessage(CellNode& node, const PeerMessage& message, const std::function<void(PeerReply)>& respond);

/** SIGTERM has come: the leadership is handed over, clients are still served. */
void beginTermination(CellNode& node);

/** @return Whether clients should be sent here. */
bool isReady(const CellNode& node);

} // namespace bulrushloft::cell
