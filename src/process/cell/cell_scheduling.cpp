/** @file cell_scheduling.cpp Runs the leader's scheduler: performs its effects and writes its progress to the store. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/scheduler/learned_record.h"
#include "process/scheduler/scheduler_func.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration approvalTimeout { 2'500 };
    constexpr std::size_t maxAppendBytes = 1024 * 1024;
    constexpr Duration slowAppendThreshold { 200 }; ///< Appends that take longer from their first attempt on are logged.

    /** @return Whether an answer belongs to the current term. */
    bool isCurrentTerm(const CellNode& node, std::uint64_t term)
    {
        return node.m_scheduler && node.m_term == term;
    }

    void applyEffects(CellNode& node, const scheduler::SchedulerEffects& effects);

    /** Passes an answer to the scheduler unless its term has ended. @param handler Called with the effects to fill. */
    template <typename Handler>
    void handleAnswer(CellNode& node, std::uint64_t term, Handler handler)
    {
        if (!isCurrentTerm(node, term))
            return;
        scheduler::SchedulerEffects effects;
        handler(effects);
        applyEffects(node, effects);
    }

    void sendSync(CellNode& node, const AddressedOrder<SyncOrder>& sync)
    {
        const TimePoint sentAt = node.m_now;
        dispatchOrder(node, sync.m_to, sync.m_order, sync.m_timeout, [&node, sentAt, term = node.m_term, id = sync.m_to.m_worker](OrderStatus status, const SyncReport& report) {
            handleAnswer(node, term, [&](scheduler::SchedulerEffects& effects) { scheduler::onSyncAnswer(*node.m_scheduler, id, status, report, sentAt, node.m_now, effects); });
        });
    }

    void sendStart(CellNode& node, const AddressedOrder<StartOrder>& start)
    {
        dispatchOrder(node, start.m_to, start.m_order, start.m_timeout, [&node, term = node.m_term, id = start.m_to.m_worker, task = start.m_order.m_task, attempt = start.m_order.m_attempt](OrderStatus status, const SyncReport& report) {
            handleAnswer(node, term, [&](scheduler::SchedulerEffects& effects) { scheduler::onStartAnswer(*node.m_scheduler, id, task, attempt, { .m_status = status, .m_clockMs = report.m_clockMs }, node.m_now, effects); });
        });
    }

    void sendStop(CellNode& node, const AddressedOrder<StopOrder>& stop)
    {
        dispatchOrder(node, stop.m_to, stop.m_order, stop.m_timeout, [&node, term = node.m_term, id = stop.m_to.m_worker, task = stop.m_order.m_task, attempt = stop.m_order.m_attempt](OrderStatus status, const SyncReport&) {
            handleAnswer(node, term, [&](scheduler::SchedulerEffects& effects) { scheduler::onStopAnswer(*node.m_scheduler, id, task, attempt, status, node.m_now, effects); });
        });
    }

    void handleApprovals(CellNode& node, std::uint64_t term, TimePoint sentAt, const scheduler::ApprovalRequest& request, const std::optional<std::vector<Approval>>& approvals)
    {
        if (!isCurrentTerm(node, term))
            return;
        if (approvals)
            noteApprovalTime(node, request, sentAt);
        scheduler::onApprovals(*node.m_scheduler, request, approvals, node.m_now);
    }

    void sendApprovalRequest(CellNode& node, const scheduler::ApprovalRequest& request)
    {
        const std::uint64_t term = node.m_term;
        const TimePoint sentAt = node.m_now;
        if (request.m_member == node.m_options.m_self.m_name) {
            node.m_ports.m_requestApprovals(request.m_step, request.m_workers, approvalTimeout, [&node, term, sentAt, request](const std::optional<std::vector<Approval>>& approvals) { handleApprovals(node, term, sentAt, request, approvals); });
            return;
        }
        const auto peer = node.m_peers.find(request.m_member);
        if (peer == node.m_peers.end())
            return handleApprovals(node, term, sentAt, request, std::nullopt);
        node.m_ports.m_callPeer(peer->second.m_member.m_address, PeerApprovalRequest { .m_step = request.m_step, .m_workers = request.m_workers }, approvalTimeout, [&node, term, sentAt, request](const std::optional<PeerReply>& reply) {
            if (!reply)
                markPeerFailed(node, request.m_member);
            const auto* const answer = reply ? std::get_if<PeerApprovalAnswer>(&*reply) : nullptr;
            handleApprovals(node, term, sentAt, request, answer && answer->m_isAnswered ? std::optional(answer->m_approvals) : std::nullopt);
        });
    }

    void perform(CellNode& node, const scheduler::SchedulerEffects& effects)
    {
        for (const auto& stop : effects.m_stops)
            sendStop(node, stop);
        for (const auto& start : effects.m_starts)
            sendStart(node, start);
        for (const auto& sync : effects.m_syncs)
            sendSync(node, sync);
        for (const auto& request : effects.m_approvalRequests)
            sendApprovalRequest(node, request);
        for (const auto& pace : effects.m_paces)
            node.m_ports.m_pace(pace, pace.m_timeout, [](OrderStatus) { /* The next latency measurement shows whether it had an effect. */ });
    }

    void applyEffects(CellNode& node, const scheduler::SchedulerEffects& effects)
    {
        if (effects.m_isFenced) {
            logEvent(LogLevel::Warning, "fenced-by-worker", { { "token", node.m_term } });
            requireConfirmation(node);
        }
        if (isActiveLeader(node))
            perform(node, effects);
    }

    /** Queues the records of a batch. */
    void enqueueBatch(CellNode& node)
    {
        const std::uint64_t batch = node.m_scheduler->m_nextBatch;
        std::vector<KeyedRecord> records = scheduler::takeRecords(*node.m_scheduler);
        if (auto learned = scheduler::takeLearnedRecord(*node.m_scheduler, node.m_now))
            records.push_back(std::move(*learned));
        if (auto members = takeMemberList(node, batch))
            records.push_back(std::move(*members));
        for (KeyedRecord& copy : takeWorkerCopies(node))
            records.push_back(std::move(copy));
        pushRecords(node.m_recordParts, node.m_writer, { .m_topic = node.m_options.m_topics.m_progress, .m_partition = node.m_writerJournal }, std::move(records), batch);
    }

    void onAppendCompleted(CellNode& node, const AppendAttempt& attempt, const StoreAppendAnswer& answer)
    {
        const bool isAnswered = answer.m_status == StoreStatus::Done || answer.m_status == StoreStatus::Fenced || answer.m_status == StoreStatus::OutOfSequence;
        updateStoreReachability(node, isAnswered);
        const std::uint64_t confirmations = node.m_writer.m_confirmations;
        const AppendOutcome outcome = onAppendAnswer(node.m_writer, attempt, answer.m_status, node.m_now);
        if (outcome != AppendOutcome::Proceed)
            return stepDown(node, outcome == AppendOutcome::Fenced ? "fenced by the store: a later term exists" : "the store expects another sequence number");
        if (answer.m_status == StoreStatus::Done && !isPointerPending(node))
            noteAppendConfirmed(node.m_termLease.m_evidence, attempt.m_sequence);
        if (node.m_writer.m_confirmations == confirmations)
            return;
        if (const AppendConfirmation& confirmation = node.m_writer.m_lastConfirmation; confirmation.m_age > slowAppendThreshold)
            logEvent(LogLevel::Info, "append-slow", { { "took_ms", node.m_writer.m_lastLatency.m_ms }, { "total_ms", confirmation.m_age.m_ms }, { "attempts", confirmation.m_attempts }, { "sequence", attempt.m_sequence }, { "unconfirmed", node.m_writer.m_queue.size() }, { "token", node.m_term }, { "batch", node.m_writer.m_confirmedBatch } });
        scheduler::onRecorded(*node.m_scheduler, node.m_writer.m_confirmedBatch, node.m_now);
        notifyRecordWaiters(node);
    }

} // namespace

