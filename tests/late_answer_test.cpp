/** @file late_answer_test.cpp Answers that come late are not taken for newer ones, and missing ones are not taken as proof. */
#define BOOST_TEST_MODULE late_answer
#include <boost/test/unit_test.hpp>

#include "fakes/answer_fixture.h"
#include "fakes/relay_fixture.h"

using namespace bulrushloft;
using namespace bulrushloft::scheduler;
using namespace bulrushloft::test;

// The announcement says that the process is a new one; a report of the former process that comes afterwards confirms it again.
BOOST_AUTO_TEST_CASE(a_late_report_of_a_former_process_does_not_confirm_the_process)
{
    AnswerFixture fixture;
    fixture.adopt("w");
    fixture.submit(firstJob, makeStep());
    fixture.run({ 50 });
    fixture.answerStarts();
    fixture.run({ 100 });
    fixture.answerSync("w", { .m_ended = { makeEnd(1, taskOf(firstJob), 1, AttemptEnd::Done) } });
    fixture.submit(secondJob, makeStep());
    fixture.run({ 50 }); // The first end is acknowledged with this sync, which the first process answers; the report is late.
    BOOST_REQUIRE(fixture.worker("w").m_ackedEndNumber == 1U);
    BOOST_REQUIRE(fixture.worker("w").m_isSyncPending);
    const TimePoint lateSentAt = fixture.worker("w").m_syncSentAt;
    fixture.announce("w", secondProcess); // The worker has restarted.
    fixture.answerSync("w", {}, OrderStatus::Unreported);
    fixture.m_syncs.clear();
    fixture.run({ 50 });
    BOOST_REQUIRE(!fixture.m_syncs.empty());
    BOOST_TEST(fixture.m_syncs.front().second.m_ackedEndNumber == 0U); // As it should be.
    fixture.answerStarts(); // By the second process, where the task ends as done with number 1.
    fixture.answerSync("w", { .m_processStartMs = firstProcess }, OrderStatus::Done, lateSentAt);
    fixture.answerSync("w", {}, OrderStatus::Unreported);
    fixture.m_syncs.clear();
    fixture.run({ 500 });
    BOOST_REQUIRE(!fixture.m_syncs.empty());
    const std::uint64_t acknowledged = fixture.m_syncs.front().second.m_ackedEndNumber;
    BOOST_TEST(acknowledged == 0U); // 1 deletes the second process's end 1, which nobody has read.
    SyncReport report { .m_processStartMs = secondProcess };
    if (acknowledged == 0)
        report.m_ended = { makeEnd(1, taskOf(secondJob), 1, AttemptEnd::Done) };
    fixture.m_starts.clear();
    fixture.answerSync("w", report);
    fixture.run({ 200 });
    BOOST_TEST(fixture.m_starts.empty()); // The task has ended as done.
}

