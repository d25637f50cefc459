/** @file scheduler_jobs.cpp Life cycle of jobs: acceptance, release of steps, completion, failure and cancellation. */
#include "core/log_func.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_func.h"
#include "table/scheduler_table.h"

#include <algorithm>

namespace bulrushloft::scheduler {

namespace detail {

    const StepPlan& planOf(const StepRun& run)
    {
        return run.m_job->m_plan.m_steps[run.m_step];
    }

    TaskName nameOf(const TaskRef& ref)
    {
        return { .m_job = ref.m_run->m_job->m_plan.m_id, .m_occurrence = ref.m_run->m_occurrence, .m_step = ref.m_run->m_step, .m_index = ref.m_index };
    }

    TaskRef findTask(Scheduler& scheduler, const TaskName& name)
    {
        const auto found = scheduler.m_jobs.find(name.m_job);
        if (found == scheduler.m_jobs.end())
            return {};
        StepRun* const run = findRun(*found->second, name.m_occurrence, name.m_step);
        return run && name.m_index < run->m_tasks.size() ? TaskRef { run, name.m_index } : TaskRef {};
    }

    StepRun* findRun(const Job& job, std::uint32_t occurrence, std::uint32_t step)
    {
        const std::size_t steps = job.m_plan.m_steps.size();
        const std::size_t position = occurrence * steps + step;
        return step < steps && position < job.m_runs.size() ? job.m_runs[position].get() : nullptr;
    }

    void markDirty(Scheduler& scheduler, Job& job)
    {
        if (job.m_isDirty)
            return;
        job.m_isDirty = true;
        scheduler.m_dirtyJobs.push_back(&job);
    }

    void markWaiting(Scheduler& scheduler, StepRun& run)
    {
        scheduler.m_needsPlacing = true;
        run.m_isChanged = true;
        if (run.m_isWaiting)
            return;
        run.m_isWaiting = true;
        scheduler.m_waitingSteps.push_back(&run);
    }

    namespace {

        bool arePredecessorsDone(const Job& job, const StepRun& run)
        {
            return std::all_of(planOf(run).m_predecessors.begin(), planOf(run).m_predecessors.end(), [&](std::uint32_t predecessor) {
                const StepRun* const earlier = findRun(job, run.m_occurrence, predecessor);
                return earlier->m_doneCount >= earlier->m_tasks.size();
            });
        }

        void releaseIfReady(Scheduler& scheduler, const Job& job, StepRun& run, TimePoint now)
        {
            if (job.m_isHeld || run.m_isReleased || !arePredecessorsDone(job, run))
                return;
            run.m_isReleased = true;
            for (Task& task : run.m_tasks)
                task.m_waitingSince = now;
            markWaiting(scheduler, run);
        }

        bool isWholeJobDone(const Job& job)
        {
            return job.m_openTasks == 0 && job.m_nextOccurrence >= std::max<std::uint32_t>(1, job.m_plan.m_occurrenceCount);
        }

    } // namespace

    void releaseReadySteps(Scheduler& scheduler, Job& job, TimePoint now)
    {
        for (const auto& run : job.m_runs)
            releaseIfReady(scheduler, job, *run, now);
    }

    void openOccurrence(Scheduler& scheduler, Job& job, std::uint32_t occurrence, TimePoint now)
    {
        for (std::uint32_t step = 0; step < job.m_plan.m_steps.size(); ++step) {
            auto run = std::make_unique<StepRun>();
            run->m_job = &job;
            run->m_occurrence = occurrence;
            run->m_step = step;
            run->m_tasks.resize(job.m_plan.m_steps[step].m_count);
            job.m_openTasks += job.m_plan.m_steps[step].m_count;
            job.m_runs.push_back(std::move(run));
            releaseIfReady(scheduler, job, *job.m_runs.back(), now);
        }
        job.m_nextOccurrence = occurrence + 1;
    }

