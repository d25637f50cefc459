/** @file plan_type.h What a caller asks for: a job made of steps, which are made of equal tasks. */
#pragma once

#include "core/clock_type.h"
#include "request/resources_type.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bulrushloft {

/** A step: equal tasks that become due together. */
struct StepPlan {
    std::uint32_t m_count = 1; ///< Number of tasks.
    Resources m_size; ///< What one task takes.
    Duration m_estimatedRunTime; ///< Estimated run time of one task; rough.
    std::vector<std::uint32_t> m_after; ///< Earlier steps whose tasks must all be done first.
    bool m_isGang = false; ///< The tasks work only together and end together.
    bool m_isRackLocal = false; ///< The tasks are slower when they run on more than one rack.
    bool m_isCheckpointing = false; ///< The tasks save their progress.
    bool m_isSpeculative = false; ///< Copies of a task may run side by side.
    bool m_isLongRunning = false; ///< The tasks run until the job is cancelled.
    bool m_isBestEffort = false; ///< The tasks use the processors that others leave; their cpu is not reserved.
    std::string m_label; ///< A label that the worker must have; empty for none.
    std::string m_dataRack; ///< The rack of the data; empty for none.
    std::uint32_t m_perWorkerLimit = 0; ///< Most tasks of the step on one worker; 0 for no limit.
    std::string m_image; ///< Tasks of one image behave alike.
    Duration m_tailLatencyTarget; ///< Target for the tail of the response times of a serving task; 0 for none.
    std::uint32_t m_unavailableLimit = 0; ///< Most lasting tasks that the scheduler may take down at a time; 0 for no limit.
};

/** A job as its caller describes it. */
struct JobPlan {
    std::string m_id; ///< Chosen by the caller; a repeated id names the same job.
    std::string m_queue; ///< Name of the queue.
    std::string m_pool; ///< Pool of workers that the queue named at submission.
    std::string m_payload; ///< Passed to the workers unread.
    std::vector<StepPlan> m_steps; ///< At least one.
    TimePoint m_firstStart; ///< Calendar time of the first occurrence.
    Duration m_period; ///< Time between occurrences.
    std::uint32_t m_occurrenceCount = 0; ///< Number of occurrences; 0 for a job that runs once, at once.
    TimePoint m_submittedAt; ///< Calendar time of acceptance.
};

/** Names one task. */
struct TaskName {
    std::string m_job; ///< Id of the job.
    std::uint32_t m_occurrence = 0; ///< Number of the occurrence, from 0.
    std::uint32_t m_step = 0; ///< Index of the step.
    std::uint32_t m_index = 0; ///< Index of the task in its step.

    auto operator<=>(const TaskName&) const = default;
};

constexpr std::size_t maxPayloadBytes = 4'000; ///< Bytes.
constexpr std::size_t maxTasksPerJob = 20'000;

} // namespace bulrushloft
