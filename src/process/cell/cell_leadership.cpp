/** @file cell_leadership.cpp Who leads: heartbeats, claims, the end of a term. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/cell/leader_choice.h"
#include "process/cell/leader_codec.h"
#include "process/scheduler/scheduler_func.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration takeOverTimeout { 700 };
    constexpr Duration claimTimeout { 1'000 };
    constexpr Duration firstClaimSpread { 300 }; ///< Claims of daemons that know no leader spread over this.
    constexpr Duration thawGap { 600 }; ///< A suspension longer than this makes the leadership doubtful.
    constexpr Duration handOverPause { 400 }; ///< Before the next successor is asked.

    /** @return Why this daemon should try to lead; empty when it should not. */
    std::string_view causeToClaim(const CellNode& node)
    {
        if (!node.m_isStoreReached || !node.m_leaderTail.m_isCurrent || node.m_isTerminating || !node.m_cluster)
            return {};
        if (node.m_leader.m_token == 0)
            return "no leader yet";
        if (isOwnClaim(node))
            return node.m_role == Role::Follower ? "own claim found" : std::string_view();
        if (node.m_leader.m_member.m_name == node.m_options.m_self.m_name)
            return "this VM led before its restart";
        if (node.m_isSuccessorWanted)
            return "the leader is ending";
        constexpr std::uint32_t enoughRefusals = 2;
        if (node.m_leaderRefusals >= enoughRefusals)
            return "the leader's VM refuses connections";
        if (node.m_now - node.m_leaderHeardAt > node.m_pace.m_suspectAfter * node.m_patience)
            return "the leader is not heard of";
        if (node.m_now - node.m_leaderStoreAt > node.m_options.m_storeLostAfter + node.m_pace.m_suspectAfter * node.m_patience)
            return "the leader does not reach the store";
        return {};
    }

    void stepClaim(CellNode& node)
    {
        const std::string_view cause = causeToClaim(node);
        if (cause.empty() || node.m_role != Role::Follower) {
            node.m_claimAt.reset();
            return;
        }
        if (!node.m_claimAt) {
            const bool wasOurs = node.m_leader.m_member.m_name == node.m_options.m_self.m_name;
            const Duration spread { node.m_leader.m_token == 0 ? static_cast<std::int64_t>(node.m_options.m_self.m_instance % static_cast<std::uint64_t>(firstClaimSpread.m_ms)) : 0 };
            const std::vector<PeerMember> rivals = rivalsOf(node);
            const Duration turn = wasOurs ? Duration {} : node.m_options.m_rankDelay * rankOf(node.m_options.m_self, rivals, node.m_leader.m_token);
            node.m_claimAt = node.m_now + turn + spread + delayOfWeak(node.m_options.m_self, rivals);
        }
        if (node.m_now < *node.m_claimAt)
            return;
        node.m_claimAt.reset();
        claimLeadership(node, cause);
    }

    void beginTerm(CellNode& node)
    {
        node.m_role = Role::Loading;
        node.m_term = node.m_leader.m_token;
        ++node.m_counters.m_terms;
        node.m_isSuccessorWanted = false;
        node.m_isSuspended = false;
        node.m_scheduler = std::make_unique<scheduler::Scheduler>();
        node.m_scheduler->m_options = node.m_options.m_scheduler;
        node.m_scheduler->m_options.m_token = node.m_term;
        node.m_scheduler->m_wallOffset = node.m_wallOffset;
        scheduler::setCluster(*node.m_scheduler, *node.m_cluster);
        node.m_writer = { .m_writer = { .m_name = writerName, .m_epoch = node.m_term, .m_sequence = 0 } };
        node.m_load = { .m_startedAt = node.m_now };
        resetTail(node.m_jobsTail, true);
        resetTail(node.m_workersTail, false);
        logEvent(LogLevel::Info, "term-begins", { { "token", node.m_term }, { "config", node.m_cluster->m_version } });
    }

    /** After a suspension the store is asked who leads before the next order. */
    void checkSuspension(CellNode& node, TimePoint bootNow)
    {
        const Duration gap = bootNow - node.m_bootSeenAt;
        node.m_bootSeenAt = bootNow;
        if (gap >= thawGap)
            closeRelay(node);
        if (gap < thawGap || (node.m_role != Role::Leading && node.m_role != Role::Loading))
            return;
        logEvent(LogLevel::Warning, "suspended", { { "gap_ms", gap.m_ms }, { "token", node.m_term } });
        node.m_isSuspended = true;
        resetTail(node.m_leaderTail, true);
    }

    void checkIsolation(CellNode& node)
    {
        if (node.m_role != Role::Leading || node.m_peers.empty())
            return;
        TimePoint heardAt = node.m_storeHeardAt;
        for (const auto& [name, peer] : node.m_peers)
            heardAt = std::max(heardAt, peer.m_heardAt);
        if (!node.m_isSuspended && node.m_now - heardAt > node.m_options.m_isolatedAfter) {
            logEvent(LogLevel::Warning, "isolated", { { "heard_ms_ago", (node.m_now - heardAt).m_ms } });
            node.m_isSuspended = true;
            resetTail(node.m_leaderTail, true);
        }
    }

    /** @return Whether the store refuses the leader's records. */
    bool isWriterStuck(const CellNode& node)
    {
        constexpr Duration longAppend { 600 };
        constexpr Duration longSilence { 500 };
        constexpr std::int64_t timesTheLast = 3; // A store that is slow but answers is no reason to hand over.
        constexpr std::uint32_t enoughRefusals = 3;
        const auto since = oldestSince(node.m_writer);
        if (!since)
            return false;
        const bool isSilent = node.m_now - *since > std::max(longAppend, node.m_writer.m_lastTook * timesTheLast) && node.m_now - node.m_storeHeardAt > longSilence;
        return isSilent || node.m_writer.m_refusals >= enoughRefusals;
    }

    /** @return Whether a weak VM leads, or begins to, although a strong one could. */
    bool isLeadingInPlaceOfStronger(const CellNode& node)
    {
        constexpr Duration settleTime { 3'000 };
        const bool isSettling = node.m_role == Role::Leading && node.m_now - node.m_leaderHeardAt < settleTime;
        if (!isWeak(node.m_options.m_self) || isSettling)
            return false;
        return std::any_of(node.m_peers.begin(), node.m_peers.end(), [&](const auto& entry) {
            const PeerState& peer = entry.second;
            return !isWeak(peer.m_member) && peer.m_isStoreReached && node.m_now - peer.m_heardAt <= node.m_options.m_suspectAfter;
        });
    }

    /** A leader that ends, that the store refuses, or that is weak asks peers to take over. */
    void stepHandOver(CellNode& node)
    {
        const bool hasTerm = node.m_role == Role::Leading || node.m_role == Role::Loading;
        const bool isWanted = node.m_isTerminating || isWriterStuck(node) || isLeadingInPlaceOfStronger(node);
        if (!hasTerm || !isWanted || node.m_now < node.m_nextHandOverAt)
            return;
        node.m_nextHandOverAt = node.m_now + handOverPause;
        // Two are asked at a time: one of them may not reach the store either; the store lets one claim pass.
        constexpr std::size_t askedAtOnce = 2;
        std::vector<const PeerState*> usable;
        for (const auto& [name, peer] : node.m_peers) {
            const bool wasAsked = std::find(node.m_askedSuccessors.begin(), node.m_askedSuccessors.end(), name) != node.m_askedSuccessors.end();
            if (node.m_now - peer.m_heardAt <= node.m_options.m_suspectAfter && peer.m_isStoreReached && !wasAsked)
                usable.push_back(&peer);
        }
        const auto weight = [](const PeerState* peer) { return std::pair { peer->m_member.m_strength, peer->m_member.m_instance }; };
        std::sort(usable.begin(), usable.end(), [&](const PeerState* one, const PeerState* other) { return weight(one) > weight(other); });
        usable.resize(std::min(usable.size(), askedAtOnce));
        node.m_askedSuccessors.clear();
        for (const PeerState* peer : usable) {
            node.m_askedSuccessors.push_back(peer->m_member.m_name);
            logEvent(LogLevel::Info, "hand-over", { { "to", peer->m_member.m_name }, { "token", node.m_term }, { "is_terminating", node.m_isTerminating } });
            node.m_ports.m_callPeer(peer->m_member.m_address, PeerTakeOver { .m_token = node.m_term }, takeOverTimeout, [](const std::optional<PeerReply>&) { /* The claim itself tells. */ });
        }
    }

    void runLaterCalls(CellNode& node)
    {
        std::vector<LaterCall> due;
        std::erase_if(node.m_laterCalls, [&](LaterCall& call) {
            if (node.m_now < call.m_at)
                return false;
            due.push_back(std::move(call));
            return true;
        });
        for (const LaterCall& call : due)
            call.m_work();
    }

} // namespace

