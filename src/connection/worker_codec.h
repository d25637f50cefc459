/** @file worker_codec.h Encoding of the worker protocol as JSON. Only this codec depends on the wire format. */
#pragma once

#include "connection/worker_type.h"
#include "core/error_type.h"

namespace bulrushloft {

constexpr std::string_view adoptWorkerPath = "/v1/worker/adopt";
constexpr std::string_view syncWorkerPath = "/v1/worker/sync";

std::string encodeCall(const AdoptWorkerCall& call);
std::string encodeCall(const SyncWorkerCall& call);
std::string encodeAnswer(const AdoptWorkerAnswer& answer);
std::string encodeAnswer(const SyncWorkerAnswer& answer);
std::string encodeAnswer(const StaleToken& answer);

Expected<AdoptWorkerCall> decodeAdoptWorkerCall(std::string_view text);
Expected<SyncWorkerCall> decodeSyncWorkerCall(std::string_view text);
Expected<AdoptWorkerAnswer> decodeAdoptWorkerAnswer(std::string_view text);
Expected<SyncWorkerAnswer> decodeSyncWorkerAnswer(std::string_view text);
Expected<StaleToken> decodeStaleToken(std::string_view text);

} // namespace bulrushloft
