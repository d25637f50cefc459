/** @file cell_loading.cpp Start of a term: fences earlier terms and loads the records that they have written. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/scheduler/learned_record.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_codec.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration callTimeout { 4'000 }; ///< A page of many records may take long when the store is slow.
    constexpr Duration fenceTimeout { 2'500 }; ///< An append waits at the store for 2 s at most; beyond that the store refuses it.
    constexpr Duration retryDelay { 100 };
    constexpr const char* firstProgressKey = "0"; ///< No key of a progress record comes before this one.
    constexpr const char* lastPlanKey = "/"; ///< All keys of plans come before this one, and no other key does.
    constexpr Duration minPatience { 2'000 }; ///< Without an answer about submissions for so long, a leader goes on without them. Together with a claim and a fence it is shorter than the leases of workers.
    constexpr Duration maxPatience { 8'000 }; ///< Leases have run out by then.
    constexpr std::int64_t patienceMultiple = 4; ///< Times the reading of progress: where all reads are slow, the submissions are worth waiting for.
    constexpr Duration slowPageThreshold { 150 }; ///< When a page takes longer, the remaining ones are read in parallel.

    bool isStillLoading(const CellNode& node, std::uint64_t term)
    {
        return node.m_role == Role::Loading && node.m_term == term;
    }

    void fenceEarlierTerms(CellNode& node)
    {
        HedgedCall& call = node.m_load.m_fence;
        constexpr std::uint32_t maxInFlight = 8;
        const StorePartition partition { .m_topic = node.m_options.m_topics.m_progress };
        if (!isAttemptDue(call, leaderWriteHedgeDelay(node, call, partition), node.m_now, maxInFlight))
            return;
        beginAttempt(call, node.m_now);
        const StoreAppend fence = fencingAppend(node.m_writer, partition);
        noteAppendSent(node.m_termLease.m_evidence, fence.m_writer->m_sequence, node.m_lastBootTime);
        sendAppend(node, fence, fenceTimeout, [&node, term = node.m_term, sentAt = node.m_now, sequence = fence.m_writer->m_sequence](const StoreAppendAnswer& answer) {
            updateStoreReachability(node, answer.m_status == StoreStatus::Done || answer.m_status == StoreStatus::Fenced);
            if (!isStillLoading(node, term) || node.m_load.m_isFenced)
                return;
            if (answer.m_status == StoreStatus::Fenced)
                return stepDown(node, "fenced by the store: a later term exists");
            if (answer.m_status != StoreStatus::Done)
                return failAttempt(node.m_load.m_fence, node.m_now + retryDelay);
            node.m_load.m_isFenced = true;
            node.m_termLease.m_fencedAt = node.m_now;
            noteAppendConfirmed(node.m_termLease.m_evidence, sequence);
            node.m_appendLatency = node.m_now - sentAt;
            node.m_writer.m_lastLatency = node.m_appendLatency;
            resetTail(node.m_jobsTail, true); // Not earlier: until now a former leader may accept submissions that a listing has passed.
        });
    }

    /** @return Keys that split a range into parts with about the same number of jobs, as job ids are random hexadecimal digits. */
    std::vector<std::string> splitKeysOf(const LoadRange& range)
    {
        const std::string prefix = range.m_after < lastPlanKey ? scheduler::planKey({}) : std::string();
        std::vector<std::string> keys;
        for (const char* const digit : { "4", "8", "c" }) {
            const std::string key = prefix + digit;
            if (key > range.m_after && (range.m_until.empty() || key < range.m_until))
                keys.push_back(key);
        }
        return keys;
    }

    /** Splits the rest of a range, so that its parts are read side by side. Only for a slow store: it costs more calls, as a page may hold records of the next range. */
    void splitRange(LoadState& load, std::size_t index)
    {
        const std::vector<std::string> keys = splitKeysOf(load.m_ranges[index]);
        const std::string until = load.m_ranges[index].m_until;
        for (std::size_t i = 0; i < keys.size(); ++i)
            load.m_ranges.push_back({ .m_after = keys[i], .m_until = i + 1 < keys.size() ? keys[i + 1] : until, .m_isRead = false, .m_isSplit = true });
        if (!keys.empty())
            load.m_ranges[index].m_until = keys.front();
    }

    /** Merges the records of a page that lie within its range and advances the range; later records are read with the next range. */
    void mergePage(CellNode& node, std::size_t index, const StoreNewestAnswer& page)
    {
        LoadRange& range = node.m_load.m_ranges[index];
        const auto isWithin = [&](const KeyedRecord& record) { return range.m_until.empty() || record.m_key < range.m_until; };
        const auto end = std::find_if_not(page.m_records.begin(), page.m_records.end(), isWithin);
        for (auto record = page.m_records.begin(); record != end; ++record)
            node.m_load.m_progress.insert_or_assign(record->m_key, record->m_value);
        range.m_isRead = end != page.m_records.end() || !page.m_hasMore || page.m_records.empty();
        const bool isSlow = node.m_now - range.m_call.m_lastAttemptAt > slowPageThreshold;
        endCall(range.m_call, node.m_now);
        if (range.m_isRead)
            return;
        range.m_after = page.m_records.back().m_key;
        if (isSlow && !std::exchange(range.m_isSplit, true))
            splitRange(node.m_load, index);
    }

    void readRange(CellNode& node, std::size_t index)
    {
        LoadRange& range = node.m_load.m_ranges[index];
        if (range.m_isRead || !isAttemptDue(range.m_call, storeHedgeDelay(node, range.m_call.m_lastAttemptAt), node.m_now))
            return;
        const std::uint64_t callNumber = beginAttempt(range.m_call, node.m_now);
        sendListing(node, { .m_partition = { .m_topic = node.m_options.m_topics.m_progress }, .m_after = range.m_after }, callTimeout, [&node, index, callNumber, term = node.m_term](const StoreNewestAnswer& page) {
            updateStoreReachability(node, page.m_status == StoreStatus::Done);
            if (!isStillLoading(node, term))
                return;
            LoadRange& current = node.m_load.m_ranges[index];
            if (!isAnswerToCall(current.m_call, callNumber))
                return;
            if (page.m_status == StoreStatus::Done)
                mergePage(node, index, page);
            else
                failAttempt(current.m_call, node.m_now + retryDelay);
        });
    }

    /** Sends the reads of progress that are due. @return Whether all progress has been read. */
    bool readProgress(CellNode& node)
    {
        if (node.m_load.m_ranges.empty()) // The keys of plans begin with a character before all digits, those of progress with a hexadecimal digit.
            node.m_load.m_ranges = { { .m_after = {}, .m_until = firstProgressKey }, { .m_after = lastPlanKey, .m_until = {} } };
        for (std::size_t i = 0; i < node.m_load.m_ranges.size(); ++i)
            readRange(node, i);
        return std::all_of(node.m_load.m_ranges.begin(), node.m_load.m_ranges.end(), [](const LoadRange& range) { return range.m_isRead; });
    }

    void restorePlan(CellNode& node, const std::string& key, const std::string& value)
    {
        auto plan = decodePlan(value);
        if (!plan) {
            logEvent(LogLevel::Error, "plan-unusable", { { "key", key }, { "error", describe(plan.error()) } });
            return;
        }
        scheduler::restorePlan(*node.m_scheduler, std::move(*plan), node.m_now);
    }

    void restoreProgress(CellNode& node, const std::string& key, const std::string& value)
    {
        if (key == memberListKey)
            return restoreMemberList(node, value);
        if (key.starts_with(workerCopyPrefix))
            return restoreWorkerCopy(node, key, value);
        const auto restored = key == scheduler::learnedKey ? scheduler::restoreLearned(*node.m_scheduler, value) : scheduler::restoreProgress(*node.m_scheduler, key, value, node.m_now);
        if (!restored)
            logEvent(LogLevel::Error, "progress-unusable", { { "key", key }, { "error", describe(restored.error()) } });
    }

    void restoreAll(CellNode& node)
    {
        const auto isPlan = [](const std::string& key) { return key.starts_with(scheduler::planKey({})); };
        for (const auto& [key, value] : node.m_load.m_progress) {
            if (isPlan(key) && !value.empty())
                restorePlan(node, key, value);
        }
        for (const auto& [key, value] : node.m_load.m_progress) {
            if (!value.empty() && !isPlan(key))
                restoreProgress(node, key, value);
        }
        scheduler::finishRestoring(*node.m_scheduler, boundEarlierTerms(node), node.m_now);
        logEvent(LogLevel::Info, "term-loaded", { { "token", node.m_term }, { "are_submissions_read", node.m_jobsTail.m_isCaughtUp }, { "jobs", node.m_scheduler->m_jobs.size() }, { "progress", node.m_load.m_progress.size() }, { "workers_with_tasks", node.m_scheduler->m_workers.size() }, { "took_ms", (node.m_now - node.m_load.m_startedAt).m_ms } });
        node.m_load = {};
        node.m_role = Role::Leading;
        node.m_loadedAt = node.m_now;
        if (!node.m_jobsTail.m_isCaughtUp)
            logEvent(LogLevel::Warning, "leads-without-submissions", { { "token", node.m_term }, { "unmatched_progress", node.m_scheduler->m_unmatchedProgress.size() }, { "jobs_answered_ms_ago", (node.m_now - node.m_jobsTail.m_answeredAt).m_ms }, { "are_jobs_listed", node.m_jobsTail.m_isListingComplete }, { "jobs_next_offset", node.m_jobsTail.m_nextOffset } });
        finishInitialLoad(node);
        checkTermLease(node); // The records may have taken longer to load than the evidence of the fence counts.
    }

    /** @return How long a leader waits for an answer about submissions once it has read all progress. */
    Duration patienceOf(const LoadState& load)
    {
        return std::clamp((*load.m_progressReadAt - *load.m_readingSince) * patienceMultiple, minPatience, maxPatience);
    }

    /** @return Whether the topic of submissions has answered nothing for too long, or still has not been read to its end after several times as long. */
    bool isPatienceOver(const CellNode& node)
    {
        constexpr std::int64_t answeringMultiple = 4;
        const Duration patience = patienceOf(node.m_load);
        const TimePoint progressReadAt = *node.m_load.m_progressReadAt;
        return node.m_now - std::max(progressReadAt, node.m_jobsTail.m_answeredAt) >= patience || node.m_now - progressReadAt >= patience * answeringMultiple;
    }

    /** Ends the loading once all has been read, or all but the submissions and the wait for these takes too long. */
    void finishLoading(CellNode& node)
    {
        if (!node.m_load.m_progressReadAt)
            node.m_load.m_progressReadAt = node.m_now;
        if (node.m_jobsTail.m_isCaughtUp || isPatienceOver(node))
            restoreAll(node);
    }

    /** Takes it up that a leader has read the submissions to their end. */
    void stepSubmissions(CellNode& node)
    {
        scheduler::Scheduler& scheduler = *node.m_scheduler;
        if (!scheduler.m_areSubmissionsUnread || !node.m_jobsTail.m_isCaughtUp)
            return;
        if (node.m_now > node.m_loadedAt)
            logEvent(LogLevel::Info, "submissions-read", { { "token", node.m_term }, { "loaded_ms_ago", (node.m_now - node.m_loadedAt).m_ms }, { "jobs", scheduler.m_jobs.size() }, { "unmatched_progress", scheduler.m_unmatchedProgress.size() }, { "unmatched_ends", scheduler.m_unmatchedEnds.size() } });
        scheduler::finishSubmissions(scheduler, node.m_now);
    }

} // namespace

void stepLoading(CellNode& node)
{
    if (node.m_role == Role::Loading && !node.m_load.m_isFenced)
        return fenceEarlierTerms(node);
    if (node.m_role == Role::Loading) {
        if (!node.m_load.m_readingSince)
            node.m_load.m_readingSince = node.m_now;
        if (readProgress(node))
            finishLoading(node);
    }
    if (node.m_role == Role::Leading)
        stepSubmissions(node);
}

} // namespace bulrushloft::cell::detail
