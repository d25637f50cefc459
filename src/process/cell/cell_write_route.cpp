/** @file cell_write_route.cpp The way of submissions and cancellations to the topic of jobs: by this daemon's own appends, or through a peer. */
#include "process/cell/cell_detail.h"
#include "process/cell/leader_choice.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration relayTimeout { 700 };
    constexpr Duration relayMargin { 200 }; ///< Time for the two messages of a relayed write.
    constexpr Duration retryDelay { 60 };
    constexpr std::uint32_t maxRelays = 3;

    void routeWrite(CellNode& node, const std::shared_ptr<PendingWrite>& write);

    /** @return How long a relayed write may take; on a slow store most of its time, as this daemon's own appends would be as slow and delay those of the peer. */
    Duration relayTimeoutOf(const CellNode& node, const PendingWrite& write, const PeerState& peer)
    {
        constexpr std::int64_t appends = 6;
        const Duration remaining = write.m_deadline - node.m_now;
        const bool isLong = isJobsPartitionSlow(node, write.m_partition) && isPeerUsable(node, peer); // Its failure is noticed; see watchRelay().
        const Duration timeout = isLong ? std::max(relayTimeout, std::min(remaining * 2 / 3, jobsAppendLatency(node, write.m_partition) * appends)) : relayTimeout;
        return std::min(timeout, remaining);
    }

    using RelayCallback = std::function<void(StoreStatus)>;

    /** Gives up a relayed write once its peer can't be used any more, which leaves time for another way. */
    void watchRelay(CellNode& node, const std::string& name, const std::shared_ptr<RelayCallback>& onOutcome)
    {
        constexpr Duration watchInterval { 100 };
        node.m_deferredCalls.push_back({ node.m_now + watchInterval, [&node, name, onOutcome] {
                                            if (!*onOutcome)
                                                return;
                                            const auto peer = node.m_peers.find(name);
                                            if (peer != node.m_peers.end() && isPeerUsable(node, peer->second))
                                                return watchRelay(node, name, onOutcome);
                                            std::exchange(*onOutcome, nullptr)(StoreStatus::Unknown);
                                        } });
    }

    void relayWrite(CellNode& node, const std::shared_ptr<PendingWrite>& write, const PeerState& peer)
    {
        ++node.m_counters.m_relays;
        ++write->m_relays;
        const Duration timeout = relayTimeoutOf(node, *write, peer);
        const PeerAppend message { .m_append = { .m_partition = { .m_topic = node.m_options.m_topics.m_jobs, .m_partition = write->m_partition }, .m_records = write->m_records, .m_writer = {}, .m_expectedEnd = {} }, .m_timeout = timeout - relayMargin };
        const auto onOutcome = std::make_shared<RelayCallback>([&node, write](StoreStatus status) {
            if (status == StoreStatus::Done)
                return std::exchange(write->m_onComplete, nullptr)(status);
            write->m_mayBeStored = write->m_mayBeStored || status != StoreStatus::NotDone;
            node.m_deferredCalls.push_back({ node.m_now + retryDelay, [&node, write] { routeWrite(node, write); } });
        });
        if (isPeerUsable(node, peer))
            watchRelay(node, peer.m_member.m_name, onOutcome);
        node.m_ports.m_callPeer(peer.m_member.m_address, message, timeout, [&node, onOutcome, partition = write->m_partition, name = peer.m_member.m_name](const std::optional<PeerReply>& reply) {
            const auto* const answer = reply ? std::get_if<PeerAppendAnswer>(&*reply) : nullptr;
            if (!answer)
                markPeerFailed(node, name);
            else if (answer->m_latency > Duration {}) {
                DirectWriter& writer = node.m_directWriters.at(partition);
                writer.m_relayedLatency = answer->m_latency;
                writer.m_relayedLatencyAt = node.m_now;
            }
            if (*onOutcome)
                std::exchange(*onOutcome, nullptr)(answer ? answer->m_answer.m_status : StoreStatus::Unknown);
        });
    }

    /** @return Whether a peer has lately been heard of and has reported that it reaches the store. */
    bool isUsableRelay(const CellNode& node, const PeerState& peer)
    {
        constexpr Duration recentContactLimit { 3'000 };
        return peer.m_isStoreReached && node.m_now - peer.m_lastContactAt < recentContactLimit;
    }

    /**
     * Chooses the daemon that appends for all while the store is slow: the leader, also one that is still loading, or the best candidate. One
     * group commit for the whole cell takes as long as one for each daemon, and the partition carries out one at a time.
     * @return Null when it is this daemon, or no other one can be used.
     */
    const PeerState* findCommonWriter(const CellNode& node)
    {
        if (isOwnClaim(node))
            return nullptr;
        const auto leader = node.m_peers.find(node.m_leader.m_member.m_name);
        if (node.m_leader.m_token > 0 && leader != node.m_peers.end() && isPeerUsable(node, leader->second) && leader->second.m_isStoreReached)
            return &leader->second;
        std::vector<PeerMember> members { node.m_options.m_self };
        for (const auto& [name, peer] : node.m_peers) { // Without a leader peers hear of each other rarely, but all know the same ones.
            if (peer.m_lastContactAt >= peer.m_failedAt)
                members.push_back(peer.m_member);
        }
        sortByRank(members, node.m_leader.m_token);
        const auto best = node.m_peers.find(members.front().m_name);
        return best == node.m_peers.end() ? nullptr : &best->second;
    }

    /** Sends a write on its way: through a peer while the store does not answer this daemon, or while it is slow and another daemon appends for all. */
    void routeWrite(CellNode& node, const std::shared_ptr<PendingWrite>& write)
    {
        if (node.m_now >= write->m_deadline)
            return std::exchange(write->m_onComplete, nullptr)(write->m_mayBeStored ? StoreStatus::Unknown : StoreStatus::NotDone);
        const bool hasTime = write->m_deadline - node.m_now > relayMargin * 2;
        if (write->m_relays >= maxRelays || !hasTime)
            return enqueueDirectWrite(node, write);
        if (!node.m_isStoreReached) {
            const std::vector<PeerState*> relays = relayCandidates(node);
            const auto usable = std::find_if(relays.begin(), relays.end(), [&](const PeerState* peer) { return isUsableRelay(node, *peer); });
            return usable == relays.end() ? enqueueDirectWrite(node, write) : relayWrite(node, write, **usable);
        }
        constexpr std::uint32_t maxCommonWriters = 2;
        const PeerState* const writer = write->m_relays < maxCommonWriters && isJobsPartitionSlow(node, write->m_partition) ? findCommonWriter(node) : nullptr;
        writer ? relayWrite(node, write, *writer) : enqueueDirectWrite(node, write);
    }

} // namespace

