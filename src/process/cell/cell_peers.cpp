/** @file cell_peers.cpp Messages between daemons: heartbeats, members, configuration and leadership. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/cell/leader_choice.h"

#include <algorithm>
#include <unordered_set>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration heartbeatTimeout { 700 };
    constexpr Duration peerExpiry { 5'000 };

    /** Marks the list of members that followers receive as outdated. */
    void markMembersStale(CellNode& node)
    {
        node.m_areMembersStale = true;
    }

    /** @param isReply Whether the peer has answered a call of this daemon, rather than called it. */
    void recordPeerContact(CellNode& node, const PeerMember& member, bool isStoreReached, bool isReply)
    {
        if (member.m_name.empty() || isSelf(node, member))
            return;
        PeerState& peer = node.m_peers[member.m_name];
        if (peer.m_member.m_instance != member.m_instance || peer.m_member.m_address != member.m_address) {
            markMembersStale(node);
            logEvent(LogLevel::Info, "peer-known", { { "peer", member.m_name }, { "address", format(member.m_address) }, { "instance", member.m_instance } });
        }
        peer.m_member = member;
        peer.m_isResponsive = isReply || node.m_now - peer.m_lastContactAt <= contactLimit(node);
        peer.m_lastContactAt = node.m_now;
        peer.m_isStoreReached = isStoreReached;
    }

    void mergeMembers(CellNode& node, const PeerHeartbeatAnswer& answer)
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

    /** @param askedAt When the heartbeat was sent, on the boot-time clock. */
    void onHeartbeatAnswer(CellNode& node, const PeerHeartbeatAnswer& answer, TimePoint askedAt)
    {
        recordPeerContact(node, answer.m_from, answer.m_isStoreReached, true);
        noteConfigAnswer(node, answer, askedAt);
        noteConfigVersion(node.m_configFetch, answer.m_from, answer.m_configVersion, configVersionOf(node), node.m_now);
        if (answer.m_leader.m_token > 0)
            applyClaim(node, answer.m_leader.m_token, answer.m_leader.m_member);
        noteFormerLeader(node, answer.m_from, answer.m_leader.m_token);
        noteBegunTerms(node, answer.m_from, answer.m_begunTerms);
        const bool isFromLeader = answer.m_from.m_name == node.m_leader.m_member.m_name;
        if (!isFromLeader && answer.m_leaderAnswerAge && answer.m_leader.m_token == node.m_leader.m_token)
            onLeaderSeenByPeer(node.m_leaderMonitor, node.m_now - *answer.m_leaderAnswerAge);
        if (!isFromLeader)
            return;
        if (!answer.m_isLeading) {
            node.m_isSuccessorWanted = node.m_isSuccessorWanted || answer.m_from.m_instance != node.m_leader.m_member.m_instance;
            return;
        }
        onLeaderConfirmed(node.m_leaderMonitor, answer.m_isStoreReached, node.m_now);
        node.m_isSuccessorWanted = answer.m_isLeaving;
        mergeMembers(node, answer);
    }

    PeerHeartbeat makeHeartbeat(const CellNode& node)
    {
        return { .m_from = node.m_options.m_self, .m_leader = node.m_leader, .m_configVersion = configVersionOf(node), .m_membersVersion = node.m_membersVersion, .m_isStoreReached = node.m_isStoreReached, .m_begunTerms = agesOf(node.m_begunTerms, node.m_now) };
    }

    void sendHeartbeat(CellNode& node, const Address& to, const std::string& name)
    {
        node.m_isHeartbeatPending = true;
        node.m_nextHeartbeatAt = node.m_now + node.m_heartbeatTiming.m_interval;
        node.m_ports.m_callPeer(to, makeHeartbeat(node), heartbeatTimeout, [&node, name, number = ++node.m_heartbeatNumber, sentAt = node.m_now, askedAt = node.m_lastBootTime](const std::optional<PeerReply>& reply) {
            constexpr Duration immediateRefusalLimit { 150 };
            if (number == node.m_heartbeatNumber)
                node.m_isHeartbeatPending = false;
            if (name == node.m_leader.m_member.m_name)
                node.m_leaderMonitor.m_refusals = reply || node.m_now - sentAt > immediateRefusalLimit ? 0 : node.m_leaderMonitor.m_refusals + 1;
            const auto* const answer = reply ? std::get_if<PeerHeartbeatAnswer>(&*reply) : nullptr;
            if (answer)
                return onHeartbeatAnswer(node, *answer, askedAt);
            markPeerFailed(node, name);
        });
    }

    void stepHeartbeat(CellNode& node)
    {
        if (node.m_isHeartbeatPending || node.m_now < node.m_nextHeartbeatAt)
            return;
        node.m_heartbeatTiming = timingOf(rankOf(node.m_options.m_self, otherCandidates(node), node.m_leader.m_token), { .m_interval = node.m_options.m_heartbeatInterval, .m_suspectAfter = node.m_options.m_suspectAfter });
        if (node.m_leader.m_token > 0 && !isOwnClaim(node)) {
            onHeartbeatSent(node.m_leaderMonitor, node.m_now);
            return sendHeartbeat(node, node.m_leader.m_member.m_address, node.m_leader.m_member.m_name);
        }
        if (node.m_role == Role::Leading || node.m_options.m_seeds.empty())
            return;
        const Address& seed = node.m_options.m_seeds[node.m_seedIndex++ % node.m_options.m_seeds.size()];
        node.m_nextHeartbeatAt = node.m_now + node.m_options.m_heartbeatInterval;
        if (seed != node.m_options.m_self.m_address)
            sendHeartbeat(node, seed, {});
    }

    /** @return Addresses of daemons that may know whether the leader is alive, or who its successor is: the seeds and the best candidates for the next term. */
    std::vector<Address> probeTargets(const CellNode& node)
    {
        constexpr std::size_t maxCandidates = 6;
        std::vector<PeerMember> candidates = otherCandidates(node);
        sortByRank(candidates, node.m_leader.m_token);
        candidates.resize(std::min(candidates.size(), maxCandidates));
        std::vector<Address> targets;
        targets.reserve(candidates.size() + node.m_options.m_seeds.size());
        for (const PeerMember& member : candidates)
            targets.push_back(member.m_address);
        for (const Address& seed : node.m_options.m_seeds) {
            if (std::find(targets.begin(), targets.end(), seed) == targets.end() && seed != node.m_options.m_self.m_address && seed != node.m_leader.m_member.m_address)
                targets.push_back(seed);
        }
        return targets;
    }

    /** Asks another daemon about a leader that leaves heartbeats unanswered. */
    void stepProbe(CellNode& node)
    {
        constexpr Duration probeInterval { 100 };
        if (node.m_leader.m_token == 0 || isOwnClaim(node) || !isProbeDue(node.m_leaderMonitor, node.m_heartbeatTiming, node.m_now))
            return;
        node.m_leaderMonitor.m_nextProbeAt = node.m_now + probeInterval;
        const std::vector<Address> targets = probeTargets(node);
        if (targets.empty())
            return;
        callMember(node, targets[node.m_probeIndex++ % targets.size()], [](const PeerHeartbeatAnswer&) { /* Its contents have been taken up. */ });
    }

    /** Updates the list of VMs that can request approvals: this VM and the peers that are responsive. */
    void updateApprovalProxies(CellNode& node)
    {
        constexpr Duration interval { 100 };
        if (!node.m_scheduler || node.m_now < node.m_nextApprovalProxiesUpdateAt)
            return;
        node.m_nextApprovalProxiesUpdateAt = node.m_now + interval;
        std::unordered_set<std::string> reachable { node.m_options.m_self.m_name };
        for (const auto& [name, peer] : node.m_peers) {
            if (isPeerUsable(node, peer))
                reachable.insert(name);
        }
        auto& proxies = node.m_scheduler->m_approvalProxies;
        std::erase_if(proxies, [&](const scheduler::ApprovalProxy& proxy) { return reachable.erase(proxy.m_member) == 0; });
        for (const std::string& name : reachable) // Only those that are not in the list yet.
            proxies.push_back({ .m_member = name, .m_busyUntil = {} });
    }

    /** Requests a newer configuration from the peer that has it. */
    void stepConfigFetch(CellNode& node)
    {
        constexpr Duration transferTimeout { 5'000 }; ///< Enough for the largest configuration on a link of 2 Mbit/s that carries other traffic too.
        ConfigFetch& fetch = node.m_configFetch;
        if (!isConfigFetchDue(fetch, configVersionOf(node), node.m_isStoreReached, node.m_now))
            return;
        onConfigRequested(fetch);
        node.m_ports.m_callPeer(fetch.m_source.m_address, PeerConfigRequest { .m_newerThan = configVersionOf(node) }, transferTimeout, [&node, source = fetch.m_source.m_name](const std::optional<PeerReply>& reply) {
            onConfigAnswered(node.m_configFetch, node.m_now);
            const auto* const answer = reply ? std::get_if<PeerConfigAnswer>(&*reply) : nullptr;
            if (answer && !answer->m_text.empty())
                applyClusterText(node, answer->m_text, source);
        });
    }

    /** @return Whether a configuration is being transferred to this daemon. */
    bool isReceivingConfig(const CellNode& node)
    {
        const TopicTail& tail = node.m_operatorTail;
        return node.m_configFetch.m_isPending || (tail.m_isListing && tail.m_call.m_inFlight > 0);
    }

    /** Announces the leadership to peers that send no heartbeats, and while loading to all peers; they may not reach the store to learn of it. */
    void stepAnnounce(CellNode& node)
    {
        constexpr Duration announceInterval { 500 };
        if ((node.m_role != Role::Leading && node.m_role != Role::Loading) || node.m_isAwaitingConfirmation || node.m_now < node.m_nextAnnounceAt)
            return;
        node.m_nextAnnounceAt = node.m_now + announceInterval;
        const Duration announceAfterSilence = node.m_peers.size() < fastFollowerCount ? announceInterval : slowTiming.m_suspectAfter;
        for (const auto& [name, peer] : node.m_peers) {
            if (node.m_now - peer.m_lastContactAt <= announceAfterSilence && node.m_role == Role::Leading)
                continue;
            callMember(node, peer.m_member.m_address, [](const PeerHeartbeatAnswer&) { /* Its contents have been taken up. */ });
        }
    }

    void expirePeers(CellNode& node)
    {
        std::erase_if(node.m_peers, [&](const auto& entry) {
            const PeerState& peer = entry.second;
            const bool isExpired = node.m_role == Role::Leading && node.m_now - std::max(peer.m_lastContactAt, peer.m_failedAt) > peerExpiry && peer.m_lastContactAt.m_ms > 0;
            if (isExpired)
                markMembersStale(node);
            return isExpired;
        });
    }

    /** Rebuilds the list of members that followers receive: the preferred candidates for the next term. */
    void updateMembers(CellNode& node)
    {
        constexpr Duration interval { 1'000 };
        const bool isSmallCell = node.m_peers.size() < fastFollowerCount;
        if (!node.m_areMembersStale || (!isSmallCell && node.m_now < node.m_nextMembersUpdateAt))
            return;
        node.m_areMembersStale = false;
        node.m_nextMembersUpdateAt = node.m_now + interval;
        ++node.m_membersVersion;
        node.m_advertisedMembers.clear();
        for (const auto& [name, peer] : node.m_peers)
            node.m_advertisedMembers.push_back(peer.m_member);
        sortByRank(node.m_advertisedMembers, node.m_leader.m_token);
        node.m_advertisedMembers.resize(std::min(node.m_advertisedMembers.size(), fastFollowerCount));
    }

    /** @return How long ago the leader last answered this daemon; empty when it has not answered since its claim, or is this daemon. */
    std::optional<Duration> leaderAnswerAge(const CellNode& node)
    {
        const LeaderMonitor& monitor = node.m_leaderMonitor;
        if (node.m_leader.m_token == 0 || isOwnClaim(node) || monitor.m_answeredAt == monitor.m_knownSince)
            return std::nullopt;
        return node.m_now - monitor.m_answeredAt;
    }

} // namespace

void callMember(CellNode& node, const Address& address, const std::function<void(const PeerHeartbeatAnswer&)>& onAnswer)
{
    node.m_ports.m_callPeer(address, makeHeartbeat(node), heartbeatTimeout, [&node, onAnswer, askedAt = node.m_lastBootTime](const std::optional<PeerReply>& reply) {
        const auto* const answer = reply ? std::get_if<PeerHeartbeatAnswer>(&*reply) : nullptr;
        if (!answer)
            return;
        onHeartbeatAnswer(node, *answer, askedAt);
        onAnswer(*answer);
    });
}

Duration contactLimit(const CellNode& node)
{
    return node.m_peers.size() < fastFollowerCount ? node.m_options.m_suspectAfter : slowTiming.m_suspectAfter;
}

void markPeerFailed(CellNode& node, const std::string& name)
{
    if (const auto found = node.m_peers.find(name); found != node.m_peers.end())
        found->second.m_failedAt = node.m_now;
}

bool isPeerUsable(const CellNode& node, const PeerState& peer)
{
    return peer.m_isResponsive && peer.m_lastContactAt >= peer.m_failedAt && node.m_now - peer.m_lastContactAt <= contactLimit(node);
}

std::uint64_t configVersionOf(const CellNode& node)
{
    return node.m_cluster ? node.m_cluster->m_version : 0;
}

PeerConfigAnswer answerConfigRequest(const CellNode& node, const PeerConfigRequest& request)
{
    return { .m_text = configVersionOf(node) > request.m_newerThan ? node.m_clusterText : std::string() };
}

PeerHeartbeatAnswer answerHeartbeat(CellNode& node, const PeerHeartbeat& heartbeat)
{
    recordPeerContact(node, heartbeat.m_from, heartbeat.m_isStoreReached, false);
    noteConfigVersion(node.m_configFetch, heartbeat.m_from, heartbeat.m_configVersion, configVersionOf(node), node.m_now);
    if (heartbeat.m_leader.m_token > 0)
        applyClaim(node, heartbeat.m_leader.m_token, heartbeat.m_leader.m_member);
    noteFormerLeader(node, heartbeat.m_from, heartbeat.m_leader.m_token);
    noteBegunTerms(node, heartbeat.m_from, heartbeat.m_begunTerms);
    PeerHeartbeatAnswer answer { .m_from = node.m_options.m_self, .m_leader = node.m_leader, .m_isLeading = (node.m_role == Role::Leading || node.m_role == Role::Loading) && !node.m_isAwaitingConfirmation, .m_isLeaving = node.m_isTerminating, .m_isStoreReached = node.m_isStoreReached, .m_configVersion = configVersionOf(node), .m_membersVersion = node.m_membersVersion, .m_members = {}, .m_leaderAnswerAge = leaderAnswerAge(node), .m_begunTerms = agesOf(node.m_begunTerms, node.m_now), .m_configAge = reportedConfigAge(node) };
    if (answer.m_isLeading && heartbeat.m_membersVersion != node.m_membersVersion)
        answer.m_members = node.m_advertisedMembers;
    return answer;
}

std::vector<PeerMember> otherCandidates(const CellNode& node)
{
    std::vector<PeerMember> others;
    for (const auto& [name, peer] : node.m_peers) {
        if (name != node.m_leader.m_member.m_name && peer.m_lastContactAt >= peer.m_failedAt)
            others.push_back(peer.m_member);
    }
    return others;
}

bool isSelf(const CellNode& node, const PeerMember& member)
{
    return member.m_name == node.m_options.m_self.m_name && member.m_instance == node.m_options.m_self.m_instance;
}

bool isOwnClaim(const CellNode& node)
{
    return node.m_leader.m_token > 0 && isSelf(node, node.m_leader.m_member);
}

void stepPeers(CellNode& node)
{
    stepHeartbeat(node);
    stepProbe(node);
    stepConfigQuestions(node);
    stepConfigFetch(node);
    if (isReceivingConfig(node))
        onOwnLinkBusy(node.m_leaderMonitor, node.m_now);
    stepAnnounce(node);
    expirePeers(node);
    updateMembers(node);
    updateApprovalProxies(node);
}

} // namespace bulrushloft::cell::detail
