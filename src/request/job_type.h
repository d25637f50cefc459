/** @file job_type.h Ids, enums and specifications of jobs and their tasks. */
#pragma once

#include "core/clock_type.h"
#include "core/strong_id.h"
#include "request/resources_type.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushloft {

/** Number of a job within its shard. */
using JobNumber = StrongId<struct JobNumberTag>;

/** Id of a job, as callers see it. */
struct JobId {
    std::string m_shard; ///< Name of the shard that owns the job.
    JobNumber m_number; ///< Number of the job within the shard.

    auto operator<=>(const JobId&) const = default;
};

/** Identifies one attempt to run one task; each attempt of a task has its own reference. */
struct TaskRef {
    JobNumber m_job; ///< Number of the job within its shard.
    std::uint32_t m_task = 0; ///< Index of the task within the job, from 0.
    std::uint32_t m_attempt = 0; ///< Number of the attempt, from 1.

    constexpr auto operator<=>(const TaskRef&) const = default;
};

/** How the tasks of a job are run. */
enum class JobKind : std::uint8_t {
    Service, ///< Tasks run until the job is cancelled and are restarted when they end.
    Batch, ///< Tasks run to completion, in any order.
    Gang, ///< All tasks are started together or none is.
};

/** State of a task, as recorded in the journal. */
enum class TaskState : std::uint8_t {
    Waiting, ///< Not placed on any worker.
    Placed, ///< Placed on a worker; may be running.
    Done, ///< Ran to completion.
    Failed, ///< Failed and is not retried.
    NotRun, ///< Never ran and never will.
    Stopped, ///< May have run but did not complete: the job was cancelled or abandoned, or the attempt of a non-idempotent task was stopped.
    Unknown, ///< May have run; contact with the worker was lost before it reported the outcome.
};

/** State of a job. */
enum class JobState : std::uint8_t {
    Waiting, ///< Accepted; no task has been placed yet.
    Running, ///< At least one task has been placed and not all have ended.
    Done, ///< All tasks ran to completion.
    Failed, ///< All tasks ended and at least one failed.
    Cancelled, ///< Ended by a cancellation.
    Unknown, ///< All tasks ended, and at least one has the state TaskState::Unknown.
};

/** Result of one attempt. */
enum class TaskResult : std::uint8_t {
    Done, ///< Ran to completion.
    Failed, ///< Ran and reported a failure.
    OutOfMemory, ///< Used more memory than it was granted.
    Stopped, ///< Stopped on the scheduler's command.
    NeverStarted, ///< Known not to have started, and will never start.
    Lapsed, ///< The worker's lease expired and the worker stopped the attempt, or the worker is gone.
};

/** Specification of a job, as submitted by a caller. */
struct JobSpec {
    std::string m_key; ///< Idempotency key; a submission with a known key refers to the existing job.
    std::string m_name; ///< Name of the program; jobs of a team with the same name share their usage estimates.
    std::string m_team; ///< Team whose quota is charged.
    std::string m_workClass; ///< Work class, which selects the scheduling policy.
    std::string m_pool; ///< Pool of workers to run on.
    JobKind m_kind = JobKind::Batch; ///< Kind of the job.
    std::uint32_t m_taskCount = 1; ///< Number of tasks.
    Resources m_declared; ///< Declared size of each task.
    Duration m_declaredRunTime; ///< Declared run time of each task; 0 if unknown.
    bool m_isIdempotent = true; ///< Whether a task that may have run may be run again.
    std::uint32_t m_failureLimit = 3; ///< Number of failures after which a task is not retried.
    std::string m_payload; ///< Opaque data that is passed to the worker.
};

/** Measured usage of one attempt. */
struct TaskUsage {
    std::int64_t m_peakCpuMilli = 0; ///< Peak CPU usage, in thousandths of a core.
    std::int64_t m_peakMemoryMb = 0; ///< Peak memory usage, in MiB.
    Duration m_runTime; ///< Time from start to end.
};

/** @return The id in the form "shard:number". */
std::string format(const JobId& id);

/** @return The reference in the form "number/task#attempt", for logs. */
std::string format(const TaskRef& ref);

std::string_view nameOf(JobKind kind);
std::string_view nameOf(TaskState state);
std::string_view nameOf(JobState state);
std::string_view nameOf(TaskResult result);

/** @return Whether a task in this state will not change again. */
constexpr bool isFinal(TaskState state)
{
    return state != TaskState::Waiting && state != TaskState::Placed;
}

/** @return Whether a job in this state will not change again. */
constexpr bool isFinal(JobState state)
{
    return state != JobState::Waiting && state != JobState::Running;
}

} // namespace bulrushloft

template <>
struct std::hash<bulrushloft::TaskRef> {
    std::size_t operator()(const bulrushloft::TaskRef& ref) const noexcept
    {
        return (ref.m_job.m_value * 0x9e3779b97f4a7c15ULL) ^ (static_cast<std::size_t>(ref.m_task) << 8) ^ ref.m_attempt;
    }
};
