/** @file job_func.h Validation, ids and derived states of jobs. */
#pragma once

#include "core/error_type.h"
#include "request/job_base.h"

namespace bulrushloft {

/** Maximum number of tasks per job. */
constexpr std::uint32_t taskCountLimit = 20'000;

/** Maximum payload of a job in bytes. */
constexpr std::size_t payloadLimitBytes = 64 * 1024;

/** A job is abandoned once tasks have failed on this many different workers before any task was done; services are never abandoned. */
constexpr std::size_t failedWorkerLimit = 3;

/**
 * Validates the parts of a spec that do not depend on the workers or the settings.
 * @return Nothing, or an error of kind InvalidInput or TooLarge that names the field and its range.
 */
Expected<void> checkJobSpec(const JobSpec& spec);

/** @return State of the job, derived from the states of its tasks. */
JobState stateOf(const Job& job);

/** @return Number of tasks in a state. */
std::uint32_t countTasks(const Job& job, TaskState state);

/**
 * Parses a job id of the form "shard:number".
 * @return The id, or an error of kind InvalidInput that shows the expected form.
 */
Expected<JobId> parseJobId(const std::string& text);

/** @return Key of the job's program in the usage histories of its shard: "team/name". */
std::string usageKey(const JobSpec& spec);

} // namespace bulrushloft
