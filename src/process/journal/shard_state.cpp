/** @file shard_state.cpp Lookups in the state of a shard. */
#include "process/journal/shard_state_func.h"

namespace bulrushloft {

const Job* findJob(const ShardState& state, JobNumber number)
{
    const auto found = state.m_jobs.find(number);
    return found == state.m_jobs.end() ? nullptr : &found->second;
}

} // namespace bulrushloft
