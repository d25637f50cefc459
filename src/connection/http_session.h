/** @file http_session.h The connections of a server. Include it only in source files of the server, because it includes Beast. */
#pragma once

#include "connection/http_reader.h"
#include "connection/http_refusal.h"
#include "connection/http_server.h"
#include "core/event_loop_impl.h"

#include <list>
#include <map>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>

namespace bulrushloft {

class HttpSession;

/** State of a server. */
struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    explicit Impl(EventLoop& loop);

    void accept();
    void acceptLater();
    void open(boost::asio::ip::tcp::socket socket);
    /** Closes a connection so that another one can be opened: the oldest idle one or, if there is none, the one whose request is unfinished for longest. @return Whether there was one. */
    bool closeOldest();
    /** Notes the memory that a session's request takes. If all together exceed the limit, those that cost most are refused: bytes times age. */
    void charge(HttpSession& session, std::size_t bytes);
    void forget(HttpSession& session);
    void startSweep();
    /** Ends the sessions whose time is up. */
    void sweep();

    boost::asio::io_context& m_context; ///< Event loop of all sessions.
    boost::asio::ip::tcp::acceptor m_acceptor; ///< The listening socket.
    boost::asio::steady_timer m_acceptTimer; ///< Delay before connections are accepted again after an error.
    boost::asio::steady_timer m_sweepTimer; ///< Next sweep; runs while there are sessions.
    bool m_isSweepPlanned = false;
    HttpServerOptions m_options; ///< Address and limits, set by listen().
    HttpHandler m_handler; ///< Called with each complete request.
    HttpRefusalLog m_refusals;
    std::set<std::shared_ptr<HttpSession>> m_sessions; ///< Open connections.
    std::list<HttpSession*> m_idle; ///< Connections without a request, the longest idle first.
    std::map<boost::asio::ip::address, std::size_t> m_perAddress; ///< Open connections by address, if that number is limited.
    std::size_t m_heldBytes = 0; ///< Memory of all requests without a response.
    std::array<char, 16 * 1024> m_discarded {}; ///< What refused clients go on to send; never read.
    std::atomic<std::size_t> m_connections { 0 }; ///< Size of m_sessions, for other threads.
    std::atomic<std::size_t> m_inFlight { 0 }; ///< Requests whose responses have not been written yet.
    bool m_isDraining = false; ///< Whether each connection is closed after its next response.
    bool m_isClosing = false; ///< Whether connections are closed after their current response and no new ones are accepted.
};

/** One connection: reads a request, waits for its response, writes it, repeats. No further request is read before the response is written. */
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    /** What a session waits for. */
    enum class State : std::uint8_t {
        Idle, ///< The first byte of a request.
        Reading, ///< The rest of a request.
        Handling, ///< The response.
        Writing, ///< The client, to take the response.
        Discarding, ///< The client, to notice that it was refused.
        Closed,
    };

    HttpSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServer::Impl> server);

    void readNext();
    /** Closes the connection if no request has a whole head. */
    void closeIfIdle();
    void close();
    /**
     * Sends the client a status if that needs no waiting, and closes the connection.
     * @param isReading Whether the socket is being read; what arrives then can't be discarded before the connection is closed.
     */
    void refuse(HttpRefusal cause, bool isReading);
    /** Ends a wait whose time is up. */
    void endOverdue(TimePoint now);

    State state() const { return m_state; }
    TimePoint startedAt() const { return m_startedAt; }
    const boost::asio::ip::address& peer() const { return m_peer; }
    std::size_t m_charged = 0; ///< Memory that the server has noted for this session.

private:
    void readMore();
    void onData(boost::beast::error_code error, std::size_t count);
    void advance(HttpReadState state);
    void waitForMore();
    void onRequest();
    HttpResponder makeResponder();
    void write(const HttpResponse& response);
    void onWritten(boost::beast::error_code error);
    void discard();
    void leaveIdle();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::ip::address m_peer;
    std::shared_ptr<HttpServer::Impl> m_server;
    HttpReader<true> m_reader;
    boost::beast::http::response<boost::beast::http::span_body<const char>> m_message;
    SharedBody m_body; ///< Keeps the bytes of m_message alive.
    std::list<HttpSession*>::iterator m_idlePosition; ///< Position in Impl::m_idle; valid only while idle.
    State m_state = State::Closed; ///< Set by readNext().
    TimePoint m_startedAt; ///< When the first byte of the request came.
    TimePoint m_deadline; ///< When the wait ends; unused while handling.
    std::size_t m_discardedBytes = 0;
    bool m_isBodyAwaited = false; ///< Whether the time limit is that of the body.
    bool m_keepAlive = true;
};

} // namespace bulrushloft
