/** @file cell_leadership.cpp Leadership of the cell: claims, hand-over, suspension and the end of a term. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/cell/leader_choice.h"
#include "process/cell/leader_codec.h"
#include "process/cell/leadership_wait.h"
#include "process/cell/partition_silence.h"
#include "process/scheduler/scheduler_func.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration takeOverTimeout { 700 };
    constexpr Duration claimTimeout { 1'000 };
    constexpr Duration initialClaimJitter { 300 }; ///< Claims of daemons that know no leader are spread over this time.
    constexpr Duration suspensionThreshold { 600 }; ///< After a suspension of at least this length another daemon may lead.
    constexpr Duration handOverInterval { 400 }; ///< Time before the next candidates are asked to take over.

    /** @return Why a new leader is needed, as logged; empty when none is. */
    std::string_view causeForNewLeader(const CellNode& node)
    {
        if (node.m_leader.m_token == 0)
            return "no leader is known";
        if (isOwnClaim(node))
            return node.m_role == Role::Follower ? "own claim found in the store" : std::string_view();
        if (node.m_leader.m_member.m_name == node.m_options.m_self.m_name)
            return "this VM led before its restart";
        if (node.m_isSuccessorWanted)
            return "the leader is terminating or was restarted";
        constexpr std::uint32_t refusalLimit = 2;
        if (node.m_leaderMonitor.m_refusals >= refusalLimit)
            return "the leader's VM refuses connections";
        if (isLeaderSilent(node.m_leaderMonitor, node.m_heartbeatTiming, node.m_now))
            return "the leader does not answer heartbeats";
        if (storeOutageOf(node.m_leaderMonitor) > node.m_options.m_storeLostAfter + node.m_heartbeatTiming.m_suspectAfter * node.m_leaderMonitor.m_suspectFactor)
            return "the leader does not reach the store";
        return {};
    }

    /** @return Reason for this daemon to claim the leadership, as logged; empty when there is none. */
    std::string_view claimCause(const CellNode& node)
    {
        const bool canClaim = node.m_isStoreReached && node.m_leaderTail.m_isListingComplete && !node.m_isTerminating && node.m_cluster;
        return canClaim ? causeForNewLeader(node) : std::string_view();
    }

    void endClaim(CellNode& node, TimePoint nextAt)
    {
        node.m_role = Role::Follower;
        endCall(node.m_sentClaim.m_call, nextAt);
    }

    /** Processes the answer to an attempt of a claim that the store has not accepted. */
    void onClaimFailed(CellNode& node, const StoreAppendAnswer& answer)
    {
        constexpr Duration retryDelay { 100 };
        logEvent(LogLevel::Info, "claim-failed", { { "status", static_cast<int>(answer.m_status) }, { "reason", answer.m_reason }, { "in_flight", node.m_sentClaim.m_call.m_inFlight - 1 } });
        failAttempt(node.m_sentClaim.m_call, node.m_now + retryDelay);
        // There is a record that this daemon has not read; it may be an unanswered attempt of this very claim.
        if (answer.m_status == StoreStatus::EndMismatch)
            endCall(node.m_leaderTail.m_call, node.m_now);
        if (answer.m_status == StoreStatus::EndMismatch || node.m_sentClaim.m_call.m_inFlight == 0)
            endClaim(node, node.m_now + retryDelay);
    }

    void sendClaim(CellNode& node)
    {
        const std::uint64_t callNumber = beginAttempt(node.m_sentClaim.m_call, node.m_now);
        sendAppend(node, node.m_sentClaim.m_append, claimTimeout, [&node, callNumber, sentAt = node.m_now](const StoreAppendAnswer& answer) {
            updateStoreReachability(node, answer.m_status == StoreStatus::Done || answer.m_status == StoreStatus::EndMismatch);
            const bool isCurrent = node.m_role == Role::Claiming && isAnswerToCall(node.m_sentClaim.m_call, callNumber);
            if (answer.m_status != StoreStatus::Done) {
                if (isCurrent)
                    onClaimFailed(node, answer);
                return;
            }
            node.m_appendLatency = node.m_now - sentAt;
            if (node.m_role == Role::Claiming)
                endClaim(node, node.m_now);
            applyClaim(node, answer.m_offset + 1, node.m_options.m_self);
            node.m_leaderRecordsEnd = std::max(node.m_leaderRecordsEnd, answer.m_offset + 1);
        });
    }

    /**
     * After a loss of all power all VMs claim at once, in one partition that carries out one append at a time; it is enough that one of them is answered.
     * @return Time before an unanswered claim is sent again. It grows with the number of VMs when the store is slow.
     */
    Duration claimHedgeDelay(const CellNode& node)
    {
        const Duration answerTime = std::max(node.m_appendLatency, node.m_readLatency);
        const auto vms = static_cast<std::int64_t>(std::max(node.m_peers.size() + 1, node.m_options.m_seeds.size()));
        // An append occupies the partition for half of an answer's time at most, or else others' appends are in the answer's time as well.
        return std::max(leaderWriteHedgeDelay(node, node.m_sentClaim.m_call, node.m_leaderTail.m_partition), answerTime * vms / 2);
    }

    /** @return Whether an unanswered claim goes on, because a leader is still missing. VMs that wait for stronger ones claim anew instead, which has them wait again. */
    bool isClaimStillDue(const CellNode& node)
    {
        return !claimCause(node).empty() && claimDelayOf(node.m_options.m_self, otherCandidates(node)) == Duration {};
    }

    /** Sends an unanswered claim again beside its other attempts until the topic has a further record: less often once it is old, and then only while a leader is still missing. */
    void hedgeClaim(CellNode& node)
    {
        constexpr Duration oldClaimInterval { 500 }; // Shorter than claimTimeout, so that an attempt is always under way when the partition answers again.
        const SentClaim& claim = node.m_sentClaim;
        if (node.m_leaderTail.m_nextOffset != claim.m_append.m_expectedEnd)
            return endClaim(node, node.m_now);
        const bool isNew = node.m_now - claim.m_firstSentAt < claimTimeout;
        if (!isNew && !isClaimStillDue(node))
            return;
        const Duration delay = isNew ? claimHedgeDelay(node) : std::max(claimHedgeDelay(node), oldClaimInterval);
        if (isAttemptDue(claim.m_call, delay, node.m_now))
            sendClaim(node);
    }

    void stepClaim(CellNode& node)
    {
        if (node.m_role == Role::Claiming)
            return hedgeClaim(node);
        const std::string_view cause = claimCause(node);
        if (cause.empty() || node.m_role != Role::Follower) {
            node.m_claimAt.reset();
            return;
        }
        if (!node.m_claimAt) {
            const bool wasLeader = node.m_leader.m_member.m_name == node.m_options.m_self.m_name;
            const Duration jitter { node.m_leader.m_token == 0 ? static_cast<std::int64_t>(node.m_options.m_self.m_instance % static_cast<std::uint64_t>(initialClaimJitter.m_ms)) : 0 };
            const std::vector<PeerMember> others = otherCandidates(node);
            const Duration rankDelay = wasLeader ? Duration {} : node.m_options.m_claimDelayPerRank * rankOf(node.m_options.m_self, others, node.m_leader.m_token);
            node.m_claimAt = node.m_now + rankDelay + jitter + claimDelayOf(node.m_options.m_self, others);
        }
        if (node.m_now < std::max(*node.m_claimAt, node.m_sentClaim.m_call.m_notBefore))
            return;
        node.m_claimAt.reset();
        claimLeadership(node, cause);
    }

    void beginTerm(CellNode& node, const LeaderClaim& former)
    {
        node.m_role = Role::Loading;
        node.m_term = node.m_leader.m_token;
        ++node.m_counters.m_terms;
        node.m_isSuccessorWanted = false;
        node.m_isAwaitingConfirmation = false;
        node.m_processorSpeed = {};
        node.m_scheduler = std::make_unique<scheduler::Scheduler>();
        node.m_scheduler->m_options = node.m_options.m_scheduler;
        node.m_scheduler->m_options.m_token = node.m_term;
        node.m_scheduler->m_wallOffset = node.m_wallOffset;
        node.m_scheduler->m_areSubmissionsUnread = true;
        node.m_scheduler->m_areCancellationsUnread = true;
        scheduler::setCluster(*node.m_scheduler, *node.m_cluster);
        node.m_writer = makePipeline(writerName, node.m_term);
        beginLoading(node);
        node.m_writerJournal = node.m_journals.back();
        node.m_journalMove = {};
        node.m_recordParts = {};
        beginTermLease(node, former, node.m_leaderRecordsEnd);
        node.m_workerCopies = { .m_waitingSince = node.m_now };
        node.m_jobDeletions = {};
        resetTail(node.m_workersTail, true);
        logEvent(LogLevel::Info, "term-begins", { { "token", node.m_term }, { "config", node.m_cluster->m_version } });
    }

    /** After a suspension the daemon refuses to relay orders for a short time, and a leader reads the claims from the store again before it sends further orders. */
    void checkSuspension(CellNode& node, TimePoint bootNow)
    {
        const Duration gap = bootNow - node.m_lastBootTime;
        node.m_lastBootTime = bootNow;
        if (gap >= suspensionThreshold)
            pauseRelay(node);
        if (gap < suspensionThreshold || (node.m_role != Role::Leading && node.m_role != Role::Loading))
            return;
        logEvent(LogLevel::Warning, "suspended", { { "suspension_ms", gap.m_ms }, { "token", node.m_term } });
        requireConfirmation(node);
        requireJobsRead(node);
    }

    /** @return How long the store's answers to reads take at present, from those of the workers' announcements, which the store does not hold back. */
    Duration storeReadTime(const CellNode& node)
    {
        const auto workers = node.m_storeTraffic.m_partitions.find(node.m_workersTail.m_partition);
        return workers == node.m_storeTraffic.m_partitions.end() ? Duration {} : workers->second.m_reads.m_latency;
    }

    /** @return Whether other partitions have just been asked, which shows whether the store or only the partition of the records is at fault. */
    bool isProbing(const CellNode& node)
    {
        constexpr Duration probeTime { 150 };
        return node.m_journalMove.m_probingSince && node.m_now - *node.m_journalMove.m_probingSince <= probeTime;
    }

    /** @return Whether the store has stopped accepting the leader's records: it is silent for longer than its answers take, or it refuses them repeatedly. A single partition at fault does not count. */
    bool isWriterStalled(const CellNode& node)
    {
        constexpr Duration minStalledAge { 600 };
        constexpr Duration minStoreSilence { 500 };
        constexpr std::int64_t latencyMultiple = 3; // A slow store that still answers is no reason to hand over.
        constexpr std::uint32_t refusalLimit = 3;
        const auto since = oldestUnconfirmedSince(node.m_writer);
        if (!since)
            return false;
        const Duration oldestAge = node.m_now - *since;
        const Duration silence = node.m_now - node.m_storeLastContactAt;
        const bool isSilent = oldestAge > std::max(minStalledAge, node.m_writer.m_lastLatency * latencyMultiple) && silence > std::max(minStoreSilence, storeReadTime(node) * latencyMultiple);
        return (isSilent || node.m_writer.m_refusals >= refusalLimit) && !isProbing(node) && !isJournalAtFault(node);
    }

    /** @return Whether this daemon has led for a few seconds only. */
    bool isSettling(const CellNode& node)
    {
        constexpr Duration settleTime { 3'000 };
        return node.m_role == Role::Leading && node.m_now - node.m_leaderMonitor.m_answeredAt < settleTime;
    }

    /** @return Whether this leader's VM has become so slow that another one should lead. */
    bool isTooSlowToLead(const CellNode& node)
    {
        return node.m_options.m_handsOverWhenSlow && node.m_role == Role::Leading && !isSettling(node) && isSlowed(node.m_processorSpeed, node.m_now);
    }

    /** @return Whether a much stronger peer could lead; false in the first seconds of leading. */
    bool isStrongerPeerAvailable(const CellNode& node)
    {
        if (isSettling(node))
            return false;
        return std::any_of(node.m_peers.begin(), node.m_peers.end(), [&](const auto& entry) {
            const PeerState& peer = entry.second;
            return isMuchStronger(peer.m_member, node.m_options.m_self) && peer.m_isStoreReached && node.m_now - peer.m_lastContactAt <= node.m_options.m_suspectAfter;
        });
    }

    /** @return Whether a process started so much later than another that its VM is likely to have been restarted in turn already, and the other's not. */
    bool isMuchYounger(const PeerMember& one, const PeerMember& other)
    {
        constexpr std::uint64_t instancesPerMs = 1'000; // See makeInstance().
        constexpr Duration minDifference { 1'500 }; // VMs that start together do so within a fraction of this time.
        return one.m_instance > other.m_instance + instancesPerMs * static_cast<std::uint64_t>(minDifference.m_ms);
    }

    /**
     * Chooses the peers that are asked to take over. Two are asked at a time, as one of them may not reach the store either; the
     * store accepts only one claim. A leader that is being restarted asks a peer that has been restarted alone first, as others may be next.
     */
    std::vector<const PeerState*> chooseSuccessors(const CellNode& node, bool isLeavingOrStalled, bool isSlow)
    {
        constexpr std::size_t candidatesPerRound = 2;
        std::vector<const PeerState*> candidates;
        for (const auto& [name, peer] : node.m_peers) {
            const bool wasAsked = std::find(node.m_askedSuccessors.begin(), node.m_askedSuccessors.end(), name) != node.m_askedSuccessors.end();
            const bool isAsStrong = peer.m_member.m_strength >= node.m_options.m_self.m_strength && isPeerUsable(node, peer);
            const bool isSuitable = isLeavingOrStalled || (isSlow && isAsStrong) || isMuchStronger(peer.m_member, node.m_options.m_self);
            if (node.m_now - peer.m_lastContactAt <= node.m_options.m_suspectAfter && peer.m_isStoreReached && !wasAsked && isSuitable)
                candidates.push_back(&peer);
        }
        const auto preference = [](const PeerState* peer) { return std::pair { peer->m_member.m_strength, peer->m_member.m_instance }; };
        std::sort(candidates.begin(), candidates.end(), [&](const PeerState* one, const PeerState* other) { return preference(one) > preference(other); });
        candidates.resize(std::min(candidates.size(), candidatesPerRound));
        if (node.m_isTerminating && candidates.size() == candidatesPerRound && isMuchYounger(candidates.front()->m_member, candidates.back()->m_member))
            candidates.pop_back();
        return candidates;
    }

    /** Asks peers to take over when this leader is terminating, cannot write to the store, is much slower than before, or is much weaker than a peer that could lead. */
    void stepHandOver(CellNode& node)
    {
        const bool hasTerm = node.m_role == Role::Leading || node.m_role == Role::Loading;
        const bool isLeavingOrStalled = node.m_isTerminating || isWriterStalled(node);
        const bool isSlow = isTooSlowToLead(node);
        const bool isHandOverWanted = isLeavingOrStalled || isSlow || isStrongerPeerAvailable(node);
        if (!hasTerm || !isHandOverWanted || node.m_now < node.m_nextHandOverAt)
            return;
        node.m_nextHandOverAt = node.m_now + handOverInterval;
        const std::vector<const PeerState*> candidates = chooseSuccessors(node, isLeavingOrStalled, isSlow);
        node.m_askedSuccessors.clear();
        const auto unconfirmedSince = oldestUnconfirmedSince(node.m_writer);
        const std::int64_t appendAgeMs = unconfirmedSince ? (node.m_now - *unconfirmedSince).m_ms : 0;
        const StorePartition progress { .m_topic = node.m_options.m_topics.m_progress, .m_partition = node.m_writerJournal };
        const OtherPartitions others = otherPartitions(node.m_storeTraffic, progress, node.m_now);
        for (const PeerState* peer : candidates) {
            node.m_askedSuccessors.push_back(peer->m_member.m_name);
            logEvent(LogLevel::Info, "hand-over-requested", { { "to", peer->m_member.m_name }, { "token", node.m_term }, { "is_terminating", node.m_isTerminating }, { "is_writer_stalled", isWriterStalled(node) }, { "is_slow", isSlow }, { "refusals", node.m_writer.m_refusals }, { "oldest_append_ms", appendAgeMs }, { "progress_silent_ms", partitionSilence(node.m_storeTraffic, progress, node.m_now).m_ms }, { "others_answering", others.m_answering }, { "others_silent", others.m_silent }, { "store_last_answer_ms_ago", (node.m_now - node.m_storeLastContactAt).m_ms } });
            node.m_ports.m_callPeer(peer->m_member.m_address, PeerTakeOver { .m_token = node.m_term }, takeOverTimeout, [](const std::optional<PeerReply>&) { /* The outcome shows as a claim in the store. */ });
        }
    }

    void runDueCalls(CellNode& node)
    {
        std::vector<DeferredCall> due;
        std::erase_if(node.m_deferredCalls, [&](DeferredCall& call) {
            if (node.m_now < call.m_dueAt)
                return false;
            due.push_back(std::move(call));
            return true;
        });
        for (const DeferredCall& call : due)
            call.m_callback();
    }

} // namespace

void applyClaim(CellNode& node, std::uint64_t token, const PeerMember& member)
{
    if (token <= node.m_leader.m_token)
        return;
    watchNewLeader(node.m_leaderMonitor, node.m_leader.m_token > 0, node.m_now);
    const LeaderClaim former = std::exchange(node.m_leader, { .m_token = token, .m_member = member });
    node.m_isSuccessorWanted = false;
    node.m_isHeartbeatPending = false;
    logEvent(LogLevel::Info, "leader-known", { { "token", token }, { "leader", member.m_name }, { "instance", member.m_instance } });
    if (node.m_role == Role::Leading || node.m_role == Role::Loading)
        stepDown(node, "a later claim exists");
    if (isOwnClaim(node))
        beginTerm(node, former);
}

void requireConfirmation(CellNode& node)
{
    node.m_isAwaitingConfirmation = true;
    resetTail(node.m_leaderTail, true);
}

void confirmLeadership(CellNode& node, TimePoint askedAt)
{
    if (!node.m_isAwaitingConfirmation || !isOwnClaim(node))
        return;
    noteStoreAnswer(node.m_termLease.m_evidence, askedAt);
    if (node.m_role == Role::Leading && node.m_lastBootTime - askedAt > node.m_options.m_termLease.m_renewalLimit)
        return resetTail(node.m_leaderTail, true); // The answer came too late. Members' answers don't help: they say nothing about a term that has ended since.
    node.m_isAwaitingConfirmation = false;
    logEvent(LogLevel::Info, "leadership-confirmed", { { "token", node.m_leader.m_token } });
}

void claimLeadership(CellNode& node, std::string_view cause)
{
    node.m_role = Role::Claiming;
    ++node.m_counters.m_claims;
    logEvent(LogLevel::Info, "claim", { { "cause", cause }, { "previous_leader", node.m_leader.m_member.m_name }, { "previous_token", node.m_leader.m_token }, { "last_contact_ms_ago", (node.m_now - node.m_leaderMonitor.m_answeredAt).m_ms } });
    endCall(node.m_sentClaim.m_call, node.m_now);
    node.m_sentClaim.m_append = { .m_partition = node.m_leaderTail.m_partition, .m_records = { { .m_key = claimKey, .m_value = encodeClaim(node.m_options.m_self, { .m_term = 0, .m_partitions = node.m_journals }) } }, .m_writer = {}, .m_expectedEnd = node.m_leaderTail.m_nextOffset };
    node.m_sentClaim.m_firstSentAt = node.m_now;
    sendClaim(node);
}

void stepDown(CellNode& node, std::string_view cause)
{
    logEvent(LogLevel::Warning, "term-ends", { { "token", node.m_term }, { "cause", cause }, { "leader", node.m_leader.m_member.m_name }, { "renewed_ms_ago", renewalAgeMs(node) } });
    node.m_role = Role::Follower;
    for (const RecordWaiter& waiter : std::exchange(node.m_recordWaiters, {}))
        waiter.m_onComplete(WriteOutcome::Unknown);
    node.m_scheduler.reset();
    node.m_relay.m_outboxes.clear();
    node.m_relay.m_openOrders.clear();
    node.m_term = 0;
    node.m_writer = {};
    node.m_load = {};
    node.m_journalMove = {};
    node.m_isAwaitingConfirmation = false;
    node.m_pendingRemovals.clear();
    resetTail(node.m_jobsTail, false);
    resetTail(node.m_cancellationsTail, false);
    resetTail(node.m_workersTail, false);
    resetObservations(node.m_leaderMonitor, node.m_now);
}

bool isActiveLeader(const CellNode& node)
{
    return node.m_role == Role::Leading && !node.m_isAwaitingConfirmation;
}

void stepLeadership(CellNode& node)
{
    stepTermLease(node);
    stepClaim(node);
    stepHandOver(node);
    reportLeadershipWait(node, !causeForNewLeader(node).empty());
}

} // namespace bulrushloft::cell::detail

namespace bulrushloft::cell {

void advanceTime(CellNode& node, TimePoint now, TimePoint bootNow)
{
    node.m_now = now;
    detail::checkSuspension(node, bootNow);
    detail::checkTermLease(node);
}

void stepCell(CellNode& node, TimePoint now, TimePoint bootNow)
{
    advanceTime(node, now, bootNow);
    detail::runDueCalls(node);
    detail::stepTails(node);
    detail::stepConfigCopies(node);
    detail::stepPeers(node);
    detail::stepLeadership(node);
    detail::stepLoading(node);
    detail::stepWorkerCopies(node);
    detail::stepAdmission(node);
    detail::stepScheduler(node);
    detail::stepWriter(node);
    detail::stepJournalMove(node);
    detail::stepRelay(node);
    detail::stepDirectWriters(node);
    detail::answerHeldQueries(node);
    detail::stepCancellations(node);
    reportTraffic(node.m_storeTraffic, node.m_now);
    reportSilence(node.m_storeTraffic, node.m_now);
}

} // namespace bulrushloft::cell