std::vector<PeerState*> relayCandidates(CellNode& node)
{
    std::vector<PeerState*> candidates;
    for (auto& [name, peer] : node.m_peers)
        candidates.push_back(&peer);
    const auto preference = [&](const PeerState* peer) {
        return std::tuple { !peer->m_isStoreReached, peer->m_failedAt, peer->m_member.m_name != node.m_leader.m_member.m_name };
    };
    std::sort(candidates.begin(), candidates.end(), [&](const PeerState* one, const PeerState* other) { return preference(one) < preference(other); });
    return candidates;
}

void writeToJobsTopic(CellNode& node, PendingWrite write)
{
    routeWrite(node, std::make_shared<PendingWrite>(std::move(write)));
}

bool isOpenToRelaying(const CellNode& node, const StorePartition& partition)
{
    return partition.m_topic == node.m_options.m_topics.m_jobs && partition.m_partition < jobsPartitionCount;
}

void writeForPeer(CellNode& node, const PeerAppend& message, const std::function<void(StoreAppendAnswer)>& onAnswer)
{
    constexpr Duration maxTimeout { 10'000 };
    const Duration timeout = std::clamp(message.m_timeout, Duration {}, maxTimeout);
    PendingWrite write { .m_partition = message.m_append.m_partition.m_partition, .m_records = message.m_append.m_records, .m_deadline = node.m_now + timeout, .m_isForPeer = true };
    write.m_onComplete = [onAnswer](StoreStatus status) { onAnswer({ .m_status = status, .m_reason = {} }); };
    enqueueDirectWrite(node, std::make_shared<PendingWrite>(std::move(write)));
}

} // namespace bulrushloft::cell::detail
