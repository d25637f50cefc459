/** @file job_func.h Free functions on jobs. */
#pragma once

#include "core/error_type.h"
#include "process/shard_state_base.h"

namespace bulrushloft {

/** The largest number of tasks of one job. */
constexpr std::uint32_t taskCountLimit = 20'000;

/** The largest payload of a job in bytes. */
constexpr std::size_t payloadLimitBytes = 64 * 1024;

/** Failures on this many different workers, before any success, end a job. */
constexpr std::size_t failedWorkerLimit = 3;

/**
 * Checks what can be checked of a spec without knowing the workers and the settings.
 * @return InvalidInput or TooLarge with the field and its range.
 */
Expected<void> checkJobSpec(const JobSpec& spec);

/** @return Where the job stands, by the counts of its tasks. */
JobState stateOf(const Job& job);

/** @return Number of tasks in a state. */
std::uint32_t countTasks(const Job& job, TaskState state);

/**
 * Reads "shard:number".
 * @return The id, or an error that shows the form.
 */
Expected<JobId> parseJobId(const std::string& text);

/** @return The job, or nullptr. */
const Job* findJob(const ShardState& state, JobNumber number);

/** @return The key of the usage history of a job's program. */
std::string usageKey(const JobSpec& spec);

} // namespace bulrushloft
