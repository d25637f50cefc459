/** @file soak_history.h What callers and workers have seen, and the promises that it must keep. */
#pragma once

#include "connection/order_type.h"
#include "request/plan_type.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace bulrushloft::soak {

/** Counts of a run. */
struct SoakCounts {
    std::uint64_t m_submitted = 0; ///< Jobs that a client tried to submit.
    std::uint64_t m_accepted = 0; ///< Jobs with an acknowledged submission.
    std::uint64_t m_refused = 0; ///< Jobs of which every attempt was refused as certainly not accepted.
    std::uint64_t m_unknown = 0; ///< Jobs without a final answer.
    std::uint64_t m_cancelled = 0; ///< Jobs with an acknowledged cancellation.
    std::uint64_t m_complete = 0; ///< Jobs that were shown as complete.
    std::uint64_t m_starts = 0; ///< Attempts that workers started.
    std::uint64_t m_lapsed = 0; ///< Attempts that ended with their lease or with the process of their worker.
    std::uint64_t m_stopped = 0; ///< Attempts that were stopped by an order.
    std::uint64_t m_queries = 0; ///< Queries that were answered.
};

/** A job as its client knows it. */
struct JobHistory {
    std::uint32_t m_width = 0; ///< Tasks of each step.
    std::uint32_t m_steps = 1; ///< Steps, one after another.
    bool m_isAccepted = false; ///< A submission was acknowledged.
    bool m_mayBeAccepted = false; ///< An attempt had no answer, or one that leaves the outcome open.
    bool m_isRefused = false; ///< All attempts were refused, and the client has given up.
    bool m_isCancelSent = false; ///< A cancellation was sent.
    TimePoint m_cancelledAt; ///< When a cancellation was acknowledged; zero before.
    TimePoint m_submittedAt; ///< When the client first submitted it.
    TimePoint m_acceptedAt; ///< When a submission was first acknowledged.
    bool m_isComplete = false; ///< The job was shown as complete.
    std::uint32_t m_doneTasks = 0; ///< Tasks that have ended done.
    bool m_hasStarted = false; ///< A task has started.
    std::uint32_t m_runningTasks = 0; ///< Tasks that are running.
    TimePoint m_idleSince; ///< When it was accepted, or its latest attempt ended.
};

/**
 * Records and checks; used from several threads.
 * A violation is described with the promise it breaks: TWICE, LIMIT, UNASKED, ORDER, LOST, REFUSED, CONFIG, RECOVER, QUEUE, DRAIN or EXIT.
 */
class SoakHistory {
public:
    void onSubmit(const std::string& job, std::uint32_t steps, std::uint32_t width);
    void onAccepted(const std::string& job);
    void onOpenOutcome(const std::string& job);
    void onRefused(const std::string& job);
    void onCancelSent(const std::string& job);
    void onCancelled(const std::string& job);
    /** @param isDisturbed Whether a fault is in force or was shortly before, so that an answer may be outdated. */
    void onState(const std::string& job, const std::string& state, bool isDisturbed);
    void onNoSuchJob(const std::string& job);

    void onStart(const std::string& worker, std::size_t limit, const TaskName& task, std::uint32_t attempt);
    void onEnd(const std::string& worker, const TaskName& task, std::uint32_t attempt, AttemptEnd end);
    void onAck(const EndedAttempt& end);

    /** Records a broken promise. */
    void report(const std::string& violation);

    /**
     * Checks that no accepted job has stood still for 3 s with most of the room free.
     * @param slots Number of tasks that all workers can hold.
     * @return A line on the accepted jobs that are open.
     */
    std::string checkStandstill(std::size_t slots);

    /**
     * Checks that callers were served in a time without faults: three quarters of the jobs submitted in it have been accepted.
     * Called when these submissions are answered or given up.
     */
    void checkServed(TimePoint from, TimePoint until);

    /** Checks at the end that every accepted job has completed or was cancelled. */
    void finish();

    std::vector<std::string> violations() const;
    SoakCounts counts() const;
    /** @return Accepted jobs that are neither complete nor cancelled. */
    std::vector<std::string> openJobs() const;

private:
    void reportLocked(const std::string& violation) { m_violations.push_back(violation); }

    mutable std::mutex m_mutex;
    std::map<std::string, JobHistory> m_jobs;
    std::map<TaskName, std::multiset<std::string>> m_workersByRunningTask; ///< Workers that run an attempt of a task; more than one break a promise.
    std::map<std::string, std::size_t> m_runningByWorker;
    std::set<TaskName> m_done; ///< Tasks that have ended done.
    std::set<TaskName> m_acknowledgedDone; ///< Tasks whose end as done was acknowledged; they must not start again.
    std::vector<std::string> m_violations;
    SoakCounts m_counts;
};

} // namespace bulrushloft::soak
