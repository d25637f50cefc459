/** @file scheduler_learning.cpp Estimates of worker speeds and task run times from observed run times. */
#include "process/scheduler/scheduler_detail.h"

#include <algorithm>
#include <cmath>

namespace bulrushloft::scheduler::detail {

namespace {

    constexpr double minSampleWeight = 0.1; ///< Minimum weight of a new sample against all earlier ones.
    constexpr double maxLogDeviation = 1.5; ///< Absolute value to which samples of a worker's slowdown (logarithms) are clamped.
    constexpr double priorVariance = 0.5; ///< Variance assumed after the first sample.
    constexpr std::uint32_t minModelSamples = 5;

    /** @return Weight of the next sample; gives a plain mean at first and a moving average once the minimum weight is reached. */
    double newSampleWeight(std::uint32_t samples)
    {
        return std::max(minSampleWeight, 1.0 / (samples + 1.0));
    }

    /** Updates a weighted mean and variance with a sample. */
    void updateMoments(double& mean, double& variance, double sample, double weight)
    {
        const double deviation = sample - mean;
        mean += weight * deviation;
        variance = (1 - weight) * (variance + weight * deviation * deviation);
    }

    void updateQueueModel(RunTimeModel& model, double logRunTime, double logEstimatedTime)
    {
        const double weight = newSampleWeight(model.m_samples);
        if (model.m_samples == 0) {
            model.m_mean = logRunTime;
            model.m_bias = logRunTime - logEstimatedTime;
            model.m_variance = priorVariance;
            model.m_errorVariance = priorVariance;
        } else {
            updateMoments(model.m_mean, model.m_variance, logRunTime, weight);
            updateMoments(model.m_bias, model.m_errorVariance, logRunTime - logEstimatedTime, weight);
        }
        ++model.m_samples;
    }

} // namespace

void learnRunTime(Scheduler& scheduler, StepRun& run, WorkerHealth& health, double logRunTime)
{
    // The tasks of a step are identical, so comparing their run times gives the speeds of workers without the error of the estimate.
    if (run.m_logRunTimeCount > 0) {
        const double sample = std::clamp(logRunTime - run.m_logRunTimeSum / run.m_logRunTimeCount, -maxLogDeviation, maxLogDeviation);
        health.m_logSlowdown += newSampleWeight(health.m_samples) * (sample - health.m_logSlowdown);
        ++health.m_samples;
    }
    const double logRunTimeAtMeanSpeed = logRunTime - health.m_logSlowdown;
    run.m_logRunTimeSum += logRunTimeAtMeanSpeed;
    ++run.m_logRunTimeCount;
    if (run.m_logRunTimeCount == 1) {
        const double estimate = std::max(1.0, static_cast<double>(planOf(run).m_estimatedRunTime.m_ms));
        updateQueueModel(scheduler.m_runTimes[run.m_job->m_plan.m_queue], logRunTimeAtMeanSpeed, std::log(estimate));
    }
}

Duration predictRunTime(const Scheduler& scheduler, const Job& job, std::uint32_t step)
{
    const Duration estimate = job.m_plan.m_steps[step].m_estimatedRunTime;
    const auto found = scheduler.m_runTimes.find(job.m_plan.m_queue);
    if (found == scheduler.m_runTimes.end() || found->second.m_samples < minModelSamples || estimate.m_ms <= 0)
        return estimate;
    const RunTimeModel& model = found->second;
    constexpr double minVariance = 0.01;
    const double queueWeight = 1 / std::max(minVariance, model.m_variance);
    const double estimateWeight = 1 / std::max(minVariance, model.m_errorVariance);
    const double fromEstimate = std::log(static_cast<double>(estimate.m_ms)) + model.m_bias;
    const double expected = (model.m_mean * queueWeight + fromEstimate * estimateWeight) / (queueWeight + estimateWeight);
    return { static_cast<std::int64_t>(std::exp(expected)) };
}

std::vector<Duration> predictCriticalPaths(const Scheduler& scheduler, const Job& job)
{
    const auto& steps = job.m_plan.m_steps;
    std::vector<Duration> longest(steps.size());
    for (std::size_t i = steps.size(); i-- > 0;) {
        longest[i] = longest[i] + predictRunTime(scheduler, job, static_cast<std::uint32_t>(i));
        for (const std::uint32_t predecessor : steps[i].m_predecessors)
            longest[predecessor] = std::max(longest[predecessor], longest[i]);
    }
    return longest;
}

Duration predictCriticalPath(const Scheduler& scheduler, const Job& job)
{
    const std::vector<Duration> criticalPaths = predictCriticalPaths(scheduler, job);
    return *std::max_element(criticalPaths.begin(), criticalPaths.end());
}

} // namespace bulrushloft::scheduler::detail
