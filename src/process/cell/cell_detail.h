/** @file cell_detail.h Functions shared by the sources of the cell. */
#pragma once

#include "process/cell/cell_base.h"
#include "process/cell/leader_codec.h"

namespace bulrushloft::cell::detail {

constexpr const char* writerName = "leader"; ///< Writer name of all leaders in the progress topic; their terms serve as epochs for fencing.

/** Sends the reads of followed topics that are due; removes workers whose grace period has ended. */
void stepTails(CellNode& node);

/** Appends to the store and counts the attempt; all appends go through this function. @param onAnswer Called once, with StoreStatus::Unknown when the time is over. */
void sendAppend(CellNode& node, const StoreAppend& append, Duration timeout, std::function<void(StoreAppendAnswer)> onAnswer);

/** Reads consecutive records from the store and counts the call. @param onAnswer Called once, with StoreStatus::Unknown when the time is over. */
void sendRead(CellNode& node, const StoreRead& read, Duration timeout, std::function<void(StoreReadAnswer)> onAnswer);

/** Lists newest records from the store and counts the call. @param onAnswer Called once, with StoreStatus::Unknown when the time is over. */
void sendListing(CellNode& node, const StoreNewestRead& read, Duration timeout, std::function<void(StoreNewestAnswer)> onAnswer);

/** Restarts a reader with a new listing; answers to earlier calls are dropped. @param isFollowed Whether the topic is read from now on. */
void resetTail(TopicTail& tail, bool isFollowed);

/** Has the submissions read anew after a suspension, in which peers may have stored some; answers to earlier reads don't count. */
void requireJobsRead(CellNode& node);

/** Records the outcome of a call to the store and detects outages. @param isReached Whether the store answered. */
void updateStoreReachability(CellNode& node, bool isReached);

/**
 * @param lastAttemptAt When the latest attempt of a call to the store was sent.
 * @return How long the attempt may stay unanswered before the call is hedged, that is, sent again in parallel.
 */
Duration storeHedgeDelay(const CellNode& node, TimePoint lastAttemptAt);

/**
 * @param call A fence or a claim.
 * @param partition Where it is appended.
 * @return How long its latest attempt may stay unanswered before it is sent again in parallel. On a slow store that is a little less than the time of an
 * answer, so that a lost answer costs no more and the attempts don't exceed what the partition carries out; twice that, from the third attempt on, for a silent store.
 */
Duration leaderWriteHedgeDelay(const CellNode& node, const HedgedCall& call, const StorePartition& partition);

/** What a record of the operator's topic is to this daemon. */
enum class ConfigRecord : std::uint8_t {
    InForce, ///< The configuration that is in force now.
    Older, ///< One that is not newer, and not the one in force.
    Unreadable, ///< A configuration that can't be decoded.
    Other, ///< No configuration.
};

/**
 * Applies a configuration if it is newer than the current one.
 * @param text Key and value of the operator's record, separated by a newline.
 * @param source "store", "copy" or the name of the peer; used in the log.
 */
ConfigRecord applyClusterText(CellNode& node, const std::string& text, std::string_view source);

/** Outcome of the check of a call's key. */
struct KeyCheck {
    enum class Verdict : std::uint8_t {
        Passed, ///< The call may be carried out.
        UnknownKey, ///< The queue needs a key, and the call has none or one that belongs to no customer.
        NotCurrent, ///< The queue needs a key, and a key that is valid here may have been removed, or an unknown one added.
    };

