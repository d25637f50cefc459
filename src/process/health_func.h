/** @file health_func.h Telling sick workers and runners from sick jobs. */
#pragma once

#include "process/runner_base.h"
#include "process/worker_base.h"

namespace bulrushloft {

/** Notes how an attempt ended on a worker; several failures of different jobs in a row hold the worker out. */
void updateWorkerHealth(Worker& worker, JobNumber job, TaskResult result, TimePoint now);

/** @return Whether the worker gets new work now, as far as its health goes. */
bool isHealthy(const Worker& worker, TimePoint now);

/** Notes the end of a dispatch on a runner; several failures in a row hold the runner out. */
void updateRunnerHealth(Runner& runner, bool hasFailed, TimePoint now);

/** @return Whether the runner gets new requests now, as far as its health goes. */
bool isHealthy(const Runner& runner, TimePoint now);

} // namespace bulrushloft
