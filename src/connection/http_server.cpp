/** @file http_server.cpp HTTP server on Boost.Beast: its connections and what they may take together. */
#include "connection/http_server.h"

#include "connection/http_session.h"

#include <boost/asio/post.hpp>

namespace bulrushloft {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

HttpServer::Impl::Impl(EventLoop& loop)
    : m_context(loop.impl().m_context)
    , m_acceptor(m_context)
    , m_acceptTimer(m_context)
    , m_sweepTimer(m_context)
{
}

void HttpServer::Impl::acceptLater()
{
    constexpr std::chrono::milliseconds retryDelay { 50 };
    m_acceptTimer.expires_after(retryDelay);
    m_acceptTimer.async_wait([self = shared_from_this()](beast::error_code error) {
        if (!error && !self->m_isClosing)
            self->accept();
    });
}

void HttpServer::Impl::accept()
{
    m_acceptor.async_accept(m_context, [self = shared_from_this()](beast::error_code error, Tcp::socket socket) {
        if (self->m_isClosing || error == asio::error::operation_aborted)
            return;
        if (error == asio::error::no_descriptors && self->m_options.m_limits.m_closesOldest)
            self->closeOldest();
        if (error) // The connection stays in the backlog.
            return self->acceptLater();
        self->open(std::move(socket));
        self->accept();
    });
}

void HttpServer::Impl::open(Tcp::socket socket)
{
    const bool isFull = m_sessions.size() >= m_options.m_limits.m_connections;
    if (isFull && !(m_options.m_limits.m_closesOldest && closeOldest()))
        return;
    auto session = std::make_shared<HttpSession>(std::move(socket), shared_from_this());
    if (const std::size_t limit = m_options.m_limits.m_connectionsPerAddress; limit > 0) {
        std::size_t& fromAddress = m_perAddress[session->peer()];
        if (fromAddress >= limit)
            return m_refusals.note(HttpRefusal::NoConnection, session->peer().to_string(), {});
        ++fromAddress;
    }
    m_sessions.insert(session);
    m_connections = m_sessions.size();
    session->readNext();
    startSweep();
}

void HttpServer::Impl::forget(HttpSession& session)
{
    charge(session, 0);
    if (const auto address = m_perAddress.find(session.peer()); address != m_perAddress.end() && --address->second == 0)
        m_perAddress.erase(address);
    m_sessions.erase(session.shared_from_this());
    m_connections = m_sessions.size();
}

bool HttpServer::Impl::closeOldest()
{
    if (!m_idle.empty()) {
        HttpSession& oldest = *m_idle.front();
        m_refusals.note(HttpRefusal::NoConnection, oldest.peer().to_string(), {});
        oldest.close();
        return true;
    }
    std::shared_ptr<HttpSession> oldest;
    for (const auto& session : m_sessions) {
        const bool isUnfinished = session->state() == HttpSession::State::Reading || session->state() == HttpSession::State::Discarding;
        if (isUnfinished && (!oldest || session->startedAt() < oldest->startedAt()))
            oldest = session;
    }
    if (!oldest)
        return false;
    if (oldest->state() == HttpSession::State::Discarding)
        oldest->close();
    else
        oldest->refuse(HttpRefusal::NoConnection, true);
    return true;
}

void HttpServer::Impl::charge(HttpSession& session, std::size_t bytes)
{
    m_heldBytes += bytes;
    m_heldBytes -= std::exchange(session.m_charged, bytes);
    const std::size_t limit = m_options.m_limits.m_unfinishedBytes;
    while (bytes > 0 && limit > 0 && m_heldBytes > limit) {
        const TimePoint now = steadyNow();
        const auto costOf = [now](const HttpSession& held) { return static_cast<double>(held.m_charged) * static_cast<double>((now - held.startedAt()).m_ms + 1); };
        std::shared_ptr<HttpSession> costliest;
        for (const auto& held : m_sessions) {
            if (held->state() == HttpSession::State::Reading && (!costliest || costOf(*held) > costOf(*costliest)))
                costliest = held;
        }
        if (!costliest)
            return;
        costliest->refuse(HttpRefusal::NoMemory, costliest.get() != &session);
    }
}

void HttpServer::Impl::startSweep()
{
    if (m_sessions.empty() || std::exchange(m_isSweepPlanned, true))
        return;
    constexpr std::chrono::milliseconds interval { 200 }; // Time limits are of seconds.
    m_sweepTimer.expires_after(interval);
    m_sweepTimer.async_wait([weak = weak_from_this()](beast::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->sweep();
    });
}

void HttpServer::Impl::sweep()
{
    m_isSweepPlanned = false;
    const TimePoint now = steadyNow();
    for (auto position = m_sessions.begin(); position != m_sessions.end();) {
        const std::shared_ptr<HttpSession> session = *position++;
        session->endOverdue(now);
    }
    startSweep();
}

HttpServer::HttpServer(EventLoop& loop)
    : m_impl(std::make_shared<Impl>(loop))
{
}

HttpServer::~HttpServer() = default;

Expected<void> HttpServer::listen(const HttpServerOptions& options, HttpHandler handler)
{
    m_impl->m_options = options;
    m_impl->m_handler = std::move(handler);
    m_impl->m_refusals.setListener(options.m_name);
    const Tcp::endpoint endpoint(asio::ip::make_address(options.m_address.m_host), options.m_address.m_port);
    beast::error_code error;
    m_impl->m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_impl->m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        m_impl->m_acceptor.bind(endpoint, error);
    if (!error)
        m_impl->m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return fail(ErrorKind::Unavailable, "cannot listen on " + format(options.m_address) + ": " + error.message(), "stop the process that uses the address or choose another one in the start-up file");
    asio::post(m_impl->m_context, [impl = m_impl] { impl->accept(); });
    return {};
}

void HttpServer::beginDraining()
{
    asio::post(m_impl->m_context, [impl = m_impl] { impl->m_isDraining = true; });
}

void HttpServer::closeGracefully()
{
    asio::post(m_impl->m_context, [impl = m_impl] {
        impl->m_isClosing = true;
        beast::error_code ignored;
        impl->m_acceptor.close(ignored);
        const auto sessions = impl->m_sessions;
        for (const auto& session : sessions)
            session->closeIfIdle();
    });
}

std::size_t HttpServer::countInFlight() const
{
    return m_impl->m_inFlight;
}

std::size_t HttpServer::countConnections() const
{
    return m_impl->m_connections;
}

HttpRefusalCounts HttpServer::refusals() const
{
    return m_impl->m_refusals.counts();
}

} // namespace bulrushloft
