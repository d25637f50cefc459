/** @file customer_admission_test.cpp Token buckets of customers, replayed with callers that return when they are told to, or don't. */
#define BOOST_TEST_MODULE customer_admission
#include <boost/test/unit_test.hpp>

#include "process/cell/customer_admission.h"

#include <map>
#include <string>

using namespace bulrushloft;
using namespace bulrushloft::cell;

namespace {

constexpr TimePoint start { 100'000 };

CustomerBuckets makeBuckets(double rate)
{
    CustomerBuckets buckets;
    setCustomers(buckets, { { .m_name = "c", .m_keys = {}, .m_weight = rate, .m_cap = {} } }, start);
    return buckets;
}

/** What became of the calls of one customer while capacity was short all the time. */
struct ReplayResult {
    int m_served = 0;
    int m_servedReturns = 0; ///< Of these, callers that had been refused before.
    int m_brokenPromises = 0; ///< Callers for which a token was kept, that came back in time and were refused.
    int m_servedAfterwards = 0; ///< New calls at the usual rate that were served in the last two seconds.
};

/** Sends calls at a multiple of the rate for some time, and at the rate for 6 s afterwards. @param share Share of the refused callers that return, in percent. */
ReplayResult replay(double rate, double factor, Duration burst, int returningPercent)
{
    CustomerBuckets buckets = makeBuckets(rate);
    CustomerBucket& bucket = buckets.at("c");
    ReplayResult result;
    struct Return {
        std::string m_job;
        bool m_isPromised;
    };
    std::multimap<TimePoint, Return> returns;
    int number = 0;
    double owed = 0;
    const TimePoint burstEnd = start + burst;
    const TimePoint end = burstEnd + Duration { 6'000 };
    for (TimePoint now = start; now < end; now = now + Duration { 10 }) {
        while (!returns.empty() && returns.begin()->first <= now) {
            const Return each = returns.extract(returns.begin()).mapped();
            const bool isServed = takeToken(bucket, each.m_job, now);
            result.m_served += isServed ? 1 : 0;
            result.m_servedReturns += isServed ? 1 : 0;
            result.m_brokenPromises += each.m_isPromised && !isServed ? 1 : 0;
        }
        owed += rate * (now < burstEnd ? factor : 1) / 100;
        for (; owed >= 1; owed -= 1) {
            const std::string job = std::to_string(++number);
            if (takeToken(bucket, job, now)) {
                ++result.m_served;
                result.m_servedAfterwards += now >= end - Duration { 2'000 } ? 1 : 0;
                continue;
            }
            const Duration delay = promiseToken(bucket, job, now);
            BOOST_TEST_REQUIRE(delay.m_ms % 1'000 == 0);
            BOOST_TEST_REQUIRE(delay.m_ms >= 1'000);
            if (number % 100 < returningPercent)
                returns.emplace(now + delay, Return { job, delay <= maxPromiseAhead });
        }
    }
    return result;
}

} // namespace

// A customer that sends what it is entitled to must never be refused, whatever the others do.
BOOST_AUTO_TEST_CASE(calls_within_the_rate_are_all_in_profile)
{
    const ReplayResult result = replay(4, 1, { 60'000 }, 100);
    BOOST_TEST(result.m_served >= 4 * 66 - 1);
}

// Without a limit all 300 calls of the burst would be served, five times what the customer is entitled to.
BOOST_AUTO_TEST_CASE(a_burst_gets_the_depth_and_the_rate)
{
    const ReplayResult result = replay(5, 7.5, { 8'000 }, 0);
    constexpr int entitled = 5 * (5 + 8 + 6);
    BOOST_TEST(result.m_served <= entitled + 1);
}

// A Retry-After that is not true makes the caller spend one of its four calls for nothing.
BOOST_AUTO_TEST_CASE(a_caller_that_returns_when_it_was_told_to_is_served)
{
    for (const double rate : { 0.7, 2.0, 9.0 }) {
        const ReplayResult result = replay(rate, 7.5, { 8'000 }, 100);
        BOOST_TEST(result.m_brokenPromises == 0, "rate " << rate);
        BOOST_TEST(result.m_servedReturns > 0, "rate " << rate);
    }
}

// Tokens kept for callers that have given up must not keep new calls waiting after the burst.
BOOST_AUTO_TEST_CASE(after_a_burst_whose_callers_have_given_up_the_usual_calls_are_served)
{
    const ReplayResult result = replay(5, 7.5, { 8'000 }, 0);
    BOOST_TEST(result.m_servedAfterwards >= 9);
}

// All refused callers would return in the same second, and all but a few in vain.
BOOST_AUTO_TEST_CASE(returns_are_spread)
{
    CustomerBuckets buckets = makeBuckets(5);
    CustomerBucket& bucket = buckets.at("c");
    std::map<std::int64_t, int> returns;
    for (int i = 0; i < 125; ++i) {
        const std::string job = std::to_string(i);
        if (!takeToken(bucket, job, start))
            ++returns[promiseToken(bucket, job, start).m_ms / 1'000];
    }
    for (std::int64_t second = 1; second <= 3; ++second)
        BOOST_TEST(returns[second] == 5); // As many as tokens come in a second.
    BOOST_TEST(returns.rbegin()->second <= 30);
}

// A caller that returns too early must not move its turn, neither ahead nor back.
BOOST_AUTO_TEST_CASE(a_caller_that_returns_too_early_keeps_its_turn)
{
    CustomerBuckets buckets = makeBuckets(0.5);
    CustomerBucket& bucket = buckets.at("c");
    while (takeToken(bucket, "x", start)) { }
    const Duration delay = promiseToken(bucket, "a", start);
    const TimePoint early = start + Duration { 600 };
    BOOST_TEST(!takeToken(bucket, "a", early));
    BOOST_TEST((early + promiseToken(bucket, "a", early)).m_ms >= (start + delay).m_ms);
    BOOST_TEST(bucket.m_promises.size() == 1);
    BOOST_TEST(takeToken(bucket, "a", start + delay));
}

// A new version of the configuration must not refill the buckets of customers that have just used them up.
BOOST_AUTO_TEST_CASE(a_new_configuration_keeps_what_is_left)
{
    CustomerBuckets buckets = makeBuckets(2);
    while (takeToken(buckets.at("c"), "x", start)) { }
    setCustomers(buckets, { { .m_name = "c", .m_keys = {}, .m_weight = 4, .m_cap = {} }, { .m_name = "d", .m_keys = {}, .m_weight = 1, .m_cap = {} } }, start);
    BOOST_TEST(!takeToken(buckets.at("c"), "y", start));
    BOOST_TEST(takeToken(buckets.at("d"), "z", start));
    setCustomers(buckets, {}, start);
    BOOST_TEST(buckets.empty());
}
