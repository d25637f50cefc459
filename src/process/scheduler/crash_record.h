/** @file crash_record.h Crashes of workers, and what they say about the tasks that ran there. */
#pragma once

#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::scheduler::detail {

/**
 * Handles the proof that a worker has crashed, as another process answers at its address: its attempts are lost.
 * A lease that runs out is no such proof, since a worker that is cut off looks the same.
 */
void loseTasksToCrash(Scheduler& scheduler, WorkerIndex index, TimePoint now);

/** Handles the proof that a worker has crashed and restarted under its id; its first report tells which attempts are lost. */
void noteRestart(Scheduler& scheduler, WorkerIndex index, TimePoint now);

} // namespace bulrushloft::scheduler::detail