    void releaseDueOccurrences(Scheduler& scheduler, Job& job, TimePoint now)
    {
        if (isFinal(job.m_stage))
            return;
        const TimePoint wall = now + scheduler.m_wallOffset;
        // Occurrences that are due at once, such as those of a schedule that began long ago, are opened as earlier ones end.
        while (job.m_openTasks < maxTasksPerJob && job.m_nextOccurrence < job.m_plan.m_occurrenceCount && job.m_plan.m_firstStart + job.m_plan.m_period * job.m_nextOccurrence <= wall) {
            openOccurrence(scheduler, job, job.m_nextOccurrence, now);
            markDirty(scheduler, job);
        }
    }

    void endJob(Scheduler& scheduler, Job& job, JobStage stage, TimePoint now)
    {
        if (isFinal(job.m_stage))
            return;
        if (job.m_stage == JobStage::Pending)
            --scheduler.m_pendingCounts[job.m_plan.m_queue];
        job.m_stage = stage;
        job.m_stageBatch = scheduler.m_nextBatch;
        job.m_endedAt = now;
        scheduler.m_endedJobs.emplace_back(now, job.m_plan.m_id);
        markDirty(scheduler, job);
        logEvent(LogLevel::Info, "job-ended", { { "job", job.m_plan.m_id }, { "stage", findName(jobStageNames, stage) }, { "queue", job.m_plan.m_queue }, { "age_ms", (now - job.m_acceptedAt).m_ms }, { "critical_path_ms", job.m_criticalPath.m_ms } });
        for (const auto& run : job.m_runs) {
            for (std::uint32_t i = 0; i < run->m_tasks.size(); ++i)
                stopTask(scheduler, { run.get(), i }, now);
        }
    }

    void finishTask(Scheduler& scheduler, const TaskRef& ref, TimePoint now)
    {
        StepRun& run = *ref.m_run;
        Job& job = *run.m_job;
        if (ref.task().m_resolution != TaskResolution::Open || isFinal(job.m_stage))
            return;
        const bool endsWholeGang = planOf(run).m_isGang;
        for (std::uint32_t i = 0; i < run.m_tasks.size(); ++i) {
            Task& task = run.m_tasks[i];
            if ((!endsWholeGang && i != ref.m_index) || task.m_resolution != TaskResolution::Open)
                continue;
            task.m_resolution = TaskResolution::Done;
            ++run.m_doneCount;
            --job.m_openTasks;
        }
        markDirty(scheduler, job);
        if (isWholeJobDone(job))
            return endJob(scheduler, job, JobStage::Complete, now);
        if (run.m_doneCount < run.m_tasks.size())
            return;
        run.m_approval = {};
        releaseReadySteps(scheduler, job, now);
    }

    void failTask(Scheduler& scheduler, const TaskRef& ref, TimePoint now)
    {
        StepRun& run = *ref.m_run;
        Job& job = *run.m_job;
        Task& task = ref.task();
        if (isFinal(job.m_stage) || task.m_resolution != TaskResolution::Open)
            return;
        std::uint32_t failures = ++task.m_failures;
        if (planOf(run).m_isGang) {
            if (run.m_lastFailedAttempt < task.m_attempt)
                ++run.m_gangFailures;
            run.m_lastFailedAttempt = std::max(run.m_lastFailedAttempt, task.m_attempt);
            failures = run.m_gangFailures;
        }
        markDirty(scheduler, job);
        const std::uint32_t limit = failureLimitOf(job);
        logEvent(LogLevel::Info, "task-failed", { { "task", format(nameOf(ref)) }, { "attempt", task.m_attempt }, { "failures", failures }, { "limit", limit } });
        const bool isLimitKnown = limit > 0; // The job is not failed on a guess, so the task is started again until the limit is known.
        if (planOf(run).m_isLongRunning || !isLimitKnown || failures < limit)
            return;
        task.m_resolution = TaskResolution::Failed;
        endJob(scheduler, job, JobStage::Failed, now);
    }

} // namespace detail

void setCluster(Scheduler& scheduler, const ClusterSettings& cluster)
{
    detail::setQueues(scheduler, cluster);
    detail::setCustomers(scheduler, cluster);
    scheduler.m_needsPlacing = true;
}

namespace {

