/** @file command_type.h The two passes of a command: it is tested first and executed later. */
#pragma once

#include <cstdint>

namespace bulrushloft {

/** Which pass of a command runs; both are the same function. */
enum class CommandMode : std::uint8_t {
    Test, ///< Says whether the command is valid now; changes nothing.
    Execute, ///< Changes the state; fails, and changes nothing, where the test would fail.
};

} // namespace bulrushloft
