/** @file cell_daemon.cpp Threads of a cell daemon and the messages between them. */
#include "process/cell/cell_daemon.h"

#include "connection/http_server.h"
#include "connection/peer_codec.h"
#include "core/bounded_queue.h"
#include "core/guard_func.h"
#include "core/log_func.h"
#include "platform/job_codec.h"
#include "platform/platform_adapter.h"
#include "process/cell/cell_func.h"
#include "process/cell/cell_metrics.h"
#include "process/cell/decision_round.h"
#include "process/cell/leader_choice.h"
#include "table/http_table.h"

#include <atomic>
#include <thread>

#include <ctime>
#include <pthread.h>

namespace bulrushloft::cell {

namespace {

    constexpr Duration idleWaitWhenLeading { 10 };
    constexpr Duration idleWaitOtherwise { 25 };
    constexpr std::size_t maxItemsPerRound = 512;
    constexpr Duration slowRoundThreshold { 100 }; ///< A slower round of the decision thread is logged, as it delays all pending decisions.
    constexpr Duration shutdownPollInterval { 20 };
    constexpr const char* peerPath = "/cell";
    constexpr std::size_t idleConnectionsDivisor = 2; ///< Idle connections to workers may use half of the descriptors.

    /** @return Time since the machine booted, including suspension. */
    TimePoint bootNow()
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return { static_cast<std::int64_t>(time.tv_sec) * 1'000 + time.tv_nsec / 1'000'000 };
    }

    HttpResponse plainResponse(unsigned status, std::string text)
    {
        return { .m_status = status, .m_headers = { { "Content-Type", "text/plain; charset=utf-8" } }, .m_body = makeBody(std::move(text)) };
    }

    /** @return Instance number, which differs with each start of the process: wall-clock milliseconds, then three digits of the steady clock. */
    std::uint64_t makeInstance()
    {
        return static_cast<std::uint64_t>(wallNow().m_ms) * 1'000 + static_cast<std::uint64_t>(steadyMicroseconds() % 1'000);
    }

    FailedCalls countFailedCalls(const platform::CallFailures& failures)
    {
        FailedCalls counts;
        for (const auto& [end, name] : callEndNames)
            counts[end] = failures.count(end);
        return counts;
    }

} // namespace

struct CellDaemon::Impl {
    explicit Impl(const CellStartup& settings)
        : m_settings(settings)
        , m_queues(settings.m_ringCapacity)
        , m_link(m_loop, { .m_store = settings.m_store, .m_approvals = settings.m_approvals, .m_maxIdleConnections = settings.m_descriptors / idleConnectionsDivisor, .m_storeResponseBytes = settings.m_limits.m_storeResponseBytes, .m_workerResponseBytes = settings.m_limits.m_workerResponseBytes, .m_approvalResponseBytes = settings.m_limits.m_approvalResponseBytes })
    {
    }

    Expected<void> listen();
    void post(WorkItem work);
    void postUrgent(WorkItem work);
    HttpRefusals countRefusals() const;
    CellPorts makePorts();
    CellOptions makeOptions() const;
    void runItem(const WorkItem& work);
    std::size_t runQueuedWork(WorkItem first);
    void run();
    void onClient(const HttpRequest& request, const HttpResponder& respond);
    void onPeer(const HttpRequest& request, const HttpResponder& respond);
    void onReadiness(const HttpRequest& request, const HttpResponder& respond) const;
    void onMetrics(const HttpRequest& request, const HttpResponder& respond);
    void callPeer(const Address& address, const PeerMessage& message, Duration timeout, std::function<void(std::optional<PeerReply>)> onReply);

    CellStartup m_settings; ///< Contents of the start-up file.
    WorkQueues m_queues; ///< Work for the decision thread.
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_isReady { false };
    std::atomic<bool> m_isLeading { false };
    EventLoop m_loop { "io" };
    HttpServer m_clientServer { m_loop };
    HttpServer m_readinessServer { m_loop };
    HttpServer m_peerServer { m_loop };
    HttpServer m_metricsServer { m_loop };
    HttpClient m_peerClient { m_loop, { .m_connectionsPerAddress = 16, .m_connectTimeout = { 300 }, .m_closesIdleOnTimeout = true, .m_unfinishedBytes = m_settings.m_limits.m_peerResponseBytes } };
    platform::PlatformAdapter m_link;
    std::unique_ptr<CellNode> m_node; ///< Used by the decision thread only, once started.
    std::thread m_thread; ///< The decision thread.
};

