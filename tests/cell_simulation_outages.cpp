/** @file cell_simulation_outages.cpp Outages of the store for all daemons of a simulation, and the time that a new leader takes. */
#include "cell_simulation_base.h"

namespace bulrushloft::test {

namespace {

    constexpr std::int64_t leaderPollInterval = 50; // How often a scheduled fault looks for a leader, in ms.
    constexpr std::int64_t awayTime = 60'000; // A killed process stays away for this long, in ms.
    constexpr std::int64_t terminationTime = 2'000; // A process that received SIGTERM ends after this time, in ms.
    constexpr int measuredShare = 4; // A quarter of the workers restarts, another one is not reached.

} // namespace

void CellSimulation::scheduleStoreOutage()
{
    const StoreOutage& outage = m_options.m_storeOutage;
    if (outage.m_length.m_ms > 0)
        schedule(m_loadStart - m_now + outage.m_start.m_ms, [this] { beginStoreOutage(); });
    if (outage.m_followerDownTime.m_ms > 0)
        schedule(m_loadStart - m_now + (outage.m_start - outage.m_followerLead).m_ms, [this, &outage] { killFollower(outage.m_followerDownTime); });
}

void CellSimulation::killFollower(Duration downTime)
{
    const SimulatedNode* const leader = findLeader();
    const auto follower = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const SimulatedNode& node) { return &node != leader && node.m_cell; });
    if (follower != m_nodes.end())
        stopNode(*follower, downTime.m_ms);
}

void CellSimulation::beginStoreOutage()
{
    const StoreOutage& outage = m_options.m_storeOutage;
    m_storeDownUntil = m_now + outage.m_length.m_ms;
    m_isStoreUnresponsive = outage.m_isUnresponsive;
    m_disruptedUntil = std::max(m_disruptedUntil, m_storeDownUntil);
    for (const FakeLeaseWorker& worker : m_workers) {
        for (const auto& [task, run] : worker.m_running)
            m_guardedAttempts.emplace(task, run.m_attempt);
    }
    m_result.m_guardedAttempts = static_cast<int>(m_guardedAttempts.size());
}

void CellSimulation::checkLapse(const FakeLeaseWorker& worker, const TaskName& task, std::uint32_t attempt)
{
    const bool isCrash = worker.m_isDown;
    if (isCrash || !m_guardedAttempts.contains({ task, attempt }))
        return;
    ++m_result.m_lapsedAttempts;
    reportViolation("LAPSED: " + format(task) + " attempt " + std::to_string(attempt) + " on " + worker.m_id + ", which ran when the outage of the store began");
}

void CellSimulation::scheduleTakeOver()
{
    if (m_options.m_takeOver.m_at.m_ms > 0)
        schedule(m_loadStart - m_now + m_options.m_takeOver.m_at.m_ms, [this] { endLeader(); });
}

void CellSimulation::scheduleJoiningVm()
{
    const JoiningVm& joining = m_options.m_joiningVm;
    if (joining.m_at.m_ms == 0)
        return;
    if (joining.m_leaderEndsBefore.m_ms > 0) {
        schedule(m_loadStart - m_now + (joining.m_at - joining.m_leaderEndsBefore).m_ms, [this] {
            if (SimulatedNode* const leader = findLeader())
                stopNode(*leader, awayTime);
        });
    }
    schedule(m_loadStart - m_now + joining.m_at.m_ms, [this] { startNode(m_nodes.back()); });
}

void CellSimulation::endLeader()
{
    SimulatedNode* const leader = findLatestLeader();
    if (!leader)
        return schedule(leaderPollInterval, [this] { endLeader(); });
    m_leaderEndedAt = m_now;
    m_endedTerm = leader->m_cell->m_term;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        FakeLeaseWorker& worker = m_workers[i];
        const std::size_t group = i % measuredShare;
        if (group > 1)
            continue;
        for (const auto& [task, run] : worker.m_running)
            (group == 0 ? m_reachedTasks : m_unreachedTasks).insert(task);
        worker.m_isUnreachable = group == 1;
        if (group == 1)
            continue;
        crashWorker(worker);
        worker.restart(m_now);
        announce(worker);
    }
    switch (m_options.m_takeOver.m_end) {
    case LeaderEnd::Killed:
        return stopNode(*leader, awayTime);
    case LeaderEnd::Restarted:
        return stopNode(*leader, m_options.m_takeOver.m_downTime.m_ms);
    case LeaderEnd::Terminated:
        cell::beginTermination(*leader->m_cell);
        schedule(terminationTime, [this, leader] { stopNode(*leader, awayTime); });
    }
}

void CellSimulation::measureStart(const TaskName& task)
{
    if (!m_leaderEndedAt)
        return;
    const std::int64_t elapsed = m_now - *m_leaderEndedAt;
    if (m_reachedTasks.erase(task) > 0)
        m_result.m_reachedRestartMs.push_back(elapsed);
    if (m_unreachedTasks.erase(task) > 0)
        m_result.m_unreachedRestartMs.push_back(elapsed);
}

} // namespace bulrushloft::test
