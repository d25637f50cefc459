/** @file cell_base.h A daemon of the cell: what it knows of the others and of the store. */
#pragma once

#include "connection/client_type.h"
#include "connection/peer_type.h"
#include "process/cell/append_pipeline.h"
#include "process/cell/hedged_call.h"
#include "process/cell/leader_choice.h"
#include "process/scheduler/scheduler_base.h"
#include "version/cluster_type.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bulrushloft::cell {

/** Topics of the store, each with one partition. */
struct CellTopics {
    std::string m_operator; ///< The operator's configuration and requests, by key.
    std::string m_workers; ///< What workers announce, by id.
    std::string m_leader = "keyed.leader"; ///< Who leads.
    std::string m_jobs = "keyed.jobs"; ///< Submissions and cancellations, by job.
    std::string m_progress = "keyed.progress"; ///< Progress, by job; written by the leader only.
};

/** What of the operator's topic concerns us. */
using OperatorRecord = std::variant<std::monostate, ClusterSettings, UpkeepWave>;

/** Reads of foreign records; the platform's side gives them. */
struct CellDecoders {
    std::function<OperatorRecord(const std::string& key, const std::string& value)> m_operator; ///< A record of the operator; nothing when it can't be used.
    std::function<std::optional<WorkerAnnouncement>(const std::string& id, const std::string& value)> m_worker; ///< A worker's record; nothing when it names no worker to use.
    std::function<Expected<JobPlan>(const std::string& body)> m_plan; ///< A client's submission, without id and queue.
};

/** Calls of the cell to the outside; each answer comes back once, on the deciding thread. */
struct CellPorts {
    std::function<void(StoreAppend, Duration timeout, std::function<void(StoreAppendAnswer)>)> m_append;
    std::function<void(StoreRead, Duration timeout, std::function<void(StoreReadAnswer)>)> m_read;
    std::function<void(StoreNewestRead, Duration timeout, std::function<void(StoreNewestAnswer)>)> m_newest;
    std::function<void(const Address&, const PeerMessage&, Duration timeout, std::function<void(std::optional<PeerReply>)>)> m_callPeer;
    std::function<void(const AddressedOrder<StartOrder>&, Duration timeout, std::function<void(OrderStatus)>)> m_start;
    std::function<void(const AddressedOrder<StopOrder>&, Duration timeout, std::function<void(OrderStatus)>)> m_stop;
    std::function<void(const AddressedOrder<PaceOrder>&, Duration timeout, std::function<void(OrderStatus)>)> m_pace;
    std::function<void(const AddressedOrder<SyncOrder>&, Duration timeout, std::function<void(OrderStatus, const SyncReport&)>)> m_sync;
    std::function<void(const TaskName&, const std::vector<std::string>&, Duration timeout, std::function<void(std::optional<std::vector<Approval>>)>)> m_askApprovals;
};

