/** @file customer_cap.h Limits of what a customer may have running at the same time. */
#pragma once

#include "core/error_type.h"
#include "request/plan_type.h"
#include "version/customer_type.h"

namespace bulrushloft {

/** @return Whether an amount of resources stays within a cap, in which 0 means no limit. */
bool isWithinCap(const Resources& used, const Resources& cap);

/** @return Number of tasks of a size that a customer may start besides what it has running, at most the given limit. @param cap An amount of 0 means no limit. */
std::int64_t countWithinCap(const Resources& size, const Resources& used, const Resources& cap, std::int64_t limit);

/**
 * Checks tasks that start together while nothing else of the customer runs. They may exceed the cap by a fraction and one task, so that a
 * single task is never too large.
 * @param count Number of tasks that start together. @param overrun Fraction by which the cap may be exceeded.
 */
bool canRunAlone(const Resources& size, std::uint32_t count, const Resources& cap, double overrun);

/**
 * Checks a submission against the cap of its customer.
 * @return Nothing, or an error of kind InvalidInput that names the step that could never start.
 */
Expected<void> canEverRun(const CustomerSettings& settings, double overrun, const JobPlan& plan);

} // namespace bulrushloft