void pushRecords(PartCounts& counts, AppendPipeline& pipeline, const StorePartition& partition, std::vector<KeyedRecord> records, std::uint64_t batch)
{
    StoreAppend part { .m_partition = partition, .m_records = {}, .m_writer = {}, .m_expectedEnd = {} };
    std::size_t bytes = 0;
    for (KeyedRecord& record : records) {
        const std::size_t recordBytes = record.m_value.size();
        if (bytes > 0 && bytes + recordBytes > maxAppendBytes) {
            pushAppend(pipeline, part, 0);
            part.m_records.clear();
            bytes = 0;
        }
        bytes += recordBytes;
        for (KeyedRecord& piece : splitRecord(counts, std::move(record)))
            part.m_records.push_back(std::move(piece));
    }
    pushAppend(pipeline, std::move(part), batch);
}

void onJournalAnswer(CellNode& node, std::uint32_t partition, const AppendAttempt& attempt, const StoreAppendAnswer& answer)
{
    if (partition == node.m_writerJournal)
        return onAppendCompleted(node, attempt, answer);
    JournalMove& move = node.m_journalMove;
    updateStoreReachability(node, answer.m_status == StoreStatus::Done);
    if (!move.m_target || move.m_target->m_partition != partition)
        return; // The partition has been given up; what it still stores counts for nothing.
    const AppendOutcome outcome = onAppendAnswer(move.m_target->m_writer, attempt, answer.m_status, node.m_now);
    if (outcome != AppendOutcome::Proceed)
        return stepDown(node, outcome == AppendOutcome::Fenced ? "fenced by the store: a later term exists" : "the store expects another sequence number");
    if (answer.m_status == StoreStatus::Done)
        move.m_target->m_answeredAt = node.m_now;
}

