/** @file late_start.h Starts without an answer, which may be carried out seconds later, by the worker's next process too. */
#pragma once

#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::scheduler::detail {

constexpr Duration lateStartLimit { 15'000 }; ///< How long after its call a start without an answer may still be carried out: seconds, with a margin.

/** Notes that a start sent to a worker has ended without an answer of the worker. */
void noteUnansweredStart(Scheduler& scheduler, WorkerIndex index, const TaskName& task, std::uint32_t attempt, TimePoint now);

/**
 * Has the starts that may still be carried out stopped at the new process of a worker that has restarted. The former process refused
 * copies of the attempts that it had run, but the new one knows nothing of them; it refuses what it has been told to stop.
 */
void stopLateStarts(Scheduler& scheduler, WorkerIndex index, TimePoint now);

/** Has a start that was not answered stopped once its attempt is no longer the current one. The stops also show when orders reach the worker again. */
void requestLateStop(Worker& worker, const TaskName& task, std::uint32_t attempt, TimePoint now);

/** Notes the answer to a stop of an attempt. */
void onLateStartStopped(Scheduler& scheduler, WorkerIndex index, const TaskName& task, std::uint32_t attempt, OrderStatus status, TimePoint now);

/** Notes that a worker has listed the end of an attempt, which its process does not start again. */
void noteListedEnd(Scheduler& scheduler, WorkerIndex index, const TaskName& task, std::uint32_t attempt);

/** Sends the stops that are due, except for the current attempts of tasks, and forgets the starts that are too old to be carried out. */
void stepLateStarts(Scheduler& scheduler, WorkerIndex index, TimePoint now, SchedulerEffects& effects);

} // namespace bulrushloft::scheduler::detail
