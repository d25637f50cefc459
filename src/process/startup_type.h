/** @file startup_type.h The daemon's start-up file. */
#pragma once

#include "core/address_type.h"
#include "core/clock_type.h"
#include "core/log_func.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** What a daemon reads once at its start. */
struct StartupSettings {
    std::string m_cell; ///< Name of the cell.
    std::string m_member; ///< Name of this VM.
    Address m_address; ///< Where to listen, over TCP for calls and over UDP for heartbeats.
    std::string m_zone; ///< Availability zone of this VM.
    Address m_log; ///< The platform's log.
    Address m_vmList; ///< The platform's list of VMs.
    std::vector<Address> m_seeds; ///< Daemons to greet before the list of VMs is known.
    LogLevel m_logLevel = LogLevel::Info; ///< Lowest level that is written.
    LogFormat m_logFormat = LogFormat::KeyValue; ///< Form of the lines.
    std::size_t m_bodyLimitBytes = 8 * 1024 * 1024; ///< Largest body of a request.
    std::size_t m_connectionLimit = 2'048; ///< Most connections of callers.
    std::size_t m_ringCapacity = 8'192; ///< Items that the ring of the deciding thread holds.
    Duration m_heartbeatInterval { 1'000 }; ///< Time between two heartbeats.
    Duration m_drainDelay { 2'000 }; ///< At shutdown, time for the balancer to notice before connections are refused.
    Duration m_shutdownLimit { 60'000 }; ///< Longest graceful shutdown.
    bool m_abortsOnInvariant = true; ///< Whether a broken invariant ends the process or is only counted.
};

/**
 * Reads a start-up file.
 * @param yaml Contents of the file.
 * @return The settings, or the path of the first bad value, what was found and what to write instead.
 */
Expected<StartupSettings> parseStartup(const std::string& yaml);

} // namespace bulrushloft