    /** Opens what is due of a new job. */
    void openJob(Scheduler& scheduler, Job& job, TimePoint now)
    {
        if (job.m_plan.m_occurrenceCount == 0)
            return detail::openOccurrence(scheduler, job, 0, now);
        scheduler.m_scheduledJobs.push_back(&job);
        detail::releaseDueOccurrences(scheduler, job, now);
    }

} // namespace

void acceptJob(Scheduler& scheduler, JobPlan plan, TimePoint now)
{
    if (scheduler.m_jobs.contains(plan.m_id))
        return;
    auto owned = std::make_unique<Job>();
    Job& job = *owned;
    job.m_plan = std::move(plan);
    job.m_isHeld = scheduler.m_areCancellationsUnread;
    detail::assignQueue(scheduler, job);
    detail::assignCustomer(scheduler, job);
    constexpr Duration maxAge { 3'600'000 };
    const TimePoint accepted = job.m_plan.m_submittedAt - scheduler.m_wallOffset;
    job.m_acceptedAt = std::clamp(accepted, now - maxAge, now);
    job.m_criticalPath = detail::predictCriticalPath(scheduler, job);
    scheduler.m_jobs.emplace(job.m_plan.m_id, std::move(owned));
    ++scheduler.m_pendingCounts[job.m_plan.m_queue];
    if (!scheduler.m_isInitialLoad)
        logEvent(LogLevel::Info, "job-accepted", { { "job", job.m_plan.m_id }, { "queue", job.m_plan.m_queue }, { "steps", job.m_plan.m_steps.size() }, { "age_ms", (now - job.m_acceptedAt).m_ms }, { "critical_path_ms", job.m_criticalPath.m_ms } });
    if (scheduler.m_cancelledEarly.contains(job.m_plan.m_id))
        detail::endJob(scheduler, job, JobStage::Cancelled, now);
    else
        openJob(scheduler, job, now);
    detail::restoreUnmatched(scheduler, job, now);
}

std::uint64_t acceptAndRecord(Scheduler& scheduler, JobPlan plan, std::string record, TimePoint now)
{
    const std::string id = plan.m_id;
    if (scheduler.m_unmatchedProgress.contains(id))
        return 0;
    const bool isNew = !scheduler.m_jobs.contains(id);
    acceptJob(scheduler, std::move(plan), now);
    Job& job = *scheduler.m_jobs.at(id);
    if (isNew) {
        job.m_planRecord = std::move(record);
        job.m_planBatch = scheduler.m_nextBatch;
        job.m_isPlanInProgress = true;
        detail::markDirty(scheduler, job);
    }
    return job.m_planBatch <= scheduler.m_confirmedBatch ? 0 : job.m_planBatch;
}

void restorePlan(Scheduler& scheduler, JobPlan plan, TimePoint now)
{
    const std::string id = plan.m_id;
    acceptJob(scheduler, std::move(plan), now);
    Job& job = *scheduler.m_jobs.at(id);
    job.m_isPlanInProgress = true;
    job.m_isPlanShortened = job.m_plan.m_steps.front().m_count == 0;
}

std::string planKey(const std::string& job)
{
    return "+" + job;
}

void cancelJob(Scheduler& scheduler, const std::string& id, TimePoint now)
{
    const auto found = scheduler.m_jobs.find(id);
    if (found == scheduler.m_jobs.end()) {
        scheduler.m_cancelledEarly.insert(id);
        return;
    }
    logEvent(LogLevel::Info, "job-cancel-requested", { { "job", id }, { "stage", findName(jobStageNames, found->second->m_stage) } });
    detail::endJob(scheduler, *found->second, JobStage::Cancelled, now);
}

std::optional<JobStage> findStage(const Scheduler& scheduler, const std::string& id)
{
    const auto found = scheduler.m_jobs.find(id);
    if (found == scheduler.m_jobs.end())
        return std::nullopt;
    const Job& job = *found->second;
    if (!isFinal(job.m_stage) || job.m_stageBatch <= scheduler.m_confirmedBatch)
        return job.m_stage;
    return JobStage::Active;
}

std::uint32_t countPending(const Scheduler& scheduler, const std::string& queue)
{
    const auto found = scheduler.m_pendingCounts.find(queue);
    return found == scheduler.m_pendingCounts.end() ? 0 : found->second;
}

} // namespace bulrushloft::scheduler