/** Times and names of a daemon. */
struct CellOptions {
    PeerMember m_self; ///< Name, address, instance.
    std::vector<Address> m_seeds; ///< Peers to ask before any is known.
    CellTopics m_topics; ///< Topics of the store.
    scheduler::SchedulerOptions m_scheduler; ///< Times of the scheduler.
    Duration m_heartbeat { 250 }; ///< Between heartbeats to the leader.
    Duration m_suspectAfter { 900 }; ///< A leader that is not heard of for longer is replaced.
    Duration m_rankDelay { 150 }; ///< Between the attempts of candidates to take over.
    Duration m_storeLostAfter { 1'000 }; ///< A leader that does not reach the store for longer is replaced.
    Duration m_isolatedAfter { 3'000 }; ///< A leader that reaches neither store nor peers for longer stops its orders.
    Duration m_pollWait { 1'000 }; ///< How long the store may wait before it answers a read of news.
    Duration m_workerPoll { 250 }; ///< Between reads of the workers' announcements.
    Duration m_unlistedGrace { 2'000 }; ///< Announcements that lapsed in an outage may come back for so long.
    Duration m_queryHold { 60 }; ///< How long the answer about a job that runs waits for its end, so that an end on its way is told.
    std::size_t m_relayFrom = 1'000; ///< With so many workers the leader's orders are passed on by peers.
    Duration m_visibleWithin { 2'500 }; ///< An unknown job is denied only when the submissions were read less long ago.
};

/** A topic that is followed from an offset on. */
struct TopicTail {
    StorePartition m_partition; ///< Which.
    bool m_isWanted = false; ///< Whether it is followed.
    HedgedCall m_call; ///< The call that is due or unanswered.
    bool m_isListing = true; ///< The newest record of each key is read first.
    std::string m_after; ///< Last key of the listing so far.
    std::optional<std::uint64_t> m_listedEnd; ///< End of the partition at the first page of the listing.
    std::vector<std::string> m_listedKeys; ///< Keys of the listing so far.
    std::uint64_t m_next = 0; ///< Next offset to read.
    bool m_isCurrent = false; ///< A listing is complete.
    TimePoint m_currentAt; ///< When it was last known to hold all.
    Duration m_wait; ///< How long the store may wait for news.
    Duration m_pause; ///< Least time between calls.
};

/** What a daemon is to the cell. */
enum class Role : std::uint8_t {
    Follower, ///< Another one leads, or none does.
    Claiming, ///< A claim is on its way.
    Loading, ///< Leads, but the records of earlier terms are being read.
    Leading, ///< Leads.
};

/** A part of the progress that is read beside the others. */
struct LoadRange {
    std::string m_after; ///< Keys up to this one are before the range or have been read.
    std::string m_until; ///< Keys from this one on belong to the next range; empty for the last.
    bool m_isRead = false; ///< All of it has been read.
    HedgedCall m_call; ///< The page that is due or unanswered.
};

/** Progress of a takeover. */
struct LoadState {
    bool m_isFenced = false; ///< Earlier terms can't write any more.
    HedgedCall m_fence; ///< The append that fences them.
    std::vector<LoadRange> m_ranges; ///< What is read.
    std::uint64_t m_division = 0; ///< Rises when the ranges are divided anew; answers for earlier ones are dropped.
    std::map<std::string, std::string> m_progress; ///< Progress read so far, by key.
    TimePoint m_startedAt; ///< When it began.
};

/** What is known of a peer. */
struct PeerState {
    PeerMember m_member; ///< Who.
    TimePoint m_heardAt; ///< When it last called or answered.
    TimePoint m_failedAt; ///< When it last did not answer.
    bool m_isStoreReached = false; ///< What it said of the store.
    bool m_isQuick = false; ///< It was heard of twice within a short time.
};

/** A submission or cancellation on its way to the store. */
struct PendingWrite {
    std::vector<KeyedRecord> m_records; ///< What is written.
    TimePoint m_deadline; ///< When the client has to be told.
    bool m_mayBeDone = false; ///< Some try had no answer.
    std::uint32_t m_tries = 0; ///< Tries so far.
    std::function<void(StoreStatus)> m_onEnd; ///< Called once: Done, NotDone or Unknown.
};

/** Work that is to be done at a time. */
struct LaterCall {
    TimePoint m_at; ///< When.
    std::function<void()> m_work; ///< What.
};

/** A peer or client that waits for a batch of records. */
struct RecordWaiter {
    std::uint64_t m_batch = 0; ///< The batch that makes its change durable.
    std::function<void(WriteOutcome)> m_onEnd; ///< Called once.
};

/** A submission that the leader has not put into an append yet. */
struct WaitingSubmit {
    JobPlan m_plan; ///< What is to be done.
    std::string m_record; ///< The same, as it is recorded.
    TimePoint m_arrivedAt; ///< When it came.
    std::function<void(WriteOutcome)> m_onEnd; ///< Called once.
};

/** Group commit of submissions and cancellations that the leader did not take. */
struct DirectWriter {
    std::vector<std::shared_ptr<PendingWrite>> m_queue; ///< Waiting for the next append.
    std::uint32_t m_out = 0; ///< Appends that are unanswered.
    TimePoint m_sentAt; ///< When the latest was sent.
    Duration m_lastTook; ///< How long the latest answered append took.
};

/** A query of a job that has not ended; its answer waits a little for the end. */
struct StageWaiter {
    std::string m_job; ///< Id of the job.
    TimePoint m_until; ///< When it is answered at the latest.
    std::function<void(const PeerQueryAnswer&)> m_onAnswer; ///< Called once.
};

/** Called once with the end of an order; the report is filled when a sync was Done. */
using OrderEnd = std::function<void(OrderStatus, const SyncReport&)>;

/** An order that a peer passes on and that has not ended. */
struct OpenOrder {
    TimePoint m_until; ///< Without a report by then it counts as unanswered.
    OrderEnd m_onAnswer; ///< Called once.
};

/** Orders that wait to be sent to one peer. */
struct RelayLane {
    std::vector<RelayedOrder> m_orders; ///< What.
    TimePoint m_sentAt; ///< When the latest were sent.
};

/** Reports that wait to be sent to one leader. */
struct ReportLane {
    std::vector<OrderReport> m_reports; ///< What.
    TimePoint m_sentAt; ///< When the latest were sent.
};

/** Orders that peers pass on for a leader of many workers. */
struct OrderRelay {
    std::uint64_t m_lastNumber = 0; ///< Number of the latest order.
    std::vector<std::string> m_peers; ///< The peers that pass orders on.
    TimePoint m_nextChoiceAt; ///< When they are chosen anew.
    std::map<std::string, RelayLane> m_lanes; ///< By peer.
    std::unordered_map<std::uint64_t, OpenOrder> m_open; ///< By number.
    TimePoint m_nextExpiryAt; ///< When the open ones are next looked through.
    std::map<std::pair<Address, std::uint64_t>, ReportLane> m_reports; ///< By leader and term, when this daemon passes orders on.
    TimePoint m_closedUntil; ///< No orders are passed on before.
};

/** Counters that metrics show. */
struct CellCounters {
    std::uint64_t m_submits = 0; ///< Submissions accepted.
    std::uint64_t m_refusals = 0; ///< Calls told to come back later.
    std::uint64_t m_unknowns = 0; ///< Calls whose outcome could not be told.
    std::uint64_t m_appends = 0; ///< Appends sent.
    std::uint64_t m_reads = 0; ///< Reads sent.
    std::uint64_t m_relays = 0; ///< Appends sent through a peer.
    std::uint64_t m_claims = 0; ///< Claims sent.
    std::uint64_t m_terms = 0; ///< Terms led.
};

/** A daemon of the cell. */
struct CellNode {
    CellOptions m_options; ///< Times and names.
    CellPorts m_ports; ///< Calls to the outside.
    CellDecoders m_decoders; ///< Reads of foreign records.
    TimePoint m_now; ///< Monotonic time of the present step.
    Duration m_wallOffset; ///< Calendar time less monotonic time.

    SharedCluster m_cluster; ///< Configuration in force; null before the first.
    std::string m_clusterText; ///< The same as its operator wrote it, for peers.

    TopicTail m_operatorTail; ///< The operator's records.
    TopicTail m_leaderTail; ///< Who leads.
    TopicTail m_jobsTail; ///< Submissions; followed by the leader.
    TopicTail m_workersTail; ///< Workers; followed by the leader.
    TimePoint m_storeHeardAt; ///< When the store last answered.
    bool m_isStoreReached = false; ///< Whether the store answers.
    TimePoint m_storeRegainedAt; ///< When it answered again after an outage.
    std::map<std::string, TimePoint> m_pendingRemovals; ///< Workers that are taken off the list later.

    Role m_role = Role::Follower; ///< What this daemon is.
    LeaderClaim m_leader; ///< Whom it takes for the leader.
    TimePoint m_leaderHeardAt; ///< When the leader last answered well.
    TimePoint m_leaderSince; ///< When its claim became known.
    std::int64_t m_patience = 1; ///< Factor of the time after which the leader is in doubt, see patienceAfter().
    TimePoint m_leaderStoreAt; ///< When the leader last reached the store, as far as is known.
    bool m_isSuccessorWanted = false; ///< The leader is about to end, or has ended.
    bool m_isHeartbeatOut = false; ///< A heartbeat is unanswered.
    std::uint32_t m_leaderRefusals = 0; ///< Heartbeats in a row that the leader's VM refused at once.
    TimePoint m_nextAnnounceAt; ///< When a leader next tells peers that do not follow it.
    TimePoint m_nextHeartbeatAt; ///< When the next one is due.
    std::uint32_t m_seedIndex = 0; ///< Next seed to ask.
    std::optional<TimePoint> m_claimAt; ///< When this daemon will claim, unless the leader is heard of.
    std::map<std::string, PeerState> m_peers; ///< Other daemons by name.
    std::uint64_t m_membersVersion = 0; ///< Rises when the list of members that followers are told changes.
    std::vector<PeerMember> m_toldMembers; ///< That list: the first that could lead next.
    bool m_areMembersStale = false; ///< A peer has come or gone since it was made.
    TimePoint m_nextMembersAt; ///< When it is made anew at the earliest.
    TimePoint m_nextAdvisorsAt; ///< When the list of advisors is next brought up to date.
    FollowerPace m_pace; ///< How this daemon follows.
    TimePoint m_bootSeenAt; ///< Time including suspension at the latest step.
    bool m_isSuspended = false; ///< Orders wait until the store confirms the leadership.

    std::unique_ptr<scheduler::Scheduler> m_scheduler; ///< Set while loading or leading.
    AppendPipeline m_writer; ///< Writes its progress.
    std::vector<StageWaiter> m_stageWaiters; ///< Queries that wait for the end of a job.
    std::vector<WaitingSubmit> m_waitingSubmits; ///< Not in any append yet.
    std::vector<RecordWaiter> m_recordWaiters; ///< Whom the next batches concern.
    LoadState m_load; ///< Progress of a takeover.
    std::uint64_t m_term = 0; ///< Token of the term of m_scheduler; answers of earlier terms are dropped.

    bool m_isTerminating = false; ///< SIGTERM has come.
    TimePoint m_nextHandOverAt; ///< When the next successor is asked.
    std::vector<std::string> m_askedSuccessors; ///< The latest ones asked.
    DirectWriter m_direct; ///< Writes to the topic of jobs.
    std::vector<LaterCall> m_laterCalls; ///< Tries that are repeated later.
    OrderRelay m_relay; ///< Orders that peers pass on.
    CellCounters m_counters; ///< For metrics.
};

} // namespace bulrushloft::cell
