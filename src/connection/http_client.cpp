/** @file http_client.cpp HTTP client on Boost.Beast. */
#include "connection/http_client.h"

#include "connection/connection_limit.h"
#include "connection/http_reader.h"
#include "core/event_loop_impl.h"

#include <atomic>
#include <future>
#include <list>
#include <mutex>
#include <set>
#include <strings.h>
#include <unordered_map>

#include <boost/asio/error.hpp>
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
        std::size_t m_workingCount = 0; ///< Number of open connections that have carried an answer.
        std::size_t m_longPolls = 0; ///< Number of connections that carry a long poll.
        ConnectionLimit m_limit; ///< How many connections the server accepts.
        std::list<PendingCall> m_waiting; ///< Calls that wait for a free connection, the oldest first.
        std::unique_ptr<asio::steady_timer> m_timer; ///< Next time limit of a waiting call, or when a connection may be opened for it.
    };

    /** Which kinds of calls find no connection at a destination. */
    struct BlockedKinds {
        bool m_longPolls = false;
        bool m_others = false;
    };

    void failInQueue(const PendingCall& call, const Destination& destination)
    {
        const TimePoint sentAt = call.m_deadline - call.m_call.m_timeout;
        call.m_onResult(tl::unexpected(HttpFailure { .m_progress = CallProgress::NotSent, .m_reason = "timed out while waiting for a free connection", .m_end = CallEnd::NoFreeConnection, .m_isKeptConnection = false, .m_openConnections = destination.m_openCount, .m_took = steadyNow() - sentAt }));
    }

} // namespace

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
    Impl(EventLoop& loop, const HttpClientOptions& options)
        : m_context(loop.impl().m_context)
        , m_options(options)
        , m_sweepTimer(m_context)
    {
    }

    Destination& destinationOf(const Address& address);
    void enqueue(PendingCall call);
    void serveWaiting(const Address& address);
    bool start(Destination& destination, PendingCall& call);
    bool mayTakeConnection(const Destination& destination, bool isLongPoll) const;
    void startTimer(const Address& address, Destination& destination);
    void addIdle(const std::shared_ptr<Connection>& connection);
    void closeIdle(Connection& connection);
    void closeIdleSince(const Address& address, TimePoint time);
    std::shared_ptr<Connection> takeIdle(Destination& destination);
    void noteClosed(const Connection& connection);
    void noteAccepted(const Connection& connection);
    void noteRejected(const Connection& connection);
    void publishLimit(const Address& address, const ConnectionLimit& limit);
    void retire();
    /** Notes the memory that a response takes, and closes the connections that cost most while all together exceed the limit. */
    void charge(Connection& connection, std::size_t bytes);
    void startSweep();
    void sweep();

    asio::io_context& m_context;
    HttpClientOptions m_options;
    std::unordered_map<Address, Destination> m_destinations;
    std::set<Connection*> m_receiving; ///< Connections with a response that has begun.
    std::size_t m_heldBytes = 0; ///< Memory of these responses.
    std::list<Connection*> m_idleOrder; ///< Idle connections to all addresses, the longest idle first.
    asio::steady_timer m_sweepTimer; ///< Next sweep of idle connections; runs while there are any.
    bool m_isSweepPlanned = false;
    std::uint64_t m_generation = 0; ///< Connections of an earlier one are closed after their calls.
    std::atomic<std::uint64_t> m_bytesSent { 0 };
    mutable std::mutex m_limitedMutex;
    std::unordered_map<Address, TimePoint> m_limitedToOneUntil; ///< Addresses with at most one connection, and when the next one is tried; under m_limitedMutex.
};

namespace {

