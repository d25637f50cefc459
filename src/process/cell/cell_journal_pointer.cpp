/** @file cell_journal_pointer.cpp The leader topic's word on which partitions hold the records of the cell: how a leader changes it, and how all take it over. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/scheduler/scheduler_func.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration pointerTimeout { 1'000 };
    constexpr Duration retryDelay { 100 };

    /** Takes it up that the leader topic names the partitions of the change. */
    void finishPointer(CellNode& node)
    {
        JournalMove& move = node.m_journalMove;
        const PointerChange change = std::move(*std::exchange(move.m_pointer, std::nullopt));
        node.m_journals = change.m_partitions;
        noteStoreAnswer(node.m_termLease.m_evidence, change.m_sentAtBoot);
        if (move.m_target)
            return finishJournalMove(node);
        move.m_foldBatch.reset();
        logEvent(LogLevel::Info, "journals-folded", { { "token", node.m_term }, { "journal", node.m_writerJournal } });
    }

    void onPointerAnswer(CellNode& node, const StoreAppendAnswer& answer)
    {
        if (answer.m_status == StoreStatus::Done)
            return finishPointer(node);
        failAttempt(node.m_journalMove.m_pointer->m_record.m_call, node.m_now + retryDelay);
        if (answer.m_status == StoreStatus::EndMismatch) // There is a record that this daemon has not read: a claim, or an attempt of this very change.
            endCall(node.m_leaderTail.m_call, node.m_now);
    }

    void sendPointer(CellNode& node, PointerChange& change)
    {
        const std::uint64_t callNumber = beginAttempt(change.m_record.m_call, node.m_now);
        sendAppend(node, change.m_record.m_append, pointerTimeout, [&node, callNumber, term = node.m_term, partitions = change.m_partitions](const StoreAppendAnswer& answer) {
            updateStoreReachability(node, answer.m_status == StoreStatus::Done || answer.m_status == StoreStatus::EndMismatch);
            const auto& current = node.m_journalMove.m_pointer;
            if (!node.m_scheduler || node.m_term != term || !current || current->m_partitions != partitions)
                return;
            if (answer.m_status == StoreStatus::Done || isAnswerToCall(current->m_record.m_call, callNumber))
                onPointerAnswer(node, answer);
        });
    }

    /** Makes the record of a change, under the condition that nothing follows what this daemon has read. */
    void preparePointer(CellNode& node, PointerChange& change)
    {
        const JournalPointer journal { .m_term = node.m_term, .m_partitions = change.m_partitions };
        change.m_record.m_append = { .m_partition = node.m_leaderTail.m_partition, .m_records = { { .m_key = claimKey, .m_value = encodeClaim(node.m_options.m_self, journal) } }, .m_writer = {}, .m_expectedEnd = node.m_leaderTail.m_nextOffset };
        endCall(change.m_record.m_call, node.m_now);
        change.m_sentAtBoot = node.m_lastBootTime;
        change.m_isSent = true;
    }

    /** Has all records written to the present partition, so that the earlier ones need not be read any more. */
    void beginFold(CellNode& node)
    {
        TermLease& lease = node.m_termLease;
        scheduler::markAllDirty(*node.m_scheduler);
        markWorkerCopiesDue(node);
        node.m_scheduler->m_learnedSamples = 0; // So that the record of what was learned is due as well.
        if (lease.m_evidence.m_isListStored && !lease.m_sentList && !lease.m_dueList)
            lease.m_dueList = lease.m_storedList;
        node.m_journalMove.m_foldBatch = node.m_scheduler->m_nextBatch;
    }

} // namespace

bool areClaimsAnswered(const CellNode& node)
{
    constexpr Duration recent { 1'500 };
    return node.m_leaderTail.m_isListingComplete && node.m_now - node.m_leaderTail.m_answeredAt <= recent;
}

bool isPointerPending(const CellNode& node)
{
    return node.m_journalMove.m_pointer && node.m_journalMove.m_pointer->m_isSent;
}

void applyJournalPointer(CellNode& node, const LeaderRecord& record)
{
    const auto& change = node.m_journalMove.m_pointer;
    const bool isOwn = isOwnClaim(node) && record.m_journal.m_term == node.m_term && isSelf(node, record.m_member);
    if (isOwn && change && change->m_isSent && record.m_journal.m_partitions == change->m_partitions)
        return finishPointer(node);
    node.m_journals = record.m_journal.m_partitions;
}

void stepPointer(CellNode& node)
{
    PointerChange& change = *node.m_journalMove.m_pointer;
    const bool isConditionOld = change.m_isSent && change.m_record.m_append.m_expectedEnd != node.m_leaderTail.m_nextOffset;
    if ((!change.m_isSent || isConditionOld) && !areClaimsAnswered(node))
        return;
    if (!change.m_isSent || isConditionOld)
        preparePointer(node, change);
    HedgedCall& call = change.m_record.m_call;
    if (isAttemptDue(call, leaderWriteHedgeDelay(node, call, node.m_leaderTail.m_partition), node.m_now))
        sendPointer(node, change);
}

void stepFold(CellNode& node)
{
    JournalMove& move = node.m_journalMove;
    const bool isDue = node.m_journals.size() > 1 && node.m_load.m_journals.empty() && !node.m_scheduler->m_areSubmissionsUnread;
    if (!isDue)
        return;
    if (!move.m_foldBatch)
        return beginFold(node);
    if (node.m_writer.m_confirmedBatch < *move.m_foldBatch)
        return;
    if (!move.m_pointer)
        move.m_pointer = PointerChange { .m_partitions = { node.m_writerJournal } };
    stepPointer(node);
}

} // namespace bulrushloft::cell::detail
