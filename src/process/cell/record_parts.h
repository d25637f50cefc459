/**
 * @file record_parts.h Records of the leader that are larger than the store takes: they are stored under several keys.
 *
 * The first part has the record's own key and tells how many there are; the others are under `#1#KEY`, `#2#KEY` and so on. All parts belong into one
 * append, so that the store keeps all or none of them.
 */
#pragma once

#include "connection/store_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace bulrushloft::cell {

inline constexpr std::size_t maxRecordBytes = 250'000; ///< The store takes records of 262,144 bytes, the key included.

/** Counts the parts that the store may hold of each record that was ever split, by key. */
using PartCounts = std::unordered_map<std::string, std::uint32_t>;

/** @return The parts of a record that is too large, or the record itself, and the deletion of the parts that earlier versions had beyond these. */
std::vector<KeyedRecord> splitRecord(PartCounts& counts, KeyedRecord record);

/** Puts the parts of the records together that were split, and notes their numbers. Parts that no record names are removed. */
void joinParts(PartCounts& counts, std::map<std::string, std::string>& records);

} // namespace bulrushloft::cell
