/** @file platform_codec.h Encoding of the log and VM list protocols. Only this codec depends on the wire format. */
#pragma once

#include "connection/log_type.h"
#include "connection/vm_list_type.h"

namespace bulrushloft {

/** @return The HTTP request target for an append to a stream. */
std::string appendTarget(const std::string& stream);

/**
 * @param stream Name of the stream.
 * @param from Offset of the first entry to read.
 * @param limitBytes Size limit of the answer.
 * @param waitFor Maximum time that the log waits for a first entry.
 * @return The HTTP request target for a read from a stream.
 */
std::string readTarget(const std::string& stream, Offset from, std::size_t limitBytes, Duration waitFor);

/** @return The answer as JSON. */
std::string encodeAppendAnswer(const LogAppendAnswer& answer);

/** @return The answer, or InvalidInput when the text is malformed. */
Expected<LogAppendAnswer> decodeAppendAnswer(std::string_view text);

/** @return The answer as CBOR. */
std::string encodeReadAnswer(const LogReadAnswer& answer);

/** @return The answer, or BrokenAnswer when the bytes are malformed. */
Expected<LogReadAnswer> decodeReadAnswer(std::string_view bytes);

constexpr std::string_view vmListPath = "/v1/vms"; ///< HTTP request target of the VM list.

/** @return The list as JSON. */
std::string encodeVmList(const VmList& list);

/** @return The list, or InvalidInput when the text is malformed. */
Expected<VmList> decodeVmList(std::string_view text);

} // namespace bulrushloft
