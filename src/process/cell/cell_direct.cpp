/** @file cell_direct.cpp Submissions and cancellations that the leader did not take: stored by this daemon, or through a peer. */
#include "process/cell/admission.h"
#include "process/cell/cell_detail.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration ownTryTimeout { 600 };
    constexpr Duration relayTryTimeout { 700 };
    constexpr Duration longestTryTimeout { 2'500 };
    constexpr Duration nextAppendAfter { 250 }; ///< A silent append does not hold up later ones for longer.
    constexpr std::uint32_t mostAppendsOut = 3;
    constexpr std::size_t mostWritesTogether = 64;
    constexpr Duration tryPause { 60 };
    constexpr std::uint32_t refusedTries = 3; ///< After so many clear refusals the caller is told to come back.

    void tryWrite(CellNode& node, const std::shared_ptr<PendingWrite>& write);

    void endTry(CellNode& node, const std::shared_ptr<PendingWrite>& write, StoreStatus status)
    {
        if (status == StoreStatus::Done)
            return write->m_onEnd(StoreStatus::Done);
        write->m_mayBeDone = write->m_mayBeDone || status != StoreStatus::NotDone;
        node.m_laterCalls.push_back({ node.m_now + tryPause, [&node, write] { tryWrite(node, write); } });
    }

    void relayWrite(CellNode& node, const std::shared_ptr<PendingWrite>& write, const PeerState& peer)
    {
        ++node.m_counters.m_relays;
        const PeerAppend message { .m_append = { .m_partition = { .m_topic = node.m_options.m_topics.m_jobs }, .m_records = write->m_records, .m_writer = {}, .m_expectedEnd = {} } };
        const Duration timeout = std::min(relayTryTimeout, write->m_deadline - node.m_now);
        node.m_ports.m_callPeer(peer.m_member.m_address, message, timeout, [&node, write, name = peer.m_member.m_name](const std::optional<PeerReply>& reply) {
            const auto* const answer = reply ? std::get_if<PeerAppendAnswer>(&*reply) : nullptr;
            if (const auto found = node.m_peers.find(name); !answer && found != node.m_peers.end())
                found->second.m_failedAt = node.m_now;
            endTry(node, write, answer ? answer->m_answer.m_status : StoreStatus::Unknown);
        });
    }

    /** @return Whether a peer was heard of lately and said that it reaches the store. */
    bool isAnyUsable(const CellNode& node, const std::vector<PeerState*>& relays)
    {
        constexpr Duration lately { 3'000 };
        return std::any_of(relays.begin(), relays.end(), [&](const PeerState* peer) { return peer->m_isStoreReached && node.m_now - peer->m_heardAt < lately; });
    }

    /** Tries the store and peers in turn; records of one key may be written more than once. */
    void tryWrite(CellNode& node, const std::shared_ptr<PendingWrite>& write)
    {
        if (node.m_now >= write->m_deadline)
            return write->m_onEnd(write->m_mayBeDone ? StoreStatus::Unknown : StoreStatus::NotDone);
        const std::vector<PeerState*> relays = relayOrder(node);
        const bool hasTried = write->m_tries >= refusedTries || !isAnyUsable(node, relays);
        if (!node.m_isStoreReached && hasTried && !write->m_mayBeDone)
            return write->m_onEnd(StoreStatus::NotDone);
        const std::uint32_t turn = write->m_tries++;
        const bool isOwnTurn = node.m_isStoreReached ? turn % 2 == 0 : turn % 4 == 3;
        if (!isOwnTurn && !relays.empty())
            return relayWrite(node, write, *relays[(turn / 2) % relays.size()]);
        node.m_direct.m_queue.push_back(write);
    }

    /** @return How long an append may take: a slow store is waited for, as repeats would make it slower still. */
    Duration directTimeout(const CellNode& node)
    {
        constexpr std::int64_t timesTheLast = 4;
        return std::clamp(node.m_direct.m_lastTook * timesTheLast, ownTryTimeout, longestTryTimeout);
    }

    /** @return Whether the queue may be appended. A store that has fallen silent gets nothing more, so that the rest can be refused. */
    bool mayAppend(const CellNode& node)
    {
        const DirectWriter& direct = node.m_direct;
        if (direct.m_out == 0)
            return true;
        const bool isAlive = direct.m_lastTook >= nextAppendAfter || node.m_storeHeardAt > direct.m_sentAt;
        return isAlive && direct.m_out < mostAppendsOut && node.m_now - direct.m_sentAt >= nextAppendAfter;
    }

    /** Writes that have not left are refused once the store has been silent for too long. */
    void refuseQueued(CellNode& node)
    {
        DirectWriter& direct = node.m_direct;
        const StoreBelief belief { .m_oldestAppend = direct.m_out > 0 ? std::optional(direct.m_sentAt) : std::nullopt, .m_heardAt = node.m_storeHeardAt };
        if (decideAdmission(belief, node.m_now) != Admission::Refuse)
            return;
        std::vector<std::shared_ptr<PendingWrite>> refused;
        std::erase_if(direct.m_queue, [&](const std::shared_ptr<PendingWrite>& write) {
            if (write->m_mayBeDone)
                return false;
            refused.push_back(write);
            return true;
        });
        for (const auto& write : refused)
            write->m_onEnd(StoreStatus::NotDone);
    }

} // namespace

void stepDirect(CellNode& node)
{
    refuseQueued(node);
    DirectWriter& direct = node.m_direct;
    if (direct.m_queue.empty() || !mayAppend(node))
        return;
    const std::size_t count = std::min(direct.m_queue.size(), mostWritesTogether);
    const std::vector<std::shared_ptr<PendingWrite>> writes(direct.m_queue.begin(), direct.m_queue.begin() + static_cast<std::ptrdiff_t>(count));
    direct.m_queue.erase(direct.m_queue.begin(), direct.m_queue.begin() + static_cast<std::ptrdiff_t>(count));
    StoreAppend append { .m_partition = { .m_topic = node.m_options.m_topics.m_jobs }, .m_records = {}, .m_writer = {}, .m_expectedEnd = {} };
    for (const auto& write : writes)
        append.m_records.insert(append.m_records.end(), write->m_records.begin(), write->m_records.end());
    ++direct.m_out;
    direct.m_sentAt = node.m_now;
    ++node.m_counters.m_appends;
    node.m_ports.m_append(append, directTimeout(node), [&node, writes, sentAt = node.m_now](const StoreAppendAnswer& answer) {
        --node.m_direct.m_out;
        if (answer.m_status == StoreStatus::Done)
            node.m_direct.m_lastTook = node.m_now - sentAt;
        noteStore(node, answer.m_status == StoreStatus::Done);
        for (const auto& write : writes)
            endTry(node, write, answer.m_status);
    });
}

std::vector<PeerState*> relayOrder(CellNode& node)
{
    std::vector<PeerState*> order;
    for (auto& [name, peer] : node.m_peers)
        order.push_back(&peer);
    const auto weight = [&](const PeerState* peer) {
        return std::tuple { !peer->m_isStoreReached, peer->m_failedAt, peer->m_member.m_name != node.m_leader.m_member.m_name };
    };
    std::sort(order.begin(), order.end(), [&](const PeerState* one, const PeerState* other) { return weight(one) < weight(other); });
    return order;
}

void writeJobs(CellNode& node, PendingWrite write)
{
    tryWrite(node, std::make_shared<PendingWrite>(std::move(write)));
}

} // namespace bulrushloft::cell::detail
