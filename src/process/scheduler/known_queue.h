/**
 * @file known_queue.h What a leader knows of the queues of accepted jobs, whether the configuration in force names them or not.
 *
 * All that a queue's settings say of scheduling follows the configuration, also for jobs that were accepted before: what has not been placed yet is placed
 * in the pool that the latest version names. What runs goes on where it is, as stopping it would throw its work away; it runs in the new pool when it has
 * to be started again.
 *
 * The latest version that has named a queue counts, whoever knows of it: the configuration in force, the plan of a job, which holds the policy by which its
 * VM took the submission, or the record of a queue. The leader writes that record for each queue with open jobs whose plans say something else, so that a
 * later leader, whose configuration may not name the queue any more, goes on by the same policy.
 */
#pragma once

#include "connection/store_type.h"
#include "core/error_type.h"
#include "request/queue_policy_type.h"

#include <string>
#include <vector>

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
    std::uint64_t m_recordedVersion = 0; ///< Version of the policy in the queue's record; 0 for no record.
};

constexpr const char* queueRecordPrefix = "~queue:"; ///< Keys of the records of queues begin with it, and come after all keys of jobs; the queue's name follows.

/** Takes over the record of a queue that an earlier leader has written. @return Nothing, or an error of kind InvalidInput. */
Expected<void> restoreQueue(Scheduler& scheduler, const std::string& key, const std::string& record);

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

    /** @return Whether two policies say the same, in whichever versions. */
    bool isSamePolicy(const QueuePolicy& policy, const QueuePolicy& other);

    /** Takes over the policy of a queue from a record if it is of a later version than the known one. */
    void takePolicy(Scheduler& scheduler, const std::string& queue, const QueuePolicy& policy);

    /** Connects a new job with its queue, and takes over the policy in its plan if that is of a later version. */
    void assignQueue(Scheduler& scheduler, Job& job);

    /**
     * Takes over the queues of a version of the configuration. Those that it doesn't name keep their last policy for the jobs that were accepted. What is
     * kept for the waiting tasks of a queue that is sent to another pool is released.
     */
    void setQueues(Scheduler& scheduler, const ClusterSettings& cluster);

    /** Has the records of queues written or deleted that have to be, if a policy or the jobs of a queue have changed. */
    void updateQueueRecords(Scheduler& scheduler);

    /** Has the records of all queues that have one written again. */
    void renewQueueRecords(Scheduler& scheduler);

    /** @return The records of queues that are due. */
    std::vector<KeyedRecord> takeQueueRecords(Scheduler& scheduler);

    /** @return The records of all queues that have one, or are to get one. */
    std::vector<KeyedRecord> copyQueueRecords(const Scheduler& scheduler);

} // namespace detail

} // namespace bulrushloft::scheduler
