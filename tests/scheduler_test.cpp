/** @file scheduler_test.cpp The leader's scheduler: takeover, orders without an answer, cancellations, urgency. */
#define BOOST_TEST_MODULE scheduler
#include <boost/test/unit_test.hpp>

#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "process/scheduler/urgency.h"

using namespace bulrushloft;
using namespace bulrushloft::scheduler;

namespace {

constexpr const char* jobId = "00000000000000aa";
constexpr const char* queueName = "q";
constexpr const char* poolName = "pool";

ClusterSettings makeCluster()
{
    return { .m_version = 1,
        .m_queues = { { .m_name = queueName, .m_host = "h", .m_pathPrefix = "/q/", .m_pool = poolName, .m_priority = 0, .m_attemptLimit = 3, .m_slackFactor = 2, .m_latencyTarget = { 1'000 }, .m_timeout = { 3'000 }, .m_approval = {} } },
        .m_pools = { { .m_name = poolName } } };
}

StepPlan makeStep(std::uint32_t count, std::vector<std::uint32_t> after = {})
{
    return { .m_count = count, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 100, .m_gpus = 0 }, .m_estimate = { 500 }, .m_after = std::move(after) };
}

JobPlan makePlan(std::vector<StepPlan> steps, const std::string& id = jobId)
{
    return { .m_id = id, .m_queue = queueName, .m_pool = poolName, .m_payload = "payload", .m_steps = std::move(steps), .m_firstDue = {}, .m_period = {}, .m_repeats = 0, .m_submittedAt = { 1'000 } };
}

/** A scheduler with workers that are adopted, on a clock of the test's own. */
struct Bench {
    Scheduler m_scheduler;
    TimePoint m_now { 1'000 };

    explicit Bench(std::uint64_t token = 1)
    {
        m_scheduler.m_options.m_token = token;
        setCluster(m_scheduler, makeCluster());
    }

    SchedulerEffects step(Duration later = { 10 })
    {
        m_now = m_now + later;
        SchedulerEffects effects;
        scheduler::step(m_scheduler, m_now, effects);
        BOOST_TEST(isConsistent(m_scheduler));
        return effects;
    }

    /** Writes what is to be recorded and confirms it. */
    std::vector<KeyedRecord> record()
    {
        const std::uint64_t batch = m_scheduler.m_nextBatch;
        auto records = takeRecords(m_scheduler);
        onRecorded(m_scheduler, batch, m_now);
        return records;
    }

    void list(const std::string& id, std::int64_t cpuMilli = 2'000)
    {
        updateWorker(m_scheduler, { .m_id = id, .m_pool = poolName, .m_address = { "127.0.0.1", 9 }, .m_zone = "a", .m_machine = {}, .m_capacity = { .m_cpuMilli = cpuMilli, .m_memoryMb = 10'000, .m_gpus = 0 }, .m_labels = { "a", "r1-1" } }, m_now);
    }

    SchedulerEffects answerSync(const std::string& id, const SyncReport& report, OrderStatus status = OrderStatus::Done)
    {
        SchedulerEffects effects;
        onSyncAnswer(m_scheduler, id, status, report, m_now, m_now, effects);
        return effects;
    }

    void adopt(const std::string& id, SyncReport report = {})
    {
        list(id);
        step();
        report.m_clockMs = std::max<std::int64_t>(report.m_clockMs, 5'000);
        answerSync(id, report);
    }

    void answerStart(const AddressedOrder<StartOrder>& start, OrderStatus status)
    {
        SchedulerEffects effects;
        onStartAnswer(m_scheduler, start.m_to.m_worker, start.m_order.m_task, start.m_order.m_attempt, status, m_now, effects);
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

RunningAttempt runningOf(const AddressedOrder<StartOrder>& start)
{
    return { .m_task = start.m_order.m_task, .m_attempt = start.m_order.m_attempt, .m_checkpoint = {}, .m_percent = 10, .m_loadMetric = 0 };
}

EndedAttempt endedOf(const AddressedOrder<StartOrder>& start, std::uint64_t number, AttemptEnd end)
{
    return { .m_number = number, .m_task = start.m_order.m_task, .m_attempt = start.m_order.m_attempt, .m_end = end, .m_checkpoint = {} };
}

/** Reads a job and its progress into the scheduler of a later term. */
void restore(Bench& later, JobPlan plan, const std::string& progress)
{
    acceptJob(later.m_scheduler, std::move(plan), later.m_now);
    BOOST_REQUIRE(restoreProgress(later.m_scheduler, jobId, progress, later.m_now));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_start_waits_for_its_record)
{
    Bench bench;
    bench.adopt("w1");
    acceptJob(bench.m_scheduler, makePlan({ makeStep(1) }), bench.m_now);
    BOOST_TEST(bench.step().m_starts.empty());
    BOOST_TEST(hasRecords(bench.m_scheduler));
    BOOST_TEST(bench.step().m_starts.empty());
    bench.record();
    BOOST_TEST(bench.step().m_starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ends_are_acknowledged_and_completion_shown_only_when_recorded)
{
    Bench bench;
    bench.adopt("w1");
    acceptJob(bench.m_scheduler, makePlan({ makeStep(1) }), bench.m_now);
    bench.step();
    bench.record();
    const auto start = bench.step().m_starts.at(0);
    bench.answerStart(start, OrderStatus::Done);
    bench.answerSync("w1", { .m_clockMs = 6'000, .m_processStartMs = 0, .m_running = {}, .m_ended = { endedOf(start, 1, AttemptEnd::Done) } });
    BOOST_TEST((findStage(bench.m_scheduler, jobId) == JobStage::Active));
    BOOST_TEST(bench.m_scheduler.m_workers[0].m_ackedEndNumber == 0U);
    bench.record();
    BOOST_TEST((findStage(bench.m_scheduler, jobId) == JobStage::Complete));
    BOOST_TEST(bench.m_scheduler.m_workers[0].m_ackedEndNumber == 1U);
}

BOOST_AUTO_TEST_CASE(an_unanswered_start_is_repeated_as_the_same_attempt)
{
    Bench bench;
    bench.adopt("w1");
    bench.adopt("w2");
    acceptJob(bench.m_scheduler, makePlan({ makeStep(1) }), bench.m_now);
    bench.step();
    bench.record();
    const auto first = bench.step().m_starts.at(0);
    bench.answerStart(first, OrderStatus::NoAnswer);
    const auto again = bench.step({ 100 }).m_starts.at(0);
    BOOST_TEST(again.m_to.m_worker == first.m_to.m_worker);
    BOOST_TEST(again.m_order.m_attempt == first.m_order.m_attempt);
}

BOOST_AUTO_TEST_CASE(a_refusal_after_an_unanswered_start_is_settled_by_a_stop)
{
    Bench bench;
    bench.adopt("w1");
    bench.adopt("w2");
    acceptJob(bench.m_scheduler, makePlan({ makeStep(1) }), bench.m_now);
    bench.step();
    bench.record();
    const auto first = bench.step().m_starts.at(0);
    bench.answerStart(first, OrderStatus::NoAnswer);
    bench.answerStart(bench.step({ 100 }).m_starts.at(0), OrderStatus::Unhealthy);
    const auto effects = bench.step();
    BOOST_TEST(effects.m_stops.size() == 1U);
    BOOST_TEST((bench.task(0, 0).m_phase == RunPhase::Stopping));
}

BOOST_AUTO_TEST_CASE(a_later_term_releases_steps_whose_predecessors_are_done)
{
    Bench first;
    first.adopt("w1");
    acceptJob(first.m_scheduler, makePlan({ makeStep(1), makeStep(1, { 0 }) }), first.m_now);
    first.step();
    first.record();
    const auto start = first.step().m_starts.at(0);
    first.answerStart(start, OrderStatus::Done);
    first.answerSync("w1", { .m_clockMs = 6'000, .m_processStartMs = 0, .m_running = {}, .m_ended = { endedOf(start, 1, AttemptEnd::Done) } });
    const std::string progress = progressOf(first.record(), jobId);

    Bench later(2);
    restore(later, makePlan({ makeStep(1), makeStep(1, { 0 }) }), progress);
    finishRestoring(later.m_scheduler, later.m_now);
    later.adopt("w1");
    later.step();
    later.record();
    const auto starts = later.step().m_starts;
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].m_order.m_task.m_step == 1U);
}

BOOST_AUTO_TEST_CASE(a_cancellation_read_before_the_progress_stands)
{
    Bench first;
    first.adopt("w1");
    acceptJob(first.m_scheduler, makePlan({ makeStep(1) }), first.m_now);
    first.step();
    const std::string progress = progressOf(first.record(), jobId);
    const auto start = first.step().m_starts.at(0);

    Bench later(2);
    acceptJob(later.m_scheduler, makePlan({ makeStep(1) }), later.m_now);
    cancelJob(later.m_scheduler, jobId, later.m_now);
    BOOST_REQUIRE(restoreProgress(later.m_scheduler, jobId, progress, later.m_now));
    finishRestoring(later.m_scheduler, later.m_now);
    later.adopt("w1", { .m_clockMs = 7'000, .m_processStartMs = 0, .m_running = { runningOf(start) }, .m_ended = {} });
    later.record();
    BOOST_TEST((findStage(later.m_scheduler, jobId) == JobStage::Cancelled));
    BOOST_TEST((later.task(0, 0).m_phase == RunPhase::Stopping));
    BOOST_TEST(countPending(later.m_scheduler, queueName) == 0U);
}

BOOST_AUTO_TEST_CASE(a_task_on_a_worker_that_was_not_reached_waits_for_the_bound_of_its_lease)
{
    Bench first;
    first.adopt("w1");
    acceptJob(first.m_scheduler, makePlan({ makeStep(1) }), first.m_now);
    first.step();
    const std::string progress = progressOf(first.record(), jobId);

    Bench later(2);
    restore(later, makePlan({ makeStep(1) }), progress);
    finishRestoring(later.m_scheduler, later.m_now);
    const TimePoint takeover = later.m_now;
    later.adopt("w2");
    const Duration bound = later.m_scheduler.m_options.m_longestLease + later.m_scheduler.m_options.m_formerGrace;
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

BOOST_AUTO_TEST_CASE(a_restored_task_that_an_adopted_worker_does_not_have_starts_again_at_once)
{
    Bench first;
    first.adopt("w1");
    acceptJob(first.m_scheduler, makePlan({ makeStep(1) }), first.m_now);
    first.step();
    const std::string progress = progressOf(first.record(), jobId);

    Bench later(2);
    restore(later, makePlan({ makeStep(1) }), progress);
    finishRestoring(later.m_scheduler, later.m_now);
    later.adopt("w1");
    later.step();
    later.record();
    const auto starts = later.step().m_starts;
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].m_order.m_attempt == 2U);
}

BOOST_AUTO_TEST_CASE(attempts_that_nobody_wants_are_stopped_and_close_the_worker)
{
    Bench bench;
    bench.list("w1");
    bench.step();
    const RunningAttempt stranger { .m_task = { .m_job = "00000000000000bb" }, .m_attempt = 1 };
    const auto effects = bench.answerSync("w1", { .m_clockMs = 5'000, .m_processStartMs = 0, .m_running = { stranger }, .m_ended = {} });
    BOOST_TEST(effects.m_stops.size() == 1U);
    acceptJob(bench.m_scheduler, makePlan({ makeStep(1) }), bench.m_now);
    bench.step();
    BOOST_TEST((bench.task(0, 0).m_phase == RunPhase::None));
}

BOOST_AUTO_TEST_CASE(a_task_fails_its_job_after_the_limit_of_attempts)
{
    Bench bench;
    bench.adopt("w1");
    acceptJob(bench.m_scheduler, makePlan({ makeStep(1) }), bench.m_now);
    for (std::uint64_t failure = 1; failure <= 3; ++failure) {
        bench.step({ 4'000 });
        bench.answerSync("w1", { .m_clockMs = bench.m_now.m_ms + 5'000 });
        bench.step();
        bench.record();
        const auto starts = bench.step().m_starts;
        BOOST_REQUIRE(starts.size() == 1U);
        bench.answerStart(starts[0], OrderStatus::Done);
        bench.answerSync("w1", { .m_clockMs = bench.m_now.m_ms + 5'000, .m_processStartMs = 0, .m_running = {}, .m_ended = { endedOf(starts[0], failure, AttemptEnd::Failed) } });
    }
    bench.record();
    BOOST_TEST((findStage(bench.m_scheduler, jobId) == JobStage::Failed));
}

BOOST_AUTO_TEST_CASE(grants_never_exceed_capacity)
{
    Bench bench;
    bench.adopt("w1");
    acceptJob(bench.m_scheduler, makePlan({ makeStep(5) }), bench.m_now);
    bench.step();
    bench.record();
    BOOST_TEST(bench.step().m_starts.size() == 2U);
    BOOST_TEST(bench.m_scheduler.m_workers[0].m_granted.m_cpuMilli == 2'000);
}

BOOST_AUTO_TEST_CASE(urgency_puts_work_that_can_be_in_time_before_late_work)
{
    const TimePoint now { 10'000 };
    const auto place = [&](std::int64_t acceptedAt, double work) {
        return urgencyOf({ .m_isLasting = false, .m_acceptedAt = { acceptedAt }, .m_objective = { 2'000 }, .m_remaining = { 1'000 }, .m_remainingWork = work }, now);
    };
    const Urgency fresh = place(9'900, 10);
    const Urgency pressing = place(9'200, 10);
    const Urgency late = place(7'500, 10);
    const Urgency nearlyDone = place(7'600, 1);
    const Urgency overdue = place(1'000, 10);
    BOOST_TEST((pressing < fresh));
    BOOST_TEST((fresh < late));
    BOOST_TEST((nearlyDone < late));
    BOOST_TEST((late < overdue));
    BOOST_TEST((urgencyOf({ .m_isLasting = true, .m_acceptedAt = now, .m_objective = {}, .m_remaining = {}, .m_remainingWork = 0 }, now) < pressing));
}

BOOST_AUTO_TEST_CASE(a_step_that_can_never_be_placed_does_not_keep_workers_from_others_for_long)
{
    Bench bench;
    for (const char* id : { "w1", "w2", "w3" })
        bench.adopt(id);
    StepPlan gang = makeStep(5);
    gang.m_isGang = true;
    gang.m_isLasting = true;
    gang.m_size.m_cpuMilli = 2'000;
    acceptJob(bench.m_scheduler, makePlan({ gang }), bench.m_now);
    StepPlan small = makeStep(6);
    bench.step();
    const std::string other = "00000000000000bb";
    acceptJob(bench.m_scheduler, makePlan({ small }, other), bench.m_now);
    for (int i = 0; i < 200; ++i) {
        bench.step({ 100 });
        for (const char* id : { "w1", "w2", "w3" })
            bench.answerSync(id, { .m_clockMs = bench.m_now.m_ms });
    }
    for (std::uint32_t i = 0; i < 6; ++i)
        BOOST_TEST((bench.task(0, i, other).m_phase == RunPhase::Recording));
}

BOOST_AUTO_TEST_CASE(tasks_of_a_silent_worker_start_elsewhere_once_its_lease_has_run_out)
{
    Bench bench;
    bench.adopt("w1");
    acceptJob(bench.m_scheduler, makePlan({ makeStep(1) }), bench.m_now);
    bench.step();
    bench.record();
    const auto start = bench.step().m_starts.at(0);
    bench.answerStart(start, OrderStatus::Done);
    bench.adopt("w2");
    const TimePoint silentSince = bench.m_now;
    bench.answerSync("w1", {}, OrderStatus::NoAnswer);
    bool isRestarted = false;
    for (int i = 0; i < 120 && !isRestarted; ++i) {
        const auto effects = bench.step({ 100 });
        for (const auto& sync : effects.m_syncs) {
            const bool isSilent = sync.m_to.m_worker == "w1";
            bench.answerSync(sync.m_to.m_worker, { .m_clockMs = bench.m_now.m_ms }, isSilent ? OrderStatus::NoAnswer : OrderStatus::Done);
        }
        bench.record();
        isRestarted = !effects.m_starts.empty();
        if (isRestarted)
            BOOST_TEST(effects.m_starts[0].m_to.m_worker == "w2");
    }
    BOOST_TEST(isRestarted);
    const Duration lease = bench.m_scheduler.m_options.m_longestLease;
    BOOST_TEST((bench.m_now - silentSince >= lease));
    BOOST_TEST((bench.m_now - silentSince).m_ms <= lease.m_ms * 2);
}

BOOST_AUTO_TEST_CASE(a_task_without_progress_is_stopped_and_its_worker_held_out)
{
    Bench bench;
    bench.adopt("w1");
    acceptJob(bench.m_scheduler, makePlan({ makeStep(1) }), bench.m_now);
    bench.step();
    bench.record();
    const auto start = bench.step().m_starts.at(0);
    bench.answerStart(start, OrderStatus::Done);
    for (int i = 0; i < 25; ++i) {
        bench.answerSync("w1", { .m_clockMs = bench.m_now.m_ms + 5'000, .m_processStartMs = 0, .m_running = { runningOf(start) }, .m_ended = {} });
        bench.step({ 100 });
    }
    BOOST_TEST((bench.task(0, 0).m_phase == RunPhase::Stopping));
    BOOST_TEST(!detail::isOpen(bench.m_scheduler.m_workers[0], bench.m_now));
}

BOOST_AUTO_TEST_CASE(a_gang_that_does_not_come_together_is_stopped_before_its_workers_give_up)
{
    Bench bench;
    bench.adopt("w1");
    bench.adopt("w2");
    StepPlan gang = makeStep(2);
    gang.m_isGang = true;
    gang.m_size.m_cpuMilli = 2'000;
    acceptJob(bench.m_scheduler, makePlan({ gang }), bench.m_now);
    bench.step();
    bench.record();
    const auto starts = bench.step().m_starts;
    BOOST_REQUIRE(starts.size() == 2U);
    BOOST_TEST(starts[0].m_order.m_attempt == starts[1].m_order.m_attempt);
    bench.answerStart(starts[0], OrderStatus::Done);
    bench.answerStart(starts[1], OrderStatus::NoAnswer);
    const Duration timeout = bench.m_scheduler.m_options.m_gangTimeout;
    const TimePoint begin = bench.m_now;
    while (bench.task(0, 0).m_phase == RunPhase::Running && bench.m_now - begin < timeout * 2) {
        for (const auto& start : bench.step({ 100 }).m_starts)
            bench.answerStart(start, OrderStatus::NoAnswer);
    }
    BOOST_TEST((bench.task(0, 0).m_phase == RunPhase::Stopping));
    BOOST_TEST((bench.m_now - begin < timeout));
}

BOOST_AUTO_TEST_CASE(what_a_returning_worker_has_finished_does_not_run_again)
{
    Bench bench;
    bench.adopt("w1");
    acceptJob(bench.m_scheduler, makePlan({ makeStep(1) }), bench.m_now);
    bench.step();
    bench.record();
    const auto start = bench.step().m_starts.at(0);
    bench.answerStart(start, OrderStatus::Done);
    detail::loseTasks(bench.m_scheduler, 0, "its lease has run out", bench.m_now);
    bench.answerSync("w1", { .m_clockMs = 90'000, .m_processStartMs = 0, .m_running = {}, .m_ended = { endedOf(start, 1, AttemptEnd::Done) } });
    bench.record();
    BOOST_TEST((findStage(bench.m_scheduler, jobId) == JobStage::Complete));
}

// Load: orders get lost on links of unlike length; a timeout of a short link would repeat every order of a long one.
BOOST_AUTO_TEST_CASE(repeats_wait_for_a_few_times_the_usual_answer)
{
    constexpr Duration least { 70 };
    constexpr Duration most { 450 };
    Scheduler scheduler;
    for (int i = 0; i < 100; ++i)
        detail::noteAnswerTime(scheduler, { 2 });
    BOOST_TEST((detail::lossyTimeout(scheduler, least, most) == least));
    for (int i = 0; i < 100; ++i)
        detail::noteAnswerTime(scheduler, { 60 });
    const Duration onLongLinks = detail::lossyTimeout(scheduler, least, most);
    BOOST_TEST((onLongLinks > Duration { 200 } && onLongLinks < most));
}
