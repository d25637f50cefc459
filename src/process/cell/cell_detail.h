/** @file cell_detail.h What the sources of the cell share. */
#pragma once

#include "process/cell/cell_base.h"

namespace bulrushloft::cell::detail {

constexpr const char* writerName = "leader"; ///< All leaders write progress under this name, fenced by their terms.

/** Follows the topics: reads that are due. */
void stepTails(CellNode& node);

/** Starts a tail anew from a listing. */
void resetTail(TopicTail& tail, bool isWanted);

/** Notes that the store has answered, or has not. */
void noteStore(CellNode& node, bool isReached);

/** @return How long a call to the store may be silent before it is sent once more beside. @param triedAt When it was sent. */
Duration patienceWithStore(const CellNode& node, TimePoint triedAt);

/** Takes a configuration, from the store or from a peer; older ones change nothing. */
void takeClusterText(CellNode& node, const std::string& text, std::string_view source);

/** Heartbeats to the leader, announcements to followers, lists of members. */
void stepPeers(CellNode& node);

/** @return Peers that could lead in place of the present leader. */
std::vector<PeerMember> rivalsOf(const CellNode& node);

/** @return Whether a member is this process of this daemon. */
bool isSelf(const CellNode& node, const PeerMember& member);

/** @return Whether the newest claim is this daemon's. */
bool isOwnClaim(const CellNode& node);

/** Claims, hand-over, isolation. */
void stepLeadership(CellNode& node);

/** Takes a claim that the store keeps. */
void takeClaim(CellNode& node, std::uint64_t token, const PeerMember& member);

/** The store's listing of claims, begun after a suspension, shows no later one: a leader may act again. */
void confirmLeadership(CellNode& node);

/** Writes the claim of this daemon if the topic of claims has not moved. */
void claimLeadership(CellNode& node, std::string_view cause);

/** Ends the term of this daemon. */
void stepDown(CellNode& node, std::string_view cause);

/** Reads what earlier terms have recorded. */
void stepLoading(CellNode& node);

/** Gives an order to a worker, or to the peer that passes it on. @param onAnswer Called once. */
void giveOrder(CellNode& node, const OrderTarget& to, std::variant<StartOrder, StopOrder, SyncOrder> order, Duration timeout, const OrderEnd& onAnswer);

/** Passes orders of a leader on. @return Whether they were taken. */
PeerAck takeOrders(CellNode& node, const PeerOrders& message);

/** Takes the ends of orders that a peer has passed on. */
PeerAck takeReports(CellNode& node, const PeerReports& message);

/** After a suspension: orders that came meanwhile are not passed on. */
void closeRelay(CellNode& node);

/** Sends orders and reports that have been collected. */
void stepRelay(CellNode& node);

/** Writes the progress of the scheduler. */
void stepWriter(CellNode& node);

/** One step of the scheduler and its calls. */
void stepScheduler(CellNode& node);

/** Answers queries whose jobs have ended or whose time is over. */
void answerStages(CellNode& node);

/** Tells those that wait for batches up to the confirmed one. */
void answerRecorded(CellNode& node);

/** @return Whether this daemon leads and may give orders and answers. */
bool mayAct(const CellNode& node);

/** Takes a submission for the next append, if this daemon leads. @param onEnd Called once. */
void takeSubmit(CellNode& node, const PeerSubmit& message, const std::function<void(WriteOutcome)>& onEnd);

/** Submissions that wait are recorded, or refused while the store is silent. */
void stepAdmission(CellNode& node);

/** Writes records to the topic of jobs, by the store or through peers, until the deadline. */
void writeJobs(CellNode& node, PendingWrite write);

/** Appends the queued submissions and cancellations together. */
void stepDirect(CellNode& node);

/** @return Peers in the order in which they are asked to relay. */
std::vector<PeerState*> relayOrder(CellNode& node);

PeerHeartbeatAnswer answerHeartbeat(CellNode& node, const PeerHeartbeat& heartbeat);

} // namespace bulrushloft::cell::detail
