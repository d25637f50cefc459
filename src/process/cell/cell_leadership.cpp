/** @file cell_leadership.cpp Who leads: heartbeats, claims, the end of a term. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/cell/leader_choice.h"
#include "process/cell/leader_codec.h"
#include "process/scheduler/scheduler_func.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration heartbeatTimeout { 700 };
    constexpr Duration claimTimeout { 1'000 };
    constexpr Duration peerForgottenAfter { 3'000 };
    constexpr Duration firstClaimSpread { 300 }; ///< Claims of daemons that know no leader spread over this.
    constexpr Duration thawGap { 600 }; ///< A suspension longer than this makes the leadership doubtful.
    constexpr Duration handOverPause { 400 }; ///< Before the next successor is asked.

    bool isSelf(const CellNode& node, const PeerMember& member)
    {
        return member.m_name == node.m_options.m_self.m_name && member.m_instance == node.m_options.m_self.m_instance;
    }

    bool isOwnClaim(const CellNode& node)
    {
        return node.m_leader.m_token > 0 && isSelf(node, node.m_leader.m_member);
    }

    /** @return Peers that could lead in place of the former leader. */
    std::vector<PeerMember> rivalsOf(const CellNode& node)
    {
        std::vector<PeerMember> rivals;
        for (const auto& [name, peer] : node.m_peers) {
            if (name != node.m_leader.m_member.m_name && peer.m_heardAt >= peer.m_failedAt)
                rivals.push_back(peer.m_member);
        }
        return rivals;
    }

    void hearPeer(CellNode& node, const PeerMember& member, bool isStoreReached)
    {
        if (member.m_name.empty() || isSelf(node, member))
            return;
        PeerState& peer = node.m_peers[member.m_name];
        if (peer.m_member.m_instance != member.m_instance || peer.m_member.m_address != member.m_address) {
            ++node.m_membersVersion;
            logEvent(LogLevel::Info, "peer-known", { { "peer", member.m_name }, { "address", format(member.m_address) }, { "instance", member.m_instance } });
        }
        peer.m_member = member;
        peer.m_heardAt = node.m_now;
        peer.m_isStoreReached = isStoreReached;
    }

    void takeMembers(CellNode& node, const PeerHeartbeatAnswer& answer)
    {
        if (answer.m_members.empty())
            return;
        node.m_membersVersion = answer.m_membersVersion;
        for (const PeerMember& member : answer.m_members) {
            if (isSelf(node, member) || node.m_peers.contains(member.m_name))
                continue;
            node.m_peers[member.m_name].m_member = member;
        }
    }

    void onHeartbeatAnswer(CellNode& node, const PeerHeartbeatAnswer& answer)
    {
        hearPeer(node, answer.m_from, answer.m_isStoreReached);
        if (!answer.m_configText.empty())
            takeClusterText(node, answer.m_configText, answer.m_from.m_name);
        if (answer.m_leader.m_token > 0)
            takeClaim(node, answer.m_leader.m_token, answer.m_leader.m_member);
        const bool isFromLeader = answer.m_from.m_name == node.m_leader.m_member.m_name;
        if (!isFromLeader)
            return;
        if (!answer.m_isLeading) {
            node.m_isSuccessorWanted = node.m_isSuccessorWanted || answer.m_from.m_instance != node.m_leader.m_member.m_instance;
            return;
        }
        node.m_leaderHeardAt = node.m_now;
        node.m_isSuccessorWanted = answer.m_isLeaving;
        if (answer.m_isStoreReached)
            node.m_leaderStoreAt = node.m_now;
        takeMembers(node, answer);
    }

    PeerHeartbeat makeHeartbeat(const CellNode& node)
    {
        return { .m_from = node.m_options.m_self, .m_leader = node.m_leader, .m_configVersion = node.m_cluster ? node.m_cluster->m_version : 0, .m_configText = {}, .m_membersVersion = node.m_membersVersion, .m_isStoreReached = node.m_isStoreReached };
    }

    void sendHeartbeat(CellNode& node, const Address& to, const std::string& name)
    {
        PeerHeartbeat heartbeat = makeHeartbeat(node);
        const auto peer = node.m_peers.find(name);
        const bool wasBehind = peer != node.m_peers.end() && peer->second.m_member.m_name == node.m_leader.m_member.m_name && node.m_cluster && !peer->second.m_isStoreReached;
        if (wasBehind)
            heartbeat.m_configText = node.m_clusterText;
        node.m_isHeartbeatOut = true;
        node.m_nextHeartbeatAt = node.m_now + node.m_options.m_heartbeat;
        node.m_ports.m_callPeer(to, heartbeat, heartbeatTimeout, [&node, name, sentAt = node.m_now](const std::optional<PeerReply>& reply) {
            constexpr Duration atOnce { 150 };
            node.m_isHeartbeatOut = false;
            if (name == node.m_leader.m_member.m_name)
                node.m_leaderRefusals = reply || node.m_now - sentAt > atOnce ? 0 : node.m_leaderRefusals + 1;
            const auto* const answer = reply ? std::get_if<PeerHeartbeatAnswer>(&*reply) : nullptr;
            if (answer)
                return onHeartbeatAnswer(node, *answer);
            if (const auto found = node.m_peers.find(name); found != node.m_peers.end())
                found->second.m_failedAt = node.m_now;
        });
    }

    void stepHeartbeat(CellNode& node)
    {
        if (node.m_isHeartbeatOut || node.m_now < node.m_nextHeartbeatAt)
            return;
        const bool isLeaderDoubtful = node.m_now - node.m_leaderHeardAt > node.m_options.m_suspectAfter;
        if (node.m_leader.m_token > 0 && !isOwnClaim(node) && (!isLeaderDoubtful || node.m_seedIndex++ % 2 == 0))
            return sendHeartbeat(node, node.m_leader.m_member.m_address, node.m_leader.m_member.m_name);
        if (node.m_role == Role::Leading || node.m_options.m_seeds.empty())
            return;
        const Address& seed = node.m_options.m_seeds[node.m_seedIndex++ % node.m_options.m_seeds.size()];
        node.m_nextHeartbeatAt = node.m_now + node.m_options.m_heartbeat;
        if (seed != node.m_options.m_self.m_address)
            sendHeartbeat(node, seed, {});
    }

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
        if (node.m_now - node.m_leaderHeardAt > node.m_options.m_suspectAfter)
            return "the leader is not heard of";
        if (node.m_now - node.m_leaderStoreAt > node.m_options.m_storeLostAfter + node.m_options.m_suspectAfter)
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

    void updateAdvisors(CellNode& node)
    {
        auto& advisors = node.m_scheduler->m_advisors;
        const auto wants = [&](const std::string& name) {
            const auto peer = node.m_peers.find(name);
            return name == node.m_options.m_self.m_name || (peer != node.m_peers.end() && node.m_now - peer->second.m_heardAt <= node.m_options.m_suspectAfter);
        };
        std::erase_if(advisors, [&](const scheduler::Advisor& advisor) { return !wants(advisor.m_member); });
        const auto add = [&](const std::string& name) {
            const bool isThere = std::any_of(advisors.begin(), advisors.end(), [&](const scheduler::Advisor& advisor) { return advisor.m_member == name; });
            if (!isThere && wants(name))
                advisors.push_back({ .m_member = name, .m_busyUntil = {} });
        };
        add(node.m_options.m_self.m_name);
        for (const auto& [name, peer] : node.m_peers)
            add(name);
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
            node.m_ports.m_callPeer(peer->m_member.m_address, PeerTakeOver { .m_token = node.m_term }, heartbeatTimeout, [](const std::optional<PeerReply>&) { /* The claim itself tells. */ });
        }
    }

    /** A leader tells peers that do not follow it; they may not reach the store. */
    void stepAnnounce(CellNode& node)
    {
        constexpr Duration announceInterval { 500 };
        if ((node.m_role != Role::Leading && node.m_role != Role::Loading) || node.m_isSuspended || node.m_now < node.m_nextAnnounceAt)
            return;
        node.m_nextAnnounceAt = node.m_now + announceInterval;
        for (const auto& [name, peer] : node.m_peers) {
            if (node.m_now - peer.m_heardAt <= announceInterval && node.m_role == Role::Leading)
                continue;
            node.m_ports.m_callPeer(peer.m_member.m_address, makeHeartbeat(node), heartbeatTimeout, [&node](const std::optional<PeerReply>& reply) {
                if (const auto* const answer = reply ? std::get_if<PeerHeartbeatAnswer>(&*reply) : nullptr)
                    onHeartbeatAnswer(node, *answer);
            });
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

    void forgetPeers(CellNode& node)
    {
        std::erase_if(node.m_peers, [&](const auto& entry) {
            const PeerState& peer = entry.second;
            const bool isForgotten = node.m_role == Role::Leading && node.m_now - std::max(peer.m_heardAt, peer.m_failedAt) > peerForgottenAfter && peer.m_heardAt.m_ms > 0;
            if (isForgotten)
                ++node.m_membersVersion;
            return isForgotten;
        });
    }

} // namespace

void takeClaim(CellNode& node, std::uint64_t token, const PeerMember& member)
{
    if (token <= node.m_leader.m_token)
        return;
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
    node.m_ports.m_append(append, claimTimeout, [&node](const AppendAnswer& answer) {
        noteStore(node, answer.m_status == StoreStatus::Done || answer.m_status == StoreStatus::EndMoved);
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

PeerHeartbeatAnswer answerHeartbeat(CellNode& node, const PeerHeartbeat& heartbeat)
{
    hearPeer(node, heartbeat.m_from, heartbeat.m_isStoreReached);
    if (!heartbeat.m_configText.empty())
        takeClusterText(node, heartbeat.m_configText, heartbeat.m_from.m_name);
    if (heartbeat.m_leader.m_token > 0)
        takeClaim(node, heartbeat.m_leader.m_token, heartbeat.m_leader.m_member);
    PeerHeartbeatAnswer answer { .m_from = node.m_options.m_self, .m_leader = node.m_leader, .m_isLeading = (node.m_role == Role::Leading || node.m_role == Role::Loading) && !node.m_isSuspended, .m_isLeaving = node.m_isTerminating, .m_isStoreReached = node.m_isStoreReached, .m_configVersion = node.m_cluster ? node.m_cluster->m_version : 0, .m_configText = {}, .m_membersVersion = node.m_membersVersion, .m_members = {} };
    if (answer.m_configVersion > heartbeat.m_configVersion)
        answer.m_configText = node.m_clusterText;
    if (answer.m_isLeading && heartbeat.m_membersVersion != node.m_membersVersion) {
        for (const auto& [name, peer] : node.m_peers)
            answer.m_members.push_back(peer.m_member);
    }
    return answer;
}

void stepLeadership(CellNode& node)
{
    checkIsolation(node);
    stepHeartbeat(node);
    stepClaim(node);
    stepHandOver(node);
    stepAnnounce(node);
    forgetPeers(node);
    if (node.m_scheduler)
        updateAdvisors(node);
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
    detail::stepLeadership(node);
    detail::stepLoading(node);
    detail::stepAdmission(node);
    detail::stepScheduler(node);
    detail::stepWriter(node);
    detail::stepDirect(node);
    detail::answerStages(node);
}

} // namespace bulrushloft::cell
