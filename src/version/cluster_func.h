/** @file cluster_func.h Look-ups in the operator's configuration. */
#pragma once

#include "version/cluster_type.h"

#include <string_view>

namespace bulrushloft {

/**
 * Finds the queue of a path: the longest prefix that the path begins with.
 * @param cluster The configuration in force.
 * @param host Host that the caller named, without a port.
 * @param path Path of the call.
 * @return The queue, or null when there is none.
 */
const QueueSettings* findQueue(const ClusterSettings& cluster, std::string_view host, std::string_view path);

} // namespace bulrushloft
