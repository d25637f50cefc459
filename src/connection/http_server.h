/** @file http_server.h An HTTP/1.1 server on an event loop. */
#pragma once

#include "connection/http_type.h"
#include "core/event_loop.h"

namespace bulrushloft {

/** Limits and place of a server. */
struct HttpServerOptions {
    Address m_address; ///< Where to listen.
    std::size_t m_bodyLimitBytes = 8 * 1024 * 1024; ///< Larger bodies are answered 413.
    Duration m_readTimeout { 30'000 }; ///< Longest time for one request to arrive whole.
    Duration m_idleTimeout { 120'000 }; ///< Longest rest of a kept-alive connection.
    std::size_t m_connectionLimit = 2048; ///< Further connections are closed at once.
};

/** Sends the response of one request; may be called once, from any thread. */
using HttpResponder = std::function<void(HttpResponse)>;

/** Handles one request; runs on the loop's thread and must not block. */
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/** A listening server; lives for the process. */
class HttpServer {
public:
    struct Impl;

    explicit HttpServer(EventLoop& loop);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /**
     * Binds and begins to serve.
     * @return Nothing, or an error that names the address and what to change.
     */
    Expected<void> listen(const HttpServerOptions& options, HttpHandler handler);

    /** Ends each kept-alive connection after its next response, while new ones are still accepted. */
    void beginDraining();

    /** Stops accepting connections and ends kept-alive ones after their current response. */
    void closeGracefully();

    /** @return Requests read whole whose responses are not yet written. */
    std::size_t countInFlight() const;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace bulrushloft
