/** @file crash_record.h Crashes of workers, and the tasks that may have caused them. */
#pragma once

#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::scheduler::detail {

/*
 * A task may crash each worker that starts it, which takes the worker's other tasks along. A task that makes its worker crash
 * does so soon after its start, so an attempt is on probation for probationPeriod. Tasks that are on probation when their worker
 * crashes are suspects: each is started again where no other attempt is on probation (suspect_placement.h), so that the next crash
 * tells which of them it was.
 *
 * Another process at a worker's address proves that the former one is gone, but neither when it ended nor under which attempts. A
 * crash is held against a task only if
 * - the worker has confirmed or listed the attempt shortly before, and it has been neither stopped nor reported as ended since;
 * - the process that has crashed confirmed it, and not one that may have started since;
 * - the time of the crash is known, as the connection of the open sync broke. A call that times out tells no time: the worker
 *   may have been cut off, and may have ended the attempt before it crashed;
 * - not several workers crashed at that moment on which the task can't be the cause;
 * - the worker had not left: its announcement was removed no sooner than one of a silent worker expires.
 * Of an attempt that an earlier leader has isolated and recorded as running, the record stands for the first two.
 */

constexpr Duration probationPeriod { 300 }; ///< A worker that lists an attempt for this long does not crash because of its start.

/** @return Whether the task was on probation at the latest crash of a worker that ran it and has not passed probation since. */
constexpr bool isSuspect(const Task& task) { return task.m_suspicions > 0; }

constexpr Duration oldAddressRetryDelay { 150 }; ///< Time until a worker whose address has changed is called again.

/** @return Whether a worker's announcement has named another address so lately that a call to the former address may still be open. */
bool hasMovedLately(const Scheduler& scheduler, const Worker& worker, TimePoint now);

/** @return Whether an attempt may be running on its worker without having passed probation, or is going to be started there. */
bool isOnProbation(const Task& task);

/**
 * Handles the proof that a worker has crashed, as another process answers at its address: counts the crash for its attempts,
 * which are lost, and gives up tasks that are found to cause crashes.
 * A lease that runs out is no such proof, since a worker that is cut off looks the same.
 */
void loseTasksToCrash(Scheduler& scheduler, WorkerIndex index, TimePoint now);

/** As loseTasksToCrash() for a worker that has restarted under its id; its first report tells which attempts are lost. */
void noteRestart(Scheduler& scheduler, WorkerIndex index, TimePoint now);

/** Notes that a worker has confirmed or listed a task's current attempt. */
void noteKnownToRun(Scheduler& scheduler, const TaskRef& ref, TimePoint now);

/** Notes that a call to a worker has failed, before it is counted. */
void noteFailedCall(Worker& worker, TimePoint now);

/** Notes that the latest sync of a worker has failed, after the call was counted. */
void noteFailedSync(Worker& worker, OrderStatus status, TimePoint now);

/** Notes that a worker has listed a task's current attempt as running; ends its probation in due course. */
void noteListed(Scheduler& scheduler, const TaskRef& ref, TimePoint now);

} // namespace bulrushloft::scheduler::detail
