/** @file worker_restart_test.cpp Workers that restart under their id, with their ends counted from 1 again. */
#define BOOST_TEST_MODULE worker_restart
#include <boost/test/unit_test.hpp>

#include "process/scheduler/scheduler_func.h"

using namespace bulrushloft;
using namespace bulrushloft::scheduler;

namespace {

constexpr const char* firstJob = "5c0e7a21d94b36f8";
constexpr const char* secondJob = "5c0e7a21d94b36f9";
constexpr std::int64_t firstProcess = 1'000;
constexpr std::int64_t secondProcess = 9'000;

/** A scheduler with one worker, whose answers are played by the test case; records are durable at once. */
struct RestartFixture {
    Scheduler m_scheduler;
    TimePoint m_now { 10'000 };
    std::vector<AddressedOrder<StartOrder>> m_starts; ///< Starts sent and not answered yet.
    std::vector<SyncOrder> m_syncs; ///< Syncs sent and not answered yet.
    std::vector<StopOrder> m_stops; ///< Stops sent and not answered yet.

    RestartFixture()
    {
        m_scheduler.m_options.m_token = 1;
        m_scheduler.m_isInitialLoad = false;
        setCluster(m_scheduler, { .m_version = 1, .m_queues = { { .m_name = "q", .m_pool = "p", .m_failureLimit = 3 } }, .m_pools = { { .m_name = "p" } } });
        updateWorker(m_scheduler, { .m_id = "w", .m_pool = "p", .m_address = { "127.0.0.1", 9 }, .m_zone = "z", .m_machine = {}, .m_capacity = { .m_cpuMilli = 4'000, .m_memoryMb = 4'000 } }, m_now);
        run({ 50 });
        answerSync(firstProcess, {}, {});
    }

    void submit(const std::string& id)
    {
        acceptJob(m_scheduler, { .m_id = id, .m_queue = "q", .m_policy = { .m_pool = "p" }, .m_payload = "x", .m_steps = { { .m_count = 1, .m_size = { .m_cpuMilli = 1'000 }, .m_estimatedRunTime = { 500 } } } }, m_now);
    }

    static TaskName taskOf(const std::string& job) { return { .m_job = job, .m_occurrence = 0, .m_step = 0, .m_index = 0 }; }

    void run(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end;) {
            m_now = m_now + Duration { 10 };
            SchedulerEffects effects;
            scheduler::step(m_scheduler, m_now, effects);
            m_starts.insert(m_starts.end(), effects.m_starts.begin(), effects.m_starts.end());
            for (const auto& sync : effects.m_syncs)
                m_syncs.push_back(sync.m_order);
            for (const auto& stop : effects.m_stops)
                m_stops.push_back(stop.m_order);
            const std::uint64_t batch = m_scheduler.m_nextBatch;
            takeRecords(m_scheduler);
            onRecorded(m_scheduler, batch, m_now);
        }
    }

    void answerSync(std::int64_t process, std::vector<RunningAttempt> running, std::vector<EndedAttempt> ended)
    {
        SchedulerEffects effects;
        m_syncs.clear();
        onSyncAnswer(m_scheduler, "w", OrderStatus::Done, { .m_clockMs = m_now.m_ms, .m_processStartMs = process, .m_running = std::move(running), .m_ended = std::move(ended) }, m_now, m_now, effects);
    }

    void failSync()
    {
        SchedulerEffects effects;
        m_syncs.clear();
        onSyncAnswer(m_scheduler, "w", OrderStatus::NoAnswer, {}, m_now, m_now, effects);
    }

    /** @param clockMs The worker's clock in the answer; by default that of all processes here, which is the scheduler's. */
    void answerStart(OrderStatus status = OrderStatus::Done, std::optional<std::int64_t> clockMs = {})
    {
        BOOST_REQUIRE(!m_starts.empty());
        const StartOrder order = m_starts.front().m_order;
        m_starts.clear();
        SchedulerEffects effects;
        onStartAnswer(m_scheduler, "w", order.m_task, order.m_attempt, { .m_status = status, .m_clockMs = clockMs.value_or(m_now.m_ms) }, m_now, effects);
    }

    void answerStop()
    {
        BOOST_REQUIRE(!m_stops.empty());
        const StopOrder order = m_stops.front();
        m_stops.clear();
        SchedulerEffects effects;
        onStopAnswer(m_scheduler, "w", order.m_task, order.m_attempt, OrderStatus::Done, m_now, effects);
    }

    void failStop()
    {
        BOOST_REQUIRE(!m_stops.empty());
        const StopOrder order = m_stops.front();
        m_stops.clear();
        SchedulerEffects effects;
        onStopAnswer(m_scheduler, "w", order.m_task, order.m_attempt, OrderStatus::NoAnswer, m_now, effects);
    }

    Task& taskAt(const std::string& job) { return m_scheduler.m_jobs.at(job)->m_runs.front()->m_tasks.front(); }

    /** Runs a task on the worker's first process until its end is ready to be acknowledged. */
    void completeFirstJob()
    {
        submit(firstJob);
        run({ 50 });
        answerStart();
        run({ 1'200 });
        answerSync(firstProcess, {}, { { .m_number = 1, .m_task = taskOf(firstJob), .m_attempt = 1, .m_end = AttemptEnd::Done, .m_checkpoint = {} } });
        run({ 50 });
    }
};

} // namespace

// Found by the soak (seed 402): a start was answered by a restarted worker before a sync was. The next sync acknowledged end 1 of
// the former process, which deleted end 1 of the new one; the task that had ended was missing and ran again.
BOOST_AUTO_TEST_CASE(an_acknowledgement_is_not_sent_to_a_worker_that_may_have_restarted)
{
    RestartFixture fixture;
    fixture.completeFirstJob();
    fixture.submit(secondJob);
    fixture.run({ 20 });
    BOOST_REQUIRE(!fixture.m_syncs.empty());
    fixture.failSync(); // The connection breaks as the worker's process ends.
    fixture.answerStart(); // By the new process, which runs and completes the task.
    fixture.run({ 500 });
    BOOST_REQUIRE(!fixture.m_syncs.empty());
    BOOST_TEST(fixture.m_syncs.front().m_ackedEndNumber == 0U);
    fixture.answerSync(secondProcess, {}, { { .m_number = 1, .m_task = fixture.taskOf(secondJob), .m_attempt = 1, .m_end = AttemptEnd::Done, .m_checkpoint = {} } });
    fixture.run({ 50 });
    BOOST_TEST((findStage(fixture.m_scheduler, secondJob) == JobStage::Complete));
    BOOST_TEST(fixture.m_starts.empty());
}

BOOST_AUTO_TEST_CASE(ends_are_acknowledged_again_once_the_process_is_confirmed)
{
    RestartFixture fixture;
    fixture.completeFirstJob();
    fixture.run({ 3'000 });
    BOOST_REQUIRE(!fixture.m_syncs.empty());
    fixture.failSync();
    fixture.run({ 500 });
    BOOST_REQUIRE(!fixture.m_syncs.empty());
    BOOST_TEST(fixture.m_syncs.front().m_ackedEndNumber == 0U);
    fixture.answerSync(firstProcess, {}, { { .m_number = 1, .m_task = fixture.taskOf(firstJob), .m_attempt = 1, .m_end = AttemptEnd::Done, .m_checkpoint = {} } });
    fixture.run({ 3'000 });
    BOOST_REQUIRE(!fixture.m_syncs.empty());
    BOOST_TEST(fixture.m_syncs.front().m_ackedEndNumber == 1U);
}

// Found by the simulation (CELL_SEED=136 CELL_EXTRA=6): a peer forwarded an old copy of a start after the worker had restarted. The new
// process knew nothing of the attempt and ran it, while the task ran elsewhere already.
BOOST_AUTO_TEST_CASE(a_start_that_may_still_arrive_is_stopped_at_a_restarted_worker_before_the_task_runs_again)
{
    RestartFixture fixture;
    fixture.submit(firstJob);
    fixture.run({ 50 });
    fixture.answerStart(OrderStatus::Unreported);
    fixture.run({ 50 });
    fixture.answerStart();
    fixture.run({ 50 });
    fixture.answerSync(secondProcess, {}, {});
    fixture.run({ 50 });
    BOOST_TEST(fixture.m_starts.empty()); // The copy that was not reported could start the attempt after this.
    fixture.answerStop();
    fixture.run({ 50 });
    fixture.answerSync(secondProcess, {}, {});
    fixture.run({ 50 });
    BOOST_REQUIRE(!fixture.m_starts.empty());
    BOOST_TEST(fixture.m_starts.front().m_order.m_attempt == 2U);
}

// TWICE (review/3): the worker has started again and its new process shortens the deadline of the former one's clock to the longest
// lease, from the arrival of the start. The task was started elsewhere when the lease on the former clock had run out, a second too early.
BOOST_AUTO_TEST_CASE(a_task_that_an_unreported_process_has_started_is_lost_after_the_longest_lease)
{
    RestartFixture fixture;
    fixture.run({ 3'000 });
    fixture.answerSync(firstProcess, {}, {});
    fixture.submit(firstJob);
    fixture.run({ 30 });
    constexpr std::int64_t clockOfNewProcess = 200;
    fixture.m_syncs.clear();
    fixture.answerStart(OrderStatus::Done, clockOfNewProcess);
    const TimePoint startedAt = fixture.m_now;
    fixture.run({ 20 });
    BOOST_REQUIRE(!fixture.m_syncs.empty()); // Its report would tell, so it is asked for at once,
    BOOST_TEST(!fixture.m_syncs.back().m_leaseUntilMs); // and must not extend the lease of a process whose clock is unknown.
    const Duration longestLease = fixture.m_scheduler.m_options.m_longestLease;
    while (fixture.m_now < startedAt + longestLease) {
        BOOST_TEST_INFO(fixture.m_now.m_ms);
        BOOST_REQUIRE(fixture.taskAt(firstJob).m_phase == RunPhase::Running);
        fixture.failSync();
        fixture.run({ 100 });
        for (const SyncOrder& sync : fixture.m_syncs)
            BOOST_TEST(!sync.m_leaseUntilMs);
    }
    fixture.failSync();
    fixture.run(longestLease * 3 / 100); // Its clock may be 2% slow.
    BOOST_TEST((fixture.taskAt(firstJob).m_phase == RunPhase::None));
}

// As above; the answer to the start was lost, so that only its time tells how long the task may run. Repeats would prolong the lease.
BOOST_AUTO_TEST_CASE(a_task_whose_start_may_have_reached_another_process_is_lost_after_the_longest_lease)
{
    RestartFixture fixture;
    fixture.run({ 3'000 });
    fixture.answerSync(firstProcess, {}, {});
    fixture.submit(firstJob);
    fixture.run({ 30 });
    fixture.answerStart(OrderStatus::NoAnswer);
    fixture.failSync();
    fixture.run({ 30 });
    fixture.failSync();
    const TimePoint silentAt = fixture.m_now;
    fixture.m_starts.clear();
    const Duration longestLease = fixture.m_scheduler.m_options.m_longestLease;
    while (fixture.m_now < silentAt + longestLease - Duration { 200 }) {
        BOOST_REQUIRE(fixture.taskAt(firstJob).m_phase == RunPhase::Starting);
        fixture.failSync();
        fixture.run({ 100 });
        BOOST_TEST(fixture.m_starts.empty());
    }
    fixture.failSync();
    fixture.run(longestLease * 10 / 100);
    BOOST_TEST((fixture.taskAt(firstJob).m_phase == RunPhase::None));
}

// The wait for the longest lease is only for starts that another process may have carried out.
BOOST_AUTO_TEST_CASE(a_task_that_the_reporting_process_has_started_is_lost_when_its_lease_has_run_out)
{
    RestartFixture fixture;
    fixture.run({ 3'000 });
    fixture.answerSync(firstProcess, {}, {});
    fixture.submit(firstJob);
    fixture.run({ 30 });
    fixture.answerStart();
    const TimePoint startedAt = fixture.m_now;
    const Duration lease = fixture.m_scheduler.m_options.m_lease;
    while (fixture.m_now < startedAt + lease * 106 / 100 && fixture.taskAt(firstJob).m_phase == RunPhase::Running) {
        fixture.failSync();
        fixture.run({ 100 });
    }
    BOOST_TEST((fixture.taskAt(firstJob).m_phase == RunPhase::None));
}

namespace {

/** A worker has run a task to its end. The first of two copies of the task's start was not answered, and may still be carried out. */
struct LateStartFixture : RestartFixture {
    LateStartFixture()
    {
        submit(firstJob);
        run({ 50 });
        answerStart(OrderStatus::NoAnswer);
        run({ 50 });
        answerStart();
        run({ 500 });
        answerSync(firstProcess, {}, { { .m_number = 1, .m_task = taskOf(firstJob), .m_attempt = 1, .m_end = AttemptEnd::Done, .m_checkpoint = {} } });
        run({ 50 });
        BOOST_REQUIRE((findStage(m_scheduler, firstJob) == JobStage::Complete));
    }
};

} // namespace

// TWICE (soak, seed 2036): a start was held in the network while a copy of it ran to its end. The worker's next process, which knew
// nothing of that, carried it out 0.3 s after its first report.
BOOST_FIXTURE_TEST_CASE(a_start_that_may_come_late_is_stopped_at_the_next_process, LateStartFixture)
{
    run({ 1'000 });
    BOOST_TEST(m_stops.empty()); // The process that has run the attempt refuses the copy.
    answerSync(secondProcess, {}, {});
    run({ 20 });
    BOOST_REQUIRE(!m_stops.empty());
    BOOST_TEST((m_stops.front().m_task == taskOf(firstJob)));
    BOOST_TEST(m_stops.front().m_attempt == 1U);
    failStop();
    run({ 300 });
    BOOST_REQUIRE(!m_stops.empty()); // Repeated until it is answered.
    answerStop();
    run({ 3'000 });
    BOOST_TEST(m_stops.empty());
    constexpr std::int64_t thirdProcess = 20'000;
    answerSync(thirdProcess, {}, {});
    run({ 20 });
    BOOST_TEST(m_stops.size() == 1U); // The third process knows nothing of the stop.
}

BOOST_FIXTURE_TEST_CASE(a_start_that_is_too_old_to_come_late_is_not_stopped, LateStartFixture)
{
    run({ 20'000 });
    answerSync(secondProcess, {}, {});
    run({ 20 });
    BOOST_TEST(m_stops.empty());
}

// The outcome of a call to the former process may be known only after the report of the new one.
BOOST_FIXTURE_TEST_CASE(a_start_that_is_given_up_after_the_restart_is_stopped_as_well, RestartFixture)
{
    submit(firstJob);
    run({ 50 });
    answerSync(firstProcess, { { .m_task = taskOf(firstJob), .m_attempt = 1, .m_checkpoint = {} } }, {});
    run({ 50 });
    answerSync(firstProcess, {}, { { .m_number = 1, .m_task = taskOf(firstJob), .m_attempt = 1, .m_end = AttemptEnd::Done, .m_checkpoint = {} } });
    run({ 50 });
    answerSync(secondProcess, {}, {});
    answerStart(OrderStatus::Unreported);
    run({ 20 });
    BOOST_REQUIRE(m_stops.size() == 1U);
    BOOST_TEST((m_stops.front().m_task == taskOf(firstJob)));
}

// Each start that is answered has been carried out or refused, so a restart costs no stops.
BOOST_FIXTURE_TEST_CASE(an_answered_start_is_not_stopped_at_the_next_process, RestartFixture)
{
    completeFirstJob();
    answerSync(secondProcess, {}, {});
    run({ 500 });
    BOOST_TEST(m_stops.empty());
}

// The attempt that a task has on a restarted worker is stopped by the rules for tasks, so no second stop is sent for its start.
BOOST_FIXTURE_TEST_CASE(a_start_of_the_current_attempt_is_stopped_only_once, RestartFixture)
{
    submit(firstJob);
    run({ 50 });
    answerStart(OrderStatus::NoAnswer);
    answerSync(secondProcess, {}, {});
    run({ 50 });
    BOOST_TEST(m_stops.size() == 1U);
}
