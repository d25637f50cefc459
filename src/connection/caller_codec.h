/** @file caller_codec.h The callers' API over HTTP: both directions, for daemons, tools and tests. See docs/API.md. */
#pragma once

#include "connection/caller_type.h"
#include "connection/http_type.h"

namespace bulrushloft {

/** A call as it came in. */
struct IncomingCall {
    CallerCall m_call; ///< What is asked.
    bool m_isForwarded = false; ///< Another daemon has passed it on.
    Duration m_timeout; ///< Time for the answer.
};

/**
 * Reads a call.
 * @return The call, or an error that names the field, what was found and what to write.
 */
Expected<IncomingCall> decodeCallerCall(const HttpRequest& request);

/** @return The call as an HTTP request. */
HttpRequest encodeCallerCall(const CallerCall& call);

/** Marks a request as passed on by a daemon. */
void markForwarded(HttpRequest& request, Duration timeout);

/** @return The answer as an HTTP response. */
HttpResponse encodeCallerAnswer(const CallerAnswer& answer);

/**
 * Reads an answer.
 * @param call The call that it answers.
 * @param response What came.
 */
Expected<CallerAnswer> decodeCallerAnswer(const CallerCall& call, const HttpResponse& response);

/** @return The HTTP status of an error. */
unsigned httpStatusOf(ErrorKind kind);

/** @return A JSON response with one error. */
HttpResponse errorResponse(const Error& error, RunOutcome outcome, Duration retryAfter);

} // namespace bulrushloft
