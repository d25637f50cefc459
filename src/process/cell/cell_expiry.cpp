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

    void onDeletionAnswer(JobDeletions& deletions, const StoreAppendAnswer& answer, std::size_t records)
    {
        deletions.m_isInFlight = false;
        if (answer.m_status == StoreStatus::Done) {
            deletions.m_failuresInRow = 0;
            deletions.m_deletedEnd = answer.m_offset + records;
            return;
        }
        deletions.m_failuresInRow = std::min(deletions.m_failuresInRow + 1, maxDoublings);
        deletions.m_nextAt = deletions.m_nextAt + deletionInterval * ((std::int64_t { 1 } << deletions.m_failuresInRow) - 1);
        logEvent(LogLevel::Warning, "job-delete-failed", { { "jobs", deletions.m_jobs.size() }, { "reason", answer.m_reason } });
    }

    void sendDeletion(CellNode& node)
    {
        JobDeletions& deletions = node.m_jobDeletions;
        StoreAppend append { .m_partition = { .m_topic = node.m_options.m_topics.m_jobs }, .m_records = {}, .m_writer = {}, .m_expectedEnd = {} };
        for (const std::string& job : deletions.m_jobs) {
            append.m_records.push_back({ .m_key = job, .m_value = {} });
            append.m_records.push_back({ .m_key = cancellationKey(job), .m_value = {} });
        }
        deletions.m_isInFlight = true;
        deletions.m_nextAt = node.m_now + deletionInterval;
        sendAppend(node, append, deletionTimeout, [&node, term = node.m_term, records = append.m_records.size()](const StoreAppendAnswer& answer) {
            if (node.m_scheduler && node.m_term == term)
                onDeletionAnswer(node.m_jobDeletions, answer, records);
        });
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
    std::vector<std::string>& expired = node.m_scheduler->m_expiredJobs;
    if (deletions.m_jobs.empty()) {
        const auto end = expired.begin() + static_cast<std::ptrdiff_t>(std::min(expired.size(), maxJobsPerDeletion));
        deletions.m_jobs.assign(std::make_move_iterator(expired.begin()), std::make_move_iterator(end));
        expired.erase(expired.begin(), end);
    }
    if (!deletions.m_jobs.empty())
        sendDeletion(node);
}

} // namespace bulrushloft::cell::detail
