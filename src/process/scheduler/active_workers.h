/**
 * @file active_workers.h The workers that steps look at.
 *
 * Workers that crash come back under new ids, so that their table only grows during a term. An index in it stays valid. A worker
 * that has left, and with which nothing is left to do, is retired: steps pass it over until it is heard of again.
 */
#pragma once

#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::scheduler::detail {

/** Has steps look at a worker, before something about it changes from outside. */
void activateWorker(Scheduler& scheduler, WorkerIndex index);

/** Retires the workers that no step can do anything with: not announced, with no attempt that may run, and no end or call open. */
void retireWorkers(Scheduler& scheduler, TimePoint now);

/** @return Whether Scheduler::m_activeWorkers agrees with the workers, and lacks none with which something is left to do. */
bool areActiveWorkersConsistent(const Scheduler& scheduler);

} // namespace bulrushloft::scheduler::detail
