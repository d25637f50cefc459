/** @file json_read.h Reads of the platform's JSON, whose fields are left out when they are 0, false or empty. */
#pragma once

#include "core/error_type.h"

#include <nlohmann/json.hpp>

namespace bulrushloft::platform {

/** @return A whole number, or the fallback when the field is missing or of another type. */
inline std::int64_t readInt(const nlohmann::json& object, const char* field, std::int64_t fallback = 0)
{
    const auto found = object.find(field);
    if (found == object.end() || !found->is_number())
        return fallback;
    return found->is_number_float() ? static_cast<std::int64_t>(found->get<double>()) : found->get<std::int64_t>();
}

/** @return A number, or the fallback when the field is missing or of another type. */
inline double readDouble(const nlohmann::json& object, const char* field, double fallback = 0)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_number() ? found->get<double>() : fallback;
}

/** @return A text, or an empty one when the field is missing or of another type. */
inline std::string readString(const nlohmann::json& object, const char* field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/** @return A truth value, or false when the field is missing or of another type. */
inline bool readBool(const nlohmann::json& object, const char* field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

/** @return The JSON of a text, or a discarded value when it can't be read. */
inline nlohmann::json parseJson(std::string_view text)
{
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace bulrushloft::platform
