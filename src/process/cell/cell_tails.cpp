/** @file cell_tails.cpp Topics that the daemon follows in the store. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/cell/leader_codec.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_codec.h"

#include <algorithm>
#include <unordered_set>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration callMargin { 700 }; ///< Beyond the wait that a read asks for.
    constexpr Duration listingTimeout { 4'000 }; ///< A page of many records may take long while the store is slow.
    constexpr Duration retryPause { 200 };
    constexpr Duration storeUnreached { 1'200 }; ///< Without an answer for longer the store counts as lost.

    /** Key of a job's cancellation in the topic of jobs. */
    constexpr char cancelMark = '!';

    void takeOperatorRecord(CellNode& node, const KeyedRecord& record)
    {
        takeClusterText(node, record.m_key + '\n' + record.m_value, "store");
    }

    void takeJobRecord(CellNode& node, const KeyedRecord& record)
    {
        if (!node.m_scheduler || record.m_value.empty())
            return;
        if (record.m_key.starts_with(cancelMark))
            return scheduler::cancelJob(*node.m_scheduler, record.m_key.substr(1), node.m_now);
        auto plan = decodePlan(record.m_value);
        if (!plan) {
            logEvent(LogLevel::Error, "job-record-unreadable", { { "key", record.m_key }, { "error", describe(plan.error()) } });
            return;
        }
        scheduler::acceptJob(*node.m_scheduler, std::move(*plan), node.m_now);
    }

    void dropWorker(CellNode& node, const std::string& id)
    {
        const TimePoint keptUntil = node.m_storeRegainedAt + node.m_options.m_unlistedGrace;
        if (node.m_now < keptUntil)
            node.m_pendingRemovals.emplace(id, keptUntil);
        else
            scheduler::removeWorker(*node.m_scheduler, id, node.m_now);
    }

    void takeWorkerRecord(CellNode& node, const KeyedRecord& record)
    {
        if (!node.m_scheduler)
            return;
        if (record.m_value.empty())
            return dropWorker(node, record.m_key);
        const auto notice = node.m_decoders.m_worker(record.m_key, record.m_value);
        if (!notice) {
            logEvent(LogLevel::Warning, "worker-record-unusable", { { "key", record.m_key.substr(0, 40) }, { "bytes", record.m_value.size() } });
            return scheduler::removeWorker(*node.m_scheduler, record.m_key, node.m_now);
        }
        node.m_pendingRemovals.erase(record.m_key);
        scheduler::updateWorker(*node.m_scheduler, *notice, node.m_now);
    }

    void takeLeaderRecord(CellNode& node, const KeyedRecord& record)
    {
        if (const auto member = decodeClaim(record.m_value))
            takeClaim(node, record.m_offset + 1, *member);
        else
            logEvent(LogLevel::Error, "claim-unreadable", { { "offset", record.m_offset } });
    }

    void takeRecord(CellNode& node, const TopicTail& tail, const KeyedRecord& record)
    {
        if (&tail == &node.m_operatorTail)
            takeOperatorRecord(node, record);
        else if (&tail == &node.m_leaderTail)
            takeLeaderRecord(node, record);
        else if (&tail == &node.m_jobsTail)
            takeJobRecord(node, record);
        else
            takeWorkerRecord(node, record);
    }

    /** Workers that a whole listing does not show are not announced any more. */
    void dropUnlisted(CellNode& node, const TopicTail& tail)
    {
        if (&tail != &node.m_workersTail || !node.m_scheduler)
            return;
        const std::unordered_set<std::string_view> listed(tail.m_listedKeys.begin(), tail.m_listedKeys.end());
        for (const scheduler::Worker& worker : node.m_scheduler->m_workers) {
            if (worker.m_isListed && !listed.contains(worker.m_notice.m_id))
                dropWorker(node, worker.m_notice.m_id);
        }
        if (std::exchange(node.m_scheduler->m_isBeginning, false))
            logEvent(LogLevel::Info, "workers-listed", { { "workers", listed.size() }, { "token", node.m_term } });
    }

    void onPage(CellNode& node, TopicTail& tail, const StoreNewestAnswer& page)
    {
        if (page.m_status != StoreStatus::Done) {
            failTry(tail.m_call, node.m_now + retryPause);
            return;
        }
        endCall(tail.m_call, node.m_now);
        if (!tail.m_listedEnd)
            tail.m_listedEnd = page.m_end;
        for (const KeyedRecord& record : page.m_records) {
            takeRecord(node, tail, record);
            tail.m_listedKeys.push_back(record.m_key);
        }
        if (page.m_hasMore && !page.m_records.empty()) {
            tail.m_after = page.m_records.back().m_key;
            return;
        }
        dropUnlisted(node, tail);
        tail.m_next = *tail.m_listedEnd;
        tail.m_isListing = false;
        tail.m_isCurrent = true;
        tail.m_currentAt = node.m_now;
        tail.m_listedKeys.clear();
        if (&tail == &node.m_leaderTail)
            confirmLeadership(node);
    }

    void onRead(CellNode& node, TopicTail& tail, const StoreReadAnswer& answer)
    {
        if (answer.m_status == StoreStatus::Expired)
            return resetTail(tail, true);
        if (answer.m_status != StoreStatus::Done) {
            failTry(tail.m_call, node.m_now + retryPause);
            return;
        }
        for (const KeyedRecord& record : answer.m_records)
            takeRecord(node, tail, record);
        tail.m_next += answer.m_records.size();
        const bool isAll = tail.m_next >= answer.m_end;
        if (isAll)
            tail.m_currentAt = node.m_now;
        endCall(tail.m_call, isAll ? node.m_now + tail.m_pause : node.m_now);
    }

    void stepTail(CellNode& node, TopicTail& tail)
    {
        // A store that is lost is asked without a wait, so that its return is seen soon.
        const Duration wait = node.m_isStoreReached && !tail.m_isListing ? tail.m_wait : Duration {};
        if (!tail.m_isWanted || !isTryDue(tail.m_call, wait + patienceWithStore(node, tail.m_call.m_triedAt), node.m_now))
            return;
        ++node.m_counters.m_reads;
        const auto isCurrentCall = [&node, &tail, position = beginTry(tail.m_call, node.m_now)](StoreStatus status) {
            noteStore(node, status == StoreStatus::Done || status == StoreStatus::Expired);
            return isOfCall(tail.m_call, position);
        };
        if (tail.m_isListing) {
            node.m_ports.m_newest({ .m_partition = tail.m_partition, .m_after = tail.m_after }, listingTimeout, [&node, &tail, isCurrentCall](const StoreNewestAnswer& page) {
                if (isCurrentCall(page.m_status))
                    onPage(node, tail, page);
            });
            return;
        }
        node.m_ports.m_read({ .m_partition = tail.m_partition, .m_from = tail.m_next, .m_wait = wait }, wait + callMargin, [&node, &tail, isCurrentCall](const StoreReadAnswer& answer) {
            if (isCurrentCall(answer.m_status))
                onRead(node, tail, answer);
        });
    }

    void removePending(CellNode& node)
    {
        std::erase_if(node.m_pendingRemovals, [&](const auto& entry) {
            if (node.m_now < entry.second)
                return false;
            if (node.m_scheduler)
                scheduler::removeWorker(*node.m_scheduler, entry.first, node.m_now);
            return true;
        });
    }

} // namespace