// The answer to a start says nothing about the progress of other tasks.
BOOST_AUTO_TEST_CASE(a_task_is_not_stalled_because_the_worker_answered_another_start)
{
    AnswerFixture fixture;
    fixture.adopt("w");
    fixture.submit(firstJob, makeStep());
    fixture.run({ 50 });
    fixture.answerStarts();
    fixture.answerSync("w", {}, OrderStatus::Unreported);
    fixture.run({ 50 });
    fixture.answerSync("w", { .m_running = { { .m_task = taskOf(firstJob), .m_attempt = 1, .m_checkpoint = {}, .m_percent = 10 } } });
    fixture.run({ 1'900 }); // The report on the next sync is late.
    fixture.submit(secondJob, makeStep());
    fixture.run({ 50 });
    fixture.answerStarts();
    fixture.run({ 400 });
    BOOST_TEST(fixture.m_stops.empty());
}

// Two reports that were made at nearly the same time and arrive two seconds apart show no lack of progress.
BOOST_AUTO_TEST_CASE(a_task_is_not_stalled_because_a_report_came_late)
{
    AnswerFixture fixture;
    fixture.adopt("w");
    fixture.submit(firstJob, makeStep());
    fixture.run({ 50 });
    fixture.answerStarts();
    fixture.answerSync("w", {}, OrderStatus::Unreported);
    fixture.run({ 50 });
    const SyncReport report { .m_clockMs = fixture.m_now.m_ms, .m_running = { { .m_task = taskOf(firstJob), .m_attempt = 1, .m_checkpoint = {}, .m_percent = 10 } } };
    fixture.answerSync("w", report);
    fixture.run({ 2'000 });
    SyncReport next = report;
    next.m_clockMs += 20; // Made 20 ms later.
    fixture.answerSync("w", next);
    fixture.run({ 400 });
    BOOST_TEST(fixture.m_stops.empty());
}

// An end as done that comes while a later attempt runs is ignored and acknowledged; the task starts a third time when that attempt fails.
BOOST_AUTO_TEST_CASE(a_task_that_has_ended_as_done_is_not_started_again_after_a_later_attempt)
{
    AnswerFixture fixture;
    fixture.adopt("w1");
    fixture.submit(firstJob, makeStep());
    fixture.run({ 50 });
    fixture.answerStarts();
    detail::markTasksLost(fixture.m_scheduler, 0, "its lease has run out", fixture.m_now);
    fixture.worker("w1").m_state = WorkerState::Gone;
    fixture.adopt("w2");
    fixture.run({ 200 });
    BOOST_REQUIRE(!fixture.m_starts.empty());
    BOOST_REQUIRE(fixture.m_starts.front().m_to.m_worker == "w2");
    fixture.answerStarts();
    fixture.answerSync("w1", { .m_ended = { makeEnd(1, taskOf(firstJob), 1, AttemptEnd::Done) } });
    fixture.run({ 100 });
    fixture.answerSync("w2", { .m_ended = { makeEnd(1, taskOf(firstJob), 2, AttemptEnd::Stopped) } });
    fixture.run({ 300 });
    BOOST_TEST(fixture.m_starts.empty());
}

// A gang ends as done together, and one such end represents all of them; a late one is ignored and acknowledged.
BOOST_AUTO_TEST_CASE(a_gang_whose_end_as_done_comes_late_does_not_run_again)
{
    AnswerFixture fixture;
    fixture.adopt("w1");
    StepPlan step = makeStep(2);
    step.m_isGang = true;
    fixture.submit(firstJob, step);
    fixture.run({ 50 });
    BOOST_REQUIRE(fixture.m_starts.size() == 2U);
    fixture.answerStarts();
    detail::markTasksLost(fixture.m_scheduler, 0, "its lease has run out", fixture.m_now);
    fixture.worker("w1").m_state = WorkerState::Gone;
    fixture.answerSync("w1", { .m_ended = { makeEnd(1, taskOf(firstJob, 0), 1, AttemptEnd::Done), makeEnd(2, taskOf(firstJob, 1), 1, AttemptEnd::Done) } });
    fixture.run({ 300 });
    BOOST_TEST(fixture.m_starts.empty());
    BOOST_TEST((findStage(fixture.m_scheduler, firstJob) == JobStage::Complete));
}

// Orders that a peer refused to forward never reached a worker, and say nothing about it.
BOOST_AUTO_TEST_CASE(orders_that_a_peer_refuses_do_not_count_against_workers)
{
    RelayFixture fixture;
    const auto callPeer = fixture.m_node->m_ports.m_callPeer;
    bool doesRefuse = true;
    fixture.m_node->m_ports.m_callPeer = [&](const Address& to, const PeerMessage& message, Duration timeout, const std::function<void(std::optional<PeerReply>)>& onReply) {
        if (doesRefuse && std::holds_alternative<PeerOrders>(message))
            fixture.m_answers.push_back([onReply] { onReply(PeerReply(PeerAck { .m_isAccepted = false })); });
        else
            callPeer(to, message, timeout, onReply);
    };
    fixture.run({ 3'300 }); // The syncs of idle workers become due. A peer refuses for 0.3 s after each suspension.
    BOOST_TEST(fixture.countWorkers(WorkerState::Adopted) == static_cast<std::size_t>(workerCount));
    fixture.run({ 8'000 });
    BOOST_TEST(fixture.countWorkers(WorkerState::Gone) == 0U);
}

namespace {

/** Reports come three seconds late; what they say is determined by the case. */
struct SlowPeers {
    RelayFixture m_fixture;
    std::function<void(const RelayedOrder&, OrderReport&)> m_decide; ///< Sets the status of a report.
    int m_starts = 0; ///< Starts that reached a worker.

    explicit SlowPeers(Duration delay)
    {
        const auto callPeer = m_fixture.m_node->m_ports.m_callPeer;
        m_fixture.m_node->m_ports.m_callPeer = [this, callPeer, delay](const Address& to, const PeerMessage& message, Duration timeout, const std::function<void(std::optional<PeerReply>)>& onReply) {
            const auto* const orders = std::get_if<PeerOrders>(&message);
            if (!orders)
                return callPeer(to, message, timeout, onReply);
            PeerReports reports { .m_token = m_fixture.m_node->m_term, .m_reports = {} };
            for (const RelayedOrder& order : orders->m_orders) {
                m_starts += std::holds_alternative<StartOrder>(order.m_order) ? 1 : 0;
                reports.m_reports.push_back(m_fixture.execute(order));
                m_decide(order, reports.m_reports.back());
            }
            m_fixture.m_answers.push_back([onReply] { onReply(PeerReply(PeerAck { .m_isAccepted = true })); });
            m_fixture.m_delayed.emplace(m_fixture.m_now + delay, [this, reports] { cell::onPeerMessage(*m_fixture.m_node, reports, [](const PeerReply&) { /* Not of interest. */ }); });
        };
    }
};

} // namespace

// Peers report, late, that no worker answers any more; the leader drops that and extends the leases for ever.
BOOST_AUTO_TEST_CASE(workers_that_have_ended_are_noticed_though_reports_are_late)
{
    SlowPeers peers({ 3'000 });
    peers.m_decide = [](const RelayedOrder&, OrderReport& report) { report.m_status = OrderStatus::NoAnswer; };
    peers.m_fixture.m_node->m_ports.m_sync = [&](const AddressedOrder<SyncOrder>&, Duration, const std::function<void(OrderStatus, const SyncReport&)>& onAnswer) {
        peers.m_fixture.m_answers.push_back([onAnswer] { onAnswer(OrderStatus::NoAnswer, {}); }); // The leader reaches them no more than its peers do.
    };
    peers.m_fixture.run({ 40'000 });
    BOOST_TEST(peers.m_fixture.countWorkers(WorkerState::Gone) > 0U);
}

// A start that the worker refuses is repeated for ever if the report on the refusal is late.
BOOST_AUTO_TEST_CASE(a_refusal_that_is_reported_late_is_used)
{
    SlowPeers peers({ 1'500 });
    peers.m_decide = [](const RelayedOrder& order, OrderReport& report) {
        if (std::holds_alternative<StartOrder>(order.m_order))
            report.m_status = OrderStatus::InsufficientCapacity;
    };
    peers.m_fixture.submit("0000000000000010");
    peers.m_fixture.run({ 20'000 });
    const auto& task = peers.m_fixture.m_node->m_scheduler->m_jobs.at("0000000000000010")->m_runs.front()->m_tasks.front();
    BOOST_TEST(task.m_attempt > 1U);
}
