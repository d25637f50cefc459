/** @file load_type.h Options and results of a load test. */
#pragma once

#include "connection/caller_type.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace bulrushloft {

/** Options of a load test. */
struct LoadOptions {
    std::vector<Address> m_entries; ///< Addresses of the entry VMs.
    std::vector<std::string> m_services; ///< Services to send requests to; the first and the last are also the pools of the jobs.
    std::vector<std::string> m_teams; ///< Teams to charge.
    Duration m_duration { 30'000 }; ///< Time for which requests, urgent jobs and settings changes are sent.
    std::uint32_t m_callers = 32; ///< Number of concurrent callers; each sends one request at a time.
    Duration m_meanPause { 50 }; ///< Mean pause of a caller between two requests.
    double m_idempotentShare = 0.5; ///< Share of requests that are idempotent, from 0 to 1.
    std::int64_t m_meanWorkMs = 30; ///< Mean work of a request, as run time on the slowest runner in milliseconds.
    std::uint32_t m_gangTasks = 13; ///< Number of tasks of the gang.
    std::uint32_t m_batchTasks = 500; ///< Number of tasks of the batch.
    Duration m_maxJobWait { 60'000 }; ///< Maximum time for a job to reach its expected state.
    std::uint64_t m_seed = 1; ///< Seed of the random generators; part of all keys.
};

/** Result of one request, as its caller observed it. */
struct RequestResult {
    std::string m_key; ///< Idempotency key.
    bool m_isIdempotent = false; ///< Whether the request was sent as idempotent.
    RunOutcome m_outcome = RunOutcome::Unknown; ///< Outcome that the caller was given; Unknown if there was no answer.
    bool m_isWrongAnswer = false; ///< Whether the answer differs from the expected answer to this request.
    std::string m_error; ///< Error that the caller was given; empty if there was none.
    Duration m_latency; ///< Time from the first attempt to the last answer or error.
};

/** Result of one job, as its caller observed it. */
struct JobResult {
    std::string m_description; ///< Kind, name and number of tasks.
    std::string m_id; ///< Job id; empty if the job was not accepted.
    std::string m_state; ///< Last state that the caller saw, or the error of the submission.
    bool m_isAsExpected = false; ///< Whether the job reached its expected state in time.
    Duration m_elapsed; ///< Time from the submission to the last state.
};

/** Result of two concurrent changes to one subtree of the settings. */
struct RaceResult {
    std::uint32_t m_acceptedCount = 0; ///< Number of changes that were accepted; normally 1, and the test fails if it is 2.
    std::uint32_t m_conflictCount = 0; ///< Number of changes that were rejected with a conflict.
    Duration m_propagationTime; ///< Time from the answers to both changes until every daemon that answers had the accepted change in force.
    bool m_isInForceEverywhere = false; ///< Whether the accepted change came into force on all these daemons within the time limit.
};

/** All results of a load test. */
struct LoadResults {
    std::mutex m_mutex; ///< Guards the other members.
    std::vector<RequestResult> m_requests; ///< Results of the requests.
    std::vector<JobResult> m_jobs; ///< Results of the jobs.
    std::vector<RaceResult> m_races; ///< Results of the settings races.
};

} // namespace bulrushloft
