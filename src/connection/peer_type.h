/** @file peer_type.h Messages that the daemons of a cell exchange. */
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
    std::string m_name; ///< Name of the daemon's VM.
    Address m_address; ///< Address for calls from peers.
    std::uint64_t m_instance = 0; ///< Identifies the process instance; differs after each restart.
    int m_strength = 0; ///< Suitability as leader, higher is better; see strengthOf().
};

/** The leader as known to a daemon. */
struct LeaderClaim {
    std::uint64_t m_token = 0; ///< Fencing token of the leader's term; 0 when no leader is known.
    PeerMember m_member; ///< The leader.
};

/** A term that has begun: its leader has fenced the earlier ones. */
struct BegunTermAge {
    std::uint64_t m_token = 0; ///< Fencing token of the term.
    Duration m_knownFor; ///< For how long the sender's process has known that.
};

/** Heartbeat that each daemon sends periodically to the leader, and that a new leader sends to all peers. */
struct PeerHeartbeat {
    PeerMember m_from; ///< Sender.
    LeaderClaim m_leader; ///< Leader as known to the sender.
    std::uint64_t m_configVersion = 0; ///< Version of the sender's configuration.
    std::uint64_t m_membersVersion = 0; ///< Version of the sender's member list.
    bool m_isStoreReached = false; ///< Whether the store answers the sender.
    std::vector<BegunTermAge> m_begunTerms; ///< The latest terms that the sender knows to have begun.
};

/** Answer to a heartbeat. */
struct PeerHeartbeatAnswer {
    PeerMember m_from; ///< Daemon that answers.
    LeaderClaim m_leader; ///< Leader as known to that daemon.
    bool m_isLeading = false; ///< Whether that daemon is the leader.
    bool m_isLeaving = false; ///< Whether that daemon is shutting down and needs a successor.
    bool m_isStoreReached = false; ///< Whether the store answers that daemon.
    std::uint64_t m_configVersion = 0; ///< Version of that daemon's configuration.
    std::uint64_t m_membersVersion = 0; ///< Version of that daemon's member list.
    std::vector<PeerMember> m_members; ///< Member list if the heartbeat came with a different version, otherwise empty.
    std::optional<Duration> m_leaderAnswerAge; ///< How long ago the leader last answered that daemon; empty when it has not answered since its claim, or is that daemon.
    std::vector<BegunTermAge> m_begunTerms; ///< The latest terms that the daemon knows to have begun.
    std::optional<Duration> m_configAge; ///< How long ago m_configVersion was known to be the newest; empty when that is not known, or keys don't expire.
};

/** Asks the leader for the stage of a job. */
struct PeerJobQuery {
    std::string m_job; ///< Id of the job.
};

/** Asks the leader for the number of pending jobs in a queue. */
struct PeerPendingJobsQuery {
    std::string m_queue; ///< Name of the queue.
};

/** Outcome of a query to the leader. */
enum class QueryStatus : std::uint8_t {
    Known, ///< The answer holds the requested stage or count.
    NoSuchJob, ///< No job with this id has been accepted.
    NotLeading, ///< The receiver is not the leader, or can't answer at present.
};

constexpr std::uint8_t jobStageCount = 5; ///< Number of stages of a job, see scheduler::JobStage.

/** Answer to a PeerJobQuery or a PeerPendingJobsQuery. */
struct PeerQueryAnswer {
    QueryStatus m_status = QueryStatus::NotLeading; ///< Outcome.
    std::uint8_t m_stage = 0; ///< The job's scheduler::JobStage; only set for a PeerJobQuery.
    std::uint32_t m_count = 0; ///< Number of pending jobs; only set for a PeerPendingJobsQuery.
};

/** Submits a job to the leader, which records it in the store with its next batch. */
struct PeerSubmit {
    std::string m_plan; ///< The job's plan in the encoding of the store.
};

