/** @file config_fetch_test.cpp Large configurations reach VMs behind slow links while the store refuses these. */
#define BOOST_TEST_MODULE config_fetch
#include <boost/test/unit_test.hpp>

#include "fakes/fake_store.h"
#include "process/cell/cell_func.h"
#include "process/cell/leader_codec.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
using bulrushloft::test::FakeStore;

namespace {

constexpr Duration stepLength { 10 };
constexpr std::size_t configBytes = 250'000;
constexpr Duration configApplyLimit { 3'000 }; ///< Time in which a configuration has to be in force on each VM that can be reached.

PeerMember makeMember(const std::string& name, std::uint16_t port, int strength)
{
    return { .m_name = name, .m_address = { "127.0.0.1", port }, .m_instance = 1, .m_strength = strength };
}

std::string makeConfig(std::uint64_t version)
{
    return std::to_string(version) + std::string(configBytes, ' ');
}

/** The receiving side of a VM's link: transfers take turns, and one that does not end within its timeout has used the link in vain. */
struct SlowLink {
    double m_bytesPerMs = 0;
    TimePoint m_busyUntil;

    /** @return When the answer has arrived; empty when the call times out before. */
    std::optional<TimePoint> transfer(std::size_t bytes, Duration timeout, TimePoint now)
    {
        const TimePoint startsAt = std::max(m_busyUntil, now);
        const TimePoint endsAt = startsAt + Duration { static_cast<std::int64_t>(static_cast<double>(bytes) / m_bytesPerMs) };
        if (endsAt - now <= timeout) {
            m_busyUntil = endsAt;
            return endsAt;
        }
        m_busyUntil = std::max(startsAt, std::min(endsAt, now + timeout));
        return std::nullopt;
    }
};

/** A follower behind a slow link; the test case plays the leader, which has the newest configuration. */
struct SlowFollowerFixture {
    FakeStore m_store;
    SlowLink m_link;
    PeerMember m_leader = makeMember("leader", 1, 50);
    bool m_doesStoreAnswer = true; ///< Whether the store serves the follower.
    std::uint64_t m_version = 1; ///< Newest version that the operator has written.
    int m_claims = 0; ///< Claims that the follower has appended.
    std::unique_ptr<CellNode> m_node;
    TimePoint m_now { 10'000 };

    explicit SlowFollowerFixture(double linkMbps)
        : m_link { .m_bytesPerMs = linkMbps * 1'000 / 8, .m_busyUntil = {} }
    {
        write(1);
        m_store.append({ .m_partition = { .m_topic = "keyed.leader" }, .m_records = { { .m_key = claimKey, .m_value = encodeClaim(m_leader) } }, .m_writer = {}, .m_expectedEnd = {} });
        CellOptions options;
        options.m_self = makeMember("self", 2, 9);
        options.m_topics = { .m_operator = "op", .m_workers = "workers" };
        CellDecoders decoders;
        decoders.m_operator = [](const std::string&, const std::string& text) -> OperatorRecord { return ClusterSettings { .m_version = std::stoull(text) }; };
        m_node = makeCell(std::move(options), makePorts(), std::move(decoders), m_now, {});
        m_node->m_lastBootTime = m_now;
        run({ 3'000 });
        BOOST_REQUIRE(versionInForce() == 1U);
    }

    void write(std::uint64_t version)
    {
        m_version = version;
        m_store.append({ .m_partition = { .m_topic = "op" }, .m_records = { { .m_key = "config", .m_value = makeConfig(version) } }, .m_writer = {}, .m_expectedEnd = {} });
    }

    std::uint64_t versionInForce() const { return m_node->m_cluster ? m_node->m_cluster->m_version : 0; }

    /** Delivers an answer over the slow link. */
    template <typename Callback, typename Answer>
    void deliver(std::size_t bytes, Duration timeout, const Callback& onAnswer, const Answer& answer, const Answer& failure)
    {
        const auto arrivesAt = m_link.transfer(bytes, timeout, m_now);
        m_node->m_deferredCalls.push_back({ arrivesAt.value_or(m_now + timeout), [onAnswer, result = arrivesAt ? answer : failure] { onAnswer(result); } });
    }

    static std::size_t sizeOf(const std::vector<KeyedRecord>& records)
    {
        std::size_t bytes = 100;
        for (const KeyedRecord& record : records)
            bytes += record.m_value.size();
        return bytes;
    }

    CellPorts makePorts()
    {
        CellPorts ports;
        ports.m_append = [this](const StoreAppend& append, Duration timeout, const std::function<void(StoreAppendAnswer)>& onAnswer) {
            m_claims += append.m_partition.m_topic == "keyed.leader" ? 1 : 0;
            deliver(100, timeout, onAnswer, m_store.append(append), StoreAppendAnswer { .m_status = StoreStatus::Unknown });
        };
        ports.m_read = [this](const StoreRead& read, Duration timeout, const std::function<void(StoreReadAnswer)>& onAnswer) {
            const StoreReadAnswer refusal { .m_status = StoreStatus::NotDone };
            const StoreReadAnswer answer = m_doesStoreAnswer ? m_store.read(read) : refusal;
            deliver(sizeOf(answer.m_records), timeout, onAnswer, answer, refusal);
        };
        ports.m_readNewest = [this](const StoreNewestRead& newest, Duration timeout, const std::function<void(StoreNewestAnswer)>& onAnswer) {
            const StoreNewestAnswer refusal { .m_status = StoreStatus::NotDone };
            const StoreNewestAnswer answer = m_doesStoreAnswer ? m_store.newest(newest) : refusal;
            deliver(sizeOf(answer.m_records) * 4 / 3, timeout, onAnswer, answer, refusal); // The listing is in base64.
        };
        ports.m_callPeer = [this](const Address&, const PeerMessage& message, Duration timeout, const std::function<void(std::optional<PeerReply>)>& onReply) {
            const PeerReply answer = answerOfLeader(message);
            const auto* const config = std::get_if<PeerConfigAnswer>(&answer);
            deliver(100 + (config ? config->m_text.size() : 0), timeout, onReply, std::optional<PeerReply>(answer), std::optional<PeerReply>());
        };
        return ports;
    }

    PeerReply answerOfLeader(const PeerMessage& message) const
    {
        if (std::holds_alternative<PeerConfigRequest>(message))
            return PeerConfigAnswer { .m_text = "config\n" + makeConfig(m_version) };
        return PeerHeartbeatAnswer { .m_from = m_leader, .m_leader = { .m_token = 1, .m_member = m_leader }, .m_isLeading = true, .m_isLeaving = false, .m_isStoreReached = true, .m_configVersion = m_version };
    }

    void run(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end;) {
            m_now = m_now + stepLength;
            stepCell(*m_node, m_now, m_now);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_vm_that_the_store_refuses_fetches_a_large_configuration_from_a_peer)
{
    for (const double linkMbps : { 10.0, 4.0, 2.0 }) {
        SlowFollowerFixture fixture(linkMbps);
        fixture.m_doesStoreAnswer = false;
        fixture.run({ 2'000 });
        fixture.write(2);
        fixture.run(configApplyLimit);
        BOOST_TEST(fixture.versionInForce() == 2U, "link of " << linkMbps << " Mbit/s");
        BOOST_TEST(fixture.m_claims == 0);
    }
}

// On a day on which the store refused a third of the VMs and the configuration grew to 1,950 queues, ten VMs behind 10 Mbit/s
// never caught up: each read of the history and each heartbeat with the configuration timed out, and three of them claimed the leadership.
BOOST_AUTO_TEST_CASE(a_vm_behind_a_slow_link_catches_up_after_several_large_configurations)
{
    for (const double linkMbps : { 10.0, 4.0, 2.0 }) {
        SlowFollowerFixture fixture(linkMbps);
        fixture.m_doesStoreAnswer = false;
        fixture.run({ 2'000 });
        for (std::uint64_t version = 2; version <= 5; ++version) {
            fixture.write(version);
            fixture.run({ 400 });
        }
        fixture.m_doesStoreAnswer = true;
        fixture.run(configApplyLimit);
        BOOST_TEST(fixture.versionInForce() == 5U, "link of " << linkMbps << " Mbit/s");
        BOOST_TEST(fixture.m_claims == 0);
    }
}

BOOST_AUTO_TEST_CASE(configurations_in_quick_succession_are_each_in_force_in_time_and_never_revert)
{
    SlowFollowerFixture fixture(10);
    std::uint64_t lastInForce = 1;
    for (std::uint64_t version = 2; version <= 20; ++version) {
        fixture.write(version);
        for (int step = 0; step < 50; ++step) {
            fixture.run(stepLength);
            BOOST_TEST_REQUIRE(fixture.versionInForce() >= lastInForce);
            lastInForce = fixture.versionInForce();
        }
        BOOST_TEST(fixture.versionInForce() + 3 >= version); // Three seconds at two versions a second would be six.
    }
    fixture.run(configApplyLimit);
    BOOST_TEST(fixture.versionInForce() == 20U);
}
