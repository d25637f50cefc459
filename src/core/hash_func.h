/** @file hash_func.h Stable hash functions: results are the same on every machine and in every version. */
#pragma once

#include <cstdint>
#include <string_view>

namespace bulrushloft {

/**
 * Hashes bytes with XXH3.
 * @param bytes Input of the hash.
 * @param seed Selects one hash function of the XXH3 family.
 */
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/**
 * Computes the rendezvous-hashing weight of a candidate for a key; the key is assigned to the candidate with the highest weight.
 * @param key Key to assign.
 * @param candidate Name of a possible owner of the key.
 */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace bulrushloft
