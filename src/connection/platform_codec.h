/** @file platform_codec.h The log and VM list protocols; the one place to change for another wire format. */
#pragma once

#include "connection/log_type.h"
#include "connection/vm_list_type.h"

namespace bulrushloft {

/** @return The target of an append to a stream. */
std::string appendTarget(const std::string& stream);

/** @return The target of a read; the log waits for a first entry at most the given time. */
std::string readTarget(const std::string& stream, Offset from, std::size_t limitBytes, Duration waitFor);

std::string encodeAppendAnswer(const LogAppendAnswer& answer);
Expected<LogAppendAnswer> decodeAppendAnswer(std::string_view text);

std::string encodeReadAnswer(const LogReadAnswer& answer);
Expected<LogReadAnswer> decodeReadAnswer(std::string_view bytes);

constexpr std::string_view vmListPath = "/v1/vms";

std::string encodeVmList(const VmList& list);
Expected<VmList> decodeVmList(std::string_view text);

} // namespace bulrushloft
