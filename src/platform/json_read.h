/** @file json_read.h Readers for the platform's JSON, in which fields may be omitted when they are 0, false or empty. */
#pragma once

#include "core/error_type.h"

#include <optional>

#include <nlohmann/json.hpp>

namespace bulrushloft::platform {

/** @return A JSON number as an integer, with any fraction dropped; nothing if it is not a number or too large. */
inline std::optional<std::int64_t> toInt(const nlohmann::json& value)
{
    if (value.is_number_float()) {
        constexpr double limit = 9.2e18; // Somewhat below the largest integer; converting a larger number has no defined result.
        const double number = value.get<double>();
        return number > -limit && number < limit ? std::optional(static_cast<std::int64_t>(number)) : std::nullopt;
    }
    const bool isTooLarge = value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    return value.is_number() && !isTooLarge ? std::optional(value.get<std::int64_t>()) : std::nullopt;
}

/** @return The field as an integer, with any fraction dropped, or the fallback if it is missing, not a number or too large. */
inline std::int64_t readInt(const nlohmann::json& object, const char* field, std::int64_t fallback = 0)
{
    const auto found = object.find(field);
    return found == object.end() ? fallback : toInt(*found).value_or(fallback);
}

/** @return The field as an integer from 0 to the maximum, 0 if it is missing; nothing if it has another type or lies outside. */
inline std::optional<std::int64_t> readBounded(const nlohmann::json& object, const char* field, std::int64_t maximum)
{
    const auto found = object.find(field);
    const auto value = found == object.end() ? std::optional<std::int64_t>(0) : toInt(*found);
    return value && *value >= 0 && *value <= maximum ? value : std::nullopt;
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
