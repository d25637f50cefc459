/** @file config_command.h The command that checks a configuration of a cell before it is sent. */
#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>

namespace bulrushloft {

/** Result of a check; also the exit code of the command. */
enum class ConfigCheckResult : std::uint8_t {
    Clean = 0, ///< Nothing was found; differences from another configuration are no findings.
    Findings = 1, ///< Something was found.
    Unreadable = 2, ///< A file can't be read or decoded.
};

/** Configurations as the operator writes them, in JSON. */
struct ConfigTexts {
    std::string m_next; ///< The one to check.
    std::optional<std::string> m_inForce; ///< The version in force; empty if there is nothing to compare with.
};

/** Checks a configuration with the decoder and the checks that the daemons use. No key is printed. @param output Where to print findings and differences. */
ConfigCheckResult checkConfigText(const ConfigTexts& texts, bool asJson, std::ostream& output);

/** What to check and how to print it. */
struct ConfigCheckOptions {
    std::string m_file; ///< File with the configuration, as JSON.
    std::string m_against; ///< File with the version in force; empty for none.
    bool m_asJson = false; ///< Whether to print JSON instead of text.
};

/** Reads the files and checks the configuration. */
ConfigCheckResult checkConfigFile(const ConfigCheckOptions& options, std::ostream& output);

} // namespace bulrushloft
