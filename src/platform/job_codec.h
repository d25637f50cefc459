/** @file job_codec.h Clients' calls about jobs in the platform's form. */
#pragma once

#include "connection/client_type.h"
#include "connection/http_type.h"

namespace bulrushloft::platform {

/** Reads the body of a submission; id and queue are not part of it. */
Expected<JobPlan> decodeJobBody(const std::string& body);

/** Reads a client's call; its arrival and deadline are set from the given time. */
ClientCall decodeClientCall(const HttpRequest& request, TimePoint now);

/** Writes the reply to a client. */
HttpResponse encodeClientReply(const ClientReply& reply);

} // namespace bulrushloft::platform
