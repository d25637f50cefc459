/** @file journal_type.h Records of a shard's journal; every change to a shard is made by one of these commands. */
#pragma once

#include "core/address_type.h"
#include "core/shard_type.h"
#include "request/job_type.h"
#include "request/request_type.h"

#include <variant>
#include <vector>

namespace bulrushloft {

/** Starts a new term of ownership; rejected unless the term that it supersedes is the current one when it is applied. */
struct ClaimRecord {
    std::string m_member; ///< Name of the new owner's VM.
    Address m_address; ///< Address that the new owner listens on.
    Epoch m_supersedes; ///< Term that the claim ends; 0 if the shard has had no owner.
};

/** Releases the shard; its owner has stopped renewing leases. */
struct ReleaseRecord { };

/** Accepts a job. */
struct AcceptJobRecord {
    JobSpec m_spec; ///< Specification of the job.
};

/** Placement of one task on one worker. */
struct TaskPlacement {
    TaskRef m_ref; ///< Attempt that may now start.
    std::string m_worker; ///< Worker that may start it, as "name/boot".
    Resources m_grant; ///< Resources that the attempt may use.
};

/** Places tasks on workers; all placements take effect or none does. */
struct PlaceRecord {
    std::vector<TaskPlacement> m_placements; ///< The placements.
};

/** Outcome of one attempt. */
struct TaskOutcome {
    TaskRef m_ref; ///< The attempt.
    TaskResult m_result = TaskResult::Done; ///< Result of the attempt.
    TaskUsage m_usage; ///< Measured usage; all 0 if unknown.
};

/** Records the outcomes of attempts. */
struct OutcomeRecord {
    std::vector<TaskOutcome> m_outcomes; ///< The outcomes; those that no longer apply are ignored.
    bool m_mayHaveUnjournaledStarts = false; ///< Whether waiting tasks of earlier terms may have started without a journal record.
};

/** Cancels a job. */
struct CancelJobRecord {
    JobNumber m_job; ///< Number of the job.
    bool m_mayHaveUnjournaledStarts = false; ///< Whether waiting tasks of earlier terms may have started without a journal record.
};

/** Records the intent to dispatch a non-idempotent request, which may be dispatched only after the log has acknowledged this record. */
struct IntendRequestRecord {
    std::string m_key; ///< Idempotency key of the request.
    std::uint64_t m_digest = 0; ///< Hash of the request's target and body.
    std::string m_runner; ///< Runner that it will be dispatched to, as "name/boot".
    std::string m_dispatch; ///< Id of the dispatch.
};

/** Records the outcome of a non-idempotent request. */
struct FinishRequestRecord {
    std::string m_key; ///< Idempotency key of the request.
    RequestState m_state = RequestState::Done; ///< Final state of the request.
};

/** Removes jobs and requests whose retention has passed. */
struct ExpireRecord {
    TimePoint m_jobsEndedBefore; ///< Wall-clock time; jobs that ended before it are removed.
    TimePoint m_requestsEndedBefore; ///< Wall-clock time; requests that ended before it are removed.
};

/** Records that every endpoint now rejects the fencing tokens of all former owners. */
struct FencedRecord { };

/** Shows that the owner is alive when it has nothing else to record. */
struct KeepaliveRecord { };

using Record = std::variant<ClaimRecord, ReleaseRecord, AcceptJobRecord, PlaceRecord, OutcomeRecord, CancelJobRecord,
    IntendRequestRecord, FinishRequestRecord, ExpireRecord, FencedRecord, KeepaliveRecord>;

/** An entry of the journal, appended to the log as a whole. */
struct JournalEntry {
    Epoch m_epoch; ///< Term of the writer; 0 in a claim.
    InstanceId m_writer; ///< Process that wrote the entry.
    std::uint64_t m_sequence = 0; ///< Sequence number among the writer's entries in this stream, from 1.
    TimePoint m_wall; ///< Wall-clock time of writing, on the writer's clock.
    std::vector<Record> m_records; ///< The commands, in the order of execution.
};

/** Whether an entry was applied and, if not, why. */
enum class EntryVerdict : std::uint8_t {
    Applied, ///< The commands of its records were executed.
    Superseded, ///< Ignored: the term of the entry is not the current one or has been released, or its claim supersedes another term.
    Duplicate, ///< Ignored: the entry was appended a second time after the answer to the first append was lost.
    Malformed, ///< Skipped: the entry could not be decoded.
};

std::string_view nameOf(EntryVerdict verdict);

} // namespace bulrushloft
