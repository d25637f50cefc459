/** @file clock_type.h The one time type of the project: whole milliseconds. */
#pragma once

#include <compare>
#include <cstdint>

namespace bulrushloft {

/** A span of time in milliseconds. */
struct Duration {
    std::int64_t m_ms = 0; ///< Length in milliseconds, may be negative.

    constexpr auto operator<=>(const Duration&) const = default;
    constexpr Duration operator+(Duration other) const { return { m_ms + other.m_ms }; }
    constexpr Duration operator-(Duration other) const { return { m_ms - other.m_ms }; }
    constexpr Duration operator*(std::int64_t factor) const { return { m_ms * factor }; }
    constexpr Duration operator/(std::int64_t divisor) const { return { m_ms / divisor }; }
};

/** A point on a clock in milliseconds; which clock is said where the point is kept. */
struct TimePoint {
    std::int64_t m_ms = 0; ///< Milliseconds since the start of the clock.

    constexpr auto operator<=>(const TimePoint&) const = default;
    constexpr TimePoint operator+(Duration span) const { return { m_ms + span.m_ms }; }
    constexpr TimePoint operator-(Duration span) const { return { m_ms - span.m_ms }; }
    constexpr Duration operator-(TimePoint other) const { return { m_ms - other.m_ms }; }
};

constexpr Duration operator""_ms(unsigned long long value) { return { static_cast<std::int64_t>(value) }; }
constexpr Duration operator""_s(unsigned long long value) { return { static_cast<std::int64_t>(value) * 1000 }; }

/** A point that no clock reaches. */
constexpr TimePoint farFuture { INT64_MAX / 4 };

/**
 * Reads the monotonic clock of this machine.
 * @return Milliseconds since the machine started; never goes back.
 */
TimePoint steadyNow();

/**
 * Reads the calendar clock.
 * @return Milliseconds since 1970-01-01 UTC; may jump.
 */
TimePoint wallNow();

/**
 * Turns a monotonic time of this process into calendar time.
 * @param now Monotonic time.
 * @param offset What the calendar clock was ahead of the monotonic one when the process started.
 */
constexpr TimePoint toWall(TimePoint now, Duration offset) { return now + offset; }

/**
 * Reads the monotonic clock with a finer unit, for measurements only.
 * @return Microseconds since the machine started.
 */
std::int64_t steadyMicroseconds();

} // namespace bulrushloft
