/** @file policy_type.h One version of the settings as the deciding code uses it; never changes once made. */
#pragma once

#include "core/clock_type.h"
#include "request/resources_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace bulrushloft {

/** How workers are chosen for the tasks of a class. */
enum class PlacementPolicy : std::uint8_t {
    Pack, ///< The fullest worker that fits, so that large tasks find room.
    Spread, ///< Over racks and zones, so that a loss takes few tasks of a job.
    FirstFit, ///< The first worker that fits; a baseline.
    Random, ///< Any worker that fits; a baseline.
};

/** Policy of a class of work. */
struct ClassPolicy {
    std::int64_t m_priority = 100; ///< Higher goes first.
    PlacementPolicy m_placement = PlacementPolicy::Pack; ///< How workers are chosen.
    bool m_mayPreempt = false; ///< Its tasks may take the place of preemptible ones.
    bool m_isPreemptible = false; ///< Its idempotent tasks may be checkpointed and stopped for others.
    Duration m_agingInterval { 60'000 }; ///< Each wait of this length raises the priority by one.
    Duration m_queueLimit { 20'000 }; ///< Requests that would wait longer than this are refused at once.
};

/** What a team may use. */
struct TeamPolicy {
    std::int64_t m_weight = 1; ///< Share relative to other teams.
    std::map<std::string, Resources> m_quota; ///< The most it may be granted, by pool.
    std::int64_t m_waitingTaskLimit = 100'000; ///< The most tasks that may wait.
    std::int64_t m_requestLimit = 1'000; ///< The most requests that may wait or run.
};

/** A pool of workers and runners. */
struct PoolPolicy {
    std::uint32_t m_shards = 1; ///< Number of shards; fixed for the life of the cell.
};

/** Limits and times that may be changed while the system runs. */
struct LimitPolicy {
    Duration m_lease { 15'000 }; ///< Lease of a worker.
    Duration m_pollInterval { 5'000 }; ///< Longest rest between two calls to an idle worker.
    Duration m_commitInterval { 5 }; ///< Least time between two appends of a shard.
    Duration m_snapshotInterval { 60'000 }; ///< Time between two snapshots of a shard.
    Duration m_jobRetention { 86'400'000 }; ///< How long an ended job and its key are remembered.
    Duration m_requestRetention { 3'600'000 }; ///< How long the key of an ended non-idempotent request is remembered.
    std::int64_t m_requestQueueLimit = 2'000; ///< Requests of one shard that may wait.
};

/** A whole version of the settings. */
struct Policy {
    std::uint64_t m_version = 0; ///< Position in the settings stream; grows with each accepted change.
    std::map<std::string, ClassPolicy> m_classes; ///< By name.
    std::map<std::string, TeamPolicy> m_teams; ///< By name.
    std::map<std::string, PoolPolicy> m_pools; ///< By name.
    std::set<std::string> m_drained; ///< VMs that get no new work.
    LimitPolicy m_limits; ///< Limits and times.
};

using SharedPolicy = std::shared_ptr<const Policy>;

std::string_view nameOf(PlacementPolicy policy);

} // namespace bulrushloft
