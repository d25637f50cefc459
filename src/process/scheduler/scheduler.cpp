/** @file scheduler.cpp The scheduler's periodic step, expiry of ended jobs and consistency checks. */
#include "core/log_func.h"
#include "process/scheduler/active_workers.h"
#include "process/scheduler/better_place.h"
#include "process/scheduler/crash_record.h"
#include "process/scheduler/customer_report.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "process/scheduler/start_tickets.h"
#include "process/scheduler/wait_report.h"

#include <algorithm>

namespace bulrushloft::scheduler {

namespace {

    using namespace detail;

    /** @return Whether the end of the job is stored and nothing of it may be running any more. */
    bool canExpire(const Scheduler& scheduler, const Job& job)
    {
        return !job.m_isDirty && job.m_stageBatch <= scheduler.m_confirmedBatch && std::all_of(job.m_runs.begin(), job.m_runs.end(), [](const auto& run) { return run->m_activeAttempts == 0; });
    }

    /** Removes a job that can expire, and its progress and recorded plan from the store with the next batch. */
    void eraseJob(Scheduler& scheduler, const std::string& id)
    {
        const auto found = scheduler.m_jobs.find(id);
        Job* const job = found->second.get();
        scheduler.m_areQueueRecordsDue = scheduler.m_areQueueRecordsDue || job->m_queue->m_recordedVersion > 0;
        std::erase_if(scheduler.m_waitingSteps, [&](const StepRun* run) { return run->m_job == job; });
        std::erase(scheduler.m_scheduledJobs, job);
        scheduler.m_cancelledEarly.erase(id);
        scheduler.m_storedEnds.erase(id);
        scheduler.m_droppedKeys.push_back(planKey(id)); // Before the progress: a plan without progress would be a new job.
        scheduler.m_droppedKeys.push_back(id);
        scheduler.m_jobs.erase(found);
    }

    /** Takes up a job whose retention time has passed; at most one per call, so that no call takes long. */
    void expireEndedJobs(Scheduler& scheduler, TimePoint now)
    {
        if (scheduler.m_areSubmissionsUnread || scheduler.m_isJobsTopicBehind) // The submission of a forgotten job would be taken for a new one when it is read.
            return;
        if (scheduler.m_endedJobs.empty() || now - scheduler.m_endedJobs.front().first < scheduler.m_options.m_endedJobRetention)
            return;
        const std::string id = scheduler.m_endedJobs.front().second;
        scheduler.m_endedJobs.pop_front();
        const auto found = scheduler.m_jobs.find(id);
        if (found == scheduler.m_jobs.end())
            return;
        if (!canExpire(scheduler, *found->second)) {
            scheduler.m_endedJobs.emplace_back(now, id);
            return;
        }
        if (scheduler.m_storedEnds.contains(id))
            scheduler.m_expiredJobs.push_back(id); // It is known until its submission is deleted: a submission without progress is a new job to a later term.
        else
            eraseJob(scheduler, id);
    }

    void releaseScheduledJobs(Scheduler& scheduler, TimePoint now)
    {
        for (Job* job : scheduler.m_scheduledJobs)
            releaseDueOccurrences(scheduler, *job, now);
        std::erase_if(scheduler.m_scheduledJobs, [](const Job* job) { return job->m_nextOccurrence >= job->m_plan.m_occurrenceCount; });
    }

    /** @return Whether to run a placement pass; changes are batched because each pass examines all waiting steps. */
    bool isPlacementDue(const Scheduler& scheduler, TimePoint now)
    {
        constexpr Duration minIntervalAfterChange { 4 };
        constexpr std::size_t waitingStepsPerMs = 100; // A pass that examines thousands of steps takes milliseconds itself.
        constexpr Duration intervalWithoutChange { 50 };
        const Duration intervalAfterChange = minIntervalAfterChange + Duration { static_cast<std::int64_t>(scheduler.m_waitingSteps.size() / waitingStepsPerMs) };
        return now - scheduler.m_placedAt >= (scheduler.m_needsPlacing ? intervalAfterChange : intervalWithoutChange);
    }

} // namespace

void noteStored(Scheduler& scheduler, const std::string& id, std::uint64_t end)
{
    std::uint64_t& storedEnd = scheduler.m_storedEnds[id];
    storedEnd = std::max(storedEnd, end);
}

void forgetJob(Scheduler& scheduler, const std::string& id, std::uint64_t deletedEnd)
{
    const auto found = scheduler.m_jobs.find(id);
    if (found == scheduler.m_jobs.end())
        return;
    if (canExpire(scheduler, *found->second) && scheduler.m_storedEnds[id] <= deletedEnd)
        eraseJob(scheduler, id);
    else
        scheduler.m_expiredJobs.push_back(id);
}

void step(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects)
{
    updateQueueRecords(scheduler);
    releaseScheduledJobs(scheduler, now);
    stepCalls(scheduler, now, effects);
    stepStartTickets(scheduler, now, effects); // Before the requests of steps without a place.
    if (isPlacementDue(scheduler, now))
        placeWaiting(scheduler, now, effects);
    stepWatch(scheduler, now);
    stepPacing(scheduler, now, effects);
    stepWaitReport(scheduler, now);
    detail::reportPlaceWaits(scheduler, now);
    stepCustomerReport(scheduler, now);
    expireEndedJobs(scheduler, now);
}

bool isConsistent(const Scheduler& scheduler)
{
    if (!areActiveWorkersConsistent(scheduler) || !areCustomersConsistent(scheduler))
        return false;
    for (const Worker& worker : scheduler.m_workers) {
        Resources sum;
        std::uint32_t suspects = 0;
        for (const TaskRef& ref : worker.m_tasks) {
            if (ref.task().m_phase == RunPhase::None || scheduler.m_workers[static_cast<std::size_t>(ref.task().m_worker)].m_announcement.m_id != worker.m_announcement.m_id)
                return false;
            sum = sum + grantOf(*ref.m_run);
            suspects += isSuspect(ref.task()) ? 1 : 0;
        }
        if (!(sum == worker.m_granted) || suspects != worker.m_suspects)
            return false;
    }
    for (const auto& [id, job] : scheduler.m_jobs) {
        for (const auto& run : job->m_runs) {
            const auto done = std::count_if(run->m_tasks.begin(), run->m_tasks.end(), [](const Task& task) { return task.m_resolution == TaskResolution::Done; });
            const auto active = std::count_if(run->m_tasks.begin(), run->m_tasks.end(), [](const Task& task) { return task.m_phase != RunPhase::None; });
            const auto unplaced = std::count_if(run->m_tasks.begin(), run->m_tasks.end(), [](const Task& task) { return task.m_resolution == TaskResolution::Open && task.m_phase == RunPhase::None; });
            const auto asked = std::count(run->m_approval.m_marks.begin(), run->m_approval.m_marks.end(), ApprovalMark::Asked);
            if (static_cast<std::uint32_t>(asked) != run->m_approval.m_askedWorkers)
                return false;
            const bool isUnplacedRight = isFinal(job->m_stage) || static_cast<std::uint32_t>(unplaced) == countUnplaced(*run);
            if (static_cast<std::uint32_t>(done) != run->m_doneCount || static_cast<std::uint32_t>(active) != run->m_activeAttempts || !isUnplacedRight)
                return false;
        }
    }
    return true;
}

} // namespace bulrushloft::scheduler
