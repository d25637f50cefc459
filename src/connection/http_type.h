/** @file http_type.h Requests and responses of HTTP as plain structs. */
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
    std::string m_name; ///< Field name, compared without case.
    std::string m_value; ///< Field value.
};

/** Bodies are shared between threads and never copied. */
using SharedBody = std::shared_ptr<const std::string>;

/** A request as a server has read it or a client will send it. */
struct HttpRequest {
    std::string m_method = "GET"; ///< Method in capitals.
    std::string m_target = "/"; ///< Path and query.
    std::vector<HttpHeader> m_headers; ///< Fields besides Host and Content-Length.
    SharedBody m_body; ///< Body, may be empty or null.
};

/** A whole response. */
struct HttpResponse {
    unsigned m_status = 200; ///< Status code.
    std::vector<HttpHeader> m_headers; ///< Fields besides Content-Length.
    SharedBody m_body; ///< Body, may be empty or null.
};

/** How far a failed call got; decides whether the other side may have acted on it. */
enum class CallProgress : std::uint8_t {
    Refused, ///< The connection was refused: no process listens there.
    NotSent, ///< No byte of the request left this machine.
    MaybeDelivered, ///< Some or all of the request was written; the other side may have acted.
};

/** Why a call has no whole response. */
struct HttpFailure {
    CallProgress m_progress = CallProgress::NotSent; ///< How far the call got.
    std::string m_reason; ///< What the network said.
};

using HttpResult = tl::expected<HttpResponse, HttpFailure>;

/** @return The value of a field, or an empty view. */
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
