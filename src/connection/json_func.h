/** @file json_func.h Pieces that the JSON codecs share; for codec sources only. */
#pragma once

#include "core/error_type.h"
#include "process/shard_type.h"
#include "request/job_type.h"

#include <nlohmann/json.hpp>

namespace bulrushloft {

/**
 * Parses JSON and hands it to a reader; whatever the reader can't find or use becomes an error.
 * @param text The JSON.
 * @param documentName What the text is, for the message.
 * @param read Turns the JSON into a value.
 */
template <typename Reader>
auto readJson(std::string_view text, std::string_view documentName, Reader read) -> Expected<decltype(read(std::declval<const nlohmann::json&>()))>
{
    try {
        const nlohmann::json document = nlohmann::json::parse(text);
        return read(document);
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, std::string(documentName) + " can't be read: " + error.what(), "send it in the form of docs/PLATFORM.md");
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

/** @return The text of JSON; bytes that are not UTF-8 are replaced. */
std::string dumpJson(const nlohmann::json& value);

} // namespace bulrushloft
