/** @file request_dispatch.h Queue of requests and their dispatch to runners. */
#pragma once

#include "process/owner/owner_base.h"

namespace bulrushloft::detail {

/** @return Whether a runner may be given new requests. */
bool acceptsRequests(const ShardOwner& owner, const Runner& runner, TimePoint now);

/** Queues a request for dispatch, in the lane of its work class. */
void enqueue(ShardOwner& owner, RequestRun& request);

/** Removes a request from its lane if it is queued. */
void removeFromLane(ShardOwner& owner, const RequestRun& request);

/** Ends a dispatch and frees its slot. @param id The dispatch; unknown ones are ignored. */
void closeDispatch(ShardOwner& owner, const std::string& id);

/** Sends a request, for which a dispatch is open, to its runner. */
void dispatch(ShardOwner& owner, RequestRun& request, TimePoint now, Effects& effects);

} // namespace bulrushloft::detail
