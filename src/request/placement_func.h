/** @file placement_func.h Choice of a worker for one task. */
#pragma once

#include "request/placement_type.h"
#include "version/policy_type.h"

#include <random>

namespace bulrushloft {

/** Placement request for one task. */
struct PlacementQuery {
    Resources m_size; ///< Resources that the task will be granted.
    PlacementPolicy m_policy = PlacementPolicy::Pack; ///< Policy that chooses the worker.
    const SpreadCounts* m_spreadCounts = nullptr; ///< Where the other tasks of the job run; used by PlacementPolicy::Spread only, nullptr if not needed.
    const std::vector<std::size_t>* m_excludedWorkers = nullptr; ///< Workers that must not be chosen, by the owner's index; nullptr for none.
};

/**
 * Chooses a worker for a task.
 * @param offers Workers that accept tasks.
 * @param query Size of the task, policy and excluded workers.
 * @param random Random number generator, used by PlacementPolicy::Random.
 * @return Index of the chosen offer, or noOffer if the task fits on no worker.
 */
std::size_t chooseWorker(const std::vector<WorkerOffer>& offers, const PlacementQuery& query, std::mt19937_64& random);

/** Counts one more task on the worker of the offer. */
void addToSpreadCounts(SpreadCounts& counts, const WorkerOffer& offer);

} // namespace bulrushloft
