/** @file cell_base.h State of a cell daemon: its peers, the leadership, and its view of the metadata store. */
#pragma once

#include "connection/client_type.h"
#include "connection/peer_type.h"
#include "process/cell/append_pipeline.h"
#include "process/cell/begun_terms.h"
#include "process/cell/call_refusals.h"
#include "process/cell/config_copy.h"
#include "process/cell/config_fetch.h"
#include "process/cell/config_freshness.h"
#include "process/cell/hedged_call.h"
#include "process/cell/journal_move.h"
#include "process/cell/leader_monitor.h"
#include "process/cell/processor_speed.h"
#include "process/cell/record_parts.h"
#include "process/cell/retry_advice.h"
#include "process/cell/store_traffic.h"
#include "process/cell/submission_gate.h"
#include "process/cell/term_lease.h"
#include "process/cell/worker_copy.h"
#include "process/scheduler/scheduler_base.h"
#include "version/cluster_type.h"
#include "version/customer.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace bulrushloft::cell {

/** Topics of the metadata store. The cell uses partition 0 of each, but where it says otherwise. */
struct CellTopics {
    std::string m_operator; ///< Configuration and requests of the operator, by key.
    std::string m_workers; ///< Announcements of workers, by worker id.
    std::string m_leader = "keyed.leader"; ///< Leadership claims.
    std::string m_jobs = "keyed.jobs"; ///< Submissions and cancellations, by job id.
    std::string m_progress = "keyed.progress"; ///< Job progress, by job id; written by the leader only.
    std::string m_config = "keyed.config"; ///< Copies of the newest configuration, in several partitions; see config_copy.h.
};

inline constexpr std::uint32_t submissionPartition = 0; ///< Partition of CellTopics::m_jobs with submissions and cancellations.
inline constexpr std::uint32_t cancellationPartition = 1; ///< Partition of the same topic with a copy of each cancellation, for a new leader that can't read the first one.
inline constexpr std::size_t jobsPartitionCount = 2; ///< Partitions of that topic that VMs write to.

/** A record of the configuration that can't be decoded; the one in force is no longer known to be current. */
struct UnreadableCluster { };

/** A decoded record of the operator's topic; std::monostate when it is none of the configuration and the cell can't use it. */
using OperatorRecord = std::variant<std::monostate, ClusterSettings, MaintenanceWave, UnreadableCluster>;

/** Decoders for records in the platform's formats; supplied by the platform layer. */
struct CellDecoders {
    std::function<OperatorRecord(const std::string& key, const std::string& value)> m_operator; ///< Decodes a record of the operator; std::monostate when the cell can't use it.
    std::function<std::optional<WorkerAnnouncement>(const std::string& id, const std::string& value)> m_worker; ///< Decodes a worker's announcement; empty when it describes no usable worker.
    std::function<Expected<JobPlan>(const std::string& body)> m_plan; ///< Decodes a client's submission; the caller sets id and queue.
};

/** Outgoing calls of the cell. Each callback is invoked once, on the decision thread; an empty optional means that the call failed. */
struct CellPorts {
    std::function<void(StoreAppend, Duration timeout, std::function<void(StoreAppendAnswer)>)> m_append;
    std::function<void(StoreRead, Duration timeout, std::function<void(StoreReadAnswer)>)> m_read;
    std::function<void(StoreNewestRead, Duration timeout, std::function<void(StoreNewestAnswer)>)> m_readNewest;
    std::function<void(const Address&, const PeerMessage&, Duration timeout, std::function<void(std::optional<PeerReply>)>)> m_callPeer;
    std::function<void(const AddressedOrder<StartOrder>&, Duration timeout, std::function<void(const StartAnswer&)>)> m_start;
    std::function<void(const AddressedOrder<StopOrder>&, Duration timeout, std::function<void(OrderStatus)>)> m_stop;
    std::function<void(const AddressedOrder<PaceOrder>&, Duration timeout, std::function<void(OrderStatus)>)> m_pace;
    std::function<void(const AddressedOrder<SyncOrder>&, Duration timeout, std::function<void(OrderStatus, const SyncReport&)>)> m_sync;
    std::function<void(const TaskName&, const std::vector<std::string>&, Duration timeout, std::function<void(std::optional<std::vector<Approval>>)>)> m_requestApprovals;
};

