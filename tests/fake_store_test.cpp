/** @file fake_store_test.cpp The stand-in for the metadata store keeps the partitions of a topic apart. */
#define BOOST_TEST_MODULE fake_store
#include <boost/test/unit_test.hpp>

#include "fakes/fake_store.h"

using namespace bulrushloft;
using bulrushloft::test::FakeStore;

namespace {

const StorePartition firstPartition { .m_topic = "keyed.t", .m_partition = 0 };
const StorePartition secondPartition { .m_topic = "keyed.t", .m_partition = 7 };

StoreAppend makeAppend(const StorePartition& partition, const std::string& value)
{
    return { .m_partition = partition, .m_records = { { .m_key = "k", .m_value = value } }, .m_writer = {}, .m_expectedEnd = {} };
}

} // namespace

BOOST_AUTO_TEST_CASE(partitions_of_a_topic_have_their_own_records_and_offsets)
{
    FakeStore store;
    store.append(makeAppend(firstPartition, "a"));
    store.append(makeAppend(firstPartition, "b"));
    const StoreAppendAnswer answer = store.append(makeAppend(secondPartition, "c"));
    BOOST_TEST(answer.m_offset == 0U);
    BOOST_TEST(answer.m_end == 1U);
    BOOST_TEST(store.newest({ .m_partition = firstPartition, .m_after = {} }).m_records.at(0).m_value == "b");
    BOOST_TEST(store.newest({ .m_partition = secondPartition, .m_after = {} }).m_records.at(0).m_value == "c");
    BOOST_TEST(store.read({ .m_partition = secondPartition, .m_from = 0, .m_wait = {} }).m_records.size() == 1U);
    StoreAppend conditional = makeAppend(secondPartition, "d");
    conditional.m_expectedEnd = 2;
    BOOST_TEST((store.append(conditional).m_status == StoreStatus::EndMismatch));
    conditional.m_expectedEnd = 1;
    BOOST_TEST((store.append(conditional).m_status == StoreStatus::Done));
}

BOOST_AUTO_TEST_CASE(a_writer_is_fenced_in_the_partition_that_has_seen_a_higher_epoch_only)
{
    FakeStore store;
    StoreAppend fence = makeAppend(firstPartition, "a");
    fence.m_writer = FencedWriter { .m_name = "leader", .m_epoch = 2, .m_sequence = 1 };
    store.append(fence);
    StoreAppend former = makeAppend(firstPartition, "b");
    former.m_writer = FencedWriter { .m_name = "leader", .m_epoch = 1, .m_sequence = 5 };
    BOOST_TEST((store.append(former).m_status == StoreStatus::Fenced));
    former.m_partition = secondPartition;
    BOOST_TEST((store.append(former).m_status == StoreStatus::Done));
}
