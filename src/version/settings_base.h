/** @file settings_base.h Settings state, as replayed from the settings stream; identical on every VM. */
#pragma once

#include "core/shard_type.h"
#include "version/policy_type.h"
#include "version/settings_type.h"

#include <deque>
#include <map>
#include <string>

namespace bulrushloft {

/** Settings state, as replayed from the settings stream. */
struct SettingsState {
    Offset m_next; ///< Offset of the next entry to apply.
    std::uint64_t m_version = 0; ///< One more than the offset of the latest accepted change; 0 before the first.
    std::map<std::string, Subtree> m_subtrees; ///< Current subtrees by path.
    std::deque<ChangeRecord> m_history; ///< Latest changes, accepted or not, the newest last.
};

} // namespace bulrushloft