/** Asks the leader to cancel a job. */
struct PeerCancel {
    std::string m_job; ///< Id of the job.
    bool m_isStored = false; ///< Whether the cancellation is in the store already, so that the job is cancelled whoever knows it.
    Duration m_patience { 1'000 }; ///< Within this time the receiver has to answer, so that the caller can still do without it.
};

/** Outcome of a submission or a cancellation. */
enum class WriteOutcome : std::uint8_t {
    Recorded, ///< The change is durable.
    NotAccepted, ///< The receiver is not the leader, or can't record changes at present; the request had no effect.
    Unknown, ///< The leader's term ended before the change was confirmed; it may still become durable.
    NoSuchJob, ///< There is no job with this id to cancel.
    StoreUnavailable, ///< The store does not answer the leader; the request had no effect.
    Rejected, ///< The job can't be started in time; the request had no effect.
    OverLimit, ///< The customer is over its share or its cap; the request had no effect.
};

/** Answer to a submission or a cancellation. */
struct PeerWriteAnswer {
    WriteOutcome m_outcome = WriteOutcome::NotAccepted; ///< Outcome.
    Duration m_retryAfter; ///< Delay before a retry; only for Rejected and OverLimit.
};

/** Asks a peer to append records on behalf of a daemon that gets no answers from the store. */
struct PeerAppend {
    StoreAppend m_append; ///< The append.
    Duration m_timeout { 500 }; ///< Time that the receiver has for its answer.
};

/** Answer to a PeerAppend. */
struct PeerAppendAnswer {
    StoreAppendAnswer m_answer; ///< Answer of the store.
    Duration m_latency; ///< How long appends to the partition take at present, by the answering daemon's own ones.
};

/** Asks a peer to request approvals from the approval service. */
struct PeerApprovalRequest {
    TaskName m_step; ///< Job, occurrence and step; the task index is not used.
    std::vector<std::string> m_workers; ///< Ids of the workers to approve.
};

/** Answer to a PeerApprovalRequest. */
struct PeerApprovalAnswer {
    bool m_isAnswered = false; ///< Whether the approval service answered; if not, the list is empty.
    std::vector<Approval> m_approvals; ///< Approved workers.
};

/** Asks a peer to take over leadership immediately. */
struct PeerTakeOver {
    std::uint64_t m_token = 0; ///< Fencing token of the term that ends.
};

/** Orders for a peer to forward to workers, so that the leader of a large cell need not call every worker itself. */
struct PeerOrders {
    PeerMember m_from; ///< The leader, which receives the reports.
    std::vector<RelayedOrder> m_orders; ///< Orders to forward.
};

/** Outcomes of forwarded orders, which a peer reports to the leader in batches. */
struct PeerReports {
    std::uint64_t m_token = 0; ///< Fencing token of the term that issued the orders.
    std::vector<OrderReport> m_reports; ///< Reports of this batch, one for each order.
};

/** Asks a peer for its configuration. */
struct PeerConfigRequest {
    std::uint64_t m_newerThan = 0; ///< Version of the sender's configuration; 0 for none.
};

/** Answer to a PeerConfigRequest. */
struct PeerConfigAnswer {
    std::string m_text; ///< Key and text of the configuration as the operator wrote it; empty if it is not newer.
};

/** Acknowledgement without further content. */
struct PeerAck {
    bool m_isAccepted = false; ///< Whether the receiver carries out the request.
};

/** A message between daemons. The index of the alternative is sent on the wire, so new ones may only be added at the end. */
using PeerMessage = std::variant<PeerHeartbeat, PeerJobQuery, PeerPendingJobsQuery, PeerAppend, PeerApprovalRequest, PeerTakeOver, PeerSubmit, PeerCancel, PeerOrders, PeerReports, PeerConfigRequest>;

/** A reply to a PeerMessage. The index of the alternative is sent on the wire as well. */
using PeerReply = std::variant<PeerHeartbeatAnswer, PeerQueryAnswer, PeerAppendAnswer, PeerApprovalAnswer, PeerAck, PeerWriteAnswer, PeerConfigAnswer>;

} // namespace bulrushloft
