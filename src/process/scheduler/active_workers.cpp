/** @file active_workers.cpp Keeps the list of the workers that steps look at. */
#include "process/scheduler/active_workers.h"

#include <algorithm>
#include <utility>

namespace bulrushloft::scheduler::detail {

namespace {

    constexpr Duration crashMemory { 10'000 }; ///< A worker that crashed without proof is compared with other crashes for this time.

    /** @return Whether nothing is left to do with a worker, apart from comparing the time of its crash with others. */
    bool isFinished(const Worker& worker)
    {
        const bool hasWork = !worker.m_tasks.empty() || !worker.m_strays.empty() || !worker.m_lateStarts.empty() || !worker.m_pendingEnds.empty();
        const bool isLeaseAwaited = worker.m_unansweredCalls > 0 && worker.m_state != WorkerState::Gone;
        return !worker.m_isAnnounced && !hasWork && !worker.m_isSyncPending && !isLeaseAwaited;
    }

    bool isCrashForgotten(const Worker& worker, TimePoint now)
    {
        const WorkerOutage& outage = worker.m_outage;
        return outage.m_brokeAt == TimePoint {} || outage.m_isOver || worker.m_isCrashNoted || now - outage.m_brokeAt > crashMemory;
    }

    void retire(Worker& worker)
    {
        worker.m_isActive = false;
        worker.m_wasAccepting = false;
        worker.m_reservedFor = nullptr;
        worker.m_lastReservedFor = nullptr;
        worker.m_heldForSuspectUntil = {};
    }

} // namespace

void activateWorker(Scheduler& scheduler, WorkerIndex index)
{
    if (std::exchange(scheduler.m_workers[static_cast<std::size_t>(index)].m_isActive, true))
        return;
    std::vector<WorkerIndex>& active = scheduler.m_activeWorkers;
    active.insert(std::lower_bound(active.begin(), active.end(), index), index);
}

void retireWorkers(Scheduler& scheduler, TimePoint now)
{
    std::erase_if(scheduler.m_activeWorkers, [&](WorkerIndex index) {
        Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        const bool isRetired = isFinished(worker) && isCrashForgotten(worker, now);
        if (isRetired)
            retire(worker);
        return isRetired;
    });
}

bool areActiveWorkersConsistent(const Scheduler& scheduler)
{
    std::vector<WorkerIndex> active;
    for (std::size_t i = 0; i < scheduler.m_workers.size(); ++i) {
        const Worker& worker = scheduler.m_workers[i];
        if (worker.m_isActive)
            active.push_back(static_cast<WorkerIndex>(i));
        else if (!isFinished(worker) || worker.m_reservedFor || worker.m_wasAccepting)
            return false;
    }
    return active == scheduler.m_activeWorkers;
}

} // namespace bulrushloft::scheduler::detail
