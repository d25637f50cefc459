/** @file plan_func.h Checks and estimates of job plans. */
#pragma once

#include "core/error_type.h"
#include "request/plan_type.h"

namespace bulrushloft {

/**
 * Checks what a caller sent.
 * @return Nothing, or an error of kind InvalidInput or TooLarge that names the field and the remedy.
 */
Expected<void> validatePlan(const JobPlan& plan);

/**
 * Estimates the rest of the longest chain that begins with a step.
 * @param plan A valid plan.
 * @param step Index of the step.
 * @param delayPerStep Added for each step of the chain.
 * @return Estimated run time of the step and of the longest chain that depends on it.
 */
Duration estimateChainFrom(const JobPlan& plan, std::uint32_t step, Duration delayPerStep);

/** @return The longest chain of the whole job; see estimateChainFrom(). */
Duration estimateChain(const JobPlan& plan, Duration delayPerStep);

/** @return Whether any step has tasks that last. */
bool isLasting(const JobPlan& plan);

/** @return "job.occurrence.step.index", for logs. */
std::string format(const TaskName& name);

} // namespace bulrushloft
