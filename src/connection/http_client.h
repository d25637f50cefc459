/** @file http_client.h An HTTP/1.1 client with keep-alive connections on an event loop. */
#pragma once

#include "connection/http_limits.h"
#include "connection/http_type.h"
#include "core/event_loop.h"

namespace bulrushloft {

/** An HTTP request, its destination and its limits. */
struct HttpCall {
    Address m_address; ///< Address of the server.
    HttpRequest m_request; ///< Request to send.
    Duration m_timeout { 10'000 }; ///< Time limit from send() until the whole response is read.
    std::size_t m_bodyLimitBytes = 64 * 1024 * 1024; ///< Larger response bodies fail the call.
    bool m_isLongPoll = false; ///< Whether the server may hold the answer back; see HttpClientOptions::m_sharesWithLongPolls.
};

/** Connection limits of a client. */
struct HttpClientOptions {
    std::size_t m_connectionsPerAddress = 64; ///< Maximum number of open connections per address; further calls wait for a free one.
    Duration m_connectTimeout { 1'500 }; ///< Time limit for opening a connection.
    std::size_t m_maxIdleConnections = 4'096; ///< Maximum number of idle connections to all addresses; beyond it the one that has been idle longest is closed.
    Duration m_idleTimeout { 60'000 }; ///< A connection that has been idle for this time is closed.
    std::size_t m_keptConnectionsPerAddress = 64; ///< Connections to an address beyond this number are closed after m_spareIdleTimeout already.
    Duration m_spareIdleTimeout { 10'000 }; ///< Idle time after which connections beyond m_keptConnectionsPerAddress are closed.
    bool m_sharesWithLongPolls = false; ///< Whether long polls and other calls each leave one connection to the other kind, as long as there is more than one.
    bool m_closesIdleOnTimeout = false; ///< Whether a timeout on a kept connection closes those that have been idle since before that call: all may have gone silent together.
    HttpMessageLimits m_limits; ///< Limits of each response; the limit of the body is that of its call.
    std::size_t m_unfinishedBytes = 0; ///< Memory of all responses that are being read; beyond it calls fail, those with the largest product of bytes and time first. 0 for no limit.
    bool m_learnsLimit = false; ///< Whether calls wait for the open connections to an address that rejects new ones.
};

/** Sends requests and reports each result exactly once, on the loop's thread. */
class HttpClient {
public:
    struct Impl;

    HttpClient(EventLoop& loop, const HttpClientOptions& options);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /**
     * Sends a call; may be used from any thread.
     * @param call The request, its destination and its limits.
     * @param onResult Called once with the whole response, or with how far the call got when it failed.
     */
    void send(HttpCall call, std::function<void(HttpResult)> onResult);

    /** Closes idle connections, and the others after their current calls; later calls open new ones. May be used from any thread. */
    void retireConnections();

    /** @return Whether an address currently rejects new connections and at most one works, which all calls share; may be used from any thread. */
    bool isLimitedToOneConnection(const Address& address) const;

    /** @return Request bytes written by all calls so far, headers included. */
    std::uint64_t countBytesSent() const;

private:
    std::shared_ptr<Impl> m_impl;
};

/**
 * Sends a call and blocks until its result arrives; must not be used on the loop's thread.
 * @param call The request, its destination and its limits.
 */
HttpResult sendAndWait(HttpClient& client, HttpCall call);

} // namespace bulrushloft
