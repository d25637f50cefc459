/** @file json_func.h Functions shared by the JSON codecs; for codec sources only. */
#pragma once

#include "core/error_type.h"
#include "core/shard_type.h"
#include "request/job_type.h"

#include <nlohmann/json.hpp>

namespace bulrushloft {

/**
 * Parses JSON and passes it to a decoder function.
 * @param text The JSON text.
 * @param documentName Name of the document for the error message.
 * @param read Decodes the parsed JSON; throws when a field is missing or invalid.
 * @return The decoded value, or an InvalidInput error when the text is malformed or the decoder throws.
 */
template <typename Reader>
auto readJson(std::string_view text, std::string_view documentName, Reader read) -> Expected<decltype(read(std::declval<const nlohmann::json&>()))>
{
    try {
        const nlohmann::json document = nlohmann::json::parse(text);
        return read(document);
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, std::string(documentName) + " cannot be decoded: " + error.what(), "send it in the format of docs/PLATFORM.md");
    }
}

nlohmann::json toJson(const TaskRef& ref);
TaskRef taskRefFromJson(const nlohmann::json& row);

nlohmann::json toJson(const Resources& resources);
Resources resourcesFromJson(const nlohmann::json& row);

nlohmann::json toJson(const FencingToken& token);
FencingToken fencingTokenFromJson(const nlohmann::json& row);

nlohmann::json toJson(const TaskUsage& usage);
TaskUsage taskUsageFromJson(const nlohmann::json& row);

/** @return The value as compact JSON text; bytes that are not valid UTF-8 are replaced. */
std::string dumpJson(const nlohmann::json& value);

} // namespace bulrushloft
