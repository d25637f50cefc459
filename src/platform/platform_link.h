/** @file platform_link.h All that the cell needs of the users' platform, behind the cell's own ports. */
#pragma once

#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "process/cell/cell_base.h"

namespace bulrushloft::platform {

/** Addresses of the platform's services. */
struct PlatformAddresses {
    Address m_store; ///< The metadata store.
    Address m_approvals; ///< The service that approves workers; port 0 for none.
    std::size_t m_maxIdleConnections = 1'024; ///< Idle connections that are kept to workers, for each kind of call.
};

/** Runs work on the deciding thread. */
using PostWork = std::function<void(std::function<void()>)>;

/** The clients of the platform's services; lives for the process. */
class PlatformLink {
public:
    PlatformLink(EventLoop& loop, const PlatformAddresses& addresses);

    /** Fills the ports that lead to the platform; answers are posted to the deciding thread. */
    void fillPorts(cell::CellPorts& ports, const PostWork& post);

    /** @return Reads of the platform's records. */
    static cell::CellDecoders makeDecoders();

    /** @return The topics under the platform's names. */
    static cell::CellTopics makeTopics();

    const StoreClient& store() const { return m_store; }
    const WorkerClient& workers() const { return m_workers; }

private:
    PlatformAddresses m_addresses;
    StoreClient m_store;
    WorkerClient m_workers;
};

/** @return Whether a request asks if the process is ready. */
bool isReadinessRequest(const HttpRequest& request);

} // namespace bulrushloft::platform
