/**
 * @file cell_loading.cpp Start of a term: fences earlier terms and loads the records that they have written.
 *
 * When a partition that holds records stays silent while the store answers otherwise, the leader goes on without it: it takes a further partition for
 * its own records, accepts submissions and holds them, as each of these jobs may be one that has run. It calls no worker before it has fenced and read
 * all partitions: until then an earlier leader may still write to a partition that only this VM does not reach, and count on leases that have run out.
 */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/scheduler/learned_record.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_codec.h"

#include <algorithm>
#include <numeric>

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

    /** @return The loading of a partition in the given term; null when it has ended. */
    JournalLoad* findLoad(CellNode& node, std::uint64_t term, std::uint32_t partition)
    {
        if (node.m_term != term)
            return nullptr;
        std::vector<JournalLoad>& journals = node.m_load.m_journals;
        const auto found = std::find_if(journals.begin(), journals.end(), [&](const JournalLoad& each) { return each.m_partition == partition; });
        return found == journals.end() ? nullptr : &*found;
    }

    bool isRead(const JournalLoad& journal)
    {
        return !journal.m_ranges.empty() && std::all_of(journal.m_ranges.begin(), journal.m_ranges.end(), [](const LoadRange& range) { return range.m_isRead; });
    }

    /** Processes the first answer to the fence of a partition that the store has carried out. @param took Time from the attempt to its answer. */
    void onFenced(CellNode& node, JournalLoad& journal, std::uint64_t sequence, Duration took)
    {
        journal.m_isFenced = true;
        journal.m_answeredAt = node.m_now;
        node.m_termLease.m_fencedAt = node.m_now; // That of the last partition counts.
        const std::vector<JournalLoad>& journals = node.m_load.m_journals;
        if (std::all_of(journals.begin(), journals.end(), [](const JournalLoad& each) { return each.m_isFenced; }))
            noteBegunTerm(node.m_begunTerms, node.m_term, node.m_now);
        node.m_appendLatency = took;
        if (journal.m_partition == node.m_writerJournal && node.m_role == Role::Loading) {
            node.m_writer.m_lastLatency = took;
            noteAppendConfirmed(node.m_termLease.m_evidence, sequence);
        }
        resetTail(node.m_jobsTail, true); // Not earlier: until now a former leader may accept submissions that a listing has passed.
        resetTail(node.m_cancellationsTail, node.m_cancellationsTail.m_isFollowed);
    }

    void fenceEarlierTerms(CellNode& node, JournalLoad& journal)
    {
        HedgedCall& call = journal.m_fence;
        constexpr std::uint32_t maxInFlight = 8;
        const StorePartition partition { .m_topic = node.m_options.m_topics.m_progress, .m_partition = journal.m_partition };
        if (!isAttemptDue(call, leaderWriteHedgeDelay(node, call, partition), node.m_now, maxInFlight))
            return;
        beginAttempt(call, node.m_now);
        const StoreAppend fence = fencingAppend(makePipeline(writerName, node.m_term), partition);
        if (journal.m_partition == node.m_writerJournal && node.m_role == Role::Loading)
            noteAppendSent(node.m_termLease.m_evidence, fence.m_writer->m_sequence, node.m_lastBootTime);
        sendAppend(node, fence, fenceTimeout, [&node, term = node.m_term, number = journal.m_partition, sentAt = node.m_now, sequence = fence.m_writer->m_sequence](const StoreAppendAnswer& answer) {
            updateStoreReachability(node, answer.m_status == StoreStatus::Done || answer.m_status == StoreStatus::Fenced);
            JournalLoad* const load = findLoad(node, term, number);
            if (!load || load->m_isFenced)
                return;
            if (answer.m_status == StoreStatus::Fenced)
                return stepDown(node, "fenced by the store: a later term exists");
            if (answer.m_status != StoreStatus::Done)
                return failAttempt(load->m_fence, node.m_now + retryDelay);
            onFenced(node, *load, sequence, node.m_now - sentAt);
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
    void splitRange(JournalLoad& load, std::size_t index)
    {
        const std::vector<std::string> keys = splitKeysOf(load.m_ranges[index]);
        const std::string until = load.m_ranges[index].m_until;
        for (std::size_t i = 0; i < keys.size(); ++i)
            load.m_ranges.push_back({ .m_after = keys[i], .m_until = i + 1 < keys.size() ? keys[i + 1] : until, .m_isRead = false, .m_isSplit = true });
        if (!keys.empty())
            load.m_ranges[index].m_until = keys.front();
    }

    /** Merges the records of a page that lie within its range and advances the range; later records are read with the next range. */
    void mergePage(const CellNode& node, JournalLoad& load, std::size_t index, const StoreNewestAnswer& page)
    {
        LoadRange& range = load.m_ranges[index];
        load.m_answeredAt = node.m_now;
        const auto isWithin = [&](const KeyedRecord& record) { return range.m_until.empty() || record.m_key < range.m_until; };
        const auto end = std::find_if_not(page.m_records.begin(), page.m_records.end(), isWithin);
        for (auto record = page.m_records.begin(); record != end; ++record)
            load.m_progress.insert_or_assign(record->m_key, record->m_value);
        range.m_isRead = end != page.m_records.end() || !page.m_hasMore || page.m_records.empty();
        const bool isSlow = node.m_now - range.m_call.m_lastAttemptAt > slowPageThreshold;
        endCall(range.m_call, node.m_now);
        if (range.m_isRead)
            return;
        range.m_after = page.m_records.back().m_key;
        if (isSlow && !std::exchange(range.m_isSplit, true))
            splitRange(load, index);
    }

    void readRange(CellNode& node, JournalLoad& load, std::size_t index)
    {
        LoadRange& range = load.m_ranges[index];
        if (range.m_isRead || !isAttemptDue(range.m_call, storeHedgeDelay(node, range.m_call.m_lastAttemptAt), node.m_now))
            return;
        const std::uint64_t callNumber = beginAttempt(range.m_call, node.m_now);
        sendListing(node, { .m_partition = { .m_topic = node.m_options.m_topics.m_progress, .m_partition = load.m_partition }, .m_after = range.m_after }, callTimeout, [&node, index, callNumber, term = node.m_term, number = load.m_partition](const StoreNewestAnswer& page) {
            updateStoreReachability(node, page.m_status == StoreStatus::Done);
            JournalLoad* const current = findLoad(node, term, number);
            if (!current || !isAnswerToCall(current->m_ranges[index].m_call, callNumber))
                return;
            if (page.m_status == StoreStatus::Done)
                mergePage(node, *current, index, page);
            else
                failAttempt(current->m_ranges[index].m_call, node.m_now + retryDelay);
        });
    }

    /** Sends the reads of a partition's records that are due. */
    void readRecords(CellNode& node, JournalLoad& load)
    {
        if (load.m_ranges.empty()) // The keys of plans begin with a character before all digits, those of progress with a hexadecimal digit.
            load.m_ranges = { { .m_after = {}, .m_until = firstProgressKey }, { .m_after = lastPlanKey, .m_until = {} } };
        for (std::size_t i = 0; i < load.m_ranges.size(); ++i)
            readRange(node, load, i);
    }

    /** Fences and reads the partitions, as far as it is due. @return Whether all records have been read. */
    bool readJournals(CellNode& node)
    {
        bool areAllRead = true;
        for (std::size_t i = 0; i < node.m_load.m_journals.size(); ++i) {
            JournalLoad& journal = node.m_load.m_journals[i];
            if (!journal.m_isFenced)
                fenceEarlierTerms(node, journal);
            else
                readRecords(node, journal);
            if (!node.m_load.m_readingSince && journal.m_isFenced)
                node.m_load.m_readingSince = node.m_now;
            areAllRead = areAllRead && isRead(journal);
        }
        return areAllRead;
    }

    /** @return The records of all partitions that have been read. A later one's counts, but for what a leader has noted of a job whose earlier records it could not read. */
    std::map<std::string, std::string> mergeRecords(CellNode& node)
    {
        std::map<std::string, std::string> records;
        for (const JournalLoad& journal : node.m_load.m_journals) {
            if (!isRead(journal))
                continue;
            for (const auto& [key, value] : journal.m_progress) {
                if (!records.contains(key) || !scheduler::isHeldRecord(value))
                    records.insert_or_assign(key, value);
            }
        }
        joinParts(node.m_recordParts, records);
        return records;
    }

    bool isPlan(const std::string& key)
    {
        return key.starts_with(scheduler::planKey({}));
    }

    std::optional<JobPlan> readPlan(const std::string& key, const std::string& value)
    {
        auto plan = decodePlan(value);
        if (plan)
            return std::move(*plan);
        logEvent(LogLevel::Error, "plan-unusable", { { "key", key }, { "error", describe(plan.error()) } });
        return std::nullopt;
    }

    /** @return Whether a record is not that of a job; it is restored then. */
    bool restoreOther(CellNode& node, const std::string& key, const std::string& value)
    {
        if (key == memberListKey) {
            restoreMemberList(node, value);
            return true;
        }
        if (key.starts_with(workerCopyPrefix)) {
            restoreWorkerCopy(node, key, value);
            return true;
        }
        const bool isQueue = key.starts_with(scheduler::queueRecordPrefix);
        if (!isQueue && key != scheduler::learnedKey)
            return false;
        if (const auto restored = isQueue ? scheduler::restoreQueue(*node.m_scheduler, key, value) : scheduler::restoreLearned(*node.m_scheduler, value); !restored)
            logEvent(LogLevel::Error, "progress-unusable", { { "key", key }, { "error", describe(restored.error()) } });
        return true;
    }

    /** Restores the records read so far. */
    void restoreRecords(CellNode& node)
    {
        const std::map<std::string, std::string> records = mergeRecords(node);
        for (const auto& [key, value] : records) {
            if (!isPlan(key) || value.empty())
                continue;
            if (auto plan = readPlan(key, value))
                scheduler::restorePlan(*node.m_scheduler, std::move(*plan), node.m_now);
        }
        for (const auto& [key, value] : records) {
            if (value.empty() || isPlan(key) || restoreOther(node, key, value))
                continue;
            if (const auto restored = scheduler::restoreProgress(*node.m_scheduler, key, value, node.m_now); !restored)
                logEvent(LogLevel::Error, "progress-unusable", { { "key", key }, { "error", describe(restored.error()) } });
        }
    }

    std::size_t countRecords(const LoadState& load)
    {
        return std::accumulate(load.m_journals.begin(), load.m_journals.end(), std::size_t {}, [](std::size_t sum, const JournalLoad& each) { return sum + each.m_progress.size(); });
    }

    void beginLeading(CellNode& node)
    {
        logEvent(LogLevel::Info, "term-loaded", { { "token", node.m_term }, { "journals", node.m_journals.size() }, { "journal", node.m_writerJournal }, { "is_progress_read", !node.m_scheduler->m_isProgressUnread }, { "are_submissions_read", node.m_jobsTail.m_isCaughtUp }, { "jobs", node.m_scheduler->m_jobs.size() }, { "progress", countRecords(node.m_load) }, { "workers_with_tasks", node.m_scheduler->m_workers.size() }, { "took_ms", (node.m_now - node.m_load.m_startedAt).m_ms } });
        node.m_role = Role::Leading;
        node.m_loadedAt = node.m_now;
        if (!node.m_jobsTail.m_isCaughtUp)
            logEvent(LogLevel::Warning, "leads-without-submissions", { { "token", node.m_term }, { "unmatched_progress", node.m_scheduler->m_unmatchedProgress.size() }, { "jobs_answered_ms_ago", (node.m_now - node.m_jobsTail.m_answeredAt).m_ms }, { "are_jobs_listed", node.m_jobsTail.m_isListingComplete }, { "jobs_next_offset", node.m_jobsTail.m_nextOffset } });
        finishInitialLoad(node);
        checkTermLease(node); // The records may have taken longer to load than the evidence of the fence counts.
    }

    /** Goes over from loading to leading with the records of all partitions. */
    void restoreAll(CellNode& node)
    {
        restoreRecords(node);
        scheduler::finishRestoring(*node.m_scheduler, boundEarlierTerms(node), node.m_now);
        beginLeading(node);
        node.m_load = {};
        abandonJournalMove(node);
    }

    /** Restores the jobs that earlier leaders have accepted without the records that are unread now as well. All else waits for these. */
    void restoreHeld(CellNode& node)
    {
        const std::map<std::string, std::string> records = mergeRecords(node);
        for (const auto& [key, value] : records) {
            const auto plan = records.find(scheduler::planKey(key));
            if (plan == records.end() || !scheduler::isHeldRecord(value))
                continue;
            if (auto decoded = readPlan(plan->first, plan->second))
                scheduler::restorePlan(*node.m_scheduler, std::move(*decoded), node.m_now);
        }
    }

    /** Takes over the records of the partitions that were silent when this leader began to lead. */
    void restoreUnread(CellNode& node)
    {
        std::vector<JobPlan> plans;
        std::map<std::string, std::string> progress;
        for (const auto& [key, value] : mergeRecords(node)) {
            if (value.empty())
                continue;
            if (!isPlan(key)) {
                if (!restoreOther(node, key, value))
                    progress.emplace(key, value);
            } else if (auto plan = readPlan(key, value)) {
                plans.push_back(std::move(*plan));
            }
        }
        node.m_scheduler->m_earlierLeadersStoppedAt = boundEarlierTerms(node);
        logEvent(LogLevel::Info, "records-read", { { "token", node.m_term }, { "loaded_ms_ago", (node.m_now - node.m_loadedAt).m_ms }, { "jobs", node.m_scheduler->m_jobs.size() }, { "plans", plans.size() }, { "progress", progress.size() } });
        scheduler::restoreLate(*node.m_scheduler, std::move(plans), progress, node.m_now);
        node.m_load = {};
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
        const bool isSettled = !isPointerPending(node); // A further partition may be named already.
        if (isSettled && (node.m_jobsTail.m_isCaughtUp || isPatienceOver(node)))
            restoreAll(node);
    }

    /** @return Whether a partition has been silent for so long, while the store has answered otherwise, that the leader goes on without it. */
    bool isSilent(const CellNode& node, const JournalLoad& journal)
    {
        constexpr Duration patience { 1'500 };
        constexpr std::int64_t latencies = 8; // On a slow store the fence waits behind other appends.
        constexpr Duration recentAnswer { 500 };
        const bool isStoreAnswering = node.m_now - node.m_storeLastContactAt <= recentAnswer && node.m_storeLastContactAt > journal.m_answeredAt;
        return !isRead(journal) && isStoreAnswering && node.m_now - journal.m_answeredAt > std::max(patience, node.m_appendLatency * latencies);
    }

    /**
     * Has a partition prepared for this leader's own records, to go on without those that are silent. One that an earlier leader has written without
     * them is not written any more: what is known of its jobs must not be replaced by records that say less.
     */
    void stepWithoutSilent(CellNode& node)
    {
        const std::vector<JournalLoad>& journals = node.m_load.m_journals;
        const bool isSomeSilent = std::any_of(journals.begin(), journals.end(), [&](const JournalLoad& each) { return isSilent(node, each); });
        if (isSomeSilent || isPointerPending(node))
            stepJournalChange(node);
    }

    /** Takes it up that the records of all partitions have been read. */
    void onAllRead(CellNode& node)
    {
        if (node.m_role == Role::Leading)
            restoreUnread(node);
        else
            finishLoading(node);
    }

    /** Has the copies of cancellations read as long as the partition of submissions leaves a leader waiting. */
    void followCancellationCopies(CellNode& node)
    {
        constexpr Duration patience { 1'500 }; // Less than minPatience, so that they are known when the leader begins to lead.
        const bool isNeeded = node.m_scheduler->m_areSubmissionsUnread && node.m_jobsTail.m_isFollowed && !node.m_jobsTail.m_isCaughtUp;
        const bool isLate = node.m_now - node.m_termLease.m_fencedAt >= patience;
        if (!isNeeded && node.m_cancellationsTail.m_isFollowed)
            resetTail(node.m_cancellationsTail, false);
        else if (isNeeded && isLate && !node.m_cancellationsTail.m_isFollowed)
            resetTail(node.m_cancellationsTail, true);
    }

    /** Takes it up that a leader which can't read the submissions has read the copies of all cancellations. */
    void finishCancellationCopies(CellNode& node)
    {
        scheduler::Scheduler& scheduler = *node.m_scheduler;
        if (!scheduler.m_areCancellationsUnread || !node.m_cancellationsTail.m_isCaughtUp)
            return;
        logEvent(LogLevel::Info, "cancellations-read", { { "token", node.m_term }, { "loaded_ms_ago", (node.m_now - node.m_loadedAt).m_ms }, { "jobs", scheduler.m_jobs.size() }, { "cancelled_early", scheduler.m_cancelledEarly.size() } });
        scheduler::finishCancellations(scheduler, node.m_now);
    }

    /** Takes it up that a leader has read the submissions to their end, or at least all cancellations. */
    void stepSubmissions(CellNode& node)
    {
        scheduler::Scheduler& scheduler = *node.m_scheduler;
        if (!scheduler.m_areSubmissionsUnread || scheduler.m_isProgressUnread)
            return;
        if (!node.m_jobsTail.m_isCaughtUp)
            return finishCancellationCopies(node);
        if (node.m_now > node.m_loadedAt)
            logEvent(LogLevel::Info, "submissions-read", { { "token", node.m_term }, { "loaded_ms_ago", (node.m_now - node.m_loadedAt).m_ms }, { "jobs", scheduler.m_jobs.size() }, { "unmatched_progress", scheduler.m_unmatchedProgress.size() }, { "unmatched_ends", scheduler.m_unmatchedEnds.size() } });
        scheduler::finishSubmissions(scheduler, node.m_now);
    }

} // namespace

void beginLoading(CellNode& node)
{
    node.m_load = {};
    node.m_load.m_startedAt = node.m_now;
    for (const std::uint32_t partition : node.m_journals)
        node.m_load.m_journals.push_back({ .m_partition = partition, .m_answeredAt = node.m_now });
}

void leadWithoutSilent(CellNode& node)
{
    const std::vector<JournalLoad>& journals = node.m_load.m_journals;
    const auto unread = std::count_if(journals.begin(), journals.end(), [](const JournalLoad& each) { return !isRead(each); });
    if (!node.m_jobsTail.m_isFollowed)
        resetTail(node.m_jobsTail, true);
    node.m_scheduler->m_isProgressUnread = true;
    restoreHeld(node);
    logEvent(LogLevel::Warning, "leads-without-records", { { "token", node.m_term }, { "unread_journals", unread }, { "journals", journals.size() }, { "journal", node.m_writerJournal } });
    beginLeading(node);
}

void stepLoading(CellNode& node)
{
    if (!node.m_load.m_journals.empty() && readJournals(node))
        onAllRead(node);
    else if (node.m_role == Role::Loading)
        stepWithoutSilent(node);
    if (node.m_role == Role::Leading)
        stepSubmissions(node);
    if (node.m_scheduler)
        followCancellationCopies(node);
}

} // namespace bulrushloft::cell::detail
