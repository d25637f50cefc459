/** @file scheduler_func.h What happens to a scheduler and what is asked of it. */
#pragma once

#include "core/error_type.h"
#include "process/scheduler/scheduler_base.h"

#include <optional>

namespace bulrushloft::scheduler {

/** Takes the operator's configuration; queues that were dropped go on for their accepted jobs. */
void setCluster(Scheduler& scheduler, const ClusterSettings& cluster);

/**
 * Takes a submission as the store keeps it; a known id changes nothing.
 * @param now Monotonic time.
 */
void acceptJob(Scheduler& scheduler, JobPlan plan, TimePoint now);

/**
 * Takes a submission that is to be recorded with the next batch.
 * @param record The plan as the store keeps it.
 * @return The batch that makes it durable; 0 when it already is.
 */
std::uint64_t acceptAndRecord(Scheduler& scheduler, JobPlan plan, std::string record, TimePoint now);

/** @return The key under which the plan of a job is recorded by the leader. */
std::string planKey(const std::string& job);

/** Cancels a job; one that is not known yet is cancelled as soon as it is. */
void cancelJob(Scheduler& scheduler, const std::string& id, TimePoint now);

/**
 * Restores the progress of a job that an earlier term recorded; the job must be known.
 * @return An error when the record can't be read.
 */
Expected<void> restoreProgress(Scheduler& scheduler, const std::string& id, const std::string& record, TimePoint now);

/** Ends the loading of an earlier term's records; workers that may hold tasks get the bound of their leases. */
void finishRestoring(Scheduler& scheduler, TimePoint now);

/** Takes what a worker announces of itself. */
void updateWorker(Scheduler& scheduler, const WorkerAnnouncement& notice, TimePoint now);

/** A worker is not announced any more. */
void removeWorker(Scheduler& scheduler, const std::string& id, TimePoint now);

/** Takes the answer to a sync. */
void onSyncAnswer(Scheduler& scheduler, const std::string& id, OrderStatus status, const SyncReport& report, TimePoint sentAt, TimePoint now, SchedulerEffects& effects);

/** Takes the answer to a start. */
void onStartAnswer(Scheduler& scheduler, const std::string& worker, const TaskName& name, std::uint32_t attempt, OrderStatus status, TimePoint now, SchedulerEffects& effects);

/** Takes the answer to a stop. */
void onStopAnswer(Scheduler& scheduler, const std::string& worker, const TaskName& name, std::uint32_t attempt, OrderStatus status, TimePoint now, SchedulerEffects& effects);

/** Takes the answer to a call for approvals; none when the call failed. */
void onApprovals(Scheduler& scheduler, const ApprovalAsk& ask, const std::optional<std::vector<Approval>>& approvals, TimePoint now);

/** @return Whether a batch of records is waiting to be written. */
bool hasRecords(const Scheduler& scheduler);

/** @return The records of the present batch, whose number is then taken. */
std::vector<KeyedRecord> takeRecords(Scheduler& scheduler);

/** A batch is durable, and all before it. */
void onRecorded(Scheduler& scheduler, std::uint64_t batch, TimePoint now);

/** Does all that is due: releases, calls, placements, pacing. */
void step(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects);

/** @return Where a job stands as callers may be told, or nothing when it is not known. */
std::optional<JobStage> findStage(const Scheduler& scheduler, const std::string& id);

/** @return Accepted jobs of a queue of which no task has started. */
std::uint32_t countPending(const Scheduler& scheduler, const std::string& queue);

/** Compares the sums and lists that are kept with what they are computed from; for tests and slow checks. */
bool isConsistent(const Scheduler& scheduler);

} // namespace bulrushloft::scheduler
