/** @file shard_state_func.h Lookups in the state of a shard. */
#pragma once

#include "process/journal/shard_state_base.h"

namespace bulrushloft {

/** @return The job, or nullptr if the shard has no such job. */
const Job* findJob(const ShardState& state, JobNumber number);

} // namespace bulrushloft
