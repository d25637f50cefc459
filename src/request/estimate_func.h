/** @file estimate_func.h Estimates of task sizes and run times from the measured usage of earlier attempts. */
#pragma once

#include "request/estimate_type.h"

namespace bulrushloft {

/**
 * Adds the usage of one attempt that ran to completion.
 * @param history Usage history of the program.
 * @param declared Task size declared by the job.
 * @param usage Measured usage of the attempt.
 */
void addUsage(UsageHistory& history, const Resources& declared, const TaskUsage& usage);

/**
 * Records that an attempt ran out of memory, which raises later estimates.
 * @param history Usage history of the program.
 * @param declared Task size declared by the job.
 * @param grantedMb Memory grant that the attempt exceeded, in MiB.
 */
void recordOutOfMemory(UsageHistory& history, const Resources& declared, std::int64_t grantedMb);

/**
 * Chooses the resources to grant to the next task of a program.
 * @param history Usage history of the program, or nullptr if it has none.
 * @param declared Declared task size; used until enough samples are available.
 * @return CPU and memory that the task is expected to need, at most four times the declared amounts; GPUs as declared.
 */
Resources estimateSize(const UsageHistory* history, const Resources& declared);

/**
 * Estimates the run time of the next task of a program.
 * @param history Usage history of the program, or nullptr if it has none.
 * @param declared Declared run time, 0 if unknown; returned while there are no samples.
 * @return The estimate, 0 if unknown.
 */
Duration estimateRunTime(const UsageHistory* history, Duration declared);

} // namespace bulrushloft
