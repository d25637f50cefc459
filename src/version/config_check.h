/** @file config_check.h Checks of a configuration before it is sent, and its differences from another one. */
#pragma once

#include "version/customer.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** What is wrong with an entry. */
enum class ConfigFault : std::uint8_t {
    Error, ///< A part of the entry is left out or can't be used.
    NeverMatches, ///< Nothing ever uses the entry.
    Contradiction, ///< Values of the entry exclude each other, or those of another one.
};

/** A finding about one entry of a configuration. It never contains a key. */
struct ConfigFinding {
    ConfigFault m_fault = ConfigFault::Error;
    std::string m_entry; ///< Kind and name of the entry, such as "queue a".
    std::string m_text; ///< What is wrong, and what to change.
};

/**
 * Checks a decoded configuration.
 * @param customerFaults What was left out of the customers when it was decoded.
 */
std::vector<ConfigFinding> checkConfig(const ClusterSettings& cluster, const std::vector<CustomerFault>& customerFaults);

/** @return A finding if a configuration would not replace another one; empty if it would. */
std::vector<ConfigFinding> checkSuccession(const ClusterSettings& inForce, const ClusterSettings& next);

/** @return One line for each entry that is added, removed or changed; keys are only counted. */
std::vector<std::string> describeChanges(const ClusterSettings& inForce, const ClusterSettings& next);

} // namespace bulrushloft
