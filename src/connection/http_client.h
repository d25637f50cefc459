/** @file http_client.h An HTTP/1.1 client with kept-alive connections on an event loop. */
#pragma once

#include "connection/http_type.h"
#include "core/event_loop.h"

namespace bulrushloft {

/** One call and its limits. */
struct HttpCall {
    Address m_address; ///< Whom to call.
    HttpRequest m_request; ///< What to send.
    Duration m_timeout { 10'000 }; ///< Longest time until the whole response is read.
    std::size_t m_bodyLimitBytes = 64 * 1024 * 1024; ///< Larger responses fail.
};

/** Limits of a client. */
struct HttpClientOptions {
    std::size_t m_connectionsPerAddress = 64; ///< Further calls wait for a free connection.
    Duration m_connectTimeout { 1'500 }; ///< Longest time to open a connection.
    std::size_t m_maxIdleConnections = 4'096; ///< Idle connections to all addresses together; beyond it the oldest one is closed.
    Duration m_idleTimeout { 60'000 }; ///< An idle connection older than this is not used again.
};

/** Sends calls and reports each result exactly once, on the loop's thread. */
class HttpClient {
public:
    struct Impl;

    HttpClient(EventLoop& loop, const HttpClientOptions& options);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /**
     * Sends a call; may be used from any thread.
     * @param call What to send and to whom.
     * @param onResult Called once with the whole response or how far the call got.
     */
    void send(HttpCall call, std::function<void(HttpResult)> onResult);

    /** @return Bytes written and read by all calls so far, headers included. */
    std::uint64_t countBytesSent() const;

private:
    std::shared_ptr<Impl> m_impl;
};

/**
 * Sends a call and waits for its result; for tools and tests.
 * @param call What to send and to whom.
 */
HttpResult sendAndWait(HttpClient& client, HttpCall call);

} // namespace bulrushloft
