/** @file http_server.cpp HTTP server on Boost.Beast. */
#include "connection/http_server.h"

#include "connection/http_read.h"
#include "core/event_loop_impl.h"
#include "core/log_func.h"

#include <atomic>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace bulrushloft {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

    class Session;

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    explicit Impl(EventLoop& loop)
        : m_context(loop.impl().m_context)
        , m_acceptor(m_context)
        , m_acceptTimer(m_context)
    {
    }

    void accept();
    void acceptLater();

    asio::io_context& m_context; ///< Event loop of all sessions.
    Tcp::acceptor m_acceptor; ///< The listening socket.
    asio::steady_timer m_acceptTimer; ///< Delay before connections are accepted again after an error.
    HttpServerOptions m_options; ///< Address and limits, set by listen().
    HttpHandler m_handler; ///< Called with each complete request.
    std::set<std::shared_ptr<Session>> m_sessions; ///< Open connections.
    std::atomic<std::size_t> m_connections { 0 }; ///< Size of m_sessions, for other threads.
    std::atomic<std::size_t> m_inFlight { 0 }; ///< Requests whose responses have not been written yet.
    bool m_isDraining = false; ///< Whether each connection is closed after its next response.
    bool m_isClosing = false; ///< Whether connections are closed after their current response and no new ones are accepted.
};

namespace {

    /** One connection: reads a request, waits for its response, writes it, repeats. */
    class Session : public std::enable_shared_from_this<Session> {
    public:
        Session(Tcp::socket socket, std::shared_ptr<HttpServer::Impl> server)
            : m_stream(std::move(socket))
            , m_server(std::move(server))
        {
        }

        void readNext()
        {
            m_isIdle = true;
            m_parser.emplace();
            m_parser->body_limit(m_server->m_options.m_bodyLimitBytes);
            m_stream.expires_after(std::chrono::milliseconds(m_server->m_options.m_idleTimeout.m_ms));
            http::async_read_header(m_stream, m_buffer, *m_parser,
                [self = shared_from_this()](beast::error_code error, std::size_t) { self->onHeader(error); });
        }

        void closeIfIdle()
        {
            if (m_isIdle)
                close();
        }

    private:
        void onHeader(beast::error_code error)
        {
            if (error)
                return onReadFailure(error);
            m_isIdle = false;
            m_stream.expires_after(std::chrono::milliseconds(m_server->m_options.m_readTimeout.m_ms));
            if (takeArrivedBody(m_buffer, *m_parser, error))
                return onRequest(error);
            http::async_read(m_stream, m_buffer, *m_parser,
                [self = shared_from_this()](beast::error_code bodyError, std::size_t) { self->onRequest(bodyError); });
        }

        void onRequest(beast::error_code error)
        {
            if (error)
                return onReadFailure(error);
            m_stream.expires_never();
            auto message = m_parser->release();
            m_keepAlive = message.keep_alive();
            releaseRoom(m_buffer);
            HttpRequest request;
            request.m_method = std::string(message.method_string());
            request.m_target = std::string(message.target());
            for (const auto& field : message)
                request.m_headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
            request.m_body = makeBody(std::move(message.body()));
            ++m_server->m_inFlight;
            m_server->m_handler(std::move(request), makeResponder());
        }

        HttpResponder makeResponder()
        {
            return [self = shared_from_this()](HttpResponse response) {
                asio::post(self->m_server->m_context, [self, response = std::move(response)] {
                    self->write(response, true);
                });
            };
        }

        /** Closes the connection; a malformed or too large request is first answered with an error. */
        void onReadFailure(beast::error_code error)
        {
            m_isIdle = false;
            if (error == http::error::body_limit) {
                return sendError(413, "the body is larger than " + std::to_string(m_server->m_options.m_bodyLimitBytes) + " bytes; send a smaller one");
            }
            const bool isMalformed = error.category() == http::make_error_code(http::error::bad_method).category()
                && error != http::error::end_of_stream && error != http::error::partial_message;
            if (isMalformed)
                return sendError(400, "the request is malformed (" + error.message() + "); send a valid HTTP/1.1 request");
            close();
        }

        void sendError(unsigned status, const std::string& text)
        {
            m_keepAlive = false;
            HttpResponse response { .m_status = status, .m_headers = { { "Content-Type", "application/json" } }, .m_body = nullptr };
            response.m_body = makeBody("{\"error\":{\"kind\":\"invalid-input\",\"message\":\"" + text + "\"}}\n");
            write(response, false);
        }

        /** @param isCounted Whether the request is counted in m_inFlight. */
        void write(const HttpResponse& response, bool isCounted)
        {
            m_body = response.m_body ? response.m_body : makeBody({});
            m_message = http::response<http::span_body<const char>> {};
            m_message.version(11);
            m_message.result(response.m_status);
            for (const HttpHeader& header : response.m_headers)
                m_message.set(header.m_name, header.m_value);
            m_message.body() = beast::span<const char>(m_body->data(), m_body->size());
            m_keepAlive = m_keepAlive && !m_server->m_isClosing && !m_server->m_isDraining;
            m_message.keep_alive(m_keepAlive);
            m_message.prepare_payload();
            m_stream.expires_after(std::chrono::milliseconds(m_server->m_options.m_readTimeout.m_ms));
            http::async_write(m_stream, m_message, [self = shared_from_this(), isCounted](beast::error_code error, std::size_t) {
                if (isCounted)
                    --self->m_server->m_inFlight;
                self->onWritten(error);
            });
        }

        void onWritten(beast::error_code error)
        {
            if (error || !m_keepAlive || m_server->m_isClosing)
                return close();
            readNext();
        }

        void close()
        {
            beast::error_code ignored;
            m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
            m_stream.close();
            m_server->m_sessions.erase(shared_from_this());
            m_server->m_connections = m_server->m_sessions.size();
        }

        beast::tcp_stream m_stream;
        std::shared_ptr<HttpServer::Impl> m_server;
        beast::flat_buffer m_buffer;
        std::optional<http::request_parser<http::string_body>> m_parser;
        http::response<http::span_body<const char>> m_message;
        SharedBody m_body; ///< Keeps the bytes of m_message alive.
        bool m_keepAlive = true;
        bool m_isIdle = true; ///< Whether the header of the next request is still awaited.
    };

} // namespace

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
        if (error) // Out of descriptors, for example; the connection stays in the backlog.
            return self->acceptLater();
        if (self->m_sessions.size() < self->m_options.m_connectionLimit) {
            beast::error_code ignored;
            socket.set_option(Tcp::no_delay(true), ignored);
            auto session = std::make_shared<Session>(std::move(socket), self);
            self->m_sessions.insert(session);
            self->m_connections = self->m_sessions.size();
            session->readNext();
        }
        self->accept();
    });
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

} // namespace bulrushloft
