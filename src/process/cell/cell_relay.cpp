/** @file cell_relay.cpp Order relay: a leader of many workers has peers forward its orders and report the results. */
#include "core/hash_func.h"
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/cell/leader_choice.h"

#include <algorithm>
#include <set>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration ordersInterval { 40 }; ///< Minimum time between messages to a peer, unless its outbox is full; orders are collected meanwhile.
    constexpr Duration reportsInterval { 20 };
    constexpr Duration reportRetryInterval { 200 };
    constexpr Duration reportRetryLimit { 5'000 };
    constexpr std::size_t maxKeptReports = 4'096;
    constexpr Duration reportOutboxExpiry { 10'000 }; ///< An empty outbox of reports is removed after this time.
    constexpr std::size_t fullOutboxSize = 128; ///< An outbox with this number of orders or reports is sent at once.
    constexpr Duration forwardTimeout { 700 };
    constexpr Duration reportMargin { 500 }; ///< Added to an order's own timeout for the round trip to the peer.
    constexpr Duration lateReportLimit { 10'000 }; ///< A report that comes later after its order was given up is ignored.
    constexpr Duration expiryInterval { 50 };
    constexpr Duration maxFailingTime { 2'000 }; ///< A peer whose orders all go unreported or unanswered for so long forwards no more,
    constexpr Duration exclusionTime { 10'000 }; ///< for this time.
    constexpr std::size_t workersPerRelay = 500;
    constexpr Duration postSuspensionPause { 300 }; ///< After a suspension a peer refuses orders for this time, as those that arrived meanwhile are outdated.

    void completeOrder(CellNode& node, std::uint64_t number, OrderStatus status, const SyncReport& report)
    {
        const auto found = node.m_relay.m_openOrders.find(number);
        if (found == node.m_relay.m_openOrders.end())
            return;
        const OpenOrder order = std::move(found->second);
        node.m_relay.m_openOrders.erase(found);
        const bool isOutdated = order.m_isGivenUp && status == OrderStatus::WrongInstance; // The worker may have another address by now.
        if (!isOutdated)
            order.m_onAnswer(status, report);
    }

    /** @return Outcome of an order that was not sent to its peer; for a sync, nothing follows about the worker. */
    OrderStatus unsentStatus(const RelayedOrder& order)
    {
        return std::holds_alternative<SyncOrder>(order.m_order) ? OrderStatus::Unreported : OrderStatus::NotForwarded;
    }

    /** Ends the wait for a report. The peer or this leader may only be slow, so nothing follows about the worker, and a late report is still used. */
    void giveUpOrder(CellNode& node, std::uint64_t number)
    {
        const auto found = node.m_relay.m_openOrders.find(number);
        if (found == node.m_relay.m_openOrders.end() || std::exchange(found->second.m_isGivenUp, true))
            return;
        found->second.m_until = node.m_now + lateReportLimit;
        const OrderCallback onAnswer = found->second.m_onAnswer; // The callback may send orders, which moves the entries.
        onAnswer(OrderStatus::Unreported, {});
    }

    /**
     * Gives up a peer that does not answer. Load: a peer ends while it forwards the orders to hundreds of workers. Its open orders
     * end at once, so that they are repeated through other peers without waiting for their timeouts, and no worker counts as silent.
     */
    void failRelay(CellNode& node, const std::string& name)
    {
        OrderRelay& relay = node.m_relay;
        markPeerFailed(node, name);
        relay.m_nextSelectionAt = node.m_now;
        for (const RelayedOrder& unsent : std::exchange(relay.m_outboxes[name].m_orders, {}))
            completeOrder(node, unsent.m_number, unsentStatus(unsent), {});
        std::vector<std::uint64_t> open;
        for (const auto& [number, order] : relay.m_openOrders) {
            if (order.m_relay == name && !order.m_isGivenUp)
                open.push_back(number);
        }
        logEvent(LogLevel::Warning, "order-relay-failed", { { "peer", name }, { "orders", open.size() } });
        for (const std::uint64_t number : open)
            giveUpOrder(node, number);
    }

    /** @return Whether a peer that did not acknowledge orders in time is only slow: the same process has been heard of since. */
    bool isSlow(const CellNode& node, const PeerMember& member, TimePoint sentAt)
    {
        const auto peer = node.m_peers.find(member.m_name);
        return node.m_now - sentAt >= forwardTimeout && peer != node.m_peers.end() && peer->second.m_member.m_instance == member.m_instance && peer->second.m_lastContactAt > sentAt;
    }

    void sendOutbox(CellNode& node, const std::string& name, OrderOutbox& outbox)
    {
        PeerOrders message { .m_from = node.m_options.m_self, .m_orders = std::exchange(outbox.m_orders, {}) };
        std::vector<std::pair<std::uint64_t, OrderStatus>> unsent; ///< Numbers, with the outcome if the peer does not take the orders.
        unsent.reserve(message.m_orders.size());
        for (const RelayedOrder& order : message.m_orders)
            unsent.emplace_back(order.m_number, unsentStatus(order));
        const auto peer = node.m_peers.find(name);
        if (peer == node.m_peers.end()) {
            for (const auto& [number, status] : unsent)
                completeOrder(node, number, status, {});
            return;
        }
        node.m_ports.m_callPeer(peer->second.m_member.m_address, message, forwardTimeout, [&node, name, unsent, member = peer->second.m_member, sentAt = node.m_now, term = node.m_term](const std::optional<PeerReply>& reply) {
            const auto* const done = reply ? std::get_if<PeerAck>(&*reply) : nullptr;
            if (node.m_term != term || (done && done->m_isAccepted))
                return;
            if (!done && isSlow(node, member, sentAt))
                return; // It may have taken the orders; those that it does not report are given up one by one.
            if (!done)
                return failRelay(node, name);
            logEvent(LogLevel::Warning, "order-relay-refused", { { "peer", name }, { "orders", unsent.size() } });
            for (const auto& [number, status] : unsent)
                completeOrder(node, number, status, {});
        });
    }

    /** Drops the collected orders of a leader whose hold on its term is in doubt: sent late, they would renew leases and start tasks without evidence. */
    void dropCollectedOrders(CellNode& node)
    {
        std::vector<RelayedOrder> collected;
        for (auto& [name, outbox] : node.m_relay.m_outboxes) {
            std::move(outbox.m_orders.begin(), outbox.m_orders.end(), std::back_inserter(collected));
            outbox.m_orders.clear();
        }
        if (!collected.empty())
            logEvent(LogLevel::Info, "collected-orders-dropped", { { "orders", collected.size() }, { "token", node.m_term } });
        for (const RelayedOrder& order : collected)
            completeOrder(node, order.m_number, unsentStatus(order), {});
    }

    /** Forwards no orders through a peer for a while. */
    void excludeRelay(CellNode& node, const std::string& name, std::string_view cause, Duration failing)
    {
        node.m_relay.m_health[name] = { .m_unreportedSince = std::nullopt, .m_unreachedSince = std::nullopt, .m_excludedUntil = node.m_now + exclusionTime };
        logEvent(LogLevel::Warning, "order-relay-excluded", { { "peer", name }, { "cause", cause }, { "failing_ms", failing.m_ms } });
        failRelay(node, name);
    }

    /** Excludes a peer if something has failed for too long. @param failingSince Time since which it has failed, if it has. */
    void excludeIfFailing(CellNode& node, const std::string& name, const std::optional<TimePoint>& failingSince, std::string_view cause)
    {
        const Duration failing = failingSince ? node.m_now - *failingSince : Duration {};
        if (failing >= maxFailingTime && node.m_now >= node.m_relay.m_health[name].m_excludedUntil)
            excludeRelay(node, name, cause, failing);
    }

    /** Notes that orders of a peer have gone unreported. Its acknowledgements and heartbeats don't show that its reports arrive. */
    void noteUnreported(CellNode& node, const std::string& name)
    {
        RelayHealth& health = node.m_relay.m_health[name];
        health.m_unreportedSince = health.m_unreportedSince.value_or(node.m_now);
        excludeIfFailing(node, name, health.m_unreportedSince, "its reports don't arrive");
    }

    /** Notes a peer's report. That it arrives doesn't show that the peer reaches workers. @return The peer; empty when the order is not known any more. */
    std::string noteReported(CellNode& node, const OrderReport& report)
    {
        const auto order = node.m_relay.m_openOrders.find(report.m_number);
        if (order == node.m_relay.m_openOrders.end())
            return {};
        RelayHealth& health = node.m_relay.m_health[order->second.m_relay];
        health.m_unreportedSince.reset();
        if (report.m_status == OrderStatus::NoAnswer || report.m_status == OrderStatus::NotSent)
            health.m_unreachedSince = health.m_unreachedSince.value_or(node.m_now);
        else
            health.m_unreachedSince.reset();
        return order->second.m_relay;
    }

    void expireOrders(CellNode& node)
    {
        OrderRelay& relay = node.m_relay;
        if (node.m_now < relay.m_nextExpiryAt)
            return;
        relay.m_nextExpiryAt = node.m_now + expiryInterval;
        std::erase_if(relay.m_openOrders, [&](const auto& entry) { return entry.second.m_isGivenUp && node.m_now >= entry.second.m_until; });
        std::vector<std::uint64_t> expired;
        std::set<std::string> unreporting;
        for (const auto& [number, open] : relay.m_openOrders) {
            if (open.m_isGivenUp || node.m_now < open.m_until)
                continue;
            expired.push_back(number);
            unreporting.insert(open.m_relay);
        }
        if (!expired.empty())
            logEvent(LogLevel::Warning, "orders-unreported", { { "orders", expired.size() }, { "open", relay.m_openOrders.size() } });
        for (const std::uint64_t number : expired)
            giveUpOrder(node, number);
        for (const std::string& name : unreporting)
            noteUnreported(node, name);
    }

    /** @return Whether a peer may forward orders; it must be heard of often, as its failure leaves many orders without an outcome. */
    bool canRelay(const CellNode& node, const PeerState& peer)
    {
        const auto health = node.m_relay.m_health.find(peer.m_member.m_name);
        const bool isExcluded = health != node.m_relay.m_health.end() && node.m_now < health->second.m_excludedUntil;
        return !isExcluded && peer.m_isResponsive && peer.m_lastContactAt >= peer.m_failedAt && node.m_now - peer.m_lastContactAt <= node.m_options.m_suspectAfter;
    }

    /** @return The peers that forward orders, chosen anew at intervals; none when the leader calls its workers directly. */
    const std::vector<std::string>& selectRelays(CellNode& node)
    {
        OrderRelay& relay = node.m_relay;
        constexpr Duration interval { 200 };
        if (node.m_now < relay.m_nextSelectionAt)
            return relay.m_peers;
        relay.m_nextSelectionAt = node.m_now + interval;
        const std::vector<std::string> previous = std::exchange(relay.m_peers, {});
        const std::size_t workers = node.m_scheduler ? node.m_scheduler->m_activeWorkers.size() : 0;
        if (workers < node.m_options.m_relayMinWorkers)
            return relay.m_peers;
        std::vector<PeerMember> candidates;
        for (const auto& [name, peer] : node.m_peers) {
            if (canRelay(node, peer))
                candidates.push_back(peer.m_member);
        }
        sortByRank(candidates, node.m_term);
        candidates.resize(std::min(candidates.size(), workers / workersPerRelay + 1));
        for (const PeerMember& member : candidates)
            relay.m_peers.push_back(member.m_name);
        for (const std::string& name : previous) {
            const auto peer = node.m_peers.find(name);
            if (peer == node.m_peers.end() || !canRelay(node, peer->second))
                failRelay(node, name);
        }
        return relay.m_peers;
    }

    /** @return The peer that forwards orders to a worker, chosen by rendezvous hashing so that few workers change peers when one joins or leaves. */
    const std::string& relayOf(const std::vector<std::string>& peers, const std::string& worker)
    {
        return *std::max_element(peers.begin(), peers.end(), [&](const std::string& one, const std::string& other) { return stableHash(worker, stableHash(one)) < stableHash(worker, stableHash(other)); });
    }

    void callWorker(CellNode& node, const RelayedOrder& order, const OrderCallback& onAnswer)
    {
        if (const auto* const start = std::get_if<StartOrder>(&order.m_order))
            return node.m_ports.m_start({ order.m_to, *start, order.m_timeout }, order.m_timeout, [onAnswer](const StartAnswer& answer) { onAnswer(answer.m_status, { .m_clockMs = answer.m_clockMs }); });
        if (const auto* const stop = std::get_if<StopOrder>(&order.m_order))
            return node.m_ports.m_stop({ order.m_to, *stop, order.m_timeout }, order.m_timeout, [onAnswer](OrderStatus status) { onAnswer(status, {}); });
        node.m_ports.m_sync({ order.m_to, std::get<SyncOrder>(order.m_order), order.m_timeout }, order.m_timeout, onAnswer);
    }

    /** Sends one order of a leader to its worker; the result is reported to the leader in a batch. */
    void forwardOrder(CellNode& node, const Address& leader, const RelayedOrder& order)
    {
        const auto report = [&node, leader, number = order.m_number, token = order.m_to.m_token](OrderStatus status, const SyncReport& sync) {
            ReportOutbox& outbox = node.m_relay.m_reports[{ leader, token }];
            outbox.m_reports.push_back({ .m_number = number, .m_status = status, .m_sync = sync });
        };
        callWorker(node, order, report);
    }

    /** Keeps the reports of a failed message for the next one, for a limited time, as the leader may have ended. */
    void keepReports(CellNode& node, ReportOutbox& outbox, const std::vector<OrderReport>& reports)
    {
        outbox.m_failingSince = outbox.m_failingSince.value_or(node.m_now);
        outbox.m_reports.insert(outbox.m_reports.begin(), reports.begin(), reports.end());
        const bool isHopeless = node.m_now - *outbox.m_failingSince > reportRetryLimit;
        const std::size_t excess = isHopeless ? outbox.m_reports.size() : outbox.m_reports.size() - std::min(outbox.m_reports.size(), maxKeptReports);
        if (excess == 0)
            return;
        logEvent(LogLevel::Warning, "order-reports-dropped", { { "reports", excess }, { "failing_ms", (node.m_now - *outbox.m_failingSince).m_ms } });
        outbox.m_reports.erase(outbox.m_reports.begin(), outbox.m_reports.begin() + static_cast<std::ptrdiff_t>(excess));
    }

    void sendReportsTo(CellNode& node, const ReportTarget& to, ReportOutbox& outbox)
    {
        outbox.m_lastSentAt = node.m_now;
        const auto message = std::make_shared<const PeerReports>(PeerReports { .m_token = to.second, .m_reports = std::exchange(outbox.m_reports, {}) });
        node.m_ports.m_callPeer(to.first, *message, forwardTimeout, [&node, to, message](const std::optional<PeerReply>& reply) {
            const auto found = node.m_relay.m_reports.find(to);
            if (found == node.m_relay.m_reports.end())
                return;
            if (reply)
                found->second.m_failingSince.reset();
            else
                keepReports(node, found->second, message->m_reports); // The leader ignores reports that it has received already.
        });
    }

    void sendReports(CellNode& node)
    {
        for (auto& [to, outbox] : node.m_relay.m_reports) {
            const bool isFull = !outbox.m_failingSince && outbox.m_reports.size() >= fullOutboxSize;
            const bool isDue = isFull || node.m_now - outbox.m_lastSentAt >= (outbox.m_failingSince ? reportRetryInterval : reportsInterval);
            if (!outbox.m_reports.empty() && isDue)
                sendReportsTo(node, to, outbox);
        }
        std::erase_if(node.m_relay.m_reports, [&](const auto& entry) { return entry.second.m_reports.empty() && node.m_now - entry.second.m_lastSentAt > reportOutboxExpiry; });
    }

} // namespace

void dispatchOrder(CellNode& node, const OrderTarget& to, std::variant<StartOrder, StopOrder, SyncOrder> order, Duration timeout, const OrderCallback& onAnswer)
{
    const std::vector<std::string>& peers = selectRelays(node);
    if (peers.empty()) {
        const RelayedOrder direct { .m_number = 0, .m_to = to, .m_timeout = timeout, .m_order = std::move(order) };
        return callWorker(node, direct, onAnswer);
    }
    OrderRelay& relay = node.m_relay;
    const std::string& name = relayOf(peers, to.m_worker);
    OrderOutbox& outbox = relay.m_outboxes[name];
    const std::uint64_t number = ++relay.m_lastNumber;
    outbox.m_orders.push_back({ .m_number = number, .m_to = to, .m_timeout = timeout, .m_order = std::move(order) });
    relay.m_openOrders.emplace(number, OpenOrder { .m_relay = name, .m_until = node.m_now + timeout + reportMargin, .m_onAnswer = onAnswer });
}

PeerAck forwardOrders(CellNode& node, const PeerOrders& message)
{
    // A worker refuses orders of former terms, but not one that has restarted and has not heard of the new term yet.
    const bool isOutdated = !message.m_orders.empty() && message.m_orders.front().m_to.m_token < node.m_leader.m_token;
    if (node.m_now < node.m_relay.m_pausedUntil || isOutdated)
        return { .m_isAccepted = false };
    for (const RelayedOrder& order : message.m_orders)
        forwardOrder(node, message.m_from.m_address, order);
    return { .m_isAccepted = true };
}

PeerAck applyReports(CellNode& node, const PeerReports& message)
{
    if (node.m_term != message.m_token)
        return { .m_isAccepted = false };
    std::string relay;
    for (const OrderReport& report : message.m_reports) {
        if (std::string name = noteReported(node, report); !name.empty())
            relay = std::move(name);
        completeOrder(node, report.m_number, report.m_status, report.m_sync);
    }
    if (!relay.empty())
        excludeIfFailing(node, relay, node.m_relay.m_health[relay].m_unreachedSince, "no worker answers through it");
    return { .m_isAccepted = true };
}

void pauseRelay(CellNode& node)
{
    node.m_relay.m_pausedUntil = node.m_now + postSuspensionPause;
}

void stepRelay(CellNode& node)
{
    if (node.m_isAwaitingConfirmation)
        dropCollectedOrders(node);
    for (auto& [name, outbox] : node.m_relay.m_outboxes) {
        const bool isDue = node.m_now - outbox.m_lastSentAt >= ordersInterval || outbox.m_orders.size() >= fullOutboxSize;
        if (outbox.m_orders.empty() || !isDue)
            continue;
        outbox.m_lastSentAt = node.m_now;
        sendOutbox(node, name, outbox);
    }
    expireOrders(node);
    sendReports(node);
}

} // namespace bulrushloft::cell::detail
