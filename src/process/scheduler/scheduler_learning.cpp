/** @file scheduler_learning.cpp What run times teach: the speed of workers and the length of a queue's tasks. */
#include "process/scheduler/scheduler_detail.h"

#include <algorithm>
#include <cmath>

namespace bulrushloft::scheduler::detail {

namespace {

    constexpr double smallestShare = 0.1; ///< Least weight of a new sample against all earlier ones.
    constexpr double largestDeviation = 1.5; ///< Samples of a worker's speed are cut off here.
    constexpr double priorVariance = 0.5; ///< Variances before there are samples.
    constexpr std::uint32_t enoughSteps = 5;

    double shareOfNew(std::uint32_t samples)
    {
        return std::max(smallestShare, 1.0 / (samples + 1.0));
    }

    void mixInto(double& mean, double& variance, double sample, double share)
    {
        const double deviation = sample - mean;
        mean += share * deviation;
        variance = (1 - share) * (variance + share * deviation * deviation);
    }

    void learnQueue(RunTimeModel& model, double logRan, double logEstimate)
    {
        const double share = shareOfNew(model.m_samples);
        if (model.m_samples == 0) {
            model.m_mean = logRan;
            model.m_bias = logRan - logEstimate;
            model.m_variance = priorVariance;
            model.m_errorVariance = priorVariance;
        } else {
            mixInto(model.m_mean, model.m_variance, logRan, share);
            mixInto(model.m_bias, model.m_errorVariance, logRan - logEstimate, share);
        }
        ++model.m_samples;
    }

} // namespace

void learnRunTime(Scheduler& scheduler, StepRun& run, WorkerHealth& health, double logRan)
{
    // Tasks of one step are alike, so their run times compare workers without the error of the estimate.
    if (run.m_logRunCount > 0) {
        const double sample = std::clamp(logRan - run.m_logRunSum / run.m_logRunCount, -largestDeviation, largestDeviation);
        health.m_logSlowness += shareOfNew(health.m_samples) * (sample - health.m_logSlowness);
        ++health.m_samples;
    }
    const double atMeanSpeed = logRan - health.m_logSlowness;
    run.m_logRunSum += atMeanSpeed;
    ++run.m_logRunCount;
    if (run.m_logRunCount == 1) {
        const double estimate = std::max(1.0, static_cast<double>(planOf(run).m_estimatedRunTime.m_ms));
        learnQueue(scheduler.m_runTimes[run.m_job->m_plan.m_queue], atMeanSpeed, std::log(estimate));
    }
}

Duration expectRunTime(const Scheduler& scheduler, const Job& job, std::uint32_t step)
{
    const Duration estimate = job.m_plan.m_steps[step].m_estimatedRunTime;
    const auto found = scheduler.m_runTimes.find(job.m_plan.m_queue);
    if (found == scheduler.m_runTimes.end() || found->second.m_samples < enoughSteps || estimate.m_ms <= 0)
        return estimate;
    const RunTimeModel& model = found->second;
    constexpr double leastVariance = 0.01;
    const double queueWeight = 1 / std::max(leastVariance, model.m_variance);
    const double estimateWeight = 1 / std::max(leastVariance, model.m_errorVariance);
    const double fromEstimate = std::log(static_cast<double>(estimate.m_ms)) + model.m_bias;
    const double expected = (model.m_mean * queueWeight + fromEstimate * estimateWeight) / (queueWeight + estimateWeight);
    return { static_cast<std::int64_t>(std::exp(expected)) };
}

namespace {

    /** @return By step: its expected run time and that of the longest chain that depends on it. */
    std::vector<Duration> expectChains(const Scheduler& scheduler, const Job& job)
    {
        const auto& steps = job.m_plan.m_steps;
        std::vector<Duration> longest(steps.size());
        for (std::size_t i = steps.size(); i-- > 0;) {
            longest[i] = longest[i] + expectRunTime(scheduler, job, static_cast<std::uint32_t>(i));
            for (const std::uint32_t earlier : steps[i].m_after)
                longest[earlier] = std::max(longest[earlier], longest[i]);
        }
        return longest;
    }

} // namespace

Duration expectChainFrom(const Scheduler& scheduler, const Job& job, std::uint32_t step)
{
    return expectChains(scheduler, job)[step];
}

Duration expectChain(const Scheduler& scheduler, const Job& job)
{
    const std::vector<Duration> chains = expectChains(scheduler, job);
    return *std::max_element(chains.begin(), chains.end());
}

} // namespace bulrushloft::scheduler::detail