Duration patienceWithStore(const CellNode& node, TimePoint triedAt)
{
    constexpr Duration whileSilent { 500 };
    constexpr Duration whileAnswering { 2'500 }; // It is slow, and repeats would make it slower.
    return node.m_storeHeardAt > triedAt ? whileAnswering : whileSilent;
}

void resetTail(TopicTail& tail, bool isWanted)
{
    tail.m_isWanted = isWanted;
    endCall(tail.m_call, {});
    tail.m_isListing = true;
    tail.m_isCurrent = false;
    tail.m_after.clear();
    tail.m_listedEnd.reset();
    tail.m_listedKeys.clear();
}

void noteStore(CellNode& node, bool isReached)
{
    if (isReached) {
        if (!node.m_isStoreReached) {
            logEvent(LogLevel::Info, "store-regained", { { "lost_for_ms", (node.m_now - node.m_storeHeardAt).m_ms } });
            node.m_storeRegainedAt = node.m_now;
        }
        node.m_isStoreReached = true;
        node.m_storeHeardAt = node.m_now;
        return;
    }
    if (node.m_isStoreReached && node.m_now - node.m_storeHeardAt > storeUnreached) {
        node.m_isStoreReached = false;
        logEvent(LogLevel::Warning, "store-lost", { { "heard_ms_ago", (node.m_now - node.m_storeHeardAt).m_ms } });
    }
}

void takeClusterText(CellNode& node, const std::string& text, std::string_view source)
{
    const std::size_t split = text.find('\n');
    if (split == std::string::npos)
        return;
    const OperatorRecord record = node.m_decoders.m_operator(text.substr(0, split), text.substr(split + 1));
    const auto* const cluster = std::get_if<ClusterSettings>(&record);
    if (!cluster || (node.m_cluster && cluster->m_version <= node.m_cluster->m_version))
        return;
    logEvent(LogLevel::Info, "config-in-force", { { "version", cluster->m_version }, { "before", node.m_cluster ? node.m_cluster->m_version : 0 }, { "source", source }, { "queues", cluster->m_queues.size() } });
    node.m_cluster = std::make_shared<const ClusterSettings>(*cluster);
    node.m_clusterText = text;
    if (node.m_scheduler)
        scheduler::setCluster(*node.m_scheduler, *node.m_cluster);
}

void stepTails(CellNode& node)
{
    for (TopicTail* tail : { &node.m_leaderTail, &node.m_operatorTail, &node.m_jobsTail, &node.m_workersTail })
        stepTail(node, *tail);
    removePending(node);
}

} // namespace bulrushloft::cell::detail
