/** @file settings_func.h Validation, replay and encoding of the settings. */
#pragma once

#include "core/command_type.h"
#include "core/error_type.h"
#include "version/settings_base.h"

#include <vector>

namespace bulrushloft {

/**
 * Validates that a path names a subtree that can be set.
 * @return Nothing, or an error of kind UnknownName that lists the valid paths.
 */
Expected<void> checkSubtreePath(const std::string& path);

/**
 * Validates the contents of a subtree against the schema.
 * @param path Path of the subtree.
 * @param yaml Contents of the subtree.
 * @return Nothing, or an error that names the path of the first invalid value, what was found and what is expected.
 */
Expected<void> checkSubtree(const std::string& path, const std::string& yaml);

/**
 * Splits a YAML document with the complete settings tree into its subtrees.
 * @param yaml The document.
 * @return One change per subtree, without id, operator and base revision; or the first validation error.
 */
Expected<std::vector<SettingsChange>> splitSettingsTree(const std::string& yaml);

/**
 * Applies a change if it is valid and its base revision is the current revision of the subtree.
 * @param state The settings.
 * @param change The change.
 * @param offset Offset of the change in the settings stream.
 * @param mode Test or execute.
 * @return The change with its verdict, or the earlier record if a change with this id is in the history. Execution adds a new change to the history whatever the verdict.
 */
ChangeRecord changeSettings(SettingsState& state, const SettingsChange& change, Offset offset, CommandMode mode);

/** Skips an entry that could not be decoded. */
void skipSettingsEntry(SettingsState& state, Offset offset);

/** @return The change with this id, or nullptr if it is not in the history. */
const ChangeRecord* findChange(const SettingsState& state, const std::string& id);

/** @return The policy built from the current settings; values that are not set have their defaults. */
SharedPolicy buildPolicy(const SettingsState& state);

/** @return Line diff of two texts, with "- " before removed and "+ " before added lines; unchanged lines are left out. */
std::string diffLines(const std::string& before, const std::string& after);

std::string encodeChange(const SettingsChange& change);
Expected<SettingsChange> decodeChange(std::string_view bytes);

/** @return The encoded settings state, for snapshots and for transfer to other daemons. */
std::string encodeSettings(const SettingsState& state);
Expected<SettingsState> decodeSettings(std::string_view bytes);

} // namespace bulrushloft
