/** @file owner_tasks.cpp Attempts and waiting tasks of a shard owner: granted resources, queue, confirmed records, gangs. */
#include "process/owner/owner_detail.h"

#include "core/invariant.h"
#include "core/log_func.h"
#include "process/journal/shard_state_func.h"
#include "process/owner/health_func.h"
#include "request/estimate_func.h"
#include "request/job_func.h"

#include <algorithm>

namespace bulrushloft::detail {

namespace {

    const UsageHistory* findUsage(const ShardOwner& owner, const JobSpec& spec)
    {
        const auto found = owner.m_state.m_usage.find(usageKey(spec));
        return found == owner.m_state.m_usage.end() ? nullptr : &found->second;
    }

    TeamUsage& teamUsageOf(ShardOwner& owner, const TaskRef& ref)
    {
        const Job* const job = findJob(owner.m_state, ref.m_job);
        return owner.m_teams[job ? job->m_spec.m_team : std::string()];
    }

    /** @return Attempts of a job that are placed and not orphans. */
    std::vector<TaskRun*> findRuns(ShardOwner& owner, const Job& job)
    {
        std::vector<TaskRun*> runs;
        for (std::uint32_t task = 0; task < job.m_tasks.size(); ++task) {
            const std::uint32_t attempt = job.m_tasks[task].m_attempt;
            for (const std::uint32_t candidate : { attempt, attempt + 1 }) {
                const auto found = owner.m_runs.find({ .m_job = job.m_number, .m_task = task, .m_attempt = candidate });
                if (found != owner.m_runs.end() && !found->second.m_isOrphan)
                    runs.push_back(&found->second);
            }
        }
        return runs;
    }

    void confirmClosingRecord(ShardOwner& owner, JobNumber number)
    {
        const auto found = owner.m_closingRecords.find(number);
        if (found != owner.m_closingRecords.end() && --found->second == 0)
            owner.m_closingRecords.erase(found);
    }

