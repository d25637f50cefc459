/** @file cell_direct.cpp Storing of submissions and cancellations that the leader did not accept, directly or through a peer. */
#include "process/cell/admission.h"
#include "process/cell/cell_detail.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration minAppendTimeout { 600 };
    constexpr Duration relayTimeout { 700 };
    constexpr Duration maxAppendTimeout { 2'500 };
    constexpr Duration appendOverlapDelay { 250 }; ///< After this time the next append is sent although the previous one is unanswered.
    constexpr std::uint32_t maxAppendsInFlight = 3;
    constexpr std::size_t maxWritesPerAppend = 64;
    constexpr Duration retryDelay { 60 };
    constexpr std::uint32_t maxRefusedAttempts = 3; ///< A write that was certainly refused this often while the store is unreachable is given up; the client then retries later.

    void attemptWrite(CellNode& node, const std::shared_ptr<PendingWrite>& write);

    void finishAttempt(CellNode& node, const std::shared_ptr<PendingWrite>& write, StoreStatus status)
    {
        if (status == StoreStatus::Done)
            return write->m_onComplete(StoreStatus::Done);
        write->m_mayBeStored = write->m_mayBeStored || status != StoreStatus::NotDone;
        node.m_deferredCalls.push_back({ node.m_now + retryDelay, [&node, write] { attemptWrite(node, write); } });
    }

    void relayWrite(CellNode& node, const std::shared_ptr<PendingWrite>& write, const PeerState& peer)
    {
        ++node.m_counters.m_relays;
        const PeerAppend message { .m_append = { .m_partition = { .m_topic = node.m_options.m_topics.m_jobs }, .m_records = write->m_records, .m_writer = {}, .m_expectedEnd = {} } };
        const Duration timeout = std::min(relayTimeout, write->m_deadline - node.m_now);
        node.m_ports.m_callPeer(peer.m_member.m_address, message, timeout, [&node, write, name = peer.m_member.m_name](const std::optional<PeerReply>& reply) {
            const auto* const answer = reply ? std::get_if<PeerAppendAnswer>(&*reply) : nullptr;
            if (const auto found = node.m_peers.find(name); !answer && found != node.m_peers.end())
                found->second.m_failedAt = node.m_now;
            finishAttempt(node, write, answer ? answer->m_answer.m_status : StoreStatus::Unknown);
        });
    }

    /** @return Whether any peer with recent contact has reported that it reaches the store. */
    bool hasUsableRelay(const CellNode& node, const std::vector<PeerState*>& relays)
    {
        constexpr Duration recentContactLimit { 3'000 };
        return std::any_of(relays.begin(), relays.end(), [&](const PeerState* peer) { return peer->m_isStoreReached && node.m_now - peer->m_lastContactAt < recentContactLimit; });
    }

    /**
     * Attempts a write directly or through a peer: alternately while this daemon reaches the store, otherwise directly on
     * every fourth attempt only. Retries may write the records of a key more than once.
     */
    void attemptWrite(CellNode& node, const std::shared_ptr<PendingWrite>& write)
    {
        if (node.m_now >= write->m_deadline)
            return write->m_onComplete(write->m_mayBeStored ? StoreStatus::Unknown : StoreStatus::NotDone);
        const std::vector<PeerState*> relays = relayCandidates(node);
        const bool areRelaysExhausted = write->m_attempts >= maxRefusedAttempts || !hasUsableRelay(node, relays);
        if (!node.m_isStoreReached && areRelaysExhausted && !write->m_mayBeStored)
            return write->m_onComplete(StoreStatus::NotDone);
        const std::uint32_t attempt = write->m_attempts++;
        const bool usesOwnConnection = node.m_isStoreReached ? attempt % 2 == 0 : attempt % 4 == 3;
        if (!usesOwnConnection && !relays.empty())
            return relayWrite(node, write, *relays[(attempt / 2) % relays.size()]);
        node.m_directWriter.m_queue.push_back(write);
    }

    /** @return Timeout of the next append; grows with the last duration and the attempts that the partition carries out before it, as retries would slow a slow store further. */
    Duration directAppendTimeout(const CellNode& node)
    {
        constexpr std::int64_t timeoutFactor = 4;
        return std::clamp(node.m_directWriter.m_lastAppendDuration * (timeoutFactor + node.m_openHedgedAttempts), minAppendTimeout, maxAppendTimeout);
    }

    /** @return Whether the queue may be appended. A silent store gets no further appends, so that queued writes can still be refused with certainty. */
    bool canAppend(const CellNode& node)
    {
        const DirectWriter& writer = node.m_directWriter;
        if (writer.m_appendsInFlight == 0)
            return true;
        const bool isStoreResponding = writer.m_lastAppendDuration >= appendOverlapDelay || node.m_storeLastContactAt > writer.m_lastSentAt;
        return isStoreResponding && writer.m_appendsInFlight < maxAppendsInFlight && node.m_now - writer.m_lastSentAt >= appendOverlapDelay;
    }

    /** Refuses queued writes that are certainly not stored, once the store has been silent for too long. */
    void refuseQueuedWrites(CellNode& node)
    {
        DirectWriter& writer = node.m_directWriter;
        // A silent store gets no further appends, so the latest append is used; the time of the oldest is not kept.
        const StoreHealth health { .m_oldestAppendSentAt = writer.m_appendsInFlight > 0 ? std::optional(writer.m_lastSentAt) : std::nullopt, .m_lastContactAt = node.m_storeLastContactAt };
        if (decideAdmission(health, node.m_now) != Admission::Refuse)
            return;
        std::vector<std::shared_ptr<PendingWrite>> refused;
        std::erase_if(writer.m_queue, [&](const std::shared_ptr<PendingWrite>& write) {
            if (write->m_mayBeStored)
                return false;
            refused.push_back(write);
            return true;
        });
        for (const auto& write : refused)
            write->m_onComplete(StoreStatus::NotDone);
    }

} // namespace

void stepDirectWriter(CellNode& node)
{
    refuseQueuedWrites(node);
    DirectWriter& writer = node.m_directWriter;
    if (writer.m_queue.empty() || !canAppend(node))
        return;
    const std::size_t count = std::min(writer.m_queue.size(), maxWritesPerAppend);
    const std::vector<std::shared_ptr<PendingWrite>> writes(writer.m_queue.begin(), writer.m_queue.begin() + static_cast<std::ptrdiff_t>(count));
    writer.m_queue.erase(writer.m_queue.begin(), writer.m_queue.begin() + static_cast<std::ptrdiff_t>(count));
    StoreAppend append { .m_partition = { .m_topic = node.m_options.m_topics.m_jobs }, .m_records = {}, .m_writer = {}, .m_expectedEnd = {} };
    for (const auto& write : writes)
        append.m_records.insert(append.m_records.end(), write->m_records.begin(), write->m_records.end());
    ++writer.m_appendsInFlight;
    writer.m_lastSentAt = node.m_now;
    ++node.m_counters.m_appends;
    sendHedged(node, std::move(append), directAppendTimeout(node), [&node, writes](const StoreAppendAnswer& answer) {
        --node.m_directWriter.m_appendsInFlight;
        if (answer.m_status == StoreStatus::Done)
            node.m_directWriter.m_lastAppendDuration = node.m_appendLatency;
        for (const auto& write : writes)
            finishAttempt(node, write, answer.m_status);
    });
}

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
    attemptWrite(node, std::make_shared<PendingWrite>(std::move(write)));
}

} // namespace bulrushloft::cell::detail
