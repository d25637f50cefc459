/** @file cell_scheduling.cpp The leader's scheduler: its calls and the writing of its progress. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/scheduler/scheduler_func.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration askTimeout { 2'500 };
    constexpr Duration dropTimeout { 800 };
    constexpr std::size_t appendBytes = 1024 * 1024;
    constexpr Duration slowAppend { 200 }; ///< A slower append is logged.

    /** @return Whether an answer belongs to the present term. */
    bool isPresentTerm(const CellNode& node, std::uint64_t term)
    {
        return node.m_scheduler && node.m_term == term;
    }

    void afterAnswer(CellNode& node, const scheduler::SchedulerEffects& effects);

    /** Hands an answer to the scheduler, unless its term is over. @param take Called with the effects to fill. */
    template <typename Take>
    void takeAnswer(CellNode& node, std::uint64_t term, Take take)
    {
        if (!isPresentTerm(node, term))
            return;
        scheduler::SchedulerEffects effects;
        take(effects);
        afterAnswer(node, effects);
    }

    void sendSync(CellNode& node, const AddressedOrder<SyncOrder>& sync)
    {
        const TimePoint sentAt = node.m_now;
        giveOrder(node, sync.m_to, sync.m_order, sync.m_timeout, [&node, sentAt, term = node.m_term, id = sync.m_to.m_worker](OrderStatus status, const SyncReport& report) {
            takeAnswer(node, term, [&](scheduler::SchedulerEffects& effects) { scheduler::onSyncAnswer(*node.m_scheduler, id, status, report, sentAt, node.m_now, effects); });
        });
    }

    void sendStart(CellNode& node, const AddressedOrder<StartOrder>& start)
    {
        giveOrder(node, start.m_to, start.m_order, start.m_timeout, [&node, term = node.m_term, id = start.m_to.m_worker, task = start.m_order.m_task, attempt = start.m_order.m_attempt](OrderStatus status, const SyncReport&) {
            takeAnswer(node, term, [&](scheduler::SchedulerEffects& effects) { scheduler::onStartAnswer(*node.m_scheduler, id, task, attempt, status, node.m_now, effects); });
        });
    }

    void sendStop(CellNode& node, const AddressedOrder<StopOrder>& stop)
    {
        giveOrder(node, stop.m_to, stop.m_order, stop.m_timeout, [&node, term = node.m_term, id = stop.m_to.m_worker, task = stop.m_order.m_task, attempt = stop.m_order.m_attempt](OrderStatus status, const SyncReport&) {
            takeAnswer(node, term, [&](scheduler::SchedulerEffects& effects) { scheduler::onStopAnswer(*node.m_scheduler, id, task, attempt, status, node.m_now, effects); });
        });
    }

    void takeAsk(CellNode& node, std::uint64_t term, const scheduler::ApprovalAsk& ask, const std::optional<std::vector<Approval>>& approvals)
    {
        if (isPresentTerm(node, term))
            scheduler::onApprovals(*node.m_scheduler, ask, approvals, node.m_now);
    }

    void sendAsk(CellNode& node, const scheduler::ApprovalAsk& ask)
    {
        const std::uint64_t term = node.m_term;
        if (ask.m_member == node.m_options.m_self.m_name) {
            node.m_ports.m_askApprovals(ask.m_step, ask.m_workers, askTimeout, [&node, term, ask](const std::optional<std::vector<Approval>>& approvals) { takeAsk(node, term, ask, approvals); });
            return;
        }
        const auto peer = node.m_peers.find(ask.m_member);
        if (peer == node.m_peers.end())
            return takeAsk(node, term, ask, std::nullopt);
        node.m_ports.m_callPeer(peer->second.m_member.m_address, PeerApprovalRequest { .m_step = ask.m_step, .m_workers = ask.m_workers }, askTimeout, [&node, term, ask](const std::optional<PeerReply>& reply) {
            const auto* const answer = reply ? std::get_if<PeerApprovalAnswer>(&*reply) : nullptr;
            takeAsk(node, term, ask, answer && answer->m_isAnswered ? std::optional(answer->m_approvals) : std::nullopt);
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
        for (const auto& ask : effects.m_asks)
            sendAsk(node, ask);
        for (const auto& pace : effects.m_paces)
            node.m_ports.m_pace(pace, pace.m_timeout, [](OrderStatus) { /* The next look tells whether it had an effect. */ });
    }

    void afterAnswer(CellNode& node, const scheduler::SchedulerEffects& effects)
    {
        if (effects.m_isFenced) {
            logEvent(LogLevel::Warning, "fenced-by-worker", { { "token", node.m_term } });
            node.m_isSuspended = true;
            resetTail(node.m_leaderTail, true);
        }
        if (mayAct(node))
            perform(node, effects);
    }

    /** Adds the records of a batch to the pipeline, as appends that the store takes. */
    void fillWriter(CellNode& node)
    {
        const std::uint64_t batch = node.m_scheduler->m_nextBatch;
        StoreAppend part { .m_partition = { .m_topic = node.m_options.m_topics.m_progress }, .m_records = {}, .m_writer = {}, .m_expectedEnd = {} };
        std::size_t bytes = 0;
        for (KeyedRecord& record : scheduler::takeRecords(*node.m_scheduler)) {
            if (bytes + record.m_value.size() > appendBytes) {
                pushAppend(node.m_writer, part, 0);
                part.m_records.clear();
                bytes = 0;
            }
            bytes += record.m_value.size();
            part.m_records.push_back(std::move(record));
        }
        pushAppend(node.m_writer, std::move(part), batch);
    }

    void onWritten(CellNode& node, std::uint64_t sequence, const StoreAppendAnswer& answer)
    {
        const bool isAnswered = answer.m_status == StoreStatus::Done || answer.m_status == StoreStatus::Fenced || answer.m_status == StoreStatus::OutOfSequence;
        noteStore(node, isAnswered);
        const AppendVerdict verdict = onAppendAnswer(node.m_writer, sequence, answer.m_status, node.m_now);
        if (verdict != AppendVerdict::GoOn)
            return stepDown(node, verdict == AppendVerdict::Fenced ? "the store knows a later term" : "the store expects another sequence");
        if (answer.m_status != StoreStatus::Done)
            return;
        if (node.m_writer.m_lastTook > slowAppend)
            logEvent(LogLevel::Info, "append-slow", { { "took_ms", node.m_writer.m_lastTook.m_ms }, { "sequence", sequence }, { "unconfirmed", node.m_writer.m_queue.size() }, { "token", node.m_term }, { "batch", node.m_writer.m_confirmedBatch } });
        scheduler::onRecorded(*node.m_scheduler, node.m_writer.m_confirmedBatch, node.m_now);
        answerRecorded(node);
    }

    /** Records of jobs that are forgotten are dropped from the topic of submissions. */
    void dropForgotten(CellNode& node)
    {
        if (node.m_scheduler->m_expiredJobs.empty())
            return;
        const std::vector<std::string> jobs = std::exchange(node.m_scheduler->m_expiredJobs, {});
        StoreAppend submissions { .m_partition = { .m_topic = node.m_options.m_topics.m_jobs }, .m_records = {}, .m_writer = {}, .m_expectedEnd = {} };
        for (const std::string& job : jobs) {
            // Submissions that the leader has recorded itself are dropped with its own records.
            submissions.m_records.push_back({ .m_key = job, .m_value = {} });
            submissions.m_records.push_back({ .m_key = "!" + job, .m_value = {} });
        }
        node.m_ports.m_append(submissions, dropTimeout, [](const StoreAppendAnswer& answer) {
            if (answer.m_status != StoreStatus::Done)
                logEvent(LogLevel::Warning, "drop-failed", { { "reason", answer.m_reason } });
        });
    }

} // namespace

void answerRecorded(CellNode& node)
{
    std::vector<RecordWaiter> done;
    std::erase_if(node.m_recordWaiters, [&](RecordWaiter& waiter) {
        if (waiter.m_batch > node.m_scheduler->m_confirmedBatch)
            return false;
        done.push_back(std::move(waiter));
        return true;
    });
    for (const RecordWaiter& waiter : done)
        waiter.m_onEnd(WriteOutcome::Recorded);
}

void stepScheduler(CellNode& node)
{
    if (!mayAct(node))
        return;
    scheduler::SchedulerEffects effects;
    scheduler::step(*node.m_scheduler, node.m_now, effects);
    perform(node, effects);
    dropForgotten(node);
}

void stepWriter(CellNode& node)
{
    if (!mayAct(node))
        return;
    AppendPipeline& writer = node.m_writer;
    if (wantsAppend(writer, node.m_storeHeardAt, node.m_now) && scheduler::hasRecords(*node.m_scheduler))
        fillWriter(node);
    const PipelinedAppend* const next = takeAppend(writer, node.m_storeHeardAt, node.m_now);
    if (!next)
        return;
    ++node.m_counters.m_appends;
    node.m_ports.m_append(next->m_append, appendTimeout(writer), [&node, term = node.m_term, sequence = next->m_append.m_writer->m_sequence](const StoreAppendAnswer& answer) {
        if (isPresentTerm(node, term))
            onWritten(node, sequence, answer);
    });
}

} // namespace bulrushloft::cell::detail
