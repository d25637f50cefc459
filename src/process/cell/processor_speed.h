/** @file processor_speed.h Whether the processor of a daemon's VM has become much slower than it was. */
#pragma once

#include "core/clock_type.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace bulrushloft::cell {

/** A round of the decision thread. */
struct RoundTimes {
    std::size_t m_items = 0; ///< Messages and answers that were handled.
    std::int64_t m_itemUs = 0; ///< Time that they took, in microseconds.
    std::int64_t m_stepUs = 0; ///< Time of the work that followed, in microseconds.
};

/** The time that the decision thread takes for its work, in intervals. */
struct ProcessorSpeed {
    RoundTimes m_interval; ///< Sums of the present interval.
    TimePoint m_intervalAt; ///< When it began; zero before the first round.
    double m_usualItemUs = 0; ///< Usual time for an item, in microseconds; a slow average that leaves out slow intervals.
    std::uint32_t m_usualCount = 0; ///< Intervals in that average.
    double m_recentItemUs = 0; ///< The same of the latest intervals.
    std::optional<TimePoint> m_slowSince; ///< Since when the latest intervals have been slow; empty if they are not.
};

/** Notes a round. @param now Monotonic time of its end. */
void noteRound(ProcessorSpeed& speed, const RoundTimes& round, TimePoint now);

/**
 * Load: the VM of a leader gets a fifth of its usual processor time for seconds, for example because of a neighbour on its host, while jobs keep coming. Its
 * heartbeats are still answered, so no other VM claims the leadership, and few tasks start. A higher load alone does not make single items much slower, so
 * that a leader which is merely busy does not hand over: its successor would be as busy.
 * @return Whether the thread has been several times slower than usual, and busy for much of the time, for half a second or more.
 */
bool isSlowed(const ProcessorSpeed& speed, TimePoint now);

} // namespace bulrushloft::cell
