/** @file event_type.h What the input/output threads put into the ring of the deciding thread. */
#pragma once

#include "connection/log_type.h"
#include "connection/vm_list_type.h"
#include "process/effect_type.h"
#include "process/member_type.h"
#include "version/settings_base.h"

#include <variant>

namespace bulrushloft {

struct CallerEvent {
    CallerToken m_caller; ///< Who waits.
    CallerCall m_call; ///< What is asked.
    bool m_isForwarded = false; ///< Another daemon has passed it on.
    Duration m_timeout; ///< Time for the answer.
};

struct AppendResultEvent {
    AppendEffect m_sent; ///< What was appended.
    AppendResult m_result; ///< What came of it.
};

struct ReadResultEvent {
    ReadEffect m_sent; ///< What was read.
    ReadResult m_result; ///< What came of it.
};

/** Result of a call to an endpoint. */
template <typename Sent, typename Answer>
struct EndpointResultEvent {
    Sent m_sent; ///< What was sent.
    EndpointResult<Answer> m_result; ///< What came of it.
    TimePoint m_sentAt; ///< Monotonic time of sending.
};

using WorkerAdoptedEvent = EndpointResultEvent<AdoptWorkerEffect, AdoptWorkerAnswer>;
using WorkerSyncedEvent = EndpointResultEvent<SyncWorkerEffect, SyncWorkerAnswer>;
using RunnerAdoptedEvent = EndpointResultEvent<AdoptRunnerEffect, RunnerReport>;
using RunnerProbedEvent = EndpointResultEvent<ProbeRunnerEffect, RunnerReport>;
using DispatchAnsweredEvent = EndpointResultEvent<DispatchEffect, DispatchAnswer>;
using ForwardResultEvent = EndpointResultEvent<ForwardEffect, CallerAnswer>;

struct VmListEvent {
    VmList m_list; ///< A new version of the list.
};

struct VmListUnchangedEvent { };

struct HeartbeatEvent {
    Heartbeat m_heartbeat; ///< What another daemon told.
};

struct TakeShardEvent {
    std::string m_shard; ///< The shard that this daemon is asked to take over.
};

struct SettingsFetchedEvent {
    SettingsState m_settings; ///< What another daemon has in force.
};

struct PeerConnectionRefusedEvent {
    ProbePeerEffect m_sent; ///< The silent daemon whose address refuses connections.
};

struct ShutdownEvent { };

using NodeEvent = std::variant<CallerEvent, AppendResultEvent, ReadResultEvent, WorkerAdoptedEvent, WorkerSyncedEvent, RunnerAdoptedEvent,
    RunnerProbedEvent, DispatchAnsweredEvent, ForwardResultEvent, VmListEvent, VmListUnchangedEvent, HeartbeatEvent, TakeShardEvent, SettingsFetchedEvent,
    PeerConnectionRefusedEvent, ShutdownEvent>;

} // namespace bulrushloft
