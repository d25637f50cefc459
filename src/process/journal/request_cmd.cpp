/** @file request_cmd.cpp Commands for non-idempotent requests. */
#include "process/journal/request_cmd.h"

namespace bulrushloft {

Expected<void> recordRequestIntent(ShardState& state, const IntendRequestRecord& record, TimePoint wall, CommandMode mode)
{
    const auto known = state.m_requests.find(record.m_key);
    const bool mayRunAgain = known != state.m_requests.end() && known->second.m_state == RequestState::NotRun;
    if (known != state.m_requests.end() && !mayRunAgain)
        return fail(ErrorKind::Conflict, "the key \"" + record.m_key + "\" is already used", "use a new key for new work");
    if (mode == CommandMode::Test)
        return {};

    state.m_requests[record.m_key] = { .m_state = RequestState::Intended, .m_digest = record.m_digest, .m_runner = record.m_runner, .m_dispatch = record.m_dispatch, .m_wall = wall };
    return {};
}

Expected<void> finishRequest(ShardState& state, const FinishRequestRecord& record, TimePoint wall, CommandMode mode)
{
    const auto known = state.m_requests.find(record.m_key);
    if (known == state.m_requests.end())
        return fail(ErrorKind::UnknownName, "no request has the key \"" + record.m_key + "\"", "discard the outcome");
    if (known->second.m_state != RequestState::Intended)
        return fail(ErrorKind::Conflict, "the request \"" + record.m_key + "\" has already ended", "discard the outcome");
    if (mode == CommandMode::Test)
        return {};

    known->second.m_state = record.m_state;
    known->second.m_wall = wall;
    return {};
}

} // namespace bulrushloft
