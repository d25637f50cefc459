/** @file scheduler_record.cpp Encoding of job progress for the store, and its restoration by a later term. */
#include "connection/enum_codec.h"
#include "core/cbor.h"
#include "core/log_func.h"
#include "process/scheduler/active_workers.h"
#include "process/scheduler/crash_record.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "process/scheduler/unread_usage.h"
#include "request/plan_codec.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace bulrushloft::scheduler {

using Json = nlohmann::json;

namespace {

    /** Format version of a progress record, its first element; incremented whenever the format changes. */
    constexpr int recordFormat = 1;

    constexpr std::size_t failureLimitElement = 4; ///< Position of the queue's limit of failures in a progress record; earlier releases did not write it.
    constexpr std::size_t customerElement = 5; ///< Position of what the record tells of the customer; see encodeCustomer(). Without a customer the record ends before it.
    constexpr std::size_t crashesElement = 6; ///< Position of the counts of crashes in a task's row; earlier releases wrote shorter rows.
    constexpr std::size_t addressElement = 8; ///< Position of the worker's address and process start, and of the isolation; without meaning for a task that is not placed.
    constexpr std::size_t isolationElement = addressElement + 2;
    constexpr std::size_t provenElement = isolationElement + 1; ///< Position of the count of proven suspicions and of whether the attempt is known to run.
    constexpr std::size_t countedElement = provenElement + 2; ///< Position of whether a crash has been counted for the attempt.

    /** Short form, a single number, of a task that was never placed or that is resolved and has no current attempt. */
    enum class TaskMark : std::uint8_t {
        NeverPlaced,
        Done,
        Failed,
    };

    constexpr std::size_t maxProgressBytes = 1'900'000; ///< The store takes 2 MB in one append, and the parts of a record belong together.

    Json encodeTask(const Scheduler& scheduler, const Task& task, const std::string& checkpoint)
    {
        const bool isPlaced = task.m_phase != RunPhase::None;
        if (task.m_resolution != TaskResolution::Open && !isPlaced)
            return static_cast<int>(task.m_resolution == TaskResolution::Done ? TaskMark::Done : TaskMark::Failed);
        if (task.m_attempt == 0)
            return static_cast<int>(TaskMark::NeverPlaced);
        const Worker* const worker = isPlaced ? &scheduler.m_workers[static_cast<std::size_t>(task.m_worker)] : nullptr;
        Json row = Json::array({ static_cast<int>(task.m_resolution), task.m_attempt, task.m_failures, task.m_hasStarted, worker ? worker->m_announcement.m_id : std::string(), checkpoint });
        if (!worker && task.m_crashes == 0 && task.m_suspicions == 0)
            return row;
        row.push_back(task.m_crashes);
        row.push_back(task.m_suspicions);
        row.push_back(worker ? format(worker->m_announcement.m_address) : std::string());
        row.push_back(worker ? worker->m_processStartMs : 0);
        row.push_back(task.m_isIsolated);
        row.push_back(task.m_provenSuspicions);
        row.push_back(task.m_isKnownToRun);
        row.push_back(task.m_isCrashCounted);
        return row;
    }

    /** @return Whether the job has ended and nothing of it may be running any more, so that only its stage matters. */
    bool isSettled(const Job& job)
    {
        return isFinal(job.m_stage) && std::all_of(job.m_runs.begin(), job.m_runs.end(), [](const auto& run) { return run->m_activeAttempts == 0; });
    }

