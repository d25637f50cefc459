/** @file runner_choice.cpp Policies that choose a runner. */
#include "request/runner_choice_func.h"

#include <algorithm>

namespace bulrushloft {

namespace {

    constexpr double smoothingWeight = 0.2; ///< Weight of the latest service time.

    double meanServiceMs(const std::vector<RunnerOffer>& offers)
    {
        double sum = 0;
        std::size_t count = 0;
        for (const RunnerOffer& offer : offers) {
            if (offer.m_serviceMs <= 0)
                continue;
            sum += offer.m_serviceMs;
            ++count;
        }
        return count > 0 ? sum / static_cast<double>(count) : 1.0;
    }

    /** Concurrent requests share a runner, so the service time of each grows in proportion to the share of slots in use. */
    double expectedLatencyMs(const RunnerOffer& offer, double meanMs)
    {
        const double service = offer.m_serviceMs > 0 ? offer.m_serviceMs : meanMs;
        const double load = static_cast<double>(offer.m_inFlight) / std::max<double>(offer.m_slots, 1);
        return service * (1.0 + load);
    }

    std::size_t chooseLowest(const std::vector<RunnerOffer>& offers, std::mt19937_64& random, auto cost)
    {
        std::size_t best = noRunner;
        double bestCost = 0;
        const std::size_t start = random() % offers.size();
        for (std::size_t step = 0; step < offers.size(); ++step) {
            const std::size_t i = (start + step) % offers.size();
            const double value = cost(offers[i]);
            if (best == noRunner || value < bestCost) {
                best = i;
                bestCost = value;
            }
        }
        return best;
    }

} // namespace

std::size_t chooseRunner(const std::vector<RunnerOffer>& offers, RunnerPolicy policy, std::uint64_t choiceCount, std::mt19937_64& random)
{
    if (offers.empty())
        return noRunner;
    switch (policy) {
    case RunnerPolicy::RoundRobin:
        return static_cast<std::size_t>(choiceCount % offers.size());
    case RunnerPolicy::LeastInFlight:
        return chooseLowest(offers, random, [](const RunnerOffer& offer) { return static_cast<double>(offer.m_inFlight); });
    case RunnerPolicy::ExpectedLatency:
        break;
    }
    const double meanMs = meanServiceMs(offers);
    return chooseLowest(offers, random, [meanMs](const RunnerOffer& offer) { return expectedLatencyMs(offer, meanMs); });
}

double smoothServiceTime(double smoothedMs, double measuredMs)
{
    return smoothedMs <= 0 ? measuredMs : smoothedMs + smoothingWeight * (measuredMs - smoothedMs);
}

} // namespace bulrushloft
