/**
 * @file cell_journal_move.cpp Change of the leader's records to another partition of the topic of progress while the one that it writes to is silent.
 *
 * The leader knows all that it has recorded. It fences some other partitions, takes the first that answers, deletes what earlier terms have
 * left there, and writes all records there. Then it appends a pointer to the leader topic, under the condition that no claim has been made
 * since. A later leader makes its claim under the same condition, so it knows the pointer, fences the partitions that it names, and reads them.
 *
 * Until the pointer is sent, the former partition is the one that counts; if it answers, the change is given up. From the snapshot on nothing
 * new is recorded until the change has ended, so that either partition holds all that the store has ever confirmed. Once the pointer has
 * been sent, answers of the former partition are no evidence any more that no later term has begun.
 */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/scheduler/learned_record.h"
#include "process/scheduler/scheduler_func.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration minSilence { 300 }; ///< The partition counts as silent when it has not answered an append for this long.
    constexpr std::int64_t silenceLatencies = 4; ///< The same on a slow store, as a multiple of its latency.
    constexpr Duration moveAfter { 600 }; ///< A silence of this length is worth writing all records again.
    constexpr Duration probeInterval { 150 }; ///< Time before further partitions are fenced beside those that have not answered; doubled with each round.
    constexpr std::uint32_t maxDoublings = 3;
    constexpr std::size_t probesPerRound = 3; ///< Most rounds find one that answers while three fifths of all partitions are silent.
    constexpr Duration fenceTimeout { 2'500 }; ///< An append waits at the store for 2 s at most; beyond that the store refuses it.
    constexpr Duration listingTimeout { 4'000 };
    constexpr Duration retryDelay { 100 };

    StorePartition journalPartition(const CellNode& node, std::uint32_t partition)
    {
        return { .m_topic = node.m_options.m_topics.m_progress, .m_partition = partition };
    }

    bool isMoveOfTerm(const CellNode& node, std::uint64_t term, std::uint32_t partition)
    {
        const JournalMove& move = node.m_journalMove;
        return node.m_scheduler && node.m_term == term && move.m_target && move.m_target->m_partition == partition;
    }

    /** @return For how long the partition written to has not answered an append that it should have answered by now. */
    Duration silenceOfJournal(const CellNode& node)
    {
        const auto since = oldestUnconfirmedSince(node.m_writer);
        return since ? node.m_now - *since : Duration {};
    }

    bool isJournalSilent(const CellNode& node)
    {
        return silenceOfJournal(node) > std::max(minSilence, node.m_writer.m_lastLatency * silenceLatencies) || node.m_writer.m_refusals > 0;
    }

    /** @return Whether the silence has lasted for so long that a change is worth its cost. */
    bool isMoveDue(const CellNode& node)
    {
        return silenceOfJournal(node) > std::max(moveAfter, node.m_writer.m_lastLatency * silenceLatencies);
    }

    bool isCandidate(const CellNode& node, std::uint32_t partition)
    {
        const JournalMove& move = node.m_journalMove;
        const auto isProbed = [&](const JournalProbe& probe) { return probe.m_partition == partition; };
        const bool isNamed = std::find(node.m_journals.begin(), node.m_journals.end(), partition) != node.m_journals.end();
        const bool isUsed = std::find(move.m_used.begin(), move.m_used.end(), partition) != move.m_used.end();
        return !isNamed && !isUsed && std::none_of(move.m_probes.begin(), move.m_probes.end(), isProbed);
    }

    /** Begins to fence further partitions, in the order of their numbers after the one that is written to. */
    void addProbes(CellNode& node)
    {
        JournalMove& move = node.m_journalMove;
        move.m_probedAt = node.m_now;
        ++move.m_rounds;
        std::size_t added = 0;
        for (std::uint32_t i = 1; i < node.m_options.m_journalPartitions && added < probesPerRound; ++i) {
            const std::uint32_t partition = (node.m_writerJournal + i) % node.m_options.m_journalPartitions;
            if (!isCandidate(node, partition))
                continue;
            move.m_probes.push_back({ .m_partition = partition, .m_fence = {} });
            ++added;
        }
    }

    void takeTarget(CellNode& node, std::uint32_t partition, Duration latency)
    {
        JournalMove& move = node.m_journalMove;
        JournalTarget target { .m_partition = partition, .m_writer = makePipeline(writerName, node.m_term), .m_answeredAt = node.m_now };
        target.m_writer.m_lastLatency = latency;
        move.m_target = std::move(target);
        move.m_pointer.reset();
        move.m_probes.clear();
        logEvent(LogLevel::Info, "journal-target", { { "token", node.m_term }, { "journal", node.m_writerJournal }, { "target", partition }, { "silent_ms", silenceOfJournal(node).m_ms }, { "probing_ms", (node.m_now - *move.m_probingSince).m_ms } });
    }

    void onProbeAnswer(CellNode& node, std::uint32_t partition, const StoreAppendAnswer& answer, TimePoint sentAt)
    {
        std::vector<JournalProbe>& probes = node.m_journalMove.m_probes;
        const auto probe = std::find_if(probes.begin(), probes.end(), [&](const JournalProbe& each) { return each.m_partition == partition; });
        if (probe == probes.end())
            return;
        if (answer.m_status == StoreStatus::Fenced)
            return stepDown(node, "fenced by the store: a later term exists");
        if (answer.m_status == StoreStatus::Done)
            return takeTarget(node, partition, node.m_now - sentAt);
        failAttempt(probe->m_fence, node.m_now + retryDelay);
    }

    void sendProbe(CellNode& node, JournalProbe& probe)
    {
        beginAttempt(probe.m_fence, node.m_now);
        const StoreAppend fence = fencingAppend(makePipeline(writerName, node.m_term), journalPartition(node, probe.m_partition));
        sendAppend(node, fence, fenceTimeout, [&node, term = node.m_term, partition = probe.m_partition, sentAt = node.m_now](const StoreAppendAnswer& answer) {
            updateStoreReachability(node, answer.m_status == StoreStatus::Done || answer.m_status == StoreStatus::Fenced);
            if (node.m_scheduler && node.m_term == term)
                onProbeAnswer(node, partition, answer, sentAt);
        });
    }

    void stepProbes(CellNode& node)
    {
        JournalMove& move = node.m_journalMove;
        if (!move.m_probingSince) {
            move.m_probingSince = node.m_now;
            move.m_confirmations = node.m_writer.m_confirmations;
            move.m_rounds = 0;
        }
        const Duration interval = probeInterval * (std::int64_t { 1 } << std::min(move.m_rounds, maxDoublings));
        if (move.m_probes.empty() || node.m_now - move.m_probedAt >= interval)
            addProbes(node);
        for (JournalProbe& probe : move.m_probes) {
            if (isAttemptDue(probe.m_fence, storeHedgeDelay(node, probe.m_fence.m_lastAttemptAt), node.m_now, 2))
                sendProbe(node, probe);
        }
    }

    /** Notes the keys that earlier terms have left in the target. */
    void onListing(CellNode& node, JournalTarget& target, const StoreNewestAnswer& page)
    {
        if (page.m_status != StoreStatus::Done)
            return failAttempt(target.m_listing, node.m_now + retryDelay);
        endCall(target.m_listing, node.m_now);
        target.m_answeredAt = node.m_now;
        for (const KeyedRecord& record : page.m_records)
            target.m_oldKeys.push_back(record.m_key);
        target.m_isListed = !page.m_hasMore || page.m_records.empty();
        if (!page.m_records.empty())
            target.m_after = page.m_records.back().m_key;
    }

    void listTarget(CellNode& node, JournalTarget& target)
    {
        if (!isAttemptDue(target.m_listing, storeHedgeDelay(node, target.m_listing.m_lastAttemptAt), node.m_now))
            return;
        const std::uint64_t callNumber = beginAttempt(target.m_listing, node.m_now);
        sendListing(node, { .m_partition = journalPartition(node, target.m_partition), .m_after = target.m_after }, listingTimeout, [&node, callNumber, term = node.m_term, partition = target.m_partition](const StoreNewestAnswer& page) {
            updateStoreReachability(node, page.m_status == StoreStatus::Done);
            if (isMoveOfTerm(node, term, partition) && isAnswerToCall(node.m_journalMove.m_target->m_listing, callNumber))
                onListing(node, *node.m_journalMove.m_target, page);
        });
    }

    /** @return All records of the leader, after the deletion of the keys that earlier terms have left in the target. */
    std::vector<KeyedRecord> makeSnapshot(const CellNode& node, const std::vector<std::string>& oldKeys)
    {
        std::vector<KeyedRecord> records;
        records.reserve(oldKeys.size());
        for (const std::string& key : oldKeys)
            records.push_back({ .m_key = key, .m_value = {} });
        if (node.m_role == Role::Loading) // It has no records to take along, and leaves those of the silent partitions where they are.
            return records;
        std::vector<KeyedRecord> state = scheduler::snapshotRecords(*node.m_scheduler);
        std::move(state.begin(), state.end(), std::back_inserter(records));
        records.push_back(scheduler::makeLearnedRecord(*node.m_scheduler));
        if (auto members = copyMemberList(node))
            records.push_back(std::move(*members));
        return records;
    }

    /** @return The partitions that the leader topic is to name: the target takes the place of the present one if the leader has all records. */
    std::vector<std::uint32_t> partitionsWith(const CellNode& node, std::uint32_t target)
    {
        std::vector<std::uint32_t> partitions = node.m_journals;
        if (node.m_role == Role::Leading && !node.m_scheduler->m_isProgressUnread)
            partitions.back() = target;
        else
            partitions.push_back(target);
        return partitions;
    }

    void queueSnapshot(CellNode& node, JournalTarget& target)
    {
        std::vector<KeyedRecord> records = makeSnapshot(node, target.m_oldKeys);
        target.m_records = records.size();
        target.m_coveredBatch = node.m_scheduler->m_nextBatch - 1;
        target.m_isSnapshotQueued = true;
        target.m_answeredAt = node.m_now;
        node.m_journalMove.m_pointer = PointerChange { .m_partitions = partitionsWith(node, target.m_partition) };
        node.m_journalMove.m_used.push_back(target.m_partition);
        if (!records.empty())
            pushRecords(node.m_recordParts, target.m_writer, journalPartition(node, target.m_partition), std::move(records), target.m_coveredBatch);
    }

    void sendSnapshot(CellNode& node, JournalTarget& target)
    {
        const PipelinedAppend* const next = beginSend(target.m_writer, node.m_storeLastContactAt, node.m_now);
        if (!next)
            return;
        ++node.m_counters.m_appends;
        sendAppend(node, next->m_append, appendTimeout(target.m_writer), [&node, term = node.m_term, partition = target.m_partition, attempt = next->m_latest](const StoreAppendAnswer& answer) {
            if (node.m_scheduler && node.m_term == term)
                onJournalAnswer(node, partition, attempt, answer);
        });
    }

    void dropTarget(JournalMove& move)
    {
        move.m_target.reset();
        move.m_pointer.reset();
    }

    /** @return Whether the target has not answered for so long that another one is to be found. */
    bool isTargetSilent(const CellNode& node, const JournalTarget& target)
    {
        constexpr Duration patience { 1'500 };
        constexpr std::int64_t latencies = 8;
        const bool isAsked = !target.m_isListed || !target.m_writer.m_queue.empty();
        return isAsked && !isPointerPending(node) && node.m_now - target.m_answeredAt > std::max(patience, target.m_writer.m_lastLatency * latencies);
    }

    /** Asks the partition written to once more: its earlier attempts may all be lost, although it answers by now. @return Whether it has had time to answer. */
    bool isSilenceChecked(CellNode& node, JournalTarget& target)
    {
        constexpr Duration answerTime { 100 };
        if (!target.m_checkedAt) {
            target.m_checkedAt = node.m_now;
            requestAttempt(node.m_writer);
        }
        return node.m_now - *target.m_checkedAt > std::max(answerTime, node.m_writer.m_lastLatency * 2);
    }

    void stepTarget(CellNode& node, JournalTarget& target)
    {
        if (isTargetSilent(node, target)) {
            logEvent(LogLevel::Info, "journal-target-silent", { { "token", node.m_term }, { "target", target.m_partition }, { "was_snapshot_queued", target.m_isSnapshotQueued } });
            dropTarget(node.m_journalMove);
            return;
        }
        if (!target.m_isListed)
            return listTarget(node, target);
        const bool isDue = node.m_role == Role::Loading || (isMoveDue(node) && isSilenceChecked(node, target));
        if (!target.m_isSnapshotQueued && isDue && areClaimsAnswered(node))
            queueSnapshot(node, target);
        if (!target.m_isSnapshotQueued)
            return;
        if (!target.m_writer.m_queue.empty())
            return sendSnapshot(node, target);
        stepPointer(node);
    }

} // namespace

void abandonJournalMove(CellNode& node)
{
    JournalMove& move = node.m_journalMove;
    if (move.m_target)
        logEvent(LogLevel::Info, "journal-answers", { { "token", node.m_term }, { "journal", node.m_writerJournal }, { "was_snapshot_queued", move.m_target->m_isSnapshotQueued } });
    dropTarget(move);
    move.m_probes.clear();
    move.m_probingSince.reset();
}

bool isJournalStuck(const CellNode& node)
{
    constexpr Duration recent { 500 }; // Shorter than the silence: others have answered meanwhile.
    return isMoveDue(node) && node.m_now - node.m_storeLastContactAt <= recent;
}

bool isRecordingPaused(const CellNode& node)
{
    return node.m_journalMove.m_target && node.m_journalMove.m_target->m_isSnapshotQueued;
}

bool isJournalAtFault(const CellNode& node)
{
    constexpr Duration recent { 1'200 };
    return node.m_journalMove.m_target && node.m_now - node.m_storeLastContactAt <= recent && areClaimsAnswered(node);
}

void finishJournalMove(CellNode& node)
{
    JournalMove& move = node.m_journalMove;
    JournalTarget target = std::move(*std::exchange(move.m_target, std::nullopt));
    logEvent(LogLevel::Warning, "journal-moved", { { "token", node.m_term }, { "from", node.m_writerJournal }, { "to", target.m_partition }, { "journals", node.m_journals.size() }, { "silent_ms", silenceOfJournal(node).m_ms }, { "records", target.m_records }, { "old_keys", target.m_oldKeys.size() } });
    move.m_probingSince.reset();
    move.m_used.push_back(node.m_writerJournal);
    node.m_writerJournal = target.m_partition;
    node.m_writer = std::move(target.m_writer);
    node.m_writer.m_confirmedBatch = target.m_coveredBatch;
    node.m_termLease.m_evidence.m_appendedAt.clear(); // They are of the former partition.
    markWorkerCopiesDue(node);
    if (node.m_role == Role::Loading)
        return leadWithoutSilent(node);
    scheduler::onRecorded(*node.m_scheduler, target.m_coveredBatch, node.m_now);
    notifyRecordWaiters(node);
}

void stepJournalChange(CellNode& node)
{
    if (node.m_journalMove.m_target)
        stepTarget(node, *node.m_journalMove.m_target);
    else
        stepProbes(node);
}

void stepJournalMove(CellNode& node)
{
    JournalMove& move = node.m_journalMove;
    if (!isActiveLeader(node))
        return;
    const bool isFoldSent = !move.m_target && isPointerPending(node); // Its outcome decides which partitions count, so no other change begins meanwhile.
    if (isFoldSent)
        return stepFold(node);
    const bool hasAnswered = move.m_probingSince && node.m_writer.m_confirmations != move.m_confirmations;
    if (move.m_probingSince && hasAnswered && !isPointerPending(node))
        return abandonJournalMove(node);
    if (move.m_target || isJournalSilent(node))
        stepJournalChange(node);
    else
        stepFold(node);
}

} // namespace bulrushloft::cell::detail
