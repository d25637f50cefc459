/** @file job_cmd.cpp Job commands. */
#include "process/journal/job_cmd.h"
#include "process/journal/shard_state_func.h"

#include "core/invariant.h"
#include "request/estimate_func.h"
#include "request/job_func.h"

#include <algorithm>

namespace bulrushloft {

namespace {

    void setTaskState(Job& job, TaskRecord& task, TaskState to)
    {
        auto& from = job.m_counts[static_cast<std::size_t>(task.m_state)];
        BULRUSH_INVARIANT(from > 0, "the count of a task's state includes the task");
        --from;
        ++job.m_counts[static_cast<std::size_t>(to)];
        task.m_state = to;
    }

    /** Records the end of a job once its state is final; if all its tasks are done, drops the task records, as the counts suffice. */
    void markEndedIfFinal(Job& job, TimePoint wall)
    {
        const JobState state = stateOf(job);
        if (!isFinal(state) || job.m_endedWall.m_ms != 0)
            return;
        job.m_endedWall = wall;
        if (state != JobState::Done)
            return;
        job.m_tasks.clear();
        job.m_tasks.shrink_to_fit();
        job.m_failedWorkers.clear();
    }

    WorkerIndex internWorker(ShardState& state, const std::string& name)
    {
        const auto [found, isNew] = state.m_workerByName.try_emplace(name, static_cast<WorkerIndex>(state.m_workerNames.size()));
        if (isNew)
            state.m_workerNames.push_back(name);
        return found->second;
    }

    /** @return The task if it is waiting for this attempt and may be placed, or nullptr. */
    const TaskRecord* findPlaceable(const ShardState& state, const TaskRef& ref)
    {
        const Job* const job = findJob(state, ref.m_job);
        if (!job || job->m_isCancelRequested || job->m_isAbandoned || ref.m_task >= job->m_tasks.size())
            return nullptr;
        const TaskRecord& task = job->m_tasks[ref.m_task];
        const bool isPlaceable = task.m_state == TaskState::Waiting && ref.m_attempt == task.m_attempt + 1;
        return isPlaceable ? &task : nullptr;
    }

    /** @return The task whose current attempt this is, or nullptr if the attempt has been superseded or has ended. */
    TaskRecord* findPlaced(ShardState& state, const TaskRef& ref)
    {
        const auto job = state.m_jobs.find(ref.m_job);
        if (job == state.m_jobs.end() || ref.m_task >= job->second.m_tasks.size())
            return nullptr;
        TaskRecord& task = job->second.m_tasks[ref.m_task];
        const bool isCurrent = task.m_state == TaskState::Placed && task.m_attempt == ref.m_attempt;
        return isCurrent ? &task : nullptr;
    }

    /** @return The final state of a task that will not be run again. */
    TaskState finalStateWithoutRerun(const TaskRecord& task)
    {
        if (task.m_failures > 0)
            return TaskState::Failed;
        return task.m_mayHaveRun ? TaskState::Stopped : TaskState::NotRun;
    }

    /**
     * Ends all waiting tasks, after a cancellation or after the job was abandoned.
     * @param mayHaveUnjournaledStarts Whether waiting idempotent tasks of earlier terms may have started without a journal record.
     */
    void endWaitingTasks(const ShardState& state, Job& job, bool mayHaveUnjournaledStarts)
    {
        const bool mayHaveStarted = mayHaveUnjournaledStarts && job.m_spec.m_isIdempotent && job.m_acceptedEpoch != state.m_epoch;
        for (TaskRecord& task : job.m_tasks) {
            if (task.m_state != TaskState::Waiting)
                continue;
            task.m_mayHaveRun = task.m_mayHaveRun || mayHaveStarted;
            setTaskState(job, task, finalStateWithoutRerun(task));
        }
    }

    void recordFailure(Job& job, TaskRecord& task)
    {
        ++task.m_failures;
        if (countTasks(job, TaskState::Done) > 0)
            return;
        if (std::find(job.m_failedWorkers.begin(), job.m_failedWorkers.end(), task.m_worker) == job.m_failedWorkers.end())
            job.m_failedWorkers.push_back(task.m_worker);
        if (job.m_failedWorkers.size() >= failedWorkerLimit && job.m_spec.m_kind != JobKind::Service)
            job.m_isAbandoned = true;
    }

