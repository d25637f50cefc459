/** @file scheduler_table.h Text names of the scheduler's enum values. */
#pragma once

#include "core/enum_table.h"
#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::scheduler {

constexpr std::array<EnumName<JobStage>, 5> jobStageNames { {
    { JobStage::Pending, "pending" },
    { JobStage::Active, "active" },
    { JobStage::Complete, "complete" },
    { JobStage::Failed, "failed" },
    { JobStage::Cancelled, "cancelled" },
} };

constexpr std::array<EnumName<RunPhase>, 5> runPhaseNames { {
    { RunPhase::None, "none" },
    { RunPhase::Recording, "recording" },
    { RunPhase::Starting, "starting" },
    { RunPhase::Running, "running" },
    { RunPhase::Stopping, "stopping" },
} };

constexpr std::array<EnumName<WorkerState>, 4> workerStateNames { {
    { WorkerState::New, "new" },
    { WorkerState::Adopted, "adopted" },
    { WorkerState::Silent, "silent" },
    { WorkerState::Gone, "gone" },
} };

constexpr std::array<EnumName<UrgencyClass>, 4> urgencyClassNames { {
    { UrgencyClass::LongRunning, "long-running" },
    { UrgencyClass::InTime, "in-time" },
    { UrgencyClass::Late, "late" },
    { UrgencyClass::Overdue, "overdue" },
} };

constexpr std::array<EnumName<WaitCause>, waitCauseCount> waitCauseNames { {
    { WaitCause::RecordNotDurable, "record-not-durable" },
    { WaitCause::StartUnconfirmed, "start-unconfirmed" },
    { WaitCause::AttemptStopping, "attempt-stopping" },
    { WaitCause::WorkerSilent, "worker-silent" },
    { WaitCause::GangEnding, "gang-ending" },
    { WaitCause::NoWorker, "no-worker" },
    { WaitCause::WorkersNotAccepting, "workers-not-accepting" },
    { WaitCause::NoVmForRequest, "no-vm-for-request" },
    { WaitCause::ApprovalUnanswered, "approval-unanswered" },
    { WaitCause::NoApprovedWorker, "no-approved-worker" },
    { WaitCause::NoValidTicket, "no-valid-ticket" },
    { WaitCause::NoRoom, "no-room" },
    { WaitCause::NoRoomOnApproved, "no-room-on-approved" },
    { WaitCause::Reserved, "reserved" },
    { WaitCause::HeldForSuspect, "held-for-suspect" },
    { WaitCause::SuspectNotIsolated, "suspect-not-isolated" },
    { WaitCause::GangShortOfRoom, "gang-short-of-room" },
    { WaitCause::CustomerAtCap, "customer-at-cap" },
    { WaitCause::AwaitsBetterPlace, "awaits-better-place" },
    { WaitCause::RoomAvailable, "room-available" },
} };

constexpr std::array<EnumName<AttemptEnd>, 6> attemptEndNames { {
    { AttemptEnd::Done, "done" },
    { AttemptEnd::Failed, "failed" },
    { AttemptEnd::Stopped, "stopped" },
    { AttemptEnd::LeaseExpired, "lapsed" },
    { AttemptEnd::GangBroken, "broken" },
    { AttemptEnd::GangIncomplete, "alone" },
} };

constexpr std::array<EnumName<OrderStatus>, 13> orderStatusNames { {
    { OrderStatus::Done, "done" },
    { OrderStatus::NoAnswer, "no-answer" },
    { OrderStatus::NotSent, "not-sent" },
    { OrderStatus::Fenced, "fenced" },
    { OrderStatus::Superseded, "superseded" },
    { OrderStatus::LeaseExpired, "lease-over" },
    { OrderStatus::InsufficientCapacity, "no-room" },
    { OrderStatus::InvalidTicket, "no-ticket" },
    { OrderStatus::Unhealthy, "unhealthy" },
    { OrderStatus::WrongInstance, "wrong-instance" },
    { OrderStatus::Invalid, "invalid" },
    { OrderStatus::Unreported, "unreported" },
    { OrderStatus::NotForwarded, "not-forwarded" },
} };

} // namespace bulrushloft::scheduler
