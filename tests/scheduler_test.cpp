/** @file scheduler_test.cpp Tests of the leader's scheduler: takeover by a new leader, unanswered calls, cancellation, gangs, urgency. */
#define BOOST_TEST_MODULE scheduler
#include <boost/test/unit_test.hpp>

#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "process/scheduler/urgency.h"
#include "process/scheduler/worker_forecast.h"

using namespace bulrushloft;
using namespace bulrushloft::scheduler;

namespace {

constexpr Duration earlierRenewals { 3'000 }; ///< How long after the takeover leaders of earlier terms may renew leases.
constexpr const char* jobId = "00000000000000aa";
constexpr const char* queueName = "q";
constexpr const char* poolName = "pool";

ClusterSettings makeCluster()
{
    return { .m_version = 1,
        .m_queues = { { .m_name = queueName, .m_host = "h", .m_pathPrefix = "/q/", .m_pool = poolName, .m_priority = 0, .m_failureLimit = 3, .m_slackFactor = 2, .m_latencyTarget = { 1'000 }, .m_timeout = { 3'000 }, .m_approval = {} } },
        .m_pools = { { .m_name = poolName } } };
}

StepPlan makeStep(std::uint32_t count, std::vector<std::uint32_t> after = {})
{
    return { .m_count = count, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 100, .m_gpus = 0 }, .m_estimatedRunTime = { 500 }, .m_predecessors = std::move(after) };
}

JobPlan makePlan(std::vector<StepPlan> steps, const std::string& id = jobId)
{
    return { .m_id = id, .m_queue = queueName, .m_policy = { .m_pool = poolName }, .m_payload = "payload", .m_steps = std::move(steps), .m_firstStart = {}, .m_period = {}, .m_occurrenceCount = 0, .m_submittedAt = { 1'000 } };
}

/** A scheduler on a simulated clock, with helpers that simulate the workers and the store. */
struct Fixture {
    Scheduler m_scheduler;
    TimePoint m_now { 1'000 };

    explicit Fixture(std::uint64_t token = 1)
    {
        m_scheduler.m_options.m_token = token;
        setCluster(m_scheduler, makeCluster());
    }

    /** Advances the clock, runs one step and checks the scheduler's consistency. */
    SchedulerEffects step(Duration elapsed = { 10 })
    {
        m_now = m_now + elapsed;
        SchedulerEffects effects;
        scheduler::step(m_scheduler, m_now, effects);
        BOOST_TEST(isConsistent(m_scheduler));
        return effects;
    }

    /** Takes the current batch of records and confirms it as durable. */
    std::vector<KeyedRecord> record()
    {
        const std::uint64_t batch = m_scheduler.m_nextBatch;
        auto records = takeRecords(m_scheduler);
        onRecorded(m_scheduler, batch, m_now);
        return records;
    }

    void announce(const std::string& id, std::int64_t cpuMilli = 2'000)
    {
        updateWorker(m_scheduler, { .m_id = id, .m_pool = poolName, .m_address = { "127.0.0.1", 9 }, .m_zone = "a", .m_machine = {}, .m_capacity = { .m_cpuMilli = cpuMilli, .m_memoryMb = 10'000, .m_gpus = 0 }, .m_labels = { "a", "r1-1" } }, m_now);
    }

    SchedulerEffects answerSync(const std::string& id, const SyncReport& report, OrderStatus status = OrderStatus::Done)
    {
        SchedulerEffects effects;
        onSyncAnswer(m_scheduler, id, status, report, m_now, m_now, effects);
        return effects;
    }

    /** Announces a worker and answers its first sync. */
    void adoptWorker(const std::string& id, SyncReport report = {})
    {
        announce(id);
        step();
        report.m_clockMs = std::max<std::int64_t>(report.m_clockMs, 5'000);
        answerSync(id, report);
    }

    void answerStart(const AddressedOrder<StartOrder>& start, OrderStatus status)
    {
        SchedulerEffects effects;
        const ClockReading clock = m_scheduler.m_workers[static_cast<std::size_t>(m_scheduler.m_workerById.at(start.m_to.m_worker))].m_clock;
        const std::int64_t clockMs = clock.m_ms + (m_now - clock.m_readAt).m_ms;
        onStartAnswer(m_scheduler, start.m_to.m_worker, start.m_order.m_task, start.m_order.m_attempt, { .m_status = status, .m_clockMs = clockMs }, m_now, effects);
    }

    Task& task(std::uint32_t stepIndex, std::uint32_t index, const std::string& id = jobId)
    {
        return detail::findTask(m_scheduler, { .m_job = id, .m_occurrence = 0, .m_step = stepIndex, .m_index = index }).task();
    }
};

std::string progressOf(const std::vector<KeyedRecord>& records, const std::string& id)
{
    for (const KeyedRecord& record : records) {
        if (record.m_key == id)
            return record.m_value;
    }
    return {};
}

RunningAttempt makeRunning(const AddressedOrder<StartOrder>& start)
{
    return { .m_task = start.m_order.m_task, .m_attempt = start.m_order.m_attempt, .m_checkpoint = {}, .m_percent = 10, .m_loadMetric = 0 };
}

EndedAttempt makeEnded(const AddressedOrder<StartOrder>& start, std::uint64_t number, AttemptEnd end)
{
    return { .m_number = number, .m_task = start.m_order.m_task, .m_attempt = start.m_order.m_attempt, .m_end = end, .m_checkpoint = {} };
}

/** Loads a job and its recorded progress into the scheduler of a later term. */
void restore(Fixture& later, JobPlan plan, const std::string& progress)
{
    acceptJob(later.m_scheduler, std::move(plan), later.m_now);
    BOOST_REQUIRE(restoreProgress(later.m_scheduler, jobId, progress, later.m_now));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_start_waits_for_its_record)
{
    Fixture fixture;
    fixture.adoptWorker("w1");
    acceptJob(fixture.m_scheduler, makePlan({ makeStep(1) }), fixture.m_now);
    BOOST_TEST(fixture.step().m_starts.empty());
    BOOST_TEST(hasRecords(fixture.m_scheduler));
    BOOST_TEST(fixture.step().m_starts.empty());
    fixture.record();
    BOOST_TEST(fixture.step().m_starts.size() == 1U);
}

// After a takeover all running attempts were expected to end at once, so that steps relied on room, and workers were reserved, that did not become free.
BOOST_AUTO_TEST_CASE(the_end_of_an_attempt_of_an_earlier_term_is_forecast_from_its_estimate_and_progress)
{
    constexpr std::int64_t estimateMs = 500; // See makeStep().
    Fixture former(1);
    former.adoptWorker("w1");
    acceptJob(former.m_scheduler, makePlan({ makeStep(1) }), former.m_now);
    former.step();
    const std::string progress = progressOf(former.record(), jobId);
    const SchedulerEffects effects = former.step();
    BOOST_REQUIRE(effects.m_starts.size() == 1U);
    Fixture later(2);
    restore(later, makePlan({ makeStep(1) }), progress);
    finishRestoring(later.m_scheduler, later.m_now + earlierRenewals, later.m_now);
    const auto forecast = [&] { return detail::expectedEndsOf(later.m_scheduler.m_workers.front(), later.m_now).front().m_at - later.m_now; };
    BOOST_TEST(std::abs(forecast().m_ms - estimateMs) <= 1);
    RunningAttempt running = makeRunning(effects.m_starts.front());
    running.m_percent = 60;
    later.adoptWorker("w1", { .m_clockMs = 9'000, .m_running = { running } });
    BOOST_TEST(std::abs(forecast().m_ms - estimateMs * 40 / 100) <= 1);
}

BOOST_AUTO_TEST_CASE(ends_are_acknowledged_and_completion_reported_only_when_recorded)
{
    Fixture fixture;
    fixture.adoptWorker("w1");
    acceptJob(fixture.m_scheduler, makePlan({ makeStep(1) }), fixture.m_now);
    fixture.step();
    fixture.record();
    const auto start = fixture.step().m_starts.at(0);
    fixture.answerStart(start, OrderStatus::Done);
    fixture.answerSync("w1", { .m_clockMs = 6'000, .m_processStartMs = 0, .m_running = {}, .m_ended = { makeEnded(start, 1, AttemptEnd::Done) } });
    BOOST_TEST((findStage(fixture.m_scheduler, jobId) == JobStage::Active));
    BOOST_TEST(fixture.m_scheduler.m_workers[0].m_ackedEndNumber == 0U);
    fixture.record();
    BOOST_TEST((findStage(fixture.m_scheduler, jobId) == JobStage::Complete));
    BOOST_TEST(fixture.m_scheduler.m_workers[0].m_ackedEndNumber == 1U);
}

BOOST_AUTO_TEST_CASE(an_unanswered_start_is_repeated_as_the_same_attempt)
{
    Fixture fixture;
    fixture.adoptWorker("w1");
    fixture.adoptWorker("w2");
    acceptJob(fixture.m_scheduler, makePlan({ makeStep(1) }), fixture.m_now);
    fixture.step();
    fixture.record();
    const auto first = fixture.step().m_starts.at(0);
    fixture.answerStart(first, OrderStatus::NoAnswer);
    const auto repeated = fixture.step({ 100 }).m_starts.at(0);
    BOOST_TEST(repeated.m_to.m_worker == first.m_to.m_worker);
    BOOST_TEST(repeated.m_order.m_attempt == first.m_order.m_attempt);
}

BOOST_AUTO_TEST_CASE(a_refused_start_after_an_unanswered_one_is_followed_by_a_stop)
{
    Fixture fixture;
    fixture.adoptWorker("w1");
    fixture.adoptWorker("w2");
    acceptJob(fixture.m_scheduler, makePlan({ makeStep(1) }), fixture.m_now);
    fixture.step();
    fixture.record();
    const auto first = fixture.step().m_starts.at(0);
    fixture.answerStart(first, OrderStatus::NoAnswer);
    fixture.answerStart(fixture.step({ 100 }).m_starts.at(0), OrderStatus::Unhealthy);
    const auto effects = fixture.step();
    BOOST_TEST(effects.m_stops.size() == 1U);
    BOOST_TEST((fixture.task(0, 0).m_phase == RunPhase::Stopping));
}

BOOST_AUTO_TEST_CASE(a_later_term_releases_steps_whose_predecessors_are_done)
{
    Fixture first;
    first.adoptWorker("w1");
    acceptJob(first.m_scheduler, makePlan({ makeStep(1), makeStep(1, { 0 }) }), first.m_now);
    first.step();
    first.record();
    const auto start = first.step().m_starts.at(0);
    first.answerStart(start, OrderStatus::Done);
    first.answerSync("w1", { .m_clockMs = 6'000, .m_processStartMs = 0, .m_running = {}, .m_ended = { makeEnded(start, 1, AttemptEnd::Done) } });
    const std::string progress = progressOf(first.record(), jobId);

    Fixture later(2);
    restore(later, makePlan({ makeStep(1), makeStep(1, { 0 }) }), progress);
    finishRestoring(later.m_scheduler, later.m_now + earlierRenewals, later.m_now);
    later.adoptWorker("w1");
    later.step();
    later.record();
    const auto starts = later.step().m_starts;
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].m_order.m_task.m_step == 1U);
}

BOOST_AUTO_TEST_CASE(a_cancellation_read_before_the_progress_record_takes_precedence)
{
    Fixture first;
    first.adoptWorker("w1");
    acceptJob(first.m_scheduler, makePlan({ makeStep(1) }), first.m_now);
    first.step();
    const std::string progress = progressOf(first.record(), jobId);
    const auto start = first.step().m_starts.at(0);

    Fixture later(2);
    acceptJob(later.m_scheduler, makePlan({ makeStep(1) }), later.m_now);
    cancelJob(later.m_scheduler, jobId, later.m_now);
    BOOST_REQUIRE(restoreProgress(later.m_scheduler, jobId, progress, later.m_now));
    finishRestoring(later.m_scheduler, later.m_now + earlierRenewals, later.m_now);
    later.adoptWorker("w1", { .m_clockMs = 7'000, .m_processStartMs = 0, .m_running = { makeRunning(start) }, .m_ended = {} });
    later.record();
    BOOST_TEST((findStage(later.m_scheduler, jobId) == JobStage::Cancelled));
    BOOST_TEST((later.task(0, 0).m_phase == RunPhase::Stopping));
    BOOST_TEST(countPending(later.m_scheduler, queueName) == 0U);
}

BOOST_AUTO_TEST_CASE(a_restored_task_on_an_unreachable_worker_waits_until_its_lease_must_have_run_out)
{
    Fixture first;
    first.adoptWorker("w1");
    acceptJob(first.m_scheduler, makePlan({ makeStep(1) }), first.m_now);
    first.step();
    const std::string progress = progressOf(first.record(), jobId);

    Fixture later(2);
    restore(later, makePlan({ makeStep(1) }), progress);
    finishRestoring(later.m_scheduler, later.m_now + earlierRenewals, later.m_now);
    const TimePoint takeover = later.m_now;
    later.adoptWorker("w2");
    const Duration bound = later.m_scheduler.m_options.m_longestLease + earlierRenewals;
    while (later.m_now < takeover + bound) {
        later.step({ 100 });
        BOOST_TEST((later.task(0, 0).m_phase == RunPhase::Running));
        later.answerSync("w2", { .m_clockMs = later.m_now.m_ms });
    }
    later.step({ 500 });
    later.answerSync("w2", { .m_clockMs = later.m_now.m_ms });
    later.step({ 500 });
    later.record();
    const auto starts = later.step().m_starts;
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].m_order.m_attempt == 2U);
    BOOST_TEST(starts[0].m_to.m_worker == "w2");
}

BOOST_AUTO_TEST_CASE(a_restored_task_that_an_adopted_worker_does_not_report_starts_again_at_once)
{
    Fixture first;
    first.adoptWorker("w1");
    acceptJob(first.m_scheduler, makePlan({ makeStep(1) }), first.m_now);
    first.step();
    const std::string progress = progressOf(first.record(), jobId);

    Fixture later(2);
    restore(later, makePlan({ makeStep(1) }), progress);
    finishRestoring(later.m_scheduler, later.m_now + earlierRenewals, later.m_now);
    later.adoptWorker("w1");
    later.step();
    later.record();
    const auto starts = later.step().m_starts;
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].m_order.m_attempt == 2U);
}

BOOST_AUTO_TEST_CASE(unexpected_attempts_are_stopped_and_block_placement)
{
    Fixture fixture;
    fixture.announce("w1");
    fixture.step();
    const RunningAttempt unexpectedAttempt { .m_task = { .m_job = "00000000000000bb" }, .m_attempt = 1 };
    const auto effects = fixture.answerSync("w1", { .m_clockMs = 5'000, .m_processStartMs = 0, .m_running = { unexpectedAttempt }, .m_ended = {} });
    BOOST_TEST(effects.m_stops.size() == 1U);
    acceptJob(fixture.m_scheduler, makePlan({ makeStep(1) }), fixture.m_now);
    fixture.step();
    BOOST_TEST((fixture.task(0, 0).m_phase == RunPhase::None));
}

BOOST_AUTO_TEST_CASE(a_job_fails_when_a_task_reaches_the_limit_of_failures)
{
    Fixture fixture;
    fixture.adoptWorker("w1");
    acceptJob(fixture.m_scheduler, makePlan({ makeStep(1) }), fixture.m_now);
    for (std::uint64_t failure = 1; failure <= 3; ++failure) {
        fixture.step({ 4'000 });
        fixture.answerSync("w1", { .m_clockMs = fixture.m_now.m_ms + 5'000 });
        fixture.step();
        fixture.record();
        const auto starts = fixture.step().m_starts;
        BOOST_REQUIRE(starts.size() == 1U);
        fixture.answerStart(starts[0], OrderStatus::Done);
        fixture.answerSync("w1", { .m_clockMs = fixture.m_now.m_ms + 5'000, .m_processStartMs = 0, .m_running = {}, .m_ended = { makeEnded(starts[0], failure, AttemptEnd::Failed) } });
    }
    fixture.record();
    BOOST_TEST((findStage(fixture.m_scheduler, jobId) == JobStage::Failed));
}

BOOST_AUTO_TEST_CASE(grants_never_exceed_capacity)
{
    Fixture fixture;
    fixture.adoptWorker("w1");
    acceptJob(fixture.m_scheduler, makePlan({ makeStep(5) }), fixture.m_now);
    fixture.step();
    fixture.record();
    BOOST_TEST(fixture.step().m_starts.size() == 2U);
    BOOST_TEST(fixture.m_scheduler.m_workers[0].m_granted.m_cpuMilli == 2'000);
}

BOOST_AUTO_TEST_CASE(work_that_can_meet_its_objective_is_more_urgent_than_late_work)
{
    const TimePoint now { 10'000 };
    const auto urgencyAt = [&](std::int64_t dueAt, double work) {
        return urgencyOf({ .m_isLongRunning = false, .m_dueAt = { dueAt }, .m_objective = { 2'000 }, .m_remaining = { 1'000 }, .m_remainingWork = work }, now);
    };
    const Urgency fresh = urgencyAt(9'900, 10);
    const Urgency pressing = urgencyAt(9'200, 10);
    const Urgency late = urgencyAt(7'500, 10);
    const Urgency nearlyDone = urgencyAt(7'600, 1);
    const Urgency overdue = urgencyAt(1'000, 10);
    BOOST_TEST((pressing < fresh));
    BOOST_TEST((fresh < late));
    BOOST_TEST((nearlyDone < late));
    BOOST_TEST((late < overdue));
    BOOST_TEST((urgencyOf({ .m_isLongRunning = true, .m_dueAt = now, .m_objective = {}, .m_remaining = {}, .m_remainingWork = 0 }, now) < pressing));
}

BOOST_AUTO_TEST_CASE(a_step_that_can_never_be_placed_does_not_keep_workers_from_others_for_long)
{
    Fixture fixture;
    for (const char* id : { "w1", "w2", "w3" })
        fixture.adoptWorker(id);
    StepPlan gang = makeStep(5);
    gang.m_isGang = true;
    gang.m_isLongRunning = true;
    gang.m_size.m_cpuMilli = 2'000;
    acceptJob(fixture.m_scheduler, makePlan({ gang }), fixture.m_now);
    StepPlan small = makeStep(6);
    fixture.step();
    const std::string other = "00000000000000bb";
    acceptJob(fixture.m_scheduler, makePlan({ small }, other), fixture.m_now);
    for (int i = 0; i < 200; ++i) {
        fixture.step({ 100 });
        for (const char* id : { "w1", "w2", "w3" })
            fixture.answerSync(id, { .m_clockMs = fixture.m_now.m_ms });
    }
    for (std::uint32_t i = 0; i < 6; ++i)
        BOOST_TEST((fixture.task(0, i, other).m_phase == RunPhase::Recording));
}

BOOST_AUTO_TEST_CASE(tasks_of_a_silent_worker_start_elsewhere_once_its_lease_has_run_out)
{
    Fixture fixture;
    fixture.adoptWorker("w1");
    acceptJob(fixture.m_scheduler, makePlan({ makeStep(1) }), fixture.m_now);
    fixture.step();
    fixture.record();
    const auto start = fixture.step().m_starts.at(0);
    fixture.answerStart(start, OrderStatus::Done);
    fixture.adoptWorker("w2");
    const TimePoint lastContactAt = fixture.m_now;
    fixture.answerSync("w1", {}, OrderStatus::NoAnswer);
    bool isRestarted = false;
    for (int i = 0; i < 120 && !isRestarted; ++i) {
        const auto effects = fixture.step({ 100 });
        for (const auto& sync : effects.m_syncs) {
            const bool isSilent = sync.m_to.m_worker == "w1";
            fixture.answerSync(sync.m_to.m_worker, { .m_clockMs = fixture.m_now.m_ms }, isSilent ? OrderStatus::NoAnswer : OrderStatus::Done);
        }
        fixture.record();
        isRestarted = !effects.m_starts.empty();
        if (isRestarted)
            BOOST_TEST(effects.m_starts[0].m_to.m_worker == "w2");
    }
    BOOST_TEST(isRestarted);
    const Duration lease = fixture.m_scheduler.m_options.m_longestLease;
    BOOST_TEST((fixture.m_now - lastContactAt >= lease));
    BOOST_TEST((fixture.m_now - lastContactAt).m_ms <= lease.m_ms * 2);
}

BOOST_AUTO_TEST_CASE(a_task_without_progress_is_stopped_and_its_worker_quarantined)
{
    Fixture fixture;
    fixture.adoptWorker("w1");
    acceptJob(fixture.m_scheduler, makePlan({ makeStep(1) }), fixture.m_now);
    fixture.step();
    fixture.record();
    const auto start = fixture.step().m_starts.at(0);
    fixture.answerStart(start, OrderStatus::Done);
    for (int i = 0; i < 25; ++i) {
        fixture.answerSync("w1", { .m_clockMs = fixture.m_now.m_ms + 5'000, .m_processStartMs = 0, .m_running = { makeRunning(start) }, .m_ended = {} });
        fixture.step({ 100 });
    }
    BOOST_TEST((fixture.task(0, 0).m_phase == RunPhase::Stopping));
    BOOST_TEST(!detail::acceptsTasks(fixture.m_scheduler.m_workers[0], fixture.m_now));
}

BOOST_AUTO_TEST_CASE(a_gang_whose_members_do_not_all_start_is_stopped_before_its_workers_end_it)
{
    Fixture fixture;
    fixture.adoptWorker("w1");
    fixture.adoptWorker("w2");
    StepPlan gang = makeStep(2);
    gang.m_isGang = true;
    gang.m_size.m_cpuMilli = 2'000;
    acceptJob(fixture.m_scheduler, makePlan({ gang }), fixture.m_now);
    fixture.step();
    fixture.record();
    const auto starts = fixture.step().m_starts;
    BOOST_REQUIRE(starts.size() == 2U);
    BOOST_TEST(starts[0].m_order.m_attempt == starts[1].m_order.m_attempt);
    fixture.answerStart(starts[0], OrderStatus::Done);
    fixture.answerStart(starts[1], OrderStatus::NoAnswer);
    const Duration timeout = fixture.m_scheduler.m_options.m_gangTimeout;
    const TimePoint begin = fixture.m_now;
    while (fixture.task(0, 0).m_phase == RunPhase::Running && fixture.m_now - begin < timeout * 2) {
        for (const auto& start : fixture.step({ 100 }).m_starts)
            fixture.answerStart(start, OrderStatus::NoAnswer);
    }
    BOOST_TEST((fixture.task(0, 0).m_phase == RunPhase::Stopping));
    BOOST_TEST((fixture.m_now - begin < timeout));
}

BOOST_AUTO_TEST_CASE(a_task_that_a_returning_worker_has_completed_does_not_run_again)
{
    Fixture fixture;
    fixture.adoptWorker("w1");
    acceptJob(fixture.m_scheduler, makePlan({ makeStep(1) }), fixture.m_now);
    fixture.step();
    fixture.record();
    const auto start = fixture.step().m_starts.at(0);
    fixture.answerStart(start, OrderStatus::Done);
    detail::markTasksLost(fixture.m_scheduler, 0, "its lease has run out", fixture.m_now);
    fixture.answerSync("w1", { .m_clockMs = 90'000, .m_processStartMs = 0, .m_running = {}, .m_ended = { makeEnded(start, 1, AttemptEnd::Done) } });
    fixture.record();
    BOOST_TEST((findStage(fixture.m_scheduler, jobId) == JobStage::Complete));
}

// A leader placed the next attempt of a task 0.6 s after a worker had listed the one that it had given up, and both ran until the stop took effect.
BOOST_AUTO_TEST_CASE(a_task_whose_lost_attempt_is_listed_again_is_not_placed_before_that_has_ended)
{
    Fixture fixture;
    fixture.adoptWorker("w1");
    acceptJob(fixture.m_scheduler, makePlan({ makeStep(1) }), fixture.m_now);
    fixture.step();
    fixture.record();
    const auto start = fixture.step().m_starts.at(0);
    fixture.answerStart(start, OrderStatus::Done);
    detail::markTasksLost(fixture.m_scheduler, 0, "its lease has run out", fixture.m_now);
    SyncReport listing { .m_clockMs = 90'000, .m_processStartMs = 0, .m_running = { { .m_task = start.m_order.m_task, .m_attempt = 1, .m_checkpoint = {} } }, .m_ended = {} };
    BOOST_TEST(fixture.answerSync("w1", listing).m_stops.size() == 1U);
    fixture.adoptWorker("w2");
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(fixture.step({ 50 }).m_starts.empty());
        fixture.record();
        listing.m_clockMs += 50;
        fixture.answerSync("w1", listing);
    }
    listing.m_running.clear();
    listing.m_ended = { makeEnded(start, 1, AttemptEnd::Stopped) };
    fixture.answerSync("w1", listing);
    fixture.step({ 50 });
    fixture.record();
    const auto starts = fixture.step({ 50 }).m_starts;
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].m_order.m_attempt == 2U);
}

/** Loses the attempts of a step on w1, which lists that of the first task again, and adopts w2. @return The starts of the next passes. */
std::vector<AddressedOrder<StartOrder>> startBesideStray(Fixture& fixture, const StepPlan& step)
{
    fixture.adoptWorker("w1");
    acceptJob(fixture.m_scheduler, makePlan({ step }), fixture.m_now);
    fixture.step();
    fixture.record();
    for (const auto& start : fixture.step().m_starts)
        fixture.answerStart(start, OrderStatus::Done);
    detail::markTasksLost(fixture.m_scheduler, 0, "its lease has run out", fixture.m_now);
    const TaskName first { .m_job = jobId, .m_occurrence = 0, .m_step = 0, .m_index = 0 };
    SyncReport listing { .m_clockMs = 90'000, .m_processStartMs = 0, .m_running = { { .m_task = first, .m_attempt = 1, .m_checkpoint = {} } }, .m_ended = {} };
    fixture.answerSync("w1", listing);
    fixture.adoptWorker("w2");
    std::vector<AddressedOrder<StartOrder>> starts;
    for (int i = 0; i < 10; ++i) {
        for (const auto& start : fixture.step({ 50 }).m_starts) {
            fixture.answerStart(start, OrderStatus::Done);
            starts.push_back(start);
        }
        fixture.record();
        listing.m_clockMs += 50;
        fixture.answerSync("w1", listing);
    }
    return starts;
}

// All tasks of a step waited for one of them whose lost attempt was listed again.
BOOST_AUTO_TEST_CASE(a_listed_lost_attempt_holds_its_own_task_only)
{
    Fixture fixture;
    const auto starts = startBesideStray(fixture, makeStep(2));
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts.front().m_order.m_task.m_index == 1U);
    BOOST_TEST(starts.front().m_order.m_attempt == 2U);
    BOOST_TEST(starts.front().m_to.m_worker == "w2");
}

// The members of a gang start together, so all wait for the one that is held.
BOOST_AUTO_TEST_CASE(a_listed_lost_attempt_holds_its_whole_gang)
{
    Fixture fixture;
    StepPlan step = makeStep(2);
    step.m_isGang = true;
    BOOST_TEST(startBesideStray(fixture, step).empty());
}

// A worker that lists a lost attempt and then falls silent holds its task no longer than its lease lasts.
BOOST_AUTO_TEST_CASE(a_task_whose_lost_attempt_was_listed_is_placed_when_the_lease_has_run_out)
{
    Fixture fixture;
    fixture.adoptWorker("w1");
    acceptJob(fixture.m_scheduler, makePlan({ makeStep(1) }), fixture.m_now);
    fixture.step();
    fixture.record();
    const auto start = fixture.step().m_starts.at(0);
    fixture.answerStart(start, OrderStatus::Done);
    detail::markTasksLost(fixture.m_scheduler, 0, "its lease has run out", fixture.m_now);
    fixture.answerSync("w1", { .m_clockMs = 90'000, .m_processStartMs = 0, .m_running = { { .m_task = start.m_order.m_task, .m_attempt = 1, .m_checkpoint = {} } }, .m_ended = {} });
    fixture.adoptWorker("w2");
    const TimePoint latest = fixture.m_now + fixture.m_scheduler.m_options.m_longestLease * 2;
    std::size_t starts = 0;
    while (starts == 0 && fixture.m_now < latest) {
        starts = fixture.step({ 100 }).m_starts.size();
        fixture.record();
        fixture.answerSync("w1", {}, OrderStatus::NoAnswer);
        fixture.answerSync("w2", { .m_clockMs = fixture.m_now.m_ms });
    }
    BOOST_TEST(starts == 1U);
}

// A successor did not know which worker had run a lost task, ignored that it had ended as done there, and started it again.
BOOST_AUTO_TEST_CASE(a_task_that_was_lost_in_an_earlier_term_and_has_completed_does_not_run_again)
{
    Fixture former;
    former.adoptWorker("w1");
    acceptJob(former.m_scheduler, makePlan({ makeStep(1) }), former.m_now);
    former.step();
    former.record();
    const auto start = former.step().m_starts.at(0);
    former.answerStart(start, OrderStatus::Done);
    detail::markTasksLost(former.m_scheduler, 0, "its lease has run out", former.m_now);
    const std::string progress = progressOf(former.record(), jobId);
    Fixture fixture(2);
    acceptJob(fixture.m_scheduler, makePlan({ makeStep(1) }), fixture.m_now);
    BOOST_REQUIRE(restoreProgress(fixture.m_scheduler, jobId, progress, fixture.m_now).has_value());
    finishRestoring(fixture.m_scheduler, fixture.m_now + earlierRenewals, fixture.m_now);
    fixture.adoptWorker("w1", { .m_clockMs = 90'000, .m_processStartMs = 0, .m_running = {}, .m_ended = { makeEnded(start, 1, AttemptEnd::Done) } });
    fixture.record();
    BOOST_TEST((findStage(fixture.m_scheduler, jobId) == JobStage::Complete));
}

// Load: orders get lost on links of different latency. A timeout that suits a short link would repeat every order on a long one.
BOOST_AUTO_TEST_CASE(timeouts_under_loss_are_a_multiple_of_the_mean_answer_time)
{
    constexpr Duration minTimeout { 70 };
    constexpr Duration maxTimeout { 450 };
    Scheduler scheduler;
    for (int i = 0; i < 100; ++i)
        detail::updateMeanAnswerTime(scheduler, { 2 });
    BOOST_TEST((detail::lossyTimeout(scheduler, minTimeout, maxTimeout) == minTimeout));
    for (int i = 0; i < 100; ++i)
        detail::updateMeanAnswerTime(scheduler, { 60 });
    const Duration onLongLinks = detail::lossyTimeout(scheduler, minTimeout, maxTimeout);
    BOOST_TEST((onLongLinks > Duration { 200 } && onLongLinks < maxTimeout));
}
