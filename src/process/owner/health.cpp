/** @file health.cpp Circuit breakers of workers and runners. */
#include "process/owner/health_func.h"

#include "core/log_func.h"

#include <algorithm>

namespace bulrushloft {

namespace {

    constexpr std::size_t recentEndCount = 4;
    constexpr std::uint32_t runnerFailureLimit = 4;
    constexpr Duration firstQuarantine { 10'000 };
    constexpr std::uint32_t maxQuarantineDoublings = 5;
    constexpr Duration runnerQuarantine { 3'000 };

    /** @return Whether all recent attempts failed and belong to more than one job; if only one job fails, its own tasks are the likely cause. */
    bool haveSeveralJobsFailed(const std::deque<RecentEnd>& ends)
    {
        if (ends.size() < recentEndCount)
            return false;
        const bool haveAllFailed = std::all_of(ends.begin(), ends.end(), [](const RecentEnd& end) { return end.m_hasFailed; });
        const bool isOneJob = std::all_of(ends.begin(), ends.end(), [&ends](const RecentEnd& end) { return end.m_job == ends.front().m_job; });
        return haveAllFailed && !isOneJob;
    }

} // namespace

void updateWorkerHealth(Worker& worker, JobNumber job, TaskResult result, TimePoint now)
{
    if (result != TaskResult::Done && result != TaskResult::Failed)
        return;
    const bool hasFailed = result == TaskResult::Failed;
    if (!hasFailed) {
        worker.m_consecutiveQuarantines = 0;
        worker.m_isOnProbation = false;
    }
    worker.m_recentEnds.push_back({ .m_job = job, .m_hasFailed = hasFailed });
    if (worker.m_recentEnds.size() > recentEndCount)
        worker.m_recentEnds.pop_front();
    const bool hasFailedProbation = worker.m_isOnProbation && hasFailed;
    if (!haveSeveralJobsFailed(worker.m_recentEnds) && !hasFailedProbation)
        return;
    worker.m_quarantinedUntil = now + firstQuarantine * (1LL << std::min(worker.m_consecutiveQuarantines, maxQuarantineDoublings));
    ++worker.m_consecutiveQuarantines;
    worker.m_isOnProbation = true;
    worker.m_recentEnds.clear();
    logEvent(LogLevel::Warning, "worker-quarantined", { { "worker", worker.m_name }, { "consecutive_quarantines", worker.m_consecutiveQuarantines } });
}

bool isHealthy(const Worker& worker, TimePoint now)
{
    if (now < worker.m_quarantinedUntil)
        return false;
    return !worker.m_isOnProbation || worker.m_tasks.empty();
}

void updateRunnerHealth(Runner& runner, bool hasFailed, TimePoint now)
{
    if (!hasFailed) {
        runner.m_consecutiveFailures = 0;
        return;
    }
    ++runner.m_consecutiveFailures;
    if (runner.m_consecutiveFailures < runnerFailureLimit)
        return;
    runner.m_quarantinedUntil = now + runnerQuarantine;
    runner.m_consecutiveFailures = runnerFailureLimit - 1;
    logEvent(LogLevel::Warning, "runner-quarantined", { { "runner", runner.m_name } });
}

bool isHealthy(const Runner& runner, TimePoint now)
{
    return now >= runner.m_quarantinedUntil;
}

} // namespace bulrushloft
