/** @file connection_limits.h What the connections of a daemon may take together, from the memory and descriptors of its VM. */
#pragma once

#include "connection/http_limits.h"
#include "core/error_type.h"

#include <optional>

namespace bulrushloft::cell {

/** What a start-up file says; what is empty is derived. */
struct LimitSettings {
    std::optional<std::size_t> m_memoryMb; ///< Memory of the VM, in MB; without it there are no limits on what all connections take together.
    std::size_t m_descriptors = 4'096; ///< Descriptors of the VM.
    HttpLimits m_clients; ///< Limits of the clients' listener; the other listeners have the same ones for a head and a trailer.
    std::optional<std::size_t> m_bodyBytes; ///< Largest body of a client.
    std::optional<std::size_t> m_connections; ///< Connections of clients.
    std::optional<std::size_t> m_unfinishedBytes; ///< Memory of all unfinished requests of clients.
};

/** Limits of all listeners, and of the responses that are read. */
struct ConnectionLimits {
    HttpLimits m_clients;
    HttpLimits m_readiness;
    HttpLimits m_peers;
    HttpLimits m_metrics;
    std::size_t m_storeResponseBytes = 0; ///< Memory of all unfinished responses of the store; 0 for no limit, here and below.
    std::size_t m_workerResponseBytes = 0; ///< Of workers.
    std::size_t m_approvalResponseBytes = 0; ///< Of the approval service.
    std::size_t m_peerResponseBytes = 0; ///< Of peers.
};

/** @return The limits, or an error if they need more than the VM has. */
Expected<ConnectionLimits> deriveLimits(const LimitSettings& settings);

} // namespace bulrushloft::cell
