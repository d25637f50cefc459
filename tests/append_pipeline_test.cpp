/** @file append_pipeline_test.cpp Appends of one fenced writer against a store that is slow, refuses, or loses answers. */
#define BOOST_TEST_MODULE append_pipeline
#include <boost/test/unit_test.hpp>

#include "fakes/fake_store.h"
#include "process/cell/append_pipeline.h"

#include <random>

using namespace bulrushloft;
using namespace bulrushloft::cell;
using bulrushloft::test::FakeStore;

namespace {

AppendPipeline makePipeline()
{
    AppendPipeline pipeline;
    pipeline.m_writer = { .m_name = "leader", .m_epoch = 7, .m_sequence = 0 };
    return pipeline;
}

StoreAppend makeAppend(std::uint64_t batch)
{
    return { .m_partition = { .m_topic = "keyed.progress" }, .m_records = { { .m_key = "job", .m_value = std::to_string(batch) } }, .m_writer = {}, .m_expectedEnd = {} };
}

std::uint64_t sequenceOf(const PipelinedAppend& append)
{
    return append.m_append.m_writer->m_sequence;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_quick_store_gets_one_append_at_a_time)
{
    AppendPipeline pipeline = makePipeline();
    pushAppend(pipeline, makeAppend(1), 1);
    BOOST_REQUIRE(takeAppend(pipeline, {}, { 1'000 }));
    BOOST_TEST(!wantsAppend(pipeline, { 1'000 }, { 1'010 }));
    BOOST_CHECK(onAppendAnswer(pipeline, 1, StoreStatus::Done, { 1'012 }) == AppendVerdict::GoOn);
    BOOST_TEST(pipeline.m_confirmedBatch == 1U);
    BOOST_TEST(wantsAppend(pipeline, { 1'012 }, { 1'012 }));
}

// Load: a store that takes 0.6 s for each append, while jobs arrive all the time; each waited for two appends in turn.
BOOST_AUTO_TEST_CASE(a_slow_store_gets_appends_before_it_answers)
{
    AppendPipeline pipeline = makePipeline();
    pipeline.m_lastTook = { 600 };
    std::uint64_t batch = 0;
    for (std::int64_t now = 1'000; now < 1'600; now += 10) {
        if (wantsAppend(pipeline, { 900 }, { now })) {
            ++batch;
            pushAppend(pipeline, makeAppend(batch), batch);
        }
        takeAppend(pipeline, { 900 }, { now });
    }
    BOOST_TEST(batch == 4U);
    BOOST_TEST(pipeline.m_queue.size() == 4U);
}

// Load: the store falls silent; what has not left yet must stay refusable, as a call told "unknown" is lost to its client.
BOOST_AUTO_TEST_CASE(a_store_that_falls_silent_gets_one_append)
{
    AppendPipeline pipeline = makePipeline();
    pushAppend(pipeline, makeAppend(1), 1);
    takeAppend(pipeline, {}, { 1'000 });
    BOOST_TEST(!wantsAppend(pipeline, { 999 }, { 1'700 }));
    BOOST_TEST(wantsAppend(pipeline, { 1'600 }, { 1'700 })); // It answers others: only this answer is lost.
}

// Load: a store back from a silent outage answers on new connections only; the append sent into the outage stays silent.
BOOST_AUTO_TEST_CASE(an_append_that_is_passed_over_is_sent_again)
{
    AppendPipeline pipeline = makePipeline();
    pushAppend(pipeline, makeAppend(1), 1);
    takeAppend(pipeline, {}, { 1'000 });
    BOOST_TEST(!takeAppend(pipeline, { 990 }, { 1'500 }));
    const PipelinedAppend* const repeat = takeAppend(pipeline, { 1'400 }, { 1'500 });
    BOOST_REQUIRE(repeat);
    BOOST_TEST(sequenceOf(*repeat) == 1U);
    onAppendAnswer(pipeline, 1, StoreStatus::Done, { 1'510 });
    BOOST_TEST(pipeline.m_confirmedBatch == 1U);
}

BOOST_AUTO_TEST_CASE(a_later_confirmation_confirms_what_went_before)
{
    AppendPipeline pipeline = makePipeline();
    pushAppend(pipeline, makeAppend(1), 1);
    takeAppend(pipeline, {}, { 1'000 });
    pushAppend(pipeline, makeAppend(2), 2);
    takeAppend(pipeline, {}, { 1'200 });
    onAppendAnswer(pipeline, 2, StoreStatus::Done, { 1'700 });
    BOOST_TEST(pipeline.m_confirmedBatch == 2U);
    BOOST_TEST(pipeline.m_queue.empty());
    BOOST_CHECK(onAppendAnswer(pipeline, 1, StoreStatus::Unknown, { 1'800 }) == AppendVerdict::GoOn);
}

BOOST_AUTO_TEST_CASE(a_refused_append_is_repeated_before_younger_ones)
{
    AppendPipeline pipeline = makePipeline();
    pushAppend(pipeline, makeAppend(1), 1);
    takeAppend(pipeline, {}, { 1'000 });
    pushAppend(pipeline, makeAppend(2), 2);
    takeAppend(pipeline, {}, { 1'200 });
    onAppendAnswer(pipeline, 1, StoreStatus::NotDone, { 1'300 });
    BOOST_TEST(!takeAppend(pipeline, {}, { 1'500 })); // The younger one is not answered yet.
    onAppendAnswer(pipeline, 2, StoreStatus::OutOfSequence, { 1'600 });
    BOOST_TEST(!wantsAppend(pipeline, { 1'600 }, { 1'650 }));
    const PipelinedAppend* const repeat = takeAppend(pipeline, {}, { 1'800 });
    BOOST_REQUIRE(repeat);
    BOOST_TEST(sequenceOf(*repeat) == 1U);
    onAppendAnswer(pipeline, 1, StoreStatus::Done, { 1'810 });
    const PipelinedAppend* const next = takeAppend(pipeline, {}, { 2'000 });
    BOOST_REQUIRE(next);
    BOOST_TEST(sequenceOf(*next) == 2U);
}

BOOST_AUTO_TEST_CASE(a_writer_out_of_order_or_fenced_ends)
{
    AppendPipeline pipeline = makePipeline();
    pushAppend(pipeline, makeAppend(1), 1);
    takeAppend(pipeline, {}, { 1'000 });
    BOOST_CHECK(onAppendAnswer(pipeline, 1, StoreStatus::OutOfSequence, { 1'010 }) == AppendVerdict::Disordered);
    BOOST_CHECK(onAppendAnswer(pipeline, 1, StoreStatus::Fenced, { 1'010 }) == AppendVerdict::Fenced);
}

// Against the store's own rules: whatever is refused, lost, late or doubled, each batch is kept once and in order.
BOOST_AUTO_TEST_CASE(batches_are_kept_once_and_in_order_under_random_troubles)
{
    constexpr std::uint64_t batches = 60;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        const auto draw = [&](std::int64_t low, std::int64_t high) { return std::uniform_int_distribution<std::int64_t>(low, high)(random); };
        FakeStore store;
        store.append({ .m_partition = { .m_topic = "keyed.progress" }, .m_records = {}, .m_writer = FencedWriter { .m_name = "leader", .m_epoch = 7, .m_sequence = 0 }, .m_expectedEnd = {} });
        AppendPipeline pipeline = makePipeline();
        std::multimap<std::int64_t, std::function<void()>> events;
        std::uint64_t batch = 0;
        std::int64_t now = 1'000;
        TimePoint heardAt;
        while (pipeline.m_confirmedBatch < batches && now < 400'000) {
            now += 10;
            while (!events.empty() && events.begin()->first <= now)
                events.extract(events.begin()).mapped()();
            if (batch < batches && wantsAppend(pipeline, { now }, { now })) {
                ++batch;
                pushAppend(pipeline, makeAppend(batch), batch);
            }
            const PipelinedAppend* const next = takeAppend(pipeline, heardAt, { now });
            if (!next)
                continue;
            const auto answer = [&, sequence = sequenceOf(*next)](StoreStatus status) {
                if (status == StoreStatus::Done)
                    heardAt = { now };
                BOOST_REQUIRE(onAppendAnswer(pipeline, sequence, status, { now }) == AppendVerdict::GoOn);
            };
            const std::int64_t trouble = draw(0, 9);
            const std::int64_t delay = draw(5, 700);
            if (trouble == 0) {
                events.emplace(now + delay, [answer] { answer(StoreStatus::NotDone); });
            } else if (trouble <= 2) {
                events.emplace(now + draw(5, 3'000), [&store, append = next->m_append] { store.append(append); });
                events.emplace(now + appendTimeout(pipeline).m_ms, [answer] { answer(StoreStatus::Unknown); });
            } else {
                events.emplace(now + delay / 2, [&, answer, delay, append = next->m_append] {
                    const StoreStatus status = store.append(append).m_status;
                    events.emplace(now + delay / 2, [answer, status] { answer(status); });
                });
            }
        }
        BOOST_TEST(pipeline.m_confirmedBatch == batches, "seed " << seed);
        const StoreReadAnswer all = store.read({ .m_partition = { .m_topic = "keyed.progress" }, .m_from = 0, .m_wait = {} });
        BOOST_REQUIRE(all.m_records.size() == batches);
        for (std::uint64_t i = 0; i < batches; ++i)
            BOOST_TEST(all.m_records[i].m_value == std::to_string(i + 1), "seed " << seed);
    }
}
