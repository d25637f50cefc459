/** @file keys_fixture.h A VM that follows a leader played by the test, and checks the keys of calls; the store and the leader can be taken away. */
#pragma once

#include <boost/test/unit_test.hpp>

#include "fakes/fake_store.h"
#include "platform/operator_codec.h"
#include "process/cell/cell_func.h"
#include "process/cell/leader_codec.h"
#include "request/plan_codec.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushloft::test {

using namespace cell;

/** A follower; the test plays the leader, which answers submissions, and a further member. */
struct KeysFixture {
    static constexpr Duration stepLength { 10 };
    static constexpr Duration revocation { 5'000 }; ///< A removed key must not be accepted for longer, counted from when the operator has stored its removal.

    FakeStore m_store;
    bool m_doesStoreAnswer = true;
    bool m_doesLeaderAnswer = true;
    bool m_doesMemberAnswer = false;
    std::optional<Duration> m_leaderAge; ///< How long ago the leader knew its configuration to be current; empty if it does not know that.
    std::optional<Duration> m_memberAge; ///< The same of the other member.
    std::uint64_t m_leaderVersion = 0; ///< Version of the leader's configuration.
    Duration m_storeDelay { 5 }; ///< Time that answers of the store take to arrive, after it has carried out the call.
    Duration m_answerDelay; ///< Time that answers of the leader take to arrive.
    Duration m_suspended; ///< Time that the VM has spent in suspensions.
    int m_memberCalls = 0; ///< Heartbeats that the other member got.
    std::vector<JobPlan> m_submitted; ///< Plans that the leader got.
    PeerMember m_leader { .m_name = "leader", .m_address = { "127.0.0.1", 1 }, .m_instance = 1, .m_strength = 50 };
    PeerMember m_member { .m_name = "member", .m_address = { "127.0.0.1", 3 }, .m_instance = 1, .m_strength = 9 };
    std::unique_ptr<CellNode> m_node;
    TimePoint m_now { 10'000 };

    explicit KeysFixture(std::optional<Duration> keyRevocation = revocation)
    {
        append("keyed.leader", claimKey, encodeClaim(m_leader));
        CellOptions options;
        options.m_self = { .m_name = "self", .m_address = { "127.0.0.1", 2 }, .m_instance = 1, .m_strength = 9 };
        options.m_topics = { .m_operator = "op", .m_workers = "workers" };
        options.m_keyRevocation = keyRevocation;
        CellDecoders decoders;
        decoders.m_operator = platform::decodeOperatorRecord;
        decoders.m_plan = [](const std::string&) -> Expected<JobPlan> {
            return JobPlan { .m_steps = { { .m_count = 1, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1, .m_gpus = 0 }, .m_estimatedRunTime = { 500 } } } };
        };
        m_node = makeCell(std::move(options), makePorts(), std::move(decoders), m_now, {});
        m_node->m_lastBootTime = m_now;
    }

    void append(const std::string& topic, const std::string& key, const std::string& value)
    {
        m_store.append({ .m_partition = { .m_topic = topic }, .m_records = { { .m_key = key, .m_value = value } }, .m_writer = {}, .m_expectedEnd = {} });
    }

    static std::string makeConfig(std::uint64_t version, const std::vector<std::string>& keys)
    {
        std::string customers;
        for (const std::string& key : keys)
            customers.append(customers.empty() ? "" : ",").append(R"({"name":"customer-)").append(key).append(R"(","api_keys":[")").append(key).append(R"("],"weight":1})");
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"a","host":"h","path_prefix":"/a/","service":"s"},{"name":"open","host":"h","path_prefix":"/open/","service":"s","anonymous":true}],"services":[{"name":"s"}],"tenants":[)" + customers + "]}";
    }

    void writeText(const std::string& text) { append("op", "config", text); }

    /** Stores a version whose customers have one key each; customers are named after their keys. */
    void writeConfig(std::uint64_t version, const std::vector<std::string>& keys) { writeText(makeConfig(version, keys)); }

    template <typename Callback, typename Answer>
    void deliver(Duration delay, const Callback& onAnswer, const Answer& answer)
    {
        m_node->m_deferredCalls.push_back({ m_now + delay, [onAnswer, answer] { onAnswer(answer); } });
    }

    CellPorts makePorts()
    {
        CellPorts ports;
        ports.m_append = [this](const StoreAppend& append, Duration, const std::function<void(StoreAppendAnswer)>& onAnswer) {
            const bool isClaim = append.m_partition.m_topic == "keyed.leader"; // The leader stays the leader.
            deliver(m_storeDelay, onAnswer, m_doesStoreAnswer && !isClaim ? m_store.append(append) : StoreAppendAnswer { .m_status = StoreStatus::NotDone });
        };
        ports.m_read = [this](const StoreRead& read, Duration, const std::function<void(StoreReadAnswer)>& onAnswer) {
            deliver(m_storeDelay, onAnswer, m_doesStoreAnswer ? m_store.read(read) : StoreReadAnswer { .m_status = StoreStatus::NotDone });
        };
        ports.m_readNewest = [this](const StoreNewestRead& newest, Duration, const std::function<void(StoreNewestAnswer)>& onAnswer) {
            deliver(m_storeDelay, onAnswer, m_doesStoreAnswer ? m_store.newest(newest) : StoreNewestAnswer { .m_status = StoreStatus::NotDone });
        };
        ports.m_callPeer = [this](const Address& address, const PeerMessage& message, Duration, const std::function<void(std::optional<PeerReply>)>& onReply) { deliver(m_answerDelay, onReply, answerOf(address, message)); };
        return ports;
    }

    std::optional<PeerReply> answerOf(const Address& address, const PeerMessage& message)
    {
        const bool isMember = address == m_member.m_address;
        const bool isHeartbeat = std::holds_alternative<PeerHeartbeat>(message);
        m_memberCalls += isMember && isHeartbeat ? 1 : 0;
        if (isMember ? !m_doesMemberAnswer : !m_doesLeaderAnswer)
            return std::nullopt;
        if (isHeartbeat)
            return PeerHeartbeatAnswer { .m_from = isMember ? m_member : m_leader, .m_leader = { .m_token = 1, .m_member = m_leader }, .m_isLeading = !isMember, .m_isLeaving = false, .m_isStoreReached = true, .m_configVersion = m_leaderVersion, .m_membersVersion = 1, .m_members = { m_member }, .m_configAge = isMember ? m_memberAge : m_leaderAge };
        if (const auto* const submission = std::get_if<PeerSubmit>(&message)) {
            m_submitted.push_back(*decodePlan(submission->m_plan));
            return PeerWriteAnswer { .m_outcome = WriteOutcome::Recorded };
        }
        return std::nullopt;
    }

    void run(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end;) {
            m_now = m_now + stepLength;
            stepCell(*m_node, m_now, m_now + m_suspended);
        }
    }

    /** @return The reply to a call; empty while there is none. Only submissions are waited for. */
    std::shared_ptr<std::optional<ClientReply>> call(const std::string& key, const std::string& prefix = "/a/", ClientVerb verb = ClientVerb::Submit)
    {
        auto reply = std::make_shared<std::optional<ClientReply>>();
        advanceTime(*m_node, m_now, m_now + m_suspended);
        const ClientCall request { .m_verb = verb, .m_host = "h", .m_path = prefix + "a000000000000000", .m_body = {}, .m_key = key, .m_arrivedAt = m_now, .m_deadline = m_now + Duration { 3'000 } };
        onClientCall(*m_node, request, [reply](const ClientReply& answer) { *reply = answer; });
        return reply;
    }

    /** @return Whether a call was refused at once with this status. */
    static bool isRefused(const std::shared_ptr<std::optional<ClientReply>>& reply, ClientStatus status)
    {
        return *reply && (*reply)->m_status == status;
    }

    /** Runs until the call is answered. */
    bool isAccepted(const std::shared_ptr<std::optional<ClientReply>>& reply)
    {
        for (const TimePoint end = m_now + Duration { 300 }; !*reply && m_now < end;)
            run(stepLength);
        return *reply && (*reply)->m_status == ClientStatus::Accepted;
    }
};

} // namespace bulrushloft::test
