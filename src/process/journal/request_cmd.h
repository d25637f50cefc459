/** @file request_cmd.h Commands for non-idempotent requests. */
#pragma once

#include "core/command_type.h"
#include "core/error_type.h"
#include "process/journal/shard_state_base.h"

namespace bulrushloft {

/**
 * Records the intent to dispatch a non-idempotent request; the request is dispatched only after the log has acknowledged this record.
 * @return Conflict if the key is already used, unless that request is known not to have run.
 */
Expected<void> recordRequestIntent(ShardState& state, const IntendRequestRecord& record, TimePoint wall, CommandMode mode);

/**
 * Records the outcome of a non-idempotent request.
 * @return UnknownName if the key is unknown; Conflict if the request has already ended.
 */
Expected<void> finishRequest(ShardState& state, const FinishRequestRecord& record, TimePoint wall, CommandMode mode);

} // namespace bulrushloft
