/** @file startup_type.h The daemon's start-up file. */
#pragma once

#include "core/address_type.h"
#include "core/clock_type.h"
#include "core/log_func.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** Settings that a daemon reads from its start-up file; only the log level can change without a restart. */
struct StartupSettings {
    std::string m_cell; ///< Name of the cell.
    std::string m_member; ///< Name of this VM.
    Address m_address; ///< Listening address, for calls over TCP and heartbeats over UDP.
    std::string m_zone; ///< Availability zone of this VM.
    Address m_log; ///< Address of the platform's log service.
    Address m_vmList; ///< Address of the platform's VM list service.
    std::vector<Address> m_seeds; ///< Daemons that receive heartbeats even before the VM list has been read.
    LogLevel m_logLevel = LogLevel::Info; ///< Lowest level that is logged.
    LogFormat m_logFormat = LogFormat::KeyValue; ///< Format of log lines.
    std::size_t m_bodyLimitBytes = 8 * 1024 * 1024; ///< Largest accepted request body, in bytes.
    std::size_t m_connectionLimit = 2'048; ///< Maximum number of open connections to the HTTP server.
    std::size_t m_ringCapacity = 8'192; ///< Capacity of the decision thread's event ring, in items.
    Duration m_heartbeatInterval { 1'000 }; ///< Interval between heartbeats.
    Duration m_drainDelay { 2'000 }; ///< Time after the start of a shutdown during which connections are still accepted, so that the load balancer can notice the shutdown.
    Duration m_shutdownLimit { 60'000 }; ///< Longest duration of a graceful shutdown.
    bool m_abortsOnInvariant = true; ///< Whether a broken invariant aborts the process; otherwise it is only counted.
};

/**
 * Parses a start-up file.
 * @param yaml Contents of the file.
 * @return The settings, or an error with the path of the first invalid value, what was found and what to write instead.
 */
Expected<StartupSettings> parseStartup(const std::string& yaml);

} // namespace bulrushloft
