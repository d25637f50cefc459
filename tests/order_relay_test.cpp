/** @file order_relay_test.cpp A leader whose peers forward its orders and request approvals, when a peer fails and when peers call rarely. */
#define BOOST_TEST_MODULE order_relay
#include <boost/test/unit_test.hpp>

#include "fakes/relay_fixture.h"
#include "process/scheduler/order_health.h"

#include <optional>

using namespace bulrushloft;
using namespace bulrushloft::cell;
using bulrushloft::test::RelayFixture;
using bulrushloft::test::relayStep;
using bulrushloft::test::workerCount;

// Without further orders only the missing heartbeats tell that the peer has ended.
BOOST_AUTO_TEST_CASE(orders_of_a_peer_that_is_not_heard_of_are_repeated_through_another_one)
{
    RelayFixture fixture;
    const std::string relay = fixture.m_node->m_relay.m_peers.front();
    fixture.submit("0000000000000010");
    while (fixture.m_starts.empty())
        fixture.run(relayStep);
    fixture.m_silentPeer = relay;
    fixture.run({ 1'200 });
    BOOST_TEST((fixture.m_node->m_scheduler->m_jobs.at("0000000000000010")->m_runs.front()->m_tasks.front().m_phase == scheduler::RunPhase::Running));
    BOOST_TEST(fixture.countWorkers(scheduler::WorkerState::Silent) == 0U);
}

// When a VM that forwarded orders ended, its 370 workers got no tasks for up to 2 s: its syncs and starts were waited for until
// their timeouts, and the workers counted as silent.
BOOST_AUTO_TEST_CASE(orders_of_a_peer_that_has_ended_are_repeated_through_another_one_at_once)
{
    RelayFixture fixture;
    BOOST_TEST(fixture.countWorkers(scheduler::WorkerState::Adopted) == static_cast<std::size_t>(workerCount));
    const std::string relay = fixture.m_node->m_relay.m_peers.front();
    for (int i = 0; i < workerCount / 2; ++i)
        fixture.submit("00000000000000" + std::to_string(10 + i));
    while (fixture.m_starts.empty()) // Until the peer has forwarded starts; their reports are not delivered yet.
        fixture.run(relayStep);
    fixture.m_silentPeer = relay;
    fixture.submit("0000000000000099"); // Its start is the first order that the peer does not take.
    fixture.run({ 300 });
    BOOST_TEST(fixture.countWorkers(scheduler::WorkerState::Silent) == 0U);
    for (const auto& [id, job] : fixture.m_node->m_scheduler->m_jobs)
        BOOST_TEST((job->m_runs.front()->m_tasks.front().m_phase == scheduler::RunPhase::Running), id);
}

// A peer that acknowledged orders after more than 0.7 s counted as ended, though its heartbeats came. Its hundreds of orders were repeated
// through other peers, which made those slow as well.
BOOST_AUTO_TEST_CASE(a_peer_that_acknowledges_orders_late_keeps_forwarding)
{
    RelayFixture fixture(3);
    const std::string relay = fixture.m_node->m_relay.m_peers.front();
    fixture.m_slowPeer = relay;
    fixture.m_doTasksEnd = true;
    fixture.submit("0000000000000010");
    fixture.run({ 3'000 });
    BOOST_TEST(fixture.m_node->m_relay.m_peers.front() == relay);
    BOOST_TEST(fixture.m_node->m_peers.at(relay).m_failedAt.m_ms == 0);
}

// Acknowledgements and heartbeats of a peer stood for its reports: the workers behind it got no more tasks, and were never called another way.
BOOST_AUTO_TEST_CASE(a_peer_whose_reports_never_arrive_forwards_no_more_orders)
{
    RelayFixture fixture;
    fixture.m_mutePeer = fixture.m_node->m_relay.m_peers.front();
    fixture.m_doTasksEnd = true;
    fixture.submit("0000000000000010");
    fixture.run({ 8'000 });
    const auto& relays = fixture.m_node->m_relay.m_peers;
    BOOST_TEST((std::find(relays.begin(), relays.end(), fixture.m_mutePeer) == relays.end()));
    BOOST_TEST((fixture.m_node->m_scheduler->m_jobs.at("0000000000000010")->m_stage == scheduler::JobStage::Complete));
    BOOST_TEST(fixture.m_attempts["0000000000000010"].size() == 1U);
}

// Reports of a peer stood for its way to the workers: 40 of 40 workers behind a peer that reached none counted as silent.
BOOST_AUTO_TEST_CASE(a_peer_that_reaches_no_worker_forwards_no_more_orders)
{
    RelayFixture fixture;
    fixture.m_doTasksEnd = true;
    fixture.m_blindPeer = fixture.m_node->m_relay.m_peers.front();
    fixture.run({ 8'000 });
    BOOST_TEST(fixture.countWorkers(scheduler::WorkerState::Adopted) == static_cast<std::size_t>(workerCount));
}

// What a peer did not take was counted against the workers: 20 of 40 counted as not reached by orders.
BOOST_AUTO_TEST_CASE(orders_that_a_peer_does_not_take_say_nothing_of_workers)
{
    RelayFixture fixture;
    for (int i = 0; i < workerCount / 2; ++i)
        fixture.submit("00000000000000" + std::to_string(10 + i));
    fixture.m_refusingPeer = fixture.m_node->m_relay.m_peers.front();
    for (int i = 0; i < 60; ++i) {
        fixture.run(relayStep);
        const auto& workers = fixture.m_node->m_scheduler->m_workers;
        BOOST_TEST(std::none_of(workers.begin(), workers.end(), [&](const scheduler::Worker& worker) { return scheduler::detail::areOrdersFailing(worker, fixture.m_now); }));
        if (i == 30)
            fixture.m_refusingPeer.clear();
    }
}

// Approvals were requested through the 40 peers with frequent heartbeats only; at 38 requests under way on the mean, steps waited for a free one.
BOOST_AUTO_TEST_CASE(peers_that_call_rarely_request_approvals_too)
{
    constexpr std::uint16_t peers = 100;
    RelayFixture fixture(peers, slowTiming.m_interval);
    fixture.run({ 2'000 });
    BOOST_TEST(fixture.m_node->m_scheduler->m_approvalProxies.size() == peers + 1U); // The leader itself is one of them.
    fixture.m_silentPeer = "peer-7";
    fixture.run({ 4'500 });
    BOOST_TEST(fixture.m_node->m_scheduler->m_approvalProxies.size() == static_cast<std::size_t>(peers));
}

// Orders are collected for up to 40 ms. Those that a leader had collected before its hold on the term came into doubt left all the same, and renewed leases without evidence.
BOOST_AUTO_TEST_CASE(collected_orders_do_not_leave_while_the_leadership_awaits_confirmation)
{
    RelayFixture fixture;
    fixture.m_doTasksEnd = true;
    std::optional<std::string> job;
    for (int i = 10; !job && i < 10 + workerCount; ++i) { // A start leaves at once unless its peer was sent a message shortly before.
        fixture.submit("00000000000000" + std::to_string(i));
        fixture.run(relayStep);
        job = fixture.findCollectedStart();
    }
    BOOST_REQUIRE(job.has_value());
    const std::size_t startsBefore = fixture.m_starts.size();
    fixture.m_areClaimsSilent = true;
    fixture.m_suspended = { 1'200 }; // Another daemon may lead by now.
    fixture.run({ 300 });
    BOOST_TEST(fixture.m_node->m_isAwaitingConfirmation);
    BOOST_TEST(fixture.m_unconfirmedOrders == 0U);
    BOOST_TEST(fixture.m_starts.size() == startsBefore);
    fixture.m_areClaimsSilent = false;
    fixture.run({ 1'500 });
    BOOST_TEST(!fixture.m_node->m_isAwaitingConfirmation);
    BOOST_TEST(fixture.m_starts[*job] == 1U);
    BOOST_TEST((fixture.m_node->m_scheduler->m_jobs.at(*job)->m_stage == scheduler::JobStage::Complete));
    BOOST_TEST(fixture.countWorkers(scheduler::WorkerState::Silent) == 0U);
}
