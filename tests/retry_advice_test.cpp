/** @file retry_advice_test.cpp When refused callers return, replayed over outages of the store. */
#define BOOST_TEST_MODULE retry_advice
#include <boost/test/unit_test.hpp>

#include "process/cell/retry_advice.h"

#include <map>
#include <vector>

using namespace bulrushloft;
using namespace bulrushloft::cell;

namespace {

constexpr std::uint32_t servedPerSecond = 40; ///< What the VM can carry out in a second.

/** What the callers of a replayed outage see. */
struct OutageResult {
    std::map<std::int64_t, std::uint32_t> m_returnsPerSecond; ///< Callers without urgency that return in each second after the end of the outage.
    std::uint32_t m_calls = 0; ///< Calls during the outage.
    Duration m_urgentReturnedBy; ///< When the last urgent caller was back, from the end of the outage.
};

/** Replays an outage during which jobs keep arriving at one VM; each caller follows the advice as long as it has patience. */
OutageResult replayOutage(Duration outage, std::uint32_t arrivalsPerSecond, Duration patience)
{
    constexpr std::uint32_t urgentShare = 10; // Every tenth caller.
    struct Caller {
        TimePoint m_givesUpAt;
        bool m_isUrgent;
    };
    RetrySchedule schedule;
    OutageResult result;
    const TimePoint start { 100'000 };
    const TimePoint end = start + outage;
    for (TimePoint now = start - Duration { 3'000 }; now < start; now = now + Duration { 1'000 / servedPerSecond })
        countServedCall(schedule, now);
    std::multimap<TimePoint, Caller> calls;
    const Duration gap { 1'000 / arrivalsPerSecond };
    std::uint64_t number = 0;
    for (TimePoint at = start; at < end; at = at + gap, ++number)
        calls.emplace(at, Caller { at + patience, number % urgentShare == 0 });
    while (!calls.empty()) {
        const auto [now, caller] = *calls.begin();
        calls.erase(calls.begin());
        if (now >= end) {
            if (caller.m_isUrgent)
                result.m_urgentReturnedBy = std::max(result.m_urgentReturnedBy, now - end);
            else
                ++result.m_returnsPerSecond[(now - end).m_ms / 1'000];
            continue;
        }
        ++result.m_calls;
        const Duration delay = scheduleReturn(schedule, { .m_storeOutage = now - start, .m_patience = caller.m_givesUpAt - now, .m_isUrgent = caller.m_isUrgent }, now);
        BOOST_TEST_REQUIRE(delay.m_ms % 1'000 == 0);
        BOOST_TEST_REQUIRE(delay.m_ms >= 1'000);
        if (now + delay < caller.m_givesUpAt)
            calls.emplace(now + delay, caller);
    }
    return result;
}

} // namespace

// With one constant delay all 360 callers of an outage of 3 s return within its first second, nine times what the VM can serve.
BOOST_AUTO_TEST_CASE(callers_that_can_wait_return_no_faster_than_they_can_be_served)
{
    const OutageResult result = replayOutage({ 3'000 }, 120, { 60'000 });
    for (const auto& [second, returns] : result.m_returnsPerSecond)
        BOOST_TEST(returns <= servedPerSecond, "second " << second << ": " << returns << " callers");
    BOOST_TEST(result.m_urgentReturnedBy.m_ms <= 2'000);
}

BOOST_AUTO_TEST_CASE(callers_that_can_wait_call_less_often_the_longer_the_outage_lasts)
{
    const OutageResult result = replayOutage({ 40'000 }, 5, { 120'000 });
    constexpr std::uint32_t callers = 200;
    BOOST_TEST(result.m_calls < callers * 8); // With one call a second there would be twenty a caller.
    BOOST_TEST(result.m_returnsPerSecond.rbegin()->first < 12);
}

BOOST_AUTO_TEST_CASE(a_caller_with_little_patience_returns_every_second)
{
    RetrySchedule schedule;
    for (const std::int64_t patienceMs : { 3'000, 2'500, 1'200, 300 }) {
        const Duration delay = scheduleReturn(schedule, { .m_storeOutage = Duration { 9'000 }, .m_patience = { patienceMs } }, { 1'000 });
        BOOST_TEST(delay.m_ms == 1'000);
    }
}

BOOST_AUTO_TEST_CASE(a_short_interruption_costs_one_second)
{
    RetrySchedule schedule;
    countServedCall(schedule, { 1'000 });
    BOOST_TEST(scheduleReturn(schedule, { .m_storeOutage = {}, .m_patience = { 60'000 } }, { 2'000 }).m_ms == 1'000);
}
