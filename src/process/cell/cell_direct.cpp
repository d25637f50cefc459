/** @file cell_direct.cpp Group commit of submissions and cancellations that the leader did not accept, to the topic of jobs. */
#include "process/cell/admission.h"
#include "process/cell/cell_detail.h"

#include <algorithm>
#include <numeric>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration minAppendTimeout { 600 };
    constexpr Duration maxAppendTimeout { 2'500 };
    constexpr std::uint32_t maxAppendsInFlight = 5; ///< Several appends may be unanswered, on a limited number of connections.
    constexpr std::size_t maxWritesPerAppend = 64;
    constexpr std::size_t maxAppendBytes = 1024 * 1024;
    constexpr std::uint32_t maxRefusedAttempts = 3; ///< A write that was certainly refused this often is given up; the client then retries later.
    constexpr Duration outcomeMargin { 20 }; ///< Writes end this long before their deadline, as the daemon's thread does not wake at every moment.

    const CallTraffic& jobsAppends(const CellNode& node, std::uint32_t partition)
    {
        static const CallTraffic none;
        const auto found = node.m_storeTraffic.m_partitions.find({ .m_topic = node.m_options.m_topics.m_jobs, .m_partition = partition });
        return found == node.m_storeTraffic.m_partitions.end() ? none : found->second.m_appends;
    }

    /** @return Estimated time to the answer of an append before the first one was answered: that of a read, with a margin as an append takes longer. */
    Duration initialLatencyOf(const CellNode& node)
    {
        constexpr Duration unknownLatency { 100 };
        return node.m_readLatency == Duration {} ? unknownLatency : node.m_readLatency * 3 / 2;
    }

    /** Ends a write; the writer then drops it from its queue. */
    void complete(PendingWrite& write, StoreStatus status)
    {
        if (write.m_onComplete)
            std::exchange(write.m_onComplete, nullptr)(status);
    }

    /** @return How often the time between appends is that of a single writer: while a slow store is written to by all daemons, each takes a share only. */
    std::int64_t shareDivisor(const CellNode& node, const DirectWriter& writer)
    {
        constexpr std::size_t concurrentWriters = 4; // So many can append at a time without the partition's queue growing.
        constexpr std::size_t unknownCellSize = 8; // A daemon that knows no leader does not know its peers yet.
        const std::vector<std::shared_ptr<PendingWrite>>& queue = writer.m_queue;
        const bool writesForPeers = std::any_of(queue.begin(), queue.end(), [](const auto& write) { return write->m_isForPeer; });
        if (isOwnClaim(node) || writesForPeers || !isJobsPartitionSlow(node, writer.m_partition))
            return 1;
        const std::size_t size = node.m_leader.m_token > 0 ? node.m_peers.size() + 1 : std::max(node.m_peers.size() + 1, unknownCellSize);
        return static_cast<std::int64_t>(std::max(size / concurrentWriters, std::size_t { 1 }));
    }

    /** @return How long the latest append that contains a write may stay unanswered before the write is sent again. It doubles from the third unanswered append on, so that a silent store gets few. */
    Duration resendDelay(const CellNode& node, const DirectWriter& writer)
    {
        constexpr Duration minDelay { 30 };
        constexpr std::uint32_t maxDoublings = 5;
        constexpr std::uint32_t maxDoublingsAfterReply = 2;
        const CallTraffic& appends = jobsAppends(node, writer.m_partition);
        const bool hasReplied = node.m_storeLastContactAt > appends.m_lastSentAt; // The answer is probably lost.
        const std::uint32_t doublings = appends.m_sentSinceAnswer > 2 ? std::min(appends.m_sentSinceAnswer - 2, hasReplied ? maxDoublingsAfterReply : maxDoublings) : 0;
        const Duration latency = answeredLatency(appends, initialLatencyOf(node));
        const std::int64_t appendsAhead = appends.m_sentSinceAnswer; // Earlier ones are overtaken, so their answers are lost.
        const Duration delay = std::max(minDelay, latency / 2 + latency * std::max<std::int64_t>(appendsAhead, 1));
        return std::max(delay, std::min(delay * (std::int64_t { 1 } << doublings), minAppendTimeout));
    }

    /** @return Whether new writes may be appended. A silent store gets no further ones, so that queued writes can still be refused with certainty. */
    bool mayStoreNewWrites(const CellNode& node, const DirectWriter& writer)
    {
        constexpr Duration slowLatency { 250 };
        return writer.m_appendsInFlight == 0 || jobsAppendLatency(node, writer.m_partition) >= slowLatency || node.m_storeLastContactAt > writer.m_lastSentAt;
    }

    std::size_t bytesOf(const PendingWrite& write)
    {
        return std::accumulate(write.m_records.begin(), write.m_records.end(), std::size_t {}, [](std::size_t sum, const KeyedRecord& record) { return sum + record.m_key.size() + record.m_value.size(); });
    }

    /** @return The writes that the next append holds: new ones, and those whose latest append has stayed unanswered for long. */
    std::vector<std::shared_ptr<PendingWrite>> selectDueWrites(const CellNode& node, const DirectWriter& writer)
    {
        const Duration delay = resendDelay(node, writer);
        const bool areNewAllowed = mayStoreNewWrites(node, writer);
        std::vector<std::shared_ptr<PendingWrite>> due;
        std::size_t bytes = 0;
        for (const auto& write : writer.m_queue) {
            const bool isNew = write->m_inFlight == 0 && !write->m_mayBeStored;
            const bool isDue = isNew ? areNewAllowed : write->m_inFlight == 0 || node.m_now - write->m_lastSentAt >= delay;
            const std::size_t writeBytes = bytesOf(*write);
            if (!isDue || due.size() >= maxWritesPerAppend || (!due.empty() && bytes + writeBytes > maxAppendBytes))
                continue;
            bytes += writeBytes;
            due.push_back(write);
        }
        return due;
    }

    void onAppendAnswer(CellNode& node, DirectWriter& writer, const std::vector<std::shared_ptr<PendingWrite>>& writes, StoreStatus status)
    {
        const bool isDone = status == StoreStatus::Done;
        updateStoreReachability(node, isDone);
        --writer.m_appendsInFlight;
        for (const auto& write : writes) {
            --write->m_inFlight;
            write->m_refusals += status == StoreStatus::NotDone ? 1 : 0;
            write->m_mayBeStored = write->m_mayBeStored || (!isDone && status != StoreStatus::NotDone);
            if (isDone)
                complete(*write, StoreStatus::Done);
        }
    }

    void sendAppendOf(CellNode& node, DirectWriter& writer, const std::vector<std::shared_ptr<PendingWrite>>& writes)
    {
        constexpr std::int64_t timeoutFactor = 4;
        StoreAppend append { .m_partition = { .m_topic = node.m_options.m_topics.m_jobs, .m_partition = writer.m_partition }, .m_records = {}, .m_writer = {}, .m_expectedEnd = {} };
        for (const auto& write : writes) {
            append.m_records.insert(append.m_records.end(), write->m_records.begin(), write->m_records.end());
            ++write->m_inFlight;
            write->m_lastSentAt = node.m_now;
        }
        ++writer.m_appendsInFlight;
        writer.m_lastSentAt = node.m_now;
        ++node.m_counters.m_appends;
        const std::int64_t appendsAhead = jobsAppends(node, writer.m_partition).m_sentSinceAnswer;
        const Duration timeout = std::clamp(jobsAppendLatency(node, writer.m_partition) * (timeoutFactor + appendsAhead), minAppendTimeout, maxAppendTimeout);
        sendAppend(node, append, timeout, [&node, &writer, writes](const StoreAppendAnswer& answer) { onAppendAnswer(node, writer, writes, answer.m_status); });
    }

    /** @return Whether a write can't be stored soon and has certainly not been stored: the partition has refused it, or the store is silent or out of reach. */
    bool isHopeless(const CellNode& node, const PendingWrite& write)
    {
        if (write.m_mayBeStored || write.m_inFlight > 0)
            return false;
        const bool isOutOfReach = !node.m_isStoreReached && write.m_relays + write.m_refusals > 0;
        const CallTraffic& appends = jobsAppends(node, write.m_partition);
        const StoreHealth health { .m_oldestAppendSentAt = appends.m_open.empty() ? std::nullopt : std::optional(appends.m_open.front()), .m_lastContactAt = node.m_storeLastContactAt };
        return write.m_refusals >= maxRefusedAttempts || isOutOfReach || decideAdmission(health, node.m_now) == Admission::Refuse;
    }

    /** Ends the writes whose deadline is over or that can't be stored. */
    void endWrites(CellNode& node, DirectWriter& writer)
    {
        const std::vector<std::shared_ptr<PendingWrite>> queue = writer.m_queue; // Callers may begin further writes.
        for (const auto& write : queue) {
            const bool isUncertain = write->m_mayBeStored || write->m_inFlight > 0;
            if (node.m_now + outcomeMargin >= write->m_deadline)
                complete(*write, isUncertain ? StoreStatus::Unknown : StoreStatus::NotDone);
            else if (isHopeless(node, *write))
                complete(*write, StoreStatus::NotDone);
        }
        std::erase_if(writer.m_queue, [](const auto& write) { return !write->m_onComplete; });
    }

    void stepWriter(CellNode& node, DirectWriter& writer)
    {
        endWrites(node, writer);
        // One append for each latency, whether earlier ones are answered or not: those that were given up may still occupy the partition.
        const CallTraffic& appends = jobsAppends(node, writer.m_partition);
        const bool isDue = node.m_now - appends.m_lastSentAt >= pauseBetweenAppends(appends, initialLatencyOf(node), shareDivisor(node, writer), node.m_now);
        if (writer.m_queue.empty() || writer.m_appendsInFlight >= maxAppendsInFlight || !isDue)
            return;
        const std::vector<std::shared_ptr<PendingWrite>> due = selectDueWrites(node, writer);
        if (!due.empty())
            sendAppendOf(node, writer, due);
    }

} // namespace

