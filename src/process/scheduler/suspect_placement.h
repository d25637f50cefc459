/** @file suspect_placement.h Choice of the workers on which suspects run, apart from other attempts that may crash a worker. */
#pragma once

#include "process/scheduler/scheduler_base.h"

#include <vector>

namespace bulrushloft::scheduler::detail {

/** A worker that could run a suspect. */
struct IsolationCandidate {
    std::uint32_t m_position = 0; ///< Identifies the worker to the caller.
    bool m_isReady = false; ///< It has room, and no attempt on it is on probation.
    bool m_isHeld = false; ///< It is held for the step already.
    TimePoint m_roomAt; ///< When it is expected to have room if nothing else is placed on it.
    std::size_t m_tasks = 0; ///< Number of its tasks, which would be lost in a crash.
};

/** Workers for the suspects of a step. */
struct Isolation {
    std::vector<std::uint32_t> m_ready; ///< Workers that can start one suspect each now.
    std::vector<std::uint32_t> m_toHold; ///< Workers on which nothing is to be placed until they are ready.
};

/** @return Whether no attempt on a worker is on probation, so that a suspect started there is the only one. */
bool isReadyForSuspect(const Worker& worker);

/** @return Whether a worker is kept free of new tasks until a suspect can be started there. */
bool isHeldForSuspect(const Worker& worker, TimePoint now);

/** @return Most workers of a pool that are held for suspects at the same time. */
std::size_t maxHeldWorkers(std::size_t poolWorkers);

/**
 * Chooses a worker for each suspect: ready ones with the fewest tasks, and for the remaining suspects those that are held already
 * or expected to be ready soonest. On a busy pool no worker would ever be ready without being held, as tasks start all the time.
 * @param suspects Number of suspects. @param maxToHold Most workers to hold that are not held yet.
 */
Isolation chooseIsolation(std::vector<IsolationCandidate> candidates, std::size_t suspects, std::size_t maxToHold);

} // namespace bulrushloft::scheduler::detail
