/** @file policy_type.h One version of the settings, parsed for the scheduling code; immutable once built. */
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

/** Policy that chooses workers for the tasks of a work class. */
enum class PlacementPolicy : std::uint8_t {
    Pack, ///< The fullest worker that fits, to keep room for large tasks.
    Spread, ///< Spread over availability zones and racks, so that the loss of one affects few tasks of a job.
    FirstFit, ///< The first worker that fits; a baseline for comparison.
    Random, ///< A random worker that fits; a baseline for comparison.
};

/** Scheduling policy of a work class. */
struct ClassPolicy {
    std::int64_t m_priority = 100; ///< Base priority; higher values are scheduled first.
    PlacementPolicy m_placement = PlacementPolicy::Pack; ///< Policy that chooses workers.
    bool m_mayPreempt = false; ///< Whether its tasks may preempt tasks of preemptible classes.
    bool m_isPreemptible = false; ///< Whether its idempotent tasks may be checkpointed and stopped in favour of others.
    Duration m_agingInterval { 60'000 }; ///< Waiting time after which the priority is raised by one, repeatedly.
    Duration m_queueLimit { 20'000 }; ///< Requests whose expected waiting time exceeds this are rejected immediately.
};

/** Share, quota and limits of a team. */
struct TeamPolicy {
    std::int64_t m_weight = 1; ///< Fair-share weight relative to other teams.
    std::map<std::string, Resources> m_quota; ///< Maximum resources that may be granted to it, by pool.
    std::int64_t m_waitingTaskLimit = 100'000; ///< Maximum number of waiting tasks.
    std::int64_t m_requestLimit = 1'000; ///< Maximum number of requests that wait or run.
};

/** A pool of workers and runners. */
struct PoolPolicy {
    std::uint32_t m_shards = 1; ///< Number of shards; fixed for the lifetime of the cell.
};

/** Limits and intervals that can be changed at run time. */
struct LimitPolicy {
    Duration m_lease { 15'000 }; ///< Duration of a worker's lease.
    Duration m_longPollTimeout { 5'000 }; ///< Maximum time for which an idle worker holds a poll open.
    Duration m_commitInterval { 5 }; ///< Minimum time between two appends of a shard to the log.
    Duration m_snapshotInterval { 60'000 }; ///< Time between two snapshots of a shard.
    Duration m_jobRetention { 86'400'000 }; ///< How long an ended job and its idempotency key are kept.
    Duration m_requestRetention { 3'600'000 }; ///< How long the idempotency key of an ended non-idempotent request is kept.
    std::int64_t m_requestQueueLimit = 2'000; ///< Maximum number of requests that wait in one shard.
};

/** One version of the complete settings. */
struct Policy {
    std::uint64_t m_version = 0; ///< Position in the settings stream; increases with every accepted change.
    std::map<std::string, ClassPolicy> m_classes; ///< Work classes by name.
    std::map<std::string, TeamPolicy> m_teams; ///< Teams by name.
    std::map<std::string, PoolPolicy> m_pools; ///< Pools by name.
    std::set<std::string> m_drained; ///< Names of the VMs that get no new work.
    LimitPolicy m_limits; ///< Limits and intervals.
};

using SharedPolicy = std::shared_ptr<const Policy>;

std::string_view nameOf(PlacementPolicy policy);

} // namespace bulrushloft