    std::string encodeRuns(const Scheduler& scheduler, const Job& job, bool areCheckpointsKept)
    {
        Json runs = Json::array();
        const bool isShort = isSettled(job) || job.m_isHeld; // Without tasks, a later term that can't read all cancellations holds the job too.
        for (const auto& run : job.m_runs) {
            if (isShort)
                break;
            Json tasks = Json::array();
            for (const Task& task : run->m_tasks)
                tasks.push_back(encodeTask(scheduler, task, areCheckpointsKept ? task.m_checkpoint : std::string()));
            runs.push_back(Json::array({ run->m_occurrence, run->m_step, run->m_gangFailures, run->m_lastFailedAttempt, std::move(tasks) }));
        }
        Json record = Json::array({ recordFormat, static_cast<int>(job.m_stage), isShort ? 0 : job.m_nextOccurrence, std::move(runs), detail::failureLimitOf(job) });
        if (job.m_customer && !isShort)
            record.push_back(detail::encodeCustomer(job));
        const std::vector<std::uint8_t> bytes = Json::to_cbor(record);
        return { bytes.begin(), bytes.end() };
    }

    /** @return A job's progress; without the checkpoints if it would be too large, so that its tasks would begin anew at worst. */
    std::string encodeProgress(const Scheduler& scheduler, const Job& job)
    {
        std::string record = encodeRuns(scheduler, job, true);
        return record.size() <= maxProgressBytes ? record : encodeRuns(scheduler, job, false);
    }

    /** @return What has to be kept of the plan of an ended job, so that its id is known and its stage can be told. */
    std::string encodeShortPlan(const JobPlan& plan)
    {
        return encodePlan({ .m_id = plan.m_id, .m_queue = plan.m_queue, .m_policy = { .m_pool = plan.m_policy.m_pool }, .m_payload = {}, .m_steps = { { .m_count = 0 } }, .m_firstStart = {}, .m_period = {}, .m_occurrenceCount = 0, .m_submittedAt = plan.m_submittedAt });
    }

    WorkerIndex findOrCreateWorker(Scheduler& scheduler, const std::string& id)
    {
        const auto [found, isNew] = scheduler.m_workerById.try_emplace(id, static_cast<WorkerIndex>(scheduler.m_workers.size()));
        if (isNew) {
            scheduler.m_workers.emplace_back();
            scheduler.m_workers.back().m_announcement.m_id = id;
        }
        detail::activateWorker(scheduler, found->second);
        return found->second;
    }

    /** Restores where a task's worker was and when its process had started, so that a crash during the change of leader shows. */
    void restoreProcess(Worker& worker, const Json& row)
    {
        if (row.size() <= addressElement + 1)
            return;
        const auto address = parseAddress(row.at(addressElement).get<std::string>());
        if (address && worker.m_announcement.m_address.m_port == 0)
            worker.m_announcement.m_address = *address;
        if (worker.m_processStartMs == 0)
            worker.m_processStartMs = row.at(addressElement + 1);
    }

    /** Restores what is known of crashes under a task. A row of an earlier release doesn't tell; none is proven then. */
    void restoreProof(Task& task, const Json& row)
    {
        if (row.size() <= provenElement + 1)
            return;
        task.m_provenSuspicions = row.at(provenElement);
        task.m_isKnownToRun = row.at(provenElement + 1);
        task.m_isCrashCounted = row.size() > countedElement && row.at(countedElement).get<bool>();
    }

