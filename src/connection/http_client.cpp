/** @file http_client.cpp HTTP client on Boost.Beast. */
#include "connection/http_client.h"

#include "core/event_loop_impl.h"

#include <atomic>
#include <deque>
#include <future>
#include <list>
#include <strings.h>
#include <unordered_map>

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

std::string_view findHeader(const std::vector<HttpHeader>& headers, std::string_view name)
{
    for (const HttpHeader& header : headers) {
        if (header.m_name.size() == name.size() && strncasecmp(header.m_name.data(), name.data(), name.size()) == 0)
            return header.m_value;
    }
    return {};
}

namespace {

    struct PendingCall {
        HttpCall m_call;
        std::function<void(HttpResult)> m_onResult;
        TimePoint m_deadline; ///< Monotonic time at which the call fails.
    };

    class Connection;

    /** @return How a call ended whose connection was open when the error occurred. */
    CallEnd endOf(beast::error_code error)
    {
        if (error == beast::error::timeout)
            return CallEnd::TimedOut;
        if (error == http::error::end_of_stream || error == http::error::partial_message || error == asio::error::eof)
            return CallEnd::Closed;
        if (error == asio::error::connection_reset || error == asio::error::broken_pipe)
            return CallEnd::Reset;
        return CallEnd::Malformed;
    }

    /** Connections to one address and the calls that wait for a free one. */
    struct Destination {
        std::vector<std::shared_ptr<Connection>> m_idle; ///< Idle connections, the most recently used last.
        std::size_t m_openCount = 0; ///< Number of idle and busy connections.
        std::deque<PendingCall> m_waiting; ///< Calls that wait for a free connection, the oldest first.
    };

} // namespace

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
    Impl(EventLoop& loop, const HttpClientOptions& options)
        : m_context(loop.impl().m_context)
        , m_options(options)
    {
    }

    void start(PendingCall call);
    void startNext(const Address& address);
    void failExpired(Destination& destination);
    void addIdle(const std::shared_ptr<Connection>& connection);
    std::shared_ptr<Connection> takeIdle(Destination& destination);

    asio::io_context& m_context;
    HttpClientOptions m_options;
    std::unordered_map<Address, Destination> m_destinations;
    std::list<Connection*> m_idleOrder; ///< Idle connections to all addresses, the longest idle first.
    std::atomic<std::uint64_t> m_bytesSent { 0 };
};

namespace {

    /** One connection. It carries one call at a time (no pipelining), so a response can only belong to that call. */
    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(std::shared_ptr<HttpClient::Impl> client, Address address)
            : m_client(std::move(client))
            , m_address(std::move(address))
            , m_stream(m_client->m_context)
        {
        }

        bool isUsable() const
        {
            return steadyNow() - m_idleSince < m_client->m_options.m_idleTimeout && !isClosedByPeer();
        }

        void connectAndRun(PendingCall call)
        {
            m_current = std::move(call);
            m_takenAt = steadyNow();
            const Duration left = m_current->m_deadline - m_takenAt;
            m_stream.expires_after(std::chrono::milliseconds(std::min(left, m_client->m_options.m_connectTimeout).m_ms));
            beast::error_code error;
            const auto host = asio::ip::make_address(m_address.m_host, error);
            if (error)
                return fail(CallProgress::NotSent, CallEnd::NotConnected, error);
            m_stream.async_connect(Tcp::endpoint(host, m_address.m_port),
                [self = shared_from_this()](beast::error_code connectError) { self->onConnected(connectError); });
        }

        void run(PendingCall call)
        {
            m_current = std::move(call);
            m_takenAt = steadyNow();
            writeRequest();
        }

        const Address& address() const { return m_address; }

        TimePoint m_idleSince; ///< Monotonic time since which the connection has been idle.
        std::list<Connection*>::iterator m_idlePosition; ///< Position in m_idleOrder; valid only while idle.

    private:
        /** @return Whether the peer closed this idle connection; unexpected data from the peer counts as closed. */
        bool isClosedByPeer() const
        {
            auto& socket = const_cast<beast::tcp_stream&>(m_stream).socket();
            beast::error_code error;
            socket.non_blocking(true, error);
            char byte = 0;
            const std::size_t count = socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
            return error != asio::error::would_block || count > 0;
        }

        void onConnected(beast::error_code error)
        {
            if (error) {
                const bool isRefused = error == asio::error::connection_refused;
                return fail(isRefused ? CallProgress::Refused : CallProgress::NotSent, isRefused ? CallEnd::Refused : CallEnd::NotConnected, error);
            }
            beast::error_code ignored;
            m_stream.socket().set_option(Tcp::no_delay(true), ignored);
            writeRequest();
        }

        void writeRequest()
        {
            const HttpRequest& request = m_current->m_call.m_request;
            m_message = {};
            m_message.version(11);
            m_message.method_string(request.m_method);
            m_message.target(request.m_target);
            m_message.set(http::field::host, m_address.m_host);
            for (const HttpHeader& header : request.m_headers)
                m_message.set(header.m_name, header.m_value);
            const std::string_view body = viewOf(request.m_body);
            m_message.body() = beast::span<const char>(body.data(), body.size());
            m_message.keep_alive(true);
            m_message.prepare_payload();
            const Duration left = m_current->m_deadline - steadyNow();
            m_stream.expires_after(std::chrono::milliseconds(std::max<std::int64_t>(left.m_ms, 1)));
            http::async_write(m_stream, m_message, [self = shared_from_this()](beast::error_code error, std::size_t count) {
                self->m_client->m_bytesSent += count;
                self->onWritten(error);
            });
        }

