/** @file job_codec.h Codec of the platform's HTTP API, through which clients submit, query and cancel jobs. */
#pragma once

#include "connection/client_type.h"
#include "connection/http_type.h"

namespace bulrushloft::platform {

/**
 * Decodes the body of a job submission.
 * @return The plan without id, queue and pool, or an InvalidInput error.
 */
Expected<JobPlan> decodeJobBody(const std::string& body);

/**
 * Decodes a client request; fields that are missing or malformed get defaults.
 * @param request The HTTP request.
 * @param now Monotonic time of arrival; the deadline is counted from it.
 */
ClientCall decodeClientCall(const HttpRequest& request, TimePoint now);

/** Encodes the HTTP response to a client. */
HttpResponse encodeClientReply(const ClientReply& reply);

} // namespace bulrushloft::platform
