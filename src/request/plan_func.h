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

/** @return "job.occurrence.step.index", for logs. */
std::string format(const TaskName& name);

} // namespace bulrushloft
