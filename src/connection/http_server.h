/** @file http_server.h An HTTP/1.1 server on an event loop. */
#pragma once

#include "connection/http_limits.h"
#include "connection/http_type.h"
#include "core/event_loop.h"

namespace bulrushloft {

/** Address and limits of a server. */
struct HttpServerOptions {
    Address m_address; ///< Address on which the server listens.
    std::string m_name = "http"; ///< Name in the log.
    HttpLimits m_limits; ///< What clients may send.
};

/** Sends the response to one request; must be called exactly once, from any thread. */
using HttpResponder = std::function<void(HttpResponse)>;

/** Handles one request; runs on the loop's thread and must not block. */
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/** A listening server; exists until the process ends. */
class HttpServer {
public:
    struct Impl;

    explicit HttpServer(EventLoop& loop);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /**
     * Binds the address and starts serving.
     * @return Nothing, or an Unavailable error when the address cannot be bound.
     */
    Expected<void> listen(const HttpServerOptions& options, HttpHandler handler);

    /** Closes each keep-alive connection after its next response; new connections are still accepted. */
    void beginDraining();

    /** Stops accepting connections, closes idle ones and closes the others after their current response. */
    void closeGracefully();

    /** @return Number of requests passed to the handler whose responses have not been written yet. */
    std::size_t countInFlight() const;

    /** @return Number of open connections. */
    std::size_t countConnections() const;

    /** @return Number of refused requests and of connections closed for others, by cause. */
    HttpRefusalCounts refusals() const;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace bulrushloft
