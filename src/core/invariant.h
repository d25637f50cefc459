/** @file invariant.h Invariant checks that are active in every build. */
#pragma once

#include <cstdint>
#include <string_view>

namespace bulrushloft {

/** Action that the process takes when an invariant is broken. */
enum class InvariantAction : std::uint8_t {
    Abort, ///< Aborts the process; the default, also used in tests.
    Throw, ///< Throws std::logic_error, so that a randomised test can report its seed.
    Count, ///< Only logs and counts the broken invariant; intended for production.
};

/** Sets the action taken when an invariant is broken; the default is Abort. */
void setInvariantAction(InvariantAction action);

/** @return Number of broken invariants reported since the process started. */
std::uint64_t countBrokenInvariants();

/**
 * Logs and counts a broken invariant, then takes the configured action.
 * @param what Description of the invariant.
 * @param where Source file and line of the check.
 */
void reportBrokenInvariant(std::string_view what, std::string_view where);

} // namespace bulrushloft

#define BULRUSH_STRINGIFY_DETAIL(x) #x
#define BULRUSH_STRINGIFY(x) BULRUSH_STRINGIFY_DETAIL(x)

/** Reports a broken invariant if the condition is false. */
#define BULRUSH_INVARIANT(condition, what)                                                      \
    do {                                                                                        \
        if (!(condition))                                                                       \
            bulrushloft::reportBrokenInvariant(what, __FILE__ ":" BULRUSH_STRINGIFY(__LINE__)); \
    } while (false)
