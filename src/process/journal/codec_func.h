/** @file codec_func.h Encoding of the parts that journal entries and snapshots have in common; the decoders throw a std::exception on malformed input. */
#pragma once

#include "process/journal/journal_type.h"
#include "request/estimate_type.h"

#include <nlohmann/json_fwd.hpp>

namespace bulrushloft {

nlohmann::json encodeResources(const Resources& resources);
Resources decodeResources(const nlohmann::json& row);

nlohmann::json encodeSpec(const JobSpec& spec);
JobSpec decodeSpec(const nlohmann::json& row);

nlohmann::json encodeUsage(const TaskUsage& usage);
TaskUsage decodeUsage(const nlohmann::json& row);

} // namespace bulrushloft
