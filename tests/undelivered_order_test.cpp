/** @file undelivered_order_test.cpp A worker answers syncs, and no start or stop reaches it: its tasks run elsewhere, once, and nothing waits for ever. */
#define BOOST_TEST_MODULE undelivered_order
#include <boost/test/unit_test.hpp>

#include "fake_lease_worker.h"
#include "process/scheduler/order_health.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"

#include <algorithm>
#include <deque>
#include <random>
#include <set>

using namespace bulrushloft;
using namespace bulrushloft::scheduler;

namespace {

constexpr const char* job = "00000000000000aa";
constexpr const char* otherJob = "00000000000000bb";
constexpr std::int64_t tickMs = 10;
constexpr std::int64_t runMs = 600;
constexpr std::int64_t secondsUntilMovedMs = 8'000; ///< A start that can't be delivered is moved within seconds: a lease and a few more.
constexpr std::int64_t secondsUntilStoppedMs = 20'000; ///< A run whose stop can't be delivered ends within four leases.

/** What happens to a start that gets no answer. */
enum class LostStart : std::uint8_t {
    Dropped,
    Late, ///< It is carried out up to 12 s later.
    NotSent, ///< No connection can be opened.
};

/** A leader and workers on a simulated clock, of which some answer syncs only; records are durable at once. */
struct SyncOnlyFixture {
    Scheduler m_scheduler;
    std::deque<test::FakeLeaseWorker> m_workers;
    std::set<std::string> m_syncOnly; ///< Ids of the workers that no start and no stop reaches.
    LostStart m_lostStart = LostStart::Dropped;
    std::vector<std::pair<std::int64_t, AddressedOrder<StartOrder>>> m_lateStarts; ///< Starts that are still to be carried out, with their times.
    std::map<TaskName, int> m_running; ///< Runs of each task at this moment.
    std::map<TaskName, int> m_starts; ///< Starts of each task so far.
    bool m_areStopsRefused = false; ///< Stops to these workers are refused instead of lost.
    bool m_isStoreSlow = false; ///< Records don't become durable.
    bool m_ranTwice = false; ///< A task has run on two workers at once.
    int m_failedOrders = 0; ///< Starts and stops that got no answer.
    std::int64_t m_runMs = runMs;
    std::int64_t m_nowMs = 10'000;
    std::mt19937 m_random { 7 };

    explicit SyncOnlyFixture(std::uint32_t workers)
    {
        m_scheduler.m_options.m_token = 1;
        setCluster(m_scheduler, { .m_version = 1, .m_queues = { { .m_name = "q", .m_pool = "p", .m_failureLimit = 4 } }, .m_pools = { { .m_name = "p" } } });
        for (std::uint32_t i = 0; i < workers; ++i) {
            test::FakeLeaseWorker& worker = m_workers.emplace_back();
            worker.m_id = "w" + std::to_string(i);
            worker.m_onAck = [](const auto&, const EndedAttempt&) {};
            worker.m_onStart = [this](const auto&, const TaskName& task, std::uint32_t) {
                ++m_starts[task];
                m_ranTwice = ++m_running[task] > 1 || m_ranTwice;
            };
            worker.m_onEnd = [this](const auto&, const TaskName& task, std::uint32_t, AttemptEnd) { --m_running[task]; };
        }
        announce(m_workers.front());
        finishRestoring(m_scheduler, now(), now());
        m_scheduler.m_isInitialLoad = false;
    }

    TimePoint now() const { return { m_nowMs }; }

