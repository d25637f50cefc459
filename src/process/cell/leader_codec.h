/** @file leader_codec.h Encoding of the records of the leader topic: leadership claims, and where a term keeps its records. */
#pragma once

#include "connection/peer_type.h"

#include <cstdint>
#include <vector>

namespace bulrushloft::cell {

constexpr const char* claimKey = "leader"; ///< Key of all records in the leader topic.

/** Names the partitions of the topic of progress that hold the records of all terms so far. The present leader writes to the last one. */
struct JournalPointer {
    std::uint64_t m_term = 0; ///< The term whose leader has changed the partitions; 0 in a claim, which begins a term and takes the partitions over.
    std::vector<std::uint32_t> m_partitions { 0 }; ///< Partition numbers; never empty.
};

/** A record of the leader topic. */
struct LeaderRecord {
    PeerMember m_member; ///< The leader or claimant.
    JournalPointer m_journal; ///< Where the records are.
};

std::string encodeClaim(const PeerMember& member, const JournalPointer& journal = {});

/** @return The record, or nothing when the bytes are not a valid one. A record of an earlier release names partition 0. */
std::optional<LeaderRecord> decodeClaim(const std::string& bytes);

} // namespace bulrushloft::cell
