/** @file command_type.h The two modes of a command: it is tested first and executed later. */
#pragma once

#include <cstdint>

namespace bulrushloft {

/** Mode in which a command function is called; one function serves both modes. */
enum class CommandMode : std::uint8_t {
    Test, ///< Reports whether the command is valid now; changes nothing.
    Execute, ///< Changes the state; if the test would fail, fails as well and changes nothing.
};

} // namespace bulrushloft
