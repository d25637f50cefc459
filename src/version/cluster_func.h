/** @file cluster_func.h Queries on the operator's configuration. */
#pragma once

#include "version/cluster_type.h"

#include <string_view>

namespace bulrushloft {

/**
 * Finds the queue for a call: among the queues of the host, the one with the longest matching path prefix.
 * @param cluster The current configuration.
 * @param host Host named by the caller, without a port.
 * @param path Path of the call.
 * @return The queue, or nullptr if none matches.
 */
const QueueSettings* findQueue(const ClusterSettings& cluster, std::string_view host, std::string_view path);

/** @return How the jobs of a queue are scheduled. @param version Version of the configuration that the settings belong to. */
QueuePolicy policyOf(const QueueSettings& queue, std::uint64_t version);

} // namespace bulrushloft
