/** @file plan_codec.h Encoding of accepted jobs in the store. */
#pragma once

#include "core/error_type.h"
#include "request/plan_type.h"

namespace bulrushloft {

/** @return The encoded plan. */
std::string encodePlan(const JobPlan& plan);

/**
 * Decodes a plan encoded by encodePlan().
 * @return The plan, or an error of kind InvalidInput.
 */
Expected<JobPlan> decodePlan(const std::string& bytes);

} // namespace bulrushloft
