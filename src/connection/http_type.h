/** @file http_type.h HTTP requests and responses as plain structs. */
#pragma once

#include "core/address_type.h"
#include "core/clock_type.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushloft {

/** One header field. */
struct HttpHeader {
    std::string m_name; ///< Field name; case-insensitive.
    std::string m_value; ///< Field value.
};

/** A message body, which is shared between threads instead of copied. */
using SharedBody = std::shared_ptr<const std::string>;

/** A request, received by a server or to be sent by a client. */
struct HttpRequest {
    std::string m_method = "GET"; ///< Method in upper case.
    std::string m_target = "/"; ///< Path and query.
    std::vector<HttpHeader> m_headers; ///< Header fields; when sent, Host and Content-Length are added.
    SharedBody m_body; ///< Body, may be empty or null.
};

/** A complete response. */
struct HttpResponse {
    unsigned m_status = 200; ///< Status code.
    std::vector<HttpHeader> m_headers; ///< Header fields; when sent, Content-Length is added.
    SharedBody m_body; ///< Body, may be empty or null.
};

/** How far a failed call got, which tells whether the server may have acted on it. */
enum class CallProgress : std::uint8_t {
    Refused, ///< The connection was refused: no process listens there.
    NotSent, ///< No part of the request was written.
    MaybeDelivered, ///< Some or all of the request may have been written; the server may have acted on it.
};

/** How a call without a complete response ended. */
enum class CallEnd : std::uint8_t {
    Refused, ///< The connection was refused.
    NotConnected, ///< No connection could be opened.
    NoFreeConnection, ///< All connections to the address were in use until the time limit.
    TimedOut, ///< The connection was open, but the response was not complete in time.
    Closed, ///< The server closed the connection.
    Reset, ///< The connection was reset.
    Malformed, ///< The response was not valid HTTP, or too large.
};

/** Why a call has no complete response. */
struct HttpFailure {
    CallProgress m_progress = CallProgress::NotSent; ///< How far the call got.
    std::string m_reason; ///< Error text of the network layer.
    CallEnd m_end = CallEnd::NotConnected; ///< How the call ended.
    bool m_isKeptConnection = false; ///< Whether the connection had carried an earlier call.
    std::size_t m_openConnections = 0; ///< Other connections of the client to the address.
    Duration m_took; ///< Time since the connection was taken or its opening began; since send() if the call got none.
};

using HttpResult = tl::expected<HttpResponse, HttpFailure>;

/** @return The value of the first field with the name, or an empty view when there is none. */
std::string_view findHeader(const std::vector<HttpHeader>& headers, std::string_view name);

/** @return The body as a view, empty when there is none. */
inline std::string_view viewOf(const SharedBody& body)
{
    return body ? std::string_view(*body) : std::string_view();
}

/** @return A shared body with the given text. */
inline SharedBody makeBody(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

} // namespace bulrushloft
