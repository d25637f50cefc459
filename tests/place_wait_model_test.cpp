/** @file place_wait_model_test.cpp Compares rules for waiting on the same loads and prints the figures of docs/design/place-wait.md. */
#define BOOST_TEST_MODULE place_wait_model
#include <boost/test/unit_test.hpp>

#include "place_wait_model.h"

#include <array>
#include <cstdio>
#include <random>
#include <string>

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

/** How the tasks of a random load differ. */
struct LoadShape {
    const char* m_name = "";
    double m_load = 0.7; ///< Work near the data divided by the capacity.
    double m_hotShare = 0.25; ///< Share of the tasks whose data is in the first rack; the others' is in the other racks alike.
    double m_tailShare = 0; ///< Share of the tasks that run 7 times as long as predicted.
    bool m_isEstimateWrong = false; ///< Predictions are half or twice the run time, at random.
    double m_burst = 1; ///< Arrivals of 5 s in each 20 s are this multiple of the usual ones.
};

// The distributions of the standard library differ between libraries; these do not.
double uniform(std::mt19937_64& random) { return static_cast<double>(random() >> 11) / static_cast<double>(std::uint64_t { 1 } << 53); }

ModelLoad makeLoad(const LoadShape& shape, std::uint64_t seed)
{
    constexpr std::size_t places = 10;
    constexpr double meanRunMs = 1'250;
    constexpr double lengthMs = 120'000;
    std::mt19937_64 random(seed);
    ModelLoad load { .m_name = shape.m_name, .m_places = places, .m_tasks = {} };
    const double meanWorkMs = meanRunMs * (1 + shape.m_tailShare * 6) * (shape.m_isEstimateWrong ? 1.25 : 1);
    const double interval = meanWorkMs / (shape.m_load * static_cast<double>(places * modelRacks));
    for (double at = 0; at < lengthMs;) {
        const bool isBurst = static_cast<std::int64_t>(at) % 20'000 < 5'000;
        at += interval * 2 * uniform(random) / (isBurst ? shape.m_burst : 1);
        const bool isHot = uniform(random) < shape.m_hotShare;
        const auto rack = static_cast<std::size_t>(uniform(random) * (modelRacks - 1)) + 1;
        const Duration predicted { static_cast<std::int64_t>(meanRunMs * (0.4 + 1.2 * uniform(random))) };
        const double error = uniform(random) < 0.5 ? 0.5 : 2;
        const bool isTail = uniform(random) < shape.m_tailShare;
        const double factor = (isTail ? 7 : 1) * (shape.m_isEstimateWrong ? error : 1);
        load.m_tasks.push_back({ .m_arrivesAt = { static_cast<std::int64_t>(at) }, .m_rack = isHot ? 0 : rack, .m_runTime = { static_cast<std::int64_t>(static_cast<double>(predicted.m_ms) * factor) }, .m_predicted = predicted });
    }
    return load;
}

/** A rack that is full until the given time, and tasks that arrive for it. */
ModelLoad makeFullRack(const char* name, Duration fullFor)
{
    constexpr std::size_t places = 10;
    ModelLoad load { .m_name = name, .m_places = places, .m_tasks = {} };
    for (std::size_t i = 0; i < places; ++i)
        load.m_tasks.push_back({ .m_arrivesAt = { 0 }, .m_rack = 0, .m_runTime = fullFor, .m_predicted = fullFor });
    for (std::size_t i = 0; i < places; ++i)
        load.m_tasks.push_back({ .m_arrivesAt = { 20 }, .m_rack = 0, .m_runTime = { 2'000 }, .m_predicted = { 2'000 } });
    return load;
}

std::vector<ModelLoad> makeLoads()
{
    std::vector<ModelLoad> loads { makeFullRack("full-1s", { 1'000 }), makeFullRack("full-30s", { 30'000 }) };
    const std::array<LoadShape, 6> shapes { {
        { .m_name = "even" },
        { .m_name = "hot-rack", .m_hotShare = 0.5 },
        { .m_name = "heavy-tail", .m_tailShare = 0.03 },
        { .m_name = "wrong-by-2", .m_load = 0.75, .m_isEstimateWrong = true },
        { .m_name = "bursts", .m_load = 0.6, .m_burst = 2.1 },
        { .m_name = "hot-bursts", .m_load = 0.5, .m_hotShare = 0.5, .m_burst = 2.6 },
    } };
    std::uint64_t seed = 1;
    for (const LoadShape& shape : shapes)
        loads.push_back(makeLoad(shape, seed++));
    return loads;
}

