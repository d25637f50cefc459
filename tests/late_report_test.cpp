/** @file late_report_test.cpp Reports on orders that come after the leader has stopped waiting for them. */
#define BOOST_TEST_MODULE late_report
#include <boost/test/unit_test.hpp>

#include "fakes/relay_fixture.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
namespace test = bulrushloft::test;
using bulrushloft::test::RelayFixture;
using bulrushloft::test::relayStep;
using bulrushloft::test::workerCount;

namespace {

constexpr const char* job = "0000000000000010";
constexpr Duration lateReportDelay { 3'000 }; ///< Longer than a leader waits for the report on a sync.

/** A daemon that forwards orders; its first messages to the leader fail. */
struct ForwardingPeer {
    int m_failuresLeft = 0; ///< Number of further messages of reports that fail.
    std::vector<std::uint64_t> m_reported; ///< Numbers of the orders whose reports have reached the leader.
    std::vector<std::function<void()>> m_answers; ///< Answers that are delivered at the next step.
    std::unique_ptr<CellNode> m_node;
    TimePoint m_now { 10'000 };

    ForwardingPeer()
    {
        CellOptions options;
        options.m_self = test::makeMember("peer", 1);
        options.m_topics = { .m_operator = "op", .m_workers = "workers" };
        CellPorts ports;
        ports.m_append = [](const StoreAppend&, Duration, const std::function<void(StoreAppendAnswer)>&) { /* Never answered. */ };
        ports.m_read = [](const StoreRead&, Duration, const std::function<void(StoreReadAnswer)>&) { /* Never answered. */ };
        ports.m_readNewest = [](const StoreNewestRead&, Duration, const std::function<void(StoreNewestAnswer)>&) { /* Never answered. */ };
        ports.m_stop = [this](const AddressedOrder<StopOrder>&, Duration, const std::function<void(OrderStatus)>& onAnswer) { m_answers.push_back([onAnswer] { onAnswer(OrderStatus::Done); }); };
        ports.m_callPeer = [this](const Address&, const PeerMessage& message, Duration, const std::function<void(std::optional<PeerReply>)>& onReply) {
            if (const auto* const reports = std::get_if<PeerReports>(&message))
                m_answers.push_back([this, reports = *reports, onReply] { onReply(take(reports)); });
        };
        m_node = makeCell(std::move(options), std::move(ports), {}, m_now, {});
        m_node->m_lastBootTime = m_now;
    }

    std::optional<PeerReply> take(const PeerReports& message)
    {
        if (m_failuresLeft > 0 && m_failuresLeft-- > 0)
            return std::nullopt;
        for (const OrderReport& report : message.m_reports)
            m_reported.push_back(report.m_number);
        return PeerAck { .m_isAccepted = true };
    }

    void forward(std::uint64_t number) const
    {
        const PeerOrders orders { .m_from = test::makeMember("leader", 2), .m_orders = { { .m_number = number, .m_to = { .m_worker = "w", .m_address = { "127.0.0.1", 9 }, .m_token = 1 }, .m_timeout = { 500 }, .m_order = StopOrder { .m_task = { .m_job = job }, .m_attempt = 1 } } } };
        onPeerMessage(*m_node, orders, [](const PeerReply&) { /* Not of interest. */ });
    }

    void run(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end;) {
            m_now = m_now + relayStep;
            m_node->m_now = m_now;
            for (const auto& answer : std::exchange(m_answers, {}))
                answer();
            stepCell(*m_node, m_now, m_now);
        }
    }
};

} // namespace

// Reports were discarded when they came after the timeout: the leader took healthy workers for gone and ran finished tasks again (TWICE 839).
BOOST_AUTO_TEST_CASE(a_task_whose_end_is_reported_late_is_not_started_again)
{
    RelayFixture fixture;
    fixture.m_doTasksEnd = true;
    fixture.m_reportDelay = lateReportDelay;
    fixture.submit(job);
    fixture.run({ 9'000 }); // Longer than the lease of a worker that does not answer.
    fixture.m_reportDelay = {};
    fixture.run({ 6'000 });
    BOOST_TEST(fixture.m_attempts[job].size() == 1U);
    BOOST_TEST((fixture.m_node->m_scheduler->m_jobs.at(job)->m_stage == scheduler::JobStage::Complete));
}

// The same reports, for workers without tasks: they would get none for as long as the reports are late.
BOOST_AUTO_TEST_CASE(workers_whose_reports_are_late_do_not_count_as_silent)
{
    RelayFixture fixture;
    fixture.m_reportDelay = lateReportDelay;
    fixture.run({ 20'000 });
    BOOST_TEST(fixture.countWorkers(scheduler::WorkerState::Adopted) == static_cast<std::size_t>(workerCount));
}

// A message of reports that did not reach a busy leader was dropped; its orders were given up and repeated, which kept the leader busy.
BOOST_AUTO_TEST_CASE(reports_that_did_not_reach_the_leader_are_sent_again)
{
    ForwardingPeer peer;
    peer.m_failuresLeft = 3;
    peer.forward(7);
    peer.run({ 500 });
    peer.forward(8);
    peer.run({ 1'500 });
    BOOST_TEST(peer.m_reported == (std::vector<std::uint64_t> { 7, 8 }), boost::test_tools::per_element());
}

// A leader that has ended never takes its reports; they must not be kept for ever.
BOOST_AUTO_TEST_CASE(reports_for_a_leader_that_has_ended_are_dropped)
{
    ForwardingPeer peer;
    peer.m_failuresLeft = 1'000'000;
    peer.forward(7);
    peer.run({ 30'000 });
    BOOST_TEST(peer.m_node->m_relay.m_reports.empty());
}

// A slow peer forwarded starts of a leader that had been replaced. Workers refused them, except for those that had restarted meanwhile.
BOOST_AUTO_TEST_CASE(orders_of_a_former_term_are_not_forwarded)
{
    ForwardingPeer peer;
    const PeerMember successor = test::makeMember("successor", 3);
    onPeerMessage(*peer.m_node, PeerHeartbeat { .m_from = successor, .m_leader = { .m_token = 2, .m_member = successor }, .m_configVersion = 1, .m_membersVersion = 0, .m_isStoreReached = true }, [](const PeerReply&) { /* Not of interest. */ });
    peer.forward(7); // Its token is 1.
    peer.run({ 500 });
    BOOST_TEST(peer.m_reported.empty());
}
