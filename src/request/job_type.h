/** @file job_type.h Ids, enums and small structs of jobs and their tasks. */
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

/** Names a job to callers. */
struct JobId {
    std::string m_shard; ///< The shard that holds the job.
    JobNumber m_number; ///< Its number there.

    auto operator<=>(const JobId&) const = default;
};

/** Names one attempt to run one task; a second attempt of a task has another reference. */
struct TaskRef {
    JobNumber m_job; ///< The job.
    std::uint32_t m_task = 0; ///< Index of the task in the job, from 0.
    std::uint32_t m_attempt = 0; ///< Number of the attempt, from 1.

    constexpr auto operator<=>(const TaskRef&) const = default;
};

/** How the tasks of a job are to be run. */
enum class JobKind : std::uint8_t {
    Service, ///< Tasks stay up until the job is cancelled.
    Batch, ///< Tasks run to their end, in any order.
    Gang, ///< All tasks start together or none does.
};

/** Where one task stands, as the journal knows it. */
enum class TaskState : std::uint8_t {
    Waiting, ///< Not on any worker.
    Placed, ///< Granted to a worker; it may be running.
    Done, ///< Ran to its end.
    Failed, ///< Ran and failed for the last time.
    NotRun, ///< Never ran and never will.
    Stopped, ///< Stopped by a cancellation after it may have begun to run.
    Unknown, ///< May have run; its worker was lost before it told.
};

/** Where a whole job stands. */
enum class JobState : std::uint8_t {
    Waiting, ///< Accepted; no task has been placed yet.
    Running, ///< At least one task has been placed and not all have ended.
    Done, ///< All tasks ran to their end.
    Failed, ///< All tasks ended and at least one failed.
    Cancelled, ///< Ended by a cancellation.
    Unknown, ///< All tasks ended and it is not known of at least one whether it ran.
};

/** How one attempt ended. */
enum class TaskResult : std::uint8_t {
    Done, ///< Ran to its end.
    Failed, ///< Ran and reported a failure.
    OutOfMemory, ///< Used more memory than it was granted.
    Stopped, ///< Stopped on the scheduler's command.
    NeverStarted, ///< Proved never to have started, and never will.
    Lapsed, ///< The worker lost its lease and stopped it, or the worker is gone.
};

/** What a caller asks to be run. */
struct JobSpec {
    std::string m_key; ///< Idempotency key; the same key names the same job.
    std::string m_name; ///< Name of the program; runs of one name share their estimates.
    std::string m_team; ///< Team that is charged.
    std::string m_workClass; ///< Class of work, which selects the policy.
    std::string m_pool; ///< Pool of workers.
    JobKind m_kind = JobKind::Batch; ///< How the tasks are run.
    std::uint32_t m_taskCount = 1; ///< Number of tasks.
    Resources m_declared; ///< Declared size of each task.
    Duration m_declaredRunTime; ///< Declared run time of each task, 0 when unknown.
    bool m_isIdempotent = true; ///< Whether a task may be run again after it may have run.
    std::uint32_t m_failureLimit = 3; ///< Failures of one task, on different workers, that end it.
    std::string m_payload; ///< Passed to the worker unread.
};

/** What one attempt used. */
struct TaskUsage {
    std::int64_t m_peakCpuMilli = 0; ///< Highest use in thousandths of a core.
    std::int64_t m_peakMemoryMb = 0; ///< Highest use in MiB.
    Duration m_runTime; ///< From start to end.
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
