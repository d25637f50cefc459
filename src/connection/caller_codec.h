/** @file caller_codec.h Encodes and decodes the callers' API over HTTP; for daemons, tools and tests. See docs/API.md. */
#pragma once

#include "connection/caller_type.h"
#include "connection/http_type.h"

namespace bulrushloft {

/** A received call and how it was received. */
struct IncomingCall {
    CallerCall m_call; ///< The decoded call.
    bool m_isForwarded = false; ///< Whether another daemon forwarded the call.
    Duration m_timeout; ///< Time left for the answer.
};

/**
 * Decodes a call.
 * @return The call, or an error that names the invalid field, its value and what is expected.
 */
Expected<IncomingCall> decodeCallerCall(const HttpRequest& request);

/** @return The call as an HTTP request. */
HttpRequest encodeCallerCall(const CallerCall& call);

/**
 * Marks a request as forwarded by a daemon.
 * @param timeout Time left for the answer; at least 1 ms is sent.
 */
void markForwarded(HttpRequest& request, Duration timeout);

/** @return The answer as an HTTP response. */
HttpResponse encodeCallerAnswer(const CallerAnswer& answer);

/**
 * Decodes an answer.
 * @param call The call that it answers.
 * @param response The HTTP response.
 * @return The answer, or a BrokenAnswer error when the response is malformed.
 */
Expected<CallerAnswer> decodeCallerAnswer(const CallerCall& call, const HttpResponse& response);

/** @return The HTTP status of an error. */
unsigned httpStatusOf(ErrorKind kind);

/**
 * @param outcome Whether the request or job may have run or been accepted in spite of the error.
 * @param retryAfter Delay after which a retry may succeed; omitted from the response when 0.
 * @return A JSON response with one error.
 */
HttpResponse errorResponse(const Error& error, RunOutcome outcome, Duration retryAfter);

} // namespace bulrushloft
