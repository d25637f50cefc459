/** @file processor_speed_test.cpp Tests of the detection of a leader's VM that has become much slower. */
#define BOOST_TEST_MODULE processor_speed
#include <boost/test/unit_test.hpp>

#include "process/cell/processor_speed.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;

namespace {

/** Rounds of a decision thread on a simulated clock: each handles some items, then does further work. */
struct Thread {
    ProcessorSpeed m_speed;
    TimePoint m_now { 1'000 };

    /** @param items Items in a round of 10 ms. @param itemUs Time for an item. @param stepUs Time of the further work. */
    void run(Duration duration, std::size_t items, std::int64_t itemUs, std::int64_t stepUs)
    {
        constexpr Duration round { 10 };
        for (const TimePoint end = m_now + duration; m_now < end;) {
            m_now = m_now + round;
            noteRound(m_speed, { .m_items = items, .m_itemUs = itemUs * static_cast<std::int64_t>(items), .m_stepUs = stepUs }, m_now);
        }
    }
};

} // namespace

/** Guards against a slowed leader that keeps the leadership because it still answers heartbeats. */
BOOST_AUTO_TEST_CASE(a_thread_whose_items_take_several_times_as_long_is_slowed)
{
    Thread thread;
    thread.run({ 5'000 }, 20, 25, 2'000);
    BOOST_TEST(!isSlowed(thread.m_speed, thread.m_now));
    thread.run({ 1'000 }, 12, 110, 4'000);
    BOOST_TEST(isSlowed(thread.m_speed, thread.m_now));
    thread.run({ 1'000 }, 20, 25, 2'000);
    BOOST_TEST(!isSlowed(thread.m_speed, thread.m_now));
}

/** Guards against a hand-over for load alone: the successor would be as busy. */
BOOST_AUTO_TEST_CASE(a_thread_with_several_times_the_work_is_not_slowed)
{
    Thread thread;
    thread.run({ 5'000 }, 20, 25, 2'000);
    thread.run({ 5'000 }, 100, 40, 6'000);
    BOOST_TEST(!isSlowed(thread.m_speed, thread.m_now));
}

/** Guards against a hand-over by an idle leader, whose few items may be large ones. */
BOOST_AUTO_TEST_CASE(an_idle_thread_is_not_slowed)
{
    Thread thread;
    thread.run({ 5'000 }, 20, 25, 2'000);
    thread.run({ 5'000 }, 1, 300, 200);
    BOOST_TEST(!isSlowed(thread.m_speed, thread.m_now));
}

/** Guards against a hand-over for one long round, such as the loading of many records. */
BOOST_AUTO_TEST_CASE(one_slow_interval_is_not_enough)
{
    Thread thread;
    thread.run({ 5'000 }, 20, 25, 2'000);
    thread.run({ 100 }, 10, 400, 4'000);
    thread.run({ 300 }, 20, 25, 2'000);
    BOOST_TEST(!isSlowed(thread.m_speed, thread.m_now));
}

/** Guards against a judgement before the usual time of an item is known. */
BOOST_AUTO_TEST_CASE(a_new_leader_is_not_slowed)
{
    Thread thread;
    thread.run({ 500 }, 20, 25, 2'000);
    thread.run({ 1'000 }, 20, 200, 4'000);
    BOOST_TEST(!isSlowed(thread.m_speed, thread.m_now));
}
