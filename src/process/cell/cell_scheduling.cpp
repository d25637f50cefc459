/** @file cell_scheduling.cpp The leader's scheduler: its calls and the writing of its progress. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/scheduler/scheduler_func.h"

#include <algorithm>
#include <numeric>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration askTimeout { 2'500 };
    constexpr Duration appendTimeout { 800 };
    constexpr Duration appendRetry { 100 };
    constexpr std::size_t appendBytes = 1024 * 1024;
    constexpr Duration slowAppend { 200 }; ///< A slower append is logged.

    std::size_t countBytes(const StoreAppend& append)
    {
        return std::accumulate(append.m_records.begin(), append.m_records.end(), std::size_t { 0 }, [](std::size_t sum, const KeyedRecord& record) { return sum + record.m_key.size() + record.m_value.size(); });
    }

    /** @return Whether an answer belongs to the present term. */
    bool isPresentTerm(const CellNode& node, std::uint64_t term)
    {
        return node.m_scheduler && node.m_term == term;
    }

    void afterAnswer(CellNode& node, const scheduler::SchedulerEffects& effects);

    void sendSync(CellNode& node, const scheduler::Sent<SyncOrder>& sync)
    {
        const TimePoint sentAt = node.m_now;
        node.m_ports.m_sync(sync, sync.m_timeout, [&node, sentAt, term = node.m_term, id = sync.m_to.m_worker](OrderStatus status, const SyncReport& report) {
            if (!isPresentTerm(node, term))
                return;
            scheduler::SchedulerEffects effects;
            scheduler::onSyncAnswer(*node.m_scheduler, id, status, report, sentAt, node.m_now, effects);
            afterAnswer(node, effects);
        });
    }

    void sendStart(CellNode& node, const scheduler::Sent<StartOrder>& start)
    {
        node.m_ports.m_start(start, start.m_timeout, [&node, term = node.m_term, id = start.m_to.m_worker, task = start.m_order.m_task, attempt = start.m_order.m_attempt](OrderStatus status) {
            if (!isPresentTerm(node, term))
                return;
            scheduler::SchedulerEffects effects;
            scheduler::onStartAnswer(*node.m_scheduler, id, task, attempt, status, node.m_now, effects);
            afterAnswer(node, effects);
        });
    }

    void sendStop(CellNode& node, const scheduler::Sent<StopOrder>& stop)
    {
        node.m_ports.m_stop(stop, stop.m_timeout, [&node, term = node.m_term, id = stop.m_to.m_worker, task = stop.m_order.m_task, attempt = stop.m_order.m_attempt](OrderStatus status) {
            if (!isPresentTerm(node, term))
                return;
            scheduler::SchedulerEffects effects;
            scheduler::onStopAnswer(*node.m_scheduler, id, task, attempt, status, node.m_now, effects);
            afterAnswer(node, effects);
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
        node.m_ports.m_callPeer(peer->second.m_member.m_address, PeerAsk { .m_step = ask.m_step, .m_workers = ask.m_workers }, askTimeout, [&node, term, ask](const std::optional<PeerReply>& reply) {
            const auto* const answer = reply ? std::get_if<PeerAskAnswer>(&*reply) : nullptr;
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

    /** Splits a batch into appends that the store takes. */
    void fillWriter(CellNode& node)
    {
        ProgressWriter& writer = node.m_writer;
        writer.m_batch = node.m_scheduler->m_nextBatch;
        std::vector<KeyedRecord> records = scheduler::takeRecords(*node.m_scheduler);
        std::vector<StoreAppend> parts;
        std::size_t bytes = appendBytes;
        for (KeyedRecord& record : records) {
            if (bytes + record.m_value.size() > appendBytes) {
                parts.push_back({ .m_partition = { .m_topic = node.m_options.m_topics.m_progress }, .m_records = {}, .m_writer = {}, .m_expectedEnd = {} });
                bytes = 0;
            }
            bytes += record.m_value.size();
            parts.back().m_records.push_back(std::move(record));
        }
        std::reverse(parts.begin(), parts.end());
        writer.m_rest = std::move(parts);
    }

    void takeNextPart(CellNode& node)
    {
        ProgressWriter& writer = node.m_writer;
        writer.m_append = std::move(writer.m_rest.back());
        writer.m_rest.pop_back();
        writer.m_append->m_writer = FencedWriter { .m_name = "leader", .m_epoch = node.m_term, .m_sequence = ++writer.m_sequence };
        writer.m_sentAt = node.m_now;
        writer.m_refusals = 0;
        writer.m_retryAt = node.m_now;
    }

    void onWritten(CellNode& node, const AppendAnswer& answer)
    {
        ProgressWriter& writer = node.m_writer;
        writer.m_isOut = false;
        noteStore(node, answer.m_status == StoreStatus::Done || answer.m_status == StoreStatus::Fenced || answer.m_status == StoreStatus::OutOfSequence);
        if (answer.m_status == StoreStatus::Fenced || answer.m_status == StoreStatus::OutOfSequence)
            return stepDown(node, answer.m_status == StoreStatus::Fenced ? "the store knows a later term" : "the store expects another sequence");
        if (answer.m_status != StoreStatus::Done) {
            writer.m_refusals += answer.m_status == StoreStatus::NotDone ? 1 : 0;
            writer.m_retryAt = node.m_now + appendRetry;
            return;
        }
        writer.m_lastTook = node.m_now - writer.m_sentAt;
        if (writer.m_lastTook > slowAppend)
            logEvent(LogLevel::Info, "append-slow", { { "took_ms", writer.m_lastTook.m_ms }, { "records", writer.m_append->m_records.size() }, { "bytes", countBytes(*writer.m_append) }, { "token", node.m_term }, { "batch", writer.m_batch } });
        writer.m_append.reset();
        if (writer.m_rest.empty())
            scheduler::onRecorded(*node.m_scheduler, writer.m_batch, node.m_now);
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
        node.m_ports.m_append(submissions, appendTimeout, [](const AppendAnswer& answer) {
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
    if (!mayAct(node) || node.m_writer.m_isOut)
        return;
    ProgressWriter& writer = node.m_writer;
    if (!writer.m_append && writer.m_rest.empty()) {
        if (!scheduler::hasRecords(*node.m_scheduler))
            return;
        fillWriter(node);
    }
    if (!writer.m_append)
        takeNextPart(node);
    if (node.m_now < writer.m_retryAt)
        return;
    writer.m_isOut = true;
    ++node.m_counters.m_appends;
    node.m_ports.m_append(*writer.m_append, appendTimeout, [&node, term = node.m_term](const AppendAnswer& answer) {
        if (isPresentTerm(node, term))
            onWritten(node, answer);
    });
}

} // namespace bulrushloft::cell::detail
