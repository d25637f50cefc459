/** @file cell_simulation.cpp Construction and course of a simulation. */
#include "cell_simulation_base.h"

#include "process/scheduler/scheduler_func.h"

#include <limits>

namespace bulrushloft::test {

CellSimulation::CellSimulation(const CellSimulationOptions& options)
    : m_options(options)
    , m_random(options.m_seed)
    , m_keyRandom(options.m_seed + 7'919)
    , m_queues(simulatedQueues(options.m_needsApprovals))
{
    if (options.m_queueMoves.m_count > 0)
        m_poolMarks.push_back({ .m_at = 0, .m_text = std::string(m_queues.size(), '0') });
    for (int i = 0; i < options.m_keyChanges.m_customers; ++i)
        m_keys.push_back({ .m_customer = i, .m_text = "k" + std::to_string(i), .m_addedAt = m_now, .m_removedAt = {} });
    m_store.append({ .m_partition = { .m_topic = "op" }, .m_records = { { .m_key = configKey, .m_value = configText() } }, .m_writer = {}, .m_expectedEnd = {} });
    for (int i = 0; i < options.m_workers; ++i)
        makeWorker(i);
    for (int i = 0; i < options.m_nodes; ++i) {
        m_nodes.emplace_back();
        m_nodes.back().m_name = "n" + std::to_string(i);
        startNode(m_nodes.back());
    }
    if (options.m_joiningVm.m_at.m_ms == 0)
        return;
    m_nodes.emplace_back();
    m_nodes.back().m_name = "n" + std::to_string(options.m_nodes);
    m_nodes.back().m_downUntil = std::numeric_limits<std::int64_t>::max(); // Until scheduleJoiningVm() starts it.
}

void CellSimulation::makeWorker(int index)
{
    FakeLeaseWorker& worker = m_workers.emplace_back();
    worker.m_id = "w" + std::to_string(index);
    worker.m_clockOriginMs = m_now - randomBetween(0, 5'000);
    worker.m_capacityCpuMilli = simulatedCapacity(m_options.m_needsApprovals).m_cpuMilli;
    if (m_options.m_needsApprovals) {
        worker.m_isTicketValid = [this](const FakeLeaseWorker& asked, const StartOrder& order) {
            const bool isValid = FakeApprovals::isValid(order.m_ticket, order.m_task, asked, m_now);
            m_result.m_refusedTickets += isValid ? 0 : 1;
            return isValid;
        };
    }
    worker.m_onStart = [this](const FakeLeaseWorker& startedOn, const TaskName& task, std::uint32_t attempt) {
        checkStart(startedOn, task, attempt);
        measureStart(task);
    };
    worker.m_onEnd = [this](const FakeLeaseWorker& endedOn, const TaskName& task, std::uint32_t attempt, AttemptEnd end) {
        if (end == AttemptEnd::LeaseExpired)
            checkLapse(endedOn, task, attempt);
        if (end == AttemptEnd::Done) {
            m_endedDone.insert(task);
            noteSilentEnd();
        }
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
    const auto found = std::find_if(m_workers.begin(), m_workers.end(), [&](const FakeLeaseWorker& worker) { return FakeLeaseWorker::machineOf(worker.m_id) == FakeLeaseWorker::machineOf(id); });
    return found == m_workers.end() ? nullptr : &*found;
}

void CellSimulation::startNode(SimulatedNode& node)
{
    const auto index = static_cast<std::uint16_t>(std::find_if(m_nodes.begin(), m_nodes.end(), [&](const SimulatedNode& other) { return &other == &node; }) - m_nodes.begin());
    cell::CellOptions options;
    options.m_self = { .m_name = node.m_name, .m_address = { "127.0.0.1", index }, .m_instance = static_cast<std::uint64_t>(index) * 1'000 + ++node.m_startCount * 17, .m_strength = 25 };
    if (m_options.m_seed % 2 == 0)
        options.m_relayMinWorkers = 1; // With an even seed, peers relay the orders.
    if (m_options.m_joiningVm.m_at.m_ms > 0 && !isJoiningVm(node))
        options.m_claimDelayPerRank = { 600 }; // Longer than a heartbeat, so that the VM that joins claims first.
    if (isJoiningVm(node)) {
        constexpr std::uint64_t laterInstance = 100'000'000; // Instances count microseconds.
        constexpr int strengthOfJoiningVm = 40; // Preferred, but not by so much that a leader hands over to it.
        options.m_self.m_instance += laterInstance;
        options.m_self.m_strength = strengthOfJoiningVm;
    }
    options.m_seeds = { { "127.0.0.1", 0 }, { "127.0.0.1", 1 } };
    options.m_topics = { .m_operator = "op", .m_workers = "workers" };
    if (!m_keys.empty())
        options.m_keyRevocation = m_options.m_keyChanges.m_limit;
    cell::CellDecoders decoders;
    decoders.m_operator = [this](const std::string&, const std::string& value) { return decodeConfig(value); };
    if (m_options.m_caps.m_customers > 0) {
        options.m_scheduler.m_capOverrun = m_options.m_caps.m_overrun;
        decoders.m_operator = [this](const std::string&, const std::string& value) -> cell::OperatorRecord {
            ClusterSettings settings = makeSettings(m_queues);
            settings.m_version = std::stoull(value);
            settings.m_customers = makeCustomers(std::stoll(value));
            applyPools(settings, value);
            return settings;
        };
    }
    if (m_options.m_customerWeight > 0) {
        decoders.m_operator = [this](const std::string&, const std::string&) -> cell::OperatorRecord {
            ClusterSettings settings = makeSettings(m_queues);
            settings.m_customers = { { .m_name = simulatedCustomer, .m_keys = { simulatedKey }, .m_weight = m_options.m_customerWeight, .m_cap = {} } };
            return settings;
        };
    }
    // The value of an announcement is the start of the process and the CPU capacity.
    decoders.m_worker = [this](const std::string& id, const std::string& value) -> std::optional<WorkerAnnouncement> {
        Resources capacity = simulatedCapacity(m_options.m_needsApprovals);
        capacity.m_cpuMilli = std::stoll(value.substr(value.find(' ')));
        return WorkerAnnouncement { .m_id = id, .m_pool = poolOfWorker(id), .m_address = { "127.0.0.2", 1 }, .m_zone = "a", .m_machine = {}, .m_capacity = capacity, .m_labels = m_options.m_needsApprovals ? std::vector<std::string> { "gpu", "r1-" + std::to_string(std::stoi(id.substr(1)) % rackCount) } : std::vector<std::string> {}, .m_isDraining = false, .m_remainingDrainTime = {}, .m_processStartMs = std::stoll(value) };
    };
    decoders.m_plan = [this](const std::string& body) -> Expected<JobPlan> {
        return makePlan(m_queues, body);
    };
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
    dropConnections(node, false, true);
    std::erase_if(m_waitingCalls, [&](const auto& entry) { return std::get<0>(entry.first) == &node; });
    *node.m_isAlive = false;
    node.m_cell.reset();
    node.m_deferredDeliveries.clear();
    node.m_suspendedUntil = 0;
    node.m_busyUntil = 0;
    node.m_roundEndsAt = 0;
    node.m_downUntil = m_now + downFor;
}

void CellSimulation::tick()
{
    for (FakeLeaseWorker& worker : m_workers)
        worker.tick(m_now);
    tickGangs();
    closeConnectionsOfFormerLeaders();
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

CellSimulationResult CellSimulation::run()
{
    m_loadStart = m_now + 1'500;
    m_loadEnd = m_loadStart + m_options.m_loadDuration.m_ms;
    const std::int64_t loadStart = m_loadStart;
    for (int i = 0; i < m_options.m_jobs; ++i)
        addJob(loadStart - m_now + randomBetween(0, m_options.m_loadDuration.m_ms));
    scheduleOutages();
    scheduleZoneCuts();
    scheduleStoreOutage();
    scheduleTakeOver();
    scheduleJoiningVm();
    scheduleSilence();
    scheduleConnectionFaults();
    scheduleCrashSeries();
    scheduleKeyChanges();
    scheduleCapChanges();
    scheduleQueueMoves();
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
        checkStandstill();
        checkPartitions();
        checkSilence();
        observeLeaders();
    }
    if (m_result.m_violations.empty() || !m_options.m_stopsAtViolation)
        finish();
    return m_result;
}

CellSimulationResult runCellSimulation(const CellSimulationOptions& options)
{
    return CellSimulation(options).run();
}

} // namespace bulrushloft::test