struct NamedRule {
    const char* m_name = "";
    WaitRule m_rule;
};

WaitRule fixedDelay(Duration delay)
{
    return [delay](const PlaceWaitInput& input, TimePoint now) { return now < input.m_since + delay; };
}

WaitRule shareOfSlack(std::int64_t divisor)
{
    return [divisor](const PlaceWaitInput& input, TimePoint now) { return now < input.m_since + (input.m_latestStart - input.m_since) / divisor; };
}

WaitRule expectedSaving(double share)
{
    return [share](PlaceWaitInput input, TimePoint now) {
        input.m_shareOfSaving = share;
        return decidePlaceWait(input, now).m_isWorthwhile;
    };
}

std::vector<NamedRule> makeRules()
{
    constexpr double half = 0.5;
    return {
        { "none", [](const PlaceWaitInput&, TimePoint) { return false; } },
        { "fixed-250ms", fixedDelay({ 250 }) },
        { "fixed-1s", fixedDelay({ 1'000 }) },
        { "fixed-3s", fixedDelay({ 3'000 }) },
        { "slack/4", shareOfSlack(4) },
        { "slack/2", shareOfSlack(2) },
        { "saving*0.50", expectedSaving(half) },
        { "saving*0.75", expectedSaving(waitShareOfSaving) },
        { "saving*1.00", expectedSaving(1) },
    };
}

/** Results by load and rule, in the order of makeLoads() and makeRules(). */
const std::vector<std::vector<ModelResult>>& results()
{
    static const std::vector<std::vector<ModelResult>> all = [] {
        std::vector<std::vector<ModelResult>> results;
        for (const ModelLoad& load : makeLoads()) {
            results.emplace_back();
            for (const NamedRule& rule : makeRules()) {
                const ModelResult result = results.back().emplace_back(PlaceWaitModel(load, rule.m_rule).run());
                std::printf("%-11s %-12s mean %6.0f ms, 95%% %6.0f ms, worth %.3f, remote %.3f\n", load.m_name, rule.m_name, result.m_meanMs, result.m_p95Ms, result.m_worth, result.m_remote);
            }
        }
        return results;
    }();
    return all;
}

constexpr std::size_t noWait = 0;
constexpr std::size_t chosenRule = 7; ///< Index in makeRules() of the rule with the product's share.

/** @return Mean over the loads of the mean time to the end under a rule, divided by that without waiting. */
double relativeMean(std::size_t rule)
{
    double sum = 0;
    for (const auto& byRule : results())
        sum += byRule[rule].m_meanMs / byRule[noWait].m_meanMs;
    return sum / static_cast<double>(results().size());
}

} // namespace

// A rule that helps on one load made tasks end later on another, where places come free late or not when they are expected to.
BOOST_AUTO_TEST_CASE(waiting_makes_tasks_end_later_on_no_load)
{
    constexpr double tolerance = 1.02; // Placements differ after the first wait, which moves the mean of an equal rule, too.
    for (std::size_t load = 0; load < results().size(); ++load) {
        BOOST_TEST_CONTEXT(makeLoads()[load].m_name)
        {
            BOOST_TEST(results()[load][chosenRule].m_meanMs <= results()[load][noWait].m_meanMs * tolerance);
        }
    }
}

// The rules that need no prediction were not shown to be worse.
BOOST_AUTO_TEST_CASE(the_expected_saving_ends_tasks_earlier_than_a_fixed_delay_or_a_share_of_the_slack)
{
    constexpr std::size_t rulesWithoutPrediction = 6;
    for (std::size_t rule = 0; rule < rulesWithoutPrediction; ++rule) {
        BOOST_TEST_CONTEXT(makeRules()[rule].m_name)
        {
            BOOST_TEST(relativeMean(chosenRule) < relativeMean(rule));
        }
    }
    for (std::size_t rule = 0; rule < makeRules().size(); ++rule)
        std::printf("%-12s mean of the loads relative to no wait: %.3f\n", makeRules()[rule].m_name, relativeMean(rule));
}
