/** @file wait_watch.h The users' rule for jobs that could run and don't (LOST), checked on a simulated load. */
#pragma once

#include "approval_load.h"
#include "process/scheduler/pool_view.h"

namespace bulrushloft::test {

/** Records the longest time for which a job had nothing running although there was room for it twice over. */
struct WaitWatch {
    std::map<std::string, TimePoint> m_since; ///< Since when each job could run and doesn't.
    Duration m_longest;
    std::string m_longestJob;

    static Resources freeOf(const ApprovalLoad& load, const std::string& id)
    {
        Resources free = load.m_scheduler.m_workers[static_cast<std::size_t>(load.m_scheduler.m_workerById.at(id))].m_announcement.m_capacity;
        for (const ApprovalLoad::Run& run : load.m_workers.at(id).m_runs)
            free = free - load.m_scheduler.m_jobs.at(run.m_task.m_job)->m_plan.m_steps[run.m_task.m_step].m_size;
        return free;
    }

    static bool couldRun(const ApprovalLoad& load, const Job& job)
    {
        const StepRun& run = *job.m_runs.front();
        const bool isRunning = std::any_of(run.m_tasks.begin(), run.m_tasks.end(), [](const Task& task) { return task.m_phase == RunPhase::Running; });
        if (isFinal(job.m_stage) || isRunning)
            return false;
        const std::int64_t needed = 2 * static_cast<std::int64_t>(run.m_tasks.size() - run.m_doneCount);
        std::int64_t room = 0;
        for (const auto& [id, worker] : load.m_workers) {
            if (worker.m_pool == job.m_plan.m_policy.m_pool && load.isReachable(id) && load.isApproved(job.m_plan.m_id, id))
                room += detail::countFitting(detail::planOf(run).m_size, freeOf(load, id), needed);
        }
        return room >= needed;
    }

    void check(const ApprovalLoad& load)
    {
        for (const auto& [id, job] : load.m_scheduler.m_jobs) {
            if (!couldRun(load, *job)) {
                m_since.erase(id);
                continue;
            }
            const Duration waited = load.m_now - m_since.try_emplace(id, load.m_now).first->second;
            if (waited > m_longest)
                m_longestJob = id;
            m_longest = std::max(m_longest, waited);
        }
    }
};

} // namespace bulrushloft::test
