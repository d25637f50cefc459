/** @file queue_policy_codec.h Encoding of the policy of a queue, for the records of jobs and queues. */
#pragma once

#include "request/queue_policy_type.h"

#include <nlohmann/json.hpp>

namespace bulrushloft {

/** @return The policy without its pool, as a part of a record. */
nlohmann::json policyToJson(const QueuePolicy& policy);

/**
 * Decodes a policy, without its pool. Amounts that no queue can have are replaced by the nearest ones, as the operator may have configured them.
 * @throws std::exception if it is malformed.
 */
QueuePolicy policyFromJson(const nlohmann::json& row);

} // namespace bulrushloft
