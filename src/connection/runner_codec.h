/** @file runner_codec.h Encoding of the runner protocol over HTTP. Only this codec depends on the wire format. */
#pragma once

#include "connection/runner_type.h"
#include "core/error_type.h"

namespace bulrushloft {

constexpr std::string_view adoptRunnerPath = "/v1/runner/adopt";
constexpr std::string_view probeRunnerPath = "/v1/runner/probe";
constexpr std::string_view dispatchPath = "/v1/runner/dispatch";

/** @return The digest that is sent along with a body, so that the receiver can detect corruption. */
std::string digestOf(std::string_view body);

std::string encodeCall(const AdoptRunnerCall& call);
std::string encodeCall(const ProbeRunnerCall& call);
std::string encodeReport(const RunnerReport& report);
Expected<AdoptRunnerCall> decodeAdoptRunnerCall(std::string_view text);
Expected<ProbeRunnerCall> decodeProbeRunnerCall(std::string_view text);
Expected<RunnerReport> decodeRunnerReport(std::string_view text);

/** @return The dispatch as an HTTP request. */
HttpRequest encodeDispatch(const DispatchCall& call);

/**
 * Decodes a dispatch on the runner's side.
 * @return The dispatch, or InvalidInput when a header is missing or malformed, or the body does not match its digest.
 */
Expected<DispatchCall> decodeDispatch(const HttpRequest& request);

/** @return The answer as an HTTP response with the id of the dispatch and the digest of the body. */
HttpResponse encodeDispatchAnswer(const DispatchAnswer& answer, const std::string& dispatch);

/**
 * Decodes an answer and checks that it belongs to the dispatch and matches its digest.
 * @param response The HTTP response.
 * @param dispatch Id of the dispatch.
 * @return The answer, or BrokenAnswer when a check fails.
 */
Expected<DispatchAnswer> decodeDispatchAnswer(const HttpResponse& response, const std::string& dispatch);

} // namespace bulrushloft
