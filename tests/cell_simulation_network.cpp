/** @file cell_simulation_network.cpp Calls of the simulated daemons to the store, to each other and to workers. */
#include "cell_simulation_base.h"

namespace bulrushloft::test {

std::optional<std::int64_t> CellSimulation::soundTime() const
{
    const SlowLossyStore& period = m_options.m_slowLossyStore;
    return period.m_length.m_ms > 0 ? std::optional(m_loadStart + period.m_start.m_ms + period.m_length.m_ms) : std::nullopt;
}

std::int64_t CellSimulation::storeSlowness() const
{
    if (isSlowLossy())
        return m_options.m_slowLossyStore.m_slowFactor;
    constexpr std::int64_t faultSlowness = 40;
    return m_now < m_storeSlowUntil ? faultSlowness : 1;
}

double CellSimulation::lossyWriteShare() const
{
    if (isSlowLossy())
        return m_options.m_slowLossyStore.m_lateShare;
    const LossyWrites& lossy = m_options.m_lossyWrites;
    const std::int64_t lossyFrom = m_loadStart + lossy.m_start.m_ms;
    return m_now >= lossyFrom && m_now < lossyFrom + lossy.m_length.m_ms ? lossy.m_share : 0;
}

template <typename Answer>
void CellSimulation::arriveAtPartition(SimulatedNode& node, const std::shared_ptr<bool>& alive, const StoreCall<Answer>& call, const std::function<void(Answer)>& onAnswer, const std::function<void()>& fail)
{
    PartitionQueue& queue = queueOf(call.m_partition);
    queue.setAppendTime(appendTime.m_ms * storeSlowness());
    constexpr bool isAppend = std::is_same_v<Answer, StoreAppendAnswer>;
    std::optional<std::int64_t> doneAt = queue.readTime(m_now);
    if (isAppend)
        doneAt = call.m_isLate ? queue.arriveLate(m_now) : queue.append(m_now);
    if (!doneAt && call.m_isGivenUp)
        return;
    if (!doneAt) {
        Answer refused {};
        refused.m_status = StoreStatus::NotDone;
        return deliverLater(node, alive, call.m_returnDelay, [onAnswer, refused] { onAnswer(refused); });
    }
    const bool isAnswered = !call.m_isGivenUp && *doneAt + call.m_returnDelay <= call.m_timeoutAt;
    const auto finish = [this, &node, alive, call, onAnswer, isAnswered] {
        const Answer result = call.m_perform();
        if (isAnswered)
            deliverLater(node, alive, call.m_returnDelay, [onAnswer, result] { onAnswer(result); });
    };
    if (!isAnswered && !call.m_isGivenUp)
        fail();
    if (*doneAt == m_now)
        return finish();
    schedule(*doneAt - m_now, finish);
}

template <typename Answer>
void CellSimulation::callStore(SimulatedNode& node, const StorePartition& partition, Duration timeout, std::function<void(Answer)> onAnswer, std::function<Answer()> perform)
{
    const auto alive = node.m_isAlive;
    const std::int64_t delay = randomBetween(2, 8) * storeSlowness();
    const bool isUnreachable = m_now < node.m_storeUnreachableUntil || isStoreCut(node, partition.m_topic);
    const bool isDown = m_now < m_storeDownUntil || isUnreachable;
    const std::int64_t timeoutAt = m_now + timeout.m_ms;
    const auto fail = [this, &node, alive, timeoutAt, onAnswer] {
        Answer noAnswer {};
        noAnswer.m_status = StoreStatus::Unknown;
        deliverLater(node, alive, timeoutAt - m_now, [onAnswer, noAnswer] { onAnswer(noAnswer); });
    };
    if (isDown && (m_isStoreUnresponsive || isUnreachable))
        return fail();
    if (isDown) {
        Answer refused {};
        refused.m_status = StoreStatus::NotDone;
        return deliverLater(node, alive, delay, [onAnswer, refused] { onAnswer(refused); });
    }
    if (isSilent(partition)) {
        const PartitionSilence kind = m_options.m_silentPartitions.m_kind;
        if (kind == PartitionSilence::Unanswered)
            return fail();
        Answer failed {};
        failed.m_status = kind == PartitionSilence::Reset ? StoreStatus::Unknown : StoreStatus::NotDone;
        return deliverLater(node, alive, delay, [onAnswer, failed] { onAnswer(failed); });
    }
    constexpr bool isAppend = std::is_same_v<Answer, StoreAppendAnswer>;
    const double lossShare = isAppend ? lossyWriteShare() : 0;
    const bool isWriteLost = lossShare > 0 && randomBool(lossShare);
    const bool isLost = isWriteLost || (m_now < m_storeLossyUntil && randomBool(0.3));
    // A call whose answer is lost may be carried out seconds after it was sent.
    std::int64_t extraDelay = isLost && randomBool(0.5) ? randomBetween(500, 4'000) : 0;
    if (isWriteLost)
        extraDelay = randomBetween(1'000, 6'000);
    const bool isLate = extraDelay > 0;
    const bool isGivenUp = isLost || delay > timeout.m_ms;
    if (isAppend && isLate)
        queueOf(partition).sendLate();
    const StoreCall<Answer> call { .m_partition = partition, .m_perform = std::move(perform), .m_timeoutAt = timeoutAt, .m_returnDelay = delay / 2, .m_isLate = isLate, .m_isGivenUp = isGivenUp };
    schedule(delay / 2 + extraDelay, [this, &node, alive, call, onAnswer, fail] { arriveAtPartition(node, alive, call, onAnswer, fail); });
    if (isGivenUp)
        fail();
}

cell::CellPorts CellSimulation::makePorts(SimulatedNode& node)
{
    cell::CellPorts ports;
    ports.m_append = [this, &node](const StoreAppend& append, Duration timeout, std::function<void(StoreAppendAnswer)> onAnswer) {
        callStore<StoreAppendAnswer>(node, append.m_partition, timeout, std::move(onAnswer), [this, append] { return m_store.append(append); });
    };
    ports.m_read = [this, &node](const StoreRead& read, Duration timeout, std::function<void(StoreReadAnswer)> onAnswer) {
        callStore<StoreReadAnswer>(node, read.m_partition, timeout, std::move(onAnswer), [this, read] { return m_store.read(read); });
    };
    ports.m_readNewest = [this, &node](const StoreNewestRead& newest, Duration timeout, std::function<void(StoreNewestAnswer)> onAnswer) {
        callStore<StoreNewestAnswer>(node, newest.m_partition, timeout, std::move(onAnswer), [this, newest] { return m_store.newest(newest); });
    };
    ports.m_callPeer = [this, &node](const Address& address, const PeerMessage& message, Duration timeout, const std::function<void(std::optional<PeerReply>)>& onReply) {
        const auto alive = node.m_isAlive;
        SimulatedNode& peer = m_nodes[address.m_port]; // startNode() uses the index of the node as its port.
        if (!peer.m_cell) {
            if (!isCutBetween(node, peer) && !isCutBetween(peer, node))
                deliverLater(node, alive, 2, [&node, address, askedAt = TimePoint { m_now }] { onPeerRefused(*node.m_cell, address, askedAt); });
            return deliverLater(node, alive, 2, [onReply] { onReply(std::nullopt); });
        }
        const bool isSplit = (m_now < node.m_splitUntil) != (m_now < peer.m_splitUntil);
        if (isSplit || isCutBetween(node, peer))
            return deliverLater(node, alive, timeout.m_ms, [onReply] { onReply(std::nullopt); });
        auto isAnswered = std::make_shared<bool>(false);
        deliverLater(peer, peer.m_isAlive, peerDelay(), [this, &node, &peer, alive, message, onReply, isAnswered] {
            onPeerMessage(*peer.m_cell, message, [this, &node, &peer, alive, onReply, isAnswered](const PeerReply& reply) {
                if (isCutBetween(peer, node))
                    return; // The answer is lost.
                deliverLater(node, alive, peerDelay(), [onReply, reply, isAnswered] {
                    if (!std::exchange(*isAnswered, true))
                        onReply(reply);
                });
            });
        });
        deliverLater(node, alive, timeout.m_ms, [onReply, isAnswered] {
            if (!std::exchange(*isAnswered, true))
                onReply(std::nullopt);
        });
    };
    const auto makeCall = [this, &node](const OrderTarget& to, Duration timeout, std::function<OrderStatus(FakeLeaseWorker&)> perform, std::function<void(OrderStatus)> onAnswer) {
        const auto performIfMeant = [id = to.m_worker, perform = std::move(perform)](FakeLeaseWorker& worker) { return worker.m_id == id ? perform(worker) : OrderStatus::WrongInstance; };
        return WorkerCall { .m_node = &node, .m_alive = node.m_isAlive, .m_worker = findWorker(to.m_worker), .m_timeoutAt = m_now + timeout.m_ms, .m_perform = performIfMeant, .m_onAnswer = std::move(onAnswer) };
    };
    ports.m_start = [this, makeCall](const AddressedOrder<StartOrder>& start, Duration timeout, const std::function<void(const StartAnswer&)>& onAnswer) {
        auto clock = std::make_shared<std::int64_t>(0);
        const auto perform = [this, start, clock](FakeLeaseWorker& worker) {
            *clock = worker.clockAt(m_now);
            return worker.start(start.m_order, start.m_to.m_token, randomRunTime(start.m_order.m_task), m_now);
        };
        callWorker(makeCall(start.m_to, timeout, perform, [onAnswer, clock](OrderStatus status) { onAnswer({ .m_status = status, .m_clockMs = *clock }); }));
    };
    ports.m_stop = [this, makeCall](const AddressedOrder<StopOrder>& stop, Duration timeout, const std::function<void(OrderStatus)>& onAnswer) {
        callWorker(makeCall(
            stop.m_to, timeout, [stop](FakeLeaseWorker& worker) { return worker.stop(stop.m_order, stop.m_to.m_token); }, onAnswer));
    };
    ports.m_pace = [](const AddressedOrder<PaceOrder>&, Duration, const std::function<void(OrderStatus)>&) {};
    ports.m_sync = [this, makeCall](const AddressedOrder<SyncOrder>& sync, Duration timeout, const std::function<void(OrderStatus, const SyncReport&)>& onAnswer) {
        auto report = std::make_shared<SyncReport>();
        const auto perform = [this, sync, report](FakeLeaseWorker& worker) {
            const auto result = worker.sync(sync.m_order, sync.m_to.m_token, m_now);
            *report = result.value_or(SyncReport {});
            return result ? OrderStatus::Done : OrderStatus::Fenced;
        };
        WorkerCall call = makeCall(sync.m_to, timeout, perform, [onAnswer, report](OrderStatus status) { onAnswer(status, *report); });
        call.m_isSync = true;
        // Instead of holding its answer back until an attempt ends, the worker gets the order after a tenth of the maximum wait,
        // or after a random part of it, so that answers arrive at any time of a long round.
        call.m_wait = (m_options.m_extraFaults & BusyFault) ? randomBetween(0, sync.m_order.m_wait.m_ms) : sync.m_order.m_wait.m_ms / 10;
        callWorker(call);
    };
    ports.m_requestApprovals = [this, &node](const TaskName& step, const std::vector<std::string>& workers, Duration timeout, const std::function<void(std::optional<std::vector<Approval>>)>& onAnswer) { requestApprovals(node, step, workers, timeout, onAnswer); };
    return ports;
}

std::int64_t CellSimulation::randomRunTime(const TaskName& task)
{
    const SimulatedQueue& queue = *jobOf(task).m_queue;
    if (queue.m_isGang) // It works only once all members run; see tickGangs().
        return maxPlanTime.m_ms;
    if (m_options.m_longRunShare > 0 && randomBool(m_options.m_longRunShare))
        return m_options.m_longRunTime.m_ms;
    return randomBetween(queue.m_shortestRunTime.m_ms, queue.m_longestRunTime.m_ms);
}

void CellSimulation::requestApprovals(SimulatedNode& node, const TaskName& step, const std::vector<std::string>& workers, Duration timeout, const std::function<void(std::optional<std::vector<Approval>>)>& onAnswer)
{
    const SimulatedQueue& queue = *jobOf(step).m_queue;
    if (!queue.m_approval)
        return onAnswer(std::nullopt);
    ++m_result.m_approvalCalls;
    const std::optional<std::int64_t> answeredAt = m_approvals.admit(node.m_name, *queue.m_approval, workers.size(), m_now);
    if (!answeredAt)
        return deliverLater(node, node.m_isAlive, 1, [onAnswer] { onAnswer(std::nullopt); });
    if (*answeredAt - m_now > timeout.m_ms)
        return deliverLater(node, node.m_isAlive, timeout.m_ms, [onAnswer] { onAnswer(std::nullopt); });
    deliverLater(node, node.m_isAlive, *answeredAt - m_now, [this, &queue, step, workers, onAnswer] {
        std::vector<Approval> approvals;
        for (const std::string& id : workers) {
            if (FakeApprovals::isApproved(step, id, queue.m_approvedShare))
                approvals.push_back({ .m_worker = id, .m_ticket = FakeApprovals::makeTicket(step, *findWorker(id), queue.m_approval->m_validity, m_now) });
        }
        onAnswer(approvals);
    });
}

} // namespace bulrushloft::test
