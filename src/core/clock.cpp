/** @file clock.cpp Reads the system clocks. */
#include "core/clock_type.h"

#include <chrono>

namespace bulrushloft {

TimePoint steadyNow()
{
    const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return { std::chrono::duration_cast<std::chrono::milliseconds>(sinceBoot).count() };
}

TimePoint wallNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return { std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count() };
}

std::int64_t steadyMicroseconds()
{
    const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceBoot).count();
}

} // namespace bulrushloft
