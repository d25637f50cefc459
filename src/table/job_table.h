/** @file job_table.h Names of job kinds, job states, task states and task results. */
#pragma once

#include "core/enum_table.h"
#include "request/job_type.h"

namespace bulrushloft {

constexpr std::array<EnumName<JobKind>, 3> jobKindNames { {
    { JobKind::Service, "service" },
    { JobKind::Batch, "batch" },
    { JobKind::Gang, "gang" },
} };

constexpr std::array<EnumName<TaskState>, 7> taskStateNames { {
    { TaskState::Waiting, "waiting" },
    { TaskState::Placed, "placed" },
    { TaskState::Done, "done" },
    { TaskState::Failed, "failed" },
    { TaskState::NotRun, "not-run" },
    { TaskState::Stopped, "stopped" },
    { TaskState::Unknown, "unknown" },
} };

constexpr std::array<EnumName<JobState>, 6> jobStateNames { {
    { JobState::Waiting, "waiting" },
    { JobState::Running, "running" },
    { JobState::Done, "done" },
    { JobState::Failed, "failed" },
    { JobState::Cancelled, "cancelled" },
    { JobState::Unknown, "unknown" },
} };

constexpr std::array<EnumName<TaskResult>, 6> taskResultNames { {
    { TaskResult::Done, "done" },
    { TaskResult::Failed, "failed" },
    { TaskResult::OutOfMemory, "out-of-memory" },
    { TaskResult::Stopped, "stopped" },
    { TaskResult::NeverStarted, "never-started" },
    { TaskResult::Lapsed, "lapsed" },
} };

} // namespace bulrushloft
