/** @file cell_relay.cpp Orders of a leader of many workers, passed on by peers; and what a peer does with them. */
#include "core/hash_func.h"
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/cell/leader_choice.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration ordersInterval { 40 }; ///< Least time between messages of a lane, in which orders are collected.
    constexpr Duration reportsInterval { 20 };
    constexpr Duration laneForgottenAfter { 10'000 };
    constexpr std::size_t fullLane = 128;
    constexpr Duration passTimeout { 700 };
    constexpr Duration reportMargin { 500 }; ///< For the way to the peer and back, beyond an order's own timeout.
    constexpr Duration expiryInterval { 50 };
    constexpr std::size_t workersPerRelay = 500;
    constexpr Duration thawPause { 300 }; ///< A peer that was suspended drops what had come meanwhile: the orders are old.

    void endOrder(CellNode& node, std::uint64_t number, OrderStatus status, const SyncReport& report)
    {
        const auto found = node.m_relay.m_open.find(number);
        if (found == node.m_relay.m_open.end())
            return;
        const auto onAnswer = std::move(found->second.m_onAnswer);
        node.m_relay.m_open.erase(found);
        onAnswer(status, report);
    }

    void sendLane(CellNode& node, const std::string& name, RelayLane& lane)
    {
        PeerOrders message { .m_from = node.m_options.m_self, .m_orders = std::exchange(lane.m_orders, {}) };
        std::vector<std::uint64_t> numbers;
        numbers.reserve(message.m_orders.size());
        for (const RelayedOrder& order : message.m_orders)
            numbers.push_back(order.m_number);
        const auto peer = node.m_peers.find(name);
        if (peer == node.m_peers.end()) {
            for (const std::uint64_t number : numbers)
                endOrder(node, number, OrderStatus::NotSent, {});
            return;
        }
        node.m_ports.m_callPeer(peer->second.m_member.m_address, message, passTimeout, [&node, name, numbers](const std::optional<PeerReply>& reply) {
            const auto* const done = reply ? std::get_if<PeerAck>(&*reply) : nullptr;
            if (done && done->m_isAccepted)
                return;
            logEvent(LogLevel::Warning, "orders-not-passed", { { "by", name }, { "orders", numbers.size() }, { "is_answered", reply.has_value() } });
            for (const std::uint64_t number : numbers)
                endOrder(node, number, done ? OrderStatus::NotSent : OrderStatus::NoAnswer, {});
        });
    }

    void expireOrders(CellNode& node)
    {
        OrderRelay& relay = node.m_relay;
        if (node.m_now < relay.m_nextExpiryAt)
            return;
        relay.m_nextExpiryAt = node.m_now + expiryInterval;
        std::vector<std::uint64_t> expired;
        for (const auto& [number, open] : relay.m_open) {
            if (node.m_now >= open.m_until)
                expired.push_back(number);
        }
        for (const std::uint64_t number : expired)
            endOrder(node, number, OrderStatus::NoAnswer, {});
    }

    /** @return The peers that pass orders on; none when the leader calls its workers itself. */
    const std::vector<std::string>& relaysOf(CellNode& node)
    {
        OrderRelay& relay = node.m_relay;
        constexpr Duration interval { 200 };
        if (node.m_now < relay.m_nextChoiceAt)
            return relay.m_peers;
        relay.m_nextChoiceAt = node.m_now + interval;
        relay.m_peers.clear();
        const std::size_t workers = node.m_scheduler ? node.m_scheduler->m_workers.size() : 0;
        if (workers < node.m_options.m_relayFrom)
            return relay.m_peers;
        std::vector<PeerMember> usable;
        for (const auto& [name, peer] : node.m_peers) {
            if (peer.m_isQuick && node.m_now - peer.m_heardAt <= node.m_options.m_suspectAfter)
                usable.push_back(peer.m_member);
        }
        sortByRank(usable, node.m_term);
        usable.resize(std::min(usable.size(), workers / workersPerRelay + 1));
        for (const PeerMember& member : usable)
            relay.m_peers.push_back(member.m_name);
        return relay.m_peers;
    }

    /** @return The peer that passes on orders to a worker, so that few of them change when a peer comes or goes. */
    const std::string& relayOf(const std::vector<std::string>& peers, const std::string& worker)
    {
        return *std::max_element(peers.begin(), peers.end(), [&](const std::string& one, const std::string& other) { return stableHash(worker, stableHash(one)) < stableHash(worker, stableHash(other)); });
    }

    /** Performs one order for a leader; its end is reported with others. */
    void passOn(CellNode& node, const Address& leader, const RelayedOrder& order)
    {
        const auto report = [&node, leader, number = order.m_number, token = order.m_to.m_token](OrderStatus status, const SyncReport& sync) {
            ReportLane& lane = node.m_relay.m_reports[{ leader, token }];
            lane.m_reports.push_back({ .m_number = number, .m_status = status, .m_sync = sync });
        };
        const auto plain = [report](OrderStatus status) { report(status, {}); };
        if (const auto* const start = std::get_if<StartOrder>(&order.m_order))
            node.m_ports.m_start({ order.m_to, *start, order.m_timeout }, order.m_timeout, plain);
        else if (const auto* const stop = std::get_if<StopOrder>(&order.m_order))
            node.m_ports.m_stop({ order.m_to, *stop, order.m_timeout }, order.m_timeout, plain);
        else
            node.m_ports.m_sync({ order.m_to, std::get<SyncOrder>(order.m_order), order.m_timeout }, order.m_timeout, report);
    }

    void sendReports(CellNode& node)
    {
        for (auto& [to, lane] : node.m_relay.m_reports) {
            if (lane.m_reports.empty() || (node.m_now - lane.m_sentAt < reportsInterval && lane.m_reports.size() < fullLane))
                continue;
            lane.m_sentAt = node.m_now;
            node.m_ports.m_callPeer(to.first, PeerReports { .m_token = to.second, .m_reports = std::exchange(lane.m_reports, {}) }, passTimeout, [](const std::optional<PeerReply>&) { /* The leader takes what it does not hear of as unanswered. */ });
        }
        std::erase_if(node.m_relay.m_reports, [&](const auto& entry) { return entry.second.m_reports.empty() && node.m_now - entry.second.m_sentAt > laneForgottenAfter; });
    }

} // namespace