    void restoreTask(Scheduler& scheduler, const TaskRef& ref, const Json& row, TimePoint now)
    {
        Task& task = ref.task();
        if (row.is_number()) {
            const auto mark = decodeEnum(row, TaskMark::Failed);
            task.m_resolution = mark == TaskMark::Done ? TaskResolution::Done : mark == TaskMark::Failed ? TaskResolution::Failed
                                                                                                         : TaskResolution::Open;
        } else {
            task.m_resolution = decodeEnum(row.at(0), TaskResolution::Failed);
            task.m_attempt = row.at(1);
            task.m_failures = row.at(2);
            task.m_hasStarted = row.at(3);
            task.m_checkpoint = row.at(5);
            if (row.size() > crashesElement + 1) {
                task.m_crashes = row.at(crashesElement);
                task.m_suspicions = row.at(crashesElement + 1);
                task.m_isIsolated = row.size() > isolationElement && row.at(isolationElement).get<bool>();
                restoreProof(task, row);
                ref.m_run->m_hadSuspects = ref.m_run->m_hadSuspects || detail::isSuspect(task);
            }
        }
        if (task.m_resolution == TaskResolution::Done) {
            ++ref.m_run->m_doneCount;
            --ref.m_run->m_job->m_openTasks;
        }
        const std::string worker = row.is_number() ? std::string() : row.at(4).get<std::string>();
        if (worker.empty())
            return;
        task.m_worker = findOrCreateWorker(scheduler, worker);
        task.m_phase = RunPhase::Running;
        task.m_confirmedAt = now - Duration { 1 }; // Before the first sync is sent, so that its answer can show that the attempt is missing.
        task.m_progressAt = now;
        Worker& host = scheduler.m_workers[static_cast<std::size_t>(task.m_worker)];
        restoreProcess(host, row);
        host.m_tasks.push_back(ref);
        host.m_suspects += detail::isSuspect(task) ? 1 : 0;
        host.m_granted = host.m_granted + detail::grantOf(*ref.m_run);
        ++ref.m_run->m_attemptsByWorker[task.m_worker];
        ++ref.m_run->m_activeAttempts;
        detail::countAttempt(scheduler, ref);
    }

    void restoreRun(Scheduler& scheduler, Job& job, const Json& row, TimePoint now)
    {
        const auto occurrence = row.at(0).get<std::uint32_t>();
        const auto step = row.at(1).get<std::uint32_t>();
        StepRun* const found = detail::findRun(job, occurrence, step);
        if (!found)
            return;
        StepRun& run = *found;
        run.m_gangFailures = row.at(2);
        run.m_lastFailedAttempt = row.at(3);
        const Json& tasks = row.at(4);
        for (std::uint32_t i = 0; i < run.m_tasks.size() && i < tasks.size(); ++i)
            restoreTask(scheduler, { &run, i }, tasks.at(i), now);
    }

    void stopAllTasks(Scheduler& scheduler, Job& job, TimePoint now)
    {
        job.m_endedAt = now;
        for (const auto& run : job.m_runs) {
            for (std::uint32_t i = 0; i < run->m_tasks.size(); ++i)
                detail::stopTask(scheduler, { run.get(), i }, now);
        }
    }

    /** @return Time by which all leases have run out that earlier leaders have granted, even where a worker's clock runs slow. */
    TimePoint earlierLeasesEnd(const Scheduler& scheduler)
    {
        const double longestMs = static_cast<double>(scheduler.m_options.m_longestLease.m_ms) / (1.0 - scheduler.m_options.m_clockDrift);
        return scheduler.m_earlierLeadersStoppedAt + Duration { static_cast<std::int64_t>(std::ceil(longestMs)) };
    }

    /** Sets the time by which leases of earlier terms have run out on a worker that has not answered this one. */
    void expectEarlierLeases(const Scheduler& scheduler, Worker& worker, TimePoint now)
    {
        worker.m_earlierLeasesEndAt = earlierLeasesEnd(scheduler);
        worker.m_answeredAt = now;
        worker.m_unansweredCalls = 1; // Leases expire only while calls are unanswered, and this worker may never answer one.
        worker.m_nextSyncAt = now;
    }

    void predictRestoredRunTime(Scheduler& scheduler, StepRun& run)
    {
        if (run.m_expectedRunTime == Duration {})
            run.m_expectedRunTime = detail::predictRunTime(scheduler, *run.m_job, run.m_step);
    }

    bool hasStarted(const Job& job)
    {
        return std::any_of(job.m_runs.begin(), job.m_runs.end(), [](const auto& run) {
            return std::any_of(run->m_tasks.begin(), run->m_tasks.end(), [](const Task& task) { return task.m_hasStarted || task.m_resolution != TaskResolution::Open; });
        });
    }

