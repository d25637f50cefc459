/** @file caller_json.h Views of jobs, settings and the cell as JSON; for codec sources only. */
#pragma once

#include "connection/caller_type.h"

#include <set>

#include <nlohmann/json.hpp>

namespace bulrushloft {

/** Reads the fields of a JSON object and finds those that nobody asked for. */
class JsonFields {
public:
    /** @param object The object; anything else throws std::invalid_argument. */
    explicit JsonFields(const nlohmann::json& object);

    /** @return The field, or nullptr when it is not there. */
    const nlohmann::json* find(const char* name);

    /** Reads a text; a missing field has the fallback. */
    std::string text(const char* name, const std::string& fallback = {});

    /** Reads a whole number in a range; a missing field has the fallback. */
    std::int64_t integer(const char* name, std::int64_t fallback, std::int64_t low, std::int64_t high);

    /** Reads true or false; a missing field has the fallback. */
    bool boolean(const char* name, bool fallback);

    /** Throws std::invalid_argument when the object has a field that was not read. */
    void rejectUnknown() const;

private:
    const nlohmann::json& m_object;
    std::set<std::string> m_requestedNames;
};

/** Reads a job spec from its JSON form. */
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