void takeClaim(CellNode& node, std::uint64_t token, const PeerMember& member)
{
    if (token <= node.m_leader.m_token)
        return;
    if (node.m_leader.m_token > 0)
        node.m_patience = patienceAfter(node.m_now - node.m_leaderSince, node.m_patience);
    node.m_leaderSince = node.m_now;
    node.m_leader = { .m_token = token, .m_member = member };
    node.m_leaderHeardAt = node.m_now;
    node.m_leaderStoreAt = node.m_now;
    node.m_leaderRefusals = 0;
    node.m_isSuccessorWanted = false;
    logEvent(LogLevel::Info, "leader-known", { { "token", token }, { "leader", member.m_name }, { "instance", member.m_instance } });
    if (node.m_role == Role::Leading || node.m_role == Role::Loading)
        stepDown(node, "a later claim exists");
    if (isOwnClaim(node))
        beginTerm(node);
}

void confirmLeadership(CellNode& node)
{
    if (!node.m_isSuspended || !isOwnClaim(node))
        return;
    node.m_isSuspended = false;
    logEvent(LogLevel::Info, "leadership-confirmed", { { "token", node.m_leader.m_token } });
}

void claimLeadership(CellNode& node, std::string_view cause)
{
    node.m_role = Role::Claiming;
    ++node.m_counters.m_claims;
    logEvent(LogLevel::Info, "claim", { { "cause", cause }, { "former", node.m_leader.m_member.m_name }, { "former_token", node.m_leader.m_token }, { "heard_ms_ago", (node.m_now - node.m_leaderHeardAt).m_ms } });
    StoreAppend append { .m_partition = node.m_leaderTail.m_partition, .m_records = { { .m_key = claimKey, .m_value = encodeClaim(node.m_options.m_self) } }, .m_writer = {}, .m_expectedEnd = node.m_leaderTail.m_next };
    node.m_ports.m_append(append, claimTimeout, [&node](const StoreAppendAnswer& answer) {
        noteStore(node, answer.m_status == StoreStatus::Done || answer.m_status == StoreStatus::EndMismatch);
        if (node.m_role == Role::Claiming)
            node.m_role = Role::Follower;
        if (answer.m_status == StoreStatus::Done)
            return takeClaim(node, answer.m_offset + 1, node.m_options.m_self);
        // When the answer was lost, the topic tells whether the claim is there.
        logEvent(LogLevel::Info, "claim-failed", { { "status", static_cast<int>(answer.m_status) }, { "reason", answer.m_reason } });
    });
}

