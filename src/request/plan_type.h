/** @file plan_type.h Description of a job: a list of steps, each made of identical tasks. */
#pragma once

#include "core/clock_type.h"
#include "request/queue_policy_type.h"
#include "request/resources_type.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bulrushloft {

/** A step: identical tasks that become ready to run together. */
struct StepPlan {
    std::uint32_t m_count = 1; ///< Number of tasks.
    Resources m_size; ///< Resources that one task needs.
    Duration m_estimatedRunTime; ///< The caller's rough estimate of the run time of one task.
    std::vector<std::uint32_t> m_predecessors; ///< Indices of the earlier steps that this step depends on; all their tasks must be done first.
    bool m_isGang = false; ///< Whether the tasks run as a gang: all run together and end together.
    bool m_isRackLocal = false; ///< Whether the tasks run slower when they are spread over several racks.
    bool m_isCheckpointing = false; ///< Whether the tasks save checkpoints of their progress.
    bool m_isSpeculative = false; ///< Whether a second copy of a running task may be started.
    bool m_isLongRunning = false; ///< Whether the tasks run until the job is cancelled.
    bool m_isBestEffort = false; ///< Whether the tasks use only CPU time that other tasks leave idle; no CPU is reserved for them.
    std::string m_label; ///< Label that the worker must have; empty for any worker.
    std::string m_dataRack; ///< Rack that holds the input data; empty for none.
    std::uint32_t m_perWorkerLimit = 0; ///< Maximum number of tasks of the step on one worker; 0 for no limit.
    std::string m_image; ///< Image that the tasks run; tasks of one image behave alike.
    Duration m_tailLatencyTarget; ///< Target for the tail latency of a serving task; 0 for none.
    std::uint32_t m_unavailableLimit = 0; ///< Maximum number of long-running tasks that the scheduler may take down at the same time; 0 for no limit.
};

/** A job, as described by its caller. */
struct JobPlan {
    std::string m_id; ///< Id chosen by the caller, 16 hexadecimal digits; a repeated id refers to the same job.
    std::string m_queue; ///< Name of the queue.
    QueuePolicy m_policy; ///< Policy of the queue in the configuration by which the job was submitted; a later one counts, see scheduler::KnownQueue.
    std::string m_payload; ///< Opaque data that is passed to the workers.
    std::vector<StepPlan> m_steps; ///< Steps of the job; at least one.
    TimePoint m_firstStart; ///< Wall-clock time of the first occurrence.
    Duration m_period; ///< Time between occurrences.
    std::uint32_t m_occurrenceCount = 0; ///< Number of occurrences of a periodic job; 0 for a job that runs once, immediately.
    TimePoint m_submittedAt; ///< Wall-clock time of acceptance.
    std::string m_customer; ///< Name of the customer that submitted the job; empty for none.
};

/** Identifies one task. */
struct TaskName {
    std::string m_job; ///< Id of the job.
    std::uint32_t m_occurrence = 0; ///< Number of the occurrence, from 0.
    std::uint32_t m_step = 0; ///< Index of the step.
    std::uint32_t m_index = 0; ///< Index of the task within its step.

    auto operator<=>(const TaskName&) const = default;
};

constexpr std::size_t maxPayloadBytes = 4'000; ///< Maximum size of JobPlan::m_payload.
constexpr std::int64_t maxTaskResource = 1'000'000'000; ///< Maximum amount of a resource that a task requests.
constexpr Duration maxPlanTime { 100'000'000'000'000 }; ///< Latest time and longest duration in a plan, in ms; about the year 5138.
constexpr std::size_t maxTasksPerJob = 20'000; ///< Maximum number of tasks of a JobPlan, over all its steps.

} // namespace bulrushloft