    void announce(const test::FakeLeaseWorker& worker)
    {
        constexpr std::uint16_t firstPort = 9'000;
        const auto port = static_cast<std::uint16_t>(firstPort + std::stoi(worker.m_id.substr(1)));
        updateWorker(m_scheduler, { .m_id = worker.m_id, .m_pool = "p", .m_address = { "127.0.0.1", port }, .m_zone = "z", .m_machine = worker.m_id, .m_capacity = { .m_cpuMilli = worker.m_capacityCpuMilli, .m_memoryMb = 4'000 }, .m_processStartMs = worker.m_processStartMs }, now());
    }

    void submit(const std::string& id, StepPlan step)
    {
        step.m_size = { .m_cpuMilli = 1'000 };
        step.m_estimatedRunTime = { m_runMs };
        acceptJob(m_scheduler, { .m_id = id, .m_queue = "q", .m_policy = { .m_pool = "p" }, .m_payload = "x", .m_steps = { step } }, now());
    }

    test::FakeLeaseWorker& workerOf(const std::string& id)
    {
        return *std::find_if(m_workers.begin(), m_workers.end(), [&](const auto& worker) { return worker.m_id == id; });
    }

    OrderStatus carryOut(const AddressedOrder<StartOrder>& start)
    {
        return workerOf(start.m_to.m_worker).start(start.m_order, start.m_to.m_token, m_runMs, m_nowMs);
    }

    OrderStatus deliverStart(const AddressedOrder<StartOrder>& start)
    {
        if (!m_syncOnly.contains(start.m_to.m_worker))
            return carryOut(start);
        ++m_failedOrders;
        if (m_lostStart == LostStart::NotSent)
            return OrderStatus::NotSent;
        constexpr std::int64_t earliestMs = 2'000;
        constexpr std::int64_t latestMs = 12'000;
        if (m_lostStart == LostStart::Late)
            m_lateStarts.emplace_back(m_nowMs + std::uniform_int_distribution<std::int64_t>(earliestMs, latestMs)(m_random), start);
        return OrderStatus::NoAnswer;
    }

    OrderStatus deliverStop(const AddressedOrder<StopOrder>& stop)
    {
        if (!m_syncOnly.contains(stop.m_to.m_worker))
            return workerOf(stop.m_to.m_worker).stop(stop.m_order, stop.m_to.m_token);
        ++m_failedOrders;
        return m_areStopsRefused ? OrderStatus::Unhealthy : OrderStatus::NoAnswer;
    }

    void deliver(const SchedulerEffects& effects)
    {
        SchedulerEffects answers;
        for (const auto& start : effects.m_starts)
            onStartAnswer(m_scheduler, start.m_to.m_worker, start.m_order.m_task, start.m_order.m_attempt, { .m_status = deliverStart(start), .m_clockMs = workerOf(start.m_to.m_worker).clockAt(m_nowMs) }, now(), answers);
        for (const auto& stop : effects.m_stops)
            onStopAnswer(m_scheduler, stop.m_to.m_worker, stop.m_order.m_task, stop.m_order.m_attempt, deliverStop(stop), now(), answers);
        for (const auto& sync : effects.m_syncs) {
            const auto report = workerOf(sync.m_to.m_worker).sync(sync.m_order, sync.m_to.m_token, m_nowMs);
            onSyncAnswer(m_scheduler, sync.m_to.m_worker, OrderStatus::Done, *report, now(), now(), answers);
        }
        if (!answers.m_stops.empty()) // Stops of attempts that a report has shown.
            deliver({ .m_stops = answers.m_stops });
    }

    void tick()
    {
        m_nowMs += tickMs;
        for (auto& worker : m_workers)
            worker.tick(m_nowMs);
        std::erase_if(m_lateStarts, [&](const auto& late) {
            if (late.first <= m_nowMs)
                carryOut(late.second);
            return late.first <= m_nowMs;
        });
        SchedulerEffects effects;
        scheduler::step(m_scheduler, now(), effects);
        deliver(effects);
        const std::uint64_t batch = m_scheduler.m_nextBatch;
        takeRecords(m_scheduler);
        if (!m_isStoreSlow)
            onRecorded(m_scheduler, batch, now());
    }

    void run(std::int64_t lengthMs)
    {
        for (const std::int64_t end = m_nowMs + lengthMs; m_nowMs < end;)
            tick();
        BOOST_TEST(isConsistent(m_scheduler));
    }

    /** @return Time in ms until a condition holds; a minute if it doesn't. */
    std::int64_t timeUntil(const std::function<bool()>& condition)
    {
        constexpr std::int64_t minuteMs = 60'000;
        const std::int64_t since = m_nowMs;
        while (m_nowMs < since + minuteMs && !condition())
            tick();
        return m_nowMs - since;
    }

    JobStage stage(const std::string& id) const { return findStage(m_scheduler, id).value(); }

    bool isRunningOn(const std::string& id) { return !workerOf(id).m_running.empty(); }
};

} // namespace

// LOST (issue 45): a worker that answered only syncs kept the tasks that were to start there for ever.
BOOST_AUTO_TEST_CASE(a_start_that_cannot_be_delivered_is_moved)
{
    constexpr std::uint32_t tasks = 4;
    for (const LostStart lostStart : { LostStart::Dropped, LostStart::Late, LostStart::NotSent }) {
        SyncOnlyFixture fixture(2);
        fixture.m_lostStart = lostStart;
        fixture.m_syncOnly = { "w0" };
        fixture.run(200);
        fixture.submit(job, { .m_count = tasks });
        fixture.run(300);
        fixture.announce(fixture.m_workers.back());
        BOOST_TEST(fixture.timeUntil([&] { return fixture.stage(job) == JobStage::Complete; }) <= secondsUntilMovedMs);
        fixture.run(15'000);
        BOOST_TEST(!fixture.m_ranTwice);
        for (const auto& [task, starts] : fixture.m_starts)
            BOOST_TEST(starts == 1);
    }
}

// The same for a gang, of which one member has started: it must not wait for the other for ever.
BOOST_AUTO_TEST_CASE(a_gang_with_a_member_that_cannot_be_started_is_moved)
{
    SyncOnlyFixture fixture(3);
    fixture.m_runMs = 600'000;
    fixture.announce(fixture.m_workers[1]);
    fixture.run(200);
    fixture.m_syncOnly = { "w0" };
    fixture.submit(job, { .m_count = 6, .m_isGang = true });
    fixture.run(300);
    fixture.announce(fixture.m_workers.back());
    const auto isRunning = [&] { return std::all_of(fixture.m_running.begin(), fixture.m_running.end(), [](const auto& entry) { return entry.second == 1; }) && fixture.m_running.size() == 6; };
    BOOST_TEST(fixture.timeUntil(isRunning) <= secondsUntilMovedMs);
    BOOST_TEST(!fixture.m_ranTwice);
}

// Tasks were placed on such a worker between two of its syncs, again and again.
BOOST_AUTO_TEST_CASE(no_new_task_is_placed_where_orders_fail)
{
    SyncOnlyFixture fixture(2);
    fixture.m_syncOnly = { "w0" };
    fixture.run(200);
    fixture.submit(job, { .m_count = 1 });
    fixture.run(1'000);
    fixture.announce(fixture.m_workers.back());
    fixture.run(300);
    fixture.submit(otherJob, { .m_count = 4 });
    fixture.run(3'000);
    BOOST_TEST((fixture.stage(otherJob) == JobStage::Complete));
}

// Each failed order opened a connection that the worker reset: thousands in one play.
BOOST_AUTO_TEST_CASE(orders_that_fail_are_repeated_rarely)
{
    constexpr int maxPerSecond = 10;
    constexpr int seconds = 20;
    SyncOnlyFixture fixture(1);
    fixture.m_syncOnly = { "w0" };
    fixture.run(200);
    fixture.submit(job, { .m_count = 4 });
    fixture.run(seconds * 1'000);
    BOOST_TEST(fixture.m_failedOrders <= seconds * maxPerSecond);
}

// A worker that is reached again must not stay out of use.
BOOST_AUTO_TEST_CASE(a_worker_that_takes_orders_again_is_used)
{
    SyncOnlyFixture fixture(1);
    fixture.m_syncOnly = { "w0" };
    fixture.run(200);
    fixture.submit(job, { .m_count = 4 });
    fixture.run(30'000);
    fixture.m_syncOnly.clear();
    BOOST_TEST(fixture.timeUntil([&] { return fixture.stage(job) == JobStage::Complete; }) <= secondsUntilStoppedMs);
    BOOST_TEST(!fixture.m_ranTwice);
}

// A run whose stop can't be delivered went on for as long as syncs renewed the worker's lease.
BOOST_AUTO_TEST_CASE(a_run_whose_stop_cannot_be_delivered_ends)
{
    for (const bool areStopsRefused : { false, true }) {
        SyncOnlyFixture fixture(2);
        fixture.m_areStopsRefused = areStopsRefused;
        fixture.m_runMs = 600'000;
        fixture.run(200);
        fixture.submit(job, { .m_count = 1, .m_isLongRunning = true });
        fixture.submit(otherJob, { .m_count = 1, .m_isLongRunning = true });
        fixture.run(500);
        BOOST_REQUIRE(fixture.workerOf("w0").m_running.size() == 2);
        fixture.announce(fixture.m_workers.back());
        fixture.m_syncOnly = { "w0" };
        cancelJob(fixture.m_scheduler, job, fixture.now());
        BOOST_TEST(fixture.timeUntil([&] { return !fixture.isRunningOn("w0"); }) <= secondsUntilStoppedMs);
        BOOST_TEST(fixture.timeUntil([&] { return fixture.isRunningOn("w1"); }) <= secondsUntilMovedMs);
        BOOST_TEST(!fixture.m_ranTwice);
    }
}

// A task waits for the end of an attempt that an earlier leader has started; each sync prolonged the wait.
BOOST_AUTO_TEST_CASE(an_unexpected_attempt_whose_stop_cannot_be_delivered_ends)
{
    SyncOnlyFixture fixture(2);
    fixture.m_runMs = 600'000;
    fixture.m_syncOnly = { "w0" };
    test::FakeLeaseWorker& worker = fixture.workerOf("w0");
    worker.start({ .m_task = { .m_job = job }, .m_attempt = 7, .m_payload = "x", .m_leaseUntilMs = worker.clockAt(fixture.m_nowMs) + 5'000, .m_checkpoint = {}, .m_ticket = {} }, 0, fixture.m_runMs, fixture.m_nowMs);
    fixture.run(100);
    fixture.submit(job, { .m_count = 1, .m_isLongRunning = true });
    fixture.announce(fixture.m_workers.back());
    BOOST_TEST(fixture.timeUntil([&] { return fixture.isRunningOn("w1"); }) <= secondsUntilStoppedMs);
    BOOST_TEST(!fixture.m_ranTwice);
}

// Review: failures of a minute ago had a task withdrawn four times while its record was stored slowly.
BOOST_AUTO_TEST_CASE(earlier_failures_withdraw_no_task)
{
    SyncOnlyFixture fixture(1);
    fixture.run(200);
    for (int i = 0; i < 2; ++i)
        detail::noteOrderOutcome(fixture.m_scheduler.m_workers.front(), OrderStatus::NoAnswer, fixture.now());
    fixture.run(60'000);
    fixture.m_isStoreSlow = true;
    fixture.submit(job, { .m_count = 1 });
    fixture.run(3'500);
    fixture.m_isStoreSlow = false;
    fixture.run(2'000);
    BOOST_TEST((fixture.stage(job) == JobStage::Complete));
    BOOST_TEST(fixture.m_scheduler.m_counters.m_placements == 1U);
}

// Review: of an attempt that an earlier leader had started, the stop waited for ever.
BOOST_AUTO_TEST_CASE(a_restored_attempt_whose_stop_cannot_be_delivered_is_settled)
{
    SyncOnlyFixture fixture(2);
    fixture.run(200);
    fixture.submit(job, { .m_count = 1, .m_isLongRunning = true });
    fixture.run(500);
    fixture.announce(fixture.m_workers.back());
    const TaskRef ref { fixture.m_scheduler.m_jobs.at(job)->m_runs.front().get(), 0 };
    ref.task().m_startLeaseUntilMs = 0;
    fixture.m_syncOnly = { "w0" };
    detail::stopTask(fixture.m_scheduler, ref, fixture.now());
    fixture.workerOf("w0").crash();
    fixture.workerOf("w0").restart(fixture.m_nowMs);
    BOOST_TEST(fixture.timeUntil([&] { return fixture.isRunningOn("w1"); }) <= secondsUntilStoppedMs);
}

// Orders that get no answer now and then, as when some are carried out late, must cost no worker its lease.
BOOST_AUTO_TEST_CASE(lost_orders_do_not_end_the_lease)
{
    SyncOnlyFixture fixture(1);
    fixture.m_runMs = 600'000;
    fixture.run(200);
    fixture.submit(job, { .m_count = 1, .m_isLongRunning = true });
    fixture.run(500);
    fixture.submit(otherJob, { .m_count = 2 });
    for (int i = 0; i < 60; ++i) {
        fixture.m_syncOnly = { "w0" };
        fixture.run(700);
        fixture.m_syncOnly.clear();
        fixture.run(300);
    }
    BOOST_TEST(fixture.m_starts[TaskName { .m_job = job }] == 1);
    BOOST_TEST(fixture.isRunningOn("w0"));
}

// A probe was as many tasks as a placement pass had for the worker, and all of them waited for the orders that fail.
BOOST_AUTO_TEST_CASE(a_worker_whose_orders_fail_is_probed_with_one_task)
{
    SyncOnlyFixture fixture(1);
    fixture.m_syncOnly = { "w0" };
    fixture.run(200);
    fixture.submit(job, { .m_count = 4 });
    fixture.submit(otherJob, { .m_count = 1 });
    const scheduler::Worker& worker = fixture.m_scheduler.m_workers.front();
    fixture.timeUntil([&] { return worker.m_orders.m_failures > 0; });
    fixture.timeUntil([&] { return worker.m_tasks.empty(); });
    std::size_t most = 0;
    fixture.timeUntil([&] {
        most = std::max(most, worker.m_tasks.size());
        return false;
    });
    BOOST_TEST(most == 1U);
}

// LOST (issue 48): after 6 s at a worker that answered syncs only, a start waited as long at a second one.
BOOST_AUTO_TEST_CASE(a_second_worker_that_takes_no_orders_delays_a_task_no_longer_than_a_lease)
{
    for (const LostStart lostStart : { LostStart::Dropped, LostStart::Late }) {
        SyncOnlyFixture fixture(3);
        fixture.m_lostStart = lostStart;
        fixture.m_syncOnly = { "w0", "w1" };
        fixture.run(200);
        fixture.submit(job, { .m_count = 1 });
        const std::int64_t submittedMs = fixture.m_nowMs;
        fixture.run(300);
        fixture.announce(fixture.m_workers[1]);
        fixture.timeUntil([&] { return fixture.m_scheduler.m_counters.m_placements == 2; });
        fixture.announce(fixture.m_workers.back());
        fixture.timeUntil([&] { return fixture.stage(job) == JobStage::Complete; });
        BOOST_TEST(fixture.m_nowMs - submittedMs <= secondsUntilMovedMs);
        fixture.run(15'000);
        BOOST_TEST(fixture.m_starts[TaskName { .m_job = job }] == 1);
    }
}

// A start that could not be delivered was moved to a worker of which nothing was known, beside one that took orders.
BOOST_AUTO_TEST_CASE(an_undelivered_start_is_moved_to_the_worker_that_answered_an_order_last)
{
    for (const char* const sick : { "w1", "w2" }) {
        SyncOnlyFixture fixture(3);
        fixture.m_syncOnly = { "w0", sick };
        fixture.run(200);
        fixture.submit(job, { .m_count = 1 });
        fixture.run(300);
        for (const test::FakeLeaseWorker& worker : fixture.m_workers)
            fixture.announce(worker);
        const int sound = fixture.m_syncOnly.contains("w1") ? 2 : 1;
        detail::noteOrderOutcome(fixture.m_scheduler.m_workers[static_cast<std::size_t>(sound)], OrderStatus::Done, fixture.now());
        fixture.timeUntil([&] { return fixture.stage(job) == JobStage::Complete; });
        BOOST_TEST(fixture.m_scheduler.m_counters.m_placements == 2U);
    }
}
