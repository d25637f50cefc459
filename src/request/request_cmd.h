/** @file request_cmd.h Commands on non-idempotent requests. */
#pragma once

#include "core/command_type.h"
#include "core/error_type.h"
#include "process/shard_state_base.h"

namespace bulrushloft {

/**
 * Allows the dispatch of a non-idempotent request; nothing is dispatched before this is confirmed on the log.
 * @return Conflict when the key is known already.
 */
Expected<void> recordRequestIntent(ShardState& state, const IntendRequestRecord& record, TimePoint wall, CommandMode mode);

/**
 * Records how a non-idempotent request ended.
 * @return UnknownName when the key is not known; Conflict when it has ended already.
 */
Expected<void> finishRequest(ShardState& state, const FinishRequestRecord& record, TimePoint wall, CommandMode mode);

} // namespace bulrushloft
