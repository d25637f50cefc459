/** @file known_queue.h What a leader knows of the queues of accepted jobs, whether the configuration in force names them or not. */
#pragma once

#include "request/queue_policy_type.h"

#include <string>

namespace bulrushloft {
struct ClusterSettings;
struct JobPlan;
}

namespace bulrushloft::scheduler {

struct Job;
struct Scheduler;

/** A queue that a version of the configuration has named, or an accepted job. Entries stay for the whole term, so that pointers to them remain valid. */
struct KnownQueue {
    QueuePolicy m_policy; ///< As the latest version says that has named the queue; without a version when none is known to have.
};

namespace detail {

    /** @return How the job is scheduled, as the latest known version says that has named its queue; defaults when none is known to have. */
    const QueuePolicy& queuePolicyOf(const Job& job);

    /** @return The same for a job that has not been accepted. */
    const QueuePolicy& queuePolicyFor(const Scheduler& scheduler, const JobPlan& plan);

    /** @return How often a task of the job may fail before the job fails, as last known; 0 when unknown. */
    std::uint32_t failureLimitOf(const Job& job);

    /** Connects a new job with its queue. */
    void assignQueue(Scheduler& scheduler, Job& job);

    /** Takes over the queues of a version of the configuration. Those that it doesn't name keep their last policy for the jobs that were accepted. */
    void setQueues(Scheduler& scheduler, const ClusterSettings& cluster);

} // namespace detail

} // namespace bulrushloft::scheduler
