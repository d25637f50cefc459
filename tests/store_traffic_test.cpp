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
    BOOST_TEST(traffic.m_latency.m_ms == 60); // A rejection is an answer too.
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

// Each VM counted its own unanswered appends until their time-out only, and sent copies to a partition that could not carry them out.
BOOST_AUTO_TEST_CASE(a_partition_that_answers_nothing_or_refuses_gets_appends_less_and_less_often)
{
    CallTraffic appends;
    const Duration initial { 100 };
    TimePoint now { 10'000 };
    int sent = 0;
    for (; now < TimePoint { 20'000 }; now = now + Duration { 10 }) {
        if (now - appends.m_lastSentAt < expectedLatency(appends, initial, now))
            continue;
        onCallSent(appends, now);
        ++sent;
    }
    constexpr int carriedOut = 8 * 10; // By a partition that takes 120 ms for each, in 10 s.
    constexpr int concurrentWriters = 4;
    BOOST_TEST(sent * concurrentWriters <= carriedOut);
    onCallAnswered(appends, StoreStatus::Done, appends.m_lastSentAt, now);
    BOOST_TEST(expectedLatency(appends, initial, now).m_ms <= 1'000);

    for (int i = 0; i < 6; ++i) {
        onCallSent(appends, now);
        onCallAnswered(appends, StoreStatus::NotDone, now, now);
    }
    constexpr Duration longestPause { 1'000 }; // Callers are served within seconds once the partition accepts appends again.
    BOOST_TEST(answeredLatency(appends, initial).m_ms > 500);
    BOOST_TEST(answeredLatency(appends, initial).m_ms <= longestPause.m_ms);
}

// With the share of a large cell the pause tripled with each unanswered append, and a daemon's own writes stopped for good after a single lost answer.
BOOST_AUTO_TEST_CASE(a_lost_answer_does_not_stop_the_appends_of_a_large_cell)
{
    for (const std::int64_t writers : { 1, 2, 7, 36 }) {
        CallTraffic appends;
        constexpr Duration longestPause { 2'000 }; // A caller waits for 3 s.
        TimePoint now { 10'000 };
        onCallSent(appends, now);
        onCallAnswered(appends, StoreStatus::Unknown, now, now + Duration { 600 });
        for (int i = 0; i < 20; ++i) {
            const TimePoint lastSentAt = appends.m_lastSentAt;
            for (now = lastSentAt; now - lastSentAt < pauseBetweenAppends(appends, { 100 }, writers, now); now = now + Duration { 10 }) { }
            BOOST_TEST((now - lastSentAt).m_ms <= longestPause.m_ms);
            onCallSent(appends, now);
            onCallAnswered(appends, StoreStatus::Unknown, now, now + Duration { 600 });
        }
        constexpr Duration late { 10'000 };
        BOOST_TEST(silenceOf(appends, now + late).m_ms == 0); // What was given up long ago is no longer waiting.
    }
}

BOOST_AUTO_TEST_CASE(only_a_call_that_was_carried_out_ends_the_time_in_which_none_was)
{
    CallTraffic reads;
    onCallSent(reads, { 1'000 });
    onCallAnswered(reads, StoreStatus::NotDone, { 1'000 }, { 1'100 });
    onCallSent(reads, { 1'200 });
    onCallAnswered(reads, StoreStatus::Unknown, { 1'200 }, { 2'200 });
    onCallSent(reads, { 2'300 });
    BOOST_TEST(undoneTime(reads, { 3'000 }).m_ms == 2'000);
    onCallSent(reads, { 2'500 });
    onCallAnswered(reads, StoreStatus::Done, { 2'300 }, { 3'000 });
    BOOST_TEST(undoneTime(reads, { 3'000 }).m_ms == 500); // The later call is open.
    onCallAnswered(reads, StoreStatus::EndMismatch, { 2'500 }, { 3'100 });
    BOOST_TEST(undoneTime(reads, { 4'000 }).m_ms == 0);
}
