/** @file call_failures.cpp Counts and logs the calls to workers that had no complete answer. */
#include "platform/call_failures.h"

#include "core/log_func.h"
#include "table/http_table.h"

namespace bulrushloft::platform {

namespace {

    constexpr Duration logInterval { 1'000 };
    constexpr std::size_t maxKinds = 8'192; ///< Beyond it, what has not been logged is forgotten, so that replaced workers take no memory.

    constexpr std::array<EnumName<WorkerCall>, 4> workerCallNames { {
        { WorkerCall::Start, "start" },
        { WorkerCall::Stop, "stop" },
        { WorkerCall::Pace, "pace" },
        { WorkerCall::Sync, "sync" },
    } };

} // namespace

void CallFailures::note(const std::string& worker, WorkerCall call, const HttpFailure& failure)
{
    ++m_counts.at(static_cast<std::size_t>(failure.m_end));
    if (m_unlogged.size() > maxKinds)
        m_unlogged.clear();
    Unlogged& unlogged = m_unlogged[{ worker, call, failure.m_end, failure.m_isKeptConnection }];
    ++unlogged.m_failures;
    const TimePoint now = steadyNow();
    if (unlogged.m_loggedAt > TimePoint {} && now - unlogged.m_loggedAt < logInterval)
        return;
    logEvent(LogLevel::Info, "worker-calls-failed", { { "worker", worker }, { "call", findName(workerCallNames, call) }, { "end", findName(callEndNames, failure.m_end) }, { "is_kept_connection", failure.m_isKeptConnection }, { "took_ms", failure.m_took.m_ms }, { "other_connections", failure.m_openConnections }, { "failures", unlogged.m_failures } });
    unlogged = { .m_loggedAt = now, .m_failures = 0 };
}

} // namespace bulrushloft::platform