Duration jobsAppendLatency(const CellNode& node, std::uint32_t partition)
{
    return expectedLatency(jobsAppends(node, partition), initialLatencyOf(node), node.m_now);
}

bool isJobsPartitionSlow(const CellNode& node, std::uint32_t partition)
{
    constexpr Duration slowLatency { 100 };
    constexpr Duration memory { 3'000 }; // A latency that is older says nothing; the next append measures it.
    const CallTraffic& appends = jobsAppends(node, partition);
    const DirectWriter& writer = node.m_directWriters.at(partition);
    const bool isOwnRecent = node.m_now - appends.m_answeredAt <= memory;
    const bool isRelayedRecent = node.m_now - writer.m_relayedLatencyAt <= memory && writer.m_relayedLatencyAt.m_ms > 0;
    if (silenceOf(appends, node.m_now) > Duration {} || appends.m_refusalsInRow > 0 || (isOwnRecent && appends.m_answeredAt >= writer.m_relayedLatencyAt))
        return jobsAppendLatency(node, partition) >= slowLatency;
    return (isRelayedRecent ? writer.m_relayedLatency : node.m_readLatency * 3 / 2) >= slowLatency;
}

void enqueueDirectWrite(CellNode& node, std::shared_ptr<PendingWrite> write)
{
    std::vector<std::shared_ptr<PendingWrite>>& queue = node.m_directWriters.at(write->m_partition).m_queue;
    queue.push_back(std::move(write));
}

void stepDirectWriters(CellNode& node)
{
    for (DirectWriter& writer : node.m_directWriters)
        stepWriter(node, writer);
}

} // namespace bulrushloft::cell::detail
