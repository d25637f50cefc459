/** @file daemon.cpp Threads of the daemon, and the events and effects passed between them. */
#include "process/node/daemon.h"

#include "connection/caller_codec.h"
#include "connection/datagram_socket.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/json_rpc_client.h"
#include "connection/json_rpc_server.h"
#include "connection/platform_codec.h"
#include "connection/runner_codec.h"
#include "connection/worker_codec.h"
#include "core/bounded_queue.h"
#include "core/invariant.h"
#include "core/log_func.h"
#include "process/node/event_type.h"
#include "process/node/member_func.h"
#include "process/node/metrics.h"
#include "process/node/node_func.h"
#include "version/settings_func.h"

#include <atomic>
#include <thread>

#include <pthread.h>

namespace bulrushloft {

namespace {

    constexpr Duration maxIdleWait { 50 }; ///< Longest wait for an event before the decision thread checks whether to stop; the JSON-RPC thread waits ten times as long.
    constexpr Duration vmListInterval { 1'000 };
    constexpr Duration platformTimeout { 5'000 };
    constexpr Duration endpointTimeout { 3'000 };
    constexpr Duration answerMargin { 1'000 }; ///< Added to the time limit of a call so that its answer has time to arrive.
    constexpr Duration shutdownPollInterval { 20 };
    constexpr Duration metricsInterval { 1'000 };
    constexpr std::size_t readLimitBytes = 1024 * 1024;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusNotModified = 304;
    constexpr unsigned statusConflict = 409;
    constexpr unsigned statusUnavailable = 503;
    constexpr Duration probeTimeout { 1'000 };
    constexpr Duration retryHint { 1'000 };
    constexpr std::size_t eventsPerStep = 256; ///< Limit of events handled between two steps of the node.

    /** A JSON-RPC call to a peer, queued for the thread that waits for the answer. */
    struct RpcTask {
        Address m_to; ///< Address of the peer.
        std::string m_method; ///< Name of the method.
        std::string m_parametersJson; ///< Parameters, as JSON.
    };

    EndpointFailure toFailure(const HttpFailure& failure)
    {
        return { .m_progress = failure.m_progress, .m_reason = failure.m_reason };
    }

    /** Decodes an endpoint's answer to a control call. */
    template <typename Answer>
    EndpointResult<Answer> readAnswer(const HttpResult& result, Expected<Answer> (*decode)(std::string_view))
    {
        if (!result)
            return tl::unexpected(toFailure(result.error()));
        const std::string_view body = viewOf(result->m_body);
        if (result->m_status == statusConflict) {
            EndpointFailure failure { .m_progress = CallProgress::MaybeDelivered, .m_reason = "the endpoint rejected the fencing token as stale" };
            if (const auto stale = decodeStaleToken(body))
                failure.m_staleToken = *stale;
            return tl::unexpected(failure);
        }
        auto answer = result->m_status == statusOk ? decode(body) : Expected<Answer>(fail(ErrorKind::BrokenAnswer, "unexpected HTTP status " + std::to_string(result->m_status), ""));
        if (!answer)
            return tl::unexpected(EndpointFailure { .m_progress = CallProgress::MaybeDelivered, .m_reason = describe(answer.error()) });
        return std::move(*answer);
    }

    /** Decodes a runner's answer to a dispatch. */
    EndpointResult<DispatchAnswer> readDispatchAnswer(const HttpResult& result, const std::string& dispatch)
    {
        if (!result)
            return tl::unexpected(toFailure(result.error()));
        const std::string_view refusal = findHeader(result->m_headers, "Bulrush-Refused");
        if (!refusal.empty()) {
            EndpointFailure failure { .m_progress = CallProgress::MaybeDelivered, .m_isRefused = true, .m_reason = "the runner refused the dispatch: " + std::string(refusal) };
            if (const auto stale = decodeStaleToken(viewOf(result->m_body)))
                failure.m_staleToken = *stale;
            return tl::unexpected(failure);
        }
        auto answer = decodeDispatchAnswer(*result, dispatch);
        if (!answer)
            return tl::unexpected(EndpointFailure { .m_progress = CallProgress::MaybeDelivered, .m_reason = describe(answer.error()) });
        return std::move(*answer);
    }

    template <typename Answer>
    Expected<Answer> readPlatformAnswer(const HttpResult& result, Expected<Answer> (*decode)(std::string_view))
    {
        if (!result)
            return fail(ErrorKind::Unavailable, result.error().m_reason, "check the platform's log service");
        if (result->m_status != statusOk)
            return fail(ErrorKind::Unavailable, "the log service answered with HTTP status " + std::to_string(result->m_status), "check the platform's log service");
        return decode(viewOf(result->m_body));
    }

    EndpointResult<CallerAnswer> readForwardedAnswer(const CallerCall& call, const HttpResult& result)
    {
        if (!result)
            return tl::unexpected(toFailure(result.error()));
        auto answer = decodeCallerAnswer(call, *result);
        if (!answer)
            return tl::unexpected(EndpointFailure { .m_progress = CallProgress::MaybeDelivered, .m_reason = describe(answer.error()) });
        return std::move(*answer);
    }

    HttpResponse textResponse(unsigned status, std::string text)
    {
        return { .m_status = status, .m_headers = { { "Content-Type", "text/plain; charset=utf-8" } }, .m_body = makeBody(std::move(text)) };
    }

} // namespace

struct Daemon::Impl {
    explicit Impl(const StartupSettings& settings)
        : m_settings(settings)
        , m_events(settings.m_ringCapacity)
        , m_rpcTasks(64)
    {
    }

    Expected<void> start();
    void shutDown();
    void runNode();
    NodeOptions makeOptions() const;
    void handle(Node& node, NodeEvent& event, Effects& effects);
    void publish(Node& node);
    void perform(Effects& effects);
    void performPlatform(Effects& effects);
    void performEndpoints(Effects& effects);
    void performPeers(Effects& effects);
    template <typename Event, typename Sent, typename Answer>
    void callEndpoint(Sent sent, std::string_view path, Duration timeout, Expected<Answer> (*decode)(std::string_view));
    void answer(CallerToken caller, const CallerAnswer& answer);
    void runRpc();
    void callPeer(const RpcTask& task);
    void pollVmList();
    void onHttp(const HttpRequest& request, HttpResponder respond);
    bool onBuiltIn(const HttpRequest& request, const HttpResponder& respond);
    TrafficCounts countTraffic() const;

    StartupSettings m_settings; ///< Settings from the start-up file.
    Metrics m_metrics;

    BoundedQueue<NodeEvent> m_events; ///< Events for the decision thread.
    BoundedQueue<RpcTask> m_rpcTasks; ///< Calls for the JSON-RPC thread.
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_isReady { false };
    std::atomic<bool> m_isDrained { false }; ///< All shards are handed over and all calls answered.
    std::atomic<std::uint64_t> m_ringRefusals { 0 };

    std::mutex m_callersMutex;
    std::unordered_map<CallerToken, HttpResponder> m_callers; ///< Responders of callers that wait for an answer.
    std::uint64_t m_lastCaller = 0;

    std::mutex m_publishedMutex;
    std::string m_publishedSettings; ///< Encoded settings in force; fetched by peers.
    std::uint64_t m_publishedVersion = 0;
    TimePoint m_nextMetricsAt; ///< Monotonic time of the next metrics update and cache check.

    std::atomic<std::uint64_t> m_vmListVersion { 0 };

    EventLoop m_frontLoop { "front" };
    EventLoop m_endpointLoop { "endpoints" };
    EventLoop m_platformLoop { "platform" };
    EventLoop m_peerLoop { "peers" };
    EventLoop m_heartbeatLoop { "gossip" };
    HttpServer m_server { m_frontLoop };
    HttpClient m_endpointClient { m_endpointLoop, { .m_connectionsPerAddress = 64 } };
    HttpClient m_platformClient { m_platformLoop, { .m_connectionsPerAddress = 64 } };
    HttpClient m_peerClient { m_peerLoop, { .m_connectionsPerAddress = 256 } };
    HttpClient m_rpcClient { m_peerLoop, {} };
    DatagramSocket m_datagrams { m_heartbeatLoop };
    std::unique_ptr<JsonRpcServer> m_rpcServer;
    std::thread m_nodeThread;
    std::thread m_rpcThread;
};

Expected<void> Daemon::Impl::start()
{
    m_rpcServer = std::make_unique<JsonRpcServer>(JsonRpcHandlers {
        .m_takeShard = [this](const std::string& shard) { m_events.push(TakeShardEvent { shard }); },
        .m_fetchSettings = [this] { const std::lock_guard lock(m_publishedMutex); return m_publishedSettings; },
        .m_setLogLevel = [](const std::string& name) {
            const auto level = parseLogLevel(name);
            if (level)
                setLogLevel(*level);
            return level.has_value(); } });
    const auto onDatagram = [this](const std::string& bytes) {
        if (auto heartbeat = decodeHeartbeat(bytes))
            m_events.tryPush(HeartbeatEvent { std::move(*heartbeat) });
    };
    HttpServerOptions options { .m_address = m_settings.m_address, .m_name = "front" };
    options.m_limits.m_message.m_bodyBytes = m_settings.m_bodyLimitBytes;
    options.m_limits.m_connections = m_settings.m_connectionLimit;
    if (auto opened = m_server.listen(options, [this](const HttpRequest& request, HttpResponder respond) { onHttp(request, std::move(respond)); }); !opened)
        return opened;
    if (auto opened = m_datagrams.open(m_settings.m_address, onDatagram); !opened)
        return opened;
    m_nodeThread = std::thread([this] { runNode(); });
    m_rpcThread = std::thread([this] { runRpc(); });
    m_platformLoop.post([this] { pollVmList(); });
    return {};
}

void Daemon::Impl::shutDown()
{
    const TimePoint startedAt = steadyNow();
    m_isReady = false;
    m_server.beginDraining();
    m_events.push(ShutdownEvent {});
    const auto sleepBriefly = [] { std::this_thread::sleep_for(std::chrono::milliseconds(shutdownPollInterval.m_ms)); };
    const auto isPastLimit = [&] { return steadyNow() - startedAt > m_settings.m_shutdownLimit; };
    while (!isPastLimit() && steadyNow() - startedAt < m_settings.m_drainDelay)
        sleepBriefly();
    while (!isPastLimit() && !m_isDrained)
        sleepBriefly();
    m_server.closeGracefully();
    while (!isPastLimit() && (m_server.countInFlight() > 0 || !m_isDrained))
        sleepBriefly();
    logEvent(isPastLimit() ? LogLevel::Warning : LogLevel::Info, "shut-down", { { "took_ms", (steadyNow() - startedAt).m_ms }, { "aborted_requests", m_server.countInFlight() } });
    m_isStopping = true;
    m_nodeThread.join();
    m_rpcThread.join();
    for (EventLoop* const loop : { &m_frontLoop, &m_endpointLoop, &m_platformLoop, &m_peerLoop, &m_heartbeatLoop })
        loop->stop();
}

NodeOptions Daemon::Impl::makeOptions() const
{
    NodeOptions options;
    options.m_cell = m_settings.m_cell;
    options.m_member = m_settings.m_member;
    options.m_address = m_settings.m_address;
    options.m_zone = m_settings.m_zone;
    options.m_instance = InstanceId { static_cast<std::uint64_t>(wallNow().m_ms) };
    options.m_seeds = m_settings.m_seeds;
    options.m_heartbeatInterval = m_settings.m_heartbeatInterval;
    options.m_owner.m_seed = options.m_instance.m_value;
    options.m_owner.m_wallOffset = wallNow() - steadyNow();
    return options;
}

void Daemon::Impl::runNode()
{
    pthread_setname_np(pthread_self(), "node");
    Node node = makeNode(makeOptions(), steadyNow());
    while (!m_isStopping) {
        Effects effects;
        NodeEvent event;
        const TimePoint now = steadyNow();
        bool hasEvent = m_events.tryPopFor(event, std::min(nextDeadline(node, now) - now, maxIdleWait));
        for (std::size_t count = 0; hasEvent; ++count) {
            handle(node, event, effects);
            hasEvent = count < eventsPerStep && m_events.tryPop(event);
        }
        step(node, steadyNow(), effects);
        perform(effects);
        publish(node);
    }
}

void Daemon::Impl::handle(Node& node, NodeEvent& event, Effects& effects)
{
    const TimePoint now = steadyNow();
    detectPause(node, now);
    if (auto* caller = std::get_if<CallerEvent>(&event))
        onCallerCall(node, caller->m_caller, std::move(caller->m_call), caller->m_isForwarded, caller->m_timeout, now, effects);
    else if (const auto* append = std::get_if<AppendResultEvent>(&event))
        onAppendResult(node, append->m_sent, append->m_result, now, effects);
    else if (const auto* read = std::get_if<ReadResultEvent>(&event))
        onReadResult(node, read->m_sent, read->m_result, now, effects);
    else if (const auto* adopted = std::get_if<WorkerAdoptedEvent>(&event))
        onWorkerAdopted(node, adopted->m_sent, adopted->m_result, now, adopted->m_sentAt);
    else if (const auto* synced = std::get_if<WorkerSyncedEvent>(&event))
        onWorkerSynced(node, synced->m_sent, synced->m_result, now);
    else if (const auto* runner = std::get_if<RunnerAdoptedEvent>(&event))
        onRunnerAdopted(node, runner->m_sent, runner->m_result, now, runner->m_sentAt, effects);
    else if (const auto* probed = std::get_if<RunnerProbedEvent>(&event))
        onRunnerProbed(node, probed->m_sent, probed->m_result, now, probed->m_sentAt, effects);
    else if (const auto* dispatched = std::get_if<DispatchAnsweredEvent>(&event))
        onDispatchAnswered(node, dispatched->m_sent.m_link.m_shard, dispatched->m_sent.m_call.m_dispatch, dispatched->m_result, now, effects);
    else if (const auto* forwarded = std::get_if<ForwardResultEvent>(&event))
        onForwardResult(node, forwarded->m_sent.m_caller, forwarded->m_result, now, effects);
    else if (auto* list = std::get_if<VmListEvent>(&event))
        onVmList(node, std::move(list->m_list), now);
    else if (std::holds_alternative<VmListUnchangedEvent>(event))
        onVmListUnchanged(node, now);
    else if (const auto* heartbeat = std::get_if<HeartbeatEvent>(&event))
        onHeartbeat(node, heartbeat->m_heartbeat, now);
    else if (const auto* take = std::get_if<TakeShardEvent>(&event))
        onTakeShard(node, take->m_shard, now);
    else if (const auto* fetched = std::get_if<SettingsFetchedEvent>(&event))
        onSettingsFetched(node, fetched->m_settings, now, effects);
    else if (const auto* refused = std::get_if<PeerConnectionRefusedEvent>(&event))
        onPeerConnectionRefused(node, refused->m_sent, now);
    else
        beginShutdown(node);
}

/** Publishes the decision thread's state to the other threads. */
void Daemon::Impl::publish(Node& node)
{
    for (auto& [name, slot] : node.m_shards) {
        if (slot.m_owner)
            m_metrics.observe(slot.m_owner->m_observations);
    }
    m_isReady = node.m_memberState == MemberState::Ready;
    m_isDrained = node.m_memberState == MemberState::Leaving && isShutdownComplete(node);
    const TimePoint now = steadyNow();
    if (now >= m_nextMetricsAt) {
        m_nextMetricsAt = now + metricsInterval;
        m_metrics.update(node);
        if (const auto checked = checkNode(node); !checked)
            reportBrokenInvariant(checked.error().m_message, "checkNode");
    }
    if (node.m_settings.m_version == m_publishedVersion)
        return;
    m_publishedVersion = node.m_settings.m_version;
    std::string encoded = encodeSettings(node.m_settings);
    const std::lock_guard lock(m_publishedMutex);
    m_publishedSettings = std::move(encoded);
}

void Daemon::Impl::perform(Effects& effects)
{
    for (const AnswerEffect& effect : effects.m_answers)
        answer(effect.m_caller, effect.m_answer);
    performPlatform(effects);
    performEndpoints(effects);
    performPeers(effects);
}

void Daemon::Impl::performPlatform(Effects& effects)
{
    for (AppendEffect& effect : effects.m_appends) {
        HttpCall call { .m_address = m_settings.m_log, .m_timeout = platformTimeout };
        call.m_request = { .m_method = "POST", .m_target = appendTarget(effect.m_stream), .m_headers = {}, .m_body = makeBody(std::move(effect.m_bytes)) };
        m_platformClient.send(std::move(call), [this, sent = std::move(effect)](const HttpResult& result) {
            m_events.push(AppendResultEvent { sent, readPlatformAnswer(result, decodeAppendAnswer) });
        });
    }
    for (ReadEffect& effect : effects.m_reads) {
        HttpCall call { .m_address = m_settings.m_log, .m_timeout = platformTimeout + effect.m_waitFor };
        call.m_request.m_target = readTarget(effect.m_stream, effect.m_from, readLimitBytes, effect.m_waitFor);
        m_platformClient.send(std::move(call), [this, sent = std::move(effect)](const HttpResult& result) {
            m_events.push(ReadResultEvent { sent, readPlatformAnswer(result, decodeReadAnswer) });
        });
    }
}

template <typename Event, typename Sent, typename Answer>
void Daemon::Impl::callEndpoint(Sent sent, std::string_view path, Duration timeout, Expected<Answer> (*decode)(std::string_view))
{
    HttpCall call { .m_address = sent.m_link.m_address, .m_timeout = timeout };
    call.m_request = { .m_method = "POST", .m_target = std::string(path), .m_headers = {}, .m_body = makeBody(encodeCall(sent.m_call)) };
    const TimePoint sentAt = steadyNow();
    m_endpointClient.send(std::move(call), [this, sent = std::move(sent), sentAt, decode](const HttpResult& result) {
        m_events.push(Event { sent, readAnswer(result, decode), sentAt });
    });
}

void Daemon::Impl::performEndpoints(Effects& effects)
{
    for (AdoptWorkerEffect& effect : effects.m_workerAdoptions)
        callEndpoint<WorkerAdoptedEvent>(std::move(effect), adoptWorkerPath, endpointTimeout, decodeAdoptWorkerAnswer);
    for (SyncWorkerEffect& effect : effects.m_workerSyncs) {
        const Duration timeout = endpointTimeout + effect.m_call.m_waitFor;
        callEndpoint<WorkerSyncedEvent>(std::move(effect), syncWorkerPath, timeout, decodeSyncWorkerAnswer);
    }
    for (AdoptRunnerEffect& effect : effects.m_runnerAdoptions)
        callEndpoint<RunnerAdoptedEvent>(std::move(effect), adoptRunnerPath, endpointTimeout, decodeRunnerReport);
    for (ProbeRunnerEffect& effect : effects.m_runnerProbes)
        callEndpoint<RunnerProbedEvent>(std::move(effect), probeRunnerPath, endpointTimeout, decodeRunnerReport);
    for (DispatchEffect& effect : effects.m_dispatches) {
        HttpCall call { .m_address = effect.m_link.m_address, .m_request = encodeDispatch(effect.m_call), .m_timeout = effect.m_call.m_timeLimit + answerMargin };
        effect.m_call.m_body.reset();
        m_endpointClient.send(std::move(call), [this, sent = std::move(effect)](const HttpResult& result) {
            m_events.push(DispatchAnsweredEvent { sent, readDispatchAnswer(result, sent.m_call.m_dispatch), sent.m_sentAt });
        });
    }
}

void Daemon::Impl::performPeers(Effects& effects)
{
    for (ForwardEffect& effect : effects.m_forwards) {
        HttpCall call { .m_address = effect.m_owner, .m_request = encodeCallerCall(effect.m_call), .m_timeout = effect.m_timeout + answerMargin };
        markForwarded(call.m_request, effect.m_timeout);
        m_peerClient.send(std::move(call), [this, sent = std::move(effect)](const HttpResult& result) {
            m_events.push(ForwardResultEvent { sent, readForwardedAnswer(sent.m_call, result), {} });
        });
    }
    for (const HeartbeatEffect& effect : effects.m_heartbeats) {
        for (const Address& address : effect.m_to)
            m_datagrams.send(address, effect.m_bytes);
    }
    for (const TakeShardEffect& effect : effects.m_shardTakeovers)
        m_rpcTasks.tryPush(RpcTask { .m_to = effect.m_to, .m_method = "takeShard", .m_parametersJson = "{\"shard\":\"" + effect.m_shard + "\"}" });
    for (const FetchSettingsEffect& effect : effects.m_settingsFetches)
        m_rpcTasks.tryPush(RpcTask { .m_to = effect.m_from, .m_method = "fetchSettings", .m_parametersJson = "{}" });
    for (ProbePeerEffect& effect : effects.m_peerProbes) {
        HttpCall call { .m_address = effect.m_address, .m_timeout = probeTimeout };
        call.m_request.m_target = "/healthz";
        m_peerClient.send(std::move(call), [this, sent = std::move(effect)](const HttpResult& result) {
            if (!result && result.error().m_progress == CallProgress::Refused)
                m_events.push(PeerConnectionRefusedEvent { sent });
        });
    }
}

void Daemon::Impl::answer(CallerToken caller, const CallerAnswer& answer)
{
    HttpResponder respond;
    {
        const std::lock_guard lock(m_callersMutex);
        const auto found = m_callers.find(caller);
        if (found == m_callers.end())
            return;
        respond = std::move(found->second);
        m_callers.erase(found);
    }
    respond(encodeCallerAnswer(answer));
}

void Daemon::Impl::runRpc()
{
    pthread_setname_np(pthread_self(), "rpc");
    RpcTask task;
    while (!m_isStopping) {
        if (m_rpcTasks.tryPopFor(task, maxIdleWait * 10))
            callPeer(task);
    }
}

void Daemon::Impl::callPeer(const RpcTask& task)
{
    const JsonRpcSender send = [this, &task](const std::string& request, std::string& response) {
        HttpCall call { .m_address = task.m_to, .m_timeout = endpointTimeout };
        call.m_request = { .m_method = "POST", .m_target = jsonRpcPath, .m_headers = { { "Content-Type", "application/json" } }, .m_body = makeBody(request) };
        const HttpResult result = sendAndWait(m_rpcClient, std::move(call));
        if (!result || result->m_status != statusOk)
            return false;
        response = std::string(viewOf(result->m_body));
        return true;
    };
    const JsonRpcResult result = callJsonRpc(send, task.m_method, task.m_parametersJson);
    if (!result.m_isAnswered) {
        logEvent(LogLevel::Warning, "rpc-failed", { { "peer", format(task.m_to) }, { "method", task.m_method }, { "error", result.m_error } });
        return;
    }
    if (task.m_method != "fetchSettings" || result.m_resultJson.size() < 2)
        return;
    const std::string hex = result.m_resultJson.substr(1, result.m_resultJson.size() - 2);
    if (auto settings = decodeSettings(fromHex(hex)))
        m_events.push(SettingsFetchedEvent { std::move(*settings) });
}

void Daemon::Impl::pollVmList()
{
    HttpCall call { .m_address = m_settings.m_vmList, .m_timeout = platformTimeout };
    call.m_request.m_target = std::string(vmListPath) + "?version=" + std::to_string(m_vmListVersion);
    m_platformClient.send(std::move(call), [this](const HttpResult& result) {
        if (result && result->m_status == statusOk) {
            if (auto list = decodeVmList(viewOf(result->m_body))) {
                m_vmListVersion = list->m_version;
                m_events.push(VmListEvent { std::move(*list) });
            }
        } else if (result && result->m_status == statusNotModified) {
            m_events.push(VmListUnchangedEvent {});
        } else if (!result) {
            logEvent(LogLevel::Warning, "vm-list-unreachable", { { "address", format(m_settings.m_vmList) }, { "reason", result.error().m_reason }, { "remedy", "check the platform's VM list service; the last list stays in use" } });
        }
        m_platformLoop.runAfter(vmListInterval, [this] { pollVmList(); });
    });
}

bool Daemon::Impl::onBuiltIn(const HttpRequest& request, const HttpResponder& respond)
{
    const std::string path = request.m_target.substr(0, request.m_target.find('?'));
    if (path == "/healthz")
        respond(textResponse(statusOk, "alive\n"));
    else if (path == "/readyz")
        respond(m_isReady ? textResponse(statusOk, "ready\n") : textResponse(statusUnavailable, "not ready: starting or shutting down\n"));
    else if (path == "/metrics")
        respond(textResponse(statusOk, m_metrics.render(countTraffic())));
    else if (path == jsonRpcPath)
        respond({ .m_status = statusOk, .m_headers = { { "Content-Type", "application/json" } }, .m_body = makeBody(m_rpcServer->answer(std::string(viewOf(request.m_body)))) });
    else
        return false;
    return true;
}

void Daemon::Impl::onHttp(const HttpRequest& request, HttpResponder respond)
{
    if (onBuiltIn(request, respond))
        return;
    auto incoming = decodeCallerCall(request);
    if (!incoming)
        return respond(errorResponse(incoming.error(), RunOutcome::NotRun, {}));
    if (m_events.size() > m_settings.m_ringCapacity * 3 / 4) {
        ++m_ringRefusals;
        return respond(errorResponse({ ErrorKind::Overloaded, "the daemon's event ring is more than three quarters full", "retry later or on another entry VM" }, isRetry(incoming->m_call) ? RunOutcome::Unknown : RunOutcome::NotRun, retryHint));
    }
    CallerToken caller;
    {
        const std::lock_guard lock(m_callersMutex);
        caller = CallerToken { ++m_lastCaller };
        m_callers.emplace(caller, std::move(respond));
    }
    m_events.push(CallerEvent { .m_caller = caller, .m_call = std::move(incoming->m_call), .m_isForwarded = incoming->m_isForwarded, .m_timeout = incoming->m_timeout });
}

TrafficCounts Daemon::Impl::countTraffic() const
{
    return { .m_heartbeatBytes = m_datagrams.countBytesSent(), .m_platformBytes = m_platformClient.countBytesSent(), .m_endpointBytes = m_endpointClient.countBytesSent(), .m_peerBytes = m_peerClient.countBytesSent() + m_rpcClient.countBytesSent(), .m_ringItems = m_events.size(), .m_ringRefusals = m_ringRefusals };
}

Daemon::Daemon(const StartupSettings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

Daemon::~Daemon() = default;

Expected<void> Daemon::start()
{
    return m_impl->start();
}

void Daemon::reload(const StartupSettings& settings)
{
    setLogLevel(settings.m_logLevel);
    logEvent(LogLevel::Info, "reloaded");
}

void Daemon::shutDown()
{
    m_impl->shutDown();
}

} // namespace bulrushloft
