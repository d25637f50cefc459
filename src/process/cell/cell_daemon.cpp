/** @file cell_daemon.cpp Threads of the daemon of a cell and what flows between them. */
#include "process/cell/cell_daemon.h"

#include "connection/http_server.h"
#include "connection/peer_codec.h"
#include "core/log_func.h"
#include "core/ring.h"
#include "platform/job_codec.h"
#include "platform/platform_link.h"
#include "process/cell/cell_func.h"
#include "process/cell/cell_metrics.h"
#include "process/cell/leader_choice.h"

#include <atomic>
#include <thread>

#include <ctime>
#include <pthread.h>

namespace bulrushloft::cell {

namespace {

    using Work = std::function<void()>;

    constexpr Duration restWhenLeading { 10 };
    constexpr Duration restOtherwise { 25 };
    constexpr std::size_t worksPerStep = 512;
    constexpr Duration slowStep { 100 }; ///< A longer one is logged: it holds up all that waits for a decision.
    constexpr Duration shutdownPoll { 20 };
    constexpr const char* peerPath = "/cell";

    /** @return Time since the machine started, suspension included. */
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

    std::uint64_t makeInstance()
    {
        return static_cast<std::uint64_t>(wallNow().m_ms) * 1'000 + static_cast<std::uint64_t>(steadyMicroseconds() % 1'000);
    }

} // namespace

struct CellDaemon::Impl {
    explicit Impl(const CellStartup& settings)
        : m_settings(settings)
        , m_works(settings.m_ringCapacity)
        , m_urgentWorks(settings.m_ringCapacity)
        , m_link(m_loop, { .m_store = settings.m_store, .m_approvals = settings.m_approvals, .m_maxIdleConnections = settings.m_descriptors / 4 })
    {
    }

    Expected<void> listen();
    void post(Work work);
    void postUrgent(Work work);
    CellPorts makePorts();
    CellOptions makeOptions() const;
    void runUrgent();
    void run();
    void onClient(const HttpRequest& request, const HttpResponder& respond);
    void onPeer(const HttpRequest& request, const HttpResponder& respond);
    void onReadiness(const HttpRequest& request, const HttpResponder& respond) const;
    void onMetrics(const HttpRequest& request, const HttpResponder& respond);
    void callPeer(const Address& address, const PeerMessage& message, Duration timeout, std::function<void(std::optional<PeerReply>)> onReply);

    CellStartup m_settings; ///< What the start-up file says.
    Ring<Work> m_works; ///< To the deciding thread.
    Ring<Work> m_urgentWorks; ///< The same, ahead of the others: a leader under load must not pass for a dead one.
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_isReady { false };
    std::atomic<bool> m_isLeading { false };
    EventLoop m_loop { "io" };
    HttpServer m_clientServer { m_loop };
    HttpServer m_readinessServer { m_loop };
    HttpServer m_peerServer { m_loop };
    HttpServer m_metricsServer { m_loop };
    HttpClient m_peerClient { m_loop, { .m_connectionsPerAddress = 16, .m_connectTimeout = { 300 } } };
    platform::PlatformLink m_link;
    std::unique_ptr<CellNode> m_node; ///< Used by the deciding thread only.
    std::thread m_thread; ///< The deciding thread.
};

Expected<void> CellDaemon::Impl::listen()
{
    const auto open = [](HttpServer& server, const Address& address, HttpHandler handler) { return server.listen({ .m_address = address }, std::move(handler)); };
    if (auto opened = open(m_readinessServer, m_settings.m_readiness, [this](const HttpRequest& request, const HttpResponder& respond) { onReadiness(request, respond); }); !opened)
        return opened;
    if (auto opened = open(m_peerServer, m_settings.m_peers, [this](const HttpRequest& request, const HttpResponder& respond) { onPeer(request, respond); }); !opened)
        return opened;
    if (m_settings.m_metrics.m_port != 0) {
        if (auto opened = open(m_metricsServer, m_settings.m_metrics, [this](const HttpRequest& request, const HttpResponder& respond) { onMetrics(request, respond); }); !opened)
            return opened;
    }
    return open(m_clientServer, m_settings.m_clients, [this](const HttpRequest& request, const HttpResponder& respond) { onClient(request, respond); });
}

void CellDaemon::Impl::post(Work work)
{
    m_works.push(std::move(work));
}

void CellDaemon::Impl::postUrgent(Work work)
{
    m_urgentWorks.push(std::move(work));
    m_works.push([] { /* Wakes the deciding thread. */ });
}

void CellDaemon::Impl::runUrgent()
{
    Work work;
    while (m_urgentWorks.tryPop(work))
        work();
}

