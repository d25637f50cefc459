/** @file cell_simulation_faults.cpp The faults of a simulation. */
#include "cell_simulation_base.h"

namespace bulrushloft::test {

SimulatedNode* CellSimulation::findLeader()
{
    const auto leader = std::find_if(m_nodes.begin(), m_nodes.end(), [](const SimulatedNode& other) { return other.m_cell && other.m_cell->m_role == cell::Role::Leading; });
    return leader == m_nodes.end() ? nullptr : &*leader;
}

SimulatedNode* CellSimulation::findLatestLeader()
{
    SimulatedNode* latest = nullptr;
    for (SimulatedNode& node : m_nodes) {
        const bool isLeading = node.m_cell && node.m_cell->m_role == cell::Role::Leading;
        if (isLeading && (!latest || node.m_cell->m_term > latest->m_cell->m_term))
            latest = &node;
    }
    return latest;
}

void CellSimulation::restartWorkers(int count, int times)
{
    for (FakeLeaseWorker& worker : m_workers) {
        if (count-- <= 0 || worker.m_isDown)
            continue;
        crashWorker(worker);
        schedule(randomBetween(20, 800), [this, &worker] {
            if (!worker.m_isDown)
                return;
            worker.restart(m_now);
            announce(worker);
        });
    }
    if (times > 1)
        schedule(randomBetween(400, 2'500), [this, times] { restartWorkers(m_options.m_workers / 3, times - 1); });
}

void CellSimulation::crashWorker(FakeLeaseWorker& worker)
{
    for (const EndedAttempt& ended : worker.m_ended) {
        if (!m_acknowledgedDone.contains(ended.m_task))
            m_endedDone.erase(ended.m_task);
    }
    for (const auto& [task, run] : worker.m_running)
        m_agesAtCrash[task].push_back(worker.clockAt(m_now) - run.m_startedAtMs);
    worker.crash();
    dropConnectionsOf(worker, worker.m_isDark);
}

void CellSimulation::scheduleOutages()
{
    constexpr std::int64_t backlogTime = 1'500; // The leader can't run that many in this time.
    const PowerLoss& loss = m_options.m_powerLoss;
    const std::int64_t untilLoss = m_loadStart - m_now + loss.m_at.m_ms;
    for (int i = 0; i < loss.m_backlogJobs; ++i)
        addJob(untilLoss - randomBetween(0, backlogTime));
    if (loss.m_at.m_ms > 0) {
        schedule(untilLoss, [this, &loss] {
            for (SimulatedNode& node : m_nodes)
                losePower(node, loss.m_downTime.m_ms);
            m_disruptedUntil = std::max(m_disruptedUntil, m_now + loss.m_downTime.m_ms);
        });
    }
    for (const Duration at : m_options.m_leaderKills)
        schedule(m_loadStart - m_now + at.m_ms, [this] { killLeaders(1); });
    const RackWaves& waves = m_options.m_rackWaves;
    for (int wave = 0; wave < waves.m_count; ++wave) {
        schedule(m_loadStart - m_now + waves.m_first.m_ms + wave * waves.m_interval.m_ms, [this, &waves, wave] {
            for (std::size_t i = 0; i < m_workers.size(); ++i) {
                FakeLeaseWorker& worker = m_workers[i];
                if (static_cast<int>(i) % rackCount != wave % rackCount || worker.m_isDown)
                    continue;
                crashWorker(worker);
                schedule(waves.m_downTime.m_ms, [this, &worker] {
                    worker.restart(m_now);
                    announce(worker);
                });
            }
        });
    }
}

void CellSimulation::muteWorkers()
{
    for (FakeLeaseWorker& worker : m_workers) {
        if (!randomBool(0.5))
            continue;
        worker.m_isUnreachable = true;
        schedule(randomBetween(1'000, 9'000), [&worker] { worker.m_isUnreachable = false; });
    }
}

void CellSimulation::killLeaders(int times)
{
    if (SimulatedNode* const leader = findLeader())
        stopNode(*leader, randomBetween(200, 2'000));
    if (times > 1)
        schedule(randomBetween(1'000, 3'000), [this, times] { killLeaders(times - 1); });
}

void CellSimulation::injectExtraFault(SimulatedNode& victim)
{
    std::vector<std::uint32_t> kinds;
    for (std::uint32_t kind = 1; kind <= HeldOrdersFault; kind *= 2) {
        if (m_options.m_extraFaults & kind)
            kinds.push_back(kind);
    }
    switch (kinds[static_cast<std::size_t>(randomBetween(0, static_cast<std::int64_t>(kinds.size()) - 1))]) {
    case BusyFault:
        victim.m_busyUntil = m_now + randomBetween(1'000, 6'000);
        if (m_options.m_extraFaults & DeafWorkersFault)
            schedule(victim.m_busyUntil - m_now - randomBetween(0, 800), [this] { muteWorkers(); });
        return;
    case SlowPeersFault:
        m_slowPeersUntil = m_now + randomBetween(1'000, 5'000);
        return;
    case FlapFault:
        return restartWorkers(m_options.m_workers / 3, static_cast<int>(randomBetween(1, 4)));
    case LeaderKillsFault:
        return killLeaders(static_cast<int>(randomBetween(2, 4)));
    case SplitFault: {
        const std::int64_t until = m_now + randomBetween(1'000, 9'000);
        victim.m_splitUntil = until;
        m_nodes[static_cast<std::size_t>(randomBetween(0, m_options.m_nodes - 1))].m_splitUntil = until;
        if (randomBool(0.5))
            victim.m_storeUnreachableUntil = until;
        return;
    }
    case DeafWorkersFault:
        return muteWorkers();
    default:
        victim.m_heldOrdersUntil = m_now + randomBetween(300, 3'000);
    }
}

void CellSimulation::injectFault()
{
    SimulatedNode& node = m_nodes[static_cast<std::size_t>(randomBetween(0, m_options.m_nodes - 1))];
    SimulatedNode* const leader = findLeader();
    const auto disruptFor = [this](std::int64_t duration) {
        m_disruptedUntil = std::max(m_disruptedUntil, m_now + duration);
        return duration;
    };
    SimulatedNode& victim = leader && randomBool(0.6) ? *leader : node;
    if (m_options.m_extraFaults != 0 && randomBool(0.5))
        return injectExtraFault(victim);
    FakeLeaseWorker& worker = m_workers[static_cast<std::size_t>(randomBetween(0, m_options.m_workers - 1))];
    switch (randomBetween(0, 9)) {
    case 0:
        return stopNode(victim, disruptFor(randomBetween(200, 4'000)));
    case 1:
        victim.m_suspendedUntil = m_now + disruptFor(randomBetween(700, 5'000));
        return;
    case 2:
        victim.m_storeUnreachableUntil = m_now + disruptFor(randomBetween(1'000, 6'000));
        return;
    case 3:
        m_storeDownUntil = m_now + disruptFor(randomBetween(500, 5'000));
        m_isStoreUnresponsive = randomBool(0.5);
        return;
    case 4:
        m_storeSlowUntil = m_now + disruptFor(randomBetween(1'000, 4'000));
        return;
    case 5:
        m_storeLossyUntil = m_now + disruptFor(randomBetween(1'000, 4'000));
        return;
    case 6:
        worker.m_isUnreachable = true;
        schedule(randomBetween(1'000, 9'000), [&worker] { worker.m_isUnreachable = false; });
        return;
    case 7:
        crashWorker(worker);
        schedule(randomBetween(300, 5'000), [this, &worker] {
            worker.restart(m_now);
            announce(worker);
        });
        return;
    case 8:
        m_store.compactTopics();
        return;
    default:
        for (SimulatedNode& other : m_nodes)
            stopNode(other, disruptFor(randomBetween(300, 1'500)));
    }
}

void CellSimulation::injectCapacityChange()
{
    FakeLeaseWorker& worker = m_workers[static_cast<std::size_t>(randomBetween(0, m_options.m_workers - 1))];
    if (worker.m_capacityCpuMilli < simulatedCapacity(m_options.m_needsApprovals).m_cpuMilli)
        return;
    worker.m_capacityCpuMilli = randomBetween(0, 3) * worker.m_taskCpuMilli;
    worker.m_shrunkAtMs = m_now;
    schedule(randomBetween(0, heartbeat.m_ms), [this, &worker] { announce(worker); });
    schedule(randomBetween(5'000, 12'000), [this, &worker] {
        worker.m_capacityCpuMilli = simulatedCapacity(m_options.m_needsApprovals).m_cpuMilli;
        announce(worker);
    });
    if (!randomBool(0.5))
        return;
    worker.m_isUnreachable = true;
    schedule(randomBetween(1'000, 9'000), [&worker] { worker.m_isUnreachable = false; });
}

} // namespace bulrushloft::test