    bool isOnWorker(const TaskRun& run)
    {
        return run.m_phase == RunPhase::Held || run.m_phase == RunPhase::Running;
    }

} // namespace

bool hasUnresolvedWorker(const ShardOwner& owner, TimePoint now)
{
    return std::any_of(owner.m_workers.begin(), owner.m_workers.end(), [now](const Worker& worker) {
        return worker.m_boot == 0 && now < worker.m_leaseEndBound;
    });
}

void queueOutcome(ShardOwner& owner, const TaskOutcome& outcome, TimePoint now)
{
    const bool mayHaveUnjournaledStarts = owner.m_mayHaveUnjournaledTasks && hasUnresolvedWorker(owner, now);
    if (outcome.m_result != TaskResult::Done)
        ++owner.m_closingRecords[outcome.m_ref.m_job];
    queueRecord(owner, OutcomeRecord { .m_outcomes = { outcome }, .m_mayHaveUnjournaledStarts = mayHaveUnjournaledStarts });
}

void queueCancel(ShardOwner& owner, JobNumber number, TimePoint now)
{
    const bool mayHaveUnjournaledStarts = owner.m_mayHaveUnjournaledTasks && hasUnresolvedWorker(owner, now);
    ++owner.m_closingRecords[number];
    queueRecord(owner, CancelJobRecord { .m_job = number, .m_mayHaveUnjournaledStarts = mayHaveUnjournaledStarts });
}

bool isLeaving(const ShardOwner& owner, const Worker& worker)
{
    return worker.m_vm.m_state != VmState::Live || worker.m_hasReportedLeaving || owner.m_policy->m_drained.contains(worker.m_name);
}

TaskRun& addRun(ShardOwner& owner, const TaskRun& run)
{
    const auto [added, isNew] = owner.m_runs.emplace(run.m_ref, run);
    BULRUSH_INVARIANT(isNew, "an attempt is added only once");
    Worker& worker = owner.m_workers[run.m_worker];
    worker.m_granted = worker.m_granted + run.m_grant;
    worker.m_tasks.insert(run.m_ref);
    teamUsageOf(owner, run.m_ref).m_granted = teamUsageOf(owner, run.m_ref).m_granted + run.m_grant;
    return added->second;
}

void endRun(ShardOwner& owner, TaskRun& run, TaskResult result, const TaskUsage& usage, TimePoint now)
{
    Worker& worker = owner.m_workers[run.m_worker];
    worker.m_granted = worker.m_granted - run.m_grant;
    worker.m_tasks.erase(run.m_ref);
    TeamUsage& teamUsage = teamUsageOf(owner, run.m_ref);
    teamUsage.m_granted = teamUsage.m_granted - run.m_grant;
    BULRUSH_INVARIANT(isNonNegative(worker.m_granted), "the resources granted on a worker are not negative");
    logEvent(LogLevel::Debug, "task-ended", { { "shard", owner.m_state.m_shard }, { "task", format(run.m_ref) }, { "worker", worker.m_name }, { "result", nameOf(result) }, { "phase", static_cast<int>(run.m_phase) }, { "epoch", owner.m_state.m_epoch.m_value } });
    run.m_phase = RunPhase::Ended;
    run.m_isUnsuccessful = result != TaskResult::Done;
    owner.m_isScheduleDue = true;
    updateWorkerHealth(worker, run.m_ref.m_job, result, now);
    if (run.m_isOrphan) {
        worker.m_acks.push_back(run.m_ref);
        owner.m_runs.erase(TaskRef(run.m_ref));
        return;
    }
    queueOutcome(owner, { .m_ref = run.m_ref, .m_result = result, .m_usage = usage }, now);
}

void eraseRun(ShardOwner& owner, const TaskRef& ref)
{
    const auto found = owner.m_runs.find(ref);
    if (found == owner.m_runs.end())
        return;
    BULRUSH_INVARIANT(found->second.m_phase == RunPhase::Ended, "only an ended attempt is erased");
    owner.m_workers[found->second.m_worker].m_acks.push_back(ref);
    owner.m_runs.erase(found);
}

void queueTask(ShardOwner& owner, const Job& job, std::uint32_t task, TimePoint now)
{
    const auto [queued, isNew] = owner.m_queue.try_emplace(job.m_number);
    if (isNew)
        queued->second.m_waitingSince = now;
    queued->second.m_tasks.push_back(task);
    ++owner.m_teams[job.m_spec.m_team].m_waitingTasks;
    owner.m_isScheduleDue = true;
}

void queueJob(ShardOwner& owner, const Job& job, TimePoint now)
{
    for (std::uint32_t task = 0; task < job.m_tasks.size(); ++task) {
        if (job.m_tasks[task].m_state == TaskState::Waiting && !isTaskPlaced(owner, job, task))
            queueTask(owner, job, task, now);
    }
}

void dequeueJob(ShardOwner& owner, JobNumber number)
{
    const auto queued = owner.m_queue.find(number);
    if (queued == owner.m_queue.end())
        return;
    const Job* const job = findJob(owner.m_state, number);
    if (job)
        owner.m_teams[job->m_spec.m_team].m_waitingTasks -= static_cast<std::int64_t>(queued->second.m_tasks.size());
    owner.m_queue.erase(queued);
}

void dequeueTask(ShardOwner& owner, const TaskRef& ref)
{
    const auto queued = owner.m_queue.find(ref.m_job);
    if (queued == owner.m_queue.end())
        return;
    const std::size_t removed = std::erase(queued->second.m_tasks, ref.m_task);
    const Job* const job = findJob(owner.m_state, ref.m_job);
    if (job)
        owner.m_teams[job->m_spec.m_team].m_waitingTasks -= static_cast<std::int64_t>(removed);
    if (queued->second.m_tasks.empty())
        owner.m_queue.erase(queued);
}

bool isTaskPlaced(const ShardOwner& owner, const Job& job, std::uint32_t task)
{
    const TaskRef next { .m_job = job.m_number, .m_task = task, .m_attempt = job.m_tasks[task].m_attempt + 1 };
    return owner.m_runs.contains(next);
}

void markStarted(ShardOwner& owner, TaskRun& run, const Job& job, TimePoint now)
{
    run.m_startedAt = now;
    const Duration expected = estimateRunTime(findUsage(owner, job.m_spec), job.m_spec.m_declaredRunTime);
    run.m_expectedEnd = job.m_spec.m_kind == JobKind::Service ? farFuture : now + expected;
    if (run.m_queuedAt.m_ms == 0)
        return;
    const double waited = static_cast<double>((now - run.m_queuedAt).m_ms) / 1000.0;
    owner.m_observations.push_back({ .m_span = ObservedSpan::TaskWait, .m_team = job.m_spec.m_team, .m_workClass = job.m_spec.m_workClass, .m_seconds = waited });
}

bool adoptUnknownEnd(ShardOwner& owner, std::size_t worker, const FinishedTask& finished, TimePoint now)
{
    const Job* const job = findJob(owner.m_state, finished.m_ref.m_job);
    if (!job || finished.m_ref.m_task >= job->m_tasks.size())
        return false;
    const TaskRecord& task = job->m_tasks[finished.m_ref.m_task];
    const bool isLateOutcome = task.m_state == TaskState::Unknown && task.m_attempt == finished.m_ref.m_attempt;
    if (isLateOutcome) {
        queueOutcome(owner, { .m_ref = finished.m_ref, .m_result = finished.m_result, .m_usage = finished.m_usage }, now);
        return false;
    }
    const bool isUnplaced = task.m_state == TaskState::Waiting && !isTaskPlaced(owner, *job, finished.m_ref.m_task) && !job->m_isCancelRequested;
    if (!isUnplaced || finished.m_ref.m_attempt != task.m_attempt + 1 || job->m_spec.m_kind == JobKind::Gang)
        return false;
    TaskRun run { .m_ref = finished.m_ref, .m_worker = worker };
    run.m_phase = RunPhase::Running;
    run.m_boot = owner.m_workers[worker].m_boot;
    dequeueTask(owner, finished.m_ref);
    queueRecord(owner, PlaceRecord { { { .m_ref = finished.m_ref, .m_worker = nameWithBoot(owner.m_workers[worker]), .m_grant = {} } } });
    endRun(owner, addRun(owner, run), finished.m_result, finished.m_usage, now);
    return true;
}

void requestStop(ShardOwner& owner, TaskRun& run, bool wantsCheckpoint)
{
    run.m_isStopRequested = true;
    run.m_wantsCheckpoint = wantsCheckpoint;
    owner.m_workers[run.m_worker].m_stops.push_back(run.m_ref);
    requestSync(owner, run.m_worker);
}

void updateGangOf(ShardOwner& owner, const TaskRef& ref, TimePoint now)
{
    const Job* const job = findJob(owner.m_state, ref.m_job);
    if (job && job->m_spec.m_kind == JobKind::Gang)
        updateGang(owner, *job, now);
}

void updateGang(ShardOwner& owner, const Job& job, TimePoint now)
{
    const std::vector<TaskRun*> runs = findRuns(owner, job);
    const bool hasLostTask = countTasks(job, TaskState::Waiting) > 0
        || std::any_of(runs.begin(), runs.end(), [](const TaskRun* run) { return run->m_phase == RunPhase::Ended && run->m_isUnsuccessful; });
    const bool hasPlacedTask = countTasks(job, TaskState::Placed) > 0;
    if (job.m_isCancelRequested || isFinal(stateOf(job)))
        return;
    if ((hasLostTask || job.m_isAbandoned) && hasPlacedTask) {
        for (TaskRun* const run : runs) {
            if (run->m_phase != RunPhase::Ended && !run->m_isStopRequested)
                requestStop(owner, *run, true);
        }
        return;
    }
    if (hasLostTask) {
        if (!owner.m_queue.contains(job.m_number))
            queueJob(owner, job, now);
        return;
    }
    const bool isHeldOnLeavingWorker = std::any_of(runs.begin(), runs.end(), [&owner](const TaskRun* run) { return run->m_phase == RunPhase::Held && isLeaving(owner, owner.m_workers[run->m_worker]); });
    if (isHeldOnLeavingWorker) {
        for (TaskRun* const run : runs) {
            if (run->m_phase != RunPhase::Ended && !run->m_isStopRequested)
                requestStop(owner, *run, true);
        }
        return;
    }
    const bool areAllAdmitted = std::all_of(runs.begin(), runs.end(), [](const TaskRun* run) { return isOnWorker(*run) || run->m_phase == RunPhase::Ended; });
    if (!areAllAdmitted)
        return;
    for (TaskRun* const run : runs) {
        if (run->m_phase != RunPhase::Held)
            continue;
        owner.m_workers[run->m_worker].m_releases.push_back(run->m_ref);
        requestSync(owner, run->m_worker);
    }
}

void onAcceptConfirmed(ShardOwner& owner, const AcceptJobRecord& record, const Expected<void>& result, TimePoint now, Effects& effects)
{
    const auto pending = owner.m_pendingAccepts.find(record.m_spec.m_key);
    std::vector<CallerToken> callers;
    if (pending != owner.m_pendingAccepts.end()) {
        callers = std::move(pending->second.m_callers);
        owner.m_pendingAccepts.erase(pending);
    }
    if (!result) {
        for (const CallerToken caller : callers)
            answerError(effects, caller, result.error(), RunOutcome::NotRun);
        return;
    }
    const Job& job = owner.m_state.m_jobs.at(owner.m_state.m_jobByKey.at(record.m_spec.m_key));
    queueJob(owner, job, now);
    for (const CallerToken caller : callers)
        effects.m_answers.push_back({ .m_caller = caller, .m_answer = viewJob(owner, job, false) });
}

void onPlaceConfirmed(ShardOwner& owner, const PlaceRecord& record, const Expected<void>& result, TimePoint now)
{
    for (const TaskPlacement& placement : record.m_placements) {
        const auto found = owner.m_runs.find(placement.m_ref);
        if (found == owner.m_runs.end())
            continue;
        TaskRun& run = found->second;
        if (!result) {
            revertPlacement(owner, run, now);
            continue;
        }
        if (run.m_phase != RunPhase::Journaling)
            continue;
        run.m_phase = RunPhase::Ready;
        const Worker& worker = owner.m_workers[run.m_worker];
        if (worker.m_boot != run.m_boot || run.m_isStopRequested || isLeaving(owner, worker)) {
            endRun(owner, run, TaskResult::NeverStarted, {}, now);
            continue;
        }
        owner.m_workers[run.m_worker].m_starts.push_back(run.m_ref);
        requestSync(owner, run.m_worker);
    }
    if (!result && !record.m_placements.empty())
        updateGangOf(owner, record.m_placements.front().m_ref, now);
}

void revertPlacement(ShardOwner& owner, TaskRun& run, TimePoint now)
{
    const TaskRef ref = run.m_ref;
    const bool mayBeOnWorker = run.m_phase != RunPhase::Journaling && run.m_phase != RunPhase::Ended;
    if (mayBeOnWorker) {
        run.m_isOrphan = true;
        requestStop(owner, run, false);
        return;
    }
    if (run.m_phase == RunPhase::Journaling) {
        run.m_isOrphan = true;
        endRun(owner, run, TaskResult::NeverStarted, {}, now);
    } else {
        owner.m_runs.erase(ref);
    }
    const Job* const job = findJob(owner.m_state, ref.m_job);
    const bool isWaiting = job && ref.m_task < job->m_tasks.size() && job->m_tasks[ref.m_task].m_state == TaskState::Waiting;
    if (isWaiting && !job->m_isCancelRequested && job->m_spec.m_kind != JobKind::Gang)
        queueTask(owner, *job, ref.m_task, now);
}

void onOutcomeConfirmed(ShardOwner& owner, const OutcomeRecord& record, TimePoint now, Effects& effects)
{
    for (const TaskOutcome& outcome : record.m_outcomes) {
        if (outcome.m_result != TaskResult::Done)
            confirmClosingRecord(owner, outcome.m_ref.m_job);
        eraseRun(owner, outcome.m_ref);
        const Job* const job = findJob(owner.m_state, outcome.m_ref.m_job);
        if (!job)
            continue;
        const bool isWaiting = outcome.m_ref.m_task < job->m_tasks.size() && job->m_tasks[outcome.m_ref.m_task].m_state == TaskState::Waiting;
        if (job->m_spec.m_kind == JobKind::Gang)
            updateGang(owner, *job, now);
        else if (isWaiting && !isTaskPlaced(owner, *job, outcome.m_ref.m_task))
            queueTask(owner, *job, outcome.m_ref.m_task, now);
        if (job->m_isAbandoned)
            dequeueJob(owner, job->m_number);
        answerWaiters(owner, job->m_number, now, effects);
    }
}

void onCancelConfirmed(ShardOwner& owner, const CancelJobRecord& record, TimePoint now, Effects& effects)
{
    confirmClosingRecord(owner, record.m_job);
    const Job* const job = findJob(owner.m_state, record.m_job);
    if (!job)
        return;
    dequeueJob(owner, job->m_number);
    for (TaskRun* const run : findRuns(owner, *job)) {
        if (run->m_phase == RunPhase::Ended)
            continue;
        if (run->m_phase == RunPhase::Ready)
            endRun(owner, *run, TaskResult::NeverStarted, {}, now);
        else
            requestStop(owner, *run, false);
    }
    answerWaiters(owner, job->m_number, now, effects);
}

} // namespace bulrushloft::detail
