/** @file plan_func.h Validation of job plans and formatting of task names. */
#pragma once

#include "core/error_type.h"
#include "request/plan_type.h"

namespace bulrushloft {

/**
 * Validates a plan sent by a caller.
 * @return Nothing, or an error of kind InvalidInput or TooLarge that names the field and the remedy.
 */
Expected<void> validatePlan(const JobPlan& plan);

/**
 * Checks what holds for every plan, also for those in records: limits that keep a job from exhausting the memory or from
 * overflowing an amount, and steps that depend on earlier ones only.
 * @return Nothing, or an error of kind InvalidInput or TooLarge that names the field and the remedy.
 */
Expected<void> validateStructure(const JobPlan& plan);

/** @return The name in the form "job.occurrence.step.index", for logs. */
std::string format(const TaskName& name);

} // namespace bulrushloft