Expected<void> CellDaemon::Impl::listen()
{
    const auto open = [](HttpServer& server, const Address& address, const char* name, const HttpLimits& limits, HttpHandler handler) { return server.listen({ .m_address = address, .m_name = name, .m_limits = limits }, std::move(handler)); };
    const ConnectionLimits& limits = m_settings.m_limits;
    if (auto opened = open(m_readinessServer, m_settings.m_readiness, "readiness", limits.m_readiness, [this](const HttpRequest& request, const HttpResponder& respond) { onReadiness(request, respond); }); !opened)
        return opened;
    if (auto opened = open(m_peerServer, m_settings.m_peers, "peers", limits.m_peers, [this](const HttpRequest& request, const HttpResponder& respond) { onPeer(request, respond); }); !opened)
        return opened;
    if (m_settings.m_metrics.m_port != 0) {
        if (auto opened = open(m_metricsServer, m_settings.m_metrics, "metrics", limits.m_metrics, [this](const HttpRequest& request, const HttpResponder& respond) { onMetrics(request, respond); }); !opened)
            return opened;
    }
    return open(m_clientServer, m_settings.m_clients, "clients", limits.m_clients, [this](const HttpRequest& request, const HttpResponder& respond) { onClient(request, respond); });
}

void CellDaemon::Impl::post(WorkItem work)
{
    m_queues.m_items.push(std::move(work));
}

void CellDaemon::Impl::postUrgent(WorkItem work)
{
    m_queues.m_urgentItems.push(std::move(work));
    m_queues.m_items.push([] { /* Wakes the decision thread. */ });
}

/** Runs work on the decision thread. State that an unexpected exception may have left half changed is given up. */
void CellDaemon::Impl::runItem(const WorkItem& work)
{
    if (!runGuarded("decide", work))
        runGuarded("decide", [this] { abandonTerm(*m_node); });
}

void CellDaemon::Impl::callPeer(const Address& address, const PeerMessage& message, Duration timeout, std::function<void(std::optional<PeerReply>)> onReply)
{
    HttpCall call { .m_address = address, .m_request = { .m_method = "POST", .m_target = peerPath, .m_headers = {}, .m_body = makeBody(encodePeerMessage(message)) }, .m_timeout = timeout };
    m_peerClient.send(std::move(call), [this, address, askedAt = m_node->m_lastBootTime, onReply = std::move(onReply)](const HttpResult& result) {
        if (!result && result.error().m_progress == CallProgress::Refused)
            post([this, address, askedAt] { onPeerRefused(*m_node, address, askedAt); });
        std::optional<PeerReply> reply;
        if (result) {
            if (auto decoded = decodePeerReply(viewOf(result->m_body)))
                reply = std::move(*decoded);
        }
        post([onReply, reply = std::move(reply)] { onReply(reply); });
    });
}

HttpRefusals CellDaemon::Impl::countRefusals() const
{
    return { { "clients", m_clientServer.refusals() }, { "readiness", m_readinessServer.refusals() }, { "peers", m_peerServer.refusals() }, { "metrics", m_metricsServer.refusals() } };
}

CellPorts CellDaemon::Impl::makePorts()
{
    CellPorts ports;
    m_link.fillPorts(ports, [this](WorkItem work) { post(std::move(work)); });
    ports.m_callPeer = [this](const Address& address, const PeerMessage& message, Duration timeout, std::function<void(std::optional<PeerReply>)> onReply) { callPeer(address, message, timeout, std::move(onReply)); };
    return ports;
}

CellOptions CellDaemon::Impl::makeOptions() const
{
    return { .m_self = { .m_name = m_settings.m_member, .m_address = m_settings.m_advertisedPeers, .m_instance = makeInstance(), .m_strength = strengthOf(m_settings.m_cpuShare, m_settings.m_linkMbps) },
        .m_seeds = m_settings.m_seeds,
        .m_topics = platform::PlatformAdapter::makeTopics(),
        .m_scheduler = m_settings.m_scheduler,
        .m_relayMinWorkers = m_settings.m_relayMinWorkers,
        .m_keyRevocation = m_settings.m_keyRevocation,
        .m_handsOverWhenSlow = m_settings.m_handsOverWhenSlow,
        .m_rejectsHopeless = m_settings.m_rejectsHopeless };
}

/** @param first An item taken from the queue. @return Number of items, without urgent ones. */
std::size_t CellDaemon::Impl::runQueuedWork(WorkItem first)
{
    const auto noteTime = [this] { advanceTime(*m_node, steadyNow(), bootNow()); };
    return runRound(m_queues, std::move(first), maxItemsPerRound, { .m_noteTime = noteTime, .m_runItem = [this](const WorkItem& work) { runItem(work); } });
}

