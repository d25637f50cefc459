/** @file settings_type.h Changes of the settings tree and their verdicts. */
#pragma once

#include "core/clock_type.h"
#include "core/strong_id.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushloft {

/** Revision of a subtree: one more than the offset of the change that created the revision; 0 while the subtree does not exist. */
using Revision = StrongId<struct RevisionTag>;

/** A change of one subtree, as published by an operator. */
struct SettingsChange {
    std::string m_id; ///< Unique id of the change; repeated appends of the same change are applied once.
    std::string m_operator; ///< Name of the operator who made the change.
    std::string m_path; ///< Path of the subtree, such as "teams/salto".
    Revision m_baseRevision; ///< Revision of the subtree that the change is based on.
    std::string m_yaml; ///< New contents of the subtree; empty to remove it.
    TimePoint m_wall; ///< Wall-clock time of the change, on the writer's clock.
};

/** Result of validating a change. */
enum class ChangeVerdict : std::uint8_t {
    Accepted, ///< The change was applied.
    Conflict, ///< Another change of the subtree was accepted first.
    Invalid, ///< The path or the contents do not match the schema.
};

/** Current state of one subtree. */
struct Subtree {
    Revision m_revision; ///< Current revision.
    std::string m_yaml; ///< Contents of the subtree.
    std::string m_operator; ///< Name of the operator who made the latest change.
    TimePoint m_wall; ///< Wall-clock time of the latest change, on the writer's clock.
};

/** One change with its verdict. */
struct ChangeRecord {
    SettingsChange m_change; ///< The change.
    ChangeVerdict m_verdict = ChangeVerdict::Accepted; ///< Result of validating the change.
    Revision m_revision; ///< Revision that the change created; 0 if it was not accepted.
    std::string m_reason; ///< Why the change was not accepted; empty if it was.
};

std::string_view nameOf(ChangeVerdict verdict);

} // namespace bulrushloft