    void restoreJob(Scheduler& scheduler, Job& job, const Json& decoded, TimePoint now)
    {
        const std::uint32_t nextOccurrence = std::min(decoded.at(2).get<std::uint32_t>(), std::max(job.m_plan.m_occurrenceCount, 1U));
        for (std::uint32_t i = job.m_nextOccurrence; i < nextOccurrence; ++i)
            detail::openOccurrence(scheduler, job, i, now);
        if (decoded.size() > failureLimitElement)
            job.m_recordedFailureLimit = decoded.at(failureLimitElement);
        if (decoded.size() > customerElement)
            detail::restoreCap(scheduler, decoded.at(customerElement));
        for (const Json& row : decoded.at(3))
            restoreRun(scheduler, job, row, now);
        const auto recordedStage = decodeEnum(decoded.at(1), JobStage::Cancelled);
        // A cancellation that was read before the progress record takes precedence over it.
        const bool wasEnded = isFinal(job.m_stage);
        job.m_isHeld = scheduler.m_areCancellationsUnread && decoded.at(3).empty();
        const JobStage stage = wasEnded ? job.m_stage : recordedStage;
        const bool isPending = stage == JobStage::Pending && !hasStarted(job);
        if (job.m_stage == JobStage::Pending && !isPending)
            --scheduler.m_pendingCounts[job.m_plan.m_queue];
        job.m_stage = isFinal(stage) || isPending ? stage : JobStage::Active;
        if (isFinal(stage)) {
            if (!wasEnded)
                scheduler.m_endedJobs.emplace_back(now, job.m_plan.m_id);
            return stopAllTasks(scheduler, job, now);
        }
        detail::releaseReadySteps(scheduler, job, now);
        detail::releaseDueOccurrences(scheduler, job, now);
    }

} // namespace

bool hasRecords(const Scheduler& scheduler)
{
    return !scheduler.m_dirtyJobs.empty() || !scheduler.m_droppedKeys.empty() || !scheduler.m_dueQueues.empty();
}

std::vector<KeyedRecord> takeRecords(Scheduler& scheduler)
{
    std::vector<KeyedRecord> records;
    records.reserve(scheduler.m_droppedKeys.size() + scheduler.m_dirtyJobs.size());
    for (std::string& key : std::exchange(scheduler.m_droppedKeys, {})) // First: a forgotten job may have been submitted again.
        records.push_back({ .m_key = std::move(key), .m_value = {} });
    for (KeyedRecord& queue : detail::takeQueueRecords(scheduler))
        records.push_back(std::move(queue));
    for (Job* job : scheduler.m_dirtyJobs) {
        job->m_isDirty = false;
        if (!job->m_planRecord.empty())
            records.push_back({ .m_key = planKey(job->m_plan.m_id), .m_value = std::exchange(job->m_planRecord, {}) });
        records.push_back({ .m_key = job->m_plan.m_id, .m_value = encodeProgress(scheduler, *job) });
        // The short plan follows the stage: should only a part of the batch be stored, the job must not be known as open without its tasks.
        if (job->m_isPlanInProgress && !job->m_isPlanShortened && isSettled(*job)) {
            job->m_isPlanShortened = true;
            records.push_back({ .m_key = planKey(job->m_plan.m_id), .m_value = encodeShortPlan(job->m_plan) });
        }
    }
    scheduler.m_dirtyJobs.clear();
    ++scheduler.m_nextBatch;
    return records;
}

std::vector<KeyedRecord> snapshotRecords(const Scheduler& scheduler)
{
    std::vector<KeyedRecord> records;
    records.reserve(scheduler.m_jobs.size() * 2 + scheduler.m_unmatchedProgress.size());
    for (const auto& [id, job] : scheduler.m_jobs) {
        const bool isShort = job->m_isPlanShortened || isSettled(*job);
        if (job->m_isPlanInProgress)
            records.push_back({ .m_key = planKey(id), .m_value = isShort ? encodeShortPlan(job->m_plan) : encodePlan(job->m_plan) });
        records.push_back({ .m_key = id, .m_value = encodeProgress(scheduler, *job) });
    }
    for (const auto& [id, record] : scheduler.m_unmatchedProgress)
        records.push_back({ .m_key = id, .m_value = record });
    for (KeyedRecord& queue : detail::copyQueueRecords(scheduler))
        records.push_back(std::move(queue));
    return records;
}

