/** @file effect_type.h Work that the decision thread hands to the I/O threads. */
#pragma once

#include "connection/caller_type.h"
#include "connection/runner_type.h"
#include "connection/worker_type.h"
#include "core/address_type.h"
#include "core/shard_type.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** Appends an entry to a stream of the log. */
struct AppendEffect {
    std::string m_stream; ///< Name of the stream.
    std::string m_bytes; ///< Encoded entry.
    std::uint64_t m_ticket = 0; ///< Correlation id, returned with the result.
};

/** Reads entries of a stream of the log. */
struct ReadEffect {
    std::string m_stream; ///< Name of the stream.
    Offset m_from; ///< Offset of the first entry to read.
    Duration m_waitFor; ///< Maximum time that the log waits for an entry before it answers; 0 answers at once.
    std::uint64_t m_ticket = 0; ///< Correlation id, returned with the result.
};

/** An endpoint and the link over which it is called; each adoption starts a new link with a new fencing token. */
struct EndpointLink {
    std::string m_shard; ///< Name of the endpoint's shard.
    std::string m_name; ///< Name of the endpoint's VM.
    Address m_address; ///< Address that the endpoint listens on.
    FencingToken m_token; ///< Fencing token of the link; results of calls over an older link are ignored.
};

/** Adopts a worker. */
struct AdoptWorkerEffect {
    EndpointLink m_link; ///< Link to the worker.
    AdoptWorkerCall m_call; ///< Call to send.
};

/** Renews the lease of a worker, and either sends it commands or waits for tasks to end. */
struct SyncWorkerEffect {
    EndpointLink m_link; ///< Link to the worker.
    SyncWorkerCall m_call; ///< Call to send.
    bool m_isPoll = false; ///< Whether the call is a long poll for ended tasks rather than a set of commands.
    TimePoint m_sentAt; ///< Monotonic time of sending, returned with the result.
};

/** Adopts a runner. */
struct AdoptRunnerEffect {
    EndpointLink m_link; ///< Link to the runner.
    AdoptRunnerCall m_call; ///< Call to send.
};

/** Queries the state of a runner and its dispatches. */
struct ProbeRunnerEffect {
    EndpointLink m_link; ///< Link to the runner.
    ProbeRunnerCall m_call; ///< Call to send.
};

/** Dispatches a request to a runner. */
struct DispatchEffect {
    EndpointLink m_link; ///< Link to the runner.
    DispatchCall m_call; ///< Call to send.
    TimePoint m_sentAt; ///< Monotonic time of sending.
};

/** Answers a caller of this daemon. */
struct AnswerEffect {
    CallerToken m_caller; ///< Caller that waits for the answer.
    CallerAnswer m_answer; ///< Answer to send.
};

/** Forwards a call to the daemon that owns its shard. */
struct ForwardEffect {
    Address m_owner; ///< Address of the owner's daemon.
    CallerToken m_caller; ///< Caller of this daemon that waits for the answer.
    CallerCall m_call; ///< Call to forward.
    Duration m_timeout; ///< Time within which the owner has to answer.
};

/** Sends a heartbeat to other daemons as a datagram. */
struct HeartbeatEffect {
    std::vector<Address> m_to; ///< Addresses of the recipients.
    std::string m_bytes; ///< Encoded heartbeat.
};

/** Asks another daemon over JSON-RPC to take over a shard. */
struct TakeShardEffect {
    Address m_to; ///< Address of the daemon that is to become the owner.
    std::string m_shard; ///< Name of the shard.
};

/** Fetches the settings in force at another daemon over JSON-RPC. */
struct FetchSettingsEffect {
    Address m_from; ///< Address of that daemon.
};

/** Checks whether any process listens on the address of a daemon that has stopped sending heartbeats. */
struct ProbePeerEffect {
    std::string m_member; ///< Name of its VM.
    InstanceId m_instance; ///< Instance id of its process, from its latest heartbeat.
    Address m_address; ///< Address that it listened on.
};

/** All effects of one step of the decision thread. */
struct Effects {
    std::vector<AppendEffect> m_appends;
    std::vector<ReadEffect> m_reads;
    std::vector<AdoptWorkerEffect> m_workerAdoptions;
    std::vector<SyncWorkerEffect> m_workerSyncs;
    std::vector<AdoptRunnerEffect> m_runnerAdoptions;
    std::vector<ProbeRunnerEffect> m_runnerProbes;
    std::vector<DispatchEffect> m_dispatches;
    std::vector<AnswerEffect> m_answers;
    std::vector<ForwardEffect> m_forwards;
    std::vector<HeartbeatEffect> m_heartbeats;
    std::vector<TakeShardEffect> m_shardTakeovers;
    std::vector<FetchSettingsEffect> m_settingsFetches;
    std::vector<ProbePeerEffect> m_peerProbes;
};

/** Failure of a call to an endpoint or to another daemon. */
struct EndpointFailure {
    CallProgress m_progress = CallProgress::NotSent; ///< How far the call got before it failed.
    std::optional<StaleToken> m_staleToken; ///< Set if the endpoint rejected the fencing token of the call.
    bool m_isRefused = false; ///< Whether the endpoint answered that it did not start the work and never will.
    std::string m_reason; ///< What went wrong, for logs and for the caller's error message.
};

template <typename Answer>
using EndpointResult = tl::expected<Answer, EndpointFailure>;

} // namespace bulrushloft