void notifyRecordWaiters(CellNode& node)
{
    std::vector<RecordWaiter> done;
    std::erase_if(node.m_recordWaiters, [&](RecordWaiter& waiter) {
        if (waiter.m_batch > node.m_scheduler->m_confirmedBatch)
            return false;
        done.push_back(std::move(waiter));
        return true;
    });
    for (const RecordWaiter& waiter : done)
        waiter.m_onComplete(WriteOutcome::Recorded);
}

void stepScheduler(CellNode& node)
{
    if (!isActiveLeader(node) || node.m_scheduler->m_isProgressUnread)
        return;
    scheduler::SchedulerEffects effects;
    node.m_scheduler->m_isJobsTopicBehind = isJobsTopicBehind(node) || node.m_journals.size() > 1; // What is dropped from the present partition only would be found in an earlier one.
    scheduler::step(*node.m_scheduler, node.m_now, effects);
    perform(node, effects);
    stepJobDeletions(node);
}

void stepWriter(CellNode& node)
{
    if (!isActiveLeader(node))
        return;
    AppendPipeline& writer = node.m_writer;
    if (isReadyToRecord(node) && (scheduler::hasRecords(*node.m_scheduler) || node.m_termLease.m_dueList || areWorkerCopiesDue(node)))
        enqueueBatch(node);
    const PipelinedAppend* const next = beginSend(writer, node.m_storeLastContactAt, node.m_now);
    if (!next)
        return;
    ++node.m_counters.m_appends;
    noteAppendSent(node.m_termLease.m_evidence, next->m_latest.m_sequence, node.m_lastBootTime);
    sendAppend(node, next->m_append, appendTimeout(writer), [&node, term = node.m_term, journal = node.m_writerJournal, attempt = next->m_latest](const StoreAppendAnswer& answer) {
        if (isCurrentTerm(node, term))
            onJournalAnswer(node, journal, attempt, answer);
    });
}

bool isReadyToRecord(const CellNode& node)
{
    return !isRecordingPaused(node) && acceptsAppend(node.m_writer, node.m_storeLastContactAt, node.m_now);
}

} // namespace bulrushloft::cell::detail
