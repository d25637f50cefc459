/** @file relay_fixture.h A leader whose peers forward its orders to workers. */
#pragma once

#include <boost/test/unit_test.hpp>

#include "fake_store.h"
#include "process/cell/cell_func.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_codec.h"

#include <map>
#include <optional>
#include <set>

namespace bulrushloft::test {

using namespace cell;

inline constexpr int workerCount = 40;
inline constexpr Duration relayStep { 10 };

inline PeerMember makeMember(const std::string& name, std::uint16_t port)
{
    return { .m_name = name, .m_address = { "127.0.0.1", port }, .m_instance = 1, .m_strength = 50 };
}

inline ClusterSettings makeCluster()
{
    return { .m_version = 1, .m_queues = { { .m_name = "q", .m_host = "h", .m_pathPrefix = "/q/", .m_pool = "pool", .m_priority = 0, .m_failureLimit = 3, .m_slackFactor = 2, .m_latencyTarget = { 1'000 }, .m_timeout = { 3'000 }, .m_approval = {} } }, .m_pools = { { .m_name = "pool" } } };
}

/** A leader with two peers that forward its orders to workers; the workers answer at once, the peers report at once. */
struct RelayFixture {
    FakeStore m_store;
    std::vector<PeerMember> m_peers;
    Duration m_heartbeatInterval; ///< Interval between the heartbeats of each peer.
    std::string m_silentPeer; ///< Peer that has ended: it neither answers nor reports.
    std::string m_mutePeer; ///< Peer that acknowledges messages and carries out orders, but whose reports never arrive.
    std::string m_blindPeer; ///< Peer that reaches no worker: it reports each order as not sent.
    std::string m_refusingPeer; ///< Peer that takes no orders.
    std::string m_slowPeer; ///< Peer that carries out orders and reports them, but acknowledges each message too late.
    bool m_doTasksEnd = false; ///< Tasks end as done as soon as they start; otherwise workers list nothing.
    Duration m_reportDelay; ///< Time from an order to its report.
    Duration m_suspended; ///< Time that the leader has spent in suspensions.
    bool m_areClaimsSilent = false; ///< The topic of claims answers nothing.
    std::size_t m_unconfirmedOrders = 0; ///< Orders that left while the leadership awaited confirmation.
    std::map<std::string, std::uint32_t> m_starts; ///< Starts that reached a worker, by job.
    std::map<std::string, std::set<std::uint32_t>> m_attempts; ///< Attempts that a worker started, by job.
    std::map<std::string, std::vector<EndedAttempt>> m_ends; ///< Ends that have not been acknowledged, by worker.
    std::multimap<TimePoint, std::function<void()>> m_delayed; ///< Deliveries by time.
    std::vector<std::function<void()>> m_answers; ///< Answers that are delivered at the next step.
    std::unique_ptr<CellNode> m_node;
    TimePoint m_now { 10'000 };
    std::uint64_t m_lastEnd = 0; ///< Number of the latest end; workers number their ends in one sequence.

    explicit RelayFixture(std::uint16_t peers = 2, Duration heartbeatInterval = relayStep)
        : m_heartbeatInterval(heartbeatInterval)
    {
        constexpr std::uint16_t firstPort = 11;
        for (std::uint16_t i = 0; i < peers; ++i)
            m_peers.push_back(makeMember("peer-" + std::to_string(i + 1), static_cast<std::uint16_t>(firstPort + i)));
        write("op", "config", "1");
        for (int i = 0; i < workerCount; ++i)
            write("workers", "w" + std::to_string(i), "ready");
        CellOptions options;
        options.m_self = makeMember("leader", 1);
        options.m_topics = { .m_operator = "op", .m_workers = "workers" };
        options.m_relayMinWorkers = 1;
        CellDecoders decoders;
        decoders.m_operator = [](const std::string&, const std::string&) -> OperatorRecord { return makeCluster(); };
        decoders.m_worker = [](const std::string& id, const std::string&) { return std::optional(WorkerAnnouncement { .m_id = id, .m_pool = "pool", .m_address = { "127.0.0.1", 9 }, .m_zone = "a", .m_machine = {}, .m_capacity = { .m_cpuMilli = 1'000, .m_memoryMb = 1'000, .m_gpus = 0 }, .m_labels = {} }); };
        m_node = makeCell(std::move(options), makePorts(), std::move(decoders), m_now, {});
        m_node->m_lastBootTime = m_now;
        run({ 3'000 });
        BOOST_REQUIRE(m_node->m_role == Role::Leading);
    }

    void write(const std::string& topic, const std::string& key, const std::string& value)
    {
        m_store.append({ .m_partition = { .m_topic = topic }, .m_records = { { .m_key = key, .m_value = value } }, .m_writer = {}, .m_expectedEnd = {} });
    }

    CellPorts makePorts()
    {
        CellPorts ports;
        const auto deliverLater = [this](auto onAnswer, auto answer) { m_answers.push_back([onAnswer, answer] { onAnswer(answer); }); };
        ports.m_append = [this, deliverLater](const StoreAppend& append, Duration, const std::function<void(StoreAppendAnswer)>& onAnswer) { deliverLater(onAnswer, m_store.append(append)); };
        ports.m_read = [this, deliverLater](const StoreRead& read, Duration, const std::function<void(StoreReadAnswer)>& onAnswer) { deliverLater(onAnswer, m_store.read(read)); };
        ports.m_readNewest = [this, deliverLater](const StoreNewestRead& newest, Duration, const std::function<void(StoreNewestAnswer)>& onAnswer) {
            const bool isSilent = m_areClaimsSilent && newest.m_partition.m_topic == CellTopics {}.m_leader;
            deliverLater(onAnswer, isSilent ? StoreNewestAnswer { .m_status = StoreStatus::Unknown } : m_store.newest(newest));
        };
        ports.m_sync = [this](const AddressedOrder<SyncOrder>&, Duration, const std::function<void(OrderStatus, const SyncReport&)>& onAnswer) {
            m_answers.push_back([this, onAnswer] { onAnswer(OrderStatus::Done, { .m_clockMs = m_now.m_ms, .m_processStartMs = 1, .m_running = {}, .m_ended = {} }); });
        };
        ports.m_callPeer = [this, deliverLater](const Address& to, const PeerMessage& message, Duration, const std::function<void(std::optional<PeerReply>)>& onReply) {
            const auto peer = std::find_if(m_peers.begin(), m_peers.end(), [&](const PeerMember& each) { return each.m_address == to; });
            if (peer->m_name == m_silentPeer)
                return deliverLater(onReply, std::optional<PeerReply>());
            const auto* const orders = std::get_if<PeerOrders>(&message);
            if (orders && peer->m_name == m_refusingPeer)
                return deliverLater(onReply, std::optional<PeerReply>(PeerAck { .m_isAccepted = false }));
            if (orders)
                forward(*orders, *peer);
            constexpr Duration callTimeout { 700 };
            if (peer->m_name == m_slowPeer && std::holds_alternative<PeerOrders>(message))
                m_delayed.emplace(m_now + callTimeout, [onReply] { onReply(std::nullopt); });
            else
                deliverLater(onReply, std::optional<PeerReply>(PeerAck { .m_isAccepted = true }));
        };
        return ports;
    }

    /** Carries out an order at its worker. @return The worker's report. */
    OrderReport execute(const RelayedOrder& order)
    {
        OrderReport report { .m_number = order.m_number, .m_status = OrderStatus::Done, .m_sync = { .m_clockMs = m_now.m_ms, .m_processStartMs = 1, .m_running = {}, .m_ended = {} } };
        std::vector<EndedAttempt>& ends = m_ends[order.m_to.m_worker];
        if (const auto* const start = std::get_if<StartOrder>(&order.m_order)) {
            ++m_starts[start->m_task.m_job];
            if (m_attempts[start->m_task.m_job].insert(start->m_attempt).second && m_doTasksEnd)
                ends.push_back({ .m_number = ++m_lastEnd, .m_task = start->m_task, .m_attempt = start->m_attempt, .m_end = AttemptEnd::Done, .m_checkpoint = {} });
        }
        if (const auto* const sync = std::get_if<SyncOrder>(&order.m_order)) {
            std::erase_if(ends, [&](const EndedAttempt& end) { return end.m_number <= sync->m_ackedEndNumber; });
            report.m_sync.m_ended = ends;
        }
        return report;
    }

    /** Carries out orders; the reports are delivered unless the peer ends before, or is mute. */
    void forward(const PeerOrders& message, const PeerMember& peer)
    {
        m_unconfirmedOrders += m_node->m_isAwaitingConfirmation ? message.m_orders.size() : 0;
        PeerReports reports { .m_token = m_node->m_term, .m_reports = {} };
        for (const RelayedOrder& order : message.m_orders)
            reports.m_reports.push_back(peer.m_name == m_blindPeer ? OrderReport { .m_number = order.m_number, .m_status = OrderStatus::NotSent } : execute(order));
        if (peer.m_name == m_mutePeer)
            return;
        const auto deliver = [this, reports, hadSilentPeer = !m_silentPeer.empty()] {
            if (m_silentPeer.empty() || hadSilentPeer)
                onPeerMessage(*m_node, reports, [](const PeerReply&) { /* Not of interest. */ });
        };
        if (m_reportDelay.m_ms > 0)
            m_delayed.emplace(m_now + m_reportDelay, deliver);
        else
            m_answers.emplace_back(deliver);
    }

    void deliverDelayed()
    {
        while (!m_delayed.empty() && m_delayed.begin()->first <= m_now) {
            const auto delivery = m_delayed.extract(m_delayed.begin());
            delivery.mapped()();
        }
    }

    void run(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end;) {
            m_now = m_now + relayStep;
            m_node->m_now = m_now;
            for (const auto& answer : std::exchange(m_answers, {}))
                answer();
            deliverDelayed();
            for (const PeerMember& peer : m_peers) {
                const bool isDue = (m_now.m_ms + peer.m_address.m_port * relayStep.m_ms) % m_heartbeatInterval.m_ms == 0;
                if (isDue && peer.m_name != m_silentPeer)
                    onPeerMessage(*m_node, PeerHeartbeat { .m_from = peer, .m_leader = m_node->m_leader, .m_configVersion = 1, .m_membersVersion = 0, .m_isStoreReached = true }, [](const PeerReply&) { /* Not of interest. */ });
            }
            stepCell(*m_node, m_now, m_now + m_suspended);
        }
    }

    void submit(const std::string& id)
    {
        const StepPlan step { .m_count = 1, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1, .m_gpus = 0 }, .m_estimatedRunTime = { 500 } };
        JobPlan plan { .m_id = id, .m_queue = "q", .m_policy = { .m_pool = "pool" }, .m_payload = "p", .m_steps = { step }, .m_firstStart = {}, .m_period = {}, .m_occurrenceCount = 0, .m_submittedAt = m_now };
        scheduler::acceptAndRecord(*m_node->m_scheduler, plan, encodePlan(plan), m_now);
    }

    /** @return The job of a start that is collected for a peer and has not left. */
    std::optional<std::string> findCollectedStart() const
    {
        for (const auto& [name, outbox] : m_node->m_relay.m_outboxes) {
            for (const RelayedOrder& order : outbox.m_orders) {
                if (const auto* const start = std::get_if<StartOrder>(&order.m_order))
                    return start->m_task.m_job;
            }
        }
        return std::nullopt;
    }

    std::size_t countWorkers(scheduler::WorkerState state) const
    {
        const auto& workers = m_node->m_scheduler->m_workers;
        return static_cast<std::size_t>(std::count_if(workers.begin(), workers.end(), [&](const scheduler::Worker& worker) { return worker.m_state == state; }));
    }
};

} // namespace bulrushloft::test
