/** @file worker_base.h A worker as the owner of its shard knows it, and the attempts on it. */
#pragma once

#include "connection/vm_list_type.h"
#include "connection/worker_type.h"
#include "process/shard_type.h"

#include <deque>
#include <set>
#include <string>
#include <vector>

namespace bulrushloft {

/** Whether an endpoint obeys this owner now. */
enum class LinkState : std::uint8_t {
    Down, ///< Not adopted, or a call failed since; nothing is sent to it.
    Adopting, ///< The adoption is on its way.
    Adopted, ///< Everything on it is known.
};

/** Where an attempt stands, as its owner knows it. */
enum class RunPhase : std::uint8_t {
    Journaling, ///< Decided; the placement is not yet confirmed on the log.
    Ready, ///< Confirmed; not yet sent to the worker.
    Starting, ///< Sent; not yet answered.
    Held, ///< The worker has admitted it and waits for its release.
    Running, ///< The worker has confirmed it.
    Unresolved, ///< Placed in an earlier term; the worker has yet to tell.
    Ended, ///< Off the worker; the outcome is not yet confirmed on the log.
};

/** One attempt on a worker. */
struct TaskRun {
    TaskRef m_ref; ///< The attempt.
    std::size_t m_worker = 0; ///< Index of the worker.
    Resources m_grant; ///< What it holds on the worker.
    RunPhase m_phase = RunPhase::Journaling; ///< Where it stands.
    bool m_isHeldStart = false; ///< To be started in two steps, together with its gang.
    bool m_isStopRequested = false; ///< To be stopped as soon as possible.
    bool m_isStopSent = false; ///< The stop is on its way.
    bool m_wantsCheckpoint = false; ///< The stop saves the state of the task first.
    bool m_isUnjournaled = false; ///< Started while the log was down; its placement is appended later.
    bool m_isUnsuccessful = false; ///< Ended without being done.
    bool m_isOrphan = false; ///< Not wanted by the journal; only its end matters.
    std::uint64_t m_boot = 0; ///< Run of the worker that it was placed on.
    TimePoint m_queuedAt; ///< Monotonic time since which the task had waited, 0 when it is not known.
    TimePoint m_placedAt; ///< Monotonic time of the decision.
    TimePoint m_startedAt; ///< Monotonic time at which the worker confirmed the start.
    TimePoint m_expectedEnd; ///< Estimate, for backfill.
};

/** An end of an attempt on a worker, as its health is judged by. */
struct RecentEnd {
    JobNumber m_job; ///< The job.
    bool m_hasFailed = false; ///< Whether the attempt failed.
};

/** A worker. */
struct Worker {
    std::string m_name; ///< Name of its VM.
    VmInfo m_vm; ///< What the platform's list says.
    bool m_isListed = false; ///< Whether the list has it.
    LinkState m_link = LinkState::Down; ///< Whether it obeys this owner now.
    std::uint32_t m_generation = 0; ///< Of the latest adoption.
    std::uint64_t m_boot = 0; ///< Run of the worker, 0 before the first adoption of this term.
    bool m_hasReportedLeaving = false; ///< It said itself that it will go away.
    Resources m_capacity; ///< What it has, as it said itself.
    Resources m_granted; ///< Sum of the grants of all attempts on it.
    std::set<TaskRef> m_tasks; ///< Attempts on it.

    TimePoint m_reportedClock; ///< Its own clock at its latest answer.
    TimePoint m_earliestClockReadAt; ///< Monotonic time at which the call of that answer was sent.
    TimePoint m_latestClockReadAt; ///< Monotonic time at which that answer came.
    TimePoint m_leaseEndBound; ///< Monotonic time by which all leases given in this term have surely lapsed.
    TimePoint m_retryAt; ///< Monotonic time of the next adoption.
    std::uint32_t m_failedAdoptions = 0; ///< Failed adoptions in a row.

    bool m_isPollInFlight = false; ///< A call that waits for ends is out.
    bool m_isCommandInFlight = false; ///< A call with commands is out.
    std::vector<TaskRef> m_starts; ///< Attempts to be sent.
    std::vector<TaskRef> m_releases; ///< Held attempts to be released.
    std::vector<TaskRef> m_stops; ///< Attempts to be stopped.
    std::vector<TaskRef> m_acks; ///< Ends that are confirmed on the log.

    std::deque<RecentEnd> m_recentEnds; ///< Latest ends, to tell a sick worker.
    TimePoint m_quarantinedUntil; ///< Monotonic time until which it gets no new work because it failed too much.
    std::uint32_t m_consecutiveQuarantines = 0; ///< Times in a row that it was held out.
    bool m_isOnProbation = false; ///< Gets one task at a time until one is done.
};

} // namespace bulrushloft
