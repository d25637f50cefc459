/** @file node_simulation.cpp The simulated clock, network, faults and callers, and the checks of the answers to callers and of the runs on endpoints. */
#include "node_simulation.h"

#include "core/invariant.h"
#include "core/log_func.h"
#include "process/node/member_func.h"
#include "request/job_func.h"
#include "version/settings_func.h"

#include <algorithm>
#include <iostream>
#include <sstream>

namespace bulrushloft {

namespace {

    constexpr Duration callTimeout { 3'000 }; ///< Timeout of a daemon's calls to the log and to endpoints, other than dispatches; extended by the waiting time of a long poll.
    constexpr Duration pollInterval { 40 }; ///< Interval at which a waiting long poll checks for new entries or ended tasks.
    constexpr Duration tickInterval { 10 }; ///< Interval at which workers end tasks and expire leases.
    constexpr Duration checkInterval { 500 }; ///< Interval of the checks that run during the simulation.
    constexpr Duration callerTimeLimit { 25'000 }; ///< Time after which a caller stops retrying.
    constexpr Duration maxDrainDelay { 5'000 }; ///< No work may start on a VM later than this after its state was set to leaving.

    const std::vector<std::string> pools { "proof", "engraving" };
    const std::vector<std::string> teams { "salto", "paysandu" };

    struct ScheduledEvent {
        TimePoint m_time;
        std::uint64_t m_order = 0; ///< Scheduling order, in which events of the same time run.
        std::function<void()> m_action;

        /** Inverted, so that the earliest event is at the top of the queue. */
        bool operator<(const ScheduledEvent& other) const
        {
            return m_time != other.m_time ? m_time > other.m_time : m_order > other.m_order;
        }
    };

    /** A VM that runs one daemon; it stays the same when the process is restarted. */
    struct NodeHost {
        std::string m_name;
        Address m_address;
        std::unique_ptr<Node> m_node; ///< Null while no process runs.
        InstanceId m_instance; ///< Instance of the latest process; messages for an earlier one are dropped.
        TimePoint m_suspendedUntil; ///< Time until which the process executes nothing.
        std::vector<std::function<void()>> m_deferredDeliveries; ///< Messages and answers that arrived during a suspension; delivered at its end.
        TimePoint m_nextStep;
        std::uint64_t m_lastSettingsVersion = 0; ///< Settings version of this process at the latest check; must not decrease.
        bool m_isLogUnreachable = false;
        bool m_arePeersUnreachable = false;
        std::set<std::string> m_unreachableEndpoints;
    };

} // namespace

std::ostream& operator<<(std::ostream& stream, const Fault& fault)
{
    constexpr const char* names[] = { "KillNode", "SuspendNode", "PartitionNodeFromLog", "PartitionNodeFromEndpoints", "PartitionNodeFromPeers", "PartitionWorker", "RebootWorker", "RebootRunner", "LogOutage", "LoseAppendAnswers", "DelayMessages", "WorkerLeaves", "RunnerLeaves", "KillAllNodes", "ShutDownNode", "CancelJobs", "FailingWorker" };
    return stream << names[static_cast<unsigned>(fault.m_kind)] << "(" << fault.m_target << ")@" << fault.m_atMs << "+" << fault.m_durationMs;
}

struct NodeSimulation::Impl {
    explicit Impl(NodeSimulationOptions options)
        : m_options(std::move(options))
        , m_random(m_options.m_seed)
    {
    }

    // Clock, random choices and network.
    void at(TimePoint time, std::function<void()> work) { m_queue.push({ time, ++m_order, std::move(work) }); }
    void after(Duration delay, std::function<void()> work) { at(m_now + delay, std::move(work)); }
    std::int64_t randomBetween(std::int64_t low, std::int64_t high) { return std::uniform_int_distribution<std::int64_t>(low, high)(m_random); }
    bool randomBool(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
    Duration randomLatency() { return { randomBetween(0, 3) }; }
    bool shouldDelayMessage() { return m_areMessagesDelayed && randomBool(0.05); }
    void runUntil(TimePoint end);

    // Daemons, by index in m_hosts.
    void startNode(std::size_t index);
    /** Ends the process and closes the connections of its callers. */
    void killNode(std::size_t index);
    /** Lets a process handle a message. It is deferred while the process is suspended, and dropped once the process has ended. */
    void deliver(std::size_t index, InstanceId instance, std::function<void(Node&, Effects&)> handle);
    /** Delivers deferred messages, executes what is due in a process and schedules the next step, at most 50 ms later. */
    void stepNode(std::size_t index);
    void performEffects(std::size_t index, Effects& effects);
    void performLogEffects(std::size_t index, Effects& effects);
    void performWorkerEffects(std::size_t index, Effects& effects);
    void performRunnerEffects(std::size_t index, Effects& effects);
    void performPeerEffects(std::size_t index, Effects& effects);
    bool isReachable(std::size_t index, const std::string& endpoint) const;
    /**
     * Calls a worker or runner, subject to the delays and faults in force.
     * @param handle Executes the call on the endpoint and passes the answer to the given function.
     * @param onResult Handles the answer or failure in the process; called once.
     */
    template <typename Answer>
    void callEndpoint(std::size_t index, const std::string& endpoint, Duration timeout, std::function<void(std::function<void(EndpointResult<Answer>)>)> handle, std::function<void(Node&, const EndpointResult<Answer>&, Effects&)> onResult);
    /** Answers a long poll once a task has ended or `until` is reached. @param since When the poll arrived. */
    void pollWorker(FakeWorker& worker, FencingToken token, TimePoint until, TimePoint since, const std::function<void(EndpointResult<SyncWorkerAnswer>)>& respond);

    // Platform, faults and checks during the simulation.
    void buildCell();
    /** Publishes the VM list after the configured lag. */
    void publishVmList();
    void pollVmList(std::size_t index, InstanceId instance);
    void setVmState(const std::string& name, VmState state);
    /** Advances all workers, and schedules the next tick. */
    void tick();
    /** Checks the guarantees that must hold at any time, and schedules the next check. */
    void checkNodes();
    void injectFault(const Fault& fault);
    /** Ends all faults, starts the daemons that are down and replaces those that are shutting down. */
    void endFaults();
    std::size_t targetNodeOf(const Fault& fault) const { return fault.m_target % m_hosts.size(); }

    // Callers.
    /** Sends requests, jobs and settings changes at random, and schedules the next call 20 ms later; the load ends when m_isRecovering is set. */
    void generateLoad();
    void sendRequest();
    void submitJob();
    /** Lets two operators change the same settings from the same revision at once; at most one change may be accepted. */
    void raceSettingsChanges();
    /**
     * Sends a call and retries it at the next daemon each time.
     * @param first Index of the first daemon, modulo their number.
     * @param giveUpAt Time after which no retry is sent; the last result is then final.
     * @param onAnswer Called once, with the final result.
     * @param firstSentAt Time of the first attempt, from which retries report their age.
     * @param attempt Attempt number; it is increased only if the previous attempt may have run.
     */
    void callWithRetries(std::size_t first, CallerCall call, TimePoint giveUpAt, const std::function<void(const Expected<CallerAnswer>&)>& onAnswer, TimePoint firstSentAt, std::uint32_t attempt);
    void cancelRandomJobs();
    /** @return Whether all calls are answered, all jobs have ended or are services with all tasks placed, and no request is recorded as intended. */
    bool isAllWorkFinished() const;
    void reportViolation(std::string what) { m_violations.push_back(std::move(what)); }

    // Checks at the end of the simulation.
    void checkRequests();
    void checkJobs();
    void checkSettings();
    /** Prints the state of each owner of a shard and of its workers, to show why a job has not ended. */
    void printOwner(const std::string& shard, JobNumber number) const;
    /** @return State of the shard at the owner with the highest epoch whose term is not over; null if there is none. */
    const ShardState* findShardState(const std::string& shard) const;

    NodeSimulationOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now { 1'000'000 }; ///< Simulated time.
    std::uint64_t m_order = 0; ///< Number of events scheduled so far.
    std::priority_queue<ScheduledEvent> m_queue;
    FakeLog m_log;
    VmList m_list; ///< Actual state of the VMs.
    VmList m_publishedList; ///< VM list that daemons read; lags behind m_list.
    History m_tasks; ///< Runs of tasks on workers.
    History m_requests; ///< Runs of requests on runners.
    std::map<std::string, FakeWorker> m_workers;
    std::map<std::string, FakeRunner> m_runners;
    std::vector<NodeHost> m_hosts;
    std::set<std::string> m_unreachableWorkers; ///< Names of workers that no daemon can reach.
    std::map<std::string, TimePoint> m_leavingSince; ///< When m_list changed to leaving, by name of the VM; VMs that are not leaving are absent.
    bool m_areMessagesDelayed = false;
    std::uint32_t m_servicesSubmitted = 0;
    std::uint32_t m_pendingChanges = 0; ///< Settings changes without a final answer.
    std::set<std::string> m_duplicatedKeys; ///< Keys of requests that were sent through two daemons at once.
    bool m_isRecovering = false; ///< Whether load and faults are over.
    std::uint64_t m_lastCallerToken = 0;
    std::uint64_t m_instanceCount = 0; ///< Processes started so far; makes instance ids unique.
    std::map<CallerToken, std::function<void(const Expected<CallerAnswer>&)>> m_answerHandlers; ///< Open calls by token; each handler is called once.
    std::map<CallerToken, std::pair<std::size_t, InstanceId>> m_callerNodes; ///< Daemon and process that each open call was sent to.
    std::vector<std::unique_ptr<CallerWork>> m_work; ///< All requests and jobs in the order in which they were sent.
    std::vector<std::unique_ptr<OperatorChange>> m_changes;
    std::vector<std::string> m_violations; ///< One message for each violated guarantee; may contain duplicates.
    std::uint64_t m_steps = 0;
};

void NodeSimulation::Impl::runUntil(TimePoint end)
{
    while (!m_queue.empty() && m_queue.top().m_time <= end) {
        const ScheduledEvent next = m_queue.top();
        m_queue.pop();
        m_now = std::max(m_now, next.m_time);
        next.m_action();
    }
    m_now = std::max(m_now, end);
}

void NodeSimulation::Impl::startNode(std::size_t index)
{
    NodeHost& host = m_hosts[index];
    NodeOptions options { .m_cell = "test", .m_member = host.m_name, .m_address = host.m_address, .m_zone = "a" };
    options.m_instance = InstanceId { static_cast<std::uint64_t>(m_now.m_ms) * 1'000 + ++m_instanceCount };
    options.m_heartbeatInterval = { 500 };
    options.m_settleTime = { 1'200 };
    options.m_owner.m_seed = m_random();
    options.m_owner.m_wallOffset = { 1'700'000'000'000 };
    options.m_owner.m_unjournaledStartAfter = { 4'000 };
    host.m_instance = options.m_instance;
    host.m_node = std::make_unique<Node>(makeNode(options, m_now));
    host.m_suspendedUntil = {};
    host.m_deferredDeliveries.clear();
    host.m_lastSettingsVersion = 0;
    const InstanceId instance = host.m_instance;
    pollVmList(index, instance);
    stepNode(index);
}

void NodeSimulation::Impl::killNode(std::size_t index)
{
    NodeHost& host = m_hosts[index];
    host.m_node.reset();
    const InstanceId instance = host.m_instance;
    std::vector<CallerToken> closed;
    for (const auto& [token, process] : m_callerNodes) {
        if (process.first == index && process.second == instance)
            closed.push_back(token);
    }
    for (const CallerToken token : closed) {
        const auto onAnswer = std::move(m_answerHandlers[token]);
        m_answerHandlers.erase(token);
        m_callerNodes.erase(token);
        after(randomLatency(), [onAnswer] { onAnswer(bulrushloft::fail(ErrorKind::Unavailable, "the connection was closed", "")); });
    }
}

void NodeSimulation::Impl::deliver(std::size_t index, InstanceId instance, std::function<void(Node&, Effects&)> handle)
{
    NodeHost& host = m_hosts[index];
    if (!host.m_node || host.m_instance != instance)
        return;
    if (m_now < host.m_suspendedUntil) {
        host.m_deferredDeliveries.push_back([this, index, instance, handle = std::move(handle)] { deliver(index, instance, handle); });
        return;
    }
    Effects effects;
    detectPause(*host.m_node, m_now);
    handle(*host.m_node, effects);
    step(*host.m_node, m_now, effects);
    performEffects(index, effects);
}

void NodeSimulation::Impl::stepNode(std::size_t index)
{
    NodeHost& host = m_hosts[index];
    const InstanceId instance = host.m_instance;
    if (!host.m_node)
        return;
    if (m_now < host.m_suspendedUntil) {
        at(host.m_suspendedUntil, [this, index, instance] { if (m_hosts[index].m_instance == instance) stepNode(index); });
        return;
    }
    ++m_steps;
    const auto waiting = std::move(host.m_deferredDeliveries);
    host.m_deferredDeliveries.clear();
    for (const auto& work : waiting)
        work();
    Effects effects;
    step(*host.m_node, m_now, effects);
    performEffects(index, effects);
    const TimePoint next = std::max(nextDeadline(*host.m_node, m_now), m_now + Duration { 1 });
    at(std::min(next, m_now + Duration { 50 }), [this, index, instance] { if (m_hosts[index].m_instance == instance) stepNode(index); });
}

void NodeSimulation::Impl::performEffects(std::size_t index, Effects& effects)
{
    for (const AnswerEffect& effect : effects.m_answers) {
        const auto found = m_answerHandlers.find(effect.m_caller);
        if (found == m_answerHandlers.end())
            continue;
        const auto onAnswer = std::move(found->second);
        m_answerHandlers.erase(found);
        m_callerNodes.erase(effect.m_caller);
        after(randomLatency(), [onAnswer, answer = effect.m_answer] { onAnswer(answer); });
    }
    performLogEffects(index, effects);
    performWorkerEffects(index, effects);
    performRunnerEffects(index, effects);
    performPeerEffects(index, effects);
}

void NodeSimulation::Impl::performLogEffects(std::size_t index, Effects& effects)
{
    const InstanceId instance = m_hosts[index].m_instance;
    for (AppendEffect& effect : effects.m_appends) {
        const auto sent = std::make_shared<AppendEffect>(std::move(effect));
        const auto answer = [this, index, instance, sent](const LogAppendResult& result) {
            after(randomLatency(), [this, index, instance, sent, result] { deliver(index, instance, [this, sent, result](Node& node, Effects& more) { onAppendResult(node, *sent, result, m_now, more); }); });
        };
        if (m_hosts[index].m_isLogUnreachable || m_log.m_isDown) {
            after(m_log.m_isDown ? randomLatency() : callTimeout, [answer] { answer(bulrushloft::fail(ErrorKind::Unavailable, "the log is down or unreachable", "")); });
            continue;
        }
        const bool isLate = shouldDelayMessage();
        const bool isLost = isLate || randomBool(m_log.m_lostAnswerShare);
        after(isLate ? Duration { randomBetween(3'000, 9'000) } : randomLatency() + Duration { randomBetween(1, 5) }, [this, sent, answer, isLost, isLate] {
            if (m_log.m_isDown)
                return answer(bulrushloft::fail(ErrorKind::Unavailable, "the log is down or unreachable", ""));
            const LogAppendAnswer done = append(m_log, sent->m_stream, sent->m_bytes, m_now);
            if (!isLost)
                answer(done);
            else if (!isLate)
                answer(bulrushloft::fail(ErrorKind::Unavailable, "the answer to the append was lost", ""));
        });
        if (isLate)
            after(callTimeout, [answer] { answer(bulrushloft::fail(ErrorKind::TimedOut, "the append timed out", "")); });
    }
    for (ReadEffect& effect : effects.m_reads) {
        const auto sent = std::make_shared<ReadEffect>(std::move(effect));
        const auto answer = [this, index, instance, sent](const LogReadResult& result) {
            after(randomLatency(), [this, index, instance, sent, result] { deliver(index, instance, [this, sent, result](Node& node, Effects& more) { onReadResult(node, *sent, result, m_now, more); }); });
        };
        const TimePoint until = m_now + sent->m_waitFor;
        const auto poll = std::make_shared<std::function<void()>>();
        *poll = [this, index, sent, answer, until, poll] {
            if (m_log.m_isDown || m_hosts[index].m_isLogUnreachable) {
                answer(bulrushloft::fail(ErrorKind::Unavailable, "the log is down or unreachable", ""));
                *poll = nullptr;
                return;
            }
            const LogReadAnswer found = read(m_log, sent->m_stream, sent->m_from, 4'000, m_now);
            if (found.m_entries.empty() && m_now < until) {
                after(std::min(pollInterval, until - m_now), [poll] { if (*poll) (*poll)(); });
                return;
            }
            answer(found);
            *poll = nullptr;
        };
        after(randomLatency(), [poll] { (*poll)(); });
    }
}

bool NodeSimulation::Impl::isReachable(std::size_t index, const std::string& endpoint) const
{
    return !m_hosts[index].m_unreachableEndpoints.contains(endpoint) && !m_unreachableWorkers.contains(endpoint);
}

template <typename Answer>
void NodeSimulation::Impl::callEndpoint(std::size_t index, const std::string& endpoint, Duration timeout, std::function<void(std::function<void(EndpointResult<Answer>)>)> handle, std::function<void(Node&, const EndpointResult<Answer>&, Effects&)> onResult)
{
    const InstanceId instance = m_hosts[index].m_instance;
    const auto isDone = std::make_shared<bool>(false);
    const auto finish = [this, index, instance, isDone, onResult](const EndpointResult<Answer>& result) {
        if (*isDone)
            return;
        *isDone = true;
        deliver(index, instance, [result, onResult](Node& node, Effects& more) { onResult(node, result, more); });
    };
    const EndpointFailure unreachable { .m_progress = randomBool(0.5) ? CallProgress::NotSent : CallProgress::MaybeDelivered, .m_reason = "the target is unreachable" };
    if (!isReachable(index, endpoint)) {
        after(callTimeout, [finish, unreachable] { finish(tl::unexpected(unreachable)); });
        return;
    }
    const bool isLate = shouldDelayMessage();
    const Duration delay = isLate ? Duration { randomBetween(3'000, 9'000) } : randomLatency();
    after(delay, [this, index, endpoint, handle, finish] {
        if (m_unreachableWorkers.contains(endpoint))
            return;
        handle([this, index, endpoint, finish](EndpointResult<Answer> result) {
            if (isReachable(index, endpoint) && !shouldDelayMessage())
                after(randomLatency(), [finish, result = std::move(result)] { finish(result); });
        });
    });
    after(timeout, [finish] { finish(tl::unexpected(EndpointFailure { .m_progress = CallProgress::MaybeDelivered, .m_reason = "the call timed out" })); });
}

void NodeSimulation::Impl::pollWorker(FakeWorker& worker, FencingToken token, TimePoint until, TimePoint since, const std::function<void(EndpointResult<SyncWorkerAnswer>)>& respond)
{
    if (worker.m_token != token)
        return respond(tl::unexpected(EndpointFailure { .m_progress = CallProgress::MaybeDelivered, .m_staleToken = StaleToken { worker.m_token }, .m_reason = "stale fencing token" }));
    if (worker.m_finished.empty() && m_now < until) {
        after(pollInterval, [this, &worker, token, until, since, respond] { pollWorker(worker, token, until, since, respond); });
        return;
    }
    SyncWorkerAnswer answer = report(worker, m_now);
    answer.m_waited = m_now - since;
    respond(answer);
}

void NodeSimulation::Impl::performWorkerEffects(std::size_t index, Effects& effects)
{
    const auto stale = [](const StaleToken& token) { return tl::unexpected(EndpointFailure { .m_progress = CallProgress::MaybeDelivered, .m_staleToken = token, .m_reason = "stale fencing token" }); };
    for (AdoptWorkerEffect& effect : effects.m_workerAdoptions) {
        FakeWorker& worker = m_workers.at(effect.m_link.m_name);
        const TimePoint sentAt = m_now;
        callEndpoint<AdoptWorkerAnswer>(
            index, worker.m_name, callTimeout, [this, &worker, effect, stale](const auto& respond) {
            auto answer = adopt(worker, effect.m_call, m_now);
            respond(answer ? EndpointResult<AdoptWorkerAnswer>(*answer) : EndpointResult<AdoptWorkerAnswer>(stale(answer.error()))); }, [this, effect, sentAt](Node& node, const auto& result, Effects&) { onWorkerAdopted(node, effect, result, m_now, sentAt); });
    }
    for (SyncWorkerEffect& effect : effects.m_workerSyncs) {
        FakeWorker& worker = m_workers.at(effect.m_link.m_name);
        const Duration timeout = callTimeout + effect.m_call.m_waitFor;
        callEndpoint<SyncWorkerAnswer>(
            index, worker.m_name, timeout, [this, &worker, effect, stale](const auto& respond) {
            auto answer = sync(worker, effect.m_call, m_now);
            if (!answer)
                return respond(EndpointResult<SyncWorkerAnswer>(stale(answer.error())));
            if (!effect.m_isPoll || !answer->m_finished.empty())
                return respond(EndpointResult<SyncWorkerAnswer>(*answer));
            pollWorker(worker, effect.m_call.m_token, m_now + effect.m_call.m_waitFor, m_now, respond); }, [this, effect](Node& node, const auto& result, Effects&) { onWorkerSynced(node, effect, result, m_now); });
    }
}

void NodeSimulation::Impl::performRunnerEffects(std::size_t index, Effects& effects)
{
    const auto stale = [](const StaleToken& token) { return tl::unexpected(EndpointFailure { .m_progress = CallProgress::MaybeDelivered, .m_staleToken = token, .m_reason = "stale fencing token" }); };
    const auto toResult = [stale](const tl::expected<RunnerReport, StaleToken>& answer) { return answer ? EndpointResult<RunnerReport>(*answer) : EndpointResult<RunnerReport>(stale(answer.error())); };
    for (AdoptRunnerEffect& effect : effects.m_runnerAdoptions) {
        FakeRunner& runner = m_runners.at(effect.m_link.m_name);
        const TimePoint sentAt = m_now;
        callEndpoint<RunnerReport>(
            index, runner.m_name, callTimeout, [this, &runner, effect, toResult](const auto& respond) { respond(toResult(adopt(runner, effect.m_call, m_now))); }, [this, effect, sentAt](Node& node, const auto& result, Effects& more) { onRunnerAdopted(node, effect, result, m_now, sentAt, more); });
    }
    for (ProbeRunnerEffect& effect : effects.m_runnerProbes) {
        FakeRunner& runner = m_runners.at(effect.m_link.m_name);
        const TimePoint sentAt = m_now;
        callEndpoint<RunnerReport>(
            index, runner.m_name, callTimeout, [this, &runner, effect, toResult](const auto& respond) { respond(toResult(probe(runner, effect.m_call, m_now))); }, [this, effect, sentAt](Node& node, const auto& result, Effects& more) { onRunnerProbed(node, effect, result, m_now, sentAt, more); });
    }
    for (DispatchEffect& effect : effects.m_dispatches) {
        FakeRunner& runner = m_runners.at(effect.m_link.m_name);
        const std::string id = effect.m_call.m_dispatch;
        callEndpoint<DispatchAnswer>(
            index, runner.m_name, effect.m_call.m_timeLimit + Duration { 1'000 }, [this, &runner, effect, id](const auto& respond) {
            if (const auto reason = startDispatch(runner, effect.m_call, m_now)) {
                respond(EndpointResult<DispatchAnswer>(tl::unexpected(EndpointFailure { .m_progress = CallProgress::MaybeDelivered, .m_staleToken = StaleToken { runner.m_token }, .m_isRefused = true, .m_reason = *reason })));
                return;
            }
            at(runner.m_running.at(id).m_endsAt, [this, &runner, id, respond] {
                if (!runner.m_running.contains(id))
                    return;
                respond(EndpointResult<DispatchAnswer>(endDispatch(runner, id, m_now)));
            }); }, [this, effect, id](Node& node, const auto& result, Effects& more) { onDispatchAnswered(node, effect.m_link.m_shard, id, result, m_now, more); });
    }
}

void NodeSimulation::Impl::performPeerEffects(std::size_t index, Effects& effects)
{
    const NodeHost& from = m_hosts[index];
    const InstanceId instance = from.m_instance;
    const auto findHost = [this](const Address& address) {
        return static_cast<std::size_t>(std::find_if(m_hosts.begin(), m_hosts.end(), [&address](const NodeHost& host) { return host.m_address == address; }) - m_hosts.begin());
    };
    const auto isPartitioned = [this, index](std::size_t to) { return m_hosts[index].m_arePeersUnreachable || m_hosts[to].m_arePeersUnreachable; };
    for (const HeartbeatEffect& effect : effects.m_heartbeats) {
        for (const Address& address : effect.m_to) {
            const std::size_t to = findHost(address);
            const InstanceId target = m_hosts[to].m_instance;
            if (isPartitioned(to) || randomBool(0.02))
                continue;
            after(shouldDelayMessage() ? Duration { randomBetween(500, 5'000) } : randomLatency(), [this, to, target, bytes = effect.m_bytes] {
                deliver(to, target, [this, bytes](Node& node, Effects&) { onHeartbeat(node, *decodeHeartbeat(bytes), m_now); });
            });
        }
    }
    for (ForwardEffect& effect : effects.m_forwards) {
        const auto sent = std::make_shared<ForwardEffect>(std::move(effect));
        const std::size_t to = findHost(sent->m_owner);
        const InstanceId target = m_hosts[to].m_instance;
        const auto isDone = std::make_shared<bool>(false);
        const auto finish = [this, index, instance, sent, isDone](const EndpointResult<CallerAnswer>& result) {
            if (*isDone)
                return;
            *isDone = true;
            deliver(index, instance, [this, sent, result](Node& node, Effects& more) { onForwardResult(node, sent->m_caller, result, m_now, more); });
        };
        const bool isRefused = !m_hosts[to].m_node;
        if (isRefused || isPartitioned(to)) {
            after(isRefused ? randomLatency() : callTimeout, [finish, isRefused] { finish(tl::unexpected(EndpointFailure { .m_progress = isRefused ? CallProgress::Refused : CallProgress::NotSent, .m_reason = "the target is unreachable" })); });
            continue;
        }
        const CallerToken token { ++m_lastCallerToken };
        m_answerHandlers[token] = [finish](const Expected<CallerAnswer>& answer) {
            finish(answer ? EndpointResult<CallerAnswer>(*answer) : EndpointResult<CallerAnswer>(tl::unexpected(EndpointFailure { .m_progress = CallProgress::MaybeDelivered, .m_reason = "the connection was closed" })));
        };
        m_callerNodes[token] = { to, target };
        after(shouldDelayMessage() ? Duration { randomBetween(1'000, 6'000) } : randomLatency(), [this, to, target, token, sent] {
            deliver(to, target, [this, token, sent](Node& node, Effects& more) { onCallerCall(node, token, sent->m_call, true, sent->m_timeout, m_now, more); });
        });
        after(sent->m_timeout + Duration { 1'000 }, [finish] { finish(tl::unexpected(EndpointFailure { .m_progress = CallProgress::MaybeDelivered, .m_reason = "the call timed out" })); });
    }
    for (const TakeShardEffect& effect : effects.m_shardTakeovers) {
        const std::size_t to = findHost(effect.m_to);
        const InstanceId target = m_hosts[to].m_instance;
        if (!isPartitioned(to))
            after(randomLatency(), [this, to, target, shard = effect.m_shard] { deliver(to, target, [this, shard](Node& node, Effects&) { onTakeShard(node, shard, m_now); }); });
    }
    for (const FetchSettingsEffect& effect : effects.m_settingsFetches) {
        const std::size_t to = findHost(effect.m_from);
        if (isPartitioned(to) || !m_hosts[to].m_node || m_now < m_hosts[to].m_suspendedUntil)
            continue;
        const auto settings = decodeSettings(encodeSettings(m_hosts[to].m_node->m_settings));
        after(randomLatency(), [this, index, instance, settings] { deliver(index, instance, [this, settings](Node& node, Effects& more) { onSettingsFetched(node, *settings, m_now, more); }); });
    }
    for (const ProbePeerEffect& effect : effects.m_peerProbes) {
        const std::size_t to = findHost(effect.m_address);
        if (!isPartitioned(to) && !m_hosts[to].m_node)
            after(randomLatency(), [this, index, instance, effect] { deliver(index, instance, [this, effect](Node& node, Effects&) { onPeerConnectionRefused(node, effect, m_now); }); });
    }
}

void NodeSimulation::Impl::buildCell()
{
    m_log.m_retention = m_options.m_retention;
    for (std::uint32_t n = 0; n < m_options.m_nodes; ++n) {
        NodeHost host { .m_name = "entry-" + std::to_string(n + 1), .m_address = { "127.0.0." + std::to_string(n + 2), 7400 } };
        m_list.m_vms.push_back({ .m_name = host.m_name, .m_role = VmRole::Entry, .m_zone = "a", .m_address = host.m_address });
        m_hosts.push_back(std::move(host));
    }
    for (const std::string& pool : pools) {
        for (int n = 0; n < 4; ++n) {
            VmInfo vm { .m_name = pool + "-worker-" + std::to_string(n), .m_role = VmRole::Worker, .m_pool = pool, .m_zone = std::string(1, static_cast<char>('a' + n % 3)), .m_rack = pool + std::to_string(n / 2), .m_address = { "127.1.0.1", 1 }, .m_capacity = { 4'000, 8'000, 2 } };
            FakeWorker worker { .m_name = vm.m_name, .m_shard = pool + "-0", .m_capacity = vm.m_capacity, .m_boot = m_random() >> 20, .m_skew = { randomBetween(-100'000, 100'000) }, .m_history = &m_tasks };
            worker.m_ignoresTokens = m_options.m_areTokensIgnored;
            worker.m_ignoresLease = m_options.m_areLeasesIgnored;
            m_workers[vm.m_name] = worker;
            m_list.m_vms.push_back(vm);
        }
        for (int n = 0; n < 3; ++n) {
            VmInfo vm { .m_name = pool + "-runner-" + std::to_string(n), .m_role = VmRole::Runner, .m_pool = pool, .m_zone = "a", .m_rack = pool, .m_address = { "127.2.0.1", 1 } };
            FakeRunner runner { .m_name = vm.m_name, .m_slots = 3, .m_speed = 1.0 + n, .m_boot = m_random() >> 20, .m_skew = { randomBetween(-100'000, 100'000) }, .m_history = &m_requests };
            runner.m_ignoresTokens = m_options.m_areTokensIgnored;
            m_runners[vm.m_name] = runner;
            m_list.m_vms.push_back(vm);
        }
    }
    m_list.m_version = 1;
    m_publishedList = m_list;
    std::uint64_t count = 0;
    const auto publish = [&](const std::string& path, const std::string& yaml) {
        append(m_log, "settings", encodeChange({ .m_id = "first-" + std::to_string(++count), .m_operator = "setup", .m_path = path, .m_yaml = yaml }), m_now);
    };
    publish("cell/pools", "proof: {shards: 1}\nengraving: {shards: 1}\n");
    publish("cell/classes", "urgent: {priority: 300, may_preempt: true}\nservice: {priority: 200, placement: spread}\nstandard: {priority: 100, preemptible: true}\n");
    publish("cell/limits", "lease_ms: 3000\npoll_interval_ms: 1000\ncommit_interval_ms: 5\nsnapshot_interval_ms: 6000\n");
    for (const std::string& team : teams)
        publish("teams/" + team, "weight: 1\n");
}

void NodeSimulation::Impl::publishVmList()
{
    ++m_list.m_version;
    after(m_options.m_listLag, [this, list = m_list] { m_publishedList = list; });
}

void NodeSimulation::Impl::pollVmList(std::size_t index, InstanceId instance)
{
    NodeHost& host = m_hosts[index];
    if (!host.m_node || host.m_instance != instance)
        return;
    // A suspended daemon sends its next poll after the suspension.
    if (m_now >= host.m_suspendedUntil)
        after(randomLatency(), [this, index, instance, list = m_publishedList] { deliver(index, instance, [this, list](Node& node, Effects&) { onVmList(node, list, m_now); }); });
    at(std::max(m_now + Duration { 1'000 }, host.m_suspendedUntil), [this, index, instance] { pollVmList(index, instance); });
}

void NodeSimulation::Impl::setVmState(const std::string& name, VmState state)
{
    for (VmInfo& vm : m_list.m_vms) {
        if (vm.m_name == name)
            vm.m_state = state;
    }
    if (state == VmState::Leaving)
        m_leavingSince[name] = m_now;
    else
        m_leavingSince.erase(name);
    publishVmList();
}

void NodeSimulation::Impl::tick()
{
    for (auto& [name, worker] : m_workers) {
        const std::size_t before = m_tasks.m_runs.size();
        advanceTo(worker, m_now);
        (void)before;
    }
    after(tickInterval, [this] { tick(); });
}

void NodeSimulation::Impl::checkNodes()
{
    for (NodeHost& host : m_hosts) {
        if (!host.m_node)
            continue;
        if (const auto checked = checkNode(*host.m_node); !checked)
            reportViolation(checked.error().m_message);
        if (host.m_node->m_settings.m_version < host.m_lastSettingsVersion)
            reportViolation("the settings version decreased on " + host.m_name);
        host.m_lastSettingsVersion = host.m_node->m_settings.m_version;
    }
    for (const auto& [name, since] : m_leavingSince) {
        const TimePoint bound = since + maxDrainDelay;
        for (const RunInterval& run : m_tasks.m_runs) {
            if (run.m_endpoint == name && run.m_start > bound)
                reportViolation(run.m_workItem + " was started on " + name + " " + std::to_string((run.m_start - since).m_ms) + " ms after its state was set to leaving");
        }
        for (const RunInterval& run : m_requests.m_runs) {
            if (run.m_endpoint == name && run.m_start > bound)
                reportViolation(run.m_workItem + " was dispatched to " + name + " " + std::to_string((run.m_start - since).m_ms) + " ms after its state was set to leaving");
        }
    }
    after(checkInterval, [this] { checkNodes(); });
}

void NodeSimulation::Impl::injectFault(const Fault& fault)
{
    const Duration duration { fault.m_durationMs };
    const std::size_t index = targetNodeOf(fault);
    NodeHost& host = m_hosts[index];
    const std::string& pool = pools[fault.m_target % pools.size()];
    const std::string workerName = pool + "-worker-" + std::to_string(fault.m_target / 2 % 4);
    const std::string runnerName = pool + "-runner-" + std::to_string(fault.m_target / 2 % 3);
    const auto restart = [this, index] { if (!m_hosts[index].m_node) startNode(index); };
    switch (fault.m_kind) {
    case FaultKind::KillNode:
        killNode(index);
        return after(duration, restart);
    case FaultKind::SuspendNode:
        host.m_suspendedUntil = std::max(host.m_suspendedUntil, m_now + duration);
        return;
    case FaultKind::PartitionNodeFromLog:
        host.m_isLogUnreachable = true;
        return after(duration, [&host] { host.m_isLogUnreachable = false; });
    case FaultKind::PartitionNodeFromEndpoints:
        for (const VmInfo& vm : m_list.m_vms) {
            if (vm.m_role != VmRole::Entry && randomBool(0.5))
                host.m_unreachableEndpoints.insert(vm.m_name);
        }
        return after(duration, [&host] { host.m_unreachableEndpoints.clear(); });
    case FaultKind::PartitionNodeFromPeers:
        host.m_arePeersUnreachable = true;
        return after(duration, [&host] { host.m_arePeersUnreachable = false; });
    case FaultKind::PartitionWorker:
        m_unreachableWorkers.insert(workerName);
        return after(duration, [this, workerName] { m_unreachableWorkers.erase(workerName); });
    case FaultKind::RebootWorker:
        return reboot(m_workers.at(workerName), m_now);
    case FaultKind::RebootRunner:
        return reboot(m_runners.at(runnerName), m_now);
    case FaultKind::LogOutage:
        m_log.m_isDown = true;
        return after(duration, [this] { m_log.m_isDown = false; });
    case FaultKind::LoseAppendAnswers:
        m_log.m_lostAnswerShare = 0.5;
        return after(duration, [this] { m_log.m_lostAnswerShare = 0; });
    case FaultKind::DelayMessages:
        m_areMessagesDelayed = true;
        return after(duration, [this] { m_areMessagesDelayed = false; });
    case FaultKind::WorkerLeaves:
        setVmState(workerName, VmState::Leaving);
        return after(duration + Duration { 8'000 }, [this, workerName] { setVmState(workerName, VmState::Live); });
    case FaultKind::RunnerLeaves:
        setVmState(runnerName, VmState::Leaving);
        return after(duration + Duration { 8'000 }, [this, runnerName] { setVmState(runnerName, VmState::Live); });
    case FaultKind::KillAllNodes:
        for (std::size_t each = 0; each < m_hosts.size(); ++each)
            killNode(each);
        return after(duration, [this] { for (std::size_t each = 0; each < m_hosts.size(); ++each) if (!m_hosts[each].m_node) startNode(each); });
    case FaultKind::ShutDownNode:
        if (host.m_node)
            beginShutdown(*host.m_node);
        return after(duration + Duration { 5'000 }, [this, index] {
            if (m_isRecovering)
                return;
            killNode(index);
            startNode(index);
        });
    case FaultKind::CancelJobs:
        return cancelRandomJobs();
    case FaultKind::FailingWorker:
        m_workers.at(workerName).m_failsEverything = true;
        return after(duration, [this, workerName] { m_workers.at(workerName).m_failsEverything = false; });
    }
}

void NodeSimulation::Impl::endFaults()
{
    m_isRecovering = true;
    m_log.m_isDown = false;
    m_log.m_lostAnswerShare = 0;
    m_areMessagesDelayed = false;
    m_unreachableWorkers.clear();
    for (auto& [name, worker] : m_workers)
        worker.m_failsEverything = false;
    for (const VmInfo& vm : std::vector<VmInfo>(m_list.m_vms)) {
        if (vm.m_state != VmState::Live)
            setVmState(vm.m_name, VmState::Live);
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        NodeHost& host = m_hosts[index];
        host.m_isLogUnreachable = false;
        host.m_arePeersUnreachable = false;
        host.m_unreachableEndpoints.clear();
        host.m_suspendedUntil = {};
        const bool isLeaving = host.m_node && host.m_node->m_memberState == MemberState::Leaving;
        if (isLeaving)
            killNode(index);
        if (!host.m_node)
            startNode(index);
    }
}

void NodeSimulation::Impl::callWithRetries(std::size_t first, CallerCall call, TimePoint giveUpAt, const std::function<void(const Expected<CallerAnswer>&)>& onAnswer, TimePoint firstSentAt, std::uint32_t attempt)
{
    const std::size_t index = first % m_hosts.size();
    // Once a caller has sent the key through a second daemon, all its attempts count as retries.
    const auto* const runCall = std::get_if<RunCall>(&call);
    attempt = std::max(attempt, runCall && m_duplicatedKeys.contains(runCall->m_key) ? 2U : 1U);
    const auto retryLater = [this, first, call, giveUpAt, onAnswer, firstSentAt](std::uint32_t nextAttempt, Duration delay, const Expected<CallerAnswer>& last) {
        if (m_now + delay >= giveUpAt)
            return onAnswer(last);
        after(delay, [this, first, call, giveUpAt, onAnswer, firstSentAt, nextAttempt] { callWithRetries(first + 1, call, giveUpAt, onAnswer, firstSentAt, nextAttempt); });
    };
    if (!m_hosts[index].m_node)
        return retryLater(attempt, { 50 }, bulrushloft::fail(ErrorKind::Unavailable, attempt > 1 ? "the daemon is down; an earlier attempt may have run" : "connection refused", ""));
    Duration timeout { 12'000 };
    if (auto* submit = std::get_if<SubmitCall>(&call))
        submit->m_attempt = attempt;
    if (auto* run = std::get_if<RunCall>(&call)) {
        run->m_attempt = attempt;
        if (attempt > 1)
            run->m_age = m_now - firstSentAt;
        run->m_deadline = std::min(Duration { 10'000 }, giveUpAt - m_now);
        timeout = run->m_deadline;
    }
    const CallerToken token { ++m_lastCallerToken };
    if (const auto* run = std::get_if<RunCall>(&call))
        logEvent(LogLevel::Debug, "caller-call-sent", { { "simulated_time_ms", m_now.m_ms }, { "request", run->m_key }, { "attempt", attempt }, { "node", index }, { "idempotent", run->m_isIdempotent ? 1 : 0 } });
    m_callerNodes[token] = { index, m_hosts[index].m_instance };
    m_answerHandlers[token] = [retryLater, onAnswer, attempt](const Expected<CallerAnswer>& answer) {
        if (!answer)
            return retryLater(attempt + 1, { 100 }, answer);
        const auto* const error = std::get_if<ErrorAnswer>(&*answer);
        const auto* const run = std::get_if<RunAnswer>(&*answer);
        if (error && error->m_error.m_kind != ErrorKind::InvalidInput && error->m_error.m_kind != ErrorKind::TooLarge)
            return retryLater(error->m_outcome == RunOutcome::Unknown ? attempt + 1 : attempt, { 200 }, answer);
        if (run && (run->m_outcome == RunOutcome::NotRun || run->m_outcome == RunOutcome::Unknown))
            return retryLater(run->m_outcome == RunOutcome::Unknown ? attempt + 1 : attempt, { 200 }, answer);
        onAnswer(answer);
    };
    const InstanceId instance = m_hosts[index].m_instance;
    after(randomLatency(), [this, index, instance, token, call, timeout] { deliver(index, instance, [this, token, call, timeout](Node& node, Effects& more) {
                                                                               // While the daemon was suspended, the caller may have timed out and closed the connection.
                                                                               if (m_answerHandlers.contains(token))
                                                                                   onCallerCall(node, token, call, false, timeout, m_now, more);
                                                                           }); });
    after(timeout + Duration { 3'000 }, [this, token] {
        const auto found = m_answerHandlers.find(token);
        if (found == m_answerHandlers.end())
            return;
        const auto handler = std::move(found->second);
        m_answerHandlers.erase(found);
        m_callerNodes.erase(token);
        handler(bulrushloft::fail(ErrorKind::TimedOut, "the call timed out", ""));
    });
}

void NodeSimulation::Impl::sendRequest()
{
    auto owned = std::make_unique<CallerWork>();
    CallerWork* const work = owned.get();
    work->m_key = "r" + std::to_string(m_work.size());
    work->m_isRequest = true;
    work->m_isIdempotent = randomBool(0.5);
    work->m_sentAt = m_now;
    m_work.push_back(std::move(owned));
    RunCall call { .m_service = pools[static_cast<std::size_t>(randomBetween(0, 1))], .m_target = "work_ms=" + std::to_string(randomBetween(1, 400)), .m_team = teams[static_cast<std::size_t>(randomBetween(0, 1))], .m_workClass = "standard", .m_key = work->m_key, .m_isIdempotent = work->m_isIdempotent };
    call.m_body = makeBody("body of " + work->m_key);
    const std::string expected = work->m_key + "|" + digestOf(viewOf(call.m_body)) + "|";
    const auto onAnswer = [this, work, expected](const Expected<CallerAnswer>& answer) {
        logEvent(LogLevel::Debug, "caller-call-answered", { { "simulated_time_ms", m_now.m_ms }, { "request", work->m_key } });
        work->m_isAnswered = true;
        work->m_answeredAt = m_now;
        if (!answer) {
            work->m_outcome = answer.error().m_message == "connection refused" ? RunOutcome::NotRun : RunOutcome::Unknown;
            return;
        }
        if (const auto* run = std::get_if<RunAnswer>(&*answer)) {
            work->m_outcome = run->m_outcome;
            work->m_error = run->m_error.m_message;
            if (run->m_outcome == RunOutcome::Done && viewOf(run->m_body) != expected)
                reportViolation("request " + work->m_key + " received the answer to another request");
        } else if (const auto* error = std::get_if<ErrorAnswer>(&*answer)) {
            work->m_outcome = error->m_outcome;
            work->m_error = error->m_error.m_message;
        } else {
            reportViolation("request " + work->m_key + " received an answer of an unexpected type");
        }
    };
    const std::size_t first = static_cast<std::size_t>(randomBetween(0, 100));
    callWithRetries(first, call, m_now + callerTimeLimit, onAnswer, m_now, 1);
    // Some callers send the request through a second daemon before the first has answered.
    if (randomBool(0.1)) {
        after({ randomBetween(1, 300) }, [this, call, first, work] {
            RunCall retry = call;
            m_duplicatedKeys.insert(call.m_key);
            callWithRetries(
                first + 1, retry, work->m_sentAt + callerTimeLimit, [](const Expected<CallerAnswer>&) {}, work->m_sentAt, 2);
        });
    }
}

void NodeSimulation::Impl::submitJob()
{
    auto owned = std::make_unique<CallerWork>();
    CallerWork* const work = owned.get();
    JobSpec& spec = work->m_spec;
    work->m_key = "j" + std::to_string(m_work.size());
    work->m_sentAt = m_now;
    spec.m_key = work->m_key;
    spec.m_name = "program-" + std::to_string(randomBetween(0, 5));
    spec.m_team = teams[static_cast<std::size_t>(randomBetween(0, 1))];
    spec.m_workClass = randomBool(0.15) ? "urgent" : "standard";
    spec.m_pool = pools[static_cast<std::size_t>(randomBetween(0, 1))];
    // Services never end; more than two would leave no capacity for the gangs, which then wait forever by design.
    const bool mayAddService = m_servicesSubmitted < 2;
    spec.m_kind = mayAddService && randomBool(0.1) ? JobKind::Service : (randomBool(0.2) ? JobKind::Gang : JobKind::Batch);
    m_servicesSubmitted += spec.m_kind == JobKind::Service ? 1 : 0;
    spec.m_isIdempotent = spec.m_kind == JobKind::Service || randomBool(0.6);
    spec.m_taskCount = static_cast<std::uint32_t>(spec.m_kind == JobKind::Service ? 1 : randomBetween(1, 5));
    spec.m_declared = { randomBetween(200, 1'500), randomBetween(200, 2'000), spec.m_kind == JobKind::Service ? 0 : randomBetween(0, 1) };
    spec.m_payload = "run_ms=" + std::to_string(spec.m_kind == JobKind::Service ? 0 : randomBetween(20, m_options.m_maxTaskRunMs)) + ";cpu=" + std::to_string(spec.m_declared.m_cpuMilli * randomBetween(3, 10) / 10) + ";mem=" + std::to_string(randomBetween(100, spec.m_declared.m_memoryMb + 200));
    work->m_isIdempotent = spec.m_isIdempotent;
    m_work.push_back(std::move(owned));
    callWithRetries(
        static_cast<std::size_t>(randomBetween(0, 100)), SubmitCall { spec }, m_now + callerTimeLimit, [this, work](const Expected<CallerAnswer>& answer) {
        work->m_isAnswered = true;
        work->m_answeredAt = m_now;
        if (!answer) {
            work->m_outcome = answer.error().m_message == "connection refused" ? RunOutcome::NotRun : RunOutcome::Unknown;
        } else if (const auto* view = std::get_if<JobView>(&*answer)) {
            work->m_outcome = RunOutcome::Done;
            work->m_id = format(view->m_id);
        } else if (const auto* error = std::get_if<ErrorAnswer>(&*answer)) {
            work->m_outcome = error->m_outcome;
            work->m_error = error->m_error.m_message;
        } }, m_now, 1);
}

void NodeSimulation::Impl::raceSettingsChanges()
{
    const std::string path = "teams/" + teams[static_cast<std::size_t>(randomBetween(0, 1))];
    const std::size_t first = static_cast<std::size_t>(randomBetween(0, 100));
    callWithRetries(
        first, SettingsGetCall { path }, m_now + Duration { 3'000 }, [this, path, first](const Expected<CallerAnswer>& answer) {
            const auto* const settings = answer ? std::get_if<SettingsAnswer>(&*answer) : nullptr;
            if (!settings || settings->m_subtrees.empty())
                return;
            for (std::size_t operatorIndex = 0; operatorIndex < 2; ++operatorIndex) {
                auto owned = std::make_unique<OperatorChange>();
                OperatorChange* const change = owned.get();
                change->m_change = { .m_id = "c" + std::to_string(m_changes.size()), .m_operator = operatorIndex == 0 ? "morning" : "afternoon", .m_path = path, .m_baseRevision = settings->m_subtrees.front().m_subtree.m_revision, .m_yaml = "weight: " + std::to_string(randomBetween(1, 9)) + "\n" };
                m_changes.push_back(std::move(owned));
                ++m_pendingChanges;
                callWithRetries(
                    first + operatorIndex, SettingsChangeCall { change->m_change }, m_now + callerTimeLimit, [this, change](const Expected<CallerAnswer>& result) {
                        --m_pendingChanges;
                        const auto* const decision = result ? std::get_if<ChangeAnswer>(&*result) : nullptr;
                        if (!decision)
                            return;
                        change->m_verdict = decision->m_record.m_verdict;
                        change->m_acceptedAt = m_now;
                    },
                    m_now, 1);
            }
        },
        m_now, 1);
}

void NodeSimulation::Impl::cancelRandomJobs()
{
    for (const auto& work : m_work) {
        if (work->m_id.empty() || !randomBool(0.7))
            continue;
        callWithRetries(
            static_cast<std::size_t>(randomBetween(0, 100)), CancelCall { *parseJobId(work->m_id) }, m_now + Duration { 10'000 }, [](const Expected<CallerAnswer>&) {}, m_now, 1);
    }
}

void NodeSimulation::Impl::generateLoad()
{
    if (m_isRecovering)
        return;
    const auto isDueAtRate = [this](std::uint32_t rate) { return randomBool(static_cast<double>(rate) / 50.0); };
    if (isDueAtRate(m_options.m_requestsPerSecond))
        sendRequest();
    if (isDueAtRate(m_options.m_jobsPerSecond))
        submitJob();
    if (isDueAtRate(m_options.m_changesPerSecond))
        raceSettingsChanges();
    after({ 20 }, [this] { generateLoad(); });
}

const ShardState* NodeSimulation::Impl::findShardState(const std::string& shard) const
{
    const ShardState* best = nullptr;
    for (const NodeHost& host : m_hosts) {
        if (!host.m_node)
            continue;
        const auto slot = host.m_node->m_shards.find(shard);
        if (slot == host.m_node->m_shards.end() || !slot->second.m_owner || slot->second.m_owner->m_isTermOver)
            continue;
        if (!best || slot->second.m_owner->m_state.m_epoch > best->m_epoch)
            best = &slot->second.m_owner->m_state;
    }
    return best;
}

bool NodeSimulation::Impl::isAllWorkFinished() const
{
    const bool areAllAnswered = std::all_of(m_work.begin(), m_work.end(), [](const auto& work) { return work->m_isAnswered; });
    if (!areAllAnswered || m_pendingChanges > 0)
        return false;
    for (const std::string& pool : pools) {
        const ShardState* const state = findShardState(pool + "-0");
        if (!state)
            return false;
        for (const auto& [number, job] : state->m_jobs) {
            const bool isRunningService = job.m_spec.m_kind == JobKind::Service && countTasks(job, TaskState::Placed) == job.m_spec.m_taskCount;
            if (!isFinal(stateOf(job)) && !isRunningService)
                return false;
        }
        for (const auto& [key, request] : state->m_requests) {
            if (request.m_state == RequestState::Intended)
                return false;
        }
    }
    return true;
}

void NodeSimulation::Impl::checkRequests()
{
    std::map<std::string, std::size_t> runs;
    std::map<std::string, TimePoint> firstStarts;
    for (const RunInterval& run : m_requests.m_runs) {
        ++runs[run.m_workItem];
        firstStarts.try_emplace(run.m_workItem, run.m_start);
    }
    for (const auto& work : m_work) {
        if (!work->m_isRequest)
            continue;
        const std::size_t count = runs[work->m_key];
        if (!work->m_isAnswered)
            reportViolation("request " + work->m_key + " was never answered");
        if (!work->m_isIdempotent && count > 1)
            reportViolation("non-idempotent request " + work->m_key + " ran " + std::to_string(count) + " times");
        // If the caller has sent the key through a second daemon, that call may run the request after this one was answered.
        const bool mayRunLater = m_duplicatedKeys.contains(work->m_key) && count > 0 && firstStarts.at(work->m_key) > work->m_answeredAt;
        if (work->m_outcome == RunOutcome::NotRun && count > 0 && !mayRunLater)
            reportViolation("request " + work->m_key + " was reported as not run, but ran (" + work->m_error + ")");
        const bool isReportedAsRun = work->m_outcome == RunOutcome::Done || work->m_outcome == RunOutcome::AnswerLost || work->m_outcome == RunOutcome::Failed;
        if (isReportedAsRun && count == 0)
            reportViolation("request " + work->m_key + " was reported as " + std::string(nameOf(work->m_outcome)) + ", but did not run");
    }
    for (const std::string& overlap : findOverlaps(m_requests))
        reportViolation(overlap);
    for (const std::string& violation : m_requests.m_limitViolations)
        reportViolation(violation);
}

void NodeSimulation::Impl::printOwner(const std::string& shard, JobNumber number) const
{
    for (const NodeHost& host : m_hosts) {
        const auto slot = host.m_node ? host.m_node->m_shards.find(shard) : decltype(host.m_node->m_shards.end()) {};
        if (!host.m_node || slot == host.m_node->m_shards.end() || !slot->second.m_owner)
            continue;
        const ShardOwner& owner = *slot->second.m_owner;
        std::cout << host.m_name << " owns " << shard << " in epoch " << owner.m_state.m_epoch.m_value << ", job queued " << owner.m_queue.contains(number) << ", may have unjournaled tasks " << owner.m_mayHaveUnjournaledTasks << ", append in flight " << owner.m_append.has_value() << "\n";
        for (const Worker& worker : owner.m_workers)
            std::cout << "  " << worker.m_name << " link " << static_cast<int>(worker.m_link) << " granted (millicores/MB/GPUs) " << worker.m_granted.m_cpuMilli << "/" << worker.m_granted.m_memoryMb << "/" << worker.m_granted.m_gpus << " tasks " << worker.m_tasks.size() << " quarantine left in ms " << worker.m_quarantinedUntil.m_ms - m_now.m_ms << " state " << nameOf(worker.m_vm.m_state) << " reports leaving " << worker.m_hasReportedLeaving << " on probation " << worker.m_isOnProbation << "\n";
    }
}

void NodeSimulation::Impl::checkJobs()
{
    std::map<std::string, std::vector<const RunInterval*>> runs;
    for (const RunInterval& run : m_tasks.m_runs)
        runs[run.m_workItem].push_back(&run);
    for (const auto& work : m_work) {
        if (work->m_isRequest)
            continue;
        const std::string shard = work->m_spec.m_pool + "-0";
        const ShardState* const state = findShardState(shard);
        if (!state) {
            reportViolation("shard " + shard + " has no owner at the end of the simulation");
            return;
        }
        const auto byKey = state->m_jobByKey.find(work->m_key);
        const bool isKnown = byKey != state->m_jobByKey.end();
        if (work->m_outcome == RunOutcome::Done && !isKnown)
            reportViolation("job " + work->m_key + " was accepted as " + work->m_id + ", but its shard has no record of it");
        if (work->m_outcome == RunOutcome::NotRun && isKnown)
            reportViolation("job " + work->m_key + " was reported as not accepted, but its shard has a record of it (" + work->m_error + ")");
        if (!isKnown)
            continue;
        const Job& job = state->m_jobs.at(byKey->second);
        const bool isRunningService = job.m_spec.m_kind == JobKind::Service && countTasks(job, TaskState::Placed) == job.m_spec.m_taskCount;
        if (!isFinal(stateOf(job)) && !isRunningService) {
            std::ostringstream counts;
            for (std::size_t each = 0; each < taskStateCount; ++each)
                counts << " " << nameOf(static_cast<TaskState>(each)) << "=" << job.m_counts[each];
            counts << " declared (millicores/MB/GPUs) " << job.m_spec.m_declared.m_cpuMilli << "/" << job.m_spec.m_declared.m_memoryMb << "/" << job.m_spec.m_declared.m_gpus << " payload " << job.m_spec.m_payload;
            if (std::getenv("WORLD_VERBOSE"))
                printOwner(shard, job.m_number);
            reportViolation("job " + work->m_key + " of kind " + std::string(nameOf(job.m_spec.m_kind)) + " did not end:" + counts.str());
        }
        for (std::uint32_t task = 0; task < job.m_tasks.size(); ++task) {
            const auto& ran = runs[shard + ":" + std::to_string(job.m_number.m_value) + "/" + std::to_string(task)];
            const TaskState reported = job.m_tasks[task].m_state;
            if (!job.m_spec.m_isIdempotent && ran.size() > 1)
                reportViolation("non-idempotent task " + ran.front()->m_workItem + " ran " + std::to_string(ran.size()) + " times");
            if (reported == TaskState::NotRun && !ran.empty())
                reportViolation("task " + ran.front()->m_workItem + " was reported as not run, but ran");
            if ((reported == TaskState::Done || reported == TaskState::Failed) && ran.empty())
                reportViolation("task " + std::to_string(task) + " of job " + work->m_key + " was reported as ended, but did not run");
        }
    }
    for (const std::string& overlap : findOverlaps(m_tasks))
        reportViolation(overlap);
    for (const std::string& violation : m_tasks.m_limitViolations)
        reportViolation(violation);
}

void NodeSimulation::Impl::checkSettings()
{
    std::map<std::pair<std::string, std::uint64_t>, std::uint32_t> winners;
    for (const auto& change : m_changes) {
        if (change->m_verdict == ChangeVerdict::Accepted)
            ++winners[{ change->m_change.m_path, change->m_change.m_baseRevision.m_value }];
    }
    for (const auto& [base, count] : winners) {
        if (count > 1)
            reportViolation("two changes of " + base.first + " from revision " + std::to_string(base.second) + " were both reported as accepted");
    }
    const SettingsState* previous = nullptr;
    for (const NodeHost& host : m_hosts) {
        if (!host.m_node)
            continue;
        const SettingsState& settings = host.m_node->m_settings;
        if (previous && settings.m_version != previous->m_version)
            reportViolation("the daemons have different settings versions at the end of the simulation");
        previous = &settings;
        for (const auto& change : m_changes) {
            const ChangeRecord* const record = findChange(settings, change->m_change.m_id);
            const bool isMissing = change->m_verdict == ChangeVerdict::Accepted && (!record || record->m_verdict != ChangeVerdict::Accepted);
            if (isMissing)
                reportViolation("change " + change->m_change.m_id + " was reported as accepted, but is not in force on " + host.m_name);
            const bool isContradicted = change->m_verdict == ChangeVerdict::Conflict && record && record->m_verdict == ChangeVerdict::Accepted;
            if (isContradicted)
                reportViolation("change " + change->m_change.m_id + " was reported as a conflict, but is in force");
        }
    }
}

NodeSimulation::NodeSimulation(NodeSimulationOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{
}

NodeSimulation::~NodeSimulation() = default;

void NodeSimulation::run()
{
    Impl& simulation = *m_impl;
    setInvariantAction(InvariantAction::Throw);
    simulation.buildCell();
    for (std::size_t index = 0; index < simulation.m_hosts.size(); ++index)
        simulation.startNode(index);
    simulation.tick();
    simulation.checkNodes();
    simulation.runUntil(simulation.m_now + Duration { 4'000 });
    const TimePoint start = simulation.m_now;
    simulation.generateLoad();
    TimePoint end = start + simulation.m_options.m_loadDuration;
    for (const Fault& fault : simulation.m_options.m_faults) {
        simulation.at(start + Duration { fault.m_atMs }, [&simulation, fault] { if (!simulation.m_isRecovering) simulation.injectFault(fault); });
        end = std::max(end, start + Duration { fault.m_atMs + fault.m_durationMs });
    }
    simulation.runUntil(end);
    simulation.endFaults();
    const TimePoint limit = simulation.m_now + simulation.m_options.m_recoveryDuration;
    while (simulation.m_now < limit && !simulation.isAllWorkFinished())
        simulation.runUntil(simulation.m_now + Duration { 500 });
    simulation.runUntil(simulation.m_now + Duration { 6'000 });
}

std::vector<std::string> NodeSimulation::findViolations()
{
    m_impl->checkRequests();
    m_impl->checkJobs();
    m_impl->checkSettings();
    std::vector<std::string> violations = m_impl->m_violations;
    std::sort(violations.begin(), violations.end());
    violations.erase(std::unique(violations.begin(), violations.end()), violations.end());
    return violations;
}

std::string NodeSimulation::summary() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto& work : m_impl->m_work)
        ++counts[std::string(work->m_isRequest ? "requests " : "jobs ") + std::string(nameOf(work->m_outcome))];
    std::ostringstream text;
    for (const auto& [what, count] : counts)
        text << what << " " << count << ", ";
    text << "changes " << m_impl->m_changes.size() << ", task runs " << m_impl->m_tasks.m_runs.size() << ", request runs " << m_impl->m_requests.m_runs.size() << ", faults " << m_impl->m_options.m_faults.size();
    return text.str();
}

} // namespace bulrushloft
