/** @file settings_type.h Changes of the settings tree and what became of them. */
#pragma once

#include "core/clock_type.h"
#include "core/strong_id.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushloft {

/** Revision of one subtree: one more than the offset of the change that made it; 0 while the subtree does not exist. */
using Revision = StrongId<struct RevisionTag>;

/** A change of one subtree, as operators publish it. */
struct SettingsChange {
    std::string m_id; ///< Names the change; a repeated append of the same change counts once.
    std::string m_operator; ///< Who made it.
    std::string m_path; ///< The subtree, such as "teams/salto".
    Revision m_baseRevision; ///< The revision that it was made from.
    std::string m_yaml; ///< The new contents; empty to remove the subtree.
    TimePoint m_wall; ///< Calendar time of the writer.
};

/** What became of a change. */
enum class ChangeVerdict : std::uint8_t {
    Accepted, ///< In force.
    Conflict, ///< Another change of the subtree came first.
    Invalid, ///< The contents do not fit the schema.
};

/** One subtree in force. */
struct Subtree {
    Revision m_revision; ///< Its revision.
    std::string m_yaml; ///< Its contents.
    std::string m_operator; ///< Who made it.
    TimePoint m_wall; ///< When it was made.
};

/** One change with its verdict. */
struct ChangeRecord {
    SettingsChange m_change; ///< The change.
    ChangeVerdict m_verdict = ChangeVerdict::Accepted; ///< What became of it.
    Revision m_revision; ///< The revision that it made, if accepted.
    std::string m_reason; ///< Why it was not accepted.
};

std::string_view nameOf(ChangeVerdict verdict);

} // namespace bulrushloft