    /** @return Whether the result counts towards the failure limits. Running out of memory does not count if less than the declared memory was granted, as the small grant may be the cause. */
    bool countsAsTaskFailure(const Job& job, const TaskRecord& task, TaskResult result)
    {
        if (result == TaskResult::OutOfMemory)
            return task.m_grant.m_memoryMb >= job.m_spec.m_declared.m_memoryMb;
        return result == TaskResult::Failed;
    }

    /** @return The next state of a task whose attempt has ended without completing the task; an attempt of a service never completes it. */
    TaskState stateAfterAttempt(const Job& job, const TaskRecord& task, TaskResult result)
    {
        const bool hasFailed = result == TaskResult::Failed || result == TaskResult::OutOfMemory;
        if (job.m_isCancelRequested)
            return hasFailed ? TaskState::Failed : finalStateWithoutRerun(task);
        if (result == TaskResult::NeverStarted)
            return job.m_isAbandoned ? finalStateWithoutRerun(task) : TaskState::Waiting;
        if (!job.m_spec.m_isIdempotent) {
            if (hasFailed)
                return TaskState::Failed;
            return result == TaskResult::Stopped ? TaskState::Stopped : TaskState::Unknown;
        }
        if (job.m_isAbandoned)
            return finalStateWithoutRerun(task);
        const bool hasReachedFailureLimit = countsAsTaskFailure(job, task, result) && job.m_spec.m_kind != JobKind::Service && task.m_failures >= job.m_spec.m_failureLimit;
        return hasReachedFailureLimit ? TaskState::Failed : TaskState::Waiting;
    }

    void updateUsageHistory(ShardState& state, const Job& job, const TaskRecord& task, const TaskOutcome& outcome)
    {
        const bool isUsageKnown = outcome.m_usage.m_runTime.m_ms > 0 || outcome.m_usage.m_peakMemoryMb > 0;
        if (outcome.m_result == TaskResult::Done && isUsageKnown)
            addUsage(state.m_usage[usageKey(job.m_spec)], job.m_spec.m_declared, outcome.m_usage);
        if (outcome.m_result == TaskResult::OutOfMemory)
            recordOutOfMemory(state.m_usage[usageKey(job.m_spec)], job.m_spec.m_declared, task.m_grant.m_memoryMb);
    }

