/** @file shard_state_base.h What the journal of a shard says: the same on every VM that replays it. */
#pragma once

#include "process/journal_type.h"
#include "request/estimate_type.h"
#include "request/job_base.h"

#include <map>
#include <string>
#include <unordered_map>

namespace bulrushloft {

/** An owner whose term was superseded. */
struct FormerOwner {
    InstanceId m_instance; ///< The process.
    std::string m_member; ///< Name of its VM.
    Address m_address; ///< Where it listened.
    bool m_hasReleased = false; ///< It gave the term up itself.
    TimePoint m_lastEntryLogTime; ///< When the log took its latest entry, on the log's clock.
};

/** State of a shard by replay; depends on nothing but the entries of its stream. */
struct ShardState {
    std::string m_shard; ///< Name of the shard.
    Offset m_next; ///< Offset of the first entry that is not yet applied.
    Epoch m_epoch; ///< Current term.
    InstanceId m_owner; ///< Process that holds the term.
    std::string m_ownerMember; ///< Name of the owner's VM.
    Address m_ownerAddress; ///< Where the owner listens.
    bool m_isReleased = false; ///< The owner has given the term up.
    std::uint64_t m_lastSequence = 0; ///< Highest sequence of the current owner that was applied.
    TimePoint m_lastEntryLogTime; ///< When the log took the latest applied entry, on the log's clock.
    std::vector<FormerOwner> m_formerOwners; ///< Owners that some endpoint may still obey, the latest last.

    JobNumber m_nextJob { 1 }; ///< Number of the next accepted job.
    std::map<JobNumber, Job> m_jobs; ///< All jobs that are not forgotten.
    std::unordered_map<std::string, JobNumber> m_jobByKey; ///< Cache: jobs by idempotency key.
    std::unordered_map<std::string, RequestRecord> m_requests; ///< Non-idempotent requests by key.
    TimePoint m_requestsRetainedSince; ///< Requests since this calendar time are all remembered.

    std::vector<std::string> m_workerNames; ///< Names by WorkerIndex, in order of first use.
    std::unordered_map<std::string, WorkerIndex> m_workerByName; ///< Cache: index of each name.
    std::map<std::string, UsageHistory> m_usage; ///< Uses by "team/name".
};

} // namespace bulrushloft
