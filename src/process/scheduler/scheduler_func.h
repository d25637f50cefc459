/** @file scheduler_func.h Interface of the scheduler: events that it handles and queries that it answers. */
#pragma once

#include "core/error_type.h"
#include "process/scheduler/scheduler_base.h"

#include <map>
#include <optional>

namespace bulrushloft::scheduler {

/** Applies the operator's configuration; removed queues keep their settings for jobs already accepted. */
void setCluster(Scheduler& scheduler, const ClusterSettings& cluster);

/**
 * Accepts a submission that the store already holds; does nothing when the id is known.
 * @param now Monotonic time.
 */
void acceptJob(Scheduler& scheduler, JobPlan plan, TimePoint now);

/**
 * Accepts a submission that is to be recorded with the next batch.
 * @param record The encoded plan, as the store keeps it.
 * @return The batch that makes the plan durable; 0 when it already is durable, also when only the job's progress has been read: then a VM has stored the plan.
 */
std::uint64_t acceptAndRecord(Scheduler& scheduler, JobPlan plan, std::string record, TimePoint now);

/** Accepts a submission that an earlier leader has recorded itself. */
void restorePlan(Scheduler& scheduler, JobPlan plan, TimePoint now);

/** @return The key under which the leader records the plan of a job. */
std::string planKey(const std::string& job);

/** Cancels a job; an unknown job is cancelled as soon as its submission is accepted. */
void cancelJob(Scheduler& scheduler, const std::string& id, TimePoint now);

/**
 * Restores the progress of a job that an earlier term recorded. While submissions are unread, the record of an unknown job is kept until
 * the job is accepted.
 * @return An error when the record can't be decoded, or the job is unknown and all submissions have been read.
 */
Expected<void> restoreProgress(Scheduler& scheduler, const std::string& id, const std::string& record, TimePoint now);

/** @return Whether a progress record is that of a job that was held, so that nothing of it was known but its plan. */
bool isHeldRecord(const std::string& record);

/**
 * Restores records of earlier terms that could be read only after this term had accepted jobs. Jobs that are held get their progress.
 * @param plans Plans that earlier leaders have recorded. @param progress Progress records by job id.
 */
void restoreLate(Scheduler& scheduler, std::vector<JobPlan> plans, const std::map<std::string, std::string>& progress, TimePoint now);

/** Has the plans and the progress of all jobs recorded with the next batch. */
void markAllDirty(Scheduler& scheduler);

/**
 * Ends the loading of an earlier term's records; sets the time by which earlier leases of workers that may hold tasks have run out.
 * @param earlierLeadersStoppedAt By then the leaders of earlier terms have stopped renewing leases.
 */
void finishRestoring(Scheduler& scheduler, TimePoint earlierLeadersStoppedAt, TimePoint now);

/** Notes that the leaders of earlier terms have stopped renewing leases at an earlier time than was known when the loading ended. */
void boundEarlierLeases(Scheduler& scheduler, TimePoint earlierLeadersStoppedAt);

/** Ends the time in which cancellations are unread: releases the jobs held. Submissions may still be unread. */
void finishCancellations(Scheduler& scheduler, TimePoint now);

/** Ends the time in which submissions are unread: releases the jobs held, acknowledges the ends of jobs that don't exist and drops the progress of expired ones. */
void finishSubmissions(Scheduler& scheduler, TimePoint now);

/** Adds or updates a worker from its announcement. */
void updateWorker(Scheduler& scheduler, const WorkerAnnouncement& announcement, TimePoint now);

/** Marks a worker as no longer announced. */
void removeWorker(Scheduler& scheduler, const std::string& id, TimePoint now);

/**
 * Handles the answer to a sync. A report that comes late, after later syncs were sent, is used unless a later one has been used already.
 * @param sentAt Time at which the sync was sent; its answer may omit attempts that were confirmed later.
 */
void onSyncAnswer(Scheduler& scheduler, const std::string& id, OrderStatus status, const SyncReport& report, TimePoint sentAt, TimePoint now, SchedulerEffects& effects);

/** Handles the answer to a start. */
void onStartAnswer(Scheduler& scheduler, const std::string& worker, const TaskName& name, std::uint32_t attempt, const StartAnswer& answer, TimePoint now, SchedulerEffects& effects);

/** Handles the answer to a stop. */
void onStopAnswer(Scheduler& scheduler, const std::string& worker, const TaskName& name, std::uint32_t attempt, OrderStatus status, TimePoint now, SchedulerEffects& effects);

/**
 * Handles the answer to an approval request.
 * @param approvals Approved workers with their tickets; std::nullopt when the request failed.
 */
void onApprovals(Scheduler& scheduler, const ApprovalRequest& request, const std::optional<std::vector<Approval>>& approvals, TimePoint now);

/** @return Whether there are records to write. */
bool hasRecords(const Scheduler& scheduler);

/** Closes the current batch and begins the next one. @return The records of the closed batch. */
std::vector<KeyedRecord> takeRecords(Scheduler& scheduler);

/**
 * @return Records of the whole present state, also of changes that are not in a batch yet. In an empty partition they replace all that
 * the batches before Scheduler::m_nextBatch have written.
 */
std::vector<KeyedRecord> snapshotRecords(const Scheduler& scheduler);

/** Handles the store's confirmation that a batch and all earlier ones are durable. */
void onRecorded(Scheduler& scheduler, std::uint64_t batch, TimePoint now);

/** Does the work that is due: releases, calls, placements, checks for stalled tasks, pacing and expiry of ended jobs. */
void step(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects);

/** Notes that the topic of jobs holds a submission or cancellation of a job, which has to be deleted when the job expires. @param end Offset after the record. */
void noteStored(Scheduler& scheduler, const std::string& id, std::uint64_t end);

/**
 * Forgets an expired job and drops its progress, once its submission and cancellation are deleted from the topic of jobs. Should a copy
 * have been stored since, or the job have changed, it is listed in Scheduler::m_expiredJobs once more.
 * @param deletedEnd Offset after the deletion.
 */
void forgetJob(Scheduler& scheduler, const std::string& id, std::uint64_t deletedEnd);

/** @return The durable stage of a job, as it may be reported to callers; nothing when the job is unknown. */
std::optional<JobStage> findStage(const Scheduler& scheduler, const std::string& id);

/** @return Number of accepted jobs of a queue without a started task. */
std::uint32_t countPending(const Scheduler& scheduler, const std::string& queue);

/** Checks cached sums and lists against the state that they are derived from; for tests and slow checks. */
bool isConsistent(const Scheduler& scheduler);

} // namespace bulrushloft::scheduler
