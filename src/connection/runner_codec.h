/** @file runner_codec.h The runner protocol over HTTP; the one place to change for another wire format. */
#pragma once

#include "connection/runner_type.h"
#include "core/error_type.h"

namespace bulrushloft {

constexpr std::string_view adoptRunnerPath = "/v1/runner/adopt";
constexpr std::string_view probeRunnerPath = "/v1/runner/probe";
constexpr std::string_view dispatchPath = "/v1/runner/dispatch";

/** The digest that travels with each body. */
std::string digestOf(std::string_view body);

std::string encodeCall(const AdoptRunnerCall& call);
std::string encodeCall(const ProbeRunnerCall& call);
std::string encodeReport(const RunnerReport& report);
Expected<AdoptRunnerCall> decodeAdoptRunnerCall(std::string_view text);
Expected<ProbeRunnerCall> decodeProbeRunnerCall(std::string_view text);
Expected<RunnerReport> decodeRunnerReport(std::string_view text);

/** @return The dispatch as an HTTP request. */
HttpRequest encodeDispatch(const DispatchCall& call);

/** Reads a dispatch, on the runner's side. */
Expected<DispatchCall> decodeDispatch(const HttpRequest& request);

/** @return The answer as an HTTP response that names its dispatch and its digest. */
HttpResponse encodeDispatchAnswer(const DispatchAnswer& answer, const std::string& dispatch);

/**
 * Reads an answer and checks that it is whole and belongs to the dispatch.
 * @return The answer, or BrokenAnswer.
 */
Expected<DispatchAnswer> decodeDispatchAnswer(const HttpResponse& response, const std::string& dispatch);

} // namespace bulrushloft
