/** @file known_queue.cpp Queues as a leader knows them. */
#include "process/scheduler/known_queue.h"

#include "process/scheduler/scheduler_base.h"
#include "version/cluster_func.h"

namespace bulrushloft::scheduler::detail {

const QueuePolicy& queuePolicyOf(const Job& job)
{
    return job.m_queue->m_policy;
}

const QueuePolicy& queuePolicyFor(const Scheduler& scheduler, const JobPlan& plan)
{
    static const QueuePolicy unknown;
    const auto found = scheduler.m_queues.find(plan.m_queue);
    return found == scheduler.m_queues.end() ? unknown : found->second.m_policy;
}

std::uint32_t failureLimitOf(const Job& job)
{
    const QueuePolicy& policy = queuePolicyOf(job);
    return policy.m_version > 0 ? policy.m_failureLimit : job.m_recordedFailureLimit;
}

void assignQueue(Scheduler& scheduler, Job& job)
{
    job.m_queue = &scheduler.m_queues[job.m_plan.m_queue];
}

void setQueues(Scheduler& scheduler, const ClusterSettings& cluster)
{
    for (const QueueSettings& queue : cluster.m_queues)
        scheduler.m_queues[queue.m_name].m_policy = policyOf(queue, cluster.m_version);
}

} // namespace bulrushloft::scheduler::detail
