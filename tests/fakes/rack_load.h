/** @file rack_load.h A scheduler with simulated workers in two racks, for tests of tasks that run longer outside the rack of their data. */
#pragma once

#include "approval_load.h"

namespace bulrushloft::test {

inline constexpr Duration rackRunTime { 2'000 };
inline constexpr Resources wholeWorker { .m_cpuMilli = 32'000, .m_memoryMb = 1'000, .m_gpus = 0 };
inline constexpr const char* nearRack = "r1-1";
inline constexpr const char* farRack = "r2-1";

/** A load on two racks; each task fills a worker. Queue "plain" needs no approvals. */
struct RackLoad : ApprovalLoad {
    explicit RackLoad(int nearWorkers, int farWorkers, bool waits = true)
        : ApprovalLoad(0, 3, 1.0)
    {
        constexpr double looseSlack = 4;
        m_scheduler.m_options.m_waitsForBetterPlace = waits;
        m_scheduler.m_options.m_remoteFactor = 3;
        QueueSettings plain = makeQueue("plain", looseSlack, { 1'000 }, {});
        plain.m_approval.reset();
        configure({ .m_version = 2, .m_queues = { plain, queue("quick") }, .m_pools = { { .m_name = "pool" } } });
        for (int i = 0; i < nearWorkers; ++i)
            adopt("near" + std::to_string(i));
        for (int i = 0; i < farWorkers; ++i) {
            m_workers["far" + std::to_string(i)].m_rack = farRack;
            adopt("far" + std::to_string(i));
        }
    }

    static StepPlan makeStep(std::uint32_t width, const std::string& rack, Duration length = rackRunTime)
    {
        StepPlan step { .m_count = width, .m_size = wholeWorker, .m_estimatedRunTime = length };
        step.m_dataRack = rack;
        return step;
    }

    /** Fills the near rack; the far one stays free. */
    void fillNear(std::uint32_t workers, Duration length)
    {
        submit("plain", makeStep(workers, nearRack, length));
        run({ 50 });
    }

    StepRun& runOf(const std::string& job) { return *m_scheduler.m_jobs.at(job)->m_runs.front(); }

    /** @return Rack of the current attempt of a task; empty for none. */
    std::string rackOf(const std::string& job, std::uint32_t index = 0)
    {
        const Task& task = runOf(job).m_tasks[index];
        return task.m_worker == noWorker || task.m_phase == RunPhase::None ? "" : m_scheduler.m_workers[static_cast<std::size_t>(task.m_worker)].m_rack;
    }

    /** Runs until all jobs have ended. @return Time that took. */
    Duration runToEnd()
    {
        const TimePoint from = m_now;
        while (std::any_of(m_scheduler.m_jobs.begin(), m_scheduler.m_jobs.end(), [](const auto& entry) { return !isFinal(entry.second->m_stage); }))
            tick();
        return m_now - from;
    }

    const PlaceWaitCounters& counters() const { return m_scheduler.m_counters.m_placeWaits; }
};

} // namespace bulrushloft::test
