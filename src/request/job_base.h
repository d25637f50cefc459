/** @file job_base.h The struct of a job with its tasks, as the journal describes it. */
#pragma once

#include "process/shard_type.h"
#include "request/job_type.h"

#include <array>
#include <vector>

namespace bulrushloft {

/** Index of a worker's name in the name table of a shard state. */
using WorkerIndex = std::uint32_t;

constexpr WorkerIndex noWorker = UINT32_MAX;

/** One task of a job. */
struct TaskRecord {
    TaskState m_state = TaskState::Waiting; ///< Where it stands.
    bool m_mayHaveRun = false; ///< Whether any attempt may have begun to run.
    std::uint16_t m_failures = 0; ///< Attempts that ran and failed.
    std::uint32_t m_attempt = 0; ///< Number of the latest attempt, 0 before the first.
    WorkerIndex m_worker = noWorker; ///< Worker of the latest attempt.
    Resources m_grant; ///< What the latest attempt was granted.
};

constexpr std::size_t taskStateCount = 7;

/** A job, by replay of the journal. */
struct Job {
    JobNumber m_number; ///< Its number in the shard.
    JobSpec m_spec; ///< What the caller asked for.
    TimePoint m_acceptedWall; ///< Calendar time of acceptance.
    TimePoint m_endedWall; ///< Calendar time at which the last task became final; 0 before.
    Epoch m_acceptedEpoch; ///< Term in which it was accepted.
    bool m_isCancelRequested = false; ///< No further task will be placed.
    bool m_isAbandoned = false; ///< Stopped because it failed on several workers.
    std::vector<TaskRecord> m_tasks; ///< One a task; empty once all tasks are done.
    std::vector<WorkerIndex> m_failedWorkers; ///< Distinct workers on which tasks failed before any was done.
    std::array<std::uint32_t, taskStateCount> m_counts {}; ///< Tasks by state; a cache of m_tasks.
};

} // namespace bulrushloft
