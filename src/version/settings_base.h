/** @file settings_base.h The settings by replay of their stream: the same on every VM. */
#pragma once

#include "process/shard_type.h"
#include "version/policy_type.h"
#include "version/settings_type.h"

#include <deque>
#include <map>
#include <string>

namespace bulrushloft {

/** State of the settings. */
struct SettingsState {
    Offset m_next; ///< Offset of the first entry that is not yet applied.
    std::uint64_t m_version = 0; ///< One more than the offset of the latest accepted change.
    std::map<std::string, Subtree> m_subtrees; ///< By path.
    std::deque<ChangeRecord> m_history; ///< Latest changes, the newest last.
};

} // namespace bulrushloft
