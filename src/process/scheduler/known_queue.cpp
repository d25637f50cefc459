/** @file known_queue.cpp Queues as a leader knows them, and what a change of their settings means for accepted jobs. */
#include "process/scheduler/known_queue.h"

#include "core/log_func.h"
#include "process/scheduler/scheduler_detail.h"
#include "version/cluster_func.h"

#include <algorithm>
#include <map>

namespace bulrushloft::scheduler::detail {

namespace {

    /** What has changed for the jobs of a queue. */
    struct QueueChange {
        std::string m_queue; ///< Name of the queue.
        QueuePolicy m_former; ///< Its policy until now.
        std::size_t m_jobs = 0; ///< Open jobs that are sent to another pool.
        std::size_t m_unplaced = 0; ///< Their open tasks without an attempt, of the occurrences that are due.
        std::size_t m_attempts = 0; ///< Their attempts in the former pool, which go on.
    };

    using QueueChanges = std::map<const KnownQueue*, QueueChange>;

    /** @return Pool of a job by the policy that its queue had. */
    const std::string& poolBy(const QueuePolicy& policy, const JobPlan& plan)
    {
        return policy.m_version > 0 ? policy.m_pool : plan.m_policy.m_pool;
    }

    /** Drops what is kept for a step in its former pool. Answers to requests that name workers of that pool are not waited for any more. */
    void leavePool(StepRun& run)
    {
        run.m_hasReservations = false;
        run.m_reservedReadyAt = farFuture;
        run.m_reservingSince = {};
        run.m_waitsForPlace = false;
        run.m_isPlaceClockRunning = false;
        for (Task& task : run.m_tasks)
            task.m_waitsForPlaceSince = {};
        ApprovalState& state = run.m_approval;
        std::replace(state.m_marks.begin(), state.m_marks.end(), ApprovalMark::Asked, ApprovalMark::Unknown);
        state.m_askedWorkers = 0;
        state.m_pendingRequests = 0;
        state.m_nextRequestAt = {};
        ++state.m_generation;
    }

    void moveJob(Job& job, QueueChange& change, std::set<const StepRun*>& moved)
    {
        assignPoolUsage(job);
        ++change.m_jobs;
        for (const auto& run : job.m_runs) {
            change.m_unplaced += countUnplaced(*run);
            change.m_attempts += run->m_activeAttempts;
            leavePool(*run);
            moved.insert(run.get());
        }
    }

    /** Frees the workers that are reserved or held for steps. @param runs The steps; only compared. */
    void freeWorkers(Scheduler& scheduler, const std::set<const StepRun*>& runs)
    {
        for (const WorkerIndex index : scheduler.m_activeWorkers) {
            Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
            if (!worker.m_reservedFor || !runs.contains(worker.m_reservedFor))
                continue;
            worker.m_reservedFor = nullptr;
            worker.m_heldForSuspectUntil = {};
            scheduler.m_changedWorkers.push_back(index);
        }
    }

    /** Applies changes to the open jobs of their queues. */
    void applyChanges(Scheduler& scheduler, QueueChanges& changes)
    {
        if (changes.empty() || scheduler.m_jobs.empty())
            return;
        scheduler.m_areQueueRecordsDue = true;
        std::set<const StepRun*> moved;
        for (const auto& [id, job] : scheduler.m_jobs) {
            const auto change = changes.find(job->m_queue);
            if (change == changes.end() || isFinal(job->m_stage))
                continue;
            for (const auto& run : job->m_runs)
                run->m_isChanged = true;
            if (poolBy(change->second.m_former, job->m_plan) != poolOf(*job))
                moveJob(*job, change->second, moved);
        }
        if (!moved.empty())
            freeWorkers(scheduler, moved);
        for (const auto& [queue, change] : changes) {
            if (change.m_jobs == 0)
                continue;
            scheduler.m_approvalRates.erase(change.m_queue); // Of other workers.
            logEvent(LogLevel::Info, "queue-moved", { { "queue", change.m_queue }, { "version", queue->m_policy.m_version }, { "from", change.m_former.m_pool }, { "to", queue->m_policy.m_pool }, { "jobs", change.m_jobs }, { "unplaced", change.m_unplaced }, { "attempts_that_go_on", change.m_attempts } });
        }
    }

    /** Replaces the policy of a queue unless a later version is known to have named it. @param[out] changes Gets the change, if it is one. */
    void replacePolicy(Scheduler& scheduler, const std::string& name, QueuePolicy policy, QueueChanges& changes)
    {
        KnownQueue& known = scheduler.m_queues[name];
        if (policy.m_version < known.m_policy.m_version)
            return;
        QueuePolicy former = std::exchange(known.m_policy, std::move(policy));
        if (!isSamePolicy(former, known.m_policy) || former.m_version == 0)
            changes.emplace(&known, QueueChange { .m_queue = name, .m_former = std::move(former) });
    }

} // namespace

const QueuePolicy& queuePolicyOf(const Job& job)
{
    return job.m_queue->m_policy;
}

const QueuePolicy& queuePolicyFor(const Scheduler& scheduler, const JobPlan& plan)
{
    const auto found = scheduler.m_queues.find(plan.m_queue);
    const bool isPlanLater = found == scheduler.m_queues.end() || found->second.m_policy.m_version < plan.m_policy.m_version;
    return isPlanLater ? plan.m_policy : found->second.m_policy;
}

bool isSamePolicy(const QueuePolicy& policy, const QueuePolicy& other)
{
    QueuePolicy inSameVersion = other;
    inSameVersion.m_version = policy.m_version;
    return policy == inSameVersion;
}

const std::string& poolOf(const Job& job)
{
    return poolBy(queuePolicyOf(job), job.m_plan);
}

const std::string& poolFor(const Scheduler& scheduler, const JobPlan& plan)
{
    return poolBy(queuePolicyFor(scheduler, plan), plan);
}

std::uint32_t failureLimitOf(const Job& job)
{
    const QueuePolicy& policy = queuePolicyOf(job);
    return policy.m_version > 0 ? policy.m_failureLimit : job.m_recordedFailureLimit;
}

void takePolicy(Scheduler& scheduler, const std::string& queue, const QueuePolicy& policy)
{
    QueueChanges changes;
    if (policy.m_version > scheduler.m_queues[queue].m_policy.m_version)
        replacePolicy(scheduler, queue, policy, changes);
    applyChanges(scheduler, changes);
}

void assignQueue(Scheduler& scheduler, Job& job)
{
    job.m_queue = &scheduler.m_queues[job.m_plan.m_queue];
    takePolicy(scheduler, job.m_plan.m_queue, job.m_plan.m_policy);
    const QueuePolicy& policy = queuePolicyOf(job);
    scheduler.m_areQueueRecordsDue = scheduler.m_areQueueRecordsDue || (!isSamePolicy(policy, job.m_plan.m_policy) && job.m_queue->m_recordedVersion != policy.m_version);
}

void setQueues(Scheduler& scheduler, const ClusterSettings& cluster)
{
    QueueChanges changes;
    for (const QueueSettings& queue : cluster.m_queues)
        replacePolicy(scheduler, queue.m_name, policyOf(queue, cluster.m_version), changes);
    applyChanges(scheduler, changes);
}

} // namespace bulrushloft::scheduler::detail
