/** @file hash.cpp Stable hashes based on the xxHash library. */
#include "core/hash_func.h"

#include <xxhash.h>

namespace bulrushloft {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return stableHash(candidate, stableHash(key));
}

} // namespace bulrushloft
