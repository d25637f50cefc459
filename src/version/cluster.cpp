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

QueuePolicy policyOf(const QueueSettings& queue, std::uint64_t version)
{
    return {
        .m_version = version,
        .m_pool = queue.m_pool,
        .m_priority = queue.m_priority,
        .m_failureLimit = queue.m_failureLimit,
        .m_slackFactor = queue.m_slackFactor,
        .m_latencyTarget = queue.m_latencyTarget,
        .m_approval = queue.m_approval,
    };
}

} // namespace bulrushloft
