/** @file cluster_type.h One version of the operator's configuration: queues, pools, upkeep. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushloft {

/** Cost and validity of the approvals that an outside service gives for the steps of a queue. */
struct ApprovalPolicy {
    double m_baseMs = 0; ///< Time of one call in milliseconds.
    double m_perWorkerMs = 0; ///< Further milliseconds for each worker named.
    Duration m_validity; ///< How long a ticket can be used.
};

/** A queue: where jobs are handed in and how they are treated. */
struct QueueSettings {
    std::string m_name; ///< Name of the queue.
    std::string m_host; ///< Host that callers name.
    std::string m_pathPrefix; ///< Beginning of the paths of the queue's jobs.
    std::string m_pool; ///< Pool that runs its tasks.
    int m_priority = 0; ///< 0 comes first.
    std::uint32_t m_attemptLimit = 1; ///< Failed runs of one task that fail the job.
    double m_slackFactor = 1; ///< The objective as a multiple of the longest chain.
    Duration m_latencyTarget; ///< Added to the objective.
    Duration m_timeout { 3'000 }; ///< Longest time for one call of a client.
    std::optional<ApprovalPolicy> m_approval; ///< Set when tasks start with tickets only.
};

/** A pool of workers. */
struct PoolSettings {
    std::string m_name; ///< Name of the pool.
    bool m_hasAdmissionControl = false; ///< Its workers refuse what does not fit.
    bool m_isStandby = false; ///< Its machines are off.
};

/** One version of the configuration. */
struct ClusterSettings {
    std::uint64_t m_version = 0; ///< Rises with each change.
    std::vector<QueueSettings> m_queues; ///< All queues.
    std::vector<PoolSettings> m_pools; ///< All pools.
};

using SharedCluster = std::shared_ptr<const ClusterSettings>;

/** The operator's request that machines have their upkeep. */
struct MaintenanceWave {
    std::uint64_t m_number = 0; ///< Number of the wave.
    std::vector<std::string> m_machines; ///< Machines of the wave.
    Duration m_startWindow; ///< Time in which all shall have begun.
    std::uint32_t m_maxConcurrent = 1; ///< Most machines down at a time.
};

} // namespace bulrushloft
