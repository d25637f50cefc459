/** @file codec_enum.h Decoding of enum values, for use by the codec sources only. */
#pragma once

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace bulrushloft {

/**
 * Decodes an enum value from its number.
 * @param number The encoded number.
 * @param count Number of values of the enum, which are numbered from 0.
 * @return The value.
 * @throws std::out_of_range if no value has this number.
 */
template <typename Enum>
Enum decodeEnum(const nlohmann::json& number, unsigned count)
{
    const auto value = number.get<unsigned>();
    if (value >= count)
        throw std::out_of_range("no enum value with number " + std::to_string(value));
    return static_cast<Enum>(value);
}

} // namespace bulrushloft
