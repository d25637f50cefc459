/** @file caller_type.h What callers ask and what they are answered. */
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

/** Names a caller who waits for an answer at one daemon. */
using CallerToken = StrongId<struct CallerTokenTag>;

/** Runs a request on a runner of a service and answers with what the runner said. */
struct RunCall {
    std::string m_service; ///< The service, which is a pool of runners.
    std::string m_target; ///< What the runner is asked to do.
    std::string m_team; ///< Team that is charged.
    std::string m_workClass; ///< Class of work.
    std::string m_key; ///< Idempotency key; the same key names the same request.
    bool m_isIdempotent = false; ///< Whether it may run again after it may have run.
    std::uint32_t m_attempt = 1; ///< 1 when the caller has never sent this key before.
    std::optional<Duration> m_age; ///< Time since the caller first sent this key, if the caller says.
    Duration m_deadline { 30'000 }; ///< Time that is left for the answer.
    SharedBody m_body; ///< Passed to the runner unread.
};

/** Submits a job. */
struct SubmitCall {
    JobSpec m_spec; ///< What is to be run.
    std::uint32_t m_attempt = 1; ///< 1 when the caller has never sent this key before.
};

/** What a status call waits for. */
enum class WaitUntil : std::uint8_t {
    Now, ///< Answers at once.
    Started, ///< Until every task has started or ended.
    Ended, ///< Until the job has ended.
};

/** Asks where a job stands. */
struct StatusCall {
    JobId m_job; ///< The job.
    WaitUntil m_until = WaitUntil::Now; ///< What to wait for.
    Duration m_maxWait; ///< The longest wait.
};

/** Cancels one job. */
struct CancelCall {
    JobId m_job; ///< The job.
};

/** Chooses jobs; an empty field chooses all. */
struct JobSelector {
    std::string m_pool; ///< Pool of workers.
    std::string m_team; ///< Team.
    std::string m_name; ///< Name of the program.
    std::string m_state; ///< Name of a job state.
};

/** Lists the jobs of a shard. */
struct ListCall {
    std::string m_shard; ///< The shard.
    JobSelector m_selector; ///< Which jobs.
    std::uint32_t m_limit = 1000; ///< The newest so many.
};

/** Cancels all jobs of a shard that a selector chooses. */
struct CancelSelectedCall {
    std::string m_shard; ///< The shard.
    JobSelector m_selector; ///< Which jobs; the team is required.
};

/** Lists workers and runners of a shard as its owner sees them. */
struct EndpointsCall {
    std::string m_shard; ///< The shard.
};

/** Shows subtrees of the settings in force. */
struct SettingsGetCall {
    std::string m_path; ///< One subtree, or empty for all.
};

/** Publishes a change of one subtree. */
struct SettingsChangeCall {
    SettingsChange m_change; ///< The change.
};

/** Shows the latest changes. */
struct SettingsHistoryCall {
    std::string m_path; ///< One subtree, or empty for all.
    std::uint32_t m_limit = 50; ///< The newest so many.
};

/** Shows the daemons and who owns which shard, as the asked daemon sees it. */
struct CellCall { };

using CallerCall = std::variant<RunCall, SubmitCall, StatusCall, CancelCall, ListCall, CancelSelectedCall, EndpointsCall,
    SettingsGetCall, SettingsChangeCall, SettingsHistoryCall, CellCall>;

/** What is certain about a piece of work that was not answered with a result. */
enum class RunOutcome : std::uint8_t {
    Done, ///< Ran to its end; the answer is attached.
    AnswerLost, ///< Ran to its end; its answer can't be had any more.
    Failed, ///< Ran and reported a failure, which is attached.
    NotRun, ///< Did not run and never will.
    Unknown, ///< May have run.
};

/** Answer to a run call. */
struct RunAnswer {
    RunOutcome m_outcome = RunOutcome::Unknown; ///< What is certain.
    unsigned m_serviceStatus = 0; ///< Status that the service gave.
    SharedBody m_body; ///< Body that the service gave.
    Error m_error; ///< Why there is no result.
    std::string m_runner; ///< Runner that it ran on, if known.
};

/** Where one task stands, for callers. */
struct TaskView {
    std::uint32_t m_task = 0; ///< Index of the task.
    TaskState m_state = TaskState::Waiting; ///< Where it stands.
    std::uint32_t m_attempt = 0; ///< Latest attempt.
    std::uint32_t m_failures = 0; ///< Attempts that failed.
    std::string m_worker; ///< Worker of the latest attempt.
    bool m_isRunning = false; ///< The worker has confirmed that it runs.
};

/** Where a job stands, for callers. */
struct JobView {
    JobId m_id; ///< The job.
    JobSpec m_spec; ///< What was asked for.
    JobState m_state = JobState::Waiting; ///< Where it stands.
    std::array<std::uint32_t, taskStateCount> m_counts {}; ///< Tasks by state.
    std::uint32_t m_runningCount = 0; ///< Tasks that a worker has confirmed to run.
    bool m_isCancelRequested = false; ///< A cancellation is in force.
    std::string m_reason; ///< Why it waits or how it ended, in words.
    TimePoint m_acceptedWall; ///< Calendar time of acceptance.
    TimePoint m_endedWall; ///< Calendar time of the end, 0 before.
    std::vector<TaskView> m_tasks; ///< Some tasks, those that have not ended first.
};

/** Jobs of one shard. */
struct JobListAnswer {
    std::vector<JobView> m_jobs; ///< The newest first, without their tasks.
};

/** Number of jobs that a cancellation reached. */
struct CancelSelectedAnswer {
    std::uint32_t m_count = 0; ///< Jobs whose cancellation is recorded.
};

/** A worker or runner as its owner sees it. */
struct EndpointView {
    std::string m_name; ///< Name of its VM.
    std::string m_kind; ///< "worker" or "runner".
    std::string m_shard; ///< Its shard.
    std::string m_zone; ///< Its zone.
    std::string m_rack; ///< Its rack.
    std::string m_link; ///< Whether it is adopted.
    std::string m_health; ///< live, leaving, held-out or drained.
    Resources m_capacity; ///< What a worker has.
    Resources m_granted; ///< What is granted on a worker.
    std::uint32_t m_slots = 0; ///< Slots of a runner.
    std::uint32_t m_inFlight = 0; ///< Tasks on a worker, dispatches on a runner.
    std::int64_t m_serviceMs = 0; ///< Measured service time of a runner in milliseconds.
};

/** Workers and runners of a shard. */
struct EndpointsAnswer {
    std::vector<EndpointView> m_endpoints; ///< All of them.
};

/** An error, and whether the work it was about is certain not to have been taken on. */
struct ErrorAnswer {
    Error m_error; ///< What went wrong and what to do.
    RunOutcome m_outcome = RunOutcome::NotRun; ///< NotRun: nothing was accepted; Unknown: it may have been.
    Duration m_retryAfter; ///< When another try may do better, 0 when it won't.
};

/** The daemon asked is not the owner (any more); the call goes to the owner. */
struct MovedAnswer {
    bool m_mayHaveRun = false; ///< An idempotent attempt whose answer was lost may still be running.
};

/** One subtree, for operators. */
struct SubtreeView {
    std::string m_path; ///< The subtree.
    Subtree m_subtree; ///< Its contents and origin.
};

/** Subtrees in force at the asked daemon. */
struct SettingsAnswer {
    std::uint64_t m_version = 0; ///< Version in force here.
    std::uint64_t m_minVersion = 0; ///< Lowest version in force at any living daemon.
    std::vector<SubtreeView> m_subtrees; ///< The subtrees.
};

/** What became of a change. */
struct ChangeAnswer {
    ChangeRecord m_record; ///< The change and its verdict.
    Subtree m_inForce; ///< The subtree in force now.
    std::string m_diff; ///< From what is in force to what was wanted.
};

/** The latest changes. */
struct HistoryAnswer {
    std::vector<ChangeRecord> m_changes; ///< The newest first.
};

/** One daemon, for operators. */
struct MemberView {
    std::string m_name; ///< Name of its VM.
    std::string m_address; ///< Where it listens.
    std::string m_zone; ///< Its zone.
    std::string m_state; ///< starting, ready, leaving or dead.
    std::uint64_t m_instance = 0; ///< Its process.
    std::uint64_t m_settingsVersion = 0; ///< Version of the settings that it has in force.
    std::int64_t m_heartbeatAgeMs = 0; ///< Time since its latest heartbeat in milliseconds.
};

/** One shard, for operators. */
struct ShardView {
    std::string m_name; ///< The shard.
    std::string m_owner; ///< Name of the owner's VM, empty when there is none.
    std::string m_address; ///< Where the owner listens.
    std::uint64_t m_epoch = 0; ///< The term.
};

/** The cell as the asked daemon sees it. */
struct CellAnswer {
    std::string m_member; ///< The asked daemon.
    std::vector<MemberView> m_members; ///< All daemons.
    std::vector<ShardView> m_shards; ///< All shards.
};

using CallerAnswer = std::variant<RunAnswer, JobView, JobListAnswer, CancelSelectedAnswer, EndpointsAnswer, ErrorAnswer, MovedAnswer,
    SettingsAnswer, ChangeAnswer, HistoryAnswer, CellAnswer>;

std::string_view nameOf(RunOutcome outcome);

/** @return Whether the call says that its key was sent before. */
bool isRetry(const CallerCall& call);

/** @return The pool that a call is about, or nothing when any daemon may answer it. */
std::optional<std::string> poolOf(const CallerCall& call);

/** @return The shard that serves a call, given the number of shards of its pool. */
std::string shardOf(const CallerCall& call, std::uint32_t shardsOfPool);

} // namespace bulrushloft