    void recordOutcome(ShardState& state, const TaskOutcome& outcome, bool mayHaveUnjournaledStarts, TimePoint wall)
    {
        TaskRecord* const task = findPlaced(state, outcome.m_ref);
        if (!task)
            return;
        Job& job = state.m_jobs.at(outcome.m_ref.m_job);
        updateUsageHistory(state, job, *task, outcome);
        const bool neverStarted = outcome.m_result == TaskResult::NeverStarted;
        task->m_mayHaveRun = task->m_mayHaveRun || !neverStarted;
        if (countsAsTaskFailure(job, *task, outcome.m_result))
            recordFailure(job, *task);
        if (outcome.m_result == TaskResult::Done && job.m_spec.m_kind != JobKind::Service)
            setTaskState(job, *task, TaskState::Done);
        else
            setTaskState(job, *task, stateAfterAttempt(job, *task, outcome.m_result));
        const bool isGangBroken = job.m_spec.m_kind == JobKind::Gang && (countTasks(job, TaskState::Failed) > 0 || countTasks(job, TaskState::Unknown) > 0);
        job.m_isAbandoned = job.m_isAbandoned || isGangBroken;
        if (job.m_isAbandoned)
            endWaitingTasks(state, job, mayHaveUnjournaledStarts);
        markEndedIfFinal(job, wall);
    }

} // namespace

Expected<void> acceptJob(ShardState& state, const AcceptJobRecord& record, TimePoint wall, CommandMode mode)
{
    if (auto checked = checkJobSpec(record.m_spec); !checked)
        return checked;
    if (const auto known = state.m_jobByKey.find(record.m_spec.m_key); known != state.m_jobByKey.end())
        return fail(ErrorKind::Conflict, "the key \"" + record.m_spec.m_key + "\" is already used by job " + format(JobId { state.m_shard, known->second }), "query the status of that job or use a new key for new work");
    if (mode == CommandMode::Test)
        return {};

    Job job;
    job.m_number = state.m_nextJob;
    job.m_spec = record.m_spec;
    job.m_acceptedWall = wall;
    job.m_acceptedEpoch = state.m_epoch;
    job.m_tasks.resize(record.m_spec.m_taskCount);
    job.m_counts[static_cast<std::size_t>(TaskState::Waiting)] = record.m_spec.m_taskCount;
    state.m_jobByKey.emplace(job.m_spec.m_key, job.m_number);
    ++state.m_nextJob.m_value;
    state.m_jobs.emplace(job.m_number, std::move(job));
    return {};
}

Expected<void> placeTasks(ShardState& state, const PlaceRecord& record, CommandMode mode)
{
    for (const TaskPlacement& placement : record.m_placements) {
        if (!findPlaceable(state, placement.m_ref))
            return fail(ErrorKind::Stale, "task " + format(placement.m_ref) + " is not waiting for this attempt", "reload the job before placing its tasks");
    }
    if (mode == CommandMode::Test)
        return {};

    for (const TaskPlacement& placement : record.m_placements) {
        Job& job = state.m_jobs.at(placement.m_ref.m_job);
        TaskRecord& task = job.m_tasks[placement.m_ref.m_task];
        task.m_attempt = placement.m_ref.m_attempt;
        task.m_worker = internWorker(state, placement.m_worker);
        task.m_grant = placement.m_grant;
        setTaskState(job, task, TaskState::Placed);
    }
    return {};
}

Expected<void> recordOutcomes(ShardState& state, const OutcomeRecord& record, TimePoint wall, CommandMode mode)
{
    const bool applies = std::any_of(record.m_outcomes.begin(), record.m_outcomes.end(),
        [&state](const TaskOutcome& outcome) { return findPlaced(state, outcome.m_ref) != nullptr; });
    if (!applies)
        return fail(ErrorKind::UnknownName, "none of the outcomes belongs to a current attempt", "discard them");
    if (mode == CommandMode::Test)
        return {};

    for (const TaskOutcome& outcome : record.m_outcomes)
        recordOutcome(state, outcome, record.m_mayHaveUnjournaledStarts, wall);
    return {};
}

Expected<void> cancelJob(ShardState& state, const CancelJobRecord& record, TimePoint wall, CommandMode mode)
{
    const auto found = state.m_jobs.find(record.m_job);
    if (found == state.m_jobs.end())
        return fail(ErrorKind::UnknownName, "there is no job " + format(JobId { state.m_shard, record.m_job }), "list the jobs of the team; ended jobs are removed after the retention period");
    Job& job = found->second;
    if (isFinal(stateOf(job)))
        return fail(ErrorKind::Conflict, "job " + format(JobId { state.m_shard, record.m_job }) + " has already ended with the state " + std::string(nameOf(stateOf(job))), "no cancellation is needed");
    if (mode == CommandMode::Test)
        return {};

    job.m_isCancelRequested = true;
    endWaitingTasks(state, job, record.m_mayHaveUnjournaledStarts);
    markEndedIfFinal(job, wall);
    return {};
}

Expected<void> removeExpired(ShardState& state, const ExpireRecord& record, CommandMode mode)
{
    if (mode == CommandMode::Test)
        return {};
    for (auto job = state.m_jobs.begin(); job != state.m_jobs.end();) {
        const bool isExpired = job->second.m_endedWall.m_ms != 0 && job->second.m_endedWall < record.m_jobsEndedBefore;
        if (isExpired)
            state.m_jobByKey.erase(job->second.m_spec.m_key);
        job = isExpired ? state.m_jobs.erase(job) : std::next(job);
    }
    std::erase_if(state.m_requests, [&record](const auto& request) {
        return request.second.m_state != RequestState::Intended && request.second.m_wall < record.m_requestsEndedBefore;
    });
    state.m_requestsRetainedSince = std::max(state.m_requestsRetainedSince, record.m_requestsEndedBefore);
    return {};
}

} // namespace bulrushloft
