/** @file cell_simulation.cpp Simulated daemons, clients, network and faults, and the checks on what workers run and clients see. */
#include "cell_simulation.h"

#include "fake_lease_worker.h"
#include "fake_store.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_func.h"

#include <algorithm>

namespace bulrushloft::test {

namespace {

    using cell::CellNode;
    using scheduler::JobStage;

    constexpr const char* configKey = "config";
    constexpr Duration tickLength { 10 };
    constexpr Duration clientTimeout { 3'000 };
    constexpr Duration clientRetryDelay { 400 };
    constexpr Duration maxVisibilityDelay { 3'000 }; ///< The platform requires that every daemon knows an accepted job within this time.
    constexpr int maxClientTries = 8;
    constexpr Duration contactTime { 3'000 }; ///< A daemon or store without disruption for this long counts as in touch.
    constexpr Duration heartbeat { 1'500 }; ///< A worker announces a change at most this long after it.

    /** A daemon. Times are simulated milliseconds; an "until" in the past means that the condition is over. */
    struct SimulatedNode {
        std::string m_name;
        std::unique_ptr<CellNode> m_cell; ///< Null while the process is down.
        std::shared_ptr<bool> m_isAlive; ///< Shared with the callbacks of one process; false once it has ended, so that they do nothing.
        std::int64_t m_suspendedUntil = 0; ///< Until then the process executes nothing.
        std::int64_t m_suspendedMs = 0; ///< Total suspension of the process in ms, by which its steady clock lags.
        std::int64_t m_downUntil = 0; ///< Time at which a new process starts; only used while the process is down.
        std::int64_t m_busyUntil = 0; ///< Until then the decision thread works in long rounds.
        std::int64_t m_roundEndsAt = 0; ///< End of the current long round, until which the daemon takes no step.
        std::int64_t m_splitUntil = 0; ///< Until then only daemons of the same kind (split or not) reach each other.
        std::int64_t m_heldOrdersUntil = 0; ///< Until then orders leave the daemon seconds after they were issued.
        std::int64_t m_storeUnreachableUntil = 0; ///< Until then the network between daemon and store is down.
        std::uint64_t m_startCount = 0; ///< Processes started so far; makes instance numbers unique.
        std::deque<std::function<void()>> m_deferredDeliveries; ///< Messages and answers that arrived during a suspension; delivered at its end.
    };

    /** A job as its client sees it. Times are simulated milliseconds. */
    struct ClientJob {
        std::string m_id;
        int m_tries = 0; ///< Submissions tried, at most maxClientTries.
        bool m_isAccepted = false; ///< A submission was acknowledged.
        bool m_mayBeAccepted = false; ///< At least one submission timed out or was answered other than with NotDone, so the job may run.
        bool m_isCancelRequested = false; ///< A cancellation was sent.
        bool m_hasStarted = false; ///< A worker has started a task of the job.
        bool m_isComplete = false; ///< A daemon has reported the job as complete.
        std::int64_t m_cancelAckedAt = 0; ///< When a cancellation was first acknowledged; 0 before.
        std::int64_t m_acceptedAt = 0; ///< When a submission was first acknowledged; 0 before.
    };

    /** The whole simulation. It is single-threaded and takes all random numbers from one generator, so that a run can be replayed from its seed. */
    struct CellSimulation {
        explicit CellSimulation(const CellSimulationOptions& options);

        CellSimulationResult run();
        std::int64_t randomBetween(std::int64_t low, std::int64_t high) { return std::uniform_int_distribution<std::int64_t>(low, high)(m_random); }
        bool randomBool(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }
        /** Runs work after a delay in simulated ms, at least 1. */
        void schedule(std::int64_t delay, std::function<void()> work) { m_events.emplace(m_now + std::max<std::int64_t>(delay, 1), std::move(work)); }
        /**
         * Records a violation, which ends the simulation.
         * @param description Begins with the violated guarantee: TWICE (a task ran again or in two places), LIMIT (capacity exceeded),
         * UNASKED (a task ran without a submitted job or after its cancellation), ORDER (a step started too early), LOST (an accepted
         * job did not complete), REFUSED (a refused job ran). An inconsistent scheduler has no such prefix.
         */
        void reportViolation(const std::string& description) { m_result.m_violations.push_back(std::to_string(m_now) + " ms: " + description); }

        void startNode(SimulatedNode& node);
        /** Ends a daemon's process, if there is one; tick() starts the next one after downFor simulated ms. */
        void stopNode(SimulatedNode& node, std::int64_t downFor);
        cell::CellPorts makePorts(SimulatedNode& node);
        std::int64_t steadyTimeOf(const SimulatedNode& node) const { return m_now - node.m_suspendedMs; }
        /** Runs a callback in a daemon's process after a delay in simulated ms. It is deferred while the daemon is suspended and dropped once the process has ended. */
        template <typename Callback>
        void deliverLater(SimulatedNode& node, const std::shared_ptr<bool>& alive, std::int64_t delay, Callback callback);
        /** Calls the store, subject to the delays, losses and outages in force. @param perform Carries out the call on m_store. */
        template <typename Answer, typename Perform>
        void callStore(SimulatedNode& node, Duration timeout, std::function<void(Answer)> onAnswer, Perform perform);
        FakeLeaseWorker* findWorker(const std::string& id);
        void makeWorker(int index);
        /** Writes a worker's record to the workers topic. */
        void announce(const FakeLeaseWorker& worker);
        void submit(std::size_t index);
        void cancel(std::size_t index, int tries);
        void queryJob(std::size_t index);
        void injectFault();
        /** Injects one of the further faults of the options. @param victim The leader or a random daemon. */
        void injectExtraFault(SimulatedNode& victim);
        void restartWorkers(int count, int times);
        void killLeaders(int times);
        /** Makes about half of the workers unreachable for some seconds. */
        void muteWorkers();
        SimulatedNode* findLeader();
        bool isInRound(const SimulatedNode& node) const { return m_now < node.m_roundEndsAt; }
        std::int64_t peerDelay() { return m_now < m_slowPeersUntil ? randomBetween(1, 2'500) : 1; }
        /** Shrinks the capacity of a worker for some seconds. */
        void injectCapacityChange();
        /** @return The CPU capacity that a start must not exceed. A smaller one counts only after the leader must have learned of it, and not for orders carried out late. */
        std::int64_t countedCapacity(const FakeLeaseWorker& worker) const;
        /** Counts an attempt that a worker is about to start, and checks the guarantees that must hold at that time. */
        void checkStart(const FakeLeaseWorker& worker, const TaskName& task, std::uint32_t attempt);
        void tick();
        /** Stops all daemons, fills in the result and checks what must hold at the end. */
        void finish();

        CellSimulationOptions m_options;
        std::mt19937_64 m_random;
        std::int64_t m_now = 10'000; ///< Simulated time in ms.
        std::multimap<std::int64_t, std::function<void()>> m_events; ///< Scheduled work by simulated time.
        FakeStore m_store;
        std::int64_t m_storeDownUntil = 0; ///< Until then the store is down and carries out no calls.
        bool m_isStoreUnresponsive = false; ///< Calls to a store that is down time out instead of being refused.
        std::int64_t m_storeSlowUntil = 0; ///< Until then calls take 40 times as long.
        std::int64_t m_storeLossyUntil = 0; ///< Until then answers of the store may be lost.
        std::int64_t m_slowPeersUntil = 0; ///< Until then messages between daemons take up to seconds.
        std::int64_t m_disruptedUntil = 0; ///< End of the latest disruption of the store or a daemon.
        bool m_isLateOrder = false; ///< The order that a worker is carrying out was held up for seconds.
        std::deque<SimulatedNode> m_nodes;
        std::deque<FakeLeaseWorker> m_workers;
        std::vector<ClientJob> m_jobs;
        std::map<std::string, std::size_t> m_jobById;
        std::map<TaskName, std::string> m_workerByRunningTask; ///< Worker of each running task.
        std::set<TaskName> m_acknowledgedDone; ///< Tasks whose completion the leader has acknowledged; they must not start again.
        CellSimulationResult m_result;
    };

    /** @return A job of steps that run one after another, each of `width` tasks. */
    JobPlan makePlan(std::int64_t steps, std::int64_t width)
    {
        JobPlan plan;
        plan.m_payload = "p";
        for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(steps); ++i)
            plan.m_steps.push_back({ .m_count = static_cast<std::uint32_t>(width), .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1, .m_gpus = 0 }, .m_estimatedRunTime = { 600 }, .m_predecessors = i == 0 ? std::vector<std::uint32_t> {} : std::vector<std::uint32_t> { i - 1 } });
        return plan;
    }

    CellSimulation::CellSimulation(const CellSimulationOptions& options)
        : m_options(options)
        , m_random(options.m_seed)
    {
        m_store.append({ .m_partition = { .m_topic = "op" }, .m_records = { { .m_key = configKey, .m_value = "1" } }, .m_writer = {}, .m_expectedEnd = {} });
        for (int i = 0; i < options.m_workers; ++i)
            makeWorker(i);
        for (int i = 0; i < options.m_nodes; ++i) {
            m_nodes.emplace_back();
            m_nodes.back().m_name = "n" + std::to_string(i);
            startNode(m_nodes.back());
        }
    }

    void CellSimulation::makeWorker(int index)
    {
        FakeLeaseWorker& worker = m_workers.emplace_back();
        worker.m_id = "w" + std::to_string(index);
        worker.m_clockOriginMs = m_now - randomBetween(0, 5'000);
        worker.m_onStart = [this](const FakeLeaseWorker& startedOn, const TaskName& task, std::uint32_t attempt) { checkStart(startedOn, task, attempt); };
        worker.m_onEnd = [this](const FakeLeaseWorker& endedOn, const TaskName& task, std::uint32_t, AttemptEnd) {
            const auto found = m_workerByRunningTask.find(task);
            if (found != m_workerByRunningTask.end() && found->second == endedOn.m_id)
                m_workerByRunningTask.erase(found);
        };
        worker.m_onAck = [this](const FakeLeaseWorker&, const EndedAttempt& ended) {
            if (ended.m_end == AttemptEnd::Done)
                m_acknowledgedDone.insert(ended.m_task);
        };
        announce(worker);
    }

    void CellSimulation::announce(const FakeLeaseWorker& worker)
    {
        m_store.append({ .m_partition = { .m_topic = "workers" }, .m_records = { { .m_key = worker.m_id, .m_value = std::to_string(worker.m_processStartMs) + " " + std::to_string(worker.m_capacityCpuMilli) } }, .m_writer = {}, .m_expectedEnd = {} });
    }

    FakeLeaseWorker* CellSimulation::findWorker(const std::string& id)
    {
        const auto found = std::find_if(m_workers.begin(), m_workers.end(), [&](const FakeLeaseWorker& worker) { return worker.m_id == id; });
        return found == m_workers.end() ? nullptr : &*found;
    }

    void CellSimulation::checkStart(const FakeLeaseWorker& worker, const TaskName& task, std::uint32_t attempt)
    {
        ++m_result.m_startedAttempts;
        const std::string attemptName = format(task) + " attempt " + std::to_string(attempt) + " on " + worker.m_id;
        if (const auto runningOn = m_workerByRunningTask.find(task); runningOn != m_workerByRunningTask.end())
            reportViolation("TWICE: " + attemptName + " started while the task is running on " + runningOn->second);
        if (m_acknowledgedDone.contains(task))
            reportViolation("TWICE: " + attemptName + " started after the completion of the task was acknowledged");
        m_workerByRunningTask[task] = worker.m_id;
        const auto usedCpuMilli = static_cast<std::int64_t>(worker.m_running.size() + 1) * worker.m_taskCpuMilli;
        if (usedCpuMilli > countedCapacity(worker))
            reportViolation("LIMIT: " + attemptName + " exceeds the worker's CPU capacity of " + std::to_string(countedCapacity(worker)));
        const auto job = m_jobById.find(task.m_job);
        if (job == m_jobById.end())
            return reportViolation("UNASKED: " + attemptName + " belongs to no submitted job");
        m_jobs[job->second].m_hasStarted = true;
        if (task.m_step > 0) {
            // Steps have at most 6 tasks (see submit()), so that these indices cover every task of the previous step.
            for (std::uint32_t i = 0; i < 64; ++i) {
                const TaskName previous { .m_job = task.m_job, .m_occurrence = 0, .m_step = task.m_step - 1, .m_index = i };
                if (m_workerByRunningTask.contains(previous))
                    reportViolation("ORDER: " + attemptName + " started while " + format(previous) + " of the previous step is running");
            }
        }
    }

    std::int64_t CellSimulation::countedCapacity(const FakeLeaseWorker& worker) const
    {
        const bool isAnnounced = m_now >= worker.m_shrunkAtMs + heartbeat.m_ms + contactTime.m_ms;
        const bool isInTouch = m_now >= m_disruptedUntil + contactTime.m_ms;
        return isAnnounced && isInTouch && !m_isLateOrder ? worker.m_capacityCpuMilli : FakeLeaseWorker::fullCpuMilli;
    }

    template <typename Callback>
    void CellSimulation::deliverLater(SimulatedNode& node, const std::shared_ptr<bool>& alive, std::int64_t delay, Callback callback)
    {
        schedule(delay, [this, &node, alive, callback] {
            if (!*alive)
                return;
            const auto deliver = [this, &node, alive, callback] {
                if (!*alive)
                    return;
                advanceTime(*node.m_cell, { steadyTimeOf(node) }, { m_now });
                callback();
            };
            if (m_now < node.m_suspendedUntil)
                node.m_deferredDeliveries.push_back(deliver);
            else
                deliver();
        });
    }

    template <typename Answer, typename Perform>
    void CellSimulation::callStore(SimulatedNode& node, Duration timeout, std::function<void(Answer)> onAnswer, Perform perform)
    {
        const auto alive = node.m_isAlive;
        const std::int64_t delay = randomBetween(2, 8) * (m_now < m_storeSlowUntil ? 40 : 1);
        const bool isUnreachable = m_now < node.m_storeUnreachableUntil;
        const bool isDown = m_now < m_storeDownUntil || isUnreachable;
        if (isDown && (m_isStoreUnresponsive || isUnreachable)) {
            Answer noAnswer {};
            noAnswer.m_status = StoreStatus::Unknown;
            return deliverLater(node, alive, timeout.m_ms, [onAnswer, noAnswer] { onAnswer(noAnswer); });
        }
        if (isDown) {
            Answer refused {};
            refused.m_status = StoreStatus::NotDone;
            return deliverLater(node, alive, delay, [onAnswer, refused] { onAnswer(refused); });
        }
        const bool isLost = m_now < m_storeLossyUntil && randomBool(0.3);
        // A call whose answer is lost may be carried out seconds after it was sent.
        const std::int64_t extraDelay = isLost && randomBool(0.5) ? randomBetween(500, 4'000) : 0;
        schedule(delay / 2 + extraDelay, [this, &node, alive, onAnswer, perform, delay, timeout, isLost] {
            const Answer result = perform();
            if (isLost || delay > timeout.m_ms)
                return;
            deliverLater(node, alive, delay / 2, [onAnswer, result] { onAnswer(result); });
        });
        if (isLost || delay > timeout.m_ms) {
            Answer noAnswer {};
            noAnswer.m_status = StoreStatus::Unknown;
            deliverLater(node, alive, timeout.m_ms, [onAnswer, noAnswer] { onAnswer(noAnswer); });
        }
    }

    cell::CellPorts CellSimulation::makePorts(SimulatedNode& node)
    {
        cell::CellPorts ports;
        ports.m_append = [this, &node](const StoreAppend& append, Duration timeout, std::function<void(StoreAppendAnswer)> onAnswer) {
            callStore<StoreAppendAnswer>(node, timeout, std::move(onAnswer), [this, append] { return m_store.append(append); });
        };
        ports.m_read = [this, &node](const StoreRead& read, Duration timeout, std::function<void(StoreReadAnswer)> onAnswer) {
            callStore<StoreReadAnswer>(node, timeout, std::move(onAnswer), [this, read] { return m_store.read(read); });
        };
        ports.m_readNewest = [this, &node](const StoreNewestRead& newest, Duration timeout, std::function<void(StoreNewestAnswer)> onAnswer) {
            callStore<StoreNewestAnswer>(node, timeout, std::move(onAnswer), [this, newest] { return m_store.newest(newest); });
        };
        ports.m_callPeer = [this, &node](const Address& address, const PeerMessage& message, Duration timeout, const std::function<void(std::optional<PeerReply>)>& onReply) {
            const auto alive = node.m_isAlive;
            SimulatedNode& peer = m_nodes[address.m_port]; // startNode() uses the index of the node as its port.
            if (!peer.m_cell)
                return deliverLater(node, alive, 2, [onReply] { onReply(std::nullopt); });
            const bool isSplit = (m_now < node.m_splitUntil) != (m_now < peer.m_splitUntil);
            if (isSplit)
                return deliverLater(node, alive, timeout.m_ms, [onReply] { onReply(std::nullopt); });
            auto isAnswered = std::make_shared<bool>(false);
            deliverLater(peer, peer.m_isAlive, peerDelay(), [this, &node, &peer, alive, message, onReply, isAnswered] {
                onPeerMessage(*peer.m_cell, message, [this, &node, alive, onReply, isAnswered](const PeerReply& reply) {
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
        const auto sendOrder = [this, &node](const OrderTarget& to, Duration timeout, const std::function<void(OrderStatus)>& onAnswer, const std::function<OrderStatus(FakeLeaseWorker&)>& perform, const std::shared_ptr<bool>& alive) {
            FakeLeaseWorker* const worker = findWorker(to.m_worker);
            if (worker->m_isDown)
                return deliverLater(node, alive, 2, [onAnswer] { onAnswer(OrderStatus::NotSent); });
            if (m_now < node.m_heldOrdersUntil) {
                // The order leaves late, on a connection to whichever process of the worker then runs.
                schedule(randomBetween(50, 6'000), [worker, perform] {
                    if (!worker->m_isDown && !worker->m_isUnreachable)
                        perform(*worker);
                });
                return deliverLater(node, alive, timeout.m_ms, [onAnswer] { onAnswer(OrderStatus::NoAnswer); });
            }
            const bool isLate = randomBool(m_options.m_lateOrderShare);
            if (worker->m_isUnreachable || isLate) {
                if (isLate) {
                    // An order in flight is lost with the connection when the worker's process ends.
                    schedule(randomBetween(2'000, 12'000), [this, worker, perform, processStartMs = worker->m_processStartMs] {
                        m_isLateOrder = true;
                        if (!worker->m_isDown && !worker->m_isUnreachable && worker->m_processStartMs == processStartMs)
                            perform(*worker);
                        m_isLateOrder = false;
                    });
                }
                return deliverLater(node, alive, timeout.m_ms, [onAnswer] { onAnswer(OrderStatus::NoAnswer); });
            }
            schedule(1, [this, &node, worker, perform, onAnswer, alive] {
                const OrderStatus status = worker->m_isDown ? OrderStatus::NotSent : perform(*worker);
                deliverLater(node, alive, 1, [onAnswer, status] { onAnswer(status); });
            });
        };
        ports.m_start = [this, &node, sendOrder](const AddressedOrder<StartOrder>& start, Duration timeout, const std::function<void(const StartAnswer&)>& onAnswer) {
            auto clock = std::make_shared<std::int64_t>(0);
            const auto perform = [this, start, clock](FakeLeaseWorker& worker) {
                *clock = worker.clockAt(m_now);
                return worker.start(start.m_order, start.m_to.m_token, randomBetween(200, 1'500), m_now);
            };
            sendOrder(
                start.m_to, timeout, [onAnswer, clock](OrderStatus status) { onAnswer({ .m_status = status, .m_clockMs = *clock }); }, perform, node.m_isAlive);
        };
        ports.m_stop = [&node, sendOrder](const AddressedOrder<StopOrder>& stop, Duration timeout, const std::function<void(OrderStatus)>& onAnswer) {
            sendOrder(
                stop.m_to, timeout, onAnswer, [stop](FakeLeaseWorker& worker) { return worker.stop(stop.m_order, stop.m_to.m_token); }, node.m_isAlive);
        };
        ports.m_pace = [](const AddressedOrder<PaceOrder>&, Duration, const std::function<void(OrderStatus)>&) {};
        ports.m_sync = [this, &node, sendOrder](const AddressedOrder<SyncOrder>& sync, Duration timeout, const std::function<void(OrderStatus, const SyncReport&)>& onAnswer) {
            auto report = std::make_shared<SyncReport>();
            const auto perform = [this, sync, report](FakeLeaseWorker& worker) {
                const auto result = worker.sync(sync.m_order, sync.m_to.m_token, m_now);
                *report = result.value_or(SyncReport {});
                return result ? OrderStatus::Done : OrderStatus::Fenced;
            };
            // Instead of holding its answer back until an attempt ends, the worker gets the order after a tenth of the maximum wait,
            // or after a random part of it, so that answers arrive at any time of a long round.
            const std::int64_t wait = (m_options.m_extraFaults & BusyFault) ? randomBetween(0, sync.m_order.m_wait.m_ms) : sync.m_order.m_wait.m_ms / 10;
            schedule(wait, [sendOrder, sync, timeout, onAnswer, report, perform, alive = node.m_isAlive] {
                if (*alive)
                    sendOrder(
                        sync.m_to, timeout, [onAnswer, report](OrderStatus status) { onAnswer(status, *report); }, perform, alive);
            });
        };
        ports.m_requestApprovals = [](const TaskName&, const std::vector<std::string>&, Duration, const std::function<void(std::optional<std::vector<Approval>>)>& onAnswer) { onAnswer(std::nullopt); };
        return ports;
    }

    void CellSimulation::startNode(SimulatedNode& node)
    {
        const auto index = static_cast<std::uint16_t>(std::find_if(m_nodes.begin(), m_nodes.end(), [&](const SimulatedNode& other) { return &other == &node; }) - m_nodes.begin());
        cell::CellOptions options;
        options.m_self = { .m_name = node.m_name, .m_address = { "127.0.0.1", index }, .m_instance = static_cast<std::uint64_t>(index) * 1'000 + ++node.m_startCount * 17, .m_strength = 25 };
        if (m_options.m_seed % 2 == 0)
            options.m_relayMinWorkers = 1; // With an even seed, peers relay the orders.
        options.m_seeds = { { "127.0.0.1", 0 }, { "127.0.0.1", 1 } };
        options.m_topics = { .m_operator = "op", .m_workers = "workers" };
        cell::CellDecoders decoders;
        decoders.m_operator = [](const std::string&, const std::string&) -> cell::OperatorRecord {
            return ClusterSettings { .m_version = 1, .m_queues = { { .m_name = "q", .m_host = "h", .m_pathPrefix = "/q/", .m_pool = "pool", .m_priority = 0, .m_failureLimit = 3, .m_slackFactor = 3, .m_latencyTarget = { 500 }, .m_timeout = { 3'000 }, .m_approval = {} } }, .m_pools = { { .m_name = "pool" } } };
        };
        // The value of an announcement is the start of the process and the CPU capacity.
        decoders.m_worker = [](const std::string& id, const std::string& value) -> std::optional<WorkerAnnouncement> {
            const std::int64_t cpuMilli = std::stoll(value.substr(value.find(' ')));
            return WorkerAnnouncement { .m_id = id, .m_pool = "pool", .m_address = { "127.0.0.2", 1 }, .m_zone = "a", .m_machine = {}, .m_capacity = { .m_cpuMilli = cpuMilli, .m_memoryMb = 1'000, .m_gpus = 0 }, .m_labels = {}, .m_isDraining = false, .m_remainingDrainTime = {}, .m_processStartMs = std::stoll(value) };
        };
        // The body of a submission is two digits: the number of steps and the number of tasks in each step.
        decoders.m_plan = [](const std::string& body) -> Expected<JobPlan> { return makePlan(body[0] - '0', body[1] - '0'); };
        node.m_isAlive = std::make_shared<bool>(true);
        node.m_suspendedMs = 0;
        node.m_deferredDeliveries.clear();
        node.m_cell = makeCell(std::move(options), makePorts(node), std::move(decoders), { m_now }, {});
        node.m_cell->m_lastBootTime = { m_now };
    }

    void CellSimulation::stopNode(SimulatedNode& node, std::int64_t downFor)
    {
        if (!node.m_cell)
            return;
        m_result.m_terms += node.m_cell->m_counters.m_terms;
        *node.m_isAlive = false;
        node.m_cell.reset();
        node.m_deferredDeliveries.clear();
        node.m_suspendedUntil = 0;
        node.m_busyUntil = 0;
        node.m_roundEndsAt = 0;
        node.m_downUntil = m_now + downFor;
    }

    void CellSimulation::submit(std::size_t index)
    {
        ClientJob& job = m_jobs[index];
        if (job.m_isAccepted || ++job.m_tries > maxClientTries)
            return;
        SimulatedNode& node = m_nodes[static_cast<std::size_t>(randomBetween(0, m_options.m_nodes - 1))];
        const auto retry = [this, index] { schedule(clientRetryDelay.m_ms, [this, index] { submit(index); }); };
        if (!node.m_cell)
            return retry();
        const ClientCall call { .m_verb = ClientVerb::Submit, .m_host = "h", .m_path = "/q/" + job.m_id, .m_body = std::to_string(1 + index % 3) + std::to_string(1 + index % 6), .m_arrivedAt = { steadyTimeOf(node) }, .m_deadline = { steadyTimeOf(node) + clientTimeout.m_ms } };
        auto isAnswered = std::make_shared<bool>(false);
        schedule(clientTimeout.m_ms, [this, index, isAnswered, retry] {
            if (std::exchange(*isAnswered, true))
                return;
            m_jobs[index].m_mayBeAccepted = true;
            retry();
        });
        deliverLater(node, node.m_isAlive, 1, [this, &node, call, index, isAnswered, retry] {
            onClientCall(*node.m_cell, call, [this, index, isAnswered, retry](const ClientReply& reply) {
                if (reply.m_status != ClientStatus::NotDone)
                    m_jobs[index].m_mayBeAccepted = true;
                if (reply.m_status == ClientStatus::Accepted && !std::exchange(m_jobs[index].m_isAccepted, true))
                    m_jobs[index].m_acceptedAt = m_now;
                if (!std::exchange(*isAnswered, true) && reply.m_status != ClientStatus::Accepted)
                    retry();
            });
        });
    }

    void CellSimulation::cancel(std::size_t index, int tries)
    {
        ClientJob& job = m_jobs[index];
        if (!job.m_isAccepted || job.m_cancelAckedAt > 0 || tries > maxClientTries * 4)
            return;
        job.m_isCancelRequested = true;
        schedule(clientRetryDelay.m_ms, [this, index, tries] { cancel(index, tries + 1); });
        SimulatedNode& node = m_nodes[static_cast<std::size_t>(randomBetween(0, m_options.m_nodes - 1))];
        if (!node.m_cell)
            return;
        const ClientCall call { .m_verb = ClientVerb::Cancel, .m_host = "h", .m_path = "/q/" + job.m_id, .m_body = {}, .m_arrivedAt = { steadyTimeOf(node) }, .m_deadline = { steadyTimeOf(node) + clientTimeout.m_ms } };
        deliverLater(node, node.m_isAlive, 1, [this, &node, call, index] {
            onClientCall(*node.m_cell, call, [this, index](const ClientReply& reply) {
                if (reply.m_status == ClientStatus::Cancelled && m_jobs[index].m_cancelAckedAt == 0)
                    m_jobs[index].m_cancelAckedAt = m_now;
            });
        });
    }

    void CellSimulation::queryJob(std::size_t index)
    {
        ClientJob& job = m_jobs[index];
        if (job.m_isComplete || !job.m_isAccepted)
            return;
        SimulatedNode& node = m_nodes[static_cast<std::size_t>(randomBetween(0, m_options.m_nodes - 1))];
        if (!node.m_cell)
            return;
        const ClientCall call { .m_verb = ClientVerb::Query, .m_host = "h", .m_path = "/q/" + job.m_id, .m_body = {}, .m_arrivedAt = { steadyTimeOf(node) }, .m_deadline = { steadyTimeOf(node) + clientTimeout.m_ms } };
        deliverLater(node, node.m_isAlive, 1, [this, &node, call, index] {
            onClientCall(*node.m_cell, call, [this, index](const ClientReply& reply) {
                ClientJob& queriedJob = m_jobs[index];
                const bool mustBeVisible = m_now - queriedJob.m_acceptedAt > maxVisibilityDelay.m_ms;
                if (reply.m_status == ClientStatus::NoSuchJob && mustBeVisible && !queriedJob.m_isCancelRequested)
                    reportViolation("LOST: job " + queriedJob.m_id + " is reported as unknown after it was accepted");
                const auto stage = static_cast<JobStage>(reply.m_stage);
                if (reply.m_status != ClientStatus::Known)
                    return;
                if (stage == JobStage::Complete)
                    queriedJob.m_isComplete = true;
                if (stage == JobStage::Failed || (stage == JobStage::Cancelled && !queriedJob.m_isCancelRequested))
                    reportViolation("LOST: job " + queriedJob.m_id + " is reported as failed, or as cancelled although its client sent no cancellation");
            });
        });
    }

    SimulatedNode* CellSimulation::findLeader()
    {
        const auto leader = std::find_if(m_nodes.begin(), m_nodes.end(), [](const SimulatedNode& other) { return other.m_cell && other.m_cell->m_role == cell::Role::Leading; });
        return leader == m_nodes.end() ? nullptr : &*leader;
    }

    void CellSimulation::restartWorkers(int count, int times)
    {
        for (FakeLeaseWorker& worker : m_workers) {
            if (count-- <= 0 || worker.m_isDown)
                continue;
            worker.crash();
            schedule(randomBetween(20, 800), [this, &worker] {
                if (!worker.m_isDown)
                    return;
                worker.restart(m_now);
                announce(worker);
            });
        }
        if (times > 1)
            schedule(randomBetween(400, 2'500), [this, times] { restartWorkers(m_options.m_workers / 3, times - 1); });
    }

    void CellSimulation::muteWorkers()
    {
        for (FakeLeaseWorker& worker : m_workers) {
            if (!randomBool(0.5))
                continue;
            worker.m_isUnreachable = true;
            schedule(randomBetween(1'000, 9'000), [&worker] { worker.m_isUnreachable = false; });
        }
    }

    void CellSimulation::killLeaders(int times)
    {
        if (SimulatedNode* const leader = findLeader())
            stopNode(*leader, randomBetween(200, 2'000));
        if (times > 1)
            schedule(randomBetween(1'000, 3'000), [this, times] { killLeaders(times - 1); });
    }

    void CellSimulation::injectExtraFault(SimulatedNode& victim)
    {
        std::vector<std::uint32_t> kinds;
        for (std::uint32_t kind = 1; kind <= HeldOrdersFault; kind *= 2) {
            if (m_options.m_extraFaults & kind)
                kinds.push_back(kind);
        }
        switch (kinds[static_cast<std::size_t>(randomBetween(0, static_cast<std::int64_t>(kinds.size()) - 1))]) {
        case BusyFault:
            victim.m_busyUntil = m_now + randomBetween(1'000, 6'000);
            if (m_options.m_extraFaults & DeafWorkersFault)
                schedule(victim.m_busyUntil - m_now - randomBetween(0, 800), [this] { muteWorkers(); });
            return;
        case SlowPeersFault:
            m_slowPeersUntil = m_now + randomBetween(1'000, 5'000);
            return;
        case FlapFault:
            return restartWorkers(m_options.m_workers / 3, static_cast<int>(randomBetween(1, 4)));
        case LeaderKillsFault:
            return killLeaders(static_cast<int>(randomBetween(2, 4)));
        case SplitFault: {
            const std::int64_t until = m_now + randomBetween(1'000, 9'000);
            victim.m_splitUntil = until;
            m_nodes[static_cast<std::size_t>(randomBetween(0, m_options.m_nodes - 1))].m_splitUntil = until;
            if (randomBool(0.5))
                victim.m_storeUnreachableUntil = until;
            return;
        }
        case DeafWorkersFault:
            return muteWorkers();
        default:
            victim.m_heldOrdersUntil = m_now + randomBetween(300, 3'000);
        }
    }

    void CellSimulation::injectFault()
    {
        SimulatedNode& node = m_nodes[static_cast<std::size_t>(randomBetween(0, m_options.m_nodes - 1))];
        SimulatedNode* const leader = findLeader();
        const auto disruptFor = [this](std::int64_t duration) {
            m_disruptedUntil = std::max(m_disruptedUntil, m_now + duration);
            return duration;
        };
        SimulatedNode& victim = leader && randomBool(0.6) ? *leader : node;
        if (m_options.m_extraFaults != 0 && randomBool(0.5))
            return injectExtraFault(victim);
        FakeLeaseWorker& worker = m_workers[static_cast<std::size_t>(randomBetween(0, m_options.m_workers - 1))];
        switch (randomBetween(0, 9)) {
        case 0:
            return stopNode(victim, disruptFor(randomBetween(200, 4'000)));
        case 1:
            victim.m_suspendedUntil = m_now + disruptFor(randomBetween(700, 5'000));
            return;
        case 2:
            victim.m_storeUnreachableUntil = m_now + disruptFor(randomBetween(1'000, 6'000));
            return;
        case 3:
            m_storeDownUntil = m_now + disruptFor(randomBetween(500, 5'000));
            m_isStoreUnresponsive = randomBool(0.5);
            return;
        case 4:
            m_storeSlowUntil = m_now + disruptFor(randomBetween(1'000, 4'000));
            return;
        case 5:
            m_storeLossyUntil = m_now + disruptFor(randomBetween(1'000, 4'000));
            return;
        case 6:
            worker.m_isUnreachable = true;
            schedule(randomBetween(1'000, 9'000), [&worker] { worker.m_isUnreachable = false; });
            return;
        case 7:
            worker.crash();
            schedule(randomBetween(300, 5'000), [this, &worker] {
                worker.restart(m_now);
                announce(worker);
            });
            return;
        case 8:
            m_store.compactTopics();
            return;
        default:
            for (SimulatedNode& other : m_nodes)
                stopNode(other, disruptFor(randomBetween(300, 1'500)));
        }
    }

    void CellSimulation::injectCapacityChange()
    {
        FakeLeaseWorker& worker = m_workers[static_cast<std::size_t>(randomBetween(0, m_options.m_workers - 1))];
        if (worker.m_capacityCpuMilli < FakeLeaseWorker::fullCpuMilli)
            return;
        worker.m_capacityCpuMilli = randomBetween(0, 3) * worker.m_taskCpuMilli;
        worker.m_shrunkAtMs = m_now;
        schedule(randomBetween(0, heartbeat.m_ms), [this, &worker] { announce(worker); });
        schedule(randomBetween(5'000, 12'000), [this, &worker] {
            worker.m_capacityCpuMilli = FakeLeaseWorker::fullCpuMilli;
            announce(worker);
        });
        if (!randomBool(0.5))
            return;
        worker.m_isUnreachable = true;
        schedule(randomBetween(1'000, 9'000), [&worker] { worker.m_isUnreachable = false; });
    }

    void CellSimulation::tick()
    {
        for (FakeLeaseWorker& worker : m_workers)
            worker.tick(m_now);
        for (SimulatedNode& node : m_nodes) {
            if (!node.m_cell) {
                if (m_now >= node.m_downUntil)
                    startNode(node);
                continue;
            }
            if (m_now < node.m_suspendedUntil) {
                node.m_suspendedMs += tickLength.m_ms;
                continue;
            }
            if (isInRound(node))
                continue;
            for (auto deferred = std::exchange(node.m_deferredDeliveries, {}); const auto& deliver : deferred)
                deliver();
            if (!node.m_cell)
                continue;
            stepCell(*node.m_cell, { steadyTimeOf(node) }, { m_now });
            if (node.m_cell->m_scheduler && !isConsistent(*node.m_cell->m_scheduler))
                reportViolation("scheduler state of " + node.m_name + " is inconsistent");
            if (m_now < node.m_busyUntil)
                node.m_roundEndsAt = m_now + randomBetween(m_options.m_minRoundMs, m_options.m_maxRoundMs);
        }
    }

    void CellSimulation::finish()
    {
        for (SimulatedNode& node : m_nodes)
            stopNode(node, 0);
        for (const ClientJob& job : m_jobs) {
            m_result.m_accepted += job.m_isAccepted ? 1 : 0;
            m_result.m_complete += job.m_isComplete ? 1 : 0;
            m_result.m_cancelled += job.m_cancelAckedAt > 0 ? 1 : 0;
            const bool isRefused = !job.m_isAccepted && !job.m_mayBeAccepted;
            m_result.m_refused += isRefused ? 1 : 0;
            if (isRefused && job.m_hasStarted)
                reportViolation("REFUSED: job " + job.m_id + " ran although every submission was refused");
            if (job.m_isAccepted && !job.m_isCancelRequested && !job.m_isComplete)
                reportViolation("LOST: job " + job.m_id + " was accepted but is not complete at the end");
        }
        for (const auto& [task, worker] : m_workerByRunningTask) {
            if (m_jobs[m_jobById.at(task.m_job)].m_cancelAckedAt > 0)
                reportViolation("UNASKED: " + format(task) + " is running on " + worker + " although the cancellation of its job was acknowledged");
        }
    }

    CellSimulationResult CellSimulation::run()
    {
        const std::int64_t loadStart = m_now + 1'500;
        for (int i = 0; i < m_options.m_jobs; ++i) {
            ClientJob job;
            job.m_id = std::to_string(1'000'000'000'000'000ULL + static_cast<std::uint64_t>(i));
            m_jobById[job.m_id] = m_jobs.size();
            m_jobs.push_back(job);
            const std::int64_t submitDelay = loadStart - m_now + randomBetween(0, m_options.m_loadDuration.m_ms);
            schedule(submitDelay, [this, i] { submit(static_cast<std::size_t>(i)); });
            if (randomBool(0.1))
                schedule(submitDelay + randomBetween(100, 3'000), [this, i] { cancel(static_cast<std::size_t>(i), 0); });
        }
        for (int i = 0; i < m_options.m_faults; ++i)
            schedule(loadStart - m_now + randomBetween(0, m_options.m_loadDuration.m_ms), [this] { injectFault(); });
        for (int i = 0; i < m_options.m_capacityChanges; ++i)
            schedule(loadStart - m_now + randomBetween(0, m_options.m_loadDuration.m_ms), [this] { injectCapacityChange(); });
        const std::int64_t simulationEnd = loadStart + m_options.m_loadDuration.m_ms + m_options.m_recoveryDuration.m_ms;
        std::int64_t nextQuery = loadStart;
        while (m_now < simulationEnd && (m_result.m_violations.empty() || !m_options.m_stopsAtViolation)) {
            const std::int64_t nextTick = m_now + tickLength.m_ms;
            while (!m_events.empty() && m_events.begin()->first <= nextTick) {
                auto event = m_events.extract(m_events.begin());
                m_now = std::max(m_now, event.key());
                event.mapped()();
            }
            m_now = nextTick;
            tick();
            if (m_now >= nextQuery) {
                constexpr std::int64_t queryInterval = 700;
                nextQuery = m_now + queryInterval;
                for (std::size_t i = 0; i < m_jobs.size(); ++i)
                    queryJob(i);
            }
        }
        if (m_result.m_violations.empty() || !m_options.m_stopsAtViolation)
            finish();
        return m_result;
    }

} // namespace

CellSimulationResult runCellSimulation(const CellSimulationOptions& options)
{
    return CellSimulation(options).run();
}

} // namespace bulrushloft::test
