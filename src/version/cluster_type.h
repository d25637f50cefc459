/** @file cluster_type.h One version of the operator's configuration, with queues and pools, and the operator's maintenance requests. */
#pragma once

#include "core/clock_type.h"
#include "request/queue_policy_type.h"
#include "version/customer_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushloft {

/** A queue: the route by which jobs are submitted, and how they are scheduled. */
struct QueueSettings {
    std::string m_name; ///< Name of the queue.
    std::string m_host; ///< Host name that callers use.
    std::string m_pathPrefix; ///< Path prefix of the calls that belong to the queue.
    std::string m_pool; ///< Pool of workers that runs the tasks.
    int m_priority = 0; ///< Priority; 0 is the highest.
    std::uint32_t m_failureLimit = 1; ///< Number of failed runs of one task after which the job fails.
    double m_slackFactor = 1; ///< The latency objective of a job is the run time of its longest chain of dependent steps, multiplied by this, plus m_latencyTarget.
    Duration m_latencyTarget; ///< Fixed part of the latency objective.
    Duration m_timeout { 3'000 }; ///< Maximum time for answering one call of a client.
    std::optional<ApprovalPolicy> m_approval; ///< Set if tasks need a ticket to start.
    bool m_isAnonymous = false; ///< Whether calls need no key of a customer.
};

/** A pool of workers. */
struct PoolSettings {
    std::string m_name; ///< Name of the pool.
    bool m_hasAdmissionControl = false; ///< Whether the workers reject tasks that do not fit.
    bool m_isStandby = false; ///< Whether the machines are on standby, that is powered off.
};

/** One version of the operator's configuration. */
struct ClusterSettings {
    std::uint64_t m_version = 0; ///< Version number; increases with every change.
    std::vector<QueueSettings> m_queues; ///< All queues.
    std::vector<PoolSettings> m_pools; ///< All pools.
    std::vector<CustomerSettings> m_customers; ///< All customers.
    bool m_requiresKeys = false; ///< Whether calls on queues that are not anonymous need a key of a customer.
};

using SharedCluster = std::shared_ptr<const ClusterSettings>;

/** The operator's request to take machines down for maintenance. */
struct MaintenanceWave {
    std::uint64_t m_number = 0; ///< Number of the wave.
    std::vector<std::string> m_machines; ///< Names of the machines to be maintained.
    Duration m_startWindow; ///< Time within which maintenance of all machines has to start.
    std::uint32_t m_maxConcurrent = 1; ///< Maximum number of machines that are down at the same time.
};

} // namespace bulrushloft
