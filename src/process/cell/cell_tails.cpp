/** @file cell_tails.cpp Follows topics of the store: lists and reads their records and applies them. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/cell/leader_codec.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_codec.h"

#include <algorithm>
#include <unordered_set>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration readMargin { 700 }; ///< Added to a read's long-poll wait for the answer to arrive; doubled with each read that fails.
    constexpr Duration maxReadMargin { 4'000 }; ///< Enough for a large answer on a slow link or VM. Configurations get it at once; hedging covers a silent store.
    constexpr Duration listingTimeout { 4'000 }; ///< A page of many records may take long when the store is slow.
    constexpr Duration claimsHedgeDelay { 500 }; ///< Small records; without them nobody can lead.
    constexpr Duration retryDelay { 200 };
    constexpr Duration storeSilenceLimit { 1'200 }; ///< A store without an answer for longer is considered lost.

    void applyOperatorRecord(CellNode& node, const KeyedRecord& record)
    {
        const ConfigRecord applied = applyClusterText(node, record.m_key + '\n' + record.m_value, "store");
        if (applied == ConfigRecord::InForce)
            onConfigReadable(node.m_configFreshness);
        if (applied != ConfigRecord::Unreadable)
            return;
        logEvent(LogLevel::Warning, "config-unreadable", { { "offset", record.m_offset }, { "version_in_force", configVersionOf(node) }, { "bytes", record.m_value.size() } });
        onConfigUnreadable(node.m_configFreshness, configVersionOf(node));
    }

    void applyJobRecord(CellNode& node, const KeyedRecord& record)
    {
        if (!node.m_scheduler || record.m_value.empty())
            return;
        const bool isCancellation = record.m_key.starts_with(cancelPrefix);
        const std::string id = isCancellation ? record.m_key.substr(1) : record.m_key;
        scheduler::noteStored(*node.m_scheduler, id, record.m_offset + 1);
        if (isCancellation) {
            node.m_jobDeletions.m_cancelled.insert(id);
            return scheduler::cancelJob(*node.m_scheduler, id, node.m_now);
        }
        auto plan = decodePlan(record.m_value);
        if (!plan) {
            logEvent(LogLevel::Error, "job-record-unreadable", { { "key", record.m_key }, { "error", describe(plan.error()) } });
            return;
        }
        scheduler::acceptJob(*node.m_scheduler, std::move(*plan), node.m_now);
    }

    void applyCancellationCopy(CellNode& node, const KeyedRecord& record)
    {
        if (node.m_scheduler && !record.m_value.empty() && record.m_key.starts_with(cancelPrefix))
            scheduler::cancelJob(*node.m_scheduler, record.m_key.substr(1), node.m_now);
    }

    void withdrawWorker(CellNode& node, const std::string& id)
    {
        scheduler::removeWorker(*node.m_scheduler, id, node.m_now);
        noteWorkerChanged(node, id);
    }

    /** Removes a worker that is no longer announced; after a store outage only when the grace period ends, as its announcement may have expired during the outage. */
    void removeAfterGrace(CellNode& node, const std::string& id)
    {
        const TimePoint keptUntil = node.m_storeRecoveredAt + node.m_options.m_workerRemovalGrace;
        if (node.m_now < keptUntil)
            node.m_pendingRemovals.emplace(id, keptUntil);
        else
            withdrawWorker(node, id);
    }

    void applyWorkerRecord(CellNode& node, const KeyedRecord& record)
    {
        if (!node.m_scheduler)
            return;
        if (record.m_value.empty())
            return removeAfterGrace(node, record.m_key);
        const auto announcement = node.m_decoders.m_worker(record.m_key, record.m_value);
        if (!announcement) {
            logEvent(LogLevel::Warning, "worker-record-unusable", { { "key", record.m_key.substr(0, 40) }, { "bytes", record.m_value.size() } });
            return withdrawWorker(node, record.m_key);
        }
        node.m_pendingRemovals.erase(record.m_key);
        scheduler::updateWorker(*node.m_scheduler, *announcement, node.m_now);
        noteWorkerChanged(node, record.m_key);
    }

    void applyLeaderRecord(CellNode& node, const KeyedRecord& record)
    {
        const auto decoded = decodeClaim(record.m_value);
        if (!decoded)
            return logEvent(LogLevel::Error, "claim-unreadable", { { "offset", record.m_offset } });
        if (record.m_offset < node.m_leaderRecordsEnd) // A listing, or the answer to the claim itself, has shown it before.
            return;
        applyClaim(node, decoded->m_journal.m_term > 0 ? decoded->m_journal.m_term : record.m_offset + 1, decoded->m_member);
        node.m_leaderRecordsEnd = record.m_offset + 1;
        applyJournalPointer(node, *decoded);
    }

    void applyRecord(CellNode& node, const TopicTail& tail, const KeyedRecord& record)
    {
        if (&tail == &node.m_operatorTail)
            applyOperatorRecord(node, record);
        else if (&tail == &node.m_leaderTail)
            applyLeaderRecord(node, record);
        else if (&tail == &node.m_jobsTail)
            applyJobRecord(node, record);
        else if (&tail == &node.m_cancellationsTail)
            applyCancellationCopy(node, record);
        else
            applyWorkerRecord(node, record);
    }

    /** Removes the workers that a complete listing does not contain, as they are no longer announced. */
    void removeUnlisted(CellNode& node, const TopicTail& tail)
    {
        if (&tail != &node.m_workersTail || !node.m_scheduler)
            return;
        const std::unordered_set<std::string_view> listed(tail.m_listedKeys.begin(), tail.m_listedKeys.end());
        for (const scheduler::Worker& worker : node.m_scheduler->m_workers) {
            if (worker.m_isAnnounced && !listed.contains(worker.m_announcement.m_id))
                removeAfterGrace(node, worker.m_announcement.m_id);
        }
    }

    /** @param askedAt When the page was requested, as in TermEvidence. */
    void onPage(CellNode& node, TopicTail& tail, const StoreNewestAnswer& page, TimePoint askedAt)
    {
        if (page.m_status != StoreStatus::Done) {
            failAttempt(tail.m_call, node.m_now + retryDelay);
            return;
        }
        endCall(tail.m_call, node.m_now);
        const std::uint64_t nextCall = tail.m_call.m_callNumber;
        tail.m_answeredAt = node.m_now;
        if (!tail.m_listedEnd)
            tail.m_listedEnd = page.m_end;
        for (const KeyedRecord& record : page.m_records) {
            applyRecord(node, tail, record);
            tail.m_listedKeys.push_back(record.m_key);
        }
        if (!isAnswerToCall(tail.m_call, nextCall)) // A record has had the tail reset.
            return;
        if (page.m_hasMore && !page.m_records.empty()) {
            tail.m_after = page.m_records.back().m_key;
            return;
        }
        removeUnlisted(node, tail);
        tail.m_nextOffset = *tail.m_listedEnd;
        tail.m_isListing = false;
        tail.m_isListingComplete = true;
        tail.m_listedKeys.clear();
        if (&tail == &node.m_leaderTail)
            confirmLeadership(node, askedAt);
        if (&tail == &node.m_workersTail)
            finishInitialLoad(node);
    }

    /** Load: configurations of 2,000 queues in quick succession; decoding each takes a VM of 0.09 cores 0.2 s. @return Whether a later record has the same key. */
    bool isSuperseded(std::vector<KeyedRecord>::const_iterator record, std::vector<KeyedRecord>::const_iterator end)
    {
        return std::any_of(std::next(record), end, [&](const KeyedRecord& later) { return later.m_key == record->m_key; });
    }

    /** Notes that a read has shown no claim beyond those known; each attempt's answer counts, also after another attempt was answered. */
    void noteClaimsRead(CellNode& node, const TopicTail& tail, const StoreReadAnswer& answer, TimePoint askedAt)
    {
        const bool showsAllKnown = answer.m_status == StoreStatus::Done && !tail.m_isListing && answer.m_end <= tail.m_nextOffset;
        if (showsAllKnown && &tail == &node.m_leaderTail && isOwnClaim(node))
            noteStoreAnswer(node.m_termLease.m_evidence, askedAt);
    }

    /** @param askedAt When the read was sent, as in TermEvidence. */
    void onRead(CellNode& node, TopicTail& tail, const StoreReadAnswer& answer, TimePoint askedAt)
    {
        if (answer.m_status == StoreStatus::Expired)
            return resetTail(tail, true);
        if (answer.m_status != StoreStatus::Done) {
            ++tail.m_failedReads;
            failAttempt(tail.m_call, node.m_now + retryDelay);
            return;
        }
        tail.m_failedReads = 0;
        tail.m_answeredAt = node.m_now;
        const std::uint64_t call = tail.m_call.m_callNumber;
        for (auto record = answer.m_records.begin(); record != answer.m_records.end(); ++record) {
            if (&tail != &node.m_operatorTail || !isSuperseded(record, answer.m_records.end()))
                applyRecord(node, tail, *record);
        }
        if (!isAnswerToCall(tail.m_call, call)) // A record has had the tail reset.
            return;
        tail.m_nextOffset += answer.m_records.size();
        const bool isCaughtUp = tail.m_nextOffset >= answer.m_end;
        tail.m_isCaughtUp = tail.m_isCaughtUp || isCaughtUp;
        if (isCaughtUp)
            tail.m_upToDateAt = askedAt;
        if (isCaughtUp && &tail == &node.m_operatorTail)
            noteConfigRead(node.m_configFreshness, askedAt);
        endCall(tail.m_call, isCaughtUp ? node.m_now + tail.m_pollDelay : node.m_now);
    }

    /** @return Time for the answer of a tail's next read, without its wait: an answer that is lost must not hold up the tail, and one that takes long must arrive some time. */
    Duration marginOf(const CellNode& node, const TopicTail& tail)
    {
        constexpr std::uint32_t maxDoublings = 3;
        if (&tail == &node.m_operatorTail)
            return maxReadMargin;
        return std::min(readMargin * (std::int64_t { 1 } << std::min(tail.m_failedReads, maxDoublings)), maxReadMargin);
    }

    /** Logs a read that failed or took long, once a second for each topic. @param wait How long the store was allowed to hold the answer. */
    void reportSlowRead(const CellNode& node, TopicTail& tail, StoreStatus status, TimePoint sentAt, Duration wait)
    {
        constexpr Duration slowThreshold { 1'000 };
        constexpr Duration reportInterval { 1'000 };
        const bool isDone = status == StoreStatus::Done;
        const Duration took = node.m_now - sentAt - wait;
        if ((isDone && took < slowThreshold) || node.m_now < tail.m_nextReportAt)
            return;
        tail.m_nextReportAt = node.m_now + reportInterval;
        logEvent(LogLevel::Info, "read-slow", { { "topic", tail.m_partition.m_topic }, { "part", tail.m_partition.m_partition }, { "took_ms", took.m_ms }, { "is_answered", isDone }, { "is_listing", tail.m_isListing }, { "in_flight", tail.m_call.m_inFlight }, { "failed_reads", tail.m_failedReads }, { "next_offset", tail.m_nextOffset }, { "up_to_date_ms_ago", (node.m_lastBootTime - tail.m_upToDateAt).m_ms } });
    }

    /** @return Whether a tail is that of the claims and this daemon leads, so that its answers show that it still does. */
    bool isEvidenceTail(const CellNode& node, const TopicTail& tail)
    {
        return &tail == &node.m_leaderTail && node.m_role == Role::Leading;
    }

    /** @return How long the store may hold the answer to a leader's next read of submissions: the time counts against m_maxJobsStaleness, and so does that of the read after it. */
    Duration jobsWaitOf(const CellNode& node)
    {
        constexpr std::int64_t readsPerLimit = 5;
        const TopicTail& tail = node.m_jobsTail;
        const Duration limit = node.m_options.m_maxJobsStaleness;
        const bool isOld = node.m_lastBootTime - tail.m_upToDateAt > limit / 2;
        return isOld ? Duration {} : std::min(tail.m_wait, limit / readsPerLimit);
    }

    /** @return How long the store may hold the answer to a tail's next read. */
    Duration waitOf(const CellNode& node, const TopicTail& tail)
    {
        // A lost store is polled without a wait, so that its recovery is noticed soon; so is one that may have more than was listed.
        if (!node.m_isStoreReached || !tail.m_isCaughtUp)
            return {};
        if (&tail == &node.m_jobsTail)
            return jobsWaitOf(node);
        constexpr std::int64_t configReadsPerLimit = 4; // Evidence counts from the request, so that a lost answer and its repeat must pass within the limit.
        if (&tail == &node.m_operatorTail && node.m_options.m_keyRevocation)
            return std::min(tail.m_wait, acceptanceTime(*node.m_options.m_keyRevocation) / configReadsPerLimit);
        if (!isEvidenceTail(node, tail))
            return tail.m_wait;
        constexpr std::int64_t readsPerLimit = 6; // Evidence counts from the request, so two waits, and a lost answer, must pass within the limit.
        const TermLeaseOptions& options = node.m_options.m_termLease;
        const bool isOld = isStoreEvidenceOld(node.m_termLease.m_evidence, options, node.m_lastBootTime);
        return isOld ? Duration {} : std::min(tail.m_wait, options.m_renewalLimit / readsPerLimit);
    }

    /**
     * Only the operator's partition may be silent, and a read that is lost as it falls silent must not keep a VM from a version that is written once it answers
     * again: with its wait, a read is repeated well within the 3 s after which VMs must know it. A slow store or link gets fewer repeats.
     * @return How long the latest read of the operator's topic may stay unanswered, beyond its wait, while the store answers other calls.
     */
    Duration configHedgeDelay(const CellNode& node)
    {
        constexpr Duration minDelay { 1'000 }; // A configuration of 256 KB takes a link of 2 Mbit/s as long.
        constexpr std::int64_t latencyMultiple = 8;
        return std::max(minDelay, node.m_readLatency * latencyMultiple);
    }

    /** @return How long a tail's latest read may stay unanswered, beyond its wait, before it is sent again in parallel. */
    Duration tailHedgeDelay(const CellNode& node, const TopicTail& tail)
    {
        constexpr Duration evidenceHedgeDelay { 300 };
        const Duration delay = storeHedgeDelay(node, tail.m_call.m_lastAttemptAt);
        if (&tail == &node.m_operatorTail)
            return std::min(delay, configHedgeDelay(node));
        if (&tail != &node.m_leaderTail)
            return delay;
        return std::min(delay, isEvidenceTail(node, tail) ? evidenceHedgeDelay : claimsHedgeDelay);
    }

    /** @return Attempts of a tail's call that may be in flight. Those of the claims are sent until the first of them has timed out, as nobody leads until one is answered. */
    std::uint32_t maxInFlightOf(const CellNode& node, const TopicTail& tail)
    {
        constexpr auto claimListings = static_cast<std::uint32_t>(listingTimeout.m_ms / claimsHedgeDelay.m_ms);
        return &tail == &node.m_leaderTail ? std::max(defaultMaxInFlight, claimListings) : defaultMaxInFlight;
    }

    void stepTail(CellNode& node, TopicTail& tail)
    {
        const Duration wait = waitOf(node, tail);
        if (!tail.m_isFollowed || !isAttemptDue(tail.m_call, wait + tailHedgeDelay(node, tail), node.m_now, maxInFlightOf(node, tail)))
            return;
        ++node.m_counters.m_reads;
        // Updates the store's reachability and tells whether the answer belongs to the current call.
        const auto checkAnswer = [&node, &tail, wait, sentAt = node.m_now, callNumber = beginAttempt(tail.m_call, node.m_now)](StoreStatus status) {
            updateStoreReachability(node, status == StoreStatus::Done || status == StoreStatus::Expired);
            if (status == StoreStatus::Done && wait == Duration {})
                node.m_readLatency = node.m_now - sentAt;
            reportSlowRead(node, tail, status, sentAt, wait);
            return isAnswerToCall(tail.m_call, callNumber);
        };
        const TimePoint askedAt = node.m_lastBootTime;
        if (tail.m_isListing) {
            sendListing(node, { .m_partition = tail.m_partition, .m_after = tail.m_after }, listingTimeout, [&node, &tail, checkAnswer, askedAt](const StoreNewestAnswer& page) {
                if (checkAnswer(page.m_status))
                    onPage(node, tail, page, askedAt);
            });
            return;
        }
        sendRead(node, { .m_partition = tail.m_partition, .m_from = tail.m_nextOffset, .m_wait = wait }, wait + marginOf(node, tail), [&node, &tail, checkAnswer, askedAt](const StoreReadAnswer& answer) {
            if (checkAnswer(answer.m_status))
                onRead(node, tail, answer, askedAt);
            noteClaimsRead(node, tail, answer, askedAt);
        });
    }

    /**
     * Lists the newest configuration after an outage, instead of reading all that were written meanwhile.
     * Load: several configurations of 256 KB each, on links of 2 to 10 Mbit/s; the history would take longer than a read may.
     */
    void relistConfig(CellNode& node)
    {
        if (!node.m_operatorTail.m_isListing && node.m_lastBootTime - node.m_operatorTail.m_upToDateAt > storeSilenceLimit)
            resetTail(node.m_operatorTail, true);
    }

    void removeDueWorkers(CellNode& node)
    {
        std::erase_if(node.m_pendingRemovals, [&](const auto& entry) {
            if (node.m_now < entry.second)
                return false;
            if (node.m_scheduler)
                withdrawWorker(node, entry.first);
            return true;
        });
    }

    /**
     * How long the latest attempt of an append may stay unanswered on a store that answers fast. From the third attempt on it doubles, so that a silent
     * store gets few; only twice when the store has answered another call since, as the answer is then probably lost.
     */
    Duration fastHedgeDelay(const CellNode& node, const HedgedCall& call)
    {
        constexpr Duration initialDelay { 100 }; // Before the first answer the latency is not known.
        constexpr Duration minDelay { 30 };
        constexpr std::int64_t latencyMultiple = 4;
        constexpr std::uint32_t maxDoublings = 5;
        constexpr std::uint32_t maxDoublingsAfterReply = 2;
        const Duration delay = node.m_appendLatency == Duration {} ? initialDelay : std::max(minDelay, node.m_appendLatency * latencyMultiple);
        const bool hasReplied = node.m_storeLastContactAt > call.m_lastAttemptAt;
        const std::uint32_t doublings = call.m_attempts > 2 ? std::min(call.m_attempts - 2, hasReplied ? maxDoublingsAfterReply : maxDoublings) : 0;
        return delay * (std::int64_t { 1 } << doublings);
    }

} // namespace

Duration storeHedgeDelay(const CellNode& node, TimePoint lastAttemptAt)
{
    constexpr Duration delayWhileSilent { 500 };
    constexpr Duration delayWhileAnswering { 2'500 }; // The store is slow, and repeats would slow it further.
    return node.m_storeLastContactAt > lastAttemptAt ? delayWhileAnswering : delayWhileSilent;
}

Duration leaderWriteHedgeDelay(const CellNode& node, const HedgedCall& call, const StorePartition& partition)
{
    constexpr Duration slowLatency { 100 }; // Attempts that take at least this long wait for each other in the partition.
    constexpr Duration maxLatency { 500 }; // Longer ones include the time that others' appends took, which may be over.
    constexpr std::int64_t silenceLatencies = 4;
    const auto traffic = node.m_storeTraffic.m_partitions.find(partition);
    const Duration known = traffic == node.m_storeTraffic.m_partitions.end() ? Duration {} : traffic->second.m_appends.m_latency;
    const Duration latency = std::min(known == Duration {} ? node.m_appendLatency : known, maxLatency);
    if (latency < slowLatency)
        return fastHedgeDelay(node, call);
    const bool isStoreAnswering = node.m_now - node.m_storeLastContactAt <= latency * silenceLatencies;
    const Duration delay = latency * 3 / 4; // Four attempts, one of which is nearly always answered, take little more than three latencies.
    return isStoreAnswering || call.m_attempts <= 2 ? delay : delay * 2;
}

void resetTail(TopicTail& tail, bool isFollowed)
{
    tail.m_isFollowed = isFollowed;
    endCall(tail.m_call, {});
    tail.m_isListing = true;
    tail.m_isListingComplete = false;
    tail.m_isCaughtUp = false;
    tail.m_after.clear();
    tail.m_listedEnd.reset();
    tail.m_listedKeys.clear();
}

void requireJobsRead(CellNode& node)
{
    node.m_jobsTail.m_upToDateAt = {};
    endCall(node.m_jobsTail.m_call, node.m_now);
}

void updateStoreReachability(CellNode& node, bool isReached)
{
    if (isReached) {
        if (!node.m_isStoreReached) {
            logEvent(LogLevel::Info, "store-recovered", { { "outage_ms", (node.m_now - node.m_storeLastContactAt).m_ms } });
            node.m_storeRecoveredAt = node.m_now;
            relistConfig(node);
        }
        node.m_isStoreReached = true;
        node.m_storeLastContactAt = node.m_now;
        return;
    }
    if (node.m_isStoreReached && node.m_now - node.m_storeLastContactAt > storeSilenceLimit) {
        node.m_isStoreReached = false;
        logEvent(LogLevel::Warning, "store-lost", { { "last_reply_ms_ago", (node.m_now - node.m_storeLastContactAt).m_ms } });
    }
}

void finishInitialLoad(CellNode& node)
{
    if (node.m_role != Role::Leading || !node.m_workersTail.m_isListingComplete || !std::exchange(node.m_scheduler->m_isInitialLoad, false))
        return;
    logEvent(LogLevel::Info, "workers-announced", { { "workers", node.m_scheduler->m_workers.size() }, { "token", node.m_term } });
}

ConfigRecord applyClusterText(CellNode& node, const std::string& text, std::string_view source)
{
    const std::size_t separator = text.find('\n');
    if (separator == std::string::npos)
        return ConfigRecord::Other;
    if (text == node.m_clusterText)
        return ConfigRecord::InForce;
    const OperatorRecord record = node.m_decoders.m_operator(text.substr(0, separator), text.substr(separator + 1));
    const auto* const cluster = std::get_if<ClusterSettings>(&record);
    if (!cluster)
        return std::holds_alternative<UnreadableCluster>(record) ? ConfigRecord::Unreadable : ConfigRecord::Other;
    if (node.m_cluster && cluster->m_version <= node.m_cluster->m_version)
        return ConfigRecord::Older;
    logEvent(LogLevel::Info, "config-in-force", { { "version", cluster->m_version }, { "previous_version", node.m_cluster ? node.m_cluster->m_version : 0 }, { "source", source }, { "queues", cluster->m_queues.size() } });
    node.m_cluster = std::make_shared<const ClusterSettings>(*cluster);
    node.m_customers = makeCustomerIndex(node.m_cluster);
    node.m_clusterText = text;
    if (node.m_scheduler)
        scheduler::setCluster(*node.m_scheduler, *node.m_cluster);
    onConfigInForce(node.m_configFreshness, node.m_cluster->m_version);
    return ConfigRecord::InForce;
}

void stepTails(CellNode& node)
{
    for (TopicTail* tail : { &node.m_leaderTail, &node.m_operatorTail, &node.m_jobsTail, &node.m_cancellationsTail, &node.m_workersTail })
        stepTail(node, *tail);
    removeDueWorkers(node);
}

} // namespace bulrushloft::cell::detail
