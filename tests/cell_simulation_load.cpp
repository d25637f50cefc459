/** @file cell_simulation_load.cpp Tables of the simulated queues, and the plans of their jobs. */
#include "cell_simulation_load.h"

namespace bulrushloft::test {

const std::vector<SimulatedQueue>& simulatedQueues(bool needsApprovals)
{
    constexpr Duration validity { 2'000 };
    static const std::vector<SimulatedQueue> plainQueues { { .m_name = "q", .m_taskSize = { .m_cpuMilli = 1'000, .m_memoryMb = 1, .m_gpus = 0 } } };
    // As on the platform's site on which both symptoms were seen: sizes, run times, and cost of approvals.
    static const std::vector<SimulatedQueue> approvedQueues {
        { .m_name = "check", .m_slackFactor = 1.5, .m_latencyTarget = { 300 }, .m_taskSize = { .m_cpuMilli = 5'300, .m_memoryMb = 7'600, .m_gpus = 0 }, .m_estimatedRunTime = { 700 }, .m_shortestRunTime = { 300 }, .m_longestRunTime = { 1'100 }, .m_maxSteps = 2, .m_maxWidth = 9, .m_weight = 50, .m_approval = ApprovalPolicy { .m_baseCallTimeMs = 16, .m_callTimePerWorkerMs = 0.23, .m_validity = validity }, .m_approvedShare = 0.7 },
        { .m_name = "layout", .m_slackFactor = 4, .m_latencyTarget = { 3'000 }, .m_taskSize = { .m_cpuMilli = 15'000, .m_memoryMb = 16'000, .m_gpus = 0 }, .m_estimatedRunTime = { 3'000 }, .m_shortestRunTime = { 1'500 }, .m_longestRunTime = { 4'500 }, .m_maxSteps = 2, .m_maxWidth = 6, .m_weight = 12, .m_approval = ApprovalPolicy { .m_baseCallTimeMs = 150, .m_callTimePerWorkerMs = 2.2, .m_validity = validity }, .m_approvedShare = 0.45 },
        { .m_name = "laser", .m_slackFactor = 4, .m_latencyTarget = { 3'000 }, .m_taskSize = { .m_cpuMilli = 2'800, .m_memoryMb = 11'000, .m_gpus = 1 }, .m_estimatedRunTime = { 2'400 }, .m_shortestRunTime = { 1'200 }, .m_longestRunTime = { 3'600 }, .m_maxSteps = 1, .m_maxWidth = 9, .m_label = "gpu", .m_weight = 18, .m_approval = ApprovalPolicy { .m_baseCallTimeMs = 150, .m_callTimePerWorkerMs = 2.1, .m_validity = validity }, .m_approvedShare = 0.45 },
        { .m_name = "half", .m_slackFactor = 2.2, .m_latencyTarget = { 1'000 }, .m_taskSize = { .m_cpuMilli = 15'000, .m_memoryMb = 63'000, .m_gpus = 4 }, .m_estimatedRunTime = { 3'000 }, .m_shortestRunTime = { 2'000 }, .m_longestRunTime = { 4'000 }, .m_maxSteps = 1, .m_maxWidth = 4, .m_isGang = true, .m_label = "gpu", .m_weight = 10, .m_approval = ApprovalPolicy { .m_baseCallTimeMs = 490, .m_callTimePerWorkerMs = 7, .m_validity = validity }, .m_approvedShare = 0.3 },
        { .m_name = "whole", .m_slackFactor = 2.2, .m_latencyTarget = { 1'000 }, .m_taskSize = { .m_cpuMilli = 15'000, .m_memoryMb = 63'000, .m_gpus = 8 }, .m_estimatedRunTime = { 3'000 }, .m_shortestRunTime = { 2'000 }, .m_longestRunTime = { 4'000 }, .m_maxSteps = 1, .m_maxWidth = 3, .m_isGang = true, .m_label = "gpu", .m_weight = 10, .m_approval = ApprovalPolicy { .m_baseCallTimeMs = 490, .m_callTimePerWorkerMs = 7, .m_validity = validity }, .m_approvedShare = 0.3 },
    };
    return needsApprovals ? approvedQueues : plainQueues;
}

Resources simulatedCapacity(bool needsApprovals)
{
    return needsApprovals ? Resources { .m_cpuMilli = 32'000, .m_memoryMb = 131'072, .m_gpus = 8 } : Resources { .m_cpuMilli = 4'000, .m_memoryMb = 1'000, .m_gpus = 0 };
}

ClusterSettings makeSettings(const std::vector<SimulatedQueue>& queues)
{
    ClusterSettings settings { .m_version = 1, .m_queues = {}, .m_pools = { { .m_name = "pool" } } };
    for (const SimulatedQueue& queue : queues)
        settings.m_queues.push_back({ .m_name = queue.m_name, .m_host = "h", .m_pathPrefix = "/" + queue.m_name + "/", .m_pool = "pool", .m_priority = 0, .m_failureLimit = 3, .m_slackFactor = queue.m_slackFactor, .m_latencyTarget = queue.m_latencyTarget, .m_timeout = { 3'000 }, .m_approval = queue.m_approval });
    return settings;
}

JobPlan makePlan(const std::vector<SimulatedQueue>& queues, const std::string& body)
{
    const SimulatedQueue& queue = queues.at(static_cast<std::size_t>(body.at(2) - '0'));
    JobPlan plan { .m_id = {}, .m_queue = {}, .m_policy = {}, .m_payload = "p", .m_steps = {}, .m_firstStart = {}, .m_period = {}, .m_occurrenceCount = 0, .m_submittedAt = {} };
    for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(body[0] - '0'); ++i)
        plan.m_steps.push_back({ .m_count = static_cast<std::uint32_t>(body[1] - '0'), .m_size = queue.m_taskSize, .m_estimatedRunTime = queue.m_estimatedRunTime, .m_predecessors = i == 0 ? std::vector<std::uint32_t> {} : std::vector<std::uint32_t> { i - 1 }, .m_isGang = queue.m_isGang, .m_label = queue.m_label });
    return plan;
}

Duration objectiveOf(const SimulatedQueue& queue, const JobPlan& plan)
{
    const auto chainMs = static_cast<double>(queue.m_estimatedRunTime.m_ms * static_cast<std::int64_t>(plan.m_steps.size()));
    return Duration { static_cast<std::int64_t>(queue.m_slackFactor * chainMs) } + queue.m_latencyTarget;
}

} // namespace bulrushloft::test
