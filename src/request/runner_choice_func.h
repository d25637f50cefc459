/** @file runner_choice_func.h Choice of a runner for one request. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace bulrushloft {

/** Policy that chooses a runner. */
enum class RunnerPolicy : std::uint8_t {
    ExpectedLatency, ///< The runner with the lowest expected latency, from its measured service time and load.
    RoundRobin, ///< All runners in turn; a baseline for comparison.
    LeastInFlight, ///< The runner with the fewest requests in flight; a baseline for comparison.
};

/** A runner with a free slot. */
struct RunnerOffer {
    std::size_t m_runner = 0; ///< The owner's index of the runner.
    std::uint32_t m_slots = 0; ///< Maximum number of concurrent requests.
    std::uint32_t m_inFlight = 0; ///< Requests in flight; less than m_slots.
    double m_serviceMs = 0; ///< Smoothed service time in milliseconds, 0 if not yet measured.
};

constexpr std::size_t noRunner = SIZE_MAX;

/**
 * Chooses a runner for a request.
 * @param offers Runners with a free slot.
 * @param policy Policy that chooses the runner.
 * @param choiceCount Number of choices so far, used by RunnerPolicy::RoundRobin.
 * @param random Random number generator that breaks ties.
 * @return Index of the chosen offer, or noRunner if there are no offers.
 */
std::size_t chooseRunner(const std::vector<RunnerOffer>& offers, RunnerPolicy policy, std::uint64_t choiceCount, std::mt19937_64& random);

/**
 * Updates the exponentially smoothed service time of a runner.
 * @param smoothedMs Smoothed service time so far in milliseconds, 0 if not yet measured.
 * @param measuredMs Latest service time in milliseconds.
 * @return The new smoothed service time in milliseconds.
 */
double smoothServiceTime(double smoothedMs, double measuredMs);

} // namespace bulrushloft
