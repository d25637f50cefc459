/** @file placement_func.h Choice of a worker for one task. */
#pragma once

#include "request/placement_type.h"
#include "version/policy_type.h"

#include <random>

namespace bulrushloft {

/** One question to a placement policy. */
struct PlacementQuery {
    Resources m_size; ///< What the task will be granted.
    PlacementPolicy m_policy = PlacementPolicy::Pack; ///< How to choose.
    const SpreadCounts* m_spreadCounts = nullptr; ///< Where the job's other tasks are; for spreading.
    const std::vector<std::size_t>* m_excludedWorkers = nullptr; ///< Workers not to be chosen, by index at the owner.
};

/**
 * Chooses a worker.
 * @param offers Workers that may take tasks.
 * @param query What is to be placed and how.
 * @param random Source of random choices.
 * @return Index of the offer, or noOffer when the task fits nowhere.
 */
std::size_t chooseWorker(const std::vector<WorkerOffer>& offers, const PlacementQuery& query, std::mt19937_64& random);

/** Counts a task at a worker. */
void addToSpreadCounts(SpreadCounts& counts, const WorkerOffer& offer);

} // namespace bulrushloft
