/** @file estimate_func.h Learned sizes and run times in place of wrong declared ones. */
#pragma once

#include "request/estimate_type.h"

namespace bulrushloft {

/**
 * Adds the use of one attempt that ran to its end.
 * @param history Uses of the program so far.
 * @param declared What the attempt's job declared.
 * @param usage What the attempt used.
 */
void addUsage(UsageHistory& history, const Resources& declared, const TaskUsage& usage);

/**
 * Notes that a grant was too small.
 * @param declared What the attempt's job declared.
 * @param grantedMb The grant that was exceeded, in MiB.
 */
void recordOutOfMemory(UsageHistory& history, const Resources& declared, std::int64_t grantedMb);

/**
 * Chooses what to grant to the next task of a program.
 * @param history Uses of the program, or nullptr when it never ran.
 * @param declared The declared size; used until enough uses are known.
 * @return Processors and memory that the task is expected to need, at most four times what is declared; GPUs as declared.
 */
Resources estimateSize(const UsageHistory* history, const Resources& declared);

/**
 * Estimates how long the next task of a program runs.
 * @return Milliseconds; the declared time until a use is known, 0 when that is unknown too.
 */
Duration estimateRunTime(const UsageHistory* history, Duration declared);

} // namespace bulrushloft
