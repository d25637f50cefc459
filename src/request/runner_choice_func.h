/** @file runner_choice_func.h Choice of a runner for one request. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace bulrushloft {

/** How a runner is chosen. */
enum class RunnerPolicy : std::uint8_t {
    ExpectedLatency, ///< The runner that is expected to answer first, by its measured speed.
    RoundRobin, ///< One after the other; a baseline.
    LeastInFlight, ///< The fewest requests in flight; a baseline.
};

/** A runner that may take a request. */
struct RunnerOffer {
    std::size_t m_runner = 0; ///< Index of the runner at the owner.
    std::uint32_t m_slots = 0; ///< Requests that it serves at once.
    std::uint32_t m_inFlight = 0; ///< Requests that it works on; less than its slots.
    double m_serviceMs = 0; ///< Smoothed service time in milliseconds, 0 when not measured.
};

constexpr std::size_t noRunner = SIZE_MAX;

/**
 * Chooses a runner.
 * @param offers Runners with a free slot.
 * @param policy How to choose.
 * @param choiceCount Counts the choices, for round-robin.
 * @param random Breaks ties.
 * @return Index of the offer, or noRunner when there is none.
 */
std::size_t chooseRunner(const std::vector<RunnerOffer>& offers, RunnerPolicy policy, std::uint64_t choiceCount, std::mt19937_64& random);

/**
 * Smooths the measured service time.
 * @param smoothedMs The value so far, 0 when there is none.
 * @param measuredMs The latest service time in milliseconds.
 * @return The new value.
 */
double smoothServiceTime(double smoothedMs, double measuredMs);

} // namespace bulrushloft
