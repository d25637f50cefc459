/** @file cell_world.cpp The world of cell_world.h. */
#include "cell_world.h"

#include "fake_lease_worker.h"
#include "fake_store.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_func.h"

#include <algorithm>

namespace bulrushloft::test {

namespace {

    using cell::CellNode;
    using scheduler::JobStage;

    constexpr const char* configText = "config";
    constexpr Duration tickLength { 10 };
    constexpr Duration clientDeadline { 3'000 };
    constexpr Duration clientRetry { 400 };
    constexpr Duration visibleWithin { 3'000 }; ///< The platform's bound for an accepted job to be known everywhere.
    constexpr int clientTries = 8;

    /** A daemon with its process. */
    struct WorldNode {
        std::string m_name;
        std::unique_ptr<CellNode> m_cell; ///< Null while the process is down.
        std::shared_ptr<bool> m_isAlive; ///< False for callbacks of an ended process.
        std::int64_t m_frozenUntil = 0;
        std::int64_t m_suspended = 0; ///< Total suspension, which the steady clock does not show.
        std::int64_t m_downUntil = 0;
        std::int64_t m_cutFromStoreUntil = 0;
        std::uint64_t m_starts = 0;
        std::deque<std::function<void()>> m_held; ///< Answers that came during a suspension.
    };

    /** A job as its client knows it. */
    struct WorldJob {
        std::string m_id;
        int m_tries = 0;
        bool m_isAccepted = false;
        bool m_mayBeKnown = false; ///< Some try had another outcome than "nothing was done".
        bool m_isCancelled = false;
        bool m_hasStarted = false;
        bool m_isComplete = false;
        std::int64_t m_cancelAckedAt = 0;
        std::int64_t m_acceptedAt = 0;
    };

    struct World {
        explicit World(const CellWorldOptions& options);

        CellWorldResult run();
        std::int64_t random(std::int64_t low, std::int64_t high) { return std::uniform_int_distribution<std::int64_t>(low, high)(m_random); }
        bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
        void at(std::int64_t delay, std::function<void()> work) { m_events.emplace(m_now + std::max<std::int64_t>(delay, 1), std::move(work)); }
        void violate(const std::string& what) { m_result.m_violations.push_back(std::to_string(m_now) + " ms: " + what); }

        void startNode(WorldNode& node);
        void stopNode(WorldNode& node, std::int64_t downFor);
        cell::CellPorts portsOf(WorldNode& node);
        std::int64_t steadyOf(const WorldNode& node) const { return m_now - node.m_suspended; }
        template <typename Callback>
        void answer(WorldNode& node, const std::shared_ptr<bool>& alive, std::int64_t delay, Callback callback);
        template <typename Answer, typename Perform>
        void callStore(WorldNode& node, Duration timeout, std::function<void(Answer)> onAnswer, Perform perform);
        FakeLeaseWorker* findWorker(const std::string& id);
        void makeWorker(int index);
        void announce(const FakeLeaseWorker& worker);
        void submit(std::size_t index);
        void cancel(std::size_t index, int tries);
        void ask(std::size_t index);
        void fault();
        void checkStart(const FakeLeaseWorker& worker, const TaskName& task, std::uint32_t attempt);
        void tick();
        void finish();

        CellWorldOptions m_options;
        std::mt19937_64 m_random;
        std::int64_t m_now = 10'000;
        std::multimap<std::int64_t, std::function<void()>> m_events;
        FakeStore m_store;
        std::int64_t m_storeDownUntil = 0;
        bool m_isStoreSilent = false;
        std::int64_t m_storeSlowUntil = 0;
        std::int64_t m_storeLossyUntil = 0;
        std::deque<WorldNode> m_nodes;
        std::deque<FakeLeaseWorker> m_workers;
        std::vector<WorldJob> m_jobs;
        std::map<std::string, std::size_t> m_jobById;
        std::map<TaskName, std::string> m_runningOn; ///< Worker by task that runs.
        std::set<TaskName> m_notedDone; ///< Tasks whose done end was acknowledged.
        CellWorldResult m_result;
    };

    JobPlan makePlan(std::int64_t steps, std::int64_t width)
    {
        JobPlan plan;
        plan.m_payload = "p";
        for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(steps); ++i)
            plan.m_steps.push_back({ .m_count = static_cast<std::uint32_t>(width), .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1, .m_gpus = 0 }, .m_estimate = { 600 }, .m_after = i == 0 ? std::vector<std::uint32_t> {} : std::vector<std::uint32_t> { i - 1 } });
        return plan;
    }