void CellDaemon::Impl::run()
{
    pthread_setname_np(pthread_self(), "decide");
    while (!m_isStopping) {
        WorkItem work;
        std::size_t count = 0;
        const bool hasWork = m_queues.m_items.tryPopFor(work, m_isLeading ? idleWaitWhenLeading : idleWaitOtherwise);
        const TimePoint roundStartedAt = steadyNow();
        const std::int64_t roundStartedUs = steadyMicroseconds();
        if (hasWork)
            count = runQueuedWork(std::move(work));
        const TimePoint stepStartedAt = steadyNow();
        const std::int64_t stepStartedUs = steadyMicroseconds();
        runItem([this, stepStartedAt] { stepCell(*m_node, stepStartedAt, bootNow()); });
        const TimePoint roundEndedAt = steadyNow();
        if (roundEndedAt - roundStartedAt > slowRoundThreshold)
            logEvent(LogLevel::Warning, "round-slow", { { "items", count }, { "items_ms", (stepStartedAt - roundStartedAt).m_ms }, { "step_ms", (roundEndedAt - stepStartedAt).m_ms }, { "is_leading", m_isLeading.load() } });
        if (m_node->m_role == Role::Leading)
            noteRound(m_node->m_processorSpeed, { .m_items = count, .m_itemUs = stepStartedUs - roundStartedUs, .m_stepUs = steadyMicroseconds() - stepStartedUs }, roundEndedAt);
        m_isReady = isReady(*m_node);
        const bool isLeading = m_node->m_role == Role::Leading;
        if (m_isLeading.exchange(isLeading) && !isLeading)
            m_link.retireWorkerConnections();
    }
}

void CellDaemon::Impl::onClient(const HttpRequest& request, const HttpResponder& respond)
{
    post([this, call = platform::decodeClientCall(request, steadyNow()), respond] {
        onClientCall(*m_node, call, [respond](const ClientReply& reply) { respond(platform::encodeClientReply(reply)); });
    });
}

void CellDaemon::Impl::onPeer(const HttpRequest& request, const HttpResponder& respond)
{
    auto message = decodePeerMessage(viewOf(request.m_body));
    if (!message)
        return respond(plainResponse(400, describe(message.error())));
    const bool isUrgent = std::holds_alternative<PeerHeartbeat>(*message);
    WorkItem work = [this, message = std::move(*message), respond] {
        onPeerMessage(*m_node, message, [respond](const PeerReply& reply) { respond({ .m_status = 200, .m_headers = {}, .m_body = makeBody(encodePeerReply(reply)) }); });
    };
    if (isUrgent)
        postUrgent(std::move(work));
    else
        post(std::move(work));
}

void CellDaemon::Impl::onReadiness(const HttpRequest& request, const HttpResponder& respond) const
{
    if (!platform::isReadinessRequest(request))
        return respond(plainResponse(404, "not found: this port serves readiness checks only"));
    respond(plainResponse(m_isReady ? 200 : 503, m_isReady ? "ready" : "not ready"));
}

void CellDaemon::Impl::onMetrics(const HttpRequest&, const HttpResponder& respond)
{
    post([this, respond] { respond(plainResponse(200, renderMetrics(*m_node, countFailedCalls(m_link.workers().failures()), countRefusals()))); });
}

CellDaemon::CellDaemon(const CellStartup& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

CellDaemon::~CellDaemon()
{
    m_impl->m_isStopping = true;
    if (m_impl->m_thread.joinable())
        m_impl->m_thread.join();
    m_impl->m_loop.stop();
}

Expected<void> CellDaemon::start()
{
    const TimePoint now = steadyNow();
    m_impl->m_node = makeCell(m_impl->makeOptions(), m_impl->makePorts(), platform::PlatformAdapter::makeDecoders(), now, wallNow() - now);
    m_impl->m_node->m_lastBootTime = bootNow();
    if (auto listenResult = m_impl->listen(); !listenResult)
        return listenResult;
    m_impl->m_thread = std::thread([impl = m_impl.get()] { impl->run(); });
    return {};
}

void CellDaemon::reload(const CellStartup& settings)
{
    setLogLevel(settings.m_logLevel);
    m_impl->post([impl = m_impl.get(), settings] {
        impl->m_node->m_options.m_seeds = settings.m_seeds;
        impl->m_node->m_options.m_scheduler = settings.m_scheduler;
        logEvent(LogLevel::Info, "reloaded", { { "seeds", settings.m_seeds.size() } });
    });
}

void CellDaemon::shutDown()
{
    const TimePoint startedAt = steadyNow();
    m_impl->post([impl = m_impl.get()] { beginTermination(*impl->m_node); });
    m_impl->m_clientServer.beginDraining();
    const auto isFinished = [&] {
        const Duration elapsed = steadyNow() - startedAt;
        const bool isIdle = !m_impl->m_isLeading && m_impl->m_clientServer.countInFlight() == 0;
        return elapsed > m_impl->m_settings.m_shutdownLimit || (elapsed > m_impl->m_settings.m_serveAfterSigterm && isIdle);
    };
    while (!isFinished())
        std::this_thread::sleep_for(std::chrono::milliseconds(shutdownPollInterval.m_ms));
    m_impl->m_clientServer.closeGracefully();
    constexpr Duration finalResponseTime { 100 };
    std::this_thread::sleep_for(std::chrono::milliseconds(finalResponseTime.m_ms));
    logEvent(LogLevel::Info, "shut-down", { { "took_ms", (steadyNow() - startedAt).m_ms }, { "aborted_requests", m_impl->m_clientServer.countInFlight() } });
}

} // namespace bulrushloft::cell
