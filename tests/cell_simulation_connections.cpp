/** @file cell_simulation_connections.cpp Calls of simulated daemons to workers, the connections that carry them, and their faults. */
#include "cell_simulation_base.h"

namespace bulrushloft::test {

namespace {

    constexpr std::int64_t connectTimeout = 400; // As WorkerClient's, in ms.
    constexpr std::int64_t shortestReset = 1; // A call whose connection is reset ends after this time, in ms.
    constexpr std::int64_t longestReset = 5;
    constexpr std::int64_t leaderPollInterval = 50; // How often a scheduled fault looks for a leader, in ms.

} // namespace

void CellSimulation::callWorker(const WorkerCall& call)
{
    if (m_options.m_connectionFaults.m_workerCap > 0)
        return callOverConnection(call);
    if (!call.m_isSync)
        return deliverOrder(call);
    deliverAfterWait(call);
}

void CellSimulation::deliverAfterWait(const WorkerCall& call)
{
    schedule(call.m_wait, [this, call, sentAt = m_now] {
        WorkerCall sent = call;
        sent.m_timeoutAt += m_now - sentAt;
        if (*call.m_alive)
            deliverOrder(sent);
    });
}

void CellSimulation::deliverOrder(const WorkerCall& call)
{
    SimulatedNode& node = *call.m_node;
    FakeLeaseWorker* const worker = call.m_worker;
    const auto fail = [this, &node, &call](OrderStatus status, std::int64_t delay) {
        deliverLater(node, call.m_alive, delay, [onAnswer = call.m_onAnswer, status] { onAnswer(status); });
    };
    const std::int64_t timeLeft = call.m_timeoutAt - m_now;
    if (worker->m_isDown)
        return worker->m_isDark ? fail(OrderStatus::NoAnswer, timeLeft) : fail(OrderStatus::NotSent, 2);
    if (m_now < node.m_heldOrdersUntil) {
        // The order leaves late, on a connection to whichever process of the worker then runs.
        schedule(randomBetween(50, 6'000), [this, &node, worker, perform = call.m_perform] {
            if (!worker->m_isDown && !worker->m_isUnreachable && !isCutOff(node, *worker))
                perform(*worker);
        });
        return fail(OrderStatus::NoAnswer, timeLeft);
    }
    const bool isLate = randomBool(m_options.m_lateOrderShare);
    if (worker->m_isUnreachable || isCutOff(node, *worker) || isLate) {
        if (isLate) {
            // An order in flight is lost with the connection when the worker's process ends.
            schedule(randomBetween(2'000, 12'000), [this, &node, worker, perform = call.m_perform, processStartMs = worker->m_processStartMs] {
                m_isLateOrder = true;
                if (!worker->m_isDown && !worker->m_isUnreachable && !isCutOff(node, *worker) && worker->m_processStartMs == processStartMs)
                    perform(*worker);
                m_isLateOrder = false;
            });
        }
        return fail(OrderStatus::NoAnswer, timeLeft);
    }
    schedule(1, [this, call, worker] {
        const OrderStatus status = worker->m_isDown ? OrderStatus::NotSent : call.m_perform(*worker);
        deliverLater(*call.m_node, call.m_alive, 1, [onAnswer = call.m_onAnswer, status] { onAnswer(status); });
    });
}

bool CellSimulation::isFull(const FakeLeaseWorker& worker) const
{
    const auto found = m_connections.find(FakeLeaseWorker::machineOf(worker.m_id));
    const int cap = m_options.m_connectionFaults.m_workerCap;
    return cap > 0 && found != m_connections.end() && std::count_if(found->second.begin(), found->second.end(), [](const auto& connection) { return connection->m_isAtWorker; }) >= cap;
}

void CellSimulation::callOverConnection(const WorkerCall& call)
{
    const ConnectionFaults& faults = m_options.m_connectionFaults;
    const bool isForSyncs = usesSyncPool(call);
    int openCount = 0;
    for (const auto& connection : m_connections[FakeLeaseWorker::machineOf(call.m_worker->m_id)]) {
        if (connection->m_owner != call.m_node || connection->m_isForSyncs != isForSyncs)
            continue;
        if (!connection->m_isBusy)
            return runOnConnection(connection, call);
        ++openCount;
    }
    if (openCount >= (isForSyncs ? faults.m_syncPool : faults.m_orderPool))
        return m_waitingCalls[{ call.m_node, call.m_worker, isForSyncs }].push_back(call);
    openConnection(call);
}

void CellSimulation::openConnection(const WorkerCall& call)
{
    const FakeLeaseWorker& worker = *call.m_worker;
    const auto connection = std::make_shared<WorkerConnection>(WorkerConnection { .m_owner = call.m_node, .m_isForSyncs = usesSyncPool(call) });
    const bool isWorkerFull = isFull(worker);
    m_connections[FakeLeaseWorker::machineOf(worker.m_id)].push_back(connection);
    const bool isDark = worker.m_isDown && worker.m_isDark;
    if (isDark || worker.m_isUnreachable || isCutOff(*call.m_node, worker))
        return failOnConnection(connection, call, OrderStatus::NotSent, std::min(connectTimeout, call.m_timeoutAt - m_now));
    if (worker.m_isDown)
        return failOnConnection(connection, call, OrderStatus::NotSent, 2);
    const bool isReset = worker.m_closedShare > 0 && randomBool(worker.m_closedShare);
    m_result.m_resetConnections += isWorkerFull ? 1 : 0;
    if (isWorkerFull || isReset)
        return failOnConnection(connection, call, OrderStatus::NoAnswer, randomBetween(shortestReset, longestReset));
    connection->m_isAtWorker = true;
    runOnConnection(connection, call);
}

void CellSimulation::runOnConnection(const std::shared_ptr<WorkerConnection>& connection, const WorkerCall& call)
{
    const FakeLeaseWorker& worker = *call.m_worker;
    connection->m_isBusy = true;
    const bool isDark = worker.m_isDown && worker.m_isDark;
    if (connection->m_isSilent || isDark)
        return failOnConnection(connection, call, OrderStatus::NoAnswer, call.m_timeoutAt - m_now);
    const bool isReached = !worker.m_isUnreachable && !isCutOff(*call.m_node, worker);
    const bool isOrderReset = isReached && connection->m_isAtWorker && !call.m_isSync && !worker.m_takesOrders;
    if (isOrderReset)
        performLate(call);
    if (isOrderReset || (isReached && !connection->m_isAtWorker))
        return failOnConnection(connection, call, OrderStatus::NoAnswer, randomBetween(shortestReset, longestReset));
    WorkerCall carried = call;
    carried.m_onAnswer = [this, connection, call](OrderStatus status) {
        releaseConnection(connection, call, status != OrderStatus::NoAnswer && status != OrderStatus::NotSent);
        call.m_onAnswer(status);
    };
    carried.m_perform = [connection, perform = call.m_perform](FakeLeaseWorker& reached) {
        return connection->m_isAtWorker ? perform(reached) : OrderStatus::NoAnswer;
    };
    if (call.m_isSync)
        return deliverAfterWait(carried);
    deliverOrder(carried);
}

void CellSimulation::performLate(const WorkerCall& call)
{
    const double share = m_options.m_connectionFaults.m_lateShare;
    if (share == 0 || !randomBool(share))
        return;
    schedule(randomBetween(500, 12'000), [this, call, processStartMs = call.m_worker->m_processStartMs] {
        m_isLateOrder = true;
        if (!call.m_worker->m_isDown && call.m_worker->m_processStartMs == processStartMs)
            call.m_perform(*call.m_worker);
        m_isLateOrder = false;
    });
}

void CellSimulation::failOnConnection(const std::shared_ptr<WorkerConnection>& connection, const WorkerCall& call, OrderStatus status, std::int64_t delay)
{
    deliverLater(*call.m_node, call.m_alive, delay, [this, connection, call, status] {
        releaseConnection(connection, call, false);
        call.m_onAnswer(status);
    });
}

void CellSimulation::releaseConnection(const std::shared_ptr<WorkerConnection>& connection, const WorkerCall& call, bool isKept)
{
    connection->m_isBusy = false;
    const bool isDark = call.m_worker->m_isDown && call.m_worker->m_isDark;
    isKept = isKept && (connection->m_isAtWorker || isDark);
    // The worker isn't told that a silent connection was closed.
    if (!isKept && connection->m_isSilent && connection->m_isAtWorker)
        connection->m_owner = nullptr;
    else if (!isKept)
        std::erase(m_connections[FakeLeaseWorker::machineOf(call.m_worker->m_id)], connection);
    std::deque<WorkerCall>& waiting = m_waitingCalls[{ call.m_node, call.m_worker, usesSyncPool(call) }];
    while (!waiting.empty() && waiting.front().m_timeoutAt <= m_now) {
        const WorkerCall expired = waiting.front();
        waiting.pop_front();
        deliverLater(*expired.m_node, expired.m_alive, 1, [expired] { expired.m_onAnswer(OrderStatus::NotSent); });
    }
    if (waiting.empty())
        return;
    const WorkerCall next = waiting.front();
    waiting.pop_front();
    callOverConnection(next);
}

void CellSimulation::dropConnections(const SimulatedNode& node, bool isIdleOnly, bool isClosed)
{
    for (auto& [worker, connections] : m_connections) {
        const auto isDropped = [&](const auto& connection) { return connection->m_owner == &node && !(isIdleOnly && connection->m_isBusy); };
        int halfOpen = 0;
        for (const auto& connection : connections) {
            const bool staysOpen = connection->m_isAtWorker && (!isClosed || connection->m_isSilent);
            if (isDropped(connection) && staysOpen)
                connection->m_owner = nullptr;
            halfOpen += connection->m_owner ? 0 : 1;
        }
        std::erase_if(connections, isDropped);
        m_result.m_mostHalfOpen = std::max(m_result.m_mostHalfOpen, halfOpen);
    }
}

void CellSimulation::dropConnectionsOf(const FakeLeaseWorker& worker, bool isDark)
{
    auto& connections = m_connections[FakeLeaseWorker::machineOf(worker.m_id)];
    for (const auto& connection : connections)
        connection->m_isAtWorker = false;
    std::erase_if(connections, [&](const auto& connection) { return !connection->m_owner || (!isDark && !connection->m_isBusy); });
}

void CellSimulation::losePower(SimulatedNode& node, std::int64_t downFor)
{
    dropConnections(node, false, false);
    stopNode(node, downFor);
}

void CellSimulation::closeConnectionsOfFormerLeaders()
{
    for (SimulatedNode& node : m_nodes) {
        const bool isLeading = node.m_cell && node.m_cell->m_role == cell::Role::Leading;
        if (node.m_wasLeading && !isLeading)
            dropConnections(node, true, true);
        node.m_wasLeading = isLeading;
    }
}

void CellSimulation::scheduleConnectionFaults()
{
    const ConnectionFaults& faults = m_options.m_connectionFaults;
    const std::int64_t untilFirst = m_loadStart - m_now + faults.m_start.m_ms;
    for (int i = 0; i < faults.m_powerLossCount; ++i)
        schedule(untilFirst + i * faults.m_interval.m_ms, [this] { endDaemon(); });
    for (int i = 0; i < faults.m_silenceCount; ++i)
        schedule(untilFirst + i * faults.m_interval.m_ms, [this] { silenceConnections(); });
    if (faults.m_sickShare > 0)
        schedule(untilFirst, [this] { makeWorkersSick(); });
}

void CellSimulation::endDaemon()
{
    const ConnectionFaults& faults = m_options.m_connectionFaults;
    SimulatedNode* const node = faults.m_hitsLeader ? findLeader() : &m_nodes[static_cast<std::size_t>(randomBetween(0, m_options.m_nodes - 1))];
    if (!node)
        return schedule(leaderPollInterval, [this] { endDaemon(); });
    m_disruptedUntil = std::max(m_disruptedUntil, m_now + faults.m_downTime.m_ms);
    if (faults.m_isKill)
        return stopNode(*node, faults.m_downTime.m_ms);
    losePower(*node, faults.m_downTime.m_ms);
}

void CellSimulation::makeWorkersSick()
{
    const ConnectionFaults& faults = m_options.m_connectionFaults;
    for (FakeLeaseWorker& worker : m_workers) {
        if (!randomBool(faults.m_sickShare))
            continue;
        worker.m_takesOrders = faults.m_doSickTakeOrders;
        worker.m_closedShare = faults.m_closedShare;
    }
}

void CellSimulation::silenceConnections()
{
    for (auto& [worker, connections] : m_connections) {
        for (const auto& connection : connections)
            connection->m_isSilent = connection->m_isSilent || (connection->m_isAtWorker && randomBool(m_options.m_connectionFaults.m_silentShare));
    }
}

} // namespace bulrushloft::test
