/** @file cluster.cpp Queries on the operator's configuration. */
#include "version/cluster_func.h"

namespace bulrushloft {

const QueueSettings* findQueue(const ClusterSettings& cluster, std::string_view host, std::string_view path)
{
    const QueueSettings* found = nullptr;
    for (const QueueSettings& queue : cluster.m_queues) {
        if (queue.m_host != host || !path.starts_with(queue.m_pathPrefix))
            continue;
        if (!found || queue.m_pathPrefix.size() > found->m_pathPrefix.size())
            found = &queue;
    }
    return found;
}

} // namespace bulrushloft
