/** @file caller_json.h JSON form of jobs, endpoints, settings and the cell; for codec sources only. */
#pragma once

#include "connection/caller_type.h"

#include <set>

#include <nlohmann/json.hpp>

namespace bulrushloft {

/**
 * Reads the fields of a JSON object and detects unknown ones: those that have not been read.
 * All errors are thrown as std::invalid_argument.
 */
class JsonFields {
public:
    /** @param object A JSON object, which must outlive the reader; any other JSON value throws. */
    explicit JsonFields(const nlohmann::json& object);

    /** @return The value of the field, or nullptr when it is missing. */
    const nlohmann::json* find(const char* name);

    /** @return The string, or the fallback when the field is missing. */
    std::string text(const char* name, const std::string& fallback = {});

    /** @return The integer, which must be from low to high, or the fallback when the field is missing. */
    std::int64_t integer(const char* name, std::int64_t fallback, std::int64_t low, std::int64_t high);

    /** @return The boolean, or the fallback when the field is missing. */
    bool boolean(const char* name, bool fallback);

    /** Throws when the object has a field that has not been read. */
    void rejectUnknown() const;

private:
    const nlohmann::json& m_object;
    std::set<std::string> m_requestedNames; ///< Names of the fields that have been looked up.
};

/** Decodes and checks a job spec; throws std::invalid_argument when a field is invalid or unknown. */
JobSpec jobSpecFromJson(const nlohmann::json& object);
nlohmann::json jobSpecToJson(const JobSpec& spec);

nlohmann::json jobViewToJson(const JobView& view);
JobView jobViewFromJson(const nlohmann::json& object);

nlohmann::json endpointToJson(const EndpointView& view);
EndpointView endpointFromJson(const nlohmann::json& row);

nlohmann::json settingsToJson(const SettingsAnswer& answer);
SettingsAnswer settingsFromJson(const nlohmann::json& object);

nlohmann::json changeToJson(const ChangeRecord& record);
ChangeRecord changeFromJson(const nlohmann::json& row);

nlohmann::json subtreeToJson(const Subtree& subtree);
Subtree subtreeFromJson(const nlohmann::json& row);

nlohmann::json cellToJson(const CellAnswer& answer);
CellAnswer cellFromJson(const nlohmann::json& object);

} // namespace bulrushloft
