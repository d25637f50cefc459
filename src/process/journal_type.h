/** @file journal_type.h The records of a shard's journal: every change of a shard is one of these commands. */
#pragma once

#include "core/address_type.h"
#include "process/shard_type.h"
#include "request/job_type.h"
#include "request/request_type.h"

#include <variant>
#include <vector>

namespace bulrushloft {

/** Begins a term; counts only if the term that it supersedes is the current one at its place in the stream. */
struct ClaimRecord {
    std::string m_member; ///< Name of the VM of the new owner.
    Address m_address; ///< Where the new owner listens.
    Epoch m_supersedes; ///< The term that ends.
};

/** The owner gives up its term and has stopped renewing leases. */
struct ReleaseRecord { };

/** Accepts a job. */
struct AcceptJobRecord {
    JobSpec m_spec; ///< What the caller asked for.
};

/** Grants one task to one worker. */
struct TaskPlacement {
    TaskRef m_ref; ///< The attempt that may now start.
    std::string m_worker; ///< The worker that may start it.
    Resources m_grant; ///< What it may use there.
};

/** Grants tasks to workers; all of them or none. */
struct PlaceRecord {
    std::vector<TaskPlacement> m_placements; ///< The grants.
};

/** How one attempt ended. */
struct TaskOutcome {
    TaskRef m_ref; ///< The attempt.
    TaskResult m_result = TaskResult::Done; ///< How it ended.
    TaskUsage m_usage; ///< What it used; all 0 when it is not known.
};

/** Records the ends of attempts. */
struct OutcomeRecord {
    std::vector<TaskOutcome> m_outcomes; ///< The ends; those that no longer apply are passed over.
    bool m_mayHaveUnjournaledStarts = false; ///< Waiting tasks of earlier terms may have begun without a record.
};

/** Cancels a job. */
struct CancelJobRecord {
    JobNumber m_job; ///< The job.
    bool m_mayHaveUnjournaledStarts = false; ///< Waiting tasks of earlier terms may have begun without a record.
};

/** Allows the dispatch of a non-idempotent request. */
struct IntendRequestRecord {
    std::string m_key; ///< Idempotency key of the caller.
    std::uint64_t m_digest = 0; ///< Hash of the body.
    std::string m_runner; ///< The runner that it will be dispatched to, as "name/boot".
    std::string m_dispatch; ///< Id of the dispatch.
};

/** Records how a non-idempotent request ended. */
struct FinishRequestRecord {
    std::string m_key; ///< Idempotency key of the caller.
    RequestState m_state = RequestState::Done; ///< How it ended.
};

/** Drops what ended long ago. */
struct ExpireRecord {
    TimePoint m_jobsEndedBefore; ///< Calendar time; ended jobs older than this go.
    TimePoint m_requestsEndedBefore; ///< Calendar time; ended requests older than this go.
};

/** Every endpoint obeys the current term, so that no former owner matters any more. */
struct FencedRecord { };

/** The owner lives and has nothing else to record. */
struct KeepaliveRecord { };

using Record = std::variant<ClaimRecord, ReleaseRecord, AcceptJobRecord, PlaceRecord, OutcomeRecord, CancelJobRecord,
    IntendRequestRecord, FinishRequestRecord, ExpireRecord, FencedRecord, KeepaliveRecord>;

/** What is appended to the log at once. */
struct JournalEntry {
    Epoch m_epoch; ///< Term of the writer; 0 in a claim.
    InstanceId m_writer; ///< The process that wrote it.
    std::uint64_t m_sequence = 0; ///< Counts the entries of the writer in this stream, from 1.
    TimePoint m_wall; ///< Calendar time of the writer.
    std::vector<Record> m_records; ///< The commands, in order.
};

/** What replay makes of an entry. */
enum class EntryVerdict : std::uint8_t {
    Applied, ///< Its records were executed.
    Superseded, ///< Written in a term that is not the current one; counts for nobody.
    Duplicate, ///< A second copy of an entry that was appended again after a lost answer.
    Malformed, ///< Could not be read.
};

std::string_view nameOf(EntryVerdict verdict);

} // namespace bulrushloft
