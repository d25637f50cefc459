/** @file cell_simulation_gangs.cpp Gangs on the simulated workers. */
#include "cell_simulation_base.h"

namespace bulrushloft::test {

void CellSimulation::tickGangs()
{
    constexpr std::int64_t gangTimeout = 3'000; // A member waits this long for the others.
    if (!m_options.m_needsApprovals)
        return;
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::vector<std::pair<FakeLeaseWorker*, TaskName>>> gangs;
    for (FakeLeaseWorker& worker : m_workers) {
        for (const auto& [task, run] : worker.m_running) {
            if (stepOf(task).m_isGang)
                gangs[{ task.m_job, task.m_step, run.m_attempt }].emplace_back(&worker, task);
        }
    }
    for (const auto& [gang, members] : gangs) {
        const bool isComplete = members.size() == stepOf(members.front().second).m_count;
        const bool isBroken = !isComplete && m_workingGangs.contains(gang);
        const bool isBeginning = isComplete && m_workingGangs.insert(gang).second;
        const SimulatedQueue& queue = *jobOf(members.front().second).m_queue;
        const std::int64_t runMs = isBeginning ? randomBetween(queue.m_shortestRunTime.m_ms, queue.m_longestRunTime.m_ms) : 0;
        for (const auto& [worker, task] : members) {
            FakeLeaseWorker::Run& run = worker->m_running.at(task);
            if (isBeginning)
                run.m_endsAtMs = worker->clockAt(m_now) + runMs;
            else if (isBroken)
                worker->recordEnd(task, AttemptEnd::GangBroken);
            else if (!isComplete && worker->clockAt(m_now) - run.m_startedAtMs > gangTimeout)
                worker->recordEnd(task, AttemptEnd::GangIncomplete);
        }
    }
}

} // namespace bulrushloft::test