namespace {

    Expected<void> decodeAndRestore(Scheduler& scheduler, Job& job, const std::string& record, TimePoint now)
    {
        const std::string& id = job.m_plan.m_id;
        try {
            const Json decoded = decodeCbor(record);
            if (decoded.at(0) != recordFormat)
                return fail(ErrorKind::InvalidInput, "progress record of job " + id + " has unsupported format version " + decoded.at(0).dump(), "run the same release on all daemons");
            restoreJob(scheduler, job, decoded, now);
        } catch (const std::exception& error) {
            return fail(ErrorKind::InvalidInput, "progress record of job " + id + " can't be decoded: " + error.what(), "check whether another program writes to the topic");
        }
        return {};
    }

    /** Keeps the record of a job that has not been read, and counts its attempts for their customer. */
    void keepUnmatched(Scheduler& scheduler, const std::string& id, const std::string& record)
    {
        scheduler.m_unmatchedProgress.insert_or_assign(id, record);
        try {
            const Json decoded = decodeCbor(record);
            if (decoded.at(0) == recordFormat)
                detail::countUnread(scheduler, id, decoded);
        } catch (const std::exception&) {
            return; // It is reported as unusable when the job is read.
        }
    }

    Expected<void> failUnmatched(const std::string& id)
    {
        return fail(ErrorKind::UnknownName, "progress record of job " + id + " has no matching submission", "check whether another program deletes records of the topic of jobs");
    }

    /** @return Whether a progress record says that its job has ended. */
    bool isEndRecorded(const std::string& record)
    {
        try {
            const Json decoded = decodeCbor(record);
            return decoded.at(0) == recordFormat && isFinal(decodeEnum(decoded.at(1), JobStage::Cancelled));
        } catch (const std::exception&) {
            return false; // It is reported as unusable.
        }
    }

    void logUnusable(const std::string& id, const Error& error)
    {
        logEvent(LogLevel::Error, "progress-unusable", { { "key", id }, { "error", describe(error) } });
    }

    /** Prepares workers and steps for attempts that were restored after the others. */
    void finishRestoringLate(Scheduler& scheduler, const Job& job, TimePoint now)
    {
        for (const auto& run : job.m_runs) {
            if (run->m_activeAttempts > 0)
                predictRestoredRunTime(scheduler, *run);
            for (const auto& [index, count] : run->m_attemptsByWorker) {
                Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
                if (worker.m_state == WorkerState::New && worker.m_earlierLeasesEndAt == farFuture)
                    expectEarlierLeases(scheduler, worker, now);
            }
        }
    }

} // namespace

Expected<void> restoreProgress(Scheduler& scheduler, const std::string& id, const std::string& record, TimePoint now)
{
    const auto found = scheduler.m_jobs.find(id);
    if (found != scheduler.m_jobs.end())
        return decodeAndRestore(scheduler, *found->second, record, now);
    if (!scheduler.m_areSubmissionsUnread)
        return failUnmatched(id);
    keepUnmatched(scheduler, id, record);
    return {};
}

void detail::restoreUnmatched(Scheduler& scheduler, Job& job, TimePoint now)
{
    const auto unmatched = scheduler.m_unmatchedProgress.extract(job.m_plan.m_id);
    if (unmatched.empty())
        return;
    releaseUnread(scheduler, job.m_plan.m_id);
    if (const auto restored = decodeAndRestore(scheduler, job, unmatched.mapped(), now); !restored)
        logUnusable(job.m_plan.m_id, restored.error());
    finishRestoringLate(scheduler, job, now);
    handleUnmatchedEnds(scheduler, job.m_plan.m_id, now);
}

