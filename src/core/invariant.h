/** @file invariant.h Assertions of what must always hold. */
#pragma once

#include <cstdint>
#include <string_view>

namespace bulrushloft {

/** What a broken invariant does to the process. */
enum class InvariantAction : std::uint8_t {
    Abort, ///< Ends the process; in all builds that tests use.
    Throw, ///< Throws std::logic_error; where a test reports its seed.
    Count, ///< Logs and counts; in production.
};

/** Chooses what a broken invariant does; the default is to abort. */
void setInvariantAction(InvariantAction action);

/** @return Number of broken invariants seen by this process. */
std::uint64_t countBrokenInvariants();

/**
 * Reports an invariant that does not hold.
 * @param what The invariant in words.
 * @param where Source file and line.
 */
void reportBrokenInvariant(std::string_view what, std::string_view where);

} // namespace bulrushloft

#define BULRUSH_STRINGIFY_DETAIL(x) #x
#define BULRUSH_STRINGIFY(x) BULRUSH_STRINGIFY_DETAIL(x)

/** Checks an invariant in every build. */
#define BULRUSH_INVARIANT(condition, what)                                                      \
    do {                                                                                        \
        if (!(condition))                                                                       \
            bulrushloft::reportBrokenInvariant(what, __FILE__ ":" BULRUSH_STRINGIFY(__LINE__)); \
    } while (false)
