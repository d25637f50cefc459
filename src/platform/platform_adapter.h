/** @file platform_adapter.h Adapter between the cell's ports and the services of the users' platform. */
#pragma once

#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "process/cell/cell_base.h"

namespace bulrushloft::platform {

/** Addresses of the platform's services, and connection limits. */
struct PlatformAddresses {
    Address m_store; ///< Address of the metadata store.
    Address m_approvals; ///< Address of the service that approves workers for tasks; port 0 if there is none.
    std::size_t m_maxIdleConnections = 1'024; ///< Maximum idle connections to all workers together.
    std::size_t m_storeResponseBytes = 0; ///< Memory of all unfinished responses of the store; 0 for no limit, here and below.
    std::size_t m_workerResponseBytes = 0; ///< Of workers.
    std::size_t m_approvalResponseBytes = 0; ///< Of the approval service.
};

/** Posts a function to the decision thread, which runs all logic of the cell. */
using PostFunction = std::function<void(std::function<void()>)>;

/** Owns the clients of the platform's services; must outlive the ports that fillPorts() sets. */
class PlatformAdapter {
public:
    PlatformAdapter(EventLoop& loop, const PlatformAddresses& addresses);

    /**
     * Sets the ports that call the platform's services.
     * @param ports Receives the callbacks; ports for calls to peers are left unchanged.
     * @param post Posts each answer to the decision thread.
     */
    void fillPorts(cell::CellPorts& ports, const PostFunction& post);

    /** @return Decoders of the platform's records. */
    static cell::CellDecoders makeDecoders();

    /** @return The store topics, with the names that the platform gives them. */
    static cell::CellTopics makeTopics();

    /** Closes the connections to workers; for a VM that stops leading. */
    void retireWorkerConnections() { m_workers.retireConnections(); }

    const StoreClient& store() const { return m_store; }
    const WorkerClient& workers() const { return m_workers; }

private:
    PlatformAddresses m_addresses;
    StoreClient m_store;
    WorkerClient m_workers;
};

/** @return Whether the request is the platform's readiness check. */
bool isReadinessRequest(const HttpRequest& request);

} // namespace bulrushloft::platform
