/** @file cbor.h Decoding of CBOR from other processes. */
#pragma once

#include <string_view>

#include <nlohmann/json.hpp>

namespace bulrushloft {

/**
 * Decodes CBOR. Limits the nesting, as the decoder recurses for each level and a few bytes a level would exhaust the stack.
 * @throws std::runtime_error for malformed or too deeply nested input.
 */
nlohmann::json decodeCbor(std::string_view bytes);

} // namespace bulrushloft