    World::World(const CellWorldOptions& options)
        : m_options(options)
        , m_random(options.m_seed)
    {
        m_store.append({ .m_partition = { .m_topic = "op" }, .m_records = { { .m_key = configText, .m_value = "1" } }, .m_writer = {}, .m_expectedEnd = {} });
        for (int i = 0; i < options.m_workers; ++i)
            makeWorker(i);
        for (int i = 0; i < options.m_nodes; ++i) {
            m_nodes.emplace_back();
            m_nodes.back().m_name = "n" + std::to_string(i);
            startNode(m_nodes.back());
        }
    }

    void World::makeWorker(int index)
    {
        FakeLeaseWorker& worker = m_workers.emplace_back();
        worker.m_id = "w" + std::to_string(index);
        worker.m_startedAt = m_now - random(0, 5'000);
        worker.m_onStart = [this](const FakeLeaseWorker& on, const TaskName& task, std::uint32_t attempt) { checkStart(on, task, attempt); };
        worker.m_onEnd = [this](const FakeLeaseWorker& on, const TaskName& task, std::uint32_t, AttemptEnd) {
            const auto found = m_runningOn.find(task);
            if (found != m_runningOn.end() && found->second == on.m_id)
                m_runningOn.erase(found);
        };
        worker.m_onAck = [this](const FakeLeaseWorker&, const EndedAttempt& ended) {
            if (ended.m_end == AttemptEnd::Done)
                m_notedDone.insert(ended.m_task);
        };
        announce(worker);
    }

    void World::announce(const FakeLeaseWorker& worker)
    {
        m_store.append({ .m_partition = { .m_topic = "workers" }, .m_records = { { .m_key = worker.m_id, .m_value = std::to_string(worker.m_processStartMs) } }, .m_writer = {}, .m_expectedEnd = {} });
    }

    FakeLeaseWorker* World::findWorker(const std::string& id)
    {
        const auto found = std::find_if(m_workers.begin(), m_workers.end(), [&](const FakeLeaseWorker& worker) { return worker.m_id == id; });
        return found == m_workers.end() ? nullptr : &*found;
    }

    void World::checkStart(const FakeLeaseWorker& worker, const TaskName& task, std::uint32_t attempt)
    {
        ++m_result.m_runs;
        const std::string what = format(task) + " attempt " + std::to_string(attempt) + " on " + worker.m_id;
        if (const auto on = m_runningOn.find(task); on != m_runningOn.end())
            violate("TWICE: " + what + " while it runs on " + on->second);
        if (m_notedDone.contains(task))
            violate("TWICE: " + what + " after its end was acknowledged");
        m_runningOn[task] = worker.m_id;
        const auto used = static_cast<std::int64_t>(worker.m_running.size() + 1) * worker.m_taskMilli;
        if (used > worker.m_capacityMilli)
            violate("LIMIT: " + what + " goes beyond the capacity");
        const auto job = m_jobById.find(task.m_job);
        if (job == m_jobById.end())
            return violate("UNASKED: " + what);
        m_jobs[job->second].m_hasStarted = true;
        if (task.m_step > 0) {
            for (std::uint32_t i = 0; i < 64; ++i) {
                const TaskName earlier { .m_job = task.m_job, .m_occurrence = 0, .m_step = task.m_step - 1, .m_index = i };
                if (m_runningOn.contains(earlier))
                    violate("ORDER: " + what + " while " + format(earlier) + " runs");
            }
        }
    }

    template <typename Callback>
    void World::answer(WorldNode& node, const std::shared_ptr<bool>& alive, std::int64_t delay, Callback callback)
    {
        at(delay, [this, &node, alive, callback] {
            if (!*alive)
                return;
            const auto deliver = [this, &node, alive, callback] {
                if (!*alive)
                    return;
                noteTime(*node.m_cell, { steadyOf(node) }, { m_now });
                callback();
            };
            if (m_now < node.m_frozenUntil)
                node.m_held.push_back(deliver);
            else
                deliver();
        });
    }

    template <typename Answer, typename Perform>
    void World::callStore(WorldNode& node, Duration timeout, std::function<void(Answer)> onAnswer, Perform perform)
    {
        const auto alive = node.m_isAlive;
        const std::int64_t delay = random(2, 8) * (m_now < m_storeSlowUntil ? 40 : 1);
        const bool isCut = m_now < node.m_cutFromStoreUntil;
        const bool isDown = m_now < m_storeDownUntil || isCut;
        if (isDown && (m_isStoreSilent || isCut)) {
            Answer none {};
            none.m_status = StoreStatus::Unknown;
            return answer(node, alive, timeout.m_ms, [onAnswer, none] { onAnswer(none); });
        }
        if (isDown) {
            Answer refused {};
            refused.m_status = StoreStatus::NotDone;
            return answer(node, alive, delay, [onAnswer, refused] { onAnswer(refused); });
        }
        const bool isLost = m_now < m_storeLossyUntil && chance(0.3);
        // A call without an answer may be carried out seconds later.
        const std::int64_t lateBy = isLost && chance(0.5) ? random(500, 4'000) : 0;
        at(delay / 2 + lateBy, [this, &node, alive, onAnswer, perform, delay, timeout, isLost] {
            const Answer done = perform();
            if (isLost || delay > timeout.m_ms)
                return;
            answer(node, alive, delay / 2, [onAnswer, done] { onAnswer(done); });
        });
        if (isLost || delay > timeout.m_ms) {
            Answer none {};
            none.m_status = StoreStatus::Unknown;
            answer(node, alive, timeout.m_ms, [onAnswer, none] { onAnswer(none); });
        }
    }

    cell::CellPorts World::portsOf(WorldNode& node)
    {
        cell::CellPorts ports;
        ports.m_append = [this, &node](const StoreAppend& append, Duration timeout, std::function<void(StoreAppendAnswer)> onAnswer) {
            callStore<StoreAppendAnswer>(node, timeout, std::move(onAnswer), [this, append] { return m_store.append(append); });
        };
        ports.m_read = [this, &node](const StoreRead& read, Duration timeout, std::function<void(StoreReadAnswer)> onAnswer) {
            callStore<StoreReadAnswer>(node, timeout, std::move(onAnswer), [this, read] { return m_store.read(read); });
        };
        ports.m_newest = [this, &node](const StoreNewestRead& newest, Duration timeout, std::function<void(StoreNewestAnswer)> onAnswer) {
            callStore<StoreNewestAnswer>(node, timeout, std::move(onAnswer), [this, newest] { return m_store.newest(newest); });
        };
        ports.m_callPeer = [this, &node](const Address& address, const PeerMessage& message, Duration timeout, const std::function<void(std::optional<PeerReply>)>& onReply) {
            const auto alive = node.m_isAlive;
            WorldNode& peer = m_nodes[address.m_port];
            if (!peer.m_cell)
                return answer(node, alive, 2, [onReply] { onReply(std::nullopt); });
            auto isAnswered = std::make_shared<bool>(false);
            answer(peer, peer.m_isAlive, 1, [this, &node, &peer, alive, message, onReply, isAnswered] {
                onPeerMessage(*peer.m_cell, message, [this, &node, alive, onReply, isAnswered](const PeerReply& reply) {
                    answer(node, alive, 1, [onReply, reply, isAnswered] {
                        if (!std::exchange(*isAnswered, true))
                            onReply(reply);
                    });
                });
            });
            answer(node, alive, timeout.m_ms, [onReply, isAnswered] {
                if (!std::exchange(*isAnswered, true))
                    onReply(std::nullopt);
            });
        };
        const auto order = [this, &node](const OrderTarget& to, Duration timeout, const std::function<void(OrderStatus)>& onAnswer, const std::function<OrderStatus(FakeLeaseWorker&)>& perform) {
            FakeLeaseWorker* const worker = findWorker(to.m_worker);
            const auto alive = node.m_isAlive;
            if (worker->m_isDown)
                return answer(node, alive, 2, [onAnswer] { onAnswer(OrderStatus::NotSent); });
            const bool isLate = chance(m_options.m_lateOrders);
            if (worker->m_isDark || isLate) {
                if (isLate) {
                    // An order on its way ends with the connection to a process that ends.
                    at(random(2'000, 12'000), [worker, perform, born = worker->m_processStartMs] {
                        if (!worker->m_isDown && !worker->m_isDark && worker->m_processStartMs == born)
                            perform(*worker);
                    });
                }
                return answer(node, alive, timeout.m_ms, [onAnswer] { onAnswer(OrderStatus::NoAnswer); });
            }
            at(1, [this, &node, worker, perform, onAnswer, alive] {
                const OrderStatus status = worker->m_isDown ? OrderStatus::NotSent : perform(*worker);
                answer(node, alive, 1, [onAnswer, status] { onAnswer(status); });
            });
        };
        ports.m_start = [this, order](const AddressedOrder<StartOrder>& start, Duration timeout, const std::function<void(OrderStatus)>& onAnswer) {
            order(start.m_to, timeout, onAnswer, [this, start](FakeLeaseWorker& worker) { return worker.start(start.m_order, start.m_to.m_token, random(200, 1'500), m_now); });
        };
        ports.m_stop = [order](const AddressedOrder<StopOrder>& stop, Duration timeout, const std::function<void(OrderStatus)>& onAnswer) {
            order(stop.m_to, timeout, onAnswer, [stop](FakeLeaseWorker& worker) { return worker.stop(stop.m_order, stop.m_to.m_token); });
        };
        ports.m_pace = [](const AddressedOrder<PaceOrder>&, Duration, const std::function<void(OrderStatus)>&) {};
        ports.m_sync = [this, order](const AddressedOrder<SyncOrder>& sync, Duration timeout, const std::function<void(OrderStatus, const SyncReport&)>& onAnswer) {
            auto report = std::make_shared<SyncReport>();
            const auto perform = [this, sync, report](FakeLeaseWorker& worker) {
                const auto done = worker.sync(sync.m_order, sync.m_to.m_token, m_now);
                *report = done.value_or(SyncReport {});
                return done ? OrderStatus::Done : OrderStatus::Fenced;
            };
            // A wait at the worker is played as a pause before the call.
            at(sync.m_order.m_wait.m_ms / 10, [order, sync, timeout, onAnswer, report, perform] {
                order(
                    sync.m_to, timeout, [onAnswer, report](OrderStatus status) { onAnswer(status, *report); }, perform);
            });
        };
        ports.m_askApprovals = [](const TaskName&, const std::vector<std::string>&, Duration, const std::function<void(std::optional<std::vector<Approval>>)>& onAnswer) { onAnswer(std::nullopt); };
        return ports;
    }

    void World::startNode(WorldNode& node)
    {
        const auto index = static_cast<std::uint16_t>(std::find_if(m_nodes.begin(), m_nodes.end(), [&](const WorldNode& other) { return &other == &node; }) - m_nodes.begin());
        cell::CellOptions options;
        options.m_self = { .m_name = node.m_name, .m_address = { "127.0.0.1", index }, .m_instance = static_cast<std::uint64_t>(index) * 1'000 + ++node.m_starts * 17, .m_strength = 25 };
        if (m_options.m_seed % 2 == 0)
            options.m_relayFrom = 1; // Orders go through peers in every other world.
        options.m_seeds = { { "127.0.0.1", 0 }, { "127.0.0.1", 1 } };
        options.m_topics = { .m_operator = "op", .m_workers = "workers" };
        cell::CellDecoders decoders;
        decoders.m_operator = [](const std::string&, const std::string&) -> cell::OperatorRecord {
            return ClusterSettings { .m_version = 1, .m_queues = { { .m_name = "q", .m_host = "h", .m_pathPrefix = "/q/", .m_pool = "pool", .m_priority = 0, .m_attemptLimit = 3, .m_slackFactor = 3, .m_latencyTarget = { 500 }, .m_timeout = { 3'000 }, .m_approval = {} } }, .m_pools = { { .m_name = "pool" } } };
        };
        decoders.m_worker = [](const std::string& id, const std::string& value) -> std::optional<WorkerAnnouncement> {
            return WorkerAnnouncement { .m_id = id, .m_pool = "pool", .m_address = { "127.0.0.2", 1 }, .m_zone = "a", .m_machine = {}, .m_capacity = { .m_cpuMilli = 4'000, .m_memoryMb = 1'000, .m_gpus = 0 }, .m_labels = {}, .m_isDraining = false, .m_remainingDrainTime = {}, .m_processStartMs = std::stoll(value) };
        };
        decoders.m_plan = [](const std::string& body) -> Expected<JobPlan> { return makePlan(body[0] - '0', body[1] - '0'); };
        node.m_isAlive = std::make_shared<bool>(true);
        node.m_suspended = 0;
        node.m_held.clear();
        node.m_cell = makeCell(std::move(options), portsOf(node), std::move(decoders), { m_now }, {});
        node.m_cell->m_bootSeenAt = { m_now };
    }

    void World::stopNode(WorldNode& node, std::int64_t downFor)
    {
        if (!node.m_cell)
            return;
        m_result.m_terms += node.m_cell->m_counters.m_terms;
        *node.m_isAlive = false;
        node.m_cell.reset();
        node.m_held.clear();
        node.m_frozenUntil = 0;
        node.m_downUntil = m_now + downFor;
    }

    void World::submit(std::size_t index)
    {
        WorldJob& job = m_jobs[index];
        if (job.m_isAccepted || ++job.m_tries > clientTries)
            return;
        WorldNode& node = m_nodes[static_cast<std::size_t>(random(0, m_options.m_nodes - 1))];
        const auto again = [this, index] { at(clientRetry.m_ms, [this, index] { submit(index); }); };
        if (!node.m_cell)
            return again();
        const ClientCall call { .m_verb = ClientVerb::Submit, .m_host = "h", .m_path = "/q/" + job.m_id, .m_body = std::to_string(1 + index % 3) + std::to_string(1 + index % 6), .m_arrivedAt = { steadyOf(node) }, .m_deadline = { steadyOf(node) + clientDeadline.m_ms } };
        auto isAnswered = std::make_shared<bool>(false);
        at(clientDeadline.m_ms, [this, index, isAnswered, again] {
            if (std::exchange(*isAnswered, true))
                return;
            m_jobs[index].m_mayBeKnown = true;
            again();
        });
        answer(node, node.m_isAlive, 1, [this, &node, call, index, isAnswered, again] {
            onClientCall(*node.m_cell, call, [this, index, isAnswered, again](const ClientReply& reply) {
                if (reply.m_status != ClientStatus::NotDone)
                    m_jobs[index].m_mayBeKnown = true;
                if (reply.m_status == ClientStatus::Accepted && !std::exchange(m_jobs[index].m_isAccepted, true))
                    m_jobs[index].m_acceptedAt = m_now;
                if (!std::exchange(*isAnswered, true) && reply.m_status != ClientStatus::Accepted)
                    again();
            });
        });
    }

    void World::cancel(std::size_t index, int tries)
    {
        WorldJob& job = m_jobs[index];
        if (!job.m_isAccepted || job.m_cancelAckedAt > 0 || tries > clientTries * 4)
            return;
        job.m_isCancelled = true;
        at(clientRetry.m_ms, [this, index, tries] { cancel(index, tries + 1); });
        WorldNode& node = m_nodes[static_cast<std::size_t>(random(0, m_options.m_nodes - 1))];
        if (!node.m_cell)
            return;
        const ClientCall call { .m_verb = ClientVerb::Cancel, .m_host = "h", .m_path = "/q/" + job.m_id, .m_body = {}, .m_arrivedAt = { steadyOf(node) }, .m_deadline = { steadyOf(node) + clientDeadline.m_ms } };
        answer(node, node.m_isAlive, 1, [this, &node, call, index] {
            onClientCall(*node.m_cell, call, [this, index](const ClientReply& reply) {
                if (reply.m_status == ClientStatus::Cancelled && m_jobs[index].m_cancelAckedAt == 0)
                    m_jobs[index].m_cancelAckedAt = m_now;
            });
        });
    }

    void World::ask(std::size_t index)
    {
        WorldJob& job = m_jobs[index];
        if (job.m_isComplete || !job.m_isAccepted)
            return;
        WorldNode& node = m_nodes[static_cast<std::size_t>(random(0, m_options.m_nodes - 1))];
        if (!node.m_cell)
            return;
        const ClientCall call { .m_verb = ClientVerb::Query, .m_host = "h", .m_path = "/q/" + job.m_id, .m_body = {}, .m_arrivedAt = { steadyOf(node) }, .m_deadline = { steadyOf(node) + clientDeadline.m_ms } };
        answer(node, node.m_isAlive, 1, [this, &node, call, index] {
            onClientCall(*node.m_cell, call, [this, index](const ClientReply& reply) {
                WorldJob& asked = m_jobs[index];
                const bool mustBeVisible = m_now - asked.m_acceptedAt > visibleWithin.m_ms;
                if (reply.m_status == ClientStatus::NoSuchJob && mustBeVisible && !asked.m_isCancelled)
                    violate("LOST: job " + asked.m_id + " is denied");
                const auto stage = static_cast<JobStage>(reply.m_stage);
                if (reply.m_status != ClientStatus::Known)
                    return;
                if (stage == JobStage::Complete)
                    asked.m_isComplete = true;
                if (stage == JobStage::Failed || (stage == JobStage::Cancelled && !asked.m_isCancelled))
                    violate("LOST: job " + asked.m_id + " is shown as ended without cause");
            });
        });
    }

    void World::fault()
    {
        WorldNode& node = m_nodes[static_cast<std::size_t>(random(0, m_options.m_nodes - 1))];
        const auto leader = std::find_if(m_nodes.begin(), m_nodes.end(), [](const WorldNode& other) { return other.m_cell && other.m_cell->m_role == cell::Role::Leading; });
        WorldNode& victim = leader != m_nodes.end() && chance(0.6) ? *leader : node;
        FakeLeaseWorker& worker = m_workers[static_cast<std::size_t>(random(0, m_options.m_workers - 1))];
        switch (random(0, 9)) {
        case 0:
            return stopNode(victim, random(200, 4'000));
        case 1:
            victim.m_frozenUntil = m_now + random(700, 5'000);
            return;
        case 2:
            victim.m_cutFromStoreUntil = m_now + random(1'000, 6'000);
            return;
        case 3:
            m_storeDownUntil = m_now + random(500, 5'000);
            m_isStoreSilent = chance(0.5);
            return;
        case 4:
            m_storeSlowUntil = m_now + random(1'000, 4'000);
            return;
        case 5:
            m_storeLossyUntil = m_now + random(1'000, 4'000);
            return;
        case 6:
            worker.m_isDark = true;
            at(random(1'000, 9'000), [&worker] { worker.m_isDark = false; });
            return;
        case 7:
            worker.crash();
            at(random(300, 5'000), [this, &worker] {
                worker.restart(m_now);
                announce(worker);
            });
            return;
        case 8:
            m_store.forgetHistory();
            return;
        default:
            for (WorldNode& each : m_nodes)
                stopNode(each, random(300, 1'500));
        }
    }

    void World::tick()
    {
        for (FakeLeaseWorker& worker : m_workers)
            worker.tick(m_now);
        for (WorldNode& node : m_nodes) {
            if (!node.m_cell) {
                if (m_now >= node.m_downUntil)
                    startNode(node);
                continue;
            }
            if (m_now < node.m_frozenUntil) {
                node.m_suspended += tickLength.m_ms;
                continue;
            }
            for (auto held = std::exchange(node.m_held, {}); const auto& deliver : held)
                deliver();
            stepCell(*node.m_cell, { steadyOf(node) }, { m_now });
            if (node.m_cell->m_scheduler && !isConsistent(*node.m_cell->m_scheduler))
                violate("the scheduler of " + node.m_name + " is inconsistent");
        }
    }

    void World::finish()
    {
        for (WorldNode& node : m_nodes)
            stopNode(node, 0);
        for (const WorldJob& job : m_jobs) {
            m_result.m_accepted += job.m_isAccepted ? 1 : 0;
            m_result.m_complete += job.m_isComplete ? 1 : 0;
            m_result.m_cancelled += job.m_cancelAckedAt > 0 ? 1 : 0;
            const bool isRefused = !job.m_isAccepted && !job.m_mayBeKnown;
            m_result.m_refused += isRefused ? 1 : 0;
            if (isRefused && job.m_hasStarted)
                violate("REFUSED: job " + job.m_id + " ran");
            if (job.m_isAccepted && !job.m_isCancelled && !job.m_isComplete)
                violate("LOST: job " + job.m_id + " is not complete");
        }
        for (const auto& [task, worker] : m_runningOn) {
            if (m_jobs[m_jobById.at(task.m_job)].m_cancelAckedAt > 0)
                violate("UNASKED: " + format(task) + " runs on " + worker + " though its job was cancelled");
        }
    }

    CellWorldResult World::run()
    {
        const std::int64_t begin = m_now + 1'500;
        for (int i = 0; i < m_options.m_jobs; ++i) {
            WorldJob job;
            job.m_id = std::to_string(1'000'000'000'000'000ULL + static_cast<std::uint64_t>(i));
            m_jobById[job.m_id] = m_jobs.size();
            m_jobs.push_back(job);
            const std::int64_t when = begin - m_now + random(0, m_options.m_load.m_ms);
            at(when, [this, i] { submit(static_cast<std::size_t>(i)); });
            if (chance(0.1))
                at(when + random(100, 3'000), [this, i] { cancel(static_cast<std::size_t>(i), 0); });
        }
        for (int i = 0; i < m_options.m_faults; ++i)
            at(begin - m_now + random(0, m_options.m_load.m_ms), [this] { fault(); });
        const std::int64_t end = begin + m_options.m_load.m_ms + m_options.m_quiet.m_ms;
        std::int64_t nextAsk = begin;
        while (m_now < end && m_result.m_violations.empty()) {
            const std::int64_t nextTick = m_now + tickLength.m_ms;
            while (!m_events.empty() && m_events.begin()->first <= nextTick) {
                auto event = m_events.extract(m_events.begin());
                m_now = std::max(m_now, event.key());
                event.mapped()();
            }
            m_now = nextTick;
            tick();
            if (m_now >= nextAsk) {
                constexpr std::int64_t askInterval = 700;
                nextAsk = m_now + askInterval;
                for (std::size_t i = 0; i < m_jobs.size(); ++i)
                    ask(i);
            }
        }
        if (m_result.m_violations.empty())
            finish();
        return m_result;
    }

} // namespace

CellWorldResult runCellWorld(const CellWorldOptions& options)
{
    return World(options).run();
}

} // namespace bulrushloft::test
