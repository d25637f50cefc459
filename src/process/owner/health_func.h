/** @file health_func.h Distinguishes failing workers and runners from failing jobs. */
#pragma once

#include "process/owner/runner_base.h"
#include "process/owner/worker_base.h"

namespace bulrushloft {

/** Counts the end of an attempt on a worker; consecutive failures of different jobs quarantine the worker. */
void updateWorkerHealth(Worker& worker, JobNumber job, TaskResult result, TimePoint now);

/** @return Whether the worker's health allows it to get new tasks now. */
bool isHealthy(const Worker& worker, TimePoint now);

/** Counts the end of a dispatch on a runner; consecutive failures quarantine the runner. */
void updateRunnerHealth(Runner& runner, bool hasFailed, TimePoint now);

/** @return Whether the runner's health allows it to get new requests now. */
bool isHealthy(const Runner& runner, TimePoint now);

} // namespace bulrushloft
