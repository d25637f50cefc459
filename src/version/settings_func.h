/** @file settings_func.h Checking, replay and use of the settings. */
#pragma once

#include "core/command_type.h"
#include "core/error_type.h"
#include "version/settings_base.h"

#include <vector>

namespace bulrushloft {

/**
 * Checks that a path names a subtree that can be set.
 * @return Nothing, or an error that lists the paths.
 */
Expected<void> checkSubtreePath(const std::string& path);

/**
 * Checks the contents of a subtree against the schema.
 * @param path The subtree.
 * @param yaml Its contents.
 * @return Nothing, or the path of the first bad value, what was found and what to write instead.
 */
Expected<void> checkSubtree(const std::string& path, const std::string& yaml);

/**
 * Splits a YAML file with the whole tree into its subtrees.
 * @param yaml The file's contents.
 * @return Changes without id, operator and base; or the first error.
 */
Expected<std::vector<SettingsChange>> splitSettingsTree(const std::string& yaml);

/**
 * Puts a change into force if it was made from the revision in force.
 * @param state The settings.
 * @param change The change.
 * @param offset Its place in the stream.
 * @param mode Test or execute.
 * @return The verdict; when executed the change is in the history whatever the verdict.
 */
ChangeRecord changeSettings(SettingsState& state, const SettingsChange& change, Offset offset, CommandMode mode);

/** Moves past an entry that could not be decoded. */
void skipSettingsEntry(SettingsState& state, Offset offset);

/** @return The change of this id, or nullptr when it is not in the history. */
const ChangeRecord* findChange(const SettingsState& state, const std::string& id);

/** @return The policy of the settings in force; values that are not set have their defaults. */
SharedPolicy buildPolicy(const SettingsState& state);

/** @return Lines that differ between two texts, "-" for the first and "+" for the second. */
std::string diffLines(const std::string& before, const std::string& after);

std::string encodeChange(const SettingsChange& change);
Expected<SettingsChange> decodeChange(std::string_view bytes);

/** @return The whole state as bytes, for snapshots and for other daemons. */
std::string encodeSettings(const SettingsState& state);
Expected<SettingsState> decodeSettings(std::string_view bytes);

} // namespace bulrushloft
