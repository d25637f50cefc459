/** @file suspect_placement.cpp Choice of the workers on which suspects run. */
#include "process/scheduler/suspect_placement.h"

#include "process/scheduler/crash_record.h"

#include <algorithm>
#include <tuple>

namespace bulrushloft::scheduler::detail {

bool isReadyForSuspect(const Worker& worker)
{
    return std::none_of(worker.m_tasks.begin(), worker.m_tasks.end(), [](const TaskRef& ref) { return isOnProbation(ref.task()); });
}

bool isHeldForSuspect(const Worker& worker, TimePoint now)
{
    return now < worker.m_heldForSuspectUntil;
}

std::size_t maxHeldWorkers(std::size_t poolWorkers)
{
    constexpr std::size_t heldShareDivisor = 8; ///< Held workers are partly idle, so only a small share of the pool is.
    return std::max<std::size_t>(1, poolWorkers / heldShareDivisor);
}

Isolation chooseIsolation(std::vector<IsolationCandidate> candidates, std::size_t suspects, std::size_t maxToHold)
{
    const auto rank = [](const IsolationCandidate& candidate) {
        const auto tasks = static_cast<std::int64_t>(candidate.m_tasks);
        return std::tuple(!candidate.m_isReady, candidate.m_isReady ? tasks : 0, !candidate.m_isHeld, candidate.m_roomAt, tasks);
    };
    std::stable_sort(candidates.begin(), candidates.end(), [&](const IsolationCandidate& one, const IsolationCandidate& other) { return rank(one) < rank(other); });
    Isolation isolation;
    for (const IsolationCandidate& candidate : candidates) {
        if (isolation.m_ready.size() + isolation.m_toHold.size() >= suspects)
            break;
        if (candidate.m_isReady) {
            isolation.m_ready.push_back(candidate.m_position);
        } else if (candidate.m_isHeld || maxToHold > 0) {
            maxToHold -= candidate.m_isHeld ? 0 : 1;
            isolation.m_toHold.push_back(candidate.m_position);
        }
    }
    return isolation;
}

} // namespace bulrushloft::scheduler::detail