void CellDaemon::Impl::callPeer(const Address& address, const PeerMessage& message, Duration timeout, std::function<void(std::optional<PeerReply>)> onReply)
{
    HttpCall call { .m_address = address, .m_request = { .m_method = "POST", .m_target = peerPath, .m_headers = {}, .m_body = makeBody(encodePeerMessage(message)) }, .m_timeout = timeout };
    m_peerClient.send(std::move(call), [this, onReply = std::move(onReply)](const HttpResult& result) {
        std::optional<PeerReply> reply;
        if (result) {
            if (auto decoded = decodePeerReply(viewOf(result->m_body)))
                reply = std::move(*decoded);
        }
        post([onReply, reply = std::move(reply)] { onReply(reply); });
    });
}

CellPorts CellDaemon::Impl::makePorts()
{
    CellPorts ports;
    m_link.fillPorts(ports, [this](Work work) { post(std::move(work)); });
    ports.m_callPeer = [this](const Address& address, const PeerMessage& message, Duration timeout, std::function<void(std::optional<PeerReply>)> onReply) { callPeer(address, message, timeout, std::move(onReply)); };
    return ports;
}

CellOptions CellDaemon::Impl::makeOptions() const
{
    return { .m_self = { .m_name = m_settings.m_member, .m_address = m_settings.m_peers, .m_instance = makeInstance(), .m_strength = strengthOf(m_settings.m_cpuShare, m_settings.m_linkMbps) },
        .m_seeds = m_settings.m_seeds,
        .m_topics = platform::PlatformLink::makeTopics(),
        .m_scheduler = m_settings.m_scheduler,
        .m_relayFrom = m_settings.m_relayFrom };
}

void CellDaemon::Impl::run()
{
    pthread_setname_np(pthread_self(), "decide");
    while (!m_isStopping) {
        Work work;
        std::size_t count = 0;
        const bool hasWork = m_works.popWithin(work, m_isLeading ? restWhenLeading : restOtherwise);
        const TimePoint begunAt = steadyNow();
        if (hasWork) {
            noteTime(*m_node, begunAt, bootNow());
            do {
                runUrgent();
                work();
            } while (++count < worksPerStep && m_works.tryPop(work));
        }
        const TimePoint stepAt = steadyNow();
        stepCell(*m_node, stepAt, bootNow());
        const TimePoint endedAt = steadyNow();
        if (endedAt - begunAt > slowStep)
            logEvent(LogLevel::Warning, "step-slow", { { "works", count }, { "works_ms", (stepAt - begunAt).m_ms }, { "step_ms", (endedAt - stepAt).m_ms }, { "is_leading", m_isLeading.load() } });
        m_isReady = isReady(*m_node);
        m_isLeading = m_node->m_role == Role::Leading;
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
    Work work = [this, message = std::move(*message), respond] {
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
        return respond(plainResponse(404, "ask for readiness here"));
    respond(plainResponse(m_isReady ? 200 : 503, m_isReady ? "ready" : "not ready"));
}

void CellDaemon::Impl::onMetrics(const HttpRequest&, const HttpResponder& respond)
{
    post([this, respond] { respond(plainResponse(200, renderMetrics(*m_node))); });
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
    m_impl->m_node = makeCell(m_impl->makeOptions(), m_impl->makePorts(), platform::PlatformLink::makeDecoders(), now, wallNow() - now);
    m_impl->m_node->m_bootSeenAt = bootNow();
    if (auto listening = m_impl->listen(); !listening)
        return listening;
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
    const TimePoint begin = steadyNow();
    m_impl->post([impl = m_impl.get()] { beginTermination(*impl->m_node); });
    m_impl->m_clientServer.beginDraining();
    const auto isOver = [&] {
        const Duration spent = steadyNow() - begin;
        const bool isQuiet = !m_impl->m_isLeading && m_impl->m_clientServer.countInFlight() == 0;
        return spent > m_impl->m_settings.m_shutdownLimit || (spent > m_impl->m_settings.m_serveAfterTerm && isQuiet);
    };
    while (!isOver())
        std::this_thread::sleep_for(std::chrono::milliseconds(shutdownPoll.m_ms));
    m_impl->m_clientServer.closeGracefully();
    constexpr Duration lastAnswers { 100 };
    std::this_thread::sleep_for(std::chrono::milliseconds(lastAnswers.m_ms));
    logEvent(LogLevel::Info, "ended", { { "took_ms", (steadyNow() - begin).m_ms }, { "open_calls", m_impl->m_clientServer.countInFlight() } });
}

} // namespace bulrushloft::cell
