/** @file wait_report_test.cpp What waiting steps wait for: each cause that is told apart, and the counts over all steps. */
#define BOOST_TEST_MODULE wait_report
#include <boost/test/unit_test.hpp>

#include "process/scheduler/approvals.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "process/scheduler/wait_report.h"
#include "table/scheduler_table.h"

using namespace bulrushloft;
using namespace bulrushloft::scheduler;

namespace {

constexpr Duration earlierRenewals { 3'000 }; ///< How long after the takeover leaders of earlier terms may renew leases.
constexpr const char* jobId = "00000000000000aa";

/** @return A step of one task whose workers all accept tasks, are approved and have room. */
StepWaitFacts makeFacts()
{
    return { .m_unplaced = 1, .m_workers = 4, .m_accepting = 4, .m_approved = 4, .m_ticketed = 4, .m_open = 4, .m_places = 4, .m_approvedOpen = 4 };
}

/** @return The same, with approvals required and none known. */
StepWaitFacts makeUnapproved()
{
    return { .m_needsApproval = true, .m_unplaced = 1, .m_workers = 4, .m_accepting = 4, .m_unapprovedOpen = 4 };
}

void checkCause(const StepWaitFacts& facts, WaitCause expected)
{
    BOOST_TEST(findName(waitCauseNames, waitCauseOf(facts)) == findName(waitCauseNames, expected));
}

/** A scheduler with one adopted worker and a job of one task; the queue asks for approvals if wanted. */
struct Fixture {
    Scheduler m_scheduler;
    TimePoint m_now { 1'000 };
    SchedulerEffects m_effects;

    explicit Fixture(bool needsApproval)
    {
        QueueSettings queue { .m_name = "q", .m_host = "h", .m_pathPrefix = "/q/", .m_pool = "pool", .m_priority = 0, .m_failureLimit = 3, .m_slackFactor = 2, .m_latencyTarget = { 1'000 }, .m_timeout = { 3'000 }, .m_approval = {} };
        if (needsApproval)
            queue.m_approval = ApprovalPolicy { .m_baseCallTimeMs = 10, .m_callTimePerWorkerMs = 1, .m_validity = { 2'000 } };
        setCluster(m_scheduler, { .m_version = 1, .m_queues = { queue }, .m_pools = { { .m_name = "pool" } } });
        updateWorker(m_scheduler, { .m_id = "w", .m_pool = "pool", .m_address = { "127.0.0.1", 9 }, .m_zone = "a", .m_machine = {}, .m_capacity = { .m_cpuMilli = 1'000, .m_memoryMb = 100, .m_gpus = 0 }, .m_labels = {} }, m_now);
        onSyncAnswer(m_scheduler, "w", OrderStatus::Done, { .m_clockMs = 5'000 }, m_now, m_now, m_effects);
        acceptJob(m_scheduler, makePlan(), m_now);
    }

    static JobPlan makePlan()
    {
        const StepPlan step { .m_count = 1, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 100, .m_gpus = 0 }, .m_estimatedRunTime = { 500 } };
        return { .m_id = jobId, .m_queue = "q", .m_policy = { .m_pool = "pool" }, .m_payload = "p", .m_steps = { step }, .m_firstStart = {}, .m_period = {}, .m_occurrenceCount = 0, .m_submittedAt = { 1'000 } };
    }

    void step(Duration elapsed)
    {
        m_now = m_now + elapsed;
        m_effects = {};
        scheduler::step(m_scheduler, m_now, m_effects);
    }

    /** Answers all open syncs, so that the worker does not count as silent. */
    void pass(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end;) {
            step({ 50 });
            if (!m_effects.m_syncs.empty())
                onSyncAnswer(m_scheduler, "w", OrderStatus::Done, { .m_clockMs = 4'000 + m_now.m_ms }, m_now, m_now, m_effects);
        }
    }

    std::uint32_t stepsWaitingFor(WaitCause cause) const { return m_scheduler.m_waitSummary.m_byCause[static_cast<std::size_t>(cause)]; }
};

} // namespace

BOOST_AUTO_TEST_CASE(an_attempt_waits_for_its_record_its_start_or_its_stop)
{
    StepWaitFacts facts = makeFacts();
    facts.m_phase = RunPhase::Recording;
    checkCause(facts, WaitCause::RecordNotDurable);
    facts.m_phase = RunPhase::Starting;
    checkCause(facts, WaitCause::StartUnconfirmed);
    facts.m_phase = RunPhase::Stopping;
    checkCause(facts, WaitCause::AttemptStopping);
}

BOOST_AUTO_TEST_CASE(an_attempt_waits_for_a_silent_worker)
{
    StepWaitFacts facts = makeFacts();
    facts.m_isWorkerSilent = true;
    for (const RunPhase phase : { RunPhase::Starting, RunPhase::Running, RunPhase::Stopping }) {
        facts.m_phase = phase;
        checkCause(facts, WaitCause::WorkerSilent);
    }
}

BOOST_AUTO_TEST_CASE(a_gang_waits_for_the_end_of_its_former_attempt)
{
    StepWaitFacts facts = makeFacts();
    facts.m_isGang = true;
    facts.m_activeAttempts = 1;
    checkCause(facts, WaitCause::GangEnding);
}

BOOST_AUTO_TEST_CASE(a_step_waits_for_workers)
{
    checkCause({ .m_unplaced = 1 }, WaitCause::NoWorker);
    checkCause({ .m_unplaced = 1, .m_workers = 3 }, WaitCause::WorkersNotAccepting);
}

BOOST_AUTO_TEST_CASE(a_step_waits_for_an_approval)
{
    StepWaitFacts facts = makeUnapproved();
    checkCause(facts, WaitCause::NoApprovedWorker);
    facts.m_approved = 2;
    facts.m_approvedOpen = 2;
    checkCause(facts, WaitCause::NoValidTicket);
    facts.m_isRequestDelayed = true;
    checkCause(facts, WaitCause::NoVmForRequest);
    facts.m_pendingRequests = 1;
    checkCause(facts, WaitCause::ApprovalUnanswered);
}

BOOST_AUTO_TEST_CASE(a_step_waits_for_room)
{
    StepWaitFacts facts = makeFacts();
    facts.m_approvedOpen = 0;
    facts.m_open = 0;
    facts.m_places = 0;
    checkCause(facts, WaitCause::NoRoom);
    facts.m_unapprovedOpen = 1;
    checkCause(facts, WaitCause::NoRoomOnApproved);
    facts.m_ticketed = 0; // A ticket for a worker without room would not help.
    checkCause(facts, WaitCause::NoRoomOnApproved);
}

// A step whose approved workers are all full was said to lack tickets, which it asks for only when there is room.
BOOST_AUTO_TEST_CASE(a_step_on_a_full_pool_waits_for_room_not_for_an_approval)
{
    StepWaitFacts facts = makeUnapproved();
    facts.m_unapprovedOpen = 0;
    facts.m_isRequestDelayed = true;
    checkCause(facts, WaitCause::NoRoom);
}

// The same with room that is reserved for other steps: no approval would open it.
BOOST_AUTO_TEST_CASE(a_step_waits_for_room_that_is_kept_for_others)
{
    StepWaitFacts facts = makeUnapproved();
    facts.m_unapprovedOpen = 0;
    facts.m_reserved = 2;
    checkCause(facts, WaitCause::Reserved);
    facts.m_held = 1;
    checkCause(facts, WaitCause::HeldForSuspect);
}

BOOST_AUTO_TEST_CASE(a_gang_waits_for_room_for_all_its_members)
{
    StepWaitFacts facts = makeFacts();
    facts.m_isGang = true;
    facts.m_unplaced = 5;
    checkCause(facts, WaitCause::GangShortOfRoom);
    facts.m_unplaced = 4;
    checkCause(facts, WaitCause::RoomAvailable);
}

BOOST_AUTO_TEST_CASE(a_suspect_waits_for_a_worker_of_its_own)
{
    StepWaitFacts facts = makeFacts();
    facts.m_isSuspect = true;
    checkCause(facts, WaitCause::SuspectNotIsolated);
}

BOOST_AUTO_TEST_CASE(a_start_whose_record_is_not_durable_is_counted)
{
    Fixture fixture(false);
    fixture.pass({ 1'000 });
    BOOST_TEST(fixture.m_scheduler.m_waitSummary.m_steps == 0U);
    fixture.pass({ 3'000 });
    BOOST_TEST(fixture.m_scheduler.m_waitSummary.m_steps == 1U);
    BOOST_TEST(fixture.stepsWaitingFor(WaitCause::RecordNotDurable) == 1U);
    BOOST_TEST(fixture.m_scheduler.m_waitSummary.m_oldest.m_ms > 2'000);
    const std::uint64_t batch = fixture.m_scheduler.m_nextBatch;
    takeRecords(fixture.m_scheduler);
    const RecordWait wait = findRecordWaits(fixture.m_scheduler, batch, fixture.m_now);
    BOOST_TEST(wait.m_starts == 1U);
    BOOST_TEST(wait.m_withoutTicket == 0U);
    BOOST_TEST(wait.m_longest.m_ms > 3'000);
    BOOST_TEST(findRecordWaits(fixture.m_scheduler, batch - 1, fixture.m_now).m_starts == 0U);
}

BOOST_AUTO_TEST_CASE(a_start_whose_ticket_expires_before_its_record_is_durable_is_counted)
{
    Fixture fixture(true);
    fixture.m_scheduler.m_approvalProxies = { { .m_member = "vm", .m_busyUntil = {} } };
    fixture.step({ 10 });
    BOOST_REQUIRE(fixture.m_effects.m_approvalRequests.size() == 1U);
    onApprovals(fixture.m_scheduler, fixture.m_effects.m_approvalRequests.front(), std::vector<Approval> { { .m_worker = "w", .m_ticket = "t" } }, fixture.m_now);
    fixture.step({ 10 });
    BOOST_REQUIRE(fixture.m_scheduler.m_recording.size() == 1U);
    const std::uint64_t batch = fixture.m_scheduler.m_nextBatch;
    BOOST_TEST(findRecordWaits(fixture.m_scheduler, batch, fixture.m_now + Duration { 500 }).m_starts == 1U);
    BOOST_TEST(findRecordWaits(fixture.m_scheduler, batch, fixture.m_now + Duration { 500 }).m_withoutTicket == 0U);
    BOOST_TEST(findRecordWaits(fixture.m_scheduler, batch, fixture.m_now + Duration { 1'900 }).m_withoutTicket == 1U);
}

BOOST_AUTO_TEST_CASE(a_step_without_a_vm_for_its_request_is_counted)
{
    Fixture fixture(true);
    fixture.pass({ 4'000 });
    BOOST_TEST(fixture.stepsWaitingFor(WaitCause::NoVmForRequest) == 1U);
}

BOOST_AUTO_TEST_CASE(a_task_on_a_worker_that_does_not_answer_a_new_leader_is_counted)
{
    Fixture former(false);
    former.step({ 10 });
    const std::vector<KeyedRecord> records = takeRecords(former.m_scheduler);
    Scheduler later;
    setCluster(later, { .m_version = 1, .m_queues = { { .m_name = "q", .m_host = "h", .m_pathPrefix = "/q/", .m_pool = "pool", .m_priority = 0, .m_failureLimit = 3, .m_slackFactor = 2, .m_latencyTarget = { 1'000 }, .m_timeout = { 3'000 }, .m_approval = {} } }, .m_pools = { { .m_name = "pool" } } });
    TimePoint now { 50'000 };
    acceptJob(later, Fixture::makePlan(), now);
    for (const KeyedRecord& record : records) {
        if (!record.m_key.starts_with(queueRecordPrefix))
            BOOST_REQUIRE(restoreProgress(later, record.m_key, record.m_value, now));
    }
    finishRestoring(later, now + earlierRenewals, now);
    const AdoptionState state = findAdoptionState(later);
    BOOST_TEST(state.m_new == 1U);
    BOOST_TEST(state.m_tasks == 1U);
    BOOST_TEST((state.m_leasesEndAt - now).m_ms > 9'000); // Longest lease and grace for a former leader.
    for (int i = 0; i < 80; ++i) {
        now = now + Duration { 50 };
        SchedulerEffects effects;
        scheduler::step(later, now, effects);
    }
    BOOST_TEST(later.m_waitSummary.m_byCause[static_cast<std::size_t>(WaitCause::WorkerSilent)] == 1U);
}
