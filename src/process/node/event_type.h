/** @file event_type.h Events that the I/O threads put into the ring of the decision thread. */
#pragma once

#include "connection/log_type.h"
#include "connection/vm_list_type.h"
#include "process/node/member_type.h"
#include "process/owner/effect_type.h"
#include "version/settings_base.h"

#include <variant>

namespace bulrushloft {

/** A call has arrived. */
struct CallerEvent {
    CallerToken m_caller; ///< Caller that waits for the answer.
    CallerCall m_call; ///< The call.
    bool m_isForwarded = false; ///< Whether another daemon has forwarded the call.
    Duration m_timeout; ///< Time within which the caller expects the answer.
};

/** An append has completed or failed. */
struct AppendResultEvent {
    AppendEffect m_sent; ///< The append.
    LogAppendResult m_result; ///< Its result.
};

/** A read of the log has completed or failed. */
struct ReadResultEvent {
    ReadEffect m_sent; ///< The read.
    LogReadResult m_result; ///< Its result.
};

/** A call to an endpoint or to another daemon has completed or failed. */
template <typename Sent, typename Answer>
struct EndpointResultEvent {
    Sent m_sent; ///< The call.
    EndpointResult<Answer> m_result; ///< Its answer or failure.
    TimePoint m_sentAt; ///< Monotonic time of sending.
};

using WorkerAdoptedEvent = EndpointResultEvent<AdoptWorkerEffect, AdoptWorkerAnswer>;
using WorkerSyncedEvent = EndpointResultEvent<SyncWorkerEffect, SyncWorkerAnswer>;
using RunnerAdoptedEvent = EndpointResultEvent<AdoptRunnerEffect, RunnerReport>;
using RunnerProbedEvent = EndpointResultEvent<ProbeRunnerEffect, RunnerReport>;
using DispatchAnsweredEvent = EndpointResultEvent<DispatchEffect, DispatchAnswer>;
using ForwardResultEvent = EndpointResultEvent<ForwardEffect, CallerAnswer>;

/** The platform has published a new version of its list of VMs. */
struct VmListEvent {
    VmList m_list; ///< The new version.
};

/** The platform has answered that its list of VMs is unchanged. */
struct VmListUnchangedEvent { };

/** A heartbeat of another daemon has arrived. */
struct HeartbeatEvent {
    Heartbeat m_heartbeat; ///< The heartbeat.
};

/** Another daemon asks this one to take over a shard. */
struct TakeShardEvent {
    std::string m_shard; ///< Name of the shard.
};

/** Another daemon has answered with the settings it has in force. */
struct SettingsFetchedEvent {
    SettingsState m_settings; ///< The settings.
};

/** The address of a silent daemon refuses connections, which shows that its process has ended. */
struct PeerConnectionRefusedEvent {
    ProbePeerEffect m_sent; ///< The probe of the silent daemon.
};

/** The process has been asked to shut down gracefully. */
struct ShutdownEvent { };

using NodeEvent = std::variant<CallerEvent, AppendResultEvent, ReadResultEvent, WorkerAdoptedEvent, WorkerSyncedEvent, RunnerAdoptedEvent,
    RunnerProbedEvent, DispatchAnsweredEvent, ForwardResultEvent, VmListEvent, VmListUnchangedEvent, HeartbeatEvent, TakeShardEvent, SettingsFetchedEvent,
    PeerConnectionRefusedEvent, ShutdownEvent>;

} // namespace bulrushloft
