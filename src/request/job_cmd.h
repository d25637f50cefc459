/** @file job_cmd.h Commands on jobs: each is tested by its origin and executed when the journal confirms it. */
#pragma once

#include "core/command_type.h"
#include "core/error_type.h"
#include "process/shard_state_base.h"

namespace bulrushloft {

/**
 * Accepts a job under the next job number.
 * @param state The shard.
 * @param record The job.
 * @param wall Calendar time of the entry.
 * @param mode Test or execute.
 * @return Conflict when the key already names a job; InvalidInput when the spec is out of range.
 */
Expected<void> acceptJob(ShardState& state, const AcceptJobRecord& record, TimePoint wall, CommandMode mode);

/**
 * Grants tasks to workers, all of the record or none.
 * @return Stale when a task is not waiting for this attempt.
 */
Expected<void> placeTasks(ShardState& state, const PlaceRecord& record, CommandMode mode);

/**
 * Records how attempts ended; an outcome that does not match the task's current attempt is passed over.
 * @return UnknownName when none of the outcomes applies.
 */
Expected<void> recordOutcomes(ShardState& state, const OutcomeRecord& record, TimePoint wall, CommandMode mode);

/**
 * Cancels a job: waiting tasks become final, placed ones when their outcome is recorded.
 * @return UnknownName when there is no such job; Conflict when it has ended.
 */
Expected<void> cancelJob(ShardState& state, const CancelJobRecord& record, TimePoint wall, CommandMode mode);

/** Drops jobs and requests that ended before the times of the record. */
Expected<void> forgetEnded(ShardState& state, const ForgetRecord& record, CommandMode mode);

} // namespace bulrushloft
