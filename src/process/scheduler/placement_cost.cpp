/** @file placement_cost.cpp Weights of packing, speed, failures, locality and interference. */
#include "process/scheduler/placement_cost.h"

#include "process/scheduler/scheduler_detail.h"

#include <algorithm>

namespace bulrushloft::scheduler::detail {

namespace {

    /** @return Cost of placing serving and best-effort tasks on the same worker, where they slow each other down. */
    double interference(const StepPlan& plan, const Worker& worker)
    {
        constexpr double costPerInterferingTask = 2.0;
        if (!plan.m_isBestEffort && plan.m_tailLatencyTarget.m_ms == 0)
            return 0;
        double cost = 0;
        for (const TaskRef& ref : worker.m_tasks) {
            const StepPlan& other = planOf(*ref.m_run);
            if ((plan.m_isBestEffort && other.m_tailLatencyTarget.m_ms > 0) || (plan.m_tailLatencyTarget.m_ms > 0 && other.m_isBestEffort))
                cost += costPerInterferingTask;
        }
        return cost;
    }

} // namespace

double freeShareOf(const Resources& left, const Resources& capacity)
{
    const auto share = [](std::int64_t part, std::int64_t whole) { return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0; };
    return share(left.m_cpuMilli, capacity.m_cpuMilli) + share(left.m_memoryMb, capacity.m_memoryMb) + 2 * share(left.m_gpus, capacity.m_gpus);
}

double speedWeightOf(const QueuePolicy& queue, Urgency urgency)
{
    constexpr double tightSlack = 2;
    constexpr double looseSlack = 3;
    constexpr double tightWeight = 4;
    constexpr double middleWeight = 1;
    constexpr double looseWeight = 0.5;
    if (urgency.m_class != UrgencyClass::InTime || queue.m_slackFactor >= looseSlack)
        return looseWeight;
    return queue.m_slackFactor < tightSlack ? tightWeight : middleWeight;
}

double costOf(const Scheduler& scheduler, const StepRun& run, WorkerIndex index, double speedWeight)
{
    constexpr double remoteWeight = 3.0;
    constexpr double failingWeight = 1.0;
    constexpr double colocationWeight = 0.5;
    const StepPlan& plan = planOf(run);
    const Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
    const Resources& capacity = worker.m_announcement.m_capacity;
    double cost = freeShareOf(capacity - worker.m_granted - grantOf(run), capacity);
    cost += speedWeight * slowdownOf(worker);
    cost += failingWeight * worker.m_health.m_failures / (1 + worker.m_health.m_successes);
    cost += interference(plan, worker);
    if (!plan.m_dataRack.empty() && plan.m_dataRack != worker.m_rack)
        cost += remoteWeight * (scheduler.m_options.m_remoteFactor - 1);
    if (!plan.m_isLongRunning)
        return cost;
    const auto found = run.m_attemptsByWorker.find(index);
    return found == run.m_attemptsByWorker.end() ? cost : cost + colocationWeight * found->second;
}

double failedBeforeCost(const Task& task, WorkerIndex index)
{
    constexpr double failedOnWorkerWeight = 6.0;
    return std::find(task.m_failedOn.begin(), task.m_failedOn.end(), index) != task.m_failedOn.end() ? failedOnWorkerWeight : 0;
}

} // namespace bulrushloft::scheduler::detail
