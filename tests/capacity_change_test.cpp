/** @file capacity_change_test.cpp Workers whose announced capacity shrinks and grows while they run. */
#define BOOST_TEST_MODULE capacity_change
#include <boost/test/unit_test.hpp>

#include "process/scheduler/pool_view.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"

#include <algorithm>
#include <map>

using namespace bulrushloft;
using namespace bulrushloft::scheduler;

namespace {

constexpr Duration earlierRenewals { 3'000 }; ///< How long after the takeover leaders of earlier terms may renew leases.
constexpr const char* firstJob = "00000000000000aa";
constexpr const char* secondJob = "00000000000000bb";

/** A scheduler with workers that the test case plays; the store confirms records when the test case says so. */
struct CapacityFixture {
    Scheduler m_scheduler;
    TimePoint m_now { 10'000 };

    CapacityFixture()
    {
        m_scheduler.m_options.m_token = 1;
        setCluster(m_scheduler, { .m_version = 1, .m_queues = { { .m_name = "q", .m_pool = "p", .m_failureLimit = 3 } }, .m_pools = { { .m_name = "p" } } });
    }

    void announce(const std::string& id, std::int64_t cpuMilli)
    {
        updateWorker(m_scheduler, { .m_id = id, .m_pool = "p", .m_address = { "127.0.0.1", 9 }, .m_zone = "z", .m_machine = {}, .m_capacity = { .m_cpuMilli = cpuMilli, .m_memoryMb = 10'000 } }, m_now);
    }

    void answerSync(const std::string& id, std::vector<RunningAttempt> running = {})
    {
        SchedulerEffects effects;
        onSyncAnswer(m_scheduler, id, OrderStatus::Done, { .m_clockMs = m_now.m_ms, .m_processStartMs = 1, .m_running = std::move(running) }, m_now, m_now, effects);
    }

    void adopt(const std::string& id, std::int64_t cpuMilli)
    {
        announce(id, cpuMilli);
        step();
        answerSync(id);
    }

    SchedulerEffects step(Duration elapsed = { 10 })
    {
        m_now = m_now + elapsed;
        SchedulerEffects effects;
        scheduler::step(m_scheduler, m_now, effects);
        BOOST_TEST(isConsistent(m_scheduler));
        return effects;
    }

    void record()
    {
        const std::uint64_t batch = m_scheduler.m_nextBatch;
        takeRecords(m_scheduler);
        onRecorded(m_scheduler, batch, m_now);
    }

    void submit(const std::string& id, std::uint32_t count, std::int64_t cpuMilli, bool isGang = false)
    {
        acceptJob(m_scheduler, { .m_id = id, .m_queue = "q", .m_policy = { .m_pool = "p" }, .m_payload = "x", .m_steps = { { .m_count = count, .m_size = { .m_cpuMilli = cpuMilli }, .m_estimatedRunTime = { 500 }, .m_isGang = isGang } } }, m_now);
    }

    /** Steps and records until the placed tasks are started. @return The starts of the last step. */
    std::vector<AddressedOrder<StartOrder>> placeAndStart()
    {
        step();
        record();
        return step().m_starts;
    }

    /** Reports the end of a stopped attempt, and the attempts that still run. */
    void reportStopped(const AddressedOrder<StartOrder>& start, std::vector<RunningAttempt> running)
    {
        m_now = m_now + Duration { 10 };
        SchedulerEffects effects;
        const EndedAttempt ended { .m_number = 1, .m_task = start.m_order.m_task, .m_attempt = start.m_order.m_attempt, .m_end = AttemptEnd::Stopped, .m_checkpoint = {} };
        onSyncAnswer(m_scheduler, start.m_to.m_worker, OrderStatus::Done, { .m_clockMs = m_now.m_ms, .m_processStartMs = 1, .m_running = std::move(running), .m_ended = { ended } }, m_now, m_now, effects);
    }

    void answerStart(const AddressedOrder<StartOrder>& start, OrderStatus status)
    {
        SchedulerEffects effects;
        onStartAnswer(m_scheduler, start.m_to.m_worker, start.m_order.m_task, start.m_order.m_attempt, { .m_status = status, .m_clockMs = m_now.m_ms }, m_now, effects);
    }
};

} // namespace

// Two tasks are placed; the capacity shrinks to one of them before their record is durable.
BOOST_AUTO_TEST_CASE(a_placed_task_does_not_start_on_a_worker_that_has_become_too_small)
{
    CapacityFixture fixture;
    fixture.adopt("w1", 2'000);
    fixture.submit(firstJob, 2, 1'000);
    fixture.step();
    fixture.announce("w1", 1'000);
    fixture.record();
    BOOST_TEST(fixture.step().m_starts.size() == 1U);
}

// The first start has got no answer; repeating it would bring the worker over its capacity if it did not arrive.
BOOST_AUTO_TEST_CASE(a_start_is_not_repeated_on_a_worker_that_has_become_too_small)
{
    CapacityFixture fixture;
    fixture.adopt("w1", 2'000);
    fixture.submit(firstJob, 2, 1'000);
    fixture.step();
    fixture.record();
    const auto starts = fixture.step().m_starts;
    BOOST_REQUIRE(starts.size() == 2U);
    fixture.answerStart(starts[0], OrderStatus::Done);
    fixture.answerStart(starts[1], OrderStatus::NoAnswer);
    fixture.announce("w1", 1'000);
    std::size_t repeats = 0;
    for (int i = 0; i < 20; ++i)
        repeats += fixture.step().m_starts.size();
    BOOST_TEST(repeats == 0U);
}

// Free resources below zero hold no task; the callers convert the number to an unsigned one.
BOOST_AUTO_TEST_CASE(no_task_fits_into_negative_room)
{
    BOOST_TEST(detail::countFitting({ .m_cpuMilli = 1'000 }, { .m_cpuMilli = -2'000 }, 4) == 0);
    BOOST_TEST(detail::countFitting({ .m_memoryMb = 100 }, { .m_memoryMb = -500 }, 4) == 0);
}

// A worker with more work than room counts as one task's room of a reservation, so that a step of two reserves two of twelve workers (a late step may reserve a sixth).
BOOST_AUTO_TEST_CASE(a_worker_with_negative_room_is_not_reserved_for_a_whole_step)
{
    CapacityFixture fixture;
    for (int i = 1; i <= 12; ++i)
        fixture.adopt("w" + std::to_string(i), 8'000);
    fixture.submit(firstJob, 24, 4'000);
    fixture.step();
    fixture.record();
    std::map<std::string, std::vector<RunningAttempt>> running;
    for (const auto& start : fixture.step().m_starts) {
        fixture.answerStart(start, OrderStatus::Done);
        running[start.m_to.m_worker].push_back({ .m_task = start.m_order.m_task, .m_attempt = start.m_order.m_attempt });
    }
    BOOST_REQUIRE(running.size() == 12U);
    for (const auto& [id, attempts] : running) {
        fixture.answerSync(id, attempts);
        fixture.announce(id, 3'000);
    }
    fixture.submit(secondJob, 2, 2'000);
    fixture.step({ 100 });
    fixture.step({ 100 });
    const auto& workers = fixture.m_scheduler.m_workers;
    const auto reserved = std::count_if(workers.begin(), workers.end(), [](const Worker& worker) { return worker.m_reservedFor != nullptr; });
    BOOST_TEST(reserved == 2);
}

// When the capacity is back, the waiting task starts without further events.
BOOST_AUTO_TEST_CASE(tasks_start_again_when_the_capacity_grows)
{
    CapacityFixture fixture;
    fixture.adopt("w1", 2'000);
    fixture.announce("w1", 500);
    fixture.submit(firstJob, 1, 1'000);
    fixture.step({ 100 });
    fixture.announce("w1", 2'000);
    fixture.step({ 100 });
    fixture.record();
    BOOST_TEST(fixture.step().m_starts.size() == 1U);
}

// Two tasks too many: the two that were placed last are withdrawn, and start elsewhere once there is room.
BOOST_AUTO_TEST_CASE(only_the_youngest_tasks_that_do_not_fit_are_withdrawn)
{
    CapacityFixture fixture;
    fixture.adopt("w1", 4'000);
    fixture.submit(firstJob, 4, 1'000);
    fixture.step();
    fixture.announce("w1", 2'000);
    fixture.record();
    const auto starts = fixture.step().m_starts;
    BOOST_REQUIRE(starts.size() == 2U);
    BOOST_TEST(starts[0].m_order.m_task.m_index == 0U);
    BOOST_TEST(starts[1].m_order.m_task.m_index == 1U);
    fixture.adopt("w2", 2'000);
    const auto elsewhere = fixture.placeAndStart();
    BOOST_REQUIRE(elsewhere.size() == 2U);
    BOOST_TEST(elsewhere[0].m_to.m_worker == "w2");
    BOOST_TEST(elsewhere[0].m_order.m_attempt == 2U);
}

// Running attempts that are being stopped occupy their room until their ends are reported.
BOOST_AUTO_TEST_CASE(what_is_being_stopped_counts_after_a_shrink)
{
    CapacityFixture fixture;
    fixture.adopt("w1", 3'000);
    fixture.submit(firstJob, 1, 2'000);
    const auto first = fixture.placeAndStart();
    BOOST_REQUIRE(first.size() == 1U);
    fixture.answerStart(first[0], OrderStatus::Done);
    fixture.submit(secondJob, 1, 1'000);
    fixture.step();
    cancelJob(fixture.m_scheduler, firstJob, fixture.m_now);
    fixture.announce("w1", 2'000);
    fixture.record();
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(fixture.step().m_starts.empty());
    fixture.reportStopped(first[0], {});
    BOOST_TEST(fixture.placeAndStart().size() == 1U);
}

// Of two unanswered starts, one is stopped; the other is not repeated before that stop has ended, and is not stopped.
BOOST_AUTO_TEST_CASE(an_unanswered_start_that_fits_is_repeated_once_the_stopped_one_has_ended)
{
    CapacityFixture fixture;
    fixture.adopt("w1", 2'000);
    fixture.submit(firstJob, 2, 1'000);
    const auto starts = fixture.placeAndStart();
    BOOST_REQUIRE(starts.size() == 2U);
    for (const auto& start : starts)
        fixture.answerStart(start, OrderStatus::NoAnswer);
    fixture.announce("w1", 1'000);
    std::vector<AddressedOrder<StopOrder>> stops;
    for (int i = 0; i < 20; ++i) {
        const SchedulerEffects effects = fixture.step();
        BOOST_TEST(effects.m_starts.empty());
        stops.insert(stops.end(), effects.m_stops.begin(), effects.m_stops.end());
    }
    BOOST_REQUIRE(stops.size() == 1U);
    BOOST_TEST(stops[0].m_order.m_task.m_index == 1U);
    fixture.reportStopped(starts[1], {});
    const auto repeats = fixture.step().m_starts;
    BOOST_REQUIRE(repeats.size() == 1U);
    BOOST_TEST(repeats[0].m_order.m_task.m_index == 0U);
    BOOST_TEST(repeats[0].m_order.m_attempt == 1U);
}

// One worker of a gang has become too small: no member starts there or elsewhere, and all start together when there is room.
BOOST_AUTO_TEST_CASE(a_gang_with_a_member_that_does_not_fit_any_more_is_withdrawn_as_a_whole)
{
    CapacityFixture fixture;
    fixture.adopt("w1", 1'000);
    fixture.adopt("w2", 1'000);
    fixture.submit(firstJob, 2, 1'000, true);
    fixture.step();
    fixture.announce("w1", 500);
    fixture.record();
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(fixture.step().m_starts.empty());
    fixture.announce("w1", 1'000);
    fixture.step({ 100 });
    const auto starts = fixture.placeAndStart();
    BOOST_REQUIRE(starts.size() == 2U);
    BOOST_TEST(starts[0].m_order.m_attempt == starts[1].m_order.m_attempt);
}

// A member of the gang already runs on another worker when its worker shrinks; the running one is stopped instead of waiting in vain.
BOOST_AUTO_TEST_CASE(running_members_of_a_withdrawn_gang_are_stopped)
{
    CapacityFixture fixture;
    fixture.adopt("w1", 1'000);
    fixture.adopt("w2", 1'000);
    fixture.submit(firstJob, 2, 1'000, true);
    const auto starts = fixture.placeAndStart();
    BOOST_REQUIRE(starts.size() == 2U);
    fixture.answerStart(starts[0], OrderStatus::Done);
    fixture.answerStart(starts[1], OrderStatus::NoAnswer);
    fixture.announce(starts[1].m_to.m_worker, 500);
    BOOST_TEST(fixture.step().m_stops.size() == 2U);
}

// A later term finds a worker with more running tasks than it has room for: nothing is placed there until it has room again.
BOOST_AUTO_TEST_CASE(a_later_term_places_nothing_on_a_worker_that_shrank_under_restored_tasks)
{
    CapacityFixture former;
    former.adopt("w1", 2'000);
    former.submit(firstJob, 2, 1'000);
    former.step();
    CapacityFixture later;
    later.submit(firstJob, 2, 1'000);
    for (const KeyedRecord& record : takeRecords(former.m_scheduler)) {
        if (record.m_key == firstJob)
            BOOST_REQUIRE(restoreProgress(later.m_scheduler, record.m_key, record.m_value, later.m_now));
    }
    finishRestoring(later.m_scheduler, later.m_now + earlierRenewals, later.m_now);
    later.announce("w1", 1'000);
    later.step();
    const std::vector<RunningAttempt> running { { .m_task = { .m_job = firstJob, .m_index = 0 }, .m_attempt = 1 }, { .m_task = { .m_job = firstJob, .m_index = 1 }, .m_attempt = 1 } };
    later.answerSync("w1", running);
    BOOST_REQUIRE(later.m_scheduler.m_workers[0].m_tasks.size() == 2U);
    later.submit(secondJob, 1, 1'000);
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(later.placeAndStart().empty());
    later.announce("w1", 3'000);
    later.step({ 100 });
    BOOST_TEST(later.placeAndStart().size() == 1U);
}

// Free resources that are negative in one dimension hold no task, even one that uses nothing of it.
BOOST_AUTO_TEST_CASE(no_task_fits_where_another_dimension_is_negative)
{
    BOOST_TEST(detail::countFitting({ .m_cpuMilli = 1'000 }, { .m_cpuMilli = 4'000, .m_memoryMb = -1 }, 4) == 0);
}
