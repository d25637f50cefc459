/** @file shard_state_base.h State of a shard; every daemon that replays the journal gets the same state. */
#pragma once

#include "process/journal/journal_type.h"
#include "request/estimate_type.h"
#include "request/job_base.h"

#include <map>
#include <string>
#include <unordered_map>

namespace bulrushloft {

/** An owner whose term was superseded. */
struct FormerOwner {
    InstanceId m_instance; ///< Instance id of its process.
    std::string m_member; ///< Name of its VM.
    Address m_address; ///< Address that it listened on.
    bool m_hasReleased = false; ///< Whether it released the term itself.
    TimePoint m_lastEntryLogTime; ///< Time at which the log accepted its latest entry, on the log's clock.
};

/** State of a shard, built by replaying its journal; depends only on the entries of the stream. */
struct ShardState {
    std::string m_shard; ///< Name of the shard.
    Offset m_next; ///< Offset of the next entry to apply.
    Epoch m_epoch; ///< Current term; 0 before the first claim.
    InstanceId m_owner; ///< Instance id of the process that owns the shard in the current term.
    std::string m_ownerMember; ///< Name of the owner's VM.
    Address m_ownerAddress; ///< Address that the owner listens on.
    bool m_isReleased = false; ///< Whether the owner has released the current term.
    std::uint64_t m_lastSequence = 0; ///< Highest applied sequence number of the current owner's entries.
    TimePoint m_lastEntryLogTime; ///< Time at which the log accepted the latest applied entry, on the log's clock.
    std::vector<FormerOwner> m_formerOwners; ///< Owners whose fencing tokens some endpoint may still accept, the latest last.

    JobNumber m_nextJob { 1 }; ///< Number of the next accepted job.
    std::map<JobNumber, Job> m_jobs; ///< Jobs that have not expired, by number.
    std::unordered_map<std::string, JobNumber> m_jobByKey; ///< Cache of job numbers, by idempotency key.
    std::unordered_map<std::string, RequestRecord> m_requests; ///< Non-idempotent requests that have not expired, by idempotency key.
    TimePoint m_requestsRetainedSince; ///< Wall-clock time; requests that ended since then are all retained. 0 before the first expiry.

    std::vector<std::string> m_workerNames; ///< Workers, as "name/boot", by WorkerIndex, in order of first use.
    std::unordered_map<std::string, WorkerIndex> m_workerByName; ///< Cache of worker indices, by name.
    std::map<std::string, UsageHistory> m_usage; ///< Usage histories of programs, by "team/name".
};

} // namespace bulrushloft
