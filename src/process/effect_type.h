/** @file effect_type.h What the deciding thread wants done by the input/output threads. */
#pragma once

#include "connection/caller_type.h"
#include "connection/runner_type.h"
#include "connection/worker_type.h"
#include "core/address_type.h"
#include "process/shard_type.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** Appends bytes to a stream; the result comes back with the same stream and ticket. */
struct AppendEffect {
    std::string m_stream; ///< Stream of the log.
    std::string m_bytes; ///< What to append.
    std::uint64_t m_ticket = 0; ///< Comes back with the result.
};

/** Reads a stream; the result comes back with the same stream and ticket. */
struct ReadEffect {
    std::string m_stream; ///< Stream of the log.
    Offset m_from; ///< First entry wanted.
    Duration m_waitFor; ///< How long the log may wait for an entry.
    std::uint64_t m_ticket = 0; ///< Comes back with the result.
};

/** Which endpoint a call goes to and which link of it the result belongs to. */
struct EndpointLink {
    std::string m_shard; ///< Shard of the endpoint.
    std::string m_name; ///< Name of its VM.
    Address m_address; ///< Where it listens.
    FencingToken m_token; ///< Token of the link; results of an older link are dropped.
};

struct AdoptWorkerEffect {
    EndpointLink m_link; ///< The worker.
    AdoptWorkerCall m_call; ///< What to send.
};

struct SyncWorkerEffect {
    EndpointLink m_link; ///< The worker.
    SyncWorkerCall m_call; ///< What to send.
    bool m_isPoll = false; ///< Waits for ends instead of carrying commands.
    TimePoint m_sentAt; ///< Monotonic time of sending; comes back with the result.
};

struct AdoptRunnerEffect {
    EndpointLink m_link; ///< The runner.
    AdoptRunnerCall m_call; ///< What to send.
};

struct ProbeRunnerEffect {
    EndpointLink m_link; ///< The runner.
    ProbeRunnerCall m_call; ///< What to send.
};

struct DispatchEffect {
    EndpointLink m_link; ///< The runner.
    DispatchCall m_call; ///< What to send.
    TimePoint m_sentAt; ///< Monotonic time of sending.
};

/** Answers a caller of this daemon. */
struct AnswerEffect {
    CallerToken m_caller; ///< Who waits.
    CallerAnswer m_answer; ///< What to say.
};

/** Passes a call on to the daemon that owns its shard. */
struct ForwardEffect {
    Address m_owner; ///< Where the owner listens.
    CallerToken m_caller; ///< Who waits here.
    CallerCall m_call; ///< The call.
    Duration m_timeout; ///< Longest time for the answer.
};

/** Sends a datagram to other daemons. */
struct HeartbeatEffect {
    std::vector<Address> m_to; ///< Whom.
    std::string m_bytes; ///< What.
};

/** Asks another daemon, by JSON-RPC, to take a shard over. */
struct TakeShardEffect {
    Address m_to; ///< The successor.
    std::string m_shard; ///< The shard.
};

/** Asks another daemon, by JSON-RPC, for the settings it has in force. */
struct FetchSettingsEffect {
    Address m_from; ///< Whom.
};

/** Tries whether any process listens at the address of a daemon that is silent. */
struct ProbePeerEffect {
    std::string m_member; ///< Name of its VM.
    InstanceId m_instance; ///< Its process, as last heard.
    Address m_address; ///< Where it listened.
};

/** Everything that one step of the deciding thread wants done. */
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

/** Why a call to an endpoint has no answer. */
struct EndpointFailure {
    CallProgress m_progress = CallProgress::NotSent; ///< How far the call got.
    std::optional<StaleToken> m_staleToken; ///< Set when the endpoint refused the token.
    bool m_isRefused = false; ///< The endpoint answered that it has not begun and never will.
    std::string m_reason; ///< What was seen.
};

template <typename Answer>
using EndpointResult = tl::expected<Answer, EndpointFailure>;

} // namespace bulrushloft
