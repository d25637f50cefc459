/** @file reservation.h Choice of the workers that are kept free for a blocked step. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <vector>

namespace bulrushloft::scheduler {

/** A worker that could be reserved for a blocked step. */
struct ReservationCandidate {
    std::uint32_t m_position = 0; ///< Identifies the worker to the caller.
    TimePoint m_readyAt; ///< When the worker is expected to have room for a task of the step if nothing else is placed on it.
    std::uint32_t m_room = 1; ///< Tasks of the step that it can take then.
    bool m_wasReserved = false; ///< Whether it is reserved for the step already.
};

/** Workers reserved for a step. */
struct Reservation {
    std::vector<std::uint32_t> m_positions; ///< The workers.
    TimePoint m_readyAt; ///< When all of them are expected to have room.
    std::uint32_t m_room = 0; ///< Tasks of the step that they can take together.
};

/**
 * Chooses the workers that a blocked step of large tasks waits for.
 * Load: streams of small tasks fill every gap on a pool that is nearly full, so that gangs of whole workers never find all of them
 * free at the same time. The workers that become free soonest are kept, as each reserved worker is partly idle until the last
 * one is free; the ones that are reserved already are preferred, so that their idle time is not wasted.
 * @param tasks Tasks without a worker. @param maxWorkers Most workers to reserve.
 */
Reservation chooseReservation(std::vector<ReservationCandidate> candidates, std::uint32_t tasks, std::size_t maxWorkers);

/** How much of a pool may be reserved for blocked steps. */
struct ReservationLimits {
    std::size_t m_workers = 0; ///< Most workers that are reserved.
    std::size_t m_steps = 0; ///< Most steps for which workers are reserved.
};

/** @return How much of a pool may be reserved for steps in the order of their urgency. @param poolWorkers Number of workers of the pool. */
ReservationLimits reservationLimitsOf(std::size_t poolWorkers);

/**
 * Load: after a takeover dozens of gangs have become late while new ones, which can still be in time, keep coming. The new
 * ones are placed first and would take each worker that has become free for a late one, until the load ends.
 * @return How much of a pool may be reserved for late steps before others are examined.
 */
ReservationLimits lateShareOf(std::size_t poolWorkers);

/**
 * A step that could not be placed although workers were reserved for it stops keeping others from running, and tries again later.
 * @param elapsed Time since workers were first reserved for the step. @return Whether workers may be reserved for it now.
 */
bool isReservationPhase(Duration elapsed);

} // namespace bulrushloft::scheduler