    /** One connection. It carries one call at a time (no pipelining), so a response can only belong to that call. */
    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(std::shared_ptr<HttpClient::Impl> client, Address address)
            : m_client(std::move(client))
            , m_address(std::move(address))
            , m_stream(m_client->m_context)
            , m_openedAt(steadyNow())
            , m_generation(m_client->m_generation)
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
                return asio::post(m_client->m_context, [self = shared_from_this(), error] { self->fail(CallProgress::NotSent, CallEnd::NotConnected, error); });
            m_stream.async_connect(Tcp::endpoint(host, m_address.m_port),
                [self = shared_from_this()](beast::error_code connectError) { self->onConnected(connectError); });
        }

        void run(PendingCall call)
        {
            m_current = std::move(call);
            m_takenAt = steadyNow();
            writeRequest();
        }

        void close() { m_stream.close(); }

        const Address& address() const { return m_address; }
        TimePoint openedAt() const { return m_openedAt; }
        TimePoint takenAt() const { return m_takenAt; }

        /** @return Whether the connection has carried an answer. */
        bool isWorking() const { return m_isWorking; }

        std::size_t m_charged = 0; ///< Memory that the client has noted for the present response.
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
            HttpMessageLimits limits = m_client->m_options.m_limits;
            limits.m_bodyBytes = m_current->m_call.m_bodyLimitBytes;
            m_reader.begin(limits);
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
            readMore();
        }

        void readMore()
        {
            m_stream.async_read_some(m_reader.prepare(), [self = shared_from_this()](beast::error_code error, std::size_t count) { self->onData(error, count); });
        }

        void onData(beast::error_code error, std::size_t count)
        {
            if (error && error != asio::error::eof)
                return fail(CallProgress::MaybeDelivered, endOf(error), error);
            switch (error ? m_reader.end() : m_reader.take(count)) {
            case HttpReadState::Complete:
                return onResponse();
            case HttpReadState::Refused:
                return failReading(error);
            case HttpReadState::NeedsMore:
                break;
            }
            if (steadyNow() >= m_current->m_deadline) // Timers may have no turn while data arrive.
                return fail(CallProgress::MaybeDelivered, CallEnd::TimedOut, beast::error::timeout);
            m_client->charge(*this, m_reader.heldBytes());
            readMore(); // Fails at once if the connection was closed.
        }

        void failReading(beast::error_code error)
        {
            if (error)
                return fail(CallProgress::MaybeDelivered, CallEnd::Closed, error);
            const bool isTooLarge = m_reader.refusal() != HttpRefusal::Malformed;
            fail(CallProgress::MaybeDelivered, CallEnd::Malformed, isTooLarge ? http::error::buffer_overflow : http::error::bad_value);
        }

        void onResponse()
        {
            auto message = m_reader.release();
            HttpResponse response;
            response.m_status = message.result_int();
            for (const auto& field : message)
                response.m_headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
            m_keepAlive = message.keep_alive() && !m_reader.hasBytesLeft();
            response.m_body = makeBody(std::move(message.body()));
            m_reader.releaseRoom();
            finish(std::move(response));
        }

        /** @return Whether the server rejected this new connection, as a full one does: it ended before any part of an answer. */
        bool isRejected(CallEnd end) const
        {
            const bool isEnded = end == CallEnd::Refused || end == CallEnd::NotConnected || end == CallEnd::Closed || end == CallEnd::Reset;
            return isEnded && !m_isWorking && !m_reader.hasStarted();
        }

        void fail(CallProgress progress, CallEnd end, beast::error_code error)
        {
            if (isRejected(end))
                m_client->noteRejected(*this);
            if (end == CallEnd::TimedOut && m_isWorking && !m_reader.hasStarted())
                m_client->closeIdleSince(m_address, m_takenAt);
            const std::size_t others = m_client->destinationOf(m_address).m_openCount - 1;
            finish(tl::unexpected(HttpFailure { .m_progress = progress, .m_reason = error.message(), .m_end = end, .m_isKeptConnection = m_isWorking, .m_openConnections = others, .m_took = steadyNow() - m_takenAt }));
        }

        void finish(HttpResult result)
        {
            auto onResult = std::move(m_current->m_onResult);
            if (m_current->m_call.m_isLongPoll)
                --m_client->destinationOf(m_address).m_longPolls;
            m_current.reset();
            m_client->charge(*this, 0);
            if (result && !std::exchange(m_isWorking, true))
                m_client->noteAccepted(*this);
            if (result && m_keepAlive && m_generation == m_client->m_generation) {
                m_stream.expires_never();
                m_client->addIdle(shared_from_this());
            } else {
                close();
                m_client->noteClosed(*this);
            }
            m_client->serveWaiting(m_address);
            onResult(std::move(result));
        }

        std::shared_ptr<HttpClient::Impl> m_client;
        Address m_address;
        beast::tcp_stream m_stream;
        HttpReader<false> m_reader;
        std::optional<PendingCall> m_current;
        http::request<http::span_body<const char>> m_message;
        bool m_keepAlive = false;
        bool m_isWorking = false; ///< Whether the connection has carried an answer.
        TimePoint m_openedAt; ///< When its opening began.
        std::uint64_t m_generation; ///< The client's generation at that time.
        TimePoint m_takenAt; ///< When the current call took the connection, or began to open it.
    };

} // namespace

Destination& HttpClient::Impl::destinationOf(const Address& address)
{
    const auto [entry, isNew] = m_destinations.try_emplace(address);
    if (isNew)
        entry->second.m_limit.m_max = m_options.m_connectionsPerAddress;
    return entry->second;
}

