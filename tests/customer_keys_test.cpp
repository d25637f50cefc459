/** @file customer_keys_test.cpp A VM that checks the keys of calls while its configuration changes. */
#define BOOST_TEST_MODULE customer_keys
#include <boost/test/unit_test.hpp>

#include "connection/peer_codec.h"
#include "fakes/keys_fixture.h"
#include "fakes/one_vm_cell.h"
#include "process/cell/cell_metrics.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
using namespace bulrushloft::test;

BOOST_FIXTURE_TEST_CASE(calls_without_a_valid_key_are_refused_unless_the_queue_is_anonymous, KeysFixture)
{
    writeConfig(1, { "k1" });
    run({ 3'000 });
    for (const ClientVerb verb : { ClientVerb::Submit, ClientVerb::Query, ClientVerb::Cancel }) {
        BOOST_TEST(isRefused(call("k2", "/a/", verb), ClientStatus::UnknownKey));
        BOOST_TEST(isRefused(call("", "/a/", verb), ClientStatus::UnknownKey));
        BOOST_TEST(!isRefused(call("", "/open/", verb), ClientStatus::UnknownKey));
        BOOST_TEST(!isRefused(call("k1", "/a/", verb), ClientStatus::UnknownKey));
    }
    BOOST_TEST(isRefused(call("k1", "/none/"), ClientStatus::NoSuchQueue));
}

// Guards against a deployment without customers that asks for keys.
BOOST_FIXTURE_TEST_CASE(a_configuration_without_customers_needs_no_keys, KeysFixture)
{
    writeText(R"({"version":1,"routes":[{"name":"a","host":"h","path_prefix":"/a/","service":"s"}],"services":[{"name":"s"}]})");
    run({ 3'000 });
    BOOST_TEST(isAccepted(call("")));
    BOOST_TEST(m_submitted.back().m_customer.empty());
}

BOOST_FIXTURE_TEST_CASE(a_submission_names_the_customer_of_its_key, KeysFixture)
{
    writeConfig(1, { "k1", "k2" });
    run({ 3'000 });
    BOOST_REQUIRE(isAccepted(call("k2")));
    BOOST_TEST(m_submitted.back().m_customer == "customer-k2");
    BOOST_REQUIRE(isAccepted(call("k1", "/open/")));
    BOOST_TEST(m_submitted.back().m_customer == "customer-k1");
    BOOST_REQUIRE(isAccepted(call("k3", "/open/")));
    BOOST_TEST(m_submitted.back().m_customer.empty());
}

// Guards against keys of a former configuration that stay in the index.
BOOST_FIXTURE_TEST_CASE(a_new_configuration_replaces_the_keys, KeysFixture)
{
    writeConfig(1, { "k1" });
    run({ 3'000 });
    writeConfig(2, { "k2" });
    run({ 3'000 });
    BOOST_TEST(isRefused(call("k1"), ClientStatus::UnknownKey));
    BOOST_TEST(isAccepted(call("k2")));
}

namespace {

/** A VM with version 1 in force, whose key k1 is valid. */
struct RunningFixture : KeysFixture {
    RunningFixture()
    {
        m_leaderVersion = 1;
        m_leaderAge = Duration { 100 };
        m_memberAge = m_leaderAge;
        writeConfig(1, { "k1" });
        run({ 3'000 });
        BOOST_REQUIRE(isAccepted(call("k1")));
    }

    /** Calls in steps of 100 ms. @return The time until the first refusal; empty if none was refused. */
    std::optional<Duration> timeUntilRefusal(const std::string& key, Duration limit)
    {
        for (const TimePoint start = m_now; m_now - start < limit; run({ 100 })) {
            const auto reply = call(key);
            if (*reply && (*reply)->m_status != ClientStatus::Accepted)
                return m_now - start;
        }
        return std::nullopt;
    }

    bool isCurrent() const { return isConfigCurrent(m_node->m_configFreshness, revocation, m_node->m_lastBootTime); }
};

} // namespace

// Guards against a removed key that is accepted for as long as a VM does not reach the store, while the leader's answers keep coming.
BOOST_FIXTURE_TEST_CASE(a_removed_key_is_refused_in_time_on_a_vm_without_the_store, RunningFixture)
{
    m_doesStoreAnswer = false;
    BOOST_TEST(!timeUntilRefusal("k1", { 12'000 })); // The leader's evidence suffices.
    writeConfig(2, { "k2" });
    m_leaderVersion = 2; // The VM can't get the text of version 2.
    const auto refusedAfter = timeUntilRefusal("k1", { 12'000 });
    BOOST_REQUIRE(refusedAfter.has_value());
    BOOST_TEST(refusedAfter->m_ms <= revocation.m_ms);
    BOOST_TEST(isRefused(call("k1"), ClientStatus::NotDone));
    BOOST_TEST(isRefused(call("k2"), ClientStatus::NotDone)); // Not unknown: it may have been added.
    BOOST_TEST((*call("k1"))->m_retryAfter.m_ms > 0);
    m_doesStoreAnswer = true;
    run({ 1'500 });
    BOOST_TEST(isRefused(call("k1"), ClientStatus::UnknownKey));
    BOOST_TEST(isAccepted(call("k2")));
}

// Guards against evidence that does not end on a VM that is cut off from everything, and against one that is not accepted again.
BOOST_FIXTURE_TEST_CASE(a_vm_without_store_and_peers_refuses_and_recovers_with_the_first_evidence, RunningFixture)
{
    m_doesStoreAnswer = false;
    m_doesLeaderAnswer = false;
    const auto refusedAfter = timeUntilRefusal("k1", { 12'000 });
    BOOST_REQUIRE(refusedAfter.has_value());
    BOOST_TEST(refusedAfter->m_ms <= revocation.m_ms);
    BOOST_TEST(refusedAfter->m_ms >= 3'500); // It must not refuse much earlier than needed either.
    BOOST_TEST(!isRefused(call("", "/open/"), ClientStatus::NotDone)); // No key is needed there.
    m_doesLeaderAnswer = true;
    run({ 600 });
    BOOST_TEST(isAccepted(call("k1")));
}

// Guards against a VM without store and leader that refuses although another member has evidence.
BOOST_FIXTURE_TEST_CASE(other_members_are_asked_without_store_and_leader, RunningFixture)
{
    BOOST_TEST(m_memberCalls == 0);
    m_doesStoreAnswer = false;
    m_doesLeaderAnswer = false;
    m_doesMemberAnswer = true;
    for (int i = 0; i < 120; ++i) {
        run({ 100 });
        BOOST_TEST_REQUIRE(isCurrent());
    }
    BOOST_TEST(m_memberCalls > 0);
    m_memberAge = revocation; // The member's own evidence is old.
    run(revocation);
    BOOST_TEST(!isCurrent());
}

// Guards against a VM without the store that relies on a leader which answers heartbeats, but is cut off from the store as well.
BOOST_FIXTURE_TEST_CASE(other_members_are_asked_when_the_leader_has_no_evidence, RunningFixture)
{
    m_doesStoreAnswer = false;
    m_leaderAge.reset();
    m_doesMemberAnswer = true;
    for (int i = 0; i < 120; ++i) {
        run({ 100 });
        BOOST_TEST_REQUIRE(isCurrent());
    }
    BOOST_TEST(m_memberCalls > 0);
}

// The same for a leader, which sends no heartbeats.
BOOST_AUTO_TEST_CASE(a_leader_without_the_operators_topic_asks_members)
{
    OneVmCell cell;
    CellNode& leader = *cell.m_node;
    leader.m_options.m_keyRevocation = KeysFixture::revocation;
    leader.m_decoders.m_operator = [](const std::string&, const std::string&) -> OperatorRecord {
        ClusterSettings settings = makeCluster();
        settings.m_requiresKeys = true;
        return settings;
    };
    cell.stepUntilLeading();
    const PeerMember member { .m_name = "member", .m_address = { "127.0.0.1", 3 }, .m_instance = 1, .m_strength = 9 };
    leader.m_peers["member"].m_member = member;
    leader.m_ports.m_callPeer = [&](const Address&, const PeerMessage&, Duration, const std::function<void(std::optional<PeerReply>)>& onReply) {
        cell.deliver(onReply, std::optional<PeerReply>(PeerHeartbeatAnswer { .m_from = member, .m_leader = leader.m_leader, .m_isStoreReached = true, .m_configVersion = 1, .m_configAge = Duration { 100 } }));
    };
    const auto isCurrent = [&] { return isConfigCurrent(leader.m_configFreshness, KeysFixture::revocation, leader.m_lastBootTime); };
    cell.m_silentPartitions.insert({ .m_topic = "op" });
    for (int i = 0; i < 1'200; ++i) {
        leader.m_peers["member"].m_lastContactAt = leader.m_now; // By heartbeats of the member, so that the leader has no other reason to call it.
        cell.step();
        BOOST_TEST_REQUIRE(isCurrent());
    }
    leader.m_ports.m_callPeer = [&](const Address&, const PeerMessage&, Duration, const std::function<void(std::optional<PeerReply>)>& onReply) { cell.deliver(onReply, std::optional<PeerReply>()); };
    cell.step(500);
    BOOST_TEST(!isCurrent());
}

// Guards against a read from before a suspension whose answer, on its arrival after it, counts as new.
BOOST_FIXTURE_TEST_CASE(a_read_from_before_a_suspension_does_not_count_after_it, RunningFixture)
{
    m_doesLeaderAnswer = false;
    m_storeDelay = { 500 };
    run({ 1'200 });
    m_suspended = { 8'000 };
    for (const TimePoint start = m_now; m_now - start < m_storeDelay;) {
        run(stepLength);
        BOOST_TEST_REQUIRE(!isCurrent());
    }
    run({ 1'500 });
    BOOST_TEST(isCurrent());
}

// The monotonic clock stands still in a suspension, so that evidence on it would look new afterwards.
BOOST_FIXTURE_TEST_CASE(a_suspended_vm_refuses_until_it_has_new_evidence, RunningFixture)
{
    m_answerDelay = { 200 };
    run({ 1'000 });
    writeConfig(2, { "k2" });
    m_suspended = { 8'000 };
    BOOST_TEST(isRefused(call("k1"), ClientStatus::NotDone)); // Before any step.
    run({ 1'000 });
    BOOST_TEST(isRefused(call("k1"), ClientStatus::UnknownKey));
    BOOST_TEST(isAccepted(call("k2")));
}

// An answer to a question from before the suspension says nothing about the time after it.
BOOST_FIXTURE_TEST_CASE(answers_to_questions_from_before_a_suspension_do_not_count_after_it, RunningFixture)
{
    m_doesStoreAnswer = false;
    m_answerDelay = { 600 };
    run({ 1'000 });
    m_leaderAge = Duration {};
    m_suspended = { 8'000 };
    for (const TimePoint start = m_now; m_now - start < m_answerDelay; run(stepLength))
        BOOST_TEST_REQUIRE((!isCurrent() || m_now == start)); // Before the first step, the clock of the node is that of before the suspension.
    run({ 1'500 });
    BOOST_TEST(isCurrent());
}

// Guards against a removed key that stays valid because the record that removes it can't be decoded.
BOOST_FIXTURE_TEST_CASE(a_configuration_that_can_not_be_decoded_ends_the_evidence, RunningFixture)
{
    for (const char* text : { "{", "[]", R"({"version":2})", R"({"version":2,"routes":[],"services":[],"tenants":{"k2":1}})" }) {
        writeText(text);
        run({ 1'500 });
        BOOST_TEST(isRefused(call("k1"), ClientStatus::NotDone), text);
        run({ 8'000 });
        BOOST_TEST(isRefused(call("k1"), ClientStatus::NotDone), text);
        writeConfig(1, { "k1" }); // The version in force again.
        run({ 1'500 });
        BOOST_TEST(isAccepted(call("k1")), text);
    }
    append("op", "wave/1", "{"); // No configuration.
    append("op", "other", "x");
    run({ 1'500 });
    BOOST_TEST(isAccepted(call("k1")));
}

// A listing after an outage must not leave the VM without evidence once a read has reached the end.
BOOST_FIXTURE_TEST_CASE(a_listing_and_the_read_after_it_are_evidence, RunningFixture)
{
    m_doesLeaderAnswer = false;
    m_doesStoreAnswer = false;
    run({ 9'000 });
    BOOST_TEST(!isCurrent());
    m_doesStoreAnswer = true;
    run({ 1'500 });
    BOOST_TEST(isCurrent());
}

BOOST_FIXTURE_TEST_CASE(heartbeats_name_the_age_of_the_configuration, RunningFixture)
{
    std::optional<Duration> age;
    onPeerMessage(*m_node, PeerHeartbeat { .m_from = m_member, .m_leader = m_node->m_leader, .m_configVersion = 1, .m_membersVersion = 0, .m_isStoreReached = true }, [&](const PeerReply& reply) { age = std::get<PeerHeartbeatAnswer>(reply).m_configAge; });
    BOOST_REQUIRE(age.has_value());
    BOOST_TEST(age->m_ms <= 100);
    constexpr std::size_t maxBytes = 3; // An integer of up to 65,535, see docs/CAPACITY.md.
    const PeerHeartbeatAnswer without { .m_from = m_member };
    PeerHeartbeatAnswer with = without;
    with.m_configAge = Duration { 4'800 };
    BOOST_TEST(encodePeerReply(with).size() == encodePeerReply(without).size() + maxBytes);
}

// Guards against a changed answer, and refusals, in a deployment without the limit.
BOOST_AUTO_TEST_CASE(without_the_limit_the_age_is_neither_checked_nor_named)
{
    KeysFixture fixture(std::nullopt);
    fixture.m_leaderVersion = 1;
    fixture.writeConfig(1, { "k1" });
    fixture.run({ 3'000 });
    std::optional<Duration> age;
    onPeerMessage(*fixture.m_node, PeerHeartbeat { .m_from = fixture.m_member, .m_leader = fixture.m_node->m_leader, .m_configVersion = 1, .m_membersVersion = 0, .m_isStoreReached = true }, [&](const PeerReply& reply) { age = std::get<PeerHeartbeatAnswer>(reply).m_configAge; });
    BOOST_TEST(!age.has_value());
    fixture.m_doesStoreAnswer = false;
    fixture.run({ 30'000 });
    BOOST_TEST(fixture.isAccepted(fixture.call("k1")));
    BOOST_TEST(fixture.m_memberCalls == 0);
}

// Guards against new log lines and metrics in a deployment without customers.
BOOST_AUTO_TEST_CASE(without_customers_no_refusals_are_counted)
{
    KeysFixture fixture(std::nullopt);
    fixture.call("");
    fixture.writeText(R"({"version":1,"routes":[],"services":[]})");
    fixture.run({ 3'000 });
    BOOST_TEST(KeysFixture::isRefused(fixture.call(""), ClientStatus::NoSuchQueue));
    BOOST_TEST(fixture.m_node->m_callRefusals.m_byCustomer.empty());
    BOOST_TEST(renderMetrics(*fixture.m_node, {}).find("bulrush_calls_refused_total") == std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(refusals_are_counted_by_customer_and_cause, RunningFixture)
{
    call("nobody");
    call("");
    call("");
    m_suspended = { 8'000 };
    call("k1");
    const auto& counts = m_node->m_callRefusals.m_byCustomer;
    BOOST_TEST(counts.at("-").at("unknown-key") == 1U);
    BOOST_TEST(counts.at("-").at("no-key") == 2U);
    BOOST_TEST(counts.at("customer-k1").at("configuration-not-current") == 1U);
    const std::string metrics = renderMetrics(*m_node, {});
    BOOST_TEST(metrics.find(R"(bulrush_calls_refused_total{customer="customer-k1",cause="configuration-not-current"} 1)") != std::string::npos);
    BOOST_TEST(metrics.find("nobody") == std::string::npos); // A key.
}

// Guards against memory and log lines that grow with the number of customers and calls.
BOOST_AUTO_TEST_CASE(counts_of_refusals_are_bounded)
{
    CallRefusals refusals;
    for (int i = 0; i < 200; ++i)
        noteRefusedCall(refusals, { .m_customer = "customer-" + std::to_string(i), .m_cause = "cause", .m_queue = "q" }, { 500 });
    BOOST_TEST(refusals.m_byCustomer.size() == 50U);
    BOOST_TEST(refusals.m_ofOthers.at("cause") == 150U);
    BOOST_TEST(refusals.m_unlogged == 180U);
}
