/** @file worker_type.h Calls to a worker and its answers; see docs/PLATFORM.md for the protocol. */
#pragma once

#include "core/clock_type.h"
#include "process/shard_type.h"
#include "request/job_type.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** A worker that is adopted without a running lease obeys the new token for this long before the first command. */
constexpr Duration adoptionLease { 5'000 };

/** A task that runs on a worker or is held ready there. */
struct RunningTask {
    TaskRef m_ref; ///< The attempt.
    bool m_isHeld = false; ///< Admitted, but not begun until it is released.
    Resources m_grant; ///< What it may use.
    Resources m_usage; ///< What it used lately; lags.
};

/** A task that ended on a worker; told again until it is acknowledged. */
struct FinishedTask {
    TaskRef m_ref; ///< The attempt.
    TaskResult m_result = TaskResult::Done; ///< How it ended.
    TaskUsage m_usage; ///< What it used.
};

/** A command to start or to hold one task. */
struct StartTask {
    TaskRef m_ref; ///< The attempt.
    Resources m_grant; ///< What it may use.
    bool m_isHeld = false; ///< Admit it now, begin when it is released.
    std::string m_payload; ///< What to run.
};

/** A command to stop one task. */
struct StopTask {
    TaskRef m_ref; ///< The attempt.
    bool m_wantsCheckpoint = false; ///< Save its state first.
};

/** A command to slow one task down. */
struct ThrottleTask {
    TaskRef m_ref; ///< The attempt.
    std::int64_t m_cpuMilli = 0; ///< The most it may use from now on.
};

/** Takes a worker over: the worker refuses lower tokens from now on and tells all it knows. */
struct AdoptWorkerCall {
    FencingToken m_token; ///< The new token.
};

/** What a worker tells when it is adopted; from then on its owner's ledger is exact. */
struct AdoptWorkerAnswer {
    std::uint64_t m_boot = 0; ///< Names this run of the worker; a replaced VM has another one.
    TimePoint m_clock; ///< The worker's own clock.
    Resources m_capacity; ///< What it has.
    bool m_isLeaving = false; ///< It will go away and wants no new work.
    std::vector<RunningTask> m_running; ///< All tasks on it.
    std::vector<FinishedTask> m_finished; ///< All ends that are not acknowledged.
};

/** Commands to a worker; each call renews the lease. */
struct SyncWorkerCall {
    FencingToken m_token; ///< The token of the latest adoption.
    std::uint64_t m_boot = 0; ///< The run of the worker that is meant.
    TimePoint m_leaseUntil; ///< On the worker's clock; past it the worker stops everything and obeys this token no more.
    std::vector<StartTask> m_starts; ///< Tasks to start or hold.
    std::vector<TaskRef> m_releases; ///< Held tasks that may begin.
    std::vector<StopTask> m_stops; ///< Tasks to stop.
    std::vector<ThrottleTask> m_throttles; ///< Tasks to slow down.
    std::vector<TaskRef> m_acks; ///< Ends that need not be told again.
    Duration m_waitFor; ///< How long the worker may wait for an end before it answers.
};

/** A start that the worker refused. */
struct RefusedStart {
    TaskRef m_ref; ///< The attempt, which will never run.
    std::string m_reason; ///< Why.
};

/** A worker's answer to commands. */
struct SyncWorkerAnswer {
    TimePoint m_clock; ///< The worker's own clock.
    Duration m_waited; ///< How long it waited before it answered.
    bool m_isLeaving = false; ///< It will go away and wants no new work.
    std::vector<RefusedStart> m_refused; ///< Starts of this call that will never run.
    std::vector<FinishedTask> m_finished; ///< All ends that are not acknowledged.
    std::vector<RunningTask> m_usage; ///< Tasks whose use changed since the last answer; lags.
};

/** The reason a worker or runner gives when it refuses a token. */
struct StaleToken {
    FencingToken m_highest; ///< The highest token it has seen.
};

} // namespace bulrushloft
