/** @file cell_simulation_load.h Queues of a simulated cell and the jobs that clients submit to them. */
#pragma once

#include "request/plan_type.h"
#include "version/cluster_type.h"

namespace bulrushloft::test {

/** A queue and the jobs of its clients: steps that run one after another, each of the same number of tasks. */
struct SimulatedQueue {
    std::string m_name; ///< Also the path of its clients' calls.
    double m_slackFactor = 3; ///< See QueueSettings.
    Duration m_latencyTarget { 500 }; ///< See QueueSettings.
    Resources m_taskSize; ///< Resources of each task.
    Duration m_estimatedRunTime { 600 }; ///< The clients' estimate for a task.
    Duration m_shortestRunTime { 200 }; ///< Run times are distributed evenly between this and the next.
    Duration m_longestRunTime { 1'500 };
    std::uint32_t m_maxSteps = 3; ///< Maximum number of steps of a job.
    std::uint32_t m_maxWidth = 6; ///< Maximum number of tasks of a step.
    bool m_isGang = false; ///< Whether the tasks of a step run as a gang.
    std::string m_label; ///< Label that the tasks need; empty for any worker.
    int m_weight = 1; ///< Share of the jobs, relative to the other queues.
    std::optional<ApprovalPolicy> m_approval; ///< Cost and validity of approvals; unset if none are needed.
    double m_approvedShare = 1; ///< Share of the workers that are approved for a step, 0 to 1.
};

/** The queues of a simulation. @param needsApprovals Whether starts need tickets; then there are large tasks and gangs too. */
const std::vector<SimulatedQueue>& simulatedQueues(bool needsApprovals);

/** Capacity of a worker. @param needsApprovals As for simulatedQueues(). */
Resources simulatedCapacity(bool needsApprovals);

/** @return The configuration with these queues. */
ClusterSettings makeSettings(const std::vector<SimulatedQueue>& queues);

/** @return The plan in the body of a submission: three digits for the steps, the tasks in each step and the queue. */
JobPlan makePlan(const std::vector<SimulatedQueue>& queues, const std::string& body);

/** @return The time that the platform allows for a job of the queue, before its result counts as late. */
Duration objectiveOf(const SimulatedQueue& queue, const JobPlan& plan);

} // namespace bulrushloft::test
