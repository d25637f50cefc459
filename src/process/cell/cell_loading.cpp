/** @file cell_loading.cpp The beginning of a term: earlier terms are fenced, their records are read. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_codec.h"

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration callTimeout { 4'000 }; ///< A page of many records may take long while the store is slow.
    constexpr Duration retryPause { 100 };

    void fenceEarlierTerms(CellNode& node)
    {
        node.m_load.m_isOut = true;
        StoreAppend append { .m_partition = { .m_topic = node.m_options.m_topics.m_progress }, .m_records = {}, .m_writer = FencedWriter { .m_name = writerName, .m_epoch = node.m_term, .m_sequence = 0 }, .m_expectedEnd = {} };
        node.m_ports.m_append(append, callTimeout, [&node, term = node.m_term](const AppendAnswer& answer) {
            noteStore(node, answer.m_status == StoreStatus::Done || answer.m_status == StoreStatus::Fenced);
            if (node.m_role != Role::Loading || node.m_term != term)
                return;
            node.m_load.m_isOut = false;
            if (answer.m_status == StoreStatus::Fenced)
                return stepDown(node, "the store knows a later term");
            node.m_load.m_isFenced = answer.m_status == StoreStatus::Done;
            node.m_load.m_retryAt = node.m_now + (node.m_load.m_isFenced ? Duration {} : retryPause);
        });
    }

    void readProgress(CellNode& node)
    {
        node.m_load.m_isOut = true;
        node.m_ports.m_newest({ .m_partition = { .m_topic = node.m_options.m_topics.m_progress }, .m_after = node.m_load.m_after }, callTimeout, [&node, term = node.m_term](const NewestAnswer& page) {
            noteStore(node, page.m_status == StoreStatus::Done);
            if (node.m_role != Role::Loading || node.m_term != term)
                return;
            node.m_load.m_isOut = false;
            if (page.m_status != StoreStatus::Done) {
                node.m_load.m_retryAt = node.m_now + retryPause;
                return;
            }
            node.m_load.m_progress.insert(node.m_load.m_progress.end(), page.m_records.begin(), page.m_records.end());
            node.m_load.m_isProgressRead = !page.m_hasMore || page.m_records.empty();
            if (!page.m_records.empty())
                node.m_load.m_after = page.m_records.back().m_key;
        });
    }

    void restorePlan(CellNode& node, const KeyedRecord& record)
    {
        auto plan = decodePlan(record.m_value);
        if (!plan) {
            logEvent(LogLevel::Error, "plan-unusable", { { "key", record.m_key }, { "error", describe(plan.error()) } });
            return;
        }
        scheduler::acceptJob(*node.m_scheduler, std::move(*plan), node.m_now);
    }

    void restoreAll(CellNode& node)
    {
        for (const KeyedRecord& record : node.m_load.m_progress) {
            if (record.m_key.starts_with(scheduler::planKey({})) && !record.m_value.empty())
                restorePlan(node, record);
        }
        for (const KeyedRecord& record : node.m_load.m_progress) {
            if (record.m_value.empty() || record.m_key.starts_with(scheduler::planKey({})))
                continue;
            if (auto restored = scheduler::restoreProgress(*node.m_scheduler, record.m_key, record.m_value, node.m_now); !restored)
                logEvent(LogLevel::Error, "progress-unusable", { { "job", record.m_key }, { "error", describe(restored.error()) } });
        }
        scheduler::finishRestoring(*node.m_scheduler, node.m_now);
        logEvent(LogLevel::Info, "term-loaded", { { "token", node.m_term }, { "jobs", node.m_scheduler->m_jobs.size() }, { "progress", node.m_load.m_progress.size() }, { "workers_with_tasks", node.m_scheduler->m_workers.size() }, { "took_ms", (node.m_now - node.m_load.m_startedAt).m_ms } });
        node.m_load = {};
        node.m_role = Role::Leading;
        resetTail(node.m_workersTail, true);
    }

} // namespace

void stepLoading(CellNode& node)
{
    if (node.m_role != Role::Loading || node.m_load.m_isOut || node.m_now < node.m_load.m_retryAt)
        return;
    if (!node.m_load.m_isFenced)
        return fenceEarlierTerms(node);
    if (!node.m_load.m_isProgressRead)
        return readProgress(node);
    if (node.m_jobsTail.m_isCurrent)
        restoreAll(node);
}

} // namespace bulrushloft::cell::detail
