/** @file reservation.cpp Choice of reserved workers. */
#include "process/scheduler/reservation.h"

#include <algorithm>

namespace bulrushloft::scheduler {

namespace {

    constexpr Duration reservedPreference { 400 }; ///< Another worker replaces a reserved one only if it is free earlier by more than this.

    TimePoint sortTimeOf(const ReservationCandidate& candidate)
    {
        return candidate.m_wasReserved ? candidate.m_readyAt - reservedPreference : candidate.m_readyAt;
    }

} // namespace

Reservation chooseReservation(std::vector<ReservationCandidate> candidates, std::uint32_t tasks, std::size_t maxWorkers)
{
    const auto isLater = [](const ReservationCandidate& one, const ReservationCandidate& other) {
        return std::pair { sortTimeOf(one), one.m_position } > std::pair { sortTimeOf(other), other.m_position };
    };
    std::make_heap(candidates.begin(), candidates.end(), isLater); // Few of many candidates are taken.
    Reservation reservation;
    while (!candidates.empty() && reservation.m_room < tasks && reservation.m_positions.size() < maxWorkers && candidates.front().m_readyAt < farFuture) {
        const ReservationCandidate& earliest = candidates.front();
        reservation.m_positions.push_back(earliest.m_position);
        reservation.m_room += earliest.m_room;
        reservation.m_readyAt = std::max(reservation.m_readyAt, earliest.m_readyAt);
        std::pop_heap(candidates.begin(), candidates.end(), isLater);
        candidates.pop_back();
    }
    return reservation;
}

ReservationLimits reservationLimitsOf(std::size_t poolWorkers)
{
    constexpr std::size_t divisor = 3;
    constexpr std::size_t maxSteps = 16; ///< For steps that come after many others in a pool, reserved workers would be idle for too long.
    return { .m_workers = poolWorkers / divisor, .m_steps = maxSteps };
}

ReservationLimits lateShareOf(std::size_t poolWorkers)
{
    constexpr std::size_t divisor = 6;
    constexpr std::size_t maxSteps = 4;
    return { .m_workers = poolWorkers / divisor, .m_steps = maxSteps };
}

bool isReservationPhase(Duration elapsed)
{
    constexpr std::int64_t phaseMs = 30'000;
    return elapsed.m_ms / phaseMs % 2 == 0;
}

} // namespace bulrushloft::scheduler
