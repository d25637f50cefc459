/** @file worker_type.h Calls to a worker and its answers; see docs/PLATFORM.md for the protocol. */
#pragma once

#include "core/clock_type.h"
#include "core/shard_type.h"
#include "request/job_type.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** Length of the lease that the adoption itself gives to a worker without a current lease; the first SyncWorkerCall renews it. */
constexpr Duration adoptionLease { 5'000 };

/** A task that runs on a worker or is held there, ready to start. */
struct RunningTask {
    TaskRef m_ref; ///< The attempt.
    bool m_isHeld = false; ///< Whether the task is admitted, but does not start until it is released.
    Resources m_grant; ///< Resources that it may use.
    Resources m_usage; ///< Resources that it used recently; lags behind the actual use.
};

/** A task that has ended on a worker; reported repeatedly until it is acknowledged. */
struct FinishedTask {
    TaskRef m_ref; ///< The attempt.
    TaskResult m_result = TaskResult::Done; ///< Result of the task.
    TaskUsage m_usage; ///< Resources that it used.
};

/** A command to start or to hold a task. */
struct StartTask {
    TaskRef m_ref; ///< The attempt.
    Resources m_grant; ///< Resources that it may use.
    bool m_isHeld = false; ///< Whether to admit the task now, but start it only when it is released.
    std::string m_payload; ///< Description of the work to run.
};

/** A command to stop a task. */
struct StopTask {
    TaskRef m_ref; ///< The attempt.
    bool m_wantsCheckpoint = false; ///< Whether to save a checkpoint first.
};

/** A command to limit the CPU use of a task. */
struct ThrottleTask {
    TaskRef m_ref; ///< The attempt.
    std::int64_t m_cpuMilli = 0; ///< New limit in thousandths of a core.
};

/** Adopts a worker: from now on the worker refuses lower tokens. It answers with its full inventory. */
struct AdoptWorkerCall {
    FencingToken m_token; ///< New token.
};

/** Full inventory of a worker upon adoption; from then on its owner knows its allocations exactly. */
struct AdoptWorkerAnswer {
    std::uint64_t m_boot = 0; ///< Boot id: changes when the worker restarts or its VM is replaced.
    TimePoint m_clock; ///< Time on the worker's clock.
    Resources m_capacity; ///< Total resources.
    bool m_isLeaving = false; ///< Whether the worker is about to shut down and accepts no new work.
    std::vector<RunningTask> m_running; ///< All tasks that run or are held on the worker.
    std::vector<FinishedTask> m_finished; ///< All ended tasks that have not been acknowledged.
};

/** Commands to a worker; each call renews the lease. */
struct SyncWorkerCall {
    FencingToken m_token; ///< Token of the latest adoption.
    std::uint64_t m_boot = 0; ///< Boot id that the worker is expected to have.
    TimePoint m_leaseUntil; ///< End of the lease on the worker's clock. After it the worker stops all tasks and refuses this token.
    std::vector<StartTask> m_starts; ///< Tasks to start or hold.
    std::vector<TaskRef> m_releases; ///< Held tasks to start now.
    std::vector<StopTask> m_stops; ///< Tasks to stop.
    std::vector<ThrottleTask> m_throttles; ///< Tasks to limit.
    std::vector<TaskRef> m_acks; ///< Ended tasks that are acknowledged and need not be reported again.
    Duration m_waitFor; ///< Maximum time that the worker may hold the answer back until a task ends.
};

/** A start command that the worker refused. */
struct RefusedStart {
    TaskRef m_ref; ///< The attempt; it will never run.
    std::string m_reason; ///< Reason for the refusal.
};

/** Answer of a worker to a SyncWorkerCall. */
struct SyncWorkerAnswer {
    TimePoint m_clock; ///< Time on the worker's clock.
    Duration m_waited; ///< Time that the worker held the answer back.
    bool m_isLeaving = false; ///< Whether the worker is about to shut down and accepts no new work.
    std::vector<RefusedStart> m_refused; ///< Start commands of this call that the worker refused.
    std::vector<FinishedTask> m_finished; ///< All ended tasks that have not been acknowledged.
    std::vector<RunningTask> m_usage; ///< Tasks whose resource use changed since the last answer; lags behind the actual use.
};

/** Answer of a worker or runner that refuses a call because of its token. */
struct StaleToken {
    FencingToken m_highest; ///< Highest token seen so far.
};

} // namespace bulrushloft
