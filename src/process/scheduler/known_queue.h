/**
 * @file known_queue.h What a leader knows of the queues of accepted jobs, whether the configuration in force names them or not.
 *
 * All that a queue's settings say of scheduling follows the configuration, also for jobs that were accepted before: what has not been placed yet is placed
 * in the pool that the latest version names. What runs goes on where it is, as stopping it would throw its work away; it runs in the new pool when it has
 * to be started again.
 */
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

    /** @return Pool of workers that the job's tasks are placed in; that of its submission when no version is known to have named its queue. */
    const std::string& poolOf(const Job& job);

    /** @return The same for a job that has not been accepted. */
    const std::string& poolFor(const Scheduler& scheduler, const JobPlan& plan);

    /** @return How often a task of the job may fail before the job fails, as last known; 0 when unknown. */
    std::uint32_t failureLimitOf(const Job& job);

    /** Connects a new job with its queue. */
    void assignQueue(Scheduler& scheduler, Job& job);

    /**
     * Takes over the queues of a version of the configuration. Those that it doesn't name keep their last policy for the jobs that were accepted. What is
     * kept for the waiting tasks of a queue that is sent to another pool is released.
     */
    void setQueues(Scheduler& scheduler, const ClusterSettings& cluster);

} // namespace detail

} // namespace bulrushloft::scheduler
