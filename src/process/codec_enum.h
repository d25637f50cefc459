/** @file codec_enum.h Decoding of enum values; for the codec sources only. */
#pragma once

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace bulrushloft {

/**
 * Reads a number that stands for an enum value.
 * @param number The number.
 * @param count Number of values of the enum.
 * @return The value; throws std::out_of_range when there is none.
 */
template <typename Enum>
Enum decodeEnum(const nlohmann::json& number, unsigned count)
{
    const auto value = number.get<unsigned>();
    if (value >= count)
        throw std::out_of_range("no enum value " + std::to_string(value));
    return static_cast<Enum>(value);
}

} // namespace bulrushloft
