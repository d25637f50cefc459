/** @file peer_type.h What the daemons of a cell say to each other. */
#pragma once

#include "connection/order_type.h"
#include "connection/store_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bulrushloft {

/** A daemon of the cell. */
struct PeerMember {
    std::string m_name; ///< Name of its VM.
    Address m_address; ///< Where peers reach it.
    std::uint64_t m_instance = 0; ///< Differs with each start of the process.
    int m_strength = 0; ///< How well it could lead, see strengthOf().
};

/** Whom a daemon takes for the leader. */
struct LeaderClaim {
    std::uint64_t m_token = 0; ///< Fencing token of the term; 0 when none is known.
    PeerMember m_member; ///< The leader.
};

/** Sent to the leader at regular times, and by a new leader to all peers. */
struct PeerHeartbeat {
    PeerMember m_from; ///< The sender.
    LeaderClaim m_leader; ///< Whom it takes for the leader.
    std::uint64_t m_configVersion = 0; ///< Version of the configuration that it has.
    std::string m_configText; ///< That configuration, when the leader's is known to be older.
    std::uint64_t m_membersVersion = 0; ///< Version of the list of members that it has.
    bool m_isStoreReached = false; ///< Whether the store answers it.
};

/** Answer to a heartbeat. */
struct PeerHeartbeatAnswer {
    PeerMember m_from; ///< The one that answers.
    LeaderClaim m_leader; ///< Whom it takes for the leader.
    bool m_isLeading = false; ///< It leads.
    bool m_isLeaving = false; ///< It is about to end; a successor is wanted.
    bool m_isStoreReached = false; ///< Whether the store answers it.
    std::uint64_t m_configVersion = 0; ///< Version of the configuration that it has.
    std::string m_configText; ///< That configuration, when the sender's is older.
    std::uint64_t m_membersVersion = 0; ///< Version of its list of members.
    std::vector<PeerMember> m_members; ///< The list, when the sender's is another one.
};

/** Asks the leader where a job stands. */
struct PeerJobQuery {
    std::string m_job; ///< Id of the job.
};

/** Asks the leader for the pending jobs of a queue. */
struct PeerPendingJobsQuery {
    std::string m_queue; ///< Name of the queue.
};

/** How the leader can answer a query. */
enum class QueryStatus : std::uint8_t {
    Known, ///< The stage is told.
    NoSuchJob, ///< No such job has been accepted.
    NotLeading, ///< The one asked does not lead, or can't tell now.
};

/** Answer to a query or a count. */
struct PeerQueryAnswer {
    QueryStatus m_status = QueryStatus::NotLeading; ///< How it ended.
    std::uint8_t m_stage = 0; ///< A scheduler::JobStage.
    std::uint32_t m_count = 0; ///< Pending jobs.
};

/** Hands a job to the leader, which records it with its next batch. */
struct PeerSubmit {
    std::string m_plan; ///< The plan, encoded as the store keeps it.
};

/** Has the leader cancel a job. */
struct PeerCancel {
    std::string m_job; ///< Id of the job.
};

/** How the leader took a submission or a cancellation. */
enum class WriteOutcome : std::uint8_t {
    Recorded, ///< It is durable.
    NotAccepted, ///< The one asked does not lead, or can't record now; nothing was done.
    Unknown, ///< The term ended before it was recorded; it may still be.
    NoSuchJob, ///< There is no such job to cancel.
    StoreUnavailable, ///< The store does not answer the leader; nothing was done.
};

/** Answer to a submission or a cancellation. */
struct PeerWriteAnswer {
    WriteOutcome m_outcome = WriteOutcome::NotAccepted; ///< How it ended.
};

/** Asks a peer to append records for a daemon that the store does not answer. */
struct PeerAppend {
    StoreAppend m_append; ///< What.
};

/** Answer to a relayed append. */
struct PeerAppendAnswer {
    StoreAppendAnswer m_answer; ///< What the store said.
};

/** Asks a peer to ask for approvals. */
struct PeerApprovalRequest {
    TaskName m_step; ///< Job, occurrence, step.
    std::vector<std::string> m_workers; ///< Workers named.
};

/** Answer to an ask; no list when the call failed. */
struct PeerApprovalAnswer {
    bool m_isAnswered = false; ///< The approving service has answered.
    std::vector<Approval> m_approvals; ///< Its answer.
};

/** Asks a peer to take over the leadership now. */
struct PeerTakeOver {
    std::uint64_t m_token = 0; ///< Token of the term that ends.
};

/** Orders that a peer passes on, so that a leader of many workers need not call each of them. */
struct PeerOrders {
    PeerMember m_from; ///< The leader, whom the reports go to.
    std::vector<RelayedOrder> m_orders; ///< What.
};

/** How orders ended that a peer has passed on. */
struct PeerReports {
    std::uint64_t m_token = 0; ///< Token of the term whose orders they were.
    std::vector<OrderReport> m_reports; ///< What became of them.
};

/** Answer without content. */
struct PeerAck {
    bool m_isAccepted = false; ///< Whether it will be done.
};

using PeerMessage = std::variant<PeerHeartbeat, PeerJobQuery, PeerPendingJobsQuery, PeerAppend, PeerApprovalRequest, PeerTakeOver, PeerSubmit, PeerCancel, PeerOrders, PeerReports>;
using PeerReply = std::variant<PeerHeartbeatAnswer, PeerQueryAnswer, PeerAppendAnswer, PeerApprovalAnswer, PeerAck, PeerWriteAnswer>;

} // namespace bulrushloft
