/** @file cell_func.h Entry points of a cell daemon's state machine. */
#pragma once

#include "process/cell/cell_base.h"

namespace bulrushloft::cell {

/** Creates a daemon without any known leader, peer or configuration. @param wallOffset Wall-clock time minus monotonic time. */
std::unique_ptr<CellNode> makeCell(CellOptions options, CellPorts ports, CellDecoders decoders, TimePoint now, Duration wallOffset);

/**
 * Advances the daemon's clock; called before messages are handled. After a suspension a leader sends neither orders
 * nor answers until the store confirms its leadership.
 * @param now, bootNow As for stepCell().
 */
void advanceTime(CellNode& node, TimePoint now, TimePoint bootNow);

/**
 * Performs all work that is due.
 * @param now Monotonic time; stops while the machine is suspended.
 * @param bootNow Boot-time clock; runs on during suspension.
 */
void stepCell(CellNode& node, TimePoint now, TimePoint bootNow);

/** Handles a client's call. @param respond Called once, at once or later. */
void onClientCall(CellNode& node, const ClientCall& call, const ClientResponder& respond);

/** Handles a peer's message. @param respond Called once, at once or later. */
void onPeerMessage(CellNode& node, const PeerMessage& message, const std::function<void(PeerReply)>& respond);

/**
 * Notes that a VM has refused a connection from this daemon: no process of the cell listened there, so none of it leads.
 * @param askedAt When the connection was tried, on the clock that goes on during a suspension.
 */
void onPeerRefused(CellNode& node, const Address& address, TimePoint askedAt);

/** Ends this daemon's term, if it has one, after an unexpected error; the next term loads the state from the records. */
void abandonTerm(CellNode& node);

/** Starts the shutdown after SIGTERM: hands the leadership over while clients are still served. */
void beginTermination(CellNode& node);

/** @return Whether the load balancer should send clients to this daemon. */
bool isReady(const CellNode& node);

} // namespace bulrushloft::cell
