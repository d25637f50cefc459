/** @file wait_report.h Tells why steps wait unusually long: for their record, for approvals, for room, or for a worker that does not answer. */
#pragma once

#include "process/scheduler/scheduler_base.h"
#include "process/scheduler/wait_type.h"

namespace bulrushloft::scheduler {

/** What the cause of a step's wait is judged by. Workers are those of the step's pool that suit it. */
struct StepWaitFacts {
    RunPhase m_phase = RunPhase::None; ///< Phase of the task that has waited longest.
    bool m_isWorkerSilent = false; ///< The worker of that task's attempt does not answer.
    bool m_isSuspect = false; ///< That task may have crashed a worker.
    bool m_isGang = false; ///< The tasks only run together.
    bool m_needsApproval = false; ///< The step's queue asks for approvals.
    bool m_isHeldByCap = false; ///< The customer's cap holds the step back.
    bool m_waitsForPlace = false; ///< The step leaves room to others, see StepRun::m_waitsForPlace.
    bool m_isRequestDelayed = false; ///< An approval request was due and no VM was free to send it.
    std::uint32_t m_unplaced = 0; ///< Open tasks without an attempt.
    std::uint32_t m_activeAttempts = 0; ///< Tasks with an attempt.
    std::uint32_t m_pendingRequests = 0; ///< Approval requests without an answer.
    std::uint32_t m_workers = 0; ///< Announced workers.
    std::uint32_t m_accepting = 0; ///< Those that accept tasks.
    std::uint32_t m_approved = 0; ///< Those of m_accepting that are approved, or all when the step needs no approval.
    std::uint32_t m_ticketed = 0; ///< Those of m_approved whose ticket is valid.
    std::uint32_t m_open = 0; ///< Those of m_ticketed with room for a task that is not reserved for another step.
    std::uint32_t m_places = 0; ///< Tasks of the step that fit on the workers in m_open.
    std::uint32_t m_approvedOpen = 0; ///< Those of m_approved with such room, whether their ticket is valid or not.
    std::uint32_t m_unapprovedOpen = 0; ///< Those of m_accepting with such room that are not approved.
    std::uint32_t m_reserved = 0; ///< Those of m_accepting with room for a task that is reserved for another step.
    std::uint32_t m_held = 0; ///< Those of m_reserved that are held for a suspect.
};

/** @return What a step waits for. */
WaitCause waitCauseOf(const StepWaitFacts& facts);

/** Starts whose record took unusually long to become durable. */
struct RecordWait {
    std::uint32_t m_starts = 0; ///< Placements that waited for longer than the threshold.
    std::uint32_t m_withoutTicket = 0; ///< Those that need a ticket and have none that is valid.
    Duration m_longest; ///< Longest time from placement to confirmation.
};

/** @return The placements of batches up to the given one that have waited long and become durable now. */
RecordWait findRecordWaits(const Scheduler& scheduler, std::uint64_t batch, TimePoint now);

/** Logs the result of findRecordWaits() if any start waited long: one line for a confirmation. */
void reportRecordWaits(const Scheduler& scheduler, std::uint64_t batch, TimePoint now);

/** Updates Scheduler::m_waitSummary and logs the steps that wait long, at most once a second and a bounded number of lines. */
void stepWaitReport(Scheduler& scheduler, TimePoint now);

/** Workers that a leader has not adopted, or that have fallen silent. */
struct AdoptionState {
    std::uint32_t m_new = 0; ///< Workers that are announced or may hold attempts and have not answered this leader.
    std::uint32_t m_silent = 0; ///< Workers that have stopped answering.
    std::uint32_t m_tasks = 0; ///< Attempts on these workers.
    TimePoint m_leasesEndAt; ///< Time by which all leases of the ones with attempts have run out; zero for none.
};

AdoptionState findAdoptionState(const Scheduler& scheduler);

} // namespace bulrushloft::scheduler
