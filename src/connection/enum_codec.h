/** @file enum_codec.h Decoding of enumerators that are sent as numbers. */
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include <nlohmann/json.hpp>

namespace bulrushloft {

/**
 * @param last The last enumerator of the enumeration, which counts from 0.
 * @return The enumerator with the given number.
 * @throws std::out_of_range if the enumeration has no such enumerator.
 */
template <typename Enum>
Enum decodeEnum(const nlohmann::json& value, Enum last)
{
    const auto number = value.get<std::int64_t>();
    if (number < 0 || number > static_cast<std::int64_t>(last))
        throw std::out_of_range("unknown enumerator " + std::to_string(number));
    return static_cast<Enum>(number);
}

} // namespace bulrushloft
