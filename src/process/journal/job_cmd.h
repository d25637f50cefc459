/** @file job_cmd.h Job commands: the owner tests each one before it is journaled, and every replica executes it on replay. */
#pragma once

#include "core/command_type.h"
#include "core/error_type.h"
#include "process/journal/shard_state_base.h"

namespace bulrushloft {

/**
 * Accepts a job under the next job number.
 * @param state The shard.
 * @param record The job.
 * @param wall Wall-clock time of the journal entry.
 * @param mode Test or execute.
 * @return Conflict if the idempotency key already names a job; InvalidInput or TooLarge if the spec is out of range.
 */
Expected<void> acceptJob(ShardState& state, const AcceptJobRecord& record, TimePoint wall, CommandMode mode);

/**
 * Places tasks on workers: all placements of the record or none.
 * @return Stale if a task is not waiting for the given attempt.
 */
Expected<void> placeTasks(ShardState& state, const PlaceRecord& record, CommandMode mode);

/**
 * Records the outcomes of attempts; an outcome that does not match the task's current attempt is ignored.
 * @return UnknownName if none of the outcomes applies.
 */
Expected<void> recordOutcomes(ShardState& state, const OutcomeRecord& record, TimePoint wall, CommandMode mode);

/**
 * Cancels a job: waiting tasks end at once, placed tasks when their outcome is recorded.
 * @return UnknownName if there is no such job; Conflict if it has ended.
 */
Expected<void> cancelJob(ShardState& state, const CancelJobRecord& record, TimePoint wall, CommandMode mode);

/** Removes jobs and requests that ended before the times given in the record. */
Expected<void> removeExpired(ShardState& state, const ExpireRecord& record, CommandMode mode);

} // namespace bulrushloft
