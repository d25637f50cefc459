/** @file store_traffic_test.cpp Counts of a daemon's calls to each partition of the store. */
#define BOOST_TEST_MODULE store_traffic
#include <boost/test/unit_test.hpp>

#include "process/cell/store_traffic.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;

BOOST_AUTO_TEST_CASE(each_call_is_counted_once_by_its_outcome)
{
    CallTraffic traffic;
    const TimePoint sentAt { 1'000 };
    for (int i = 0; i < 5; ++i)
        onCallSent(traffic, sentAt);
    onCallAnswered(traffic, StoreStatus::Done, sentAt, { 1'040 });
    onCallAnswered(traffic, StoreStatus::NotDone, sentAt, { 1'050 });
    onCallAnswered(traffic, StoreStatus::EndMismatch, sentAt, { 1'060 });
    onCallAnswered(traffic, StoreStatus::Unknown, sentAt, { 2'000 });
    BOOST_TEST(traffic.m_sent == 5);
    BOOST_TEST(traffic.m_done == 1);
    BOOST_TEST(traffic.m_refused == 1);
    BOOST_TEST(traffic.m_rejected == 1);
    BOOST_TEST(traffic.m_unanswered == 1);
    BOOST_TEST(traffic.m_open.size() == 1);
    BOOST_TEST(traffic.m_latency.m_ms == 40);
}

BOOST_AUTO_TEST_CASE(a_call_that_was_given_up_counts_for_as_long_as_the_store_may_carry_it_out)
{
    StoreTraffic traffic;
    CallTraffic& appends = traffic.m_partitions[{ .m_topic = "t" }].m_appends;
    onCallSent(appends, { 1'000 });
    onCallAnswered(appends, StoreStatus::Unknown, { 1'000 }, { 2'000 });
    reportTraffic(traffic, { 7'000 }); // The store may carry it out 6 s late.
    BOOST_TEST(appends.m_givenUp.size() == 1);
    reportTraffic(traffic, { 20'000 });
    BOOST_TEST(appends.m_givenUp.empty());
}
