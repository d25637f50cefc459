/** @file cell_expiry.cpp Deletes the submissions and cancellations of expired jobs from the topic of jobs, and then has the scheduler forget the jobs. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/scheduler/scheduler_func.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration deletionTimeout { 2'500 }; ///< An append waits at the store for 2 s at most; beyond that the store refuses it.
    constexpr Duration deletionInterval { 1'000 }; ///< Many jobs may expire one after another, and the partition is that of submissions.
    constexpr std::uint32_t maxDoublings = 3; ///< Of the interval, after attempts without success: nothing waits for a deletion.
    constexpr std::size_t maxJobsPerDeletion = 1'000; ///< Some 50 KB; a step takes up one expired job, so more than this only wait after an outage.

    void noteDeletionFailed(JobDeletions& deletions, const StoreAppendAnswer& answer)
    {
        deletions.m_failuresInRow = std::min(deletions.m_failuresInRow + 1, maxDoublings);
        deletions.m_nextAt = deletions.m_nextAt + deletionInterval * ((std::int64_t { 1 } << deletions.m_failuresInRow) - 1);
        logEvent(LogLevel::Warning, "job-delete-failed", { { "jobs", deletions.m_jobs.size() }, { "reason", answer.m_reason } });
    }

    /** Appends records that delete keys of a partition of the topic of jobs. @param onDone Called with the offset after the records once they are stored. */
    void deleteRecords(CellNode& node, std::uint32_t partition, std::vector<KeyedRecord> records, std::function<void(JobDeletions&, std::uint64_t)> onDone)
    {
        const std::size_t count = records.size();
        const StoreAppend append { .m_partition = { .m_topic = node.m_options.m_topics.m_jobs, .m_partition = partition }, .m_records = std::move(records), .m_writer = {}, .m_expectedEnd = {} };
        node.m_jobDeletions.m_isInFlight = true;
        node.m_jobDeletions.m_nextAt = node.m_now + deletionInterval;
        sendAppend(node, append, deletionTimeout, [&node, term = node.m_term, count, onDone = std::move(onDone)](const StoreAppendAnswer& answer) {
            if (!node.m_scheduler || node.m_term != term)
                return;
            JobDeletions& deletions = node.m_jobDeletions;
            deletions.m_isInFlight = false;
            if (answer.m_status != StoreStatus::Done)
                return noteDeletionFailed(deletions, answer);
            deletions.m_failuresInRow = 0;
            onDone(deletions, answer.m_offset + count);
        });
    }

    void deleteCancellationCopies(CellNode& node)
    {
        deleteRecords(node, cancellationPartition, node.m_jobDeletions.m_copies, [](JobDeletions& deletions, std::uint64_t) {
            deletions.m_copies.clear();
            deletions.m_nextAt = {};
        });
    }

    void deleteSubmissions(CellNode& node)
    {
        std::vector<KeyedRecord> records;
        for (const std::string& job : node.m_jobDeletions.m_jobs) {
            records.push_back({ .m_key = job, .m_value = {} });
            records.push_back({ .m_key = cancellationKey(job), .m_value = {} });
        }
        deleteRecords(node, submissionPartition, std::move(records), [](JobDeletions& deletions, std::uint64_t end) { deletions.m_deletedEnd = end; });
    }

    /** Takes the expired jobs whose submissions are deleted next. */
    void takeExpired(JobDeletions& deletions, std::vector<std::string>& expired)
    {
        const auto end = expired.begin() + static_cast<std::ptrdiff_t>(std::min(expired.size(), maxJobsPerDeletion));
        deletions.m_jobs.assign(std::make_move_iterator(expired.begin()), std::make_move_iterator(end));
        expired.erase(expired.begin(), end);
        for (const std::string& job : deletions.m_jobs) {
            if (deletions.m_cancelled.erase(job) > 0)
                deletions.m_copies.push_back({ .m_key = cancellationKey(job), .m_value = {} });
        }
    }

    /** Forgets the jobs whose submissions are deleted, once the topic has been read beyond the deletion: a read from before it would show them as new. */
    void forgetDeletedJobs(CellNode& node)
    {
        JobDeletions& deletions = node.m_jobDeletions;
        if (!deletions.m_deletedEnd || node.m_jobsTail.m_isListing || node.m_jobsTail.m_nextOffset < *deletions.m_deletedEnd)
            return;
        for (const std::string& job : std::exchange(deletions.m_jobs, {}))
            scheduler::forgetJob(*node.m_scheduler, job, *deletions.m_deletedEnd);
        deletions.m_deletedEnd.reset();
    }

} // namespace

bool isJobsTopicBehind(const CellNode& node)
{
    constexpr Duration maxReadingAge { 10'000 }; // Much less than the usual retention, and more than a read of a slow store takes.
    const Duration maxAge = std::max(std::min(maxReadingAge, node.m_options.m_scheduler.m_endedJobRetention / 2), node.m_options.m_maxJobsStaleness);
    return node.m_jobsTail.m_isListing || node.m_lastBootTime - node.m_jobsTail.m_upToDateAt > maxAge;
}

void stepJobDeletions(CellNode& node)
{
    forgetDeletedJobs(node);
    JobDeletions& deletions = node.m_jobDeletions;
    if (deletions.m_isInFlight || deletions.m_deletedEnd || node.m_now < deletions.m_nextAt)
        return;
    if (deletions.m_jobs.empty())
        takeExpired(deletions, node.m_scheduler->m_expiredJobs);
    if (!deletions.m_copies.empty())
        deleteCancellationCopies(node);
    else if (!deletions.m_jobs.empty())
        deleteSubmissions(node);
}

} // namespace bulrushloft::cell::detail