void stepDown(CellNode& node, std::string_view cause)
{
    logEvent(LogLevel::Warning, "term-ends", { { "token", node.m_term }, { "cause", cause }, { "leader", node.m_leader.m_member.m_name } });
    node.m_role = Role::Follower;
    for (const RecordWaiter& waiter : std::exchange(node.m_recordWaiters, {}))
        waiter.m_onEnd(WriteOutcome::Unknown);
    node.m_scheduler.reset();
    node.m_relay.m_lanes.clear();
    node.m_relay.m_open.clear();
    node.m_term = 0;
    node.m_writer = {};
    node.m_isSuspended = false;
    node.m_pendingRemovals.clear();
    resetTail(node.m_jobsTail, false);
    resetTail(node.m_workersTail, false);
    node.m_leaderHeardAt = node.m_now;
    node.m_leaderStoreAt = node.m_now;
}

bool mayAct(const CellNode& node)
{
    return node.m_role == Role::Leading && !node.m_isSuspended;
}

void stepLeadership(CellNode& node)
{
    checkIsolation(node);
    stepClaim(node);
    stepHandOver(node);
}

} // namespace bulrushloft::cell::detail

namespace bulrushloft::cell {

void noteTime(CellNode& node, TimePoint now, TimePoint bootNow)
{
    node.m_now = now;
    detail::checkSuspension(node, bootNow);
}

void stepCell(CellNode& node, TimePoint now, TimePoint bootNow)
{
    noteTime(node, now, bootNow);
    detail::runLaterCalls(node);
    detail::stepTails(node);
    detail::stepPeers(node);
    detail::stepLeadership(node);
    detail::stepLoading(node);
    detail::stepAdmission(node);
    detail::stepScheduler(node);
    detail::stepWriter(node);
    detail::stepRelay(node);
    detail::stepDirect(node);
    detail::answerStages(node);
}

} // namespace bulrushloft::cell
