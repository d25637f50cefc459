/** @file owner_base.h The owner of a shard: what it decides with during one term. */
#pragma once

#include "connection/log_type.h"
#include "process/effect_type.h"
#include "process/runner_base.h"
#include "process/shard_state_base.h"
#include "process/worker_base.h"
#include "request/run_base.h"
#include "version/policy_type.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace bulrushloft {

/** Times of an owner that are not for operators to change. */
struct OwnerOptions {
    InstanceId m_instance; ///< This process.
    std::string m_member; ///< Name of this VM.
    Duration m_callTimeout { 3'000 }; ///< Longest time for an answer to a command.
    Duration m_leaseMargin { 1'000 }; ///< Allows for clocks that run at slightly different speeds.
    Duration m_logSlowThreshold { 1'500 }; ///< An append out for longer makes new acceptances be refused at once.
    Duration m_unjournaledStartAfter { 10'000 }; ///< An append out for longer allows idempotent tasks to start unjournaled.
    Duration m_maxReadAge { 1'000 }; ///< While suspect, dispatches need a read of the stream not older than this.
    Duration m_dispatchValidity { 1'500 }; ///< A dispatch that arrives later than this is refused by the runner.
    Duration m_answerRetention { 60'000 }; ///< How long whole answers are kept for retries.
    std::size_t m_answerRetentionBytes = 16 * 1024 * 1024; ///< How many bytes of whole answers are kept.
    std::uint64_t m_seed = 1; ///< Seed of random choices.
    Duration m_wallOffset; ///< What the calendar clock is ahead of the monotonic one.
};

/** A former owner that may not know yet that its term is over. */
struct FormerOwnerState {
    FormerOwner m_former; ///< Who it is.
    bool m_isStopped = false; ///< Proved to have stopped renewing leases and dispatching.
};

/** A caller's wait for a change of a job. */
struct JobWaiter {
    CallerToken m_caller; ///< Who waits.
    JobNumber m_job; ///< For which job.
    WaitUntil m_until = WaitUntil::Ended; ///< For what.
    TimePoint m_deadline; ///< Monotonic time at which the present state is told.
};

/** A submission whose record is not yet confirmed. */
struct PendingAccept {
    JobSpec m_spec; ///< What was asked for.
    std::vector<CallerToken> m_callers; ///< Who waits.
    TimePoint m_deadline; ///< Monotonic time at which "unknown" is told.
};

/** An append that is out or unanswered. */
struct PendingAppend {
    JournalEntry m_entry; ///< What was appended.
    std::string m_bytes; ///< The same, encoded; repeated to the letter.
    TimePoint m_firstSentAt; ///< Monotonic time of the first try.
    bool m_isInFlight = false; ///< A call is out.
    TimePoint m_retryAt; ///< Monotonic time of the next try.
    std::uint64_t m_ticket = 0; ///< Ticket of the latest try.
};

/** A job with tasks that wait for a worker. */
struct QueuedJob {
    std::deque<std::uint32_t> m_tasks; ///< Indexes of the waiting tasks.
    TimePoint m_waitingSince; ///< Monotonic time since which it has waited.
    bool m_isBlockedByTerm = false; ///< Accepted in an earlier term; see canRunElsewhere().
};

/** Sums of what teams hold and want. */
struct TeamUsage {
    Resources m_granted; ///< Sum of the grants of its attempts.
    std::int64_t m_waitingTasks = 0; ///< Tasks that wait.
    std::int64_t m_requests = 0; ///< Requests that wait or run.
};

/** Queued requests of one priority. */
struct RequestLane {
    std::map<std::string, std::deque<std::string>> m_byTeam; ///< Keys in order of arrival, by team.
};

/** A dispatch that may be running. */
struct OpenDispatch {
    std::string m_key; ///< Key of its request.
    std::size_t m_runner = 0; ///< Index of the runner.
    std::uint64_t m_boot = 0; ///< Run of the runner that it went to.
    bool m_isInFlight = false; ///< The call is out; its answer tells the end.
    bool m_isInherited = false; ///< Found in the journal as an intent of an earlier term.
    bool m_holdsSlot = false; ///< Counted in the runner's reserved slots.
};

/** An attempt that was told as not run; an older one that arrives late must not run any more. */
struct RefusedAttempt {
    std::string m_key; ///< Key of the request.
    TimePoint m_refusedAt; ///< Monotonic time of the refusal.
};

/** Reading of the own stream. */
struct StreamReader {
    bool m_isInFlight = false; ///< A read is out.
    std::uint64_t m_ticket = 0; ///< Ticket of the latest read.
    TimePoint m_nextReadAt; ///< Monotonic time of the next read that is due without a cause.
    bool m_isReadDue = false; ///< There is a cause to read now.
};

/** Counters that metrics show. */
struct OwnerCounters {
    std::uint64_t m_placements = 0; ///< Attempts placed.
    std::uint64_t m_dispatches = 0; ///< Requests dispatched.
    std::uint64_t m_appends = 0; ///< Appends sent, repeats included.
    std::uint64_t m_shed = 0; ///< Calls refused because of a limit.
    std::uint64_t m_preemptions = 0; ///< Tasks stopped for others.
    std::uint64_t m_orphans = 0; ///< Tasks found that the journal did not want.
};

/** What a measured span covers. */
enum class ObservedSpan : std::uint8_t {
    TaskWait, ///< From acceptance, or from the loss of the last attempt, to the confirmed start.
    TaskRun, ///< From the confirmed start to the end.
    RequestWait, ///< From the arrival of a request to its dispatch.
    RequestRun, ///< From the dispatch of a request to its answer.
    Decision, ///< One placement decision.
};

/** A measured span for the histograms. */
struct Observation {
    ObservedSpan m_span = ObservedSpan::TaskWait; ///< What was measured.
    std::string m_team; ///< Team, empty for decision.
    std::string m_workClass; ///< Class of work.
    double m_seconds = 0; ///< The span in seconds.
};

/** The owner of a shard. */
struct ShardOwner {
    OwnerOptions m_options; ///< Times and names.
    ShardState m_state; ///< What the journal says.
    SharedPolicy m_policy; ///< Settings in force.
    std::string m_pool; ///< Pool of the shard.
    std::uint32_t m_poolShards = 1; ///< Shards of the pool.
    std::mt19937_64 m_random; ///< Random choices.
    bool m_isTermOver = false; ///< Another term has begun; nothing may be sent any more.
    bool m_isReleasing = false; ///< No new decision; the release is being appended.
    TimePoint m_ownedSince; ///< Monotonic time at which the term was confirmed.
    TimePoint m_claimLogTime; ///< When the log took the claim, on the log's clock.

    // Former owners that some endpoint may still obey.
    std::vector<FormerOwnerState> m_formers; ///< Empty once every endpoint obeys this term.
    bool m_mayHaveUnjournaledTasks = false; ///< One of them may have started idempotent tasks without a record.
    bool m_hasUnjournaledWindow = false; ///< One of those that have stopped had time to do so.
    bool m_isFenceQueued = false; ///< The record that they are fenced is on its way.

    // Contact with the other daemons.
    bool m_mayBeSuperseded = false; ///< A later term has been heard of; the journal is yet to be read.
    bool m_isFreshReadNeeded = false; ///< The read that tells has yet to be sent.
    bool m_hasSilentPeer = false; ///< Another daemon is silent and might have claimed the shard unheard.
    bool m_hasMajority = true; ///< More than half of the known daemons are heard.
    TimePoint m_lastFullReadAt; ///< Monotonic time at which the latest read that reached the end of the stream was sent.
    TimePoint m_readSentAt; ///< Monotonic time at which the latest read was sent.
    TimePoint m_nextKeepaliveAt; ///< Monotonic time of the next empty entry while suspect.

    TimePoint m_nextExpiryCheckAt; ///< Monotonic time of the next look for what may be forgotten.

    // Journal.
    std::vector<Record> m_outbox; ///< Records not yet appended.
    std::optional<PendingAppend> m_append; ///< The one append that is out.
    std::uint64_t m_lastSequence = 0; ///< Of the latest entry.
    std::uint64_t m_lastTicket = 0; ///< Of the latest append or read.
    TimePoint m_nextAppendAt; ///< Monotonic time of the next append.
    TimePoint m_lastConfirmedAt; ///< Monotonic time at which an append was last confirmed.
    StreamReader m_reader; ///< Reading of the own stream.

    // Workers and tasks.
    std::vector<Worker> m_workers; ///< Pool of workers; an index stays valid for the term.
    std::unordered_map<std::string, std::size_t> m_workerIndex; ///< By name.
    std::vector<std::size_t> m_dueWorkers; ///< Workers that have something to be sent now.
    TimePoint m_nextWorkerScanAt; ///< Monotonic time of the next look at all workers' timers.
    std::unordered_map<TaskRef, TaskRun> m_runs; ///< Attempts on workers or on their way.
    std::map<JobNumber, QueuedJob> m_queue; ///< Jobs with waiting tasks.
    std::map<JobNumber, std::uint32_t> m_closingRecords; ///< Records on their way that may end waiting tasks, by job.
    std::map<std::string, TeamUsage> m_teams; ///< What teams hold; a cache.
    bool m_isScheduleDue = false; ///< Something changed since the last pass.
    TimePoint m_pausedUntil; ///< Monotonic time until which nothing new is begun, after a pause of the process.
    TimePoint m_nextScheduleAt; ///< Monotonic time of the next pass.
    TimePoint m_nextTimersAt; ///< Monotonic time of the next look at deadlines.
    std::unordered_map<std::string, PendingAccept> m_pendingAccepts; ///< Submissions under way, by key.
    std::vector<JobWaiter> m_jobWaiters; ///< Callers that wait for jobs.

    // Runners and requests.
    std::vector<Runner> m_runners; ///< Pool of runners; an index stays valid for the term.
    std::unordered_map<std::string, std::size_t> m_runnerIndex; ///< By name.
    std::unordered_map<std::string, RequestRun> m_requests; ///< Requests by key.
    std::map<std::int64_t, RequestLane, std::greater<>> m_requestLanes; ///< Queued requests, by priority, the highest first.
    std::unordered_map<std::string, std::uint32_t> m_refusedAttempts; ///< Highest attempt that was told as not run, by key.
    std::deque<RefusedAttempt> m_refusalsByAge; ///< The same by age, the oldest first.
    std::multimap<TimePoint, std::string> m_requestTimers; ///< Keys by the time at which they are looked at again.
    std::set<std::string> m_blockedRequests; ///< Keys of blocked requests.
    std::size_t m_queuedRequests = 0; ///< Requests in all lanes.
    std::map<std::string, OpenDispatch> m_dispatches; ///< Dispatches whose end is not known, by id.
    TimePoint m_inheritedRequestsEndBy = farFuture; ///< Monotonic time by which requests of the former owner have surely stopped.
    double m_retryBudget = 10; ///< Retries that may still be made; grows with each first dispatch.
    std::deque<std::string> m_answeredKeys; ///< Keys of answered requests, the oldest first.
    std::size_t m_answeredBytes = 0; ///< Bytes of the kept answers.
    std::uint64_t m_lastDispatch = 0; ///< Counts the dispatches of the term.

    OwnerCounters m_counters; ///< For metrics.
    std::vector<Observation> m_observations; ///< Taken by the metrics after each step.
};

} // namespace bulrushloft
