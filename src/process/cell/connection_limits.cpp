/** @file connection_limits.cpp Shares of a VM's memory and descriptors. */
#include "process/cell/connection_limits.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    constexpr std::size_t bytesPerMb = 1'000'000;
    constexpr std::size_t connectionBytes = 8 * 1024; ///< Memory of an idle connection: its buffer of 4 KiB, its parser and its timer.
    constexpr std::size_t smallBodyBytes = 64 * 1024; ///< Readiness checks and reads of metrics have no body.
    constexpr std::size_t fewConnections = 4; ///< At least this many for each listener.

    HttpLimits limitsFor(const HttpLimits& base, std::size_t connections, std::size_t unfinishedBytes, std::size_t bodyBytes)
    {
        HttpLimits limits = base;
        limits.m_closesOldest = true;
        limits.m_connections = std::max(fewConnections, std::min(connections, base.m_connections));
        limits.m_unfinishedBytes = unfinishedBytes;
        limits.m_message.m_bodyBytes = bodyBytes;
        return limits;
    }

    /** Without the VM's memory, only what the start-up file names differs from the defaults. */
    ConnectionLimits withoutMemory(const LimitSettings& settings)
    {
        ConnectionLimits limits { .m_clients = settings.m_clients, .m_readiness = settings.m_clients, .m_peers = settings.m_clients, .m_metrics = settings.m_clients };
        limits.m_clients.m_message.m_bodyBytes = settings.m_bodyBytes.value_or(limits.m_clients.m_message.m_bodyBytes);
        limits.m_clients.m_connections = settings.m_connections.value_or(limits.m_clients.m_connections);
        limits.m_clients.m_unfinishedBytes = settings.m_unfinishedBytes.value_or(0);
        limits.m_clients.m_closesOldest = settings.m_connections.has_value();
        return limits;
    }

    /** @return Largest body of a client: parsed as JSON it may take some 30 times its bytes. */
    std::size_t largestBody(std::size_t memory)
    {
        constexpr std::size_t memoryPerBodyByte = 128;
        constexpr std::size_t least = 512 * 1024; // Sound clients send at most 262,144 bytes.
        return std::clamp(memory / memoryPerBodyByte, least, HttpMessageLimits {}.m_bodyBytes);
    }

    std::size_t memoryOf(const HttpLimits& limits)
    {
        return limits.m_unfinishedBytes + limits.m_connections * connectionBytes;
    }

} // namespace

Expected<ConnectionLimits> deriveLimits(const LimitSettings& settings)
{
    if (!settings.m_memoryMb)
        return withoutMemory(settings);
    constexpr std::size_t fileDescriptors = 200;
    constexpr std::size_t tenth = 10;
    constexpr std::size_t smallBytes = 1024 * 1024;
    constexpr std::size_t mostProbes = 64; ///< Few processes ask for readiness or metrics.
    const std::size_t memory = *settings.m_memoryMb * bytesPerMb;
    const std::size_t files = std::min(fileDescriptors, settings.m_descriptors / 4);
    const std::size_t idleToWorkers = settings.m_descriptors / 2;
    const std::size_t accepted = settings.m_descriptors - files - idleToWorkers;
    const std::size_t byMemory = memory / (16 * connectionBytes);
    const std::size_t peerBody = settings.m_clients.m_message.m_bodyBytes;
    ConnectionLimits limits;
    limits.m_clients = limitsFor(settings.m_clients, settings.m_connections.value_or(std::min(accepted / 2, byMemory)), settings.m_unfinishedBytes.value_or(memory / tenth), settings.m_bodyBytes.value_or(largestBody(memory)));
    limits.m_peers = limitsFor(settings.m_clients, std::min(accepted / 4, byMemory), memory / tenth, peerBody);
    limits.m_readiness = limitsFor(settings.m_clients, std::min(accepted / 32, mostProbes), smallBytes, smallBodyBytes);
    limits.m_metrics = limits.m_readiness;
    limits.m_storeResponseBytes = memory / 8;
    limits.m_peerResponseBytes = memory / tenth;
    limits.m_workerResponseBytes = memory / 16;
    limits.m_approvalResponseBytes = memory / 32;
    std::size_t needed = limits.m_storeResponseBytes + limits.m_peerResponseBytes + limits.m_workerResponseBytes + limits.m_approvalResponseBytes;
    std::size_t connections = files + idleToWorkers;
    for (const HttpLimits* listener : { &limits.m_clients, &limits.m_peers, &limits.m_readiness, &limits.m_metrics }) {
        needed += memoryOf(*listener);
        connections += listener->m_connections;
    }
    const std::size_t usable = memory / 4 * 3; // The rest is for the process without connections.
    if (needed > usable)
        return fail(ErrorKind::InvalidInput, "the connections may need " + std::to_string(needed) + " bytes, more than three quarters of memory_mb", "lower limits/unfinished_bytes or limits/connections");
    if (connections > settings.m_descriptors)
        return fail(ErrorKind::InvalidInput, "the connections may need " + std::to_string(connections) + " descriptors, more than the setting descriptors", "lower limits/connections");
    return limits;
}

} // namespace bulrushloft::cell