        void onWritten(beast::error_code error)
        {
            if (error)
                return fail(CallProgress::MaybeDelivered, endOf(error), error);
            m_parser.emplace();
            m_parser->body_limit(m_current->m_call.m_bodyLimitBytes);
            http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code readError, std::size_t) {
                self->onRead(readError);
            });
        }

        void onRead(beast::error_code error)
        {
            if (error)
                return fail(CallProgress::MaybeDelivered, endOf(error), error);
            auto message = m_parser->release();
            HttpResponse response;
            response.m_status = message.result_int();
            for (const auto& field : message)
                response.m_headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
            response.m_body = makeBody(std::move(message.body()));
            m_keepAlive = message.keep_alive() && m_buffer.size() == 0;
            finish(std::move(response));
        }

        void fail(CallProgress progress, CallEnd end, beast::error_code error)
        {
            const std::size_t others = m_client->m_destinations[m_address].m_openCount - 1;
            finish(tl::unexpected(HttpFailure { .m_progress = progress, .m_reason = error.message(), .m_end = end, .m_isKeptConnection = m_hasCarriedCall, .m_openConnections = others, .m_took = steadyNow() - m_takenAt }));
        }

        void finish(HttpResult result)
        {
            m_hasCarriedCall = true;
            auto onResult = std::move(m_current->m_onResult);
            m_current.reset();
            Destination& destination = m_client->m_destinations[m_address];
            if (result && m_keepAlive) {
                m_stream.expires_never();
                m_client->addIdle(shared_from_this());
            } else {
                m_stream.close();
                --destination.m_openCount;
            }
            m_client->startNext(m_address);
            onResult(std::move(result));
        }

        std::shared_ptr<HttpClient::Impl> m_client;
        Address m_address;
        beast::tcp_stream m_stream;
        beast::flat_buffer m_buffer;
        std::optional<PendingCall> m_current;
        http::request<http::span_body<const char>> m_message;
        std::optional<http::response_parser<http::string_body>> m_parser;
        bool m_keepAlive = false;
        bool m_hasCarriedCall = false; ///< Whether a call on this connection has ended.
        TimePoint m_takenAt; ///< When the current call took the connection, or began to open it.
    };

} // namespace

void HttpClient::Impl::addIdle(const std::shared_ptr<Connection>& connection)
{
    connection->m_idleSince = steadyNow();
    m_destinations[connection->address()].m_idle.push_back(connection);
    connection->m_idlePosition = m_idleOrder.insert(m_idleOrder.end(), connection.get());
    if (m_idleOrder.size() <= m_options.m_maxIdleConnections)
        return;
    // The idle connections of a destination are ordered in the same way, so the one that has been idle longest is the first of its destination.
    Destination& destination = m_destinations[m_idleOrder.front()->address()];
    m_idleOrder.pop_front();
    destination.m_idle.erase(destination.m_idle.begin());
    --destination.m_openCount;
}

std::shared_ptr<Connection> HttpClient::Impl::takeIdle(Destination& destination)
{
    if (destination.m_idle.empty())
        return nullptr;
    auto connection = destination.m_idle.back();
    destination.m_idle.pop_back();
    m_idleOrder.erase(connection->m_idlePosition);
    return connection;
}

void HttpClient::Impl::start(PendingCall call)
{
    Destination& destination = m_destinations[call.m_call.m_address];
    while (const auto connection = takeIdle(destination)) {
        if (connection->isUsable())
            return connection->run(std::move(call));
        --destination.m_openCount;
    }
    if (destination.m_openCount >= m_options.m_connectionsPerAddress) {
        destination.m_waiting.push_back(std::move(call));
        return;
    }
    ++destination.m_openCount;
    auto connection = std::make_shared<Connection>(shared_from_this(), call.m_call.m_address);
    connection->connectAndRun(std::move(call));
}

void HttpClient::Impl::failExpired(Destination& destination)
{
    const TimePoint now = steadyNow();
    while (!destination.m_waiting.empty() && destination.m_waiting.front().m_deadline <= now) {
        const PendingCall expired = std::move(destination.m_waiting.front());
        destination.m_waiting.pop_front();
        const TimePoint sentAt = expired.m_deadline - expired.m_call.m_timeout;
        expired.m_onResult(tl::unexpected(HttpFailure { .m_progress = CallProgress::NotSent, .m_reason = "timed out while waiting for a free connection", .m_end = CallEnd::NoFreeConnection, .m_isKeptConnection = false, .m_openConnections = destination.m_openCount, .m_took = now - sentAt }));
    }
}

void HttpClient::Impl::startNext(const Address& address)
{
    Destination& destination = m_destinations[address];
    failExpired(destination);
    if (destination.m_waiting.empty())
        return;
    PendingCall call = std::move(destination.m_waiting.front());
    destination.m_waiting.pop_front();
    start(std::move(call));
}

HttpClient::HttpClient(EventLoop& loop, const HttpClientOptions& options)
    : m_impl(std::make_shared<Impl>(loop, options))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(HttpCall call, std::function<void(HttpResult)> onResult)
{
    PendingCall pending { .m_call = std::move(call), .m_onResult = std::move(onResult), .m_deadline = {} };
    pending.m_deadline = steadyNow() + pending.m_call.m_timeout;
    asio::post(m_impl->m_context, [impl = m_impl, pending = std::move(pending)]() mutable { impl->start(std::move(pending)); });
}

std::uint64_t HttpClient::countBytesSent() const
{
    return m_impl->m_bytesSent;
}

HttpResult sendAndWait(HttpClient& client, HttpCall call)
{
    auto promise = std::make_shared<std::promise<HttpResult>>();
    auto future = promise->get_future();
    client.send(std::move(call), [promise](HttpResult result) { promise->set_value(std::move(result)); });
    return future.get();
}

} // namespace bulrushloft
