/** @file decision_round_test.cpp Rounds of the decision thread. */
#define BOOST_TEST_MODULE decision_round
#include <boost/test/unit_test.hpp>

#include "core/clock_type.h"
#include "process/cell/decision_round.h"

#include <vector>

using namespace bulrushloft;
using namespace bulrushloft::cell;

// The time of a round was noted once. A worker's clock that was read later in a long round counted as read at its start, so that the
// end of the worker's leases was computed too early by the length of the round, and its tasks could start elsewhere while they ran.
BOOST_AUTO_TEST_CASE(each_item_is_handled_with_the_time_at_which_it_begins)
{
    constexpr std::size_t capacity = 16;
    constexpr Duration itemLength { 300 };
    TimePoint clock { 1'000 };
    TimePoint noted;
    std::vector<Duration> lags;
    WorkQueues queues(capacity);
    const WorkItem item = [&] {
        lags.push_back(clock - noted);
        clock = clock + itemLength;
    };
    queues.m_urgentItems.push(WorkItem(item));
    queues.m_items.push(WorkItem(item));
    queues.m_items.push(WorkItem(item));
    const std::size_t count = runRound(queues, item, capacity, { .m_noteTime = [&] { noted = clock; }, .m_runItem = [](const WorkItem& work) { work(); } });
    BOOST_TEST(count == 3U);
    BOOST_TEST(lags.size() == 4U);
    for (const Duration lag : lags)
        BOOST_TEST(lag.m_ms == 0);
}

BOOST_AUTO_TEST_CASE(urgent_items_overtake_the_others)
{
    constexpr std::size_t capacity = 16;
    std::vector<int> order;
    WorkQueues queues(capacity);
    queues.m_items.push([&] { order.push_back(2); });
    const WorkItem first = [&] {
        order.push_back(1);
        queues.m_urgentItems.push([&] { order.push_back(0); });
    };
    runRound(queues, first, capacity, { .m_noteTime = [] {}, .m_runItem = [](const WorkItem& work) { work(); } });
    BOOST_TEST(order == (std::vector<int> { 1, 0, 2 }), boost::test_tools::per_element());
}