    Verdict m_verdict = Verdict::Passed;
    std::string m_customer; ///< Name of the customer whose key the call carries; empty if there is none, or the key may have been removed.
};

/**
 * Checks the key of a call when it is handled, and counts a refusal. A call that passes was sent before now, so it counts as made before any removal
 * of its key that this daemon has to know.
 */
KeyCheck checkKey(CellNode& node, const ClientCall& call, const QueueSettings& queue);

/**
 * Counts and logs a refused call where the deployment has customers.
 * @param cause Why it was refused, a literal of a few words joined by hyphens. @param queue Name of the queue; empty if it is not known.
 */
void countRefusedCall(CellNode& node, const ClientCall& call, std::string_view cause, const std::string& queue);

/** Notes what a heartbeat's answer says about the version in force. @param askedAt When the heartbeat was sent, on the boot-time clock. */
void noteConfigAnswer(CellNode& node, const PeerHeartbeatAnswer& answer, TimePoint askedAt);

/** @return How long ago the version in force was known to be the newest; empty when that is not known, or keys don't expire. */
std::optional<Duration> reportedConfigAge(const CellNode& node);

/** Asks members in turn for evidence that the configuration is current while neither the store nor the leader gives any. The leader does so, too. */
void stepConfigQuestions(CellNode& node);

/**
 * Leader: writes copies of a configuration that is newer than they are. A daemon that has no configuration and gets no answer from the
 * operator's topic reads them, and puts the newest one into force.
 */
void stepConfigCopies(CellNode& node);

/** Notes that a worker's announcement was read or has been removed: its copy is written with the next batch if it says something else. */
void noteWorkerChanged(CellNode& node, const std::string& id);

/** Has the copies of all announced workers written again, as the leader's records go to another partition from now on. Copies that were loaded stay usable. */
void markWorkerCopiesDue(CellNode& node);

/** @return Whether copies have waited for so long that they are written without other records. */
bool areWorkerCopiesDue(const CellNode& node);

/** @return The copies that are to be written with the next batch. */
std::vector<KeyedRecord> takeWorkerCopies(CellNode& node);

/** Restores the copy of a worker, which is used only if the workers' topic does not answer. */
void restoreWorkerCopy(CellNode& node, const std::string& key, const std::string& record);

/** Leader: keeps the copies up to date once the workers have been listed; uses them if their topic has not answered for some time since the term began. */
void stepWorkerCopies(CellNode& node);

/** Sends heartbeats and announcements of the term that are due; updates the lists of peers, members and approval proxies. */
void stepPeers(CellNode& node);

/** @return How long ago the latest contact with a peer may be; longer in a large cell, where most followers call rarely. */
Duration contactLimit(const CellNode& node);

/** @return Whether a peer can be given work, such as approval requests: it was heard of recently, and the latest call to it did not fail. */
bool isPeerUsable(const CellNode& node, const PeerState& peer);

/** Notes that a call to a peer has failed. */
void markPeerFailed(CellNode& node, const std::string& name);

/** @return Peers that could lead instead of the current leader: those whose latest call did not fail. */
std::vector<PeerMember> otherCandidates(const CellNode& node);

/** @return Whether a member is this very process, not an earlier instance on the same VM. */
bool isSelf(const CellNode& node, const PeerMember& member);

/** @return Whether the newest known claim was made by this process. */
bool isOwnClaim(const CellNode& node);

/** Detects isolation, claims the leadership and hands it over when due. */
void stepLeadership(CellNode& node);

/**
 * Applies a claim that the store has accepted, if it is newer than the known one.
 * @param token Fencing token of the claim.
 * @param member The daemon that made the claim.
 */
void applyClaim(CellNode& node, std::uint64_t token, const PeerMember& member);

/** Keeps a leader from sending orders and answers until a new listing of the claims has shown that no later term exists. */
void requireConfirmation(CellNode& node);

/** Resumes a leader that awaited confirmation, once a new listing of the claims has shown no later one. @param askedAt When the listing was sent, as in TermEvidence. */
void confirmLeadership(CellNode& node, TimePoint askedAt);

/** Begins the lease of a new own term. @param former The claim known before. @param formerRecordsEnd Offset after the newest record known before in the leader topic. */
void beginTermLease(CellNode& node, const LeaderClaim& former, std::uint64_t formerRecordsEnd);

/** Restores the list of members that earlier leaders asked. */
void restoreMemberList(CellNode& node, const std::string& record);

/** Notes, once the records are loaded, how long the leaders of earlier terms may renew leases. @return When they have stopped. */
TimePoint boundEarlierTerms(CellNode& node);

/** Notes which term a daemon knows: a former leader that knows this one has stopped renewing leases. */
void noteFormerLeader(CellNode& node, const PeerMember& from, std::uint64_t knownToken);

/** Notes which terms a daemon knows to have begun, and for a leader what that says about leaders of earlier terms. */
void noteBegunTerms(CellNode& node, const PeerMember& from, const std::vector<BegunTermAge>& terms);

/** Makes a leader stop that has no recent evidence that it still leads. */
void checkTermLease(CellNode& node);

/** Collects evidence from the members while the store shows none, and keeps their list. */
void stepTermLease(CellNode& node);

/** @return The list of members, if it has to be written. @param batch The batch that it is written with. */
std::optional<KeyedRecord> takeMemberList(CellNode& node, std::uint64_t batch);

/** @return The list of members that the store is known to hold, or that is being written; nothing if there is none. */
std::optional<KeyedRecord> copyMemberList(const CellNode& node);

/** @return How long ago this leader last renewed the lease of a worker, in ms; -1 for never. */
std::int64_t renewalAgeMs(const CellNode& node);

/** Sends a heartbeat beside those to the leader. @param onAnswer Called when it is answered. */
void callMember(CellNode& node, const Address& address, const std::function<void(const PeerHeartbeatAnswer&)>& onAnswer);

/** Appends a claim on the condition that the store holds no claim that this daemon has not read. @param cause Reason for the log. */
void claimLeadership(CellNode& node, std::string_view cause);

/** Ends this daemon's term. @param cause Reason for the log. */
void stepDown(CellNode& node, std::string_view cause);

/** Notes that a leader's records and the announcements of its workers are both loaded, once they are. */
void finishInitialLoad(CellNode& node);

/** Fences earlier terms and reads their records. */
void stepLoading(CellNode& node);

/** Sends an order to a worker, directly or through a peer that forwards it. @param onAnswer Called once with the outcome. */
void dispatchOrder(CellNode& node, const OrderTarget& to, std::variant<StartOrder, StopOrder, SyncOrder> order, Duration timeout, const OrderCallback& onAnswer);

/** Forwards a leader's orders to workers. @return Whether this daemon accepted them. */
PeerAck forwardOrders(CellNode& node, const PeerOrders& message);

/** Applies the outcomes of orders that a peer has forwarded. @return Not accepted when they belong to another term. */
PeerAck applyReports(CellNode& node, const PeerReports& message);

/** Refuses orders for a short time after a suspension: those that arrived during it are outdated. */
void pauseRelay(CellNode& node);

/** Sends collected orders and reports that are due; treats orders without a timely report as unanswered. */
void stepRelay(CellNode& node);

/** Writes the scheduler's progress records. */
void stepWriter(CellNode& node);

/** @return Whether a further batch of records may be queued. */
bool isReadyToRecord(const CellNode& node);

/** Queues records under a batch number, split into records and appends of a size that the store accepts. */
void pushRecords(PartCounts& counts, AppendPipeline& pipeline, const StorePartition& partition, std::vector<KeyedRecord> records, std::uint64_t batch);

/** Processes the answer to an attempt of the leader's records. @param partition The partition of the topic of progress that it was sent to. */
void onJournalAnswer(CellNode& node, std::uint32_t partition, const AppendAttempt& attempt, const StoreAppendAnswer& answer);

/** Has a further partition prepared and named in the leader topic, for a leader whose partition is silent. */
void stepJournalChange(CellNode& node);

/** Takes it up that the leader topic names the prepared partition: the leader writes to it from now on. */
void finishJournalMove(CellNode& node);

/** Gives up the preparation of a partition, as the one written to answers. */
void abandonJournalMove(CellNode& node);

/** Sends the attempts of a change of the leader topic that are due. */
void stepPointer(CellNode& node);

/** Writes all records to the present partition once those of earlier ones are known, and has the leader topic name only that one. */
void stepFold(CellNode& node);

/** @return Whether the leader topic has lately been read. A change that stays unanswered would keep the former partition from being used again. */
bool areClaimsAnswered(const CellNode& node);

/** Begins to load the records of the partitions that the leader topic names. */
void beginLoading(CellNode& node);

/** Goes over from loading to leading while partitions are silent whose records are needed; see Scheduler::m_isProgressUnread. */
void leadWithoutSilent(CellNode& node);

/** Leader: changes to another partition of the topic of progress while the one that it writes to is silent. */
void stepJournalMove(CellNode& node);

/** Takes over which partitions hold the leader's records. @param record The newest record of the leader topic. */
void applyJournalPointer(CellNode& node, const LeaderRecord& record);

/** @return Whether the leader's records have been silent for so long that submissions are better stored by the VMs themselves. */
bool isJournalStuck(const CellNode& node);

/** @return Whether nothing new may be recorded, as all records are being written to another partition. */
bool isRecordingPaused(const CellNode& node);

/** @return Whether another partition and the claims answer while the leader's partition is silent, so that another leader would fare no better. */
bool isJournalAtFault(const CellNode& node);

/** @return Whether a change of the partition may have taken place that the store has not confirmed. */
bool isPointerPending(const CellNode& node);

/** Runs one step of the scheduler and sends the resulting orders. */
void stepScheduler(CellNode& node);

/** @return Whether a leader may not have read a copy of a submission that was stored long before now. */
bool isJobsTopicBehind(const CellNode& node);

/** Leader: sends the deletion of expired jobs that is due, repeats it until the store confirms it, and has the scheduler forget the jobs afterwards. */
void stepJobDeletions(CellNode& node);

/** First character of a cancellation's key in the topic of jobs; the job's id follows. */
inline constexpr char cancelPrefix = '!';

/** @return The key of a job's cancellation in the topic of jobs. */
inline std::string cancellationKey(const std::string& job)
{
    return cancelPrefix + job;
}

/** Answers held queries whose job has ended or whose hold time is over; all of them when this daemon is not the active leader. */
void answerHeldQueries(CellNode& node);

/** @return What this daemon knows of a job; "no such job" only if it leads and has read the submissions lately. */
PeerQueryAnswer lookUpJob(const CellNode& node, const std::string& job);

/** @return Whether this daemon leads and can record a change soon; otherwise callers write to the topic of jobs at once. */
bool canRecord(const CellNode& node);

/** Records a cancellation at the leader. @param onComplete Called once with the outcome; for a job that is not known only when it is shown that nobody has accepted it. */
void recordCancellation(CellNode& node, const PeerCancel& message, const std::function<void(WriteOutcome)>& onComplete);

/** Takes up cancellations of unknown jobs that wait for proof. */
void stepCancellations(CellNode& node);

/** Notifies callers whose batch is durable. */
void notifyRecordWaiters(CellNode& node);

/** @return Whether this daemon leads and may send orders and answers; false while its leadership awaits confirmation. */
bool isActiveLeader(const CellNode& node);

/** Queues a submission for the next append if this daemon is the active leader. @param onComplete Called once with the outcome. */
void enqueueSubmission(CellNode& node, const PeerSubmit& message, const SubmissionCallback& onComplete);

/** Leader: updates the buckets of the customers and the estimate of what can still be started in time. */
void stepGate(CellNode& node);

/** Leader: decides on a submission that has just arrived. @return The refusal; empty when the submission is accepted, or may be known already. */
std::optional<PeerWriteAnswer> refuseAtGate(CellNode& node, JobPlan& plan);

/** Notes how long an approval request took, from which the approvals that can be had are estimated. */
void noteApprovalTime(CellNode& node, const scheduler::ApprovalRequest& request, TimePoint sentAt);

/** @return Whether this daemon is writing the submission of a job to the topic of jobs itself, so that no refusal of it is certain. */
bool isWritingDirectly(const CellNode& node, const std::string& job);

/** Records pending submissions, or refuses them when this daemon is not the active leader or the store has been silent for too long. */
void stepAdmission(CellNode& node);

/** Writes records to the topic of jobs, directly or through peers, with retries until the deadline. */
void writeToJobsTopic(CellNode& node, PendingWrite write);

/** Appends records to the topic of jobs from this daemon, with the next group commit and with retries until the deadline. */
void enqueueDirectWrite(CellNode& node, std::shared_ptr<PendingWrite> write);

/** Appends the queued submissions and cancellations that are due as one group commit for each partition; ends those whose deadline is over or that can't be stored. */
void stepDirectWriters(CellNode& node);

/** @return Estimated time to the answer of the next append to a partition of the topic of jobs. */
Duration jobsAppendLatency(const CellNode& node, std::uint32_t partition);

/** @return Whether appends to a partition of the topic of jobs take so long that the daemons should not each send their own. */
bool isJobsPartitionSlow(const CellNode& node, std::uint32_t partition);

/** @return Whether a peer may have records written to a partition by this daemon: those that VMs write themselves. */
bool isOpenToRelaying(const CellNode& node, const StorePartition& partition);

/** Appends records for a peer with this daemon's next group commit. @param onAnswer Called once, before the message's timeout is over. */
void writeForPeer(CellNode& node, const PeerAppend& message, const std::function<void(StoreAppendAnswer)>& onAnswer);

/** @return Peers by their suitability to relay an append to the store, the best first. */
std::vector<PeerState*> relayCandidates(CellNode& node);

/** @return Version of the configuration in force; 0 for none. */
std::uint64_t configVersionOf(const CellNode& node);

/** @return The configuration in force, if it is newer than the requester's. */
PeerConfigAnswer answerConfigRequest(const CellNode& node, const PeerConfigRequest& request);

/** Processes a heartbeat. @return The answer, with the members that the sender lacks. */
PeerHeartbeatAnswer answerHeartbeat(CellNode& node, const PeerHeartbeat& heartbeat);

} // namespace bulrushloft::cell::detail