void giveOrder(CellNode& node, const OrderTarget& to, std::variant<StartOrder, StopOrder, SyncOrder> order, Duration timeout, const OrderEnd& onAnswer)
{
    const std::vector<std::string>& peers = relaysOf(node);
    if (peers.empty()) {
        const RelayedOrder direct { .m_number = 0, .m_to = to, .m_timeout = timeout, .m_order = std::move(order) };
        const auto plain = [onAnswer](OrderStatus status) { onAnswer(status, {}); };
        if (const auto* const start = std::get_if<StartOrder>(&direct.m_order))
            return node.m_ports.m_start({ to, *start, timeout }, timeout, plain);
        if (const auto* const stop = std::get_if<StopOrder>(&direct.m_order))
            return node.m_ports.m_stop({ to, *stop, timeout }, timeout, plain);
        return node.m_ports.m_sync({ to, std::get<SyncOrder>(direct.m_order), timeout }, timeout, onAnswer);
    }
    OrderRelay& relay = node.m_relay;
    RelayLane& lane = relay.m_lanes[relayOf(peers, to.m_worker)];
    const std::uint64_t number = ++relay.m_lastNumber;
    lane.m_orders.push_back({ .m_number = number, .m_to = to, .m_timeout = timeout, .m_order = std::move(order) });
    relay.m_open.emplace(number, OpenOrder { .m_until = node.m_now + timeout + reportMargin, .m_onAnswer = onAnswer });
}

PeerAck takeOrders(CellNode& node, const PeerOrders& message)
{
    if (node.m_now < node.m_relay.m_closedUntil)
        return { .m_isAccepted = false };
    for (const RelayedOrder& order : message.m_orders)
        passOn(node, message.m_from.m_address, order);
    return { .m_isAccepted = true };
}

PeerAck takeReports(CellNode& node, const PeerReports& message)
{
    if (node.m_term != message.m_token)
        return { .m_isAccepted = false };
    for (const OrderReport& report : message.m_reports)
        endOrder(node, report.m_number, report.m_status, report.m_sync);
    return { .m_isAccepted = true };
}

void closeRelay(CellNode& node)
{
    node.m_relay.m_closedUntil = node.m_now + thawPause;
}

void stepRelay(CellNode& node)
{
    for (auto& [name, lane] : node.m_relay.m_lanes) {
        const bool isDue = node.m_now - lane.m_sentAt >= ordersInterval || lane.m_orders.size() >= fullLane;
        if (lane.m_orders.empty() || !isDue)
            continue;
        lane.m_sentAt = node.m_now;
        sendLane(node, name, lane);
    }
    expireOrders(node);
    sendReports(node);
}

} // namespace bulrushloft::cell::detail
