/** @file queue_policy_type.h What the configuration says of how the jobs of a queue are scheduled. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bulrushloft {

/** Latency and validity of the approvals (tickets) that an external service issues for the steps of a queue. */
struct ApprovalPolicy {
    double m_baseCallTimeMs = 0; ///< Expected duration of one call to the service without the time for its workers, in milliseconds.
    double m_callTimePerWorkerMs = 0; ///< Additional expected duration for each worker named in the call, in milliseconds.
    Duration m_validity; ///< How long a ticket remains valid.

    bool operator==(const ApprovalPolicy&) const = default;
};

/** How the jobs of a queue are scheduled, as one version of the configuration says. */
struct QueuePolicy {
    std::uint64_t m_version = 0; ///< That version; 0 when it is not known that any version has named the queue.
    std::string m_pool; ///< Pool of workers that runs the tasks.
    int m_priority = 0; ///< Priority; 0 is the highest.
    std::uint32_t m_failureLimit = 1; ///< Number of failed runs of one task after which the job fails.
    double m_slackFactor = 1; ///< The latency objective of a job is the run time of its longest chain of dependent steps, multiplied by this, plus m_latencyTarget.
    Duration m_latencyTarget; ///< Fixed part of the latency objective.
    std::optional<ApprovalPolicy> m_approval; ///< Set if tasks need a ticket to start.

    bool operator==(const QueuePolicy&) const = default;
};

} // namespace bulrushloft