void HttpClient::Impl::addIdle(const std::shared_ptr<Connection>& connection)
{
    connection->m_idleSince = steadyNow();
    destinationOf(connection->address()).m_idle.push_back(connection);
    connection->m_idlePosition = m_idleOrder.insert(m_idleOrder.end(), connection.get());
    if (m_idleOrder.size() > m_options.m_maxIdleConnections)
        closeIdle(*m_idleOrder.front());
    startSweep();
}

void HttpClient::Impl::closeIdle(Connection& connection)
{
    const std::shared_ptr<Connection> kept = connection.shared_from_this();
    std::erase(destinationOf(kept->address()).m_idle, kept);
    m_idleOrder.erase(kept->m_idlePosition);
    kept->close();
    noteClosed(*kept);
}

/** Closes the connections to an address that have been idle since a time or longer, if the options say so. */
void HttpClient::Impl::closeIdleSince(const Address& address, TimePoint time)
{
    const auto& idle = destinationOf(address).m_idle;
    while (m_options.m_closesIdleOnTimeout && !idle.empty() && idle.front()->m_idleSince <= time)
        closeIdle(*idle.front());
}

std::shared_ptr<Connection> HttpClient::Impl::takeIdle(Destination& destination)
{
    while (!destination.m_idle.empty()) {
        auto connection = destination.m_idle.back();
        if (!connection->isUsable()) {
            closeIdle(*connection);
            continue;
        }
        destination.m_idle.pop_back();
        m_idleOrder.erase(connection->m_idlePosition);
        return connection;
    }
    return nullptr;
}

void HttpClient::Impl::noteClosed(const Connection& connection)
{
    Destination& destination = destinationOf(connection.address());
    --destination.m_openCount;
    if (connection.isWorking())
        --destination.m_workingCount;
}

void HttpClient::Impl::noteAccepted(const Connection& connection)
{
    Destination& destination = destinationOf(connection.address());
    ++destination.m_workingCount;
    noteConnectionAccepted(destination.m_limit, connection.openedAt(), destination.m_workingCount);
    publishLimit(connection.address(), destination.m_limit);
}

void HttpClient::Impl::noteRejected(const Connection& connection)
{
    if (!m_options.m_learnsLimit)
        return;
    Destination& destination = destinationOf(connection.address());
    noteConnectionRejected(destination.m_limit, connection.openedAt(), destination.m_workingCount, steadyNow());
    publishLimit(connection.address(), destination.m_limit);
}

void HttpClient::Impl::publishLimit(const Address& address, const ConnectionLimit& limit)
{
    const std::scoped_lock lock(m_limitedMutex);
    if (limit.m_learned && *limit.m_learned <= 1)
        m_limitedToOneUntil[address] = limit.m_nextOpenAt;
    else
        m_limitedToOneUntil.erase(address);
}

bool HttpClient::Impl::mayTakeConnection(const Destination& destination, bool isLongPoll) const
{
    const std::size_t usable = usableConnections(destination.m_limit, steadyNow());
    if (!m_options.m_sharesWithLongPolls || usable == 1)
        return true;
    const std::size_t others = destination.m_openCount - destination.m_idle.size() - destination.m_longPolls;
    return (isLongPoll ? destination.m_longPolls : others) < usable - 1;
}

/** Runs a call on an idle or new connection. @return Whether there was one; otherwise the call is left as it was. */
bool HttpClient::Impl::start(Destination& destination, PendingCall& call)
{
    const bool isLongPoll = call.m_call.m_isLongPoll;
    if (!mayTakeConnection(destination, isLongPoll))
        return false;
    if (const auto connection = takeIdle(destination)) {
        destination.m_longPolls += isLongPoll ? 1 : 0;
        connection->run(std::move(call));
        return true;
    }
    const TimePoint now = steadyNow();
    if (!mayOpenConnection(destination.m_limit, destination.m_openCount, now))
        return false;
    noteConnectionAttempt(destination.m_limit, destination.m_openCount, now);
    ++destination.m_openCount;
    destination.m_longPolls += isLongPoll ? 1 : 0;
    auto connection = std::make_shared<Connection>(shared_from_this(), call.m_call.m_address);
    connection->connectAndRun(std::move(call));
    return true;
}

void HttpClient::Impl::enqueue(PendingCall call)
{
    const Address address = call.m_call.m_address;
    destinationOf(address).m_waiting.push_back(std::move(call));
    serveWaiting(address);
}

/** Starts the waiting calls that find a connection, the oldest of each kind first, and fails those whose time is up. */
void HttpClient::Impl::serveWaiting(const Address& address)
{
    Destination& destination = destinationOf(address);
    const TimePoint now = steadyNow();
    BlockedKinds blocked;
    for (auto call = destination.m_waiting.begin(); call != destination.m_waiting.end();) {
        if (call->m_deadline <= now) {
            const PendingCall expired = std::move(*call);
            call = destination.m_waiting.erase(call);
            failInQueue(expired, destination);
            continue;
        }
        bool& isBlocked = call->m_call.m_isLongPoll ? blocked.m_longPolls : blocked.m_others;
        isBlocked = isBlocked || !start(destination, *call);
        call = isBlocked ? std::next(call) : destination.m_waiting.erase(call);
    }
    startTimer(address, destination);
}