bool isHeldRecord(const std::string& record)
{
    try {
        const Json decoded = decodeCbor(record);
        return decoded.at(0) == recordFormat && decodeEnum(decoded.at(1), JobStage::Cancelled) == JobStage::Pending && decoded.at(3).empty();
    } catch (const std::exception&) {
        return false; // It is reported as unusable.
    }
}

void restoreLate(Scheduler& scheduler, std::vector<JobPlan> plans, const std::map<std::string, std::string>& progress, TimePoint now)
{
    for (const auto& [id, record] : progress)
        keepUnmatched(scheduler, id, record);
    for (const auto& [id, job] : scheduler.m_jobs)
        detail::restoreUnmatched(scheduler, *job, now);
    for (JobPlan& plan : plans)
        restorePlan(scheduler, std::move(plan), now);
    scheduler.m_isProgressUnread = false;
}

void markAllDirty(Scheduler& scheduler)
{
    for (const auto& [id, job] : scheduler.m_jobs) {
        if (job->m_isPlanInProgress)
            job->m_planRecord = job->m_isPlanShortened ? encodeShortPlan(job->m_plan) : encodePlan(job->m_plan);
        detail::markDirty(scheduler, *job);
    }
    detail::renewQueueRecords(scheduler);
}

void boundEarlierLeases(Scheduler& scheduler, TimePoint earlierLeadersStoppedAt)
{
    scheduler.m_earlierLeadersStoppedAt = std::min(scheduler.m_earlierLeadersStoppedAt, earlierLeadersStoppedAt);
    const TimePoint end = earlierLeasesEnd(scheduler);
    for (Worker& worker : scheduler.m_workers) {
        if (worker.m_earlierLeasesEndAt != farFuture)
            worker.m_earlierLeasesEndAt = std::min(worker.m_earlierLeasesEndAt, end);
    }
}

void finishRestoring(Scheduler& scheduler, TimePoint earlierLeadersStoppedAt, TimePoint now)
{
    scheduler.m_earlierLeadersStoppedAt = earlierLeadersStoppedAt;
    for (Worker& worker : scheduler.m_workers) {
        expectEarlierLeases(scheduler, worker, now);
        for (const TaskRef& ref : worker.m_tasks) // Not earlier: the prediction needs the learned run times.
            predictRestoredRunTime(scheduler, *ref.m_run);
    }
    for (const auto& [id, job] : scheduler.m_jobs) {
        if (scheduler.m_cancelledEarly.contains(id))
            detail::endJob(scheduler, *job, JobStage::Cancelled, now);
    }
}

void finishCancellations(Scheduler& scheduler, TimePoint now)
{
    scheduler.m_areCancellationsUnread = false;
    for (const auto& [id, job] : scheduler.m_jobs) {
        if (!std::exchange(job->m_isHeld, false) || isFinal(job->m_stage))
            continue;
        detail::releaseReadySteps(scheduler, *job, now);
        detail::releaseDueOccurrences(scheduler, *job, now);
    }
}

void finishSubmissions(Scheduler& scheduler, TimePoint now)
{
    scheduler.m_areSubmissionsUnread = false;
    scheduler.m_areQueueRecordsDue = true; // No unread job needs a record any more.
    for (const auto& [id, record] : std::exchange(scheduler.m_unmatchedProgress, {})) {
        detail::releaseUnread(scheduler, id);
        if (isEndRecorded(record)) // An earlier term has deleted the submission of the expired job, and ended before it had dropped the progress.
            scheduler.m_droppedKeys.push_back(id);
        else
            logUnusable(id, failUnmatched(id).error());
    }
    while (!scheduler.m_unmatchedEnds.empty())
        detail::handleUnmatchedEnds(scheduler, std::string(scheduler.m_unmatchedEnds.front().m_ended.m_task.m_job), now);
    detail::acknowledgeEnds(scheduler, now);
    finishCancellations(scheduler, now);
}

} // namespace bulrushloft::scheduler
