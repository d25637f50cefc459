/** @file caller_type.h Calls of the callers' API and their answers. */
#pragma once

#include "connection/http_type.h"
#include "core/clock_type.h"
#include "core/error_type.h"
#include "request/job_base.h"
#include "version/settings_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bulrushloft {

/** Identifies a caller that waits for an answer at one daemon. */
using CallerToken = StrongId<struct CallerTokenTag>;

/** Runs a request on a runner of a service; the answer carries the service's response. */
struct RunCall {
    std::string m_service; ///< Name of the service, which is a pool of runners.
    std::string m_target; ///< Operation that the runner is asked to perform; may be empty.
    std::string m_team; ///< Team to charge.
    std::string m_workClass; ///< Class of work.
    std::string m_key; ///< Idempotency key; calls with the same key are attempts of one request.
    bool m_isIdempotent = false; ///< Whether the request may run again when an earlier attempt may have run.
    std::uint32_t m_attempt = 1; ///< 1 for the first call with this key; higher in retries.
    std::optional<Duration> m_age; ///< Time since the caller first sent this key, if given.
    Duration m_deadline { 30'000 }; ///< Time left for the answer.
    SharedBody m_body; ///< Passed to the runner uninterpreted.
};

/** Submits a job. */
struct SubmitCall {
    JobSpec m_spec; ///< Description of the job.
    std::uint32_t m_attempt = 1; ///< 1 for the first call with this key; higher in retries.
};

/** What a status call waits for. */
enum class WaitUntil : std::uint8_t {
    Now, ///< Nothing; the call is answered at once.
    Started, ///< Every task runs or has ended.
    Ended, ///< The job has ended.
};

/** Gets the state of a job. */
struct StatusCall {
    JobId m_job; ///< The job.
    WaitUntil m_until = WaitUntil::Now; ///< State of the job to wait for.
    Duration m_maxWait; ///< Maximum wait; the call is then answered with the current state.
};

/** Cancels one job. */
struct CancelCall {
    JobId m_job; ///< The job.
};

/** Filter for jobs; an empty field matches all. */
struct JobSelector {
    std::string m_pool; ///< Pool of workers.
    std::string m_team; ///< Team that is charged.
    std::string m_name; ///< Name of the program.
    std::string m_state; ///< Name of a job state.
};

/** Lists the jobs of a shard. */
struct ListCall {
    std::string m_shard; ///< The shard.
    JobSelector m_selector; ///< Filter of the jobs.
    std::uint32_t m_limit = 1000; ///< Maximum number of jobs, newest first.
};

/** Cancels all jobs of a shard that match a selector. */
struct CancelSelectedCall {
    std::string m_shard; ///< The shard.
    JobSelector m_selector; ///< Filter of the jobs; the team is required.
};

/** Lists the workers and runners of a shard as known to its owner. */
struct EndpointsCall {
    std::string m_shard; ///< The shard.
};

/** Gets subtrees of the settings in force. */
struct SettingsGetCall {
    std::string m_path; ///< Path of one subtree; empty for all.
};

/** Publishes a change to one subtree of the settings. */
struct SettingsChangeCall {
    SettingsChange m_change; ///< The change to publish.
};

/** Lists the latest changes to the settings. */
struct SettingsHistoryCall {
    std::string m_path; ///< Path of one subtree; empty for all.
    std::uint32_t m_limit = 50; ///< Maximum number of changes, newest first.
};

/** Lists the daemons and the owner of each shard, as known to the daemon that answers. */
struct CellCall { };

using CallerCall = std::variant<RunCall, SubmitCall, StatusCall, CancelCall, ListCall, CancelSelectedCall, EndpointsCall,
    SettingsGetCall, SettingsChangeCall, SettingsHistoryCall, CellCall>;

/** What is known for certain about whether a request or job ran. */
enum class RunOutcome : std::uint8_t {
    Done, ///< Ran to completion; the service's response is attached.
    AnswerLost, ///< Ran to completion, but the service's response is no longer available.
    Failed, ///< Ran and failed; the service's response is attached if it is still available.
    NotRun, ///< Did not run and will not run unless the caller retries.
    Unknown, ///< May have run.
};

/** Answer to a run call. */
struct RunAnswer {
    RunOutcome m_outcome = RunOutcome::Unknown; ///< Whether the request ran.
    unsigned m_serviceStatus = 0; ///< Status in the service's response; 0 when there is none.
    SharedBody m_body; ///< Body of the service's response; null when there is none.
    Error m_error; ///< Why there is no response from the service; unused when there is one.
    std::string m_runner; ///< Runner that gave the response; empty when there is none.
};

/** State of one task, as shown to callers. */
struct TaskView {
    std::uint32_t m_task = 0; ///< Index of the task in its job.
    TaskState m_state = TaskState::Waiting; ///< Current state.
    std::uint32_t m_attempt = 0; ///< Number of the latest attempt.
    std::uint32_t m_failures = 0; ///< Number of failed attempts.
    std::string m_worker; ///< Worker of the latest attempt; empty when there is none.
    bool m_isRunning = false; ///< Whether the worker has confirmed that the task runs.
};

/** State of a job, as shown to callers. */
struct JobView {
    JobId m_id; ///< The job.
    JobSpec m_spec; ///< Description of the job as submitted.
    JobState m_state = JobState::Waiting; ///< Current state.
    std::array<std::uint32_t, taskStateCount> m_counts {}; ///< Number of tasks in each TaskState.
    std::uint32_t m_runningCount = 0; ///< Number of tasks that a worker has confirmed as running.
    bool m_isCancelRequested = false; ///< Whether a caller has requested cancellation.
    std::string m_reason; ///< Human-readable reason why the job waits or how it ended.
    TimePoint m_acceptedWall; ///< Wall-clock time of acceptance.
    TimePoint m_endedWall; ///< Wall-clock time of the end; 0 while the job has not ended.
    std::vector<TaskView> m_tasks; ///< A limited number of tasks, unfinished ones first.
};

/** Jobs of one shard. */
struct JobListAnswer {
    std::vector<JobView> m_jobs; ///< The jobs, newest first and without their tasks.
};

/** Number of jobs that a CancelSelectedCall cancelled. */
struct CancelSelectedAnswer {
    std::uint32_t m_count = 0; ///< Number of jobs whose cancellation has been recorded.
};

/** A worker or runner as known to the owner of its shard. */
struct EndpointView {
    std::string m_name; ///< Name of its VM.
    std::string m_kind; ///< "worker" or "runner".
    std::string m_shard; ///< Name of its shard.
    std::string m_zone; ///< Availability zone of its VM.
    std::string m_rack; ///< Rack of its VM.
    std::string m_link; ///< Whether the owner is connected to it: "down", "adopting" or "adopted".
    std::string m_health; ///< "live", "leaving", "gone", "drained" when the settings drain it, or "held-out" when it gets no new work for a time after failures.
    Resources m_capacity; ///< Total resources of a worker; zero for a runner.
    Resources m_granted; ///< Resources of a worker that are granted to tasks; zero for a runner.
    std::uint32_t m_slots = 0; ///< Maximum number of concurrent requests of a runner; 0 for a worker.
    std::uint32_t m_inFlight = 0; ///< Number of tasks on a worker or of requests dispatched to a runner.
    std::int64_t m_serviceMs = 0; ///< Measured service time of a runner in milliseconds; 0 for a worker.
};

/** Workers and runners of a shard. */
struct EndpointsAnswer {
    std::vector<EndpointView> m_endpoints; ///< All workers and runners of the shard.
};

/** An error, and whether the request or job may have been accepted in spite of it. */
struct ErrorAnswer {
    Error m_error; ///< What went wrong and how to remedy it.
    RunOutcome m_outcome = RunOutcome::NotRun; ///< NotRun when nothing was accepted; Unknown when it may have been.
    Duration m_retryAfter; ///< Delay after which a retry may succeed; 0 when a retry is not expected to help.
};

/** The daemon does not own the shard or no longer does; the call has to be forwarded to the owner. */
struct MovedAnswer {
    bool m_mayHaveRun = false; ///< Whether an earlier attempt whose answer was lost may have run or may still be running.
};

/** One subtree of the settings, as shown to operators. */
struct SubtreeView {
    std::string m_path; ///< Path of the subtree.
    Subtree m_subtree; ///< Contents, revision and author.
};

/** Subtrees of the settings in force at the daemon that answers. */
struct SettingsAnswer {
    std::uint64_t m_version = 0; ///< Version in force at that daemon.
    std::uint64_t m_minVersion = 0; ///< Lowest version in force at any daemon that is alive and ready.
    std::vector<SubtreeView> m_subtrees; ///< The requested subtrees.
};

/** Result of a settings change. */
struct ChangeAnswer {
    ChangeRecord m_record; ///< The change and its verdict.
    Subtree m_inForce; ///< The subtree that is in force after the verdict.
    std::string m_diff; ///< Difference from the subtree in force to the requested one.
};

/** The latest changes to the settings. */
struct HistoryAnswer {
    std::vector<ChangeRecord> m_changes; ///< The changes, newest first.
};

/** One daemon, as shown to operators. */
struct MemberView {
    std::string m_name; ///< Name of its VM.
    std::string m_address; ///< Address on which it listens.
    std::string m_zone; ///< Availability zone of its VM.
    std::string m_state; ///< "starting", "ready", "leaving" or "dead".
    std::uint64_t m_instance = 0; ///< Identifies the process; changes with each restart.
    std::uint64_t m_settingsVersion = 0; ///< Version of the settings in force at the daemon.
    std::int64_t m_heartbeatAgeMs = 0; ///< Time since its latest heartbeat in milliseconds; 0 for the daemon that answers.
};

/** One shard, as shown to operators. */
struct ShardView {
    std::string m_name; ///< Name of the shard.
    std::string m_owner; ///< Name of the owner's VM; empty when there is no owner.
    std::string m_address; ///< Address on which the owner listens.
    std::uint64_t m_epoch = 0; ///< Epoch of the ownership; 0 when there is no owner.
};

/** The cell as known to the daemon that answers. */
struct CellAnswer {
    std::string m_member; ///< Name of the VM of the daemon that answers.
    std::vector<MemberView> m_members; ///< All daemons.
    std::vector<ShardView> m_shards; ///< All shards.
};

using CallerAnswer = std::variant<RunAnswer, JobView, JobListAnswer, CancelSelectedAnswer, EndpointsAnswer, ErrorAnswer, MovedAnswer,
    SettingsAnswer, ChangeAnswer, HistoryAnswer, CellAnswer>;

std::string_view nameOf(RunOutcome outcome);

/** @return Whether the call is a retry: its attempt number says that the key was sent before. */
bool isRetry(const CallerCall& call);

/** @return The pool that a call belongs to, or nothing when any daemon can answer it. */
std::optional<std::string> poolOf(const CallerCall& call);

/** @return The shard that serves a call, given the number of shards of its pool. */
std::string shardOf(const CallerCall& call, std::uint32_t shardsOfPool);

} // namespace bulrushloft
