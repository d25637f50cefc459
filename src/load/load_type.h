/** @file load_type.h What the load tool sends and what it notes. */
#pragma once

#include "connection/caller_type.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace bulrushloft {

/** Options of a run. */
struct LoadOptions {
    std::vector<Address> m_entries; ///< Entry VMs.
    std::vector<std::string> m_services; ///< Services that get requests; also the pools that get jobs.
    std::vector<std::string> m_teams; ///< Teams that are charged.
    Duration m_duration { 30'000 }; ///< How long requests are sent.
    std::uint32_t m_callers = 32; ///< Callers that send one request after the other.
    Duration m_meanPause { 50 }; ///< Mean rest of a caller between two requests.
    double m_idempotentShare = 0.5; ///< Share of idempotent requests.
    std::int64_t m_meanWorkMs = 30; ///< Mean work of a request at the slowest runner.
    std::uint32_t m_gangTasks = 13; ///< Tasks of the gang.
    std::uint32_t m_batchTasks = 500; ///< Tasks of the large batch.
    Duration m_maxJobWait { 60'000 }; ///< Longest wait for a job to end.
    std::uint64_t m_seed = 1; ///< Seed of all random choices.
};

/** One request as its caller saw it. */
struct RequestResult {
    std::string m_key; ///< Its key.
    bool m_isIdempotent = false; ///< As it was sent.
    RunOutcome m_outcome = RunOutcome::Unknown; ///< What the caller was told.
    bool m_isWrongAnswer = false; ///< The answer was not the whole answer to this request.
    std::string m_error; ///< Why there is no result.
    Duration m_latency; ///< From the first try to the answer.
};

/** One job as its caller saw it. */
struct JobResult {
    std::string m_description; ///< What it was.
    std::string m_id; ///< Its id, empty when it was not accepted.
    std::string m_state; ///< Its last state.
    bool m_isAsExpected = false; ///< Whether it ended as it should.
    Duration m_elapsed; ///< From submission to the last state.
};

/** One race of two operators for one subtree. */
struct RaceResult {
    std::uint32_t m_acceptedCount = 0; ///< Changes that were accepted; exactly one should be.
    std::uint32_t m_conflictCount = 0; ///< Changes that were reported as lost.
    Duration m_propagationTime; ///< Until every living daemon had it in force.
    bool m_isInForceEverywhere = false; ///< Whether that was seen in time.
};

/** All notes of a run. */
struct LoadResults {
    std::mutex m_mutex; ///< Guards the rest.
    std::vector<RequestResult> m_requests; ///< Requests.
    std::vector<JobResult> m_jobs; ///< Jobs.
    std::vector<RaceResult> m_races; ///< Races.
};

} // namespace bulrushloft
