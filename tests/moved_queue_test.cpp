/** @file moved_queue_test.cpp Accepted jobs of a queue that a later version of the configuration sends to another pool. */
#define BOOST_TEST_MODULE moved_queue
#include <boost/test/unit_test.hpp>

#include "moved_queue_load.h"
#include "process/cell/service_load.h"

using namespace bulrushloft;
using namespace bulrushloft::scheduler;
using namespace bulrushloft::test;

namespace {

constexpr Duration startTime { 200 }; ///< Well within the 3 s after which a job that could run and has nothing running counts as lost.

} // namespace

// LOST (review/14): a job looked for workers in the pool of its submission for good, so a lasting task whose worker left was not started again.
BOOST_AUTO_TEST_CASE(a_lasting_task_starts_in_the_new_pool_once_its_worker_has_left)
{
    MovedQueueLoad load(1, 2);
    const std::string job = load.submit("plain", makeLastingStep());
    load.runChecked(startTime);
    BOOST_TEST((load.workersOf(job) == Workers { "f0" }));
    load.send(newPool);
    load.runChecked({ 3'000 });
    BOOST_TEST((load.workersOf(job) == Workers { "f0" })); // It is not stopped for the move.
    load.takeAway("f0");
    load.runChecked(startTime);
    BOOST_TEST(load.countRuns(job) == 1U);
    BOOST_TEST(load.runsIn(job, newPool));
}

// The same for work that has never run: it waited for room in the former pool.
BOOST_AUTO_TEST_CASE(a_job_that_waits_starts_in_the_new_pool)
{
    MovedQueueLoad load(1, 1);
    const std::string running = load.submit("plain", makeLastingStep(4));
    load.runChecked(startTime);
    const std::string job = load.submit("plain", makeQuarterStep());
    load.runChecked({ 1'000 });
    BOOST_TEST(load.countRuns(job) == 0U);
    load.send(newPool);
    load.runChecked(startTime);
    BOOST_TEST((load.workersOf(job) == Workers { "n0" }));
    BOOST_TEST((load.workersOf(running) == Workers { "f0" }));
}

// While thousands of steps wait, a pass looks only at those that have changed; what a version has made startable is among them.
BOOST_AUTO_TEST_CASE(a_pass_that_is_not_a_full_one_sees_the_new_pool)
{
    constexpr int waitingJobs = 3'000;
    MovedQueueLoad load(1, 1);
    load.send(formerPool, formerPool);
    const std::string filler = load.submit("plain", makeLastingStep(4));
    load.runChecked(startTime);
    StepPlan whole = makeQuarterStep();
    whole.m_size.m_cpuMilli = 40'000; // Fits no worker.
    for (int i = 0; i < waitingJobs; ++i)
        load.submit("plain", whole);
    const std::string job = load.submit("asked", makeQuarterStep());
    load.run({ 1'000 });
    load.send(formerPool, newPool);
    const TimePoint fullPassAt = load.m_scheduler.m_fullPassAt;
    load.m_scheduler.m_fullPassAt = load.m_now + Duration { 10'000 }; // No full pass is due.
    load.run({ 500 });
    load.m_scheduler.m_fullPassAt = fullPassAt;
    BOOST_TEST((load.workersOf(job) == Workers { "n0" }));
}

BOOST_AUTO_TEST_CASE(a_step_whose_predecessor_ends_after_the_change_starts_in_the_new_pool)
{
    MovedQueueLoad load(1, 1);
    StepPlan second = makeQuarterStep();
    second.m_predecessors = { 0 };
    const std::string job = load.submitSteps("plain", { makeQuarterStep(1, { 2'000 }), second });
    load.runChecked(startTime);
    load.send(newPool);
    load.runChecked({ 1'000 });
    BOOST_TEST((load.workersOf(job) == Workers { "f0" }));
    load.runChecked({ 1'500 });
    BOOST_TEST((load.workersOf(job) == Workers { "n0" }));
}

BOOST_AUTO_TEST_CASE(later_occurrences_start_in_the_new_pool)
{
    MovedQueueLoad load(1, 1);
    JobPlan plan = load.makePlan("plain", { makeQuarterStep(1, { 500 }) });
    plan.m_occurrenceCount = 3;
    const std::string job = load.submitPlan(plan);
    load.runChecked(startTime);
    BOOST_TEST((load.workersOf(job) == Workers { "f0" }));
    load.send(newPool);
    load.runChecked({ 1'000 });
    BOOST_TEST((load.workersOf(job) == Workers { "n0" }));
    load.runChecked({ 2'000 });
    BOOST_TEST((load.stageOf(job) == JobStage::Complete));
}

// The members run in one pool only, also if the version comes while the records of some are not durable.
BOOST_AUTO_TEST_CASE(a_gang_stays_whole)
{
    MovedQueueLoad load(2, 2);
    StepPlan gang = makeLastingStep(6);
    gang.m_isGang = true;
    load.holdRecords();
    const std::string job = load.submit("plain", gang);
    load.runChecked({ 50 });
    load.send(newPool);
    load.m_recordTime = {};
    load.m_appends.clear();
    load.m_scheduler.m_confirmedBatch = 0;
    onRecorded(load.m_scheduler, load.m_scheduler.m_nextBatch - 1, load.m_now);
    load.runChecked(startTime);
    BOOST_TEST(load.countRuns(job) == 6U);
    BOOST_TEST((load.workersOf(job) == Workers { "f0", "f1" }));
    load.lose("f0");
    load.runChecked({ 12'000 }); // Its lease has run out.
    BOOST_TEST(load.countRuns(job) == 6U);
    BOOST_TEST((load.workersOf(job) == Workers { "n0", "n1" }));
}

// Failures count on in the new pool.
BOOST_AUTO_TEST_CASE(a_task_that_failed_is_retried_in_the_new_pool_within_its_limit)
{
    MovedQueueLoad load(1, 1);
    const std::string job = load.submit("plain", makeQuarterStep());
    load.runChecked(startTime);
    load.send(newPool);
    load.end("f0", job, AttemptEnd::Failed);
    load.runChecked(startTime);
    BOOST_TEST((load.workersOf(job) == Workers { "n0" }));
    load.end("n0", job, AttemptEnd::Failed);
    load.runChecked(startTime);
    load.end("n0", job, AttemptEnd::Failed);
    load.runChecked(startTime);
    BOOST_TEST((load.stageOf(job) == JobStage::Failed));
}

BOOST_AUTO_TEST_CASE(a_task_whose_worker_has_crashed_starts_in_the_new_pool)
{
    MovedQueueLoad load(1, 1);
    const std::string job = load.submit("plain", makeQuarterStep());
    load.runChecked(startTime);
    load.send(newPool);
    load.kill(load.m_workers.at("f0"));
    load.announce("f0");
    load.runChecked({ 4'000 });
    BOOST_TEST((load.workersOf(job) == Workers { "n0" }));
}

// A start whose answer is lost may be carried out in the former pool; nothing else runs until that is settled.
BOOST_AUTO_TEST_CASE(a_start_on_its_way_to_the_former_pool_is_settled_first)
{
    MovedQueueLoad load(1, 1);
    const std::string job = load.submit("plain", makeQuarterStep(3));
    load.m_workers.at("f0").m_silentUntil = load.m_now + Duration { 2'500 };
    load.runChecked({ 100 });
    load.send(newPool);
    load.runChecked({ 1'000 });
    BOOST_TEST(load.countRuns(job) == 0U);
    load.runChecked({ 6'000 });
    BOOST_TEST(load.countRuns(job) == 3U);
}

BOOST_AUTO_TEST_CASE(there_and_back_within_a_second)
{
    MovedQueueLoad load(1, 1);
    const std::string plain = load.submit("plain", makeLastingStep());
    const std::string asked = load.submit("asked", makeLastingStep());
    load.runChecked({ 500 });
    load.send(newPool);
    load.m_callFactor = 20;
    const std::string between = load.submit("plain", makeLastingStep());
    const std::string askedBetween = load.submit("asked", makeLastingStep());
    load.runChecked({ 100 });
    load.m_callFactor = 1;
    load.send(formerPool);
    const std::string later = load.submit("asked", makeLastingStep());
    load.runChecked({ 1'000 });
    BOOST_TEST((load.workersOf(plain) == Workers { "f0" }));
    BOOST_TEST((load.workersOf(asked) == Workers { "f0" }));
    BOOST_TEST((load.workersOf(between) == Workers { "n0" }));
    BOOST_TEST((load.workersOf(askedBetween) == Workers { "f0" })); // Its approvals were still awaited.
    BOOST_TEST((load.workersOf(later) == Workers { "f0" }));
}

BOOST_AUTO_TEST_CASE(two_queues_exchange_their_pools)
{
    MovedQueueLoad load(1, 1);
    load.send(formerPool, newPool);
    const std::string fillers[] = { load.submit("plain", makeLastingStep(4)), load.submit("asked", makeLastingStep(4)) };
    load.runChecked({ 1'000 });
    const std::string plain = load.submit("plain", makeQuarterStep());
    const std::string asked = load.submit("asked", makeQuarterStep());
    load.runChecked({ 500 });
    load.send(newPool, formerPool);
    for (const std::string& filler : fillers)
        cancelJob(load.m_scheduler, filler, load.m_now);
    load.runChecked({ 1'000 });
    BOOST_TEST((load.workersOf(plain) == Workers { "n0" }));
    BOOST_TEST((load.workersOf(asked) == Workers { "f0" }));
}

// A version without the queue leaves its jobs where they are; one that names it again counts.
BOOST_AUTO_TEST_CASE(a_queue_that_is_removed_and_comes_back_with_another_pool)
{
    MovedQueueLoad load(1, 1);
    const std::string filler = load.submit("plain", makeLastingStep(4));
    load.runChecked(startTime);
    const std::string job = load.submit("plain", makeQuarterStep());
    load.send({});
    load.runChecked({ 500 });
    BOOST_TEST(load.countRuns(job) == 0U);
    load.send(newPool);
    load.runChecked(startTime);
    BOOST_TEST((load.workersOf(job) == Workers { "n0" }));
}

// The job waits, the report says why, and nothing is tried in vain.
BOOST_AUTO_TEST_CASE(a_pool_without_workers)
{
    MovedQueueLoad load(1, 0);
    const std::string job = load.submit("plain", makeQuarterStep());
    const std::string asked = load.submit("asked", makeLastingStep());
    load.send(newPool);
    load.runChecked({ 500 });
    load.end("f0", job, AttemptEnd::Failed);
    const std::uint64_t starts = load.m_starts;
    const std::uint64_t requests = load.m_requests;
    load.runChecked({ 5'000 });
    BOOST_TEST(load.m_starts == starts);
    BOOST_TEST(load.m_requests == requests);
    BOOST_TEST(load.m_scheduler.m_waitSummary.m_byCause[static_cast<std::size_t>(WaitCause::NoWorker)] == 2U);
    load.addWorker("n0", newPool);
    load.runChecked({ 1'000 });
    BOOST_TEST((load.workersOf(job) == Workers { "n0" }));
    BOOST_TEST((load.workersOf(asked) == Workers { "n0" }));
}

// Tickets hold for a worker, so approvals are asked for workers of the new pool, without waiting for the answer to a request about others.
BOOST_AUTO_TEST_CASE(approvals_are_requested_for_workers_of_the_new_pool)
{
    MovedQueueLoad load(3, 3);
    load.submit("asked", makeLastingStep());
    load.runChecked({ 300 });
    BOOST_TEST(!load.m_scheduler.m_approvalRates.empty());
    const std::uint64_t requests = load.m_requests;
    load.m_callFactor = 70; // About 2 s a request.
    const std::string job = load.submit("asked", makeLastingStep());
    load.runChecked({ 300 });
    BOOST_TEST(load.m_requests == requests + 1);
    load.send(newPool);
    BOOST_TEST(load.m_scheduler.m_approvalRates.empty()); // Other workers may be approved at another rate.
    load.m_callFactor = 1;
    load.runChecked(startTime);
    BOOST_REQUIRE(load.runsIn(job, newPool));
    load.runChecked({ 4'000 }); // The former request is answered meanwhile.
    load.takeAway(*load.workersOf(job).begin());
    load.runChecked({ 1'000 });
    BOOST_TEST(load.runsIn(job, newPool));
}

// The answer to a request from before the change must not count as that to the one under way.
BOOST_AUTO_TEST_CASE(a_late_answer_about_workers_of_the_former_pool)
{
    MovedQueueLoad load(3, 3);
    load.m_callFactor = 70;
    const std::string job = load.submit("asked", makeLastingStep());
    load.runChecked({ 300 });
    load.send(newPool);
    load.runChecked({ 300 });
    const ApprovalState& approval = load.job(job).m_runs.front()->m_approval;
    BOOST_TEST(load.m_requests == 2U);
    load.runChecked({ 1'350 }); // The first one is answered.
    BOOST_TEST(approval.m_tickets.size() > 0U);
    BOOST_TEST(approval.m_pendingRequests == 1U);
    BOOST_TEST(load.m_scheduler.m_approvalRates.empty()); // It tells nothing of the workers that may be approved now.
    load.runChecked({ 1'000 });
    BOOST_TEST(load.runsIn(job, newPool));
}

// A large step has workers reserved; they are free for others as soon as it waits elsewhere.
BOOST_AUTO_TEST_CASE(reservations_in_the_former_pool_end)
{
    constexpr int workers = 12;
    MovedQueueLoad load(workers, 1);
    load.submit("plain", makeQuarterStep(workers * 4, { 20'000 }));
    load.runChecked({ 1'000 });
    StepPlan whole = makeQuarterStep();
    whole.m_size.m_cpuMilli = 32'000;
    const std::string large = load.submit("plain", whole);
    const auto countReserved = [&] { return std::count_if(load.m_scheduler.m_workers.begin(), load.m_scheduler.m_workers.end(), [](const Worker& worker) { return worker.m_reservedFor; }); };
    for (int i = 0; i < 100 && countReserved() == 0; ++i)
        load.runChecked({ 50 });
    BOOST_REQUIRE(countReserved() > 0);
    load.send(newPool);
    BOOST_TEST(countReserved() == 0);
    load.runChecked(startTime);
    BOOST_TEST((load.workersOf(large) == Workers { "n0" }));
}

// The same for a worker that is kept empty for a suspect of the step.
BOOST_AUTO_TEST_CASE(workers_that_are_held_for_a_suspect_are_freed)
{
    MovedQueueLoad load(1, 1);
    const std::string job = load.submit("plain", makeQuarterStep(4));
    load.runChecked(startTime);
    StepRun& run = *load.m_scheduler.m_jobs.at(job)->m_runs.front();
    load.end("f0", job, AttemptEnd::Failed); // The worker is empty when it is next looked at.
    const std::string other = load.submit("asked", makeLastingStep());
    Worker& worker = load.m_scheduler.m_workers.front();
    worker.m_reservedFor = &run;
    worker.m_heldForSuspectUntil = load.m_now + Duration { 3'000 };
    load.send(newPool, formerPool);
    BOOST_TEST(!worker.m_reservedFor);
    BOOST_TEST(worker.m_heldForSuspectUntil.m_ms == 0);
    load.runChecked({ 500 });
    BOOST_TEST((load.workersOf(other) == Workers { "f0" }));
    BOOST_TEST(load.runsIn(job, newPool));
}

// Usage is counted in the pool of the worker, so an attempt that was placed before the move is released from the pool in which it was counted.
BOOST_AUTO_TEST_CASE(usage_of_customers_counts_where_attempts_run)
{
    MovedQueueLoad load(1, 1);
    load.m_cluster.m_customers = { { .m_name = "c", .m_keys = {}, .m_weight = 1, .m_cap = {} } };
    load.send(formerPool);
    JobPlan plan = load.makePlan("plain", { makeQuarterStep(2) });
    plan.m_customer = "c";
    const std::string first = load.submitPlan(plan);
    load.runChecked(startTime);
    load.send(newPool);
    plan = load.makePlan("plain", { makeQuarterStep() });
    plan.m_customer = "c";
    load.submitPlan(plan);
    load.runChecked(startTime);
    const CustomerUsage& customer = load.m_scheduler.m_customers.at("c");
    BOOST_TEST(load.job(first).m_poolUsage == &customer.m_pools.at(newPool)); // Its waiting tasks are compared there.
    BOOST_TEST(customer.m_pools.at(formerPool).m_running.m_cpuMilli == 16'000);
    BOOST_TEST(customer.m_pools.at(newPool).m_running.m_cpuMilli == 8'000);
    load.runChecked({ 6'000 });
    BOOST_TEST((load.stageOf(first) == JobStage::Complete));
    BOOST_TEST(customer.m_pools.at(formerPool).m_running.m_cpuMilli == 0);
    BOOST_TEST(customer.m_pools.at(newPool).m_running.m_cpuMilli == 0);
    BOOST_TEST(customer.m_attempts == 0U);
}

// Refusals and Retry-After are computed from the work that waits in a pool.
BOOST_AUTO_TEST_CASE(waiting_work_counts_in_the_pool_that_it_will_use)
{
    MovedQueueLoad load(1, 1);
    const std::string job = load.submit("plain", makeQuarterStep(20));
    load.runChecked({ 300 });
    BOOST_TEST(cell::collectLoad(load.m_scheduler, 1, load.m_now).m_pools.contains(formerPool));
    load.send(newPool);
    load.runChecked({ 300 });
    const cell::ServiceLoad collected = cell::collectLoad(load.m_scheduler, 1, load.m_now);
    BOOST_TEST(!collected.m_pools.contains(formerPool));
    BOOST_TEST(collected.m_pools.contains(newPool));
    // A VM that has not read the new version yet still names the former pool.
    JobPlan plan { .m_id = "00000000000000aa", .m_queue = "plain", .m_policy = { .m_pool = formerPool }, .m_payload = "p", .m_steps = { makeQuarterStep() } };
    BOOST_TEST(cell::needOf(load.m_scheduler, plan).m_pool == newPool);
}

// The same for the job itself: the leader's version counts, whatever the VM knew that took the submission.
BOOST_AUTO_TEST_CASE(a_submission_by_the_former_version)
{
    MovedQueueLoad load(1, 1);
    load.send(newPool);
    acceptJob(load.m_scheduler, { .m_id = "00000000000000aa", .m_queue = "plain", .m_policy = { .m_pool = formerPool }, .m_payload = "p", .m_steps = { makeQuarterStep() } }, load.m_now);
    load.runChecked(startTime);
    BOOST_TEST((load.workersOf("00000000000000aa") == Workers { "n0" }));
}

// A leader that takes over right after the change reads the pool of the submission back; the configuration in force counts.
BOOST_AUTO_TEST_CASE(a_later_leader_follows_the_configuration)
{
    MovedQueueLoad load(1, 1);
    const std::string job = load.submit("plain", makeLastingStep());
    load.runChecked(startTime);
    load.send(newPool);
    load.run(stepLength); // The version is in force at the former leader, too, for a moment only.
    load.takeOver();
    load.runChecked({ 1'000 });
    BOOST_TEST((load.workersOf(job) == Workers { "f0" }));
    load.takeAway("f0");
    load.runChecked({ 500 });
    BOOST_TEST((load.workersOf(job) == Workers { "n0" }));
}
