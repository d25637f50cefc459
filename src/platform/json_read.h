/** @file json_read.h Readers for the platform's JSON, in which fields may be omitted when they are 0, false or empty. */
#pragma once

#include "core/error_type.h"

#include <nlohmann/json.hpp>

namespace bulrushloft::platform {

/** @return The field as an integer, with any fraction dropped, or the fallback if it is missing or not a number. */
inline std::int64_t readInt(const nlohmann::json& object, const char* field, std::int64_t fallback = 0)
{
    const auto found = object.find(field);
    if (found == object.end() || !found->is_number())
        return fallback;
    return found->is_number_float() ? static_cast<std::int64_t>(found->get<double>()) : found->get<std::int64_t>();
}

/** @return The field as a floating-point number, or the fallback if it is missing or not a number. */
inline double readDouble(const nlohmann::json& object, const char* field, double fallback = 0)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_number() ? found->get<double>() : fallback;
}

/** @return The field as a string, or an empty string if it is missing or not a string. */
inline std::string readString(const nlohmann::json& object, const char* field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/** @return The field as a boolean, or false if it is missing or not a boolean. */
inline bool readBool(const nlohmann::json& object, const char* field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

/** @return The parsed JSON, or a discarded value if the text is malformed. */
inline nlohmann::json parseJson(std::string_view text)
{
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace bulrushloft::platform
