/** @file partition_queue_test.cpp The stand-in for a partition's queue behaves as the store's documentation and traces of a slow, lossy store say. */
#define BOOST_TEST_MODULE partition_queue
#include <boost/test/unit_test.hpp>

#include "fakes/partition_queue.h"

using bulrushloft::test::PartitionCounts;
using bulrushloft::test::PartitionQueue;

BOOST_AUTO_TEST_CASE(appends_are_carried_out_one_at_a_time)
{
    PartitionQueue queue(2);
    BOOST_TEST(queue.append(100).value() == 102);
    BOOST_TEST(queue.append(100).value() == 104);
    BOOST_TEST(queue.append(200).value() == 202);
    BOOST_TEST(queue.waitingTime(201) == 1);
    BOOST_TEST(queue.waitingTime(300) == 0);
}

BOOST_AUTO_TEST_CASE(appends_are_refused_only_while_more_than_two_seconds_wait)
{
    PartitionQueue queue(500);
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(queue.append(0).has_value()); // The last one arrives with exactly 2 s waiting.
    BOOST_TEST(!queue.append(0));
    BOOST_TEST(!queue.append(499));
    BOOST_TEST(queue.append(500).value() == 3'000);
    BOOST_TEST(queue.counts(500).m_refused == 2U);
}

BOOST_AUTO_TEST_CASE(late_appends_are_never_refused_and_take_their_place)
{
    PartitionQueue queue(120);
    for (int i = 0; i < 100; ++i)
        queue.sendLate();
    BOOST_TEST(queue.waitingTime(0) == 0); // They have not arrived yet.
    for (int i = 1; i <= 100; ++i)
        BOOST_TEST(queue.arriveLate(3'000) == 3'000 + i * 120);
    BOOST_TEST(queue.waitingTime(3'000) == 12'000);
    BOOST_TEST(!queue.append(3'000));
}

// So the partition stays occupied long after the store has become fast again.
BOOST_AUTO_TEST_CASE(waiting_appends_keep_the_time_that_they_take)
{
    PartitionQueue queue(120);
    for (int i = 0; i < 50; ++i)
        queue.arriveLate(0);
    queue.setAppendTime(2);
    BOOST_TEST(queue.waitingTime(0) == 6'000);
    BOOST_TEST(!queue.append(3'000));
    BOOST_TEST(queue.append(4'000).value() == 6'002);
}

BOOST_AUTO_TEST_CASE(reads_follow_the_appends_that_arrived_before)
{
    PartitionQueue queue(120);
    BOOST_TEST(queue.readTime(50) == 50);
    queue.append(50);
    queue.append(60);
    BOOST_TEST(queue.readTime(70) == 290);
    BOOST_TEST(queue.readTime(300) == 300);
}

BOOST_AUTO_TEST_CASE(attempts_are_counted)
{
    PartitionQueue queue(1'500);
    queue.append(0);
    queue.sendLate();
    queue.append(10);
    queue.append(20);
    queue.arriveLate(1'000);
    const PartitionCounts early = queue.counts(1'500);
    BOOST_TEST(early.m_sent == 4U);
    BOOST_TEST(early.m_done == 1U);
    BOOST_TEST(early.m_refused == 1U);
    BOOST_TEST(early.m_late == 1U);
    BOOST_TEST(early.m_waiting == 2U);
    BOOST_TEST(early.m_longestWaitMs == 3'500);
    BOOST_TEST(queue.counts(4'500).m_done == 3U);
    BOOST_TEST(queue.counts(4'500).m_waiting == 0U);
}