/** Options of a daemon: its identity, seeds, topics and timing. */
struct CellOptions {
    PeerMember m_self; ///< This daemon's name, address, instance and strength.
    std::vector<Address> m_seeds; ///< Addresses to contact while no leader is known or the leader does not answer.
    CellTopics m_topics; ///< Topics of the metadata store.
    scheduler::SchedulerOptions m_scheduler; ///< Options of the scheduler.
    Duration m_heartbeatInterval { 250 }; ///< Interval between heartbeats to the leader.
    Duration m_suspectAfter { 900 }; ///< A leader without contact for longer is replaced.
    Duration m_claimDelayPerRank { 150 }; ///< Delay between the claims of successive candidates, so that they do not collide.
    Duration m_storeLostAfter { 1'000 }; ///< A leader that can't reach the store for longer is replaced.
    TermLeaseOptions m_termLease; ///< How long a leader may go on without evidence that it still leads, and how long its successor waits for that.
    Duration m_longPollWait { 1'000 }; ///< Long-poll timeout: how long the store may hold a read until new records arrive.
    Duration m_workerPollInterval { 250 }; ///< Interval between reads of the workers' announcements.
    Duration m_workerRemovalGrace { 2'000 }; ///< Grace period after a store outage in which workers may renew announcements that expired during it.
    Duration m_queryHoldTime { 60 }; ///< How long a query of an unfinished job is held, so that an end that is just being reported is included.
    std::size_t m_relayMinWorkers = 1'000; ///< From this number of workers on, peers forward the leader's orders.
    std::uint32_t m_journalPartitions = 16; ///< Partitions of the topic of progress among which the leader may choose; the store has at least as many.
    std::optional<Duration> m_keyRevocation; ///< Within this time after the operator has removed a key no call with it is carried out, on any VM; empty when there is no such limit.
    bool m_handsOverWhenSlow = false; ///< Whether a leader whose VM has become much slower asks another VM to lead.
    bool m_rejectsHopeless = false; ///< Whether submissions that can't be started in time are refused also where the configuration names no customers.
    Duration m_maxJobsStaleness { 2'500 }; ///< "No such job" is answered only if the submissions were read completely within this time.
};

/** A reader that follows a topic: it lists the newest record of each key, then reads on from an offset. */
struct TopicTail {
    StorePartition m_partition; ///< Partition to follow.
    bool m_isFollowed = false; ///< Whether the topic is being read.
    HedgedCall m_call; ///< The current call to the store, due or awaiting its answer.
    bool m_isListing = true; ///< Whether the initial listing is still in progress.
    std::string m_after; ///< Last key listed; the next page starts after it.
    std::optional<std::uint64_t> m_listedEnd; ///< End offset of the partition at the first page of the listing; reading goes on from there.
    std::vector<std::string> m_listedKeys; ///< Keys listed so far.
    std::uint64_t m_nextOffset = 0; ///< Next offset to read after the listing.
    bool m_isListingComplete = false; ///< Whether a listing has completed since the last reset.
    bool m_isCaughtUp = false; ///< Whether a read has reached the end of the partition since then, so that nothing stored during the listing is missing.
    std::uint32_t m_failedReads = 0; ///< Consecutive reads without an answer in time; the next one gets more time.
    TimePoint m_answeredAt; ///< When a listing or read was last answered.
    TimePoint m_upToDateAt; ///< When the read was sent that last reached the end of the partition, on the boot-time clock; what was stored later may be unread. Zero for none.
    TimePoint m_nextReportAt; ///< Earliest time at which a slow or failed read is next logged.
    Duration m_wait; ///< Long-poll timeout of reads; zero for reads that return at once.
    Duration m_pollDelay; ///< Delay before the next read once the end of the partition is reached.
};

/** A daemon's role in the leader election. */
enum class Role : std::uint8_t {
    Follower, ///< Another daemon leads, or none does.
    Claiming, ///< A leadership claim has been sent and is unanswered.
    Loading, ///< Leads, but is still reading the records of earlier terms.
    Leading, ///< Leads. Submissions that VMs have stored themselves may be unread, see Scheduler::m_areSubmissionsUnread, and so may be the records of silent partitions, see Scheduler::m_isProgressUnread.
};

/** A key range of the progress topic that is read in parallel with the others. */
struct LoadRange {
    std::string m_after; ///< The next page starts after this key; empty for the start of the topic.
    std::string m_until; ///< Exclusive end of the range; empty for the last range.
    bool m_isRead = false; ///< Whether the whole range has been read.
    bool m_isSplit = false; ///< Whether the range has been split, or is a part of one.
    HedgedCall m_call; ///< The current page request, due or awaiting its answer.
};

/** Loading of the records of one partition. */
struct JournalLoad {
    std::uint32_t m_partition = 0; ///< Partition number in the topic of progress.
    bool m_isFenced = false; ///< Whether writers of earlier terms are fenced off.
    HedgedCall m_fence; ///< The append that fences writers of earlier terms.
    std::vector<LoadRange> m_ranges; ///< Key ranges to read.
    std::map<std::string, std::string> m_progress; ///< Records read so far, by key.
    TimePoint m_answeredAt; ///< When the partition last answered the fence or a read; before that, when loading started.
};

/** State of loading at the start of a term. While a leader goes on without the records of silent partitions, it holds these. */
struct LoadState {
    std::vector<JournalLoad> m_journals; ///< The partitions to read, in the order in which they were written.
    TimePoint m_startedAt; ///< When loading started.
    std::optional<TimePoint> m_readingSince; ///< When the earlier terms were fenced, so that reading could begin.
    std::optional<TimePoint> m_progressReadAt; ///< When all progress had been read.
};

/** The leader's hold on its term; see term_lease.h. Times without a remark are of the monotonic clock. */
struct TermLease {
    TermEvidence m_evidence; ///< What shows that no later term has begun.
    LeaderClaim m_former; ///< The claim known before the own one; its token is 0 when none was known.
    std::uint64_t m_formerRecordsEnd = 0; ///< Offset after the newest record known before in the leader topic; the former leader's pointers follow its claim.
    TimePoint m_fencedAt; ///< When the store confirmed the fence of earlier terms.
    std::optional<MemberList> m_loadedList; ///< The list of members that the store held then.
    std::optional<TimePoint> m_formerStoppedAt; ///< When the former leader was seen to know this term or a later one, so that it renews no more leases.
    std::optional<TimePoint> m_beforeFormerStoppedAt; ///< By then the leaders of all terms before the former one have stopped, so that only the former leader may renew leases. Empty while that is not known.
    TimePoint m_earlierStoppedAt = farFuture; ///< By then the leaders of all earlier terms have stopped renewing leases.
    std::map<std::string, TimePoint> m_heardAt; ///< By memberIdOf(): when members that are listed, or are to be, were last heard of.
    MemberList m_storedList; ///< The list that the store is known to hold.
    std::optional<MemberList> m_dueList; ///< A list that is to be written with the next batch.
    std::optional<MemberList> m_sentList; ///< A list that is being written.
    std::uint64_t m_sentBatch = 0; ///< The batch that holds it.
    TimePoint m_nextAskAt; ///< When the members are next asked, if need be.
    TimePoint m_nextListCheckAt; ///< When it is next checked whether the list has to change.
    TimePoint m_nextReportAt; ///< When it is next logged on what the leader goes on without the store.
};

/** Known state of a peer. */
struct PeerState {
    PeerMember m_member; ///< The peer's identity and address.
    TimePoint m_lastContactAt; ///< When the peer last called or answered; zero when never.
    TimePoint m_failedAt; ///< When a call to the peer last failed; zero when never.
    bool m_isStoreReached = false; ///< Whether the peer reported that it reaches the store.
    bool m_isResponsive = false; ///< Whether the latest contact was an answer to this daemon, or followed soon on the one before.
};

/** A submission or cancellation that is being written to the topic of jobs. */
struct PendingWrite {
    std::uint32_t m_partition = submissionPartition; ///< The partition of the topic of jobs.
    std::vector<KeyedRecord> m_records; ///< Records to write.
    TimePoint m_deadline; ///< When the client must have its answer.
    bool m_mayBeStored = false; ///< Whether an attempt went unanswered, so that the records may be stored already.
    bool m_isForPeer = false; ///< Whether a peer has asked for the write.
    std::uint32_t m_relays = 0; ///< Number of times that the write was passed to a peer.
    std::uint32_t m_refusals = 0; ///< Number of attempts that certainly had no effect.
    std::uint32_t m_inFlight = 0; ///< Number of this daemon's appends that contain the records and are unanswered.
    TimePoint m_lastSentAt; ///< When the latest of these appends was sent; zero before the first.
    std::function<void(StoreStatus)> m_onComplete; ///< Called once with Done, NotDone or Unknown; empty afterwards.
};

/** A callback that runs at a given time. */
struct DeferredCall {
    TimePoint m_dueAt;
    std::function<void()> m_callback;
};

/** A peer or client that waits until a batch of records is durable. */
struct RecordWaiter {
    std::uint64_t m_batch = 0; ///< The batch that contains the change.
    std::function<void(WriteOutcome)> m_onComplete; ///< Called once.
};

/** Receives the outcome of a submission. */
using SubmissionCallback = std::function<void(const PeerWriteAnswer&)>;

/** A submission at the leader that is not part of an append yet. */
struct PendingSubmission {
    JobPlan m_plan; ///< The decoded plan.
    std::string m_encodedPlan; ///< The plan in its stored encoding.
    TimePoint m_arrivedAt; ///< When the submission arrived.
    SubmissionCallback m_onComplete; ///< Called once.
};

/**
 * Group commit of submissions and cancellations that the leader has not accepted. Each append holds all writes that are due, those
 * that were sent before and are unconfirmed included, so that the number of appends doesn't depend on that of the writes. Each partition has a writer of its own.
 */
struct DirectWriter {
    std::uint32_t m_partition = submissionPartition; ///< The partition that it writes to.
    std::vector<std::shared_ptr<PendingWrite>> m_queue; ///< Writes without an outcome that this daemon appends, the oldest first.
    std::uint32_t m_appendsInFlight = 0; ///< Number of unanswered appends.
    TimePoint m_lastSentAt; ///< When the latest append was sent.
    Duration m_relayedLatency; ///< How long appends take, as the peer said that has last answered a relayed write.
    TimePoint m_relayedLatencyAt; ///< When it did; zero before the first.
};

/**
 * Deletion of the submissions and cancellations of expired jobs from the topic of jobs, one append after another. Jobs are
 * forgotten, and their progress is dropped, only when no read of the topic can show their submission any more.
 */
struct JobDeletions {
    std::vector<std::string> m_jobs; ///< Ids of the jobs of the current append.
    std::vector<KeyedRecord> m_copies; ///< Records that delete the copies of their cancellations; these go first, as nobody would look for copies of an unknown job.
    std::unordered_set<std::string> m_cancelled; ///< Ids of the jobs whose cancellation VMs have stored, so that there may be a copy.
    bool m_isInFlight = false; ///< Whether the append is unanswered.
    std::uint32_t m_failuresInRow = 0; ///< Attempts without success since the latest one that succeeded.
    TimePoint m_nextAt; ///< Earliest time of the next attempt.
    std::optional<std::uint64_t> m_deletedEnd; ///< Offset after the append's records once it is stored.
};

/** A query of an unfinished job, held for a short time in case the job ends. */
struct HeldQuery {
    std::string m_job; ///< Job id.
    TimePoint m_until; ///< Latest time for the answer.
    std::function<void(const PeerQueryAnswer&)> m_onAnswer; ///< Called once.
};

/** A cancellation of a job that the leader does not know, held until it is shown that nobody has accepted the job. */
struct HeldCancellation {
    std::string m_job; ///< Job id.
    bool m_isStored = false; ///< Whether the store holds the cancellation, so that nothing needs to be shown.
    TimePoint m_askedAt; ///< When the call arrived, on the clock of TermEvidence.
    TimePoint m_until; ///< Without proof by then the caller is to store the cancellation.
    std::function<void(WriteOutcome)> m_onComplete; ///< Called once.
};

/** Called with the outcome of an order, and after Unreported once more if a report still comes; the report is filled as OrderReport::m_sync. */
using OrderCallback = std::function<void(OrderStatus, const SyncReport&)>;

/** An order that was sent through a peer and whose outcome has not been reported. */
struct OpenOrder {
    std::string m_relay; ///< Name of the peer that forwards it.
    TimePoint m_until; ///< Without a report by this time the order is given up, and then removed.
    bool m_isGivenUp = false; ///< It counts as Unreported; a report that still comes is used.
    OrderCallback m_onAnswer;
};

/** Orders collected for one peer. */
struct OrderOutbox {
    std::vector<RelayedOrder> m_orders; ///< Orders not sent yet.
    TimePoint m_lastSentAt; ///< When the latest message was sent.
};

/** Address and term of the leader that is to receive reports. */
using ReportTarget = std::pair<Address, std::uint64_t>;

/** Order outcomes collected for one leader. */
struct ReportOutbox {
    std::vector<OrderReport> m_reports; ///< Reports not sent yet, or whose message has failed.
    TimePoint m_lastSentAt; ///< When the latest message was sent.
    std::optional<TimePoint> m_failingSince; ///< Time of the first failure since a message has last reached the leader.
};

/** Whether a peer that forwards orders reaches workers, and its reports the leader. */
struct RelayHealth {
    std::optional<TimePoint> m_unreportedSince; ///< When an order was first given up for want of a report since the latest report.
    std::optional<TimePoint> m_unreachedSince; ///< When it first reported an order without an answer since a worker last answered through it.
    TimePoint m_excludedUntil; ///< Until then it forwards no orders.
};

/** Forwarding of orders through peers, which offloads a leader of many workers. Holds the state of both sides. */
struct OrderRelay {
    std::uint64_t m_lastNumber = 0; ///< Sequence number of the latest order.
    std::vector<std::string> m_peers; ///< Names of the peers that forward orders; empty when the leader calls workers itself.
    TimePoint m_nextSelectionAt; ///< When the peers are next selected.
    std::map<std::string, RelayHealth> m_health; ///< Leader: health of the peers that forward orders, by name.
    std::map<std::string, OrderOutbox> m_outboxes; ///< Leader: orders to send, by peer name.
    std::unordered_map<std::uint64_t, OpenOrder> m_openOrders; ///< Leader: orders without a report, by sequence number.
    TimePoint m_nextExpiryAt; ///< When the open orders are next checked for expiry.
    std::map<ReportTarget, ReportOutbox> m_reports; ///< Forwarding peer: reports to send.
    TimePoint m_pausedUntil; ///< Forwarding peer: orders that arrive earlier are refused.
};

/** Counters exported as metrics. */
struct CellCounters {
    std::uint64_t m_storedWrites = 0; ///< Submissions and cancellations stored.
    std::uint64_t m_refusedCalls = 0; ///< Calls refused with the advice to retry later.
    std::uint64_t m_unknownOutcomes = 0; ///< Calls whose outcome is unknown.
    std::uint64_t m_appends = 0; ///< Appends sent to the store.
    std::uint64_t m_reads = 0; ///< Reads sent to the store.
    std::uint64_t m_relays = 0; ///< Appends relayed through a peer.
    std::uint64_t m_claims = 0; ///< Leadership claims sent.
    std::uint64_t m_terms = 0; ///< Terms begun by this daemon.
};

/** A daemon of the cell. */
struct CellNode {
    CellOptions m_options;
    CellPorts m_ports;
    CellDecoders m_decoders;
    TimePoint m_now; ///< Monotonic time of the current step.
    Duration m_wallOffset; ///< Wall-clock time minus monotonic time.

    SharedCluster m_cluster; ///< Current configuration; null until the first one is known.
    CustomerIndex m_customers; ///< Customers of m_cluster by key.
    std::string m_clusterText; ///< Key and text of the configuration as the operator wrote it; sent to peers.
    ConfigFreshness m_configFreshness; ///< Whether m_cluster is known to be current.
    ConfigFetch m_configFetch; ///< Fetching of newer configurations from peers.
    ConfigCopies m_configCopies; ///< Copies of the configuration in the store.

    TopicTail m_operatorTail; ///< Reader of the operator's topic.
    TopicTail m_leaderTail; ///< Reader of leadership claims.
    TopicTail m_jobsTail; ///< Reader of submissions; active on the leader only.
    TopicTail m_cancellationsTail; ///< Reader of the copies of cancellations; active on a leader that can't read submissions.
    TopicTail m_workersTail; ///< Reader of worker announcements; active on the leader only.
    TimePoint m_storeLastContactAt; ///< When the store last answered a call.
    Duration m_appendLatency; ///< Time from an attempt to its own answer, for the latest append of another kind than the leader's records; zero for none.
    Duration m_readLatency; ///< Time to the answer of the latest read that the store did not hold back; zero for none.
    bool m_isStoreReached = false; ///< Whether the store answers this daemon.
    TimePoint m_storeRecoveredAt; ///< When the store last answered again after an outage.
    std::map<std::string, TimePoint> m_pendingRemovals; ///< Workers to remove unless they are announced again by the given time, by id.

    Role m_role = Role::Follower;
    LeaderClaim m_leader; ///< Newest known leadership claim.
    LeaderMonitor m_leaderMonitor; ///< Liveness of the leader.
    BegunTerms m_begunTerms; ///< Terms known to have begun. Each is at most that of m_leader.
    bool m_isSuccessorWanted = false; ///< Whether the leader is shutting down or has restarted, so that a successor is needed.
    bool m_isHeartbeatPending = false; ///< Whether a heartbeat is unanswered.
    std::uint64_t m_heartbeatNumber = 0; ///< Number of the latest heartbeat; a new claim does not wait for the answer to an earlier one.
    TimePoint m_nextAnnounceAt; ///< Leader: when peers that send no heartbeats are next notified of the term.
    TimePoint m_nextHeartbeatAt; ///< When the next heartbeat is due.
    std::uint32_t m_seedIndex = 0; ///< Index of the next seed to contact while no leader is known.
    std::uint32_t m_probeIndex = 0; ///< Index of the next daemon to ask about a silent leader.
    SentClaim m_sentClaim; ///< The latest own claim; in flight while m_role is Claiming.
    std::optional<TimePoint> m_claimAt; ///< When this daemon claims the leadership, unless the leader answers first.
    std::map<std::string, PeerState> m_peers; ///< Other daemons, by name.
    std::uint64_t m_membersVersion = 0; ///< Version of m_advertisedMembers; a follower holds the version it last received.
    std::vector<PeerMember> m_advertisedMembers; ///< Leader: members sent to followers, the best candidates for the next term first.
    bool m_areMembersStale = false; ///< Whether a peer has joined or left since m_advertisedMembers was built.
    TimePoint m_nextMembersUpdateAt; ///< Earliest time of the next rebuild of m_advertisedMembers.
    TimePoint m_nextApprovalProxiesUpdateAt; ///< When the scheduler's list of approval proxies is next updated.
    HeartbeatTiming m_heartbeatTiming; ///< Heartbeat interval and suspicion timeout of this follower.
    TimePoint m_lastBootTime; ///< Boot-time clock, which includes suspension, at the latest step.
    bool m_isAwaitingConfirmation = false; ///< Leader: whether orders and answers wait until the store confirms the leadership.

    std::unique_ptr<scheduler::Scheduler> m_scheduler; ///< Non-null while loading or leading.
    AppendPipeline m_writer; ///< Writes the scheduler's progress records.
    std::vector<std::uint32_t> m_journals { 0 }; ///< Partitions of the topic of progress that hold the records, as the newest record of the leader topic names them.
    std::uint64_t m_leaderRecordsEnd = 0; ///< Offset after the newest known record of the leader topic.
    std::uint32_t m_writerJournal = 0; ///< Leader: the one of them that m_writer writes to.
    PartCounts m_recordParts; ///< Leader: records that were too large for one key.
    JournalMove m_journalMove; ///< Leader: change to another partition while that one is silent.
    std::vector<HeldQuery> m_heldQueries; ///< Held queries of unfinished jobs.
    std::vector<HeldCancellation> m_heldCancellations; ///< Cancellations of unknown jobs that wait for proof.
    std::vector<PendingSubmission> m_pendingSubmissions; ///< Submissions that are not part of an append yet.
    SubmissionGate m_gate; ///< Leader: which submissions are accepted.
    std::vector<RecordWaiter> m_recordWaiters; ///< Callers that wait until a batch is durable.
    LoadState m_load;
    TermLease m_termLease; ///< Of the current own term.
    WorkerCopies m_workerCopies; ///< Of the current own term.
    TimePoint m_loadedAt; ///< When the records of earlier terms were loaded, of the latest own term.
    JobDeletions m_jobDeletions; ///< Leader: deletion of the submissions of expired jobs.
    TimePoint m_nextWaitReportAt; ///< When it is next logged what the takeover waits for.
    std::uint64_t m_term = 0; ///< Fencing token of the current own term, 0 for none; answers for other terms are dropped.

    bool m_isTerminating = false; ///< Whether SIGTERM was received.
    ProcessorSpeed m_processorSpeed; ///< Of the current own term.
    TimePoint m_nextHandOverAt; ///< Earliest time at which the next candidates are asked to take over.
    std::vector<std::string> m_askedSuccessors; ///< Names of the peers that were asked last.
    std::array<DirectWriter, jobsPartitionCount> m_directWriters { { { .m_partition = submissionPartition }, { .m_partition = cancellationPartition } } }; ///< Writers to the topic of jobs, by partition.
    std::vector<DeferredCall> m_deferredCalls; ///< Callbacks scheduled for later, such as retries.
    OrderRelay m_relay;
    RetrySchedule m_retrySchedule; ///< When refused clients are told to call again.
    CellCounters m_counters;
    CallRefusals m_callRefusals; ///< Refused calls by customer and cause.
    StoreTraffic m_storeTraffic; ///< Calls to the store, by partition.
};

} // namespace bulrushloft::cell
