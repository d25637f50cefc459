/** @file worker_base.h State of a worker and of the attempts on it, as the owner of its shard knows them. */
#pragma once

#include "connection/vm_list_type.h"
#include "connection/worker_type.h"
#include "core/shard_type.h"

#include <deque>
#include <set>
#include <string>
#include <vector>

namespace bulrushloft {

/** Whether an endpoint accepts this owner's fencing token. */
enum class LinkState : std::uint8_t {
    Down, ///< Not adopted yet, or a call has failed since; no commands are sent.
    Adopting, ///< The adoption call has not been answered yet.
    Adopted, ///< The endpoint has accepted the token and reported its state.
};

/** Phase of an attempt, as its owner knows it. */
enum class RunPhase : std::uint8_t {
    Journaling, ///< Placed; the log has not confirmed the placement yet.
    Ready, ///< The placement is durable or needs no record first; the start has not been sent yet.
    Starting, ///< The start has been sent; the worker has not answered yet.
    Held, ///< The worker has admitted the attempt, which waits for its release.
    Running, ///< The worker has confirmed the start.
    Unresolved, ///< Placed in an earlier term; the worker has not reported its state yet.
    Ended, ///< No longer on the worker; the log has not confirmed the outcome yet.
};

/** One attempt to run a task on a worker. */
struct TaskRun {
    TaskRef m_ref; ///< Job, task and attempt number.
    std::size_t m_worker = 0; ///< Index of the worker in ShardOwner::m_workers.
    Resources m_grant; ///< Resources granted to it on the worker.
    RunPhase m_phase = RunPhase::Journaling; ///< Current phase.
    bool m_isHeldStart = false; ///< Whether the worker admits it first and runs it on release, together with the rest of its gang.
    bool m_isStopRequested = false; ///< Whether it is to be stopped as soon as possible.
    bool m_isStopSent = false; ///< Whether the stop has been sent to the worker.
    bool m_wantsCheckpoint = false; ///< Whether the worker saves the task's state before it stops it.
    bool m_isUnjournaled = false; ///< Whether it was started while the log did not answer; its placement is appended later.
    bool m_isUnsuccessful = false; ///< Whether it ended with a result other than Done.
    bool m_isOrphan = false; ///< Whether the journal neither lists nor accepts its placement: it is stopped and its outcome is not recorded.
    std::uint64_t m_boot = 0; ///< Boot id of the worker at the time of placement.
    TimePoint m_queuedAt; ///< Monotonic time since which the job's tasks have been waiting in the queue; 0 when unknown.
    TimePoint m_placedAt; ///< Monotonic time of the placement decision or, for an attempt of an earlier term, of its discovery.
    TimePoint m_startedAt; ///< Monotonic time at which the worker confirmed the start.
    TimePoint m_expectedEnd; ///< Estimated monotonic time of the end, for backfill.
};

/** Outcome of an attempt that counts towards the health of its worker. */
struct RecentEnd {
    JobNumber m_job; ///< Job of the attempt.
    bool m_hasFailed = false; ///< Whether the attempt failed.
};

/** A worker. */
struct Worker {
    std::string m_name; ///< Name of its VM.
    VmInfo m_vm; ///< Its latest entry in the platform's list of VMs.
    bool m_isListed = false; ///< Whether the VM has appeared in the list.
    LinkState m_link = LinkState::Down; ///< Whether the worker accepts this owner's fencing token.
    std::uint32_t m_generation = 0; ///< Generation of the latest adoption in this term.
    std::uint64_t m_boot = 0; ///< Boot id that the worker reported; 0 before the first adoption of this term.
    bool m_hasReportedLeaving = false; ///< Whether the worker has reported that it will shut down.
    Resources m_capacity; ///< Total resources, as the worker reported them.
    Resources m_granted; ///< Sum of the grants of m_tasks.
    std::set<TaskRef> m_tasks; ///< Attempts on the worker or placed on it.

    TimePoint m_reportedClock; ///< The worker's own clock in its latest answer.
    TimePoint m_earliestClockReadAt; ///< Lower bound of the monotonic time at which that clock was read: when the call was sent, plus the time that the worker waited before it answered.
    TimePoint m_latestClockReadAt; ///< Upper bound of that time: when the answer arrived.
    TimePoint m_leaseEndBound; ///< Monotonic time by which every lease granted so far has expired; farFuture while a former owner may renew leases.
    TimePoint m_retryAt; ///< Monotonic time of the next adoption.
    std::uint32_t m_failedAdoptions = 0; ///< Consecutive failed adoptions.

    bool m_isPollInFlight = false; ///< Whether a long poll for ended attempts has not been answered yet.
    bool m_isCommandInFlight = false; ///< Whether a call with commands has not been answered yet.
    std::vector<TaskRef> m_starts; ///< Attempts whose start is to be sent.
    std::vector<TaskRef> m_releases; ///< Held attempts whose release is to be sent.
    std::vector<TaskRef> m_stops; ///< Attempts whose stop is to be sent.
    std::vector<TaskRef> m_acks; ///< Ended attempts that are to be acknowledged to the worker.

    std::deque<RecentEnd> m_recentEnds; ///< Latest outcomes, the newest last; see updateWorkerHealth().
    TimePoint m_quarantinedUntil; ///< Monotonic time before which no tasks are placed on it, after repeated failures.
    std::uint32_t m_consecutiveQuarantines = 0; ///< Quarantines since the last successful attempt; lengthens the next one.
    bool m_isOnProbation = false; ///< Whether it gets only one task at a time, until one succeeds or has run for long enough.
};

} // namespace bulrushloft
