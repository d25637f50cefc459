/** @file job_base.h State of a job and its tasks, as replayed from the journal. */
#pragma once

#include "core/shard_type.h"
#include "request/job_type.h"

#include <array>
#include <vector>

namespace bulrushloft {

/** Index of a worker's name in the name table of a shard state. */
using WorkerIndex = std::uint32_t;

constexpr WorkerIndex noWorker = UINT32_MAX;

/** One task of a job. */
struct TaskRecord {
    TaskState m_state = TaskState::Waiting; ///< Current state.
    bool m_mayHaveRun = false; ///< Whether any attempt may have started to run.
    std::uint16_t m_failures = 0; ///< Number of attempts that ran and failed.
    std::uint32_t m_attempt = 0; ///< Number of the latest attempt; 0 before the first.
    WorkerIndex m_worker = noWorker; ///< Worker of the latest attempt; noWorker before the first.
    Resources m_grant; ///< Resources granted to the latest attempt.
};

constexpr std::size_t taskStateCount = 7;

/** A job, as replayed from the journal. */
struct Job {
    JobNumber m_number; ///< Number within the shard.
    JobSpec m_spec; ///< Specification given by the caller.
    TimePoint m_acceptedWall; ///< Wall-clock time of acceptance.
    TimePoint m_endedWall; ///< Wall-clock time at which the last task reached a final state; 0 until then.
    Epoch m_acceptedEpoch; ///< Term in which the job was accepted.
    bool m_isCancelRequested = false; ///< Whether cancellation was requested; no further tasks are placed.
    bool m_isAbandoned = false; ///< Whether the job was abandoned because tasks failed on several workers, or because a task of a gang ended as Failed or Unknown; its waiting tasks are ended.
    std::vector<TaskRecord> m_tasks; ///< One record per task; empty once all tasks are done.
    std::vector<WorkerIndex> m_failedWorkers; ///< Distinct workers on which tasks failed before any task was done; placement avoids them where possible.
    std::array<std::uint32_t, taskStateCount> m_counts {}; ///< Number of tasks in each state; a cache of m_tasks.
};

} // namespace bulrushloft
