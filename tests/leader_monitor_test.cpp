/** @file leader_monitor_test.cpp When a follower suspects that the leader has failed. */
#define BOOST_TEST_MODULE leader_monitor
#include <boost/test/unit_test.hpp>

#include "fakes/fake_store.h"
#include "process/cell/cell_func.h"
#include "process/cell/leader_choice.h"
#include "process/cell/leader_codec.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
using bulrushloft::test::FakeStore;

namespace {

constexpr HeartbeatTiming fastTiming { .m_interval = { 250 }, .m_suspectAfter = { 900 } };
constexpr Duration stepLength { 10 };

PeerMember makeMember(const std::string& name, std::uint16_t port, int strength)
{
    return { .m_name = name, .m_address = { "127.0.0.1", port }, .m_instance = 1, .m_strength = strength };
}

/** A follower whose leader and peers are played by the test case; the store answers at once. */
struct FollowerFixture {
    FakeStore m_store;
    PeerMember m_leader = makeMember("leader", 1, 50);
    bool m_doesLeaderAnswer = true; ///< Whether heartbeats reach the leader.
    bool m_doPeersReachLeader = false; ///< Whether the peers report that the leader has just answered them.
    int m_claims = 0; ///< Claims that the follower has appended.
    std::vector<std::function<void()>> m_answers; ///< Answers that are delivered at the next step.
    std::unique_ptr<CellNode> m_node;
    TimePoint m_now { 10'000 };

    FollowerFixture()
    {
        m_store.append({ .m_partition = { .m_topic = "op" }, .m_records = { { .m_key = "config", .m_value = "1" } }, .m_writer = {}, .m_expectedEnd = {} });
        m_store.append({ .m_partition = { .m_topic = "keyed.leader" }, .m_records = { { .m_key = claimKey, .m_value = encodeClaim(m_leader) } }, .m_writer = {}, .m_expectedEnd = {} });
        CellOptions options;
        options.m_self = makeMember("self", 2, 20);
        options.m_seeds = { { "127.0.0.1", 11 }, { "127.0.0.1", 12 }, { "127.0.0.1", 13 } };
        options.m_topics = { .m_operator = "op", .m_workers = "workers" };
        CellDecoders decoders;
        decoders.m_operator = [](const std::string&, const std::string&) -> OperatorRecord { return ClusterSettings { .m_version = 1 }; };
        m_node = makeCell(std::move(options), makePorts(), std::move(decoders), m_now, {});
        m_node->m_lastBootTime = m_now;
        run({ 500 });
        BOOST_REQUIRE(m_node->m_leader.m_token == 1U);
    }

    CellPorts makePorts()
    {
        CellPorts ports;
        const auto deliverLater = [this](auto onAnswer, auto answer) { m_answers.push_back([onAnswer, answer] { onAnswer(answer); }); };
        ports.m_append = [this, deliverLater](const StoreAppend& append, Duration, const std::function<void(StoreAppendAnswer)>& onAnswer) {
            m_claims += append.m_partition.m_topic == "keyed.leader" ? 1 : 0;
            deliverLater(onAnswer, m_store.append(append));
        };
        ports.m_read = [this, deliverLater](const StoreRead& read, Duration, const std::function<void(StoreReadAnswer)>& onAnswer) { deliverLater(onAnswer, m_store.read(read)); };
        ports.m_readNewest = [this, deliverLater](const StoreNewestRead& newest, Duration, const std::function<void(StoreNewestAnswer)>& onAnswer) { deliverLater(onAnswer, m_store.newest(newest)); };
        ports.m_callPeer = [this, deliverLater](const Address& to, const PeerMessage&, Duration, const std::function<void(std::optional<PeerReply>)>& onReply) {
            if (to != m_leader.m_address)
                return deliverLater(onReply, std::optional<PeerReply>(answerOfPeer(to)));
            if (m_doesLeaderAnswer)
                deliverLater(onReply, std::optional<PeerReply>(PeerHeartbeatAnswer { .m_from = m_leader, .m_leader = { .m_token = 1, .m_member = m_leader }, .m_isLeading = true, .m_isLeaving = false, .m_isStoreReached = true }));
            else
                m_node->m_deferredCalls.push_back({ m_now + Duration { 700 }, [onReply] { onReply(std::nullopt); } });
        };
        return ports;
    }

    PeerReply answerOfPeer(const Address& address) const
    {
        PeerHeartbeatAnswer answer { .m_from = makeMember("seed-" + std::to_string(address.m_port), address.m_port, 20), .m_leader = { .m_token = 1, .m_member = m_leader }, .m_isLeading = false, .m_isLeaving = false, .m_isStoreReached = true };
        if (m_doPeersReachLeader)
            answer.m_leaderAnswerAge = Duration { 50 };
        return answer;
    }

    void run(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end;) {
            m_now = m_now + stepLength;
            m_node->m_now = m_now;
            for (const auto& answer : std::exchange(m_answers, {}))
                answer();
            stepCell(*m_node, m_now, m_now);
        }
    }
};

} // namespace

// A daemon whose heartbeats were due rarely came under the short timeout, suspected the leader at once, and from then on
// called only the seeds: 3.8 s after a loss of VMs it replaced a strong leader that answered all others.
BOOST_AUTO_TEST_CASE(a_follower_whose_heartbeats_become_more_frequent_calls_the_leader_before_it_claims)
{
    FollowerFixture fixture;
    fixture.m_node->m_heartbeatTiming = slowTiming;
    fixture.m_node->m_seedIndex = 1;
    fixture.m_node->m_nextHeartbeatAt = fixture.m_now + Duration { 1'400 };
    fixture.run({ 8'000 });
    BOOST_TEST(fixture.m_claims == 0);
    BOOST_TEST(fixture.m_node->m_leader.m_token == 1U);
}

BOOST_AUTO_TEST_CASE(a_follower_that_alone_does_not_reach_the_leader_does_not_replace_it)
{
    FollowerFixture fixture;
    fixture.m_doesLeaderAnswer = false;
    fixture.m_doPeersReachLeader = true;
    fixture.run({ 8'000 });
    BOOST_TEST(fixture.m_claims == 0);
    fixture.m_doPeersReachLeader = false;
    fixture.run({ 3'000 });
    BOOST_TEST(fixture.m_claims == 1);
}

BOOST_AUTO_TEST_CASE(a_silent_leader_is_replaced_within_a_second_and_its_rank_delay)
{
    FollowerFixture fixture;
    fixture.m_doesLeaderAnswer = false;
    fixture.run({ 2'000 });
    BOOST_TEST(fixture.m_claims == 1);
}

BOOST_AUTO_TEST_CASE(only_unanswered_heartbeats_make_a_leader_silent)
{
    LeaderMonitor monitor;
    watchNewLeader(monitor, false, { 1'000 });
    BOOST_TEST(!isLeaderSilent(monitor, fastTiming, { 60'000 }));
    onHeartbeatSent(monitor, { 60'000 });
    BOOST_TEST(!isLeaderSilent(monitor, fastTiming, { 60'650 }));
    BOOST_TEST(isLeaderSilent(monitor, fastTiming, { 60'651 }));
    onLeaderSeenByPeer(monitor, { 60'500 });
    BOOST_TEST(!isLeaderSilent(monitor, fastTiming, { 61'100 }));
    BOOST_TEST(isLeaderUnreachable(monitor, fastTiming, { 61'100 }));
    onLeaderConfirmed(monitor, true, { 61'200 });
    BOOST_TEST(!isLeaderUnreachable(monitor, fastTiming, { 70'000 }));
}
