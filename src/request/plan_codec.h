/** @file plan_codec.h The form in which accepted jobs are kept in the store. */
#pragma once

#include "core/error_type.h"
#include "request/plan_type.h"

namespace bulrushloft {

/** @return The bytes of a plan. */
std::string encodePlan(const JobPlan& plan);

/**
 * Reads what encodePlan() wrote.
 * @return The plan, or an error of kind InvalidInput.
 */
Expected<JobPlan> decodePlan(const std::string& bytes);

} // namespace bulrushloft
