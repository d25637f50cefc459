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

} // namespace bulrushloft::scheduler
