/** @file owner_base.h State of the owner of a shard during one term. */
#pragma once

#include "connection/log_type.h"
#include "process/journal/shard_state_base.h"
#include "process/owner/effect_type.h"
#include "process/owner/runner_base.h"
#include "process/owner/worker_base.h"
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

/** Timing parameters and identity of an owner; not operator settings. */
struct OwnerOptions {
    InstanceId m_instance; ///< Instance id of this process.
    std::string m_member; ///< Name of this VM.
    Duration m_callTimeout { 3'000 }; ///< Timeout of calls to endpoints.
    Duration m_leaseMargin { 1'000 }; ///< Added to the end of leases and dispatches, as clocks run at slightly different speeds.
    Duration m_logSlowThreshold { 1'500 }; ///< New work is refused at once while an append has been unanswered for longer.
    Duration m_unjournaledStartAfter { 10'000 }; ///< Idempotent tasks may start unjournaled while an append has been unanswered for longer.
    Duration m_maxReadAge { 1'000 }; ///< While a peer is silent and there is no majority, work without a record needs a read of the stream no older than this.
    Duration m_dispatchValidity { 1'500 }; ///< A runner refuses a dispatch that arrives later than this after it was sent.
    Duration m_answerRetention { 60'000 }; ///< How long complete answers are kept for retries.
    std::size_t m_answerRetentionBytes = 16 * 1024 * 1024; ///< Size limit of the kept answers; the oldest are dropped first.
    std::uint64_t m_seed = 1; ///< Seed of the random number generator.
    Duration m_wallOffset; ///< Wall-clock time minus monotonic time.
};

/** What is known about a former owner, which may not have noticed yet that its term is over. */
struct FormerOwnerState {
    FormerOwner m_former; ///< Identity of the former owner, whether it released the term, and when it wrote its last entry.
    bool m_isStopped = false; ///< Whether it is proven to have stopped renewing leases and dispatching requests.
};

/** A caller that waits for a job to change. */
struct JobWaiter {
    CallerToken m_caller; ///< The caller to answer.
    JobNumber m_job; ///< Job that the caller waits for.
    WaitUntil m_until = WaitUntil::Ended; ///< Condition that ends the wait; WaitUntil::Now means that a cancellation has been recorded.
    TimePoint m_deadline; ///< Monotonic time at which the caller is answered with the current state.
};

/** A submission whose record the log has not confirmed yet. */
struct PendingAccept {
    JobSpec m_spec; ///< The submitted job.
    std::vector<CallerToken> m_callers; ///< Callers to answer; retries with the same key are added.
    TimePoint m_deadline; ///< Monotonic time at which the callers are answered that the outcome is unknown.
};

/** An append to the journal that has not been confirmed yet. */
struct PendingAppend {
    JournalEntry m_entry; ///< The entry to append.
    std::string m_bytes; ///< The entry in its encoding; retries send the same bytes.
    TimePoint m_firstSentAt; ///< Monotonic time of the first attempt.
    bool m_isInFlight = false; ///< Whether the latest attempt has not been answered yet.
    TimePoint m_retryAt; ///< Monotonic time of the next attempt.
    std::uint64_t m_ticket = 0; ///< Ticket of the latest attempt.
};

/** A job with tasks that wait for a worker. */
struct QueuedJob {
    std::deque<std::uint32_t> m_tasks; ///< Indices of the waiting tasks, in the order of placement.
    TimePoint m_waitingSince; ///< Monotonic time since which the job has been in the queue.
    bool m_isBlockedByTerm = false; ///< Unused.
};

/** Resources that a team uses and its pending work. */
struct TeamUsage {
    Resources m_granted; ///< Sum of the grants of the team's attempts.
    std::int64_t m_waitingTasks = 0; ///< Number of waiting tasks.
    std::int64_t m_requests = 0; ///< Number of requests that are queued or being processed.
};

/** Queued requests of one priority. */
struct RequestLane {
    std::map<std::string, std::deque<std::string>> m_byTeam; ///< Request keys in order of arrival, by team.
};

/** A dispatch whose outcome is not known yet. */
struct OpenDispatch {
    std::string m_key; ///< Key of its request.
    std::size_t m_runner = 0; ///< Index of the runner in ShardOwner::m_runners.
    std::uint64_t m_boot = 0; ///< Boot id of the runner that it was sent to.
    bool m_isInFlight = false; ///< Whether the call has not been answered yet; otherwise the runner is queried for the outcome.
    bool m_isInherited = false; ///< Whether it comes from an intent that an earlier term recorded in the journal.
    bool m_holdsSlot = false; ///< Whether it is counted in Runner::m_reservedSlots.
};

/** A request attempt that was answered as not run; an older attempt with the same key must not run if it arrives later. */
struct RefusedAttempt {
    std::string m_key; ///< Key of the request.
    TimePoint m_refusedAt; ///< Monotonic time of the refusal.
};

/** Reads of the shard's own journal stream. */
struct StreamReader {
    bool m_isInFlight = false; ///< Whether a read has not been answered yet.
    std::uint64_t m_ticket = 0; ///< Ticket of the latest read.
    TimePoint m_nextReadAt; ///< Monotonic time of the next periodic read.
    bool m_isReadDue = false; ///< Whether to send the next read as soon as none is in flight, without waiting for m_nextReadAt.
};

/** Counters exported as metrics. */
struct OwnerCounters {
    std::uint64_t m_placements = 0; ///< Attempts placed.
    std::uint64_t m_dispatches = 0; ///< Requests dispatched, including retries.
    std::uint64_t m_appends = 0; ///< Appends sent, including retries.
    std::uint64_t m_shed = 0; ///< Calls refused because of a limit or because the log does not answer.
    std::uint64_t m_preemptions = 0; ///< Tasks stopped to make room for others; always 0 at present.
    std::uint64_t m_orphans = 0; ///< Attempts found running on workers that the journal neither lists nor accepts; they are stopped.
};

/** Span of time that an observation measures. */
enum class ObservedSpan : std::uint8_t {
    TaskWait, ///< From acceptance, or from the loss of the previous attempt, to the confirmed start.
    TaskRun, ///< From the confirmed start of a task to its end.
    RequestWait, ///< From the arrival of a request to its dispatch.
    RequestRun, ///< From the dispatch of a request to its answer.
    Decision, ///< Mean time of a placement decision in a scheduling pass.
};

/** A measured duration for the histograms. */
struct Observation {
    ObservedSpan m_span = ObservedSpan::TaskWait; ///< The span that was measured.
    std::string m_team; ///< Team; empty for Decision.
    std::string m_workClass; ///< Work class; empty for Decision.
    double m_seconds = 0; ///< Duration in seconds.
};

/** The owner of a shard. */
struct ShardOwner {
    OwnerOptions m_options;
    ShardState m_state; ///< State of the shard according to the journal.
    SharedPolicy m_policy; ///< Settings in force.
    std::string m_pool; ///< Pool that the shard belongs to.
    std::uint32_t m_poolShards = 1; ///< Number of shards in the pool.
    std::mt19937_64 m_random; ///< Random number generator for placement and runner choice.
    bool m_isTermOver = false; ///< Whether the term has ended; if so, nothing may be sent any more.
    bool m_isReleasing = false; ///< Whether the owner is releasing the shard: it then makes no new decisions and appends the release.
    TimePoint m_ownedSince; ///< Monotonic time at which the term was confirmed.
    TimePoint m_claimLogTime; ///< When the log accepted the claim, on the log's clock.

    // Former owners whose token some endpoint may still accept.
    std::vector<FormerOwnerState> m_formerOwnerStates; ///< Former owners; empty once every endpoint has accepted this term's token.
    bool m_mayHaveUnjournaledTasks = false; ///< Whether a former owner may have started idempotent tasks without a record.
    bool m_hasUnjournaledWindow = false; ///< Whether a former owner that has stopped wrote no entry for so long before that it may have started such tasks.
    bool m_isFenceQueued = false; ///< Whether the record that the former owners are fenced off has been queued.

    // Contact with the other daemons.
    bool m_mayBeSuperseded = false; ///< Whether a later term may have begun; if so, the journal has to be read before work starts without a record.
    bool m_isFreshReadNeeded = false; ///< Whether the read that clears m_mayBeSuperseded has not been sent yet.
    bool m_hasSilentPeer = false; ///< Whether another daemon is silent, so that it may have claimed the shard without this owner's knowledge.
    bool m_hasMajority = true; ///< Whether heartbeats arrive from more than half of the known daemons.
    TimePoint m_lastFullReadAt; ///< Monotonic time at which the latest read that reached the end of the stream was sent.
    TimePoint m_readSentAt; ///< Monotonic time at which the latest read was sent.
    TimePoint m_nextKeepaliveAt; ///< Earliest monotonic time of the next keepalive record; they are written while a peer is silent.

    TimePoint m_nextExpiryCheckAt; ///< Monotonic time of the next check for jobs and requests past their retention period.

    // Journal.
    std::vector<Record> m_outbox; ///< Records that are not part of an append yet.
    std::optional<PendingAppend> m_append; ///< The one append that has not been confirmed yet.
    std::uint64_t m_lastSequence = 0; ///< Sequence number of the latest entry.
    std::uint64_t m_lastTicket = 0; ///< Ticket of the latest append or read.
    TimePoint m_nextAppendAt; ///< Earliest monotonic time of the next append.
    TimePoint m_lastConfirmedAt; ///< Monotonic time at which an append was last confirmed.
    StreamReader m_reader; ///< Reader of the owner's stream.

    // Workers and tasks.
    std::vector<Worker> m_workers; ///< Workers of the shard; an index stays valid for the term.
    std::unordered_map<std::string, std::size_t> m_workerIndex; ///< Index of each worker, by name.
    std::vector<std::size_t> m_dueWorkers; ///< Indices of workers that stepWorkers() processes next without waiting for the scan of all workers.
    TimePoint m_nextWorkerScanAt; ///< Monotonic time of the next check of all workers.
    std::unordered_map<TaskRef, TaskRun> m_runs; ///< Attempts that are placed and whose outcome the log has not confirmed.
    std::map<JobNumber, QueuedJob> m_queue; ///< Jobs with waiting tasks.
    std::map<JobNumber, std::uint32_t> m_closingRecords; ///< Number of unconfirmed records, by job, that may end its waiting tasks.
    std::map<std::string, TeamUsage> m_teams; ///< Cache: usage of each team.
    bool m_isScheduleDue = false; ///< Whether something has changed since the last scheduling pass.
    TimePoint m_pausedUntil; ///< Monotonic time until which no work is started, after a pause of the process.
    TimePoint m_nextScheduleAt; ///< Earliest monotonic time of the next scheduling pass.
    TimePoint m_nextTimersAt; ///< Monotonic time of the next check of deadlines.
    std::unordered_map<std::string, PendingAccept> m_pendingAccepts; ///< Submissions whose record has not been confirmed yet, by key.
    std::vector<JobWaiter> m_jobWaiters; ///< Callers that wait for jobs.

    // Runners and requests.
    std::vector<Runner> m_runners; ///< Runners of the shard; an index stays valid for the term.
    std::unordered_map<std::string, std::size_t> m_runnerIndex; ///< Index of each runner, by name.
    std::unordered_map<std::string, RequestRun> m_requests; ///< Requests by key, including answered ones that are kept for retries.
    std::map<std::int64_t, RequestLane, std::greater<>> m_requestLanes; ///< Queued requests, by priority, highest first.
    std::unordered_map<std::string, std::uint32_t> m_refusedAttempts; ///< Highest attempt that was answered as not run, by request key.
    std::deque<RefusedAttempt> m_refusalsByAge; ///< The refusals in order of time, oldest first.
    std::multimap<TimePoint, std::string> m_requestTimers; ///< Request keys by the monotonic time at which the request is next checked.
    std::set<std::string> m_blockedRequests; ///< Keys of the requests in the phase Blocked.
    std::size_t m_queuedRequests = 0; ///< Number of requests in all lanes.
    std::map<std::string, OpenDispatch> m_dispatches; ///< Dispatches whose outcome is not known, by id.
    TimePoint m_inheritedRequestsEndBy = farFuture; ///< Monotonic time by which all requests of former owners have stopped running.
    double m_retryBudget = 10; ///< Number of retries still allowed; each first dispatch adds to it.
    std::deque<std::string> m_answeredKeys; ///< Keys of the answered requests that are kept, oldest first.
    std::size_t m_answeredBytes = 0; ///< Size of the kept answers in bytes.
    std::uint64_t m_lastDispatch = 0; ///< Number of the latest dispatch of the term.

    OwnerCounters m_counters; ///< Counters exported as metrics.
    std::vector<Observation> m_observations; ///< Measurements of the latest step; the metrics take them over.
};

} // namespace bulrushloft
