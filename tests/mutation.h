/** @file mutation.h Random changes of bytes for tests that send malformed input. */
#pragma once

#include <cstdlib>
#include <random>
#include <string>

namespace bulrushloft::test {

/** @return A number below a count, which is at least 1. */
inline std::size_t pick(std::mt19937_64& random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

/** @return The bytes with 1 to 4 random changes: of a byte, of a piece removed, added or repeated. */
inline std::string mutate(std::string bytes, std::mt19937_64& random)
{
    for (std::size_t changes = 1 + pick(random, 4); changes > 0 && !bytes.empty(); --changes) {
        const std::size_t at = pick(random, bytes.size());
        switch (pick(random, 5)) {
        case 0:
            bytes[at] = static_cast<char>(pick(random, 256));
            break;
        case 1:
            bytes.erase(at, 1 + pick(random, 4));
            break;
        case 2:
            bytes.insert(at, 1 + pick(random, 3), static_cast<char>(pick(random, 256)));
            break;
        case 3:
            bytes.insert(at, bytes.substr(pick(random, bytes.size()), 1 + pick(random, 64)));
            break;
        default:
            bytes.resize(at);
        }
    }
    return bytes;
}

/** @return Number of rounds: the fallback times FUZZ_FACTOR, if that is set. */
inline std::size_t fuzzRounds(std::size_t fallback)
{
    const char* factor = std::getenv("FUZZ_FACTOR");
    return fallback * (factor == nullptr ? 1 : std::max<std::size_t>(1, std::strtoul(factor, nullptr, 10)));
}

/** @return The seed: the fallback, or FUZZ_SEED if that is set. */
inline std::uint64_t fuzzSeed(std::uint64_t fallback)
{
    const char* seed = std::getenv("FUZZ_SEED");
    return seed == nullptr ? fallback : std::strtoull(seed, nullptr, 10);
}

} // namespace bulrushloft::test
