/** @file customer_cap_test.cpp Tests of the caps of customers in the leader's scheduler, and of the check of a submission against a cap. */
#define BOOST_TEST_MODULE customer_cap
#include "customer_fixture.h"
#include "version/customer_cap.h"

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

constexpr const char* jobA = "00000000000000aa";
constexpr const char* jobB = "00000000000000bb";

void accept(CustomerFixture& fixture, std::vector<StepPlan> steps, const std::string& id = jobA, const std::string& customer = "c")
{
    acceptJob(fixture.m_scheduler, makeCustomerPlan(std::move(steps), id, customer), fixture.m_now);
}

/** @return The records of all jobs of a scheduler, by key. */
std::map<std::string, std::string> recordsOf(const CustomerFixture& fixture)
{
    std::map<std::string, std::string> records;
    for (const KeyedRecord& record : snapshotRecords(fixture.m_scheduler))
        records[record.m_key] = record.m_value;
    return records;
}

} // namespace

// A customer took all free workers, whatever its cap.
BOOST_AUTO_TEST_CASE(a_wide_step_runs_in_waves)
{
    CustomerFixture fixture({ makeCustomer("c", 3'000) });
    fixture.adoptWorker("w1");
    accept(fixture, { makeCustomerStep(8) });
    BOOST_TEST(fixture.startAll() == 3U);
    BOOST_TEST(fixture.runningCpu("c") == 3'000);
    fixture.end("c", 2);
    BOOST_TEST(fixture.startAll() == 2U);
    BOOST_TEST(fixture.runningCpu("c") == 3'000);
}

// Work without a customer, and other customers, must not be held back by a customer that is at its cap.
BOOST_AUTO_TEST_CASE(others_use_what_a_customer_at_its_cap_leaves)
{
    CustomerFixture fixture({ makeCustomer("c", 1'000) });
    fixture.adoptWorker("w1");
    accept(fixture, { makeCustomerStep(8) });
    accept(fixture, { makeCustomerStep(5) }, jobB, "");
    BOOST_TEST(fixture.startAll() == 6U);
}

// A part of a gang would wait on its workers for members that the cap never lets start.
BOOST_AUTO_TEST_CASE(a_gang_starts_whole_or_not)
{
    CustomerFixture fixture({ makeCustomer("c", 4'000) });
    fixture.adoptWorker("w1");
    accept(fixture, { makeCustomerStep(2) });
    BOOST_TEST(fixture.startAll() == 2U);
    accept(fixture, { makeCustomerStep(3, 1'000, true) }, jobB);
    BOOST_TEST(fixture.startAll() == 0U);
    fixture.end("c", 1);
    BOOST_TEST(fixture.startAll() == 3U);
}

// A task or gang that alone exceeds the cap would never start, and beside others it would exceed the permitted overrun.
BOOST_AUTO_TEST_CASE(a_task_or_gang_above_the_cap_starts_alone)
{
    CustomerFixture fixture({ makeCustomer("c", 2'000) });
    fixture.m_scheduler.m_options.m_capOverrun = 0.1;
    fixture.adoptWorker("w1");
    accept(fixture, { makeCustomerStep(1, 500) });
    BOOST_TEST(fixture.startAll() == 1U);
    accept(fixture, { makeCustomerStep(3, 1'000, true) }, jobB);
    accept(fixture, { makeCustomerStep(1, 4'000) }, "00000000000000cc");
    BOOST_TEST(fixture.startAll() == 0U);
    fixture.end("c", 1);
    const std::size_t first = fixture.startAll();
    BOOST_TEST((first == 3U || first == 1U));
    fixture.end("c", first);
    BOOST_TEST(fixture.startAll() == 4U - first);
}

// A ledger held to the cap itself leaves part of the cap unused, as placed tasks count before they run. Beyond the overrun what runs could exceed it.
BOOST_AUTO_TEST_CASE(what_is_placed_may_exceed_the_cap_by_the_overrun)
{
    CustomerFixture fixture({ makeCustomer("c", 10'000) });
    fixture.m_scheduler.m_options.m_capOverrun = 0.1;
    for (const char* worker : { "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8" })
        fixture.adoptWorker(worker);
    accept(fixture, { makeCustomerStep(14, 1'000) });
    BOOST_TEST(fixture.startAll() == 11U);
}

// Best-effort tasks reserve no CPU on their worker, but the cap limits their full size.
BOOST_AUTO_TEST_CASE(the_cpu_of_best_effort_tasks_counts)
{
    CustomerFixture fixture({ makeCustomer("c", 2'000) });
    fixture.adoptWorker("w1");
    StepPlan step = makeCustomerStep(6);
    step.m_isBestEffort = true;
    accept(fixture, { step });
    BOOST_TEST(fixture.startAll() == 2U);
}

// A new configuration was not used until the next change of leader.
BOOST_AUTO_TEST_CASE(a_reduced_cap_stops_nothing_and_a_raised_one_starts_more)
{
    CustomerFixture fixture({ makeCustomer("c", 4'000) });
    fixture.adoptWorker("w1");
    accept(fixture, { makeCustomerStep(8) });
    BOOST_TEST(fixture.startAll() == 4U);
    setCluster(fixture.m_scheduler, makeCustomerCluster({ makeCustomer("c", 2'000) }));
    BOOST_TEST(fixture.startAll() == 0U);
    BOOST_TEST(fixture.runningCpu("c") == 4'000);
    fixture.end("c", 2);
    BOOST_TEST(fixture.startAll() == 0U);
    setCluster(fixture.m_scheduler, makeCustomerCluster({ makeCustomer("c", 5'000) }));
    BOOST_TEST(fixture.startAll() == 3U);
}

// Without its last cap, the accepted jobs of a customer that left the configuration would take the pool.
BOOST_AUTO_TEST_CASE(a_customer_that_left_keeps_its_cap)
{
    CustomerFixture fixture({ makeCustomer("c", 2'000) });
    fixture.adoptWorker("w1");
    accept(fixture, { makeCustomerStep(8) });
    BOOST_TEST(fixture.startAll() == 2U);
    setCluster(fixture.m_scheduler, makeCustomerCluster({}));
    BOOST_TEST(fixture.startAll() == 0U);
    CustomerFixture later({});
    acceptJob(later.m_scheduler, makeCustomerPlan({ makeCustomerStep(8) }, jobA, "c"), later.m_now);
    BOOST_REQUIRE(restoreProgress(later.m_scheduler, jobA, recordsOf(fixture)[jobA], later.m_now));
    finishRestoring(later.m_scheduler, later.m_now, later.m_now);
    later.adoptWorker("w2");
    BOOST_TEST(later.startAll() == 0U);
}

// A new leader that counted from zero would start as much again.
BOOST_AUTO_TEST_CASE(a_takeover_at_the_cap_starts_nothing)
{
    CustomerFixture fixture({ makeCustomer("c", 3'000) });
    fixture.adoptWorker("w1");
    accept(fixture, { makeCustomerStep(8) });
    BOOST_TEST(fixture.startAll() == 3U);
    CustomerFixture later({ makeCustomer("c", 3'000) });
    acceptJob(later.m_scheduler, makeCustomerPlan({ makeCustomerStep(8) }, jobA, "c"), later.m_now);
    BOOST_REQUIRE(restoreProgress(later.m_scheduler, jobA, recordsOf(fixture)[jobA], later.m_now));
    finishRestoring(later.m_scheduler, later.m_now, later.m_now);
    BOOST_TEST(later.runningCpu("c") == 3'000);
    later.adoptWorker("w2");
    BOOST_TEST(later.startAll() == 0U);
}

// The attempts of a job whose plan is unread would not count, and those of another job of the customer would exceed the cap.
BOOST_AUTO_TEST_CASE(attempts_of_unread_jobs_count)
{
    CustomerFixture fixture({ makeCustomer("c", 3'000) });
    fixture.adoptWorker("w1");
    accept(fixture, { makeCustomerStep(2) });
    BOOST_TEST(fixture.startAll() == 2U);
    CustomerFixture later({ makeCustomer("c", 3'000) });
    later.m_scheduler.m_areSubmissionsUnread = true;
    BOOST_REQUIRE(restoreProgress(later.m_scheduler, jobA, recordsOf(fixture)[jobA], later.m_now));
    finishRestoring(later.m_scheduler, later.m_now, later.m_now);
    later.adoptWorker("w2");
    acceptJob(later.m_scheduler, makeCustomerPlan({ makeCustomerStep(8) }, jobB, "c"), later.m_now);
    BOOST_TEST(later.startAll() == 1U);
    BOOST_TEST(later.runningCpu("c") == 3'000);
    // A worker that lists the end of one of them makes room for another.
    const TaskName ended { .m_job = jobA, .m_occurrence = 0, .m_step = 0, .m_index = 0 };
    later.adoptWorker("w1");
    later.m_reports["w1"].m_ended.push_back({ .m_number = 1, .m_task = ended, .m_attempt = 1, .m_end = AttemptEnd::Done, .m_checkpoint = {} });
    later.report("w1");
    BOOST_TEST(later.startAll() == 1U);
    acceptJob(later.m_scheduler, makeCustomerPlan({ makeCustomerStep(2) }, jobA, "c"), later.m_now);
    BOOST_TEST(isConsistent(later.m_scheduler));
    BOOST_TEST(later.runningCpu("c") == 3'000);
}

// A start without an answer may be carried out after its worker has crashed, by its next process.
BOOST_AUTO_TEST_CASE(a_start_that_may_be_carried_out_late_counts)
{
    CustomerFixture fixture({ makeCustomer("c", 1'000) });
    fixture.adoptWorker("w1");
    accept(fixture, { makeCustomerStep(1) });
    accept(fixture, { makeCustomerStep(1) }, jobB);
    fixture.step();
    fixture.record();
    const SchedulerEffects effects = fixture.step();
    BOOST_REQUIRE(effects.m_starts.size() == 1U);
    fixture.answer(effects.m_starts.front(), OrderStatus::NoAnswer);
    fixture.report("w1", OrderStatus::WrongInstance);
    fixture.adoptWorker("w2");
    BOOST_TEST(fixture.runningCpu("c") == 1'000);
    BOOST_TEST(fixture.startAll() == 0U);
    fixture.step({ 20'000 });
    fixture.report("w2");
    BOOST_TEST(fixture.startAll() == 1U);
}

// An attempt that was taken for ended and is listed again runs, whatever the scheduler believed.
BOOST_AUTO_TEST_CASE(an_unexpected_attempt_counts)
{
    CustomerFixture fixture({ makeCustomer("c", 1'000) });
    fixture.adoptWorker("w1");
    accept(fixture, { makeCustomerStep(1) });
    accept(fixture, { makeCustomerStep(1) }, jobB);
    BOOST_TEST(fixture.startAll() == 1U);
    SyncReport& report = fixture.m_reports["w1"];
    const auto running = std::exchange(report.m_running, {});
    for (int i = 0; i < 2; ++i) {
        fixture.step();
        fixture.report("w1");
    }
    report.m_running = running;
    fixture.report("w1");
    BOOST_TEST(fixture.runningCpu("c") == 1'000);
    BOOST_TEST(fixture.startAll() == 0U);
}

// A stream of small tasks would take each bit of room before it sufficed for the gang.
BOOST_AUTO_TEST_CASE(a_gang_is_not_starved_by_small_tasks_of_its_customer)
{
    CustomerFixture fixture({ makeCustomer("c", 4'000) });
    fixture.adoptWorker("w1", 20'000);
    accept(fixture, { makeCustomerStep(200) });
    BOOST_TEST(fixture.startAll() == 4U);
    accept(fixture, { makeCustomerStep(3, 1'000, true) }, jobB);
    const auto hasGangStarted = [&] { return detail::findTask(fixture.m_scheduler, { .m_job = jobB, .m_occurrence = 0, .m_step = 0, .m_index = 0 }).task().m_hasStarted; };
    for (int i = 0; i < 30 && !hasGangStarted(); ++i) {
        fixture.startAll();
        fixture.end("c", 1);
    }
    BOOST_TEST(hasGangStarted());
}

// A gang that could never start was accepted and waited for ever.
BOOST_AUTO_TEST_CASE(a_gang_that_could_never_start_is_refused)
{
    const CustomerSettings customer = makeCustomer("c", 2'000);
    const auto check = [&](const StepPlan& step) { return canEverRun(customer, 0.1, makeCustomerPlan({ step }, jobA, "c")); };
    BOOST_TEST(check(makeCustomerStep(100)).has_value());
    BOOST_TEST(check(makeCustomerStep(1, 9'000)).has_value());
    BOOST_TEST(check(makeCustomerStep(3, 1'000, true)).has_value());
    BOOST_TEST(check(makeCustomerStep(3, 1'100, true)).has_value());
    const auto refused = check(makeCustomerStep(3, 1'101, true));
    BOOST_REQUIRE(!refused);
    BOOST_TEST((refused.error().m_kind == ErrorKind::InvalidInput));
    BOOST_TEST(canEverRun(makeCustomer("c", 0), 0, makeCustomerPlan({ makeCustomerStep(100, 1'000, true) }, jobA, "c")).has_value());
}

// Records of jobs without a customer must stay as earlier releases wrote them.
BOOST_AUTO_TEST_CASE(a_record_without_a_customer_is_unchanged)
{
    CustomerFixture fixture({ makeCustomer("c", 2'000) });
    fixture.adoptWorker("w1");
    accept(fixture, { makeCustomerStep(1) }, jobA, "");
    BOOST_TEST(fixture.startAll() == 1U);
    // The array of five elements, of which the last is the queue's limit of failures.
    const std::string record = recordsOf(fixture)[jobA];
    BOOST_TEST(static_cast<unsigned char>(record.front()) == 0x85);
    BOOST_TEST(record.back() == 3);
}