/** Plans the next service of the waiting calls that doesn't follow from a call's end. */
void HttpClient::Impl::startTimer(const Address& address, Destination& destination)
{
    if (destination.m_waiting.empty()) {
        destination.m_timer.reset();
        return;
    }
    const TimePoint now = steadyNow();
    const auto isEarlier = [](const PendingCall& one, const PendingCall& other) { return one.m_deadline < other.m_deadline; };
    TimePoint next = std::min_element(destination.m_waiting.begin(), destination.m_waiting.end(), isEarlier)->m_deadline;
    if (destination.m_limit.m_nextOpenAt > now)
        next = std::min(next, destination.m_limit.m_nextOpenAt);
    destination.m_timer = std::make_unique<asio::steady_timer>(m_context, std::chrono::milliseconds((next - now).m_ms));
    destination.m_timer->async_wait([weak = weak_from_this(), address](beast::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->serveWaiting(address);
    });
}

void HttpClient::Impl::retire()
{
    ++m_generation;
    while (!m_idleOrder.empty())
        closeIdle(*m_idleOrder.front());
}

void HttpClient::Impl::charge(Connection& connection, std::size_t bytes)
{
    m_heldBytes += bytes;
    m_heldBytes -= std::exchange(connection.m_charged, bytes);
    if (bytes == 0)
        m_receiving.erase(&connection);
    else
        m_receiving.insert(&connection);
    const TimePoint now = steadyNow();
    const auto costOf = [now](const Connection* receiving) { return static_cast<double>(receiving->m_charged) * static_cast<double>((now - receiving->takenAt()).m_ms + 1); };
    while (m_options.m_unfinishedBytes > 0 && m_heldBytes > m_options.m_unfinishedBytes && !m_receiving.empty()) {
        Connection* costliest = *std::max_element(m_receiving.begin(), m_receiving.end(), [&](const Connection* one, const Connection* other) { return costOf(one) < costOf(other); });
        m_receiving.erase(costliest);
        m_heldBytes -= std::exchange(costliest->m_charged, 0);
        costliest->close(); // Its call fails when the loop is next run.
    }
}

void HttpClient::Impl::startSweep()
{
    if (std::exchange(m_isSweepPlanned, true))
        return;
    constexpr Duration maxInterval { 1'000 };
    const Duration interval = std::min({ maxInterval, m_options.m_idleTimeout, m_options.m_spareIdleTimeout });
    m_sweepTimer.expires_after(std::chrono::milliseconds(interval.m_ms));
    m_sweepTimer.async_wait([weak = weak_from_this()](beast::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->sweep();
    });
}

/** Closes connections that have been idle for too long, and forgets addresses without connections and calls. */
void HttpClient::Impl::sweep()
{
    m_isSweepPlanned = false;
    const TimePoint now = steadyNow();
    for (auto position = m_idleOrder.begin(); position != m_idleOrder.end();) {
        Connection& connection = **position++;
        const Duration idle = now - connection.m_idleSince;
        if (idle < m_options.m_spareIdleTimeout && idle < m_options.m_idleTimeout)
            break; // Those that follow have been idle for less.
        const bool isSpare = destinationOf(connection.address()).m_openCount > m_options.m_keptConnectionsPerAddress;
        if (isSpare || idle >= m_options.m_idleTimeout)
            closeIdle(connection);
    }
    std::erase_if(m_destinations, [&](const auto& entry) { return entry.second.m_openCount == 0 && entry.second.m_waiting.empty() && now >= entry.second.m_limit.m_nextOpenAt; });
    const std::scoped_lock lock(m_limitedMutex);
    std::erase_if(m_limitedToOneUntil, [&](const auto& entry) { return now >= entry.second; });
    if (!m_idleOrder.empty())
        startSweep();
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
    asio::post(m_impl->m_context, [impl = m_impl, pending = std::move(pending)]() mutable { impl->enqueue(std::move(pending)); });
}

void HttpClient::retireConnections()
{
    asio::post(m_impl->m_context, [impl = m_impl] { impl->retire(); });
}

bool HttpClient::isLimitedToOneConnection(const Address& address) const
{
    const std::scoped_lock lock(m_impl->m_limitedMutex);
    const auto entry = m_impl->m_limitedToOneUntil.find(address);
    return entry != m_impl->m_limitedToOneUntil.end() && steadyNow() < entry->second;
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
