/** @file retry_advice.h When a refused caller should call again. */
#pragma once

#include "core/clock_type.h"

#include <array>
#include <cstdint>
#include <optional>

namespace bulrushloft::cell {

/** How many calls this daemon carries out, and when refused callers are going to return. */
struct RetrySchedule {
    static constexpr std::size_t horizonSeconds = 16; ///< Returns are planned this far ahead.

    std::int64_t m_second = 0; ///< The current second of the monotonic clock.
    std::uint32_t m_served = 0; ///< Calls carried out in the current second.
    double m_peakServed = 0; ///< Most calls carried out in a second, decayed slowly; 0 when none was.
    std::array<std::uint32_t, horizonSeconds> m_returns {}; ///< Callers told to return, by second modulo horizonSeconds.
};

/** Counts a call that was carried out. */
void countServedCall(RetrySchedule& schedule, TimePoint now);

/** What is known about the cause of a refusal and about the caller. */
struct Refusal {
    std::optional<Duration> m_storeOutage; ///< For how long the store has not answered; empty while it does.
    Duration m_patience; ///< How long the caller still waits for its outcome.
    bool m_isUrgent = false; ///< Whether the call is for a queue of the first priority.
};

/**
 * Chooses the time after which a refused caller should call again, and enters its return in the schedule.
 * Load: an outage of the store while jobs keep arriving. A caller that waits for seconds only returns every second, so that
 * it does not miss the end of the outage. One that can wait for minutes returns less often the longer the outage has lasted,
 * as the rest of an outage of unknown length is about as long as what has passed of it. No more callers are told to return
 * in one second than this VM has been able to serve in one, as far as their patience allows; callers of urgent queues are
 * not put off for the others.
 * @return Whole seconds, at least one.
 */
Duration scheduleReturn(RetrySchedule& schedule, const Refusal& refusal, TimePoint now);

} // namespace bulrushloft::cell
