/** @file soak_series.cpp Faults in series: leaders that end again and again, some without closing their connections, and workers that crash. */
#include "soak_faults.h"

#include <csignal>
#include <future>
#include <iostream>

namespace bulrushloft::soak {

void FaultInjector::scheduleLeaderEnds(const LeaderEnds& fault)
{
    for (int i = 0; i < fault.m_count; ++i)
        m_ends.push_back({ steadyNow() + fault.m_at + fault.m_interval * i, [this, isPowerLoss = fault.m_isPowerLoss] { endLeader(isPowerLoss); } });
}

void FaultInjector::endLeader(bool isPowerLoss)
{
    constexpr Duration retryInterval { 100 };
    constexpr Duration downTime { 1'500 };
    const std::vector<bool> isLeader = drawCutSide(0);
    const auto found = std::find(isLeader.begin(), isLeader.end(), true);
    SoakDaemon* const leader = found == isLeader.end() ? nullptr : &m_targets.m_daemons[static_cast<std::size_t>(found - isLeader.begin())];
    const bool isDown = !leader || !leader->m_process->isRunning() || leader->m_restartAt.m_ms > 0;
    if (isDown)
        return m_ends.push_back({ steadyNow() + retryInterval, [this, isPowerLoss] { endLeader(isPowerLoss); } });
    std::cout << "  leader " << leader->m_process->setup().m_name << (isPowerLoss ? " loses power" : " is killed") << std::endl;
    leader->m_isEndExpected = true;
    if (isPowerLoss)
        losePower(*leader);
    leader->m_process->signal(SIGKILL);
    leader->m_restartAt = steadyNow() + downTime;
    disturbAll(downTime);
}

void FaultInjector::losePower(SoakDaemon& daemon) const
{
    daemon.m_process->signal(SIGSTOP); // Its connections are looked up while it holds them.
    const pid_t process = daemon.m_process->pid();
    const auto isCaller = [process](const ConnectionEnds& ends) { return findConnectionOwner(ends, { process }).has_value(); };
    std::size_t kept = 0;
    for (FaultProxy* const proxy : m_targets.m_workers.proxies()) {
        std::promise<std::size_t> promise;
        proxy->keepConnections(isCaller, [&](std::size_t count) { promise.set_value(count); });
        kept += promise.get_future().get();
    }
    std::cout << "  " << kept << " of its connections to workers stay open" << std::endl;
}

void FaultInjector::scheduleWorkerCrashes(const WorkerCrashes& fault)
{
    for (int i = 0; i < fault.m_count; ++i)
        m_ends.push_back({ steadyNow() + fault.m_at + fault.m_interval * i, [this, fault] { crashWorkers(fault); } });
}

void FaultInjector::crashWorkers(const WorkerCrashes& fault)
{
    const auto draw = [this](double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; };
    for (int worker = 0; worker < m_targets.m_workerCount; ++worker) {
        if (!draw(fault.m_share))
            continue;
        const bool isDark = draw(fault.m_darkShare);
        onPlatform([this, worker, isDark, downTime = fault.m_downTime] { m_targets.m_workers.crash(worker, downTime, isDark); });
    }
}

} // namespace bulrushloft::soak
