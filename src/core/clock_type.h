/** @file clock_type.h Time types of the project, in whole milliseconds. */
#pragma once

#include <compare>
#include <cstdint>

namespace bulrushloft {

/** A length of time. */
struct Duration {
    std::int64_t m_ms = 0; ///< Length in milliseconds; may be negative.

    constexpr auto operator<=>(const Duration&) const = default;
    constexpr Duration operator+(Duration other) const { return { m_ms + other.m_ms }; }
    constexpr Duration operator-(Duration other) const { return { m_ms - other.m_ms }; }
    constexpr Duration operator*(std::int64_t factor) const { return { m_ms * factor }; }
    constexpr Duration operator/(std::int64_t divisor) const { return { m_ms / divisor }; }
};

/** A point in time. Each use documents whether the clock is the monotonic or the wall clock. */
struct TimePoint {
    std::int64_t m_ms = 0; ///< Milliseconds since the epoch of the clock.

    constexpr auto operator<=>(const TimePoint&) const = default;
    constexpr TimePoint operator+(Duration span) const { return { m_ms + span.m_ms }; }
    constexpr TimePoint operator-(Duration span) const { return { m_ms - span.m_ms }; }
    constexpr Duration operator-(TimePoint other) const { return { m_ms - other.m_ms }; }
};

constexpr Duration operator""_ms(unsigned long long value) { return { static_cast<std::int64_t>(value) }; }
constexpr Duration operator""_s(unsigned long long value) { return { static_cast<std::int64_t>(value) * 1000 }; }

/** Later than any time that a clock returns; a quarter of the largest value, so that adding a duration does not overflow. */
constexpr TimePoint farFuture { INT64_MAX / 4 };

/**
 * Reads the monotonic clock of this machine.
 * @return Milliseconds since the machine booted; never decreases.
 */
TimePoint steadyNow();

/**
 * Reads the wall clock.
 * @return Milliseconds since 1970-01-01 UTC; may jump when the clock is adjusted.
 */
TimePoint wallNow();

/**
 * Converts a monotonic time to wall-clock time.
 * @param now Monotonic time.
 * @param offset Wall-clock time minus monotonic time, taken when the process started.
 */
constexpr TimePoint toWall(TimePoint now, Duration offset) { return now + offset; }

/**
 * Reads the monotonic clock in microseconds, for measurements only.
 * @return Microseconds since the machine booted.
 */
std::int64_t steadyMicroseconds();

} // namespace bulrushloft
