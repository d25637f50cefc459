/** @file http_session.cpp One connection of a server. */
#include "connection/http_session.h"

#include "core/guard_func.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/span.hpp>
#include <boost/beast/http/write.hpp>

namespace bulrushloft {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

HttpSession::HttpSession(Tcp::socket socket, std::shared_ptr<HttpServer::Impl> server)
    : m_socket(std::move(socket))
    , m_server(std::move(server))
{
    beast::error_code ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored); // A refusal is written without waiting.
    m_peer = m_socket.remote_endpoint(ignored).address();
}

void HttpSession::readNext()
{
    m_state = State::Idle;
    m_idlePosition = m_server->m_idle.insert(m_server->m_idle.end(), this);
    m_deadline = steadyNow() + m_server->m_options.m_limits.m_idleTime;
    m_isBodyAwaited = false;
    m_reader.begin(m_server->m_options.m_limits.m_message);
    if (m_reader.hasBytesLeft())
        return advance(m_reader.advance());
    readMore();
}

void HttpSession::readMore()
{
    m_socket.async_read_some(m_reader.prepare(), [self = shared_from_this()](beast::error_code error, std::size_t count) { self->onData(error, count); });
}

void HttpSession::onData(beast::error_code error, std::size_t count)
{
    if (m_state == State::Closed)
        return;
    if (error)
        return close();
    advance(m_reader.take(count));
}

void HttpSession::advance(HttpReadState state)
{
    if (m_state == State::Idle && (m_reader.hasStarted() || state == HttpReadState::Refused)) {
        leaveIdle();
        m_state = State::Reading;
        m_startedAt = steadyNow();
        m_deadline = m_startedAt + m_server->m_options.m_limits.m_headTime;
    }
    switch (state) {
    case HttpReadState::NeedsMore:
        return waitForMore();
    case HttpReadState::Complete:
        return onRequest();
    case HttpReadState::Refused:
        return refuse(m_reader.refusal(), false);
    }
}

void HttpSession::waitForMore()
{
    if (m_state == State::Idle)
        return readMore();
    const TimePoint now = steadyNow();
    if (m_reader.hasHead() && !std::exchange(m_isBodyAwaited, true))
        m_deadline = now + m_server->m_options.m_limits.m_bodyTime;
    if (now >= m_deadline)
        return refuse(m_isBodyAwaited ? HttpRefusal::BodyTimeout : HttpRefusal::HeadTimeout, false);
    m_server->charge(*this, m_reader.heldBytes());
    if (m_state == State::Reading)
        readMore();
}

void HttpSession::onRequest()
{
    m_server->charge(*this, m_reader.heldBytes());
    if (m_state != State::Reading)
        return;
    m_state = State::Handling;
    auto message = m_reader.release();
    m_reader.releaseRoom();
    m_keepAlive = message.keep_alive();
    HttpRequest request;
    request.m_method = std::string(message.method_string());
    request.m_target = std::string(message.target());
    for (const auto& field : message)
        request.m_headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.m_body = makeBody(std::move(message.body()));
    ++m_server->m_inFlight;
    if (!runGuarded("request", [&] { m_server->m_handler(std::move(request), makeResponder()); })) {
        m_keepAlive = false; // Whether the handler goes on and responds is not known.
        constexpr unsigned internalError = 500;
        write({ .m_status = internalError, .m_headers = {}, .m_body = nullptr });
    }
}

HttpResponder HttpSession::makeResponder()
{
    return [self = shared_from_this()](HttpResponse response) {
        asio::post(self->m_server->m_context, [self, response = std::move(response)] {
            if (self->m_state == State::Handling)
                self->write(response);
        });
    };
}

void HttpSession::write(const HttpResponse& response)
{
    m_state = State::Writing;
    m_deadline = steadyNow() + m_server->m_options.m_limits.m_bodyTime;
    m_server->charge(*this, 0);
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
    http::async_write(m_socket, m_message, [self = shared_from_this()](beast::error_code error, std::size_t) {
        --self->m_server->m_inFlight;
        self->onWritten(error);
    });
}

void HttpSession::onWritten(beast::error_code error)
{
    if (m_state == State::Closed)
        return;
    m_body.reset();
    if (error || !m_keepAlive || m_server->m_isClosing)
        return close();
    readNext();
}

void HttpSession::refuse(HttpRefusal cause, bool isReading)
{
    const std::string word = isReading ? std::string() : m_reader.firstWord();
    m_server->m_refusals.note(cause, m_peer.to_string(), word);
    const std::string response = makeRefusalResponse(cause, m_server->m_options.m_limits, m_reader.reason());
    beast::error_code ignored;
    m_socket.write_some(asio::buffer(response), ignored);
    if (isReading)
        return close();
    // Closing with bytes unread would reset the connection, and the client could not read the status.
    constexpr Duration discardTime { 1'000 };
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    m_state = State::Discarding;
    m_deadline = steadyNow() + discardTime;
    m_server->charge(*this, 0);
    m_reader.drop();
    discard();
}

void HttpSession::discard()
{
    constexpr std::size_t mostBytes = 256 * 1024;
    if (m_discardedBytes > mostBytes)
        return close();
    m_socket.async_read_some(asio::buffer(m_server->m_discarded), [self = shared_from_this()](beast::error_code error, std::size_t count) {
        self->m_discardedBytes += count;
        if (self->m_state == State::Closed)
            return;
        error ? self->close() : self->discard();
    });
}

void HttpSession::endOverdue(TimePoint now)
{
    if (m_state == State::Handling || now < m_deadline)
        return;
    if (m_state == State::Reading)
        return refuse(m_isBodyAwaited ? HttpRefusal::BodyTimeout : HttpRefusal::HeadTimeout, true);
    close();
}

void HttpSession::closeIfIdle()
{
    if (m_state == State::Idle || (m_state == State::Reading && !m_reader.hasHead()))
        close();
}

void HttpSession::leaveIdle()
{
    if (m_state == State::Idle)
        m_server->m_idle.erase(m_idlePosition);
}

void HttpSession::close()
{
    if (m_state == State::Closed)
        return;
    leaveIdle();
    m_state = State::Closed;
    beast::error_code ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
    m_server->forget(*this);
}

} // namespace bulrushloft
