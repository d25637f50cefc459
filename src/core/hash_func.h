/** @file hash_func.h Stable hashes, the same on every machine and in every version. */
#pragma once

#include <cstdint>
#include <string_view>

namespace bulrushloft {

/**
 * Hashes bytes with XXH3.
 * @param bytes What to hash.
 * @param seed Selects one of a family of hashes.
 */
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/**
 * Weighs a candidate for a key by rendezvous hashing; the candidate with the highest weight wins.
 * @param key What is to be mapped.
 * @param candidate Who might take it.
 */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace bulrushloft
