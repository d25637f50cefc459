/** @file wait_type.h Why a step waits, and counts of the steps that wait long. */
#pragma once

#include "core/clock_type.h"

#include <array>
#include <cstdint>

namespace bulrushloft::scheduler {

/** What a step waits for, judged by the task that has waited longest. */
enum class WaitCause : std::uint8_t {
    RecordNotDurable, ///< Placed; the store has not confirmed the record of the placement.
    StartUnconfirmed, ///< The worker has not confirmed the start.
    AttemptStopping, ///< The former attempt is being stopped.
    WorkerSilent, ///< The worker of the attempt does not answer, and its lease has not run out.
    GangEnding, ///< Members of the gang's former attempt have not ended.
    NoWorker, ///< No worker that suits the step is known.
    WorkersNotAccepting, ///< None of the suitable workers accepts tasks: not adopted, silent, draining, quarantined, or with unexpected attempts.
    NoVmForRequest, ///< No approval is known or valid, and no VM is free to request one.
    ApprovalUnanswered, ///< No approval is known or valid, and a request for one is unanswered.
    NoApprovedWorker, ///< No approved worker accepts tasks, and no request is under way.
    NoValidTicket, ///< Approved workers have room, but none of those has a valid ticket, and no request is under way.
    NoRoom, ///< No worker that accepts tasks of the step has room.
    NoRoomOnApproved, ///< No approved worker has room, but workers without approval do.
    Reserved, ///< Workers with room are reserved for other steps.
    HeldForSuspect, ///< Workers with room are held for tasks that may have crashed a worker.
    SuspectNotIsolated, ///< The task may have crashed a worker and waits for one on which no other attempt is on probation.
    GangShortOfRoom, ///< The workers with room can't take all members of the gang.
    CustomerAtCap, ///< The cap of the customer leaves no room for the step.
    AwaitsBetterPlace, ///< The step leaves room to others, as a place where its tasks run shorter is expected to come free.
    RoomAvailable, ///< Nothing known hinders the step; the next placement pass should place it.
};

constexpr std::size_t waitCauseCount = 20;
static_assert(static_cast<std::size_t>(WaitCause::RoomAvailable) + 1 == waitCauseCount);

/** Counts of the steps that have waited long, updated once a second. */
struct WaitSummary {
    std::uint32_t m_steps = 0; ///< Steps with a task that has waited longer than the threshold.
    Duration m_oldest; ///< Longest wait among them.
    std::uint32_t m_unexamined = 0; ///< Steps whose cause was not determined, to save time.
    std::array<std::uint32_t, waitCauseCount> m_byCause {}; ///< Steps by cause, indexed by WaitCause.
};

} // namespace bulrushloft::scheduler
