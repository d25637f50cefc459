/** @file cell_startup.h The start-up file of a cell daemon. */
#pragma once

#include "core/log_func.h"
#include "process/cell/cell_base.h"
#include "process/cell/connection_limits.h"

namespace bulrushloft::cell {

/** Settings that a daemon reads at start-up, and again on SIGHUP. */
struct CellStartup {
    std::string m_member; ///< Name of this VM.
    std::string m_zone; ///< Availability zone of this VM.
    double m_cpuShare = 1; ///< Share of a core that this VM has.
    std::size_t m_descriptors = 4'096; ///< Limit of open file descriptors; half of them may be idle connections to workers.
    ConnectionLimits m_limits; ///< What connections may take.
    double m_linkMbps = 1'000; ///< Bandwidth of the VM's link, in Mbit/s.
    Address m_clients; ///< Listening address for clients.
    Address m_readiness; ///< Listening address for readiness checks of the platform.
    Address m_peers; ///< Listening address for other daemons.
    Address m_advertisedPeers; ///< Address that other daemons call; the listening address unless a forwarder stands before it.
    Address m_metrics; ///< Listening address for metrics; port 0 for none.
    Address m_store; ///< Address of the metadata store.
    Address m_approvals; ///< Address of the service that approves workers; port 0 for none.
    std::vector<Address> m_seeds; ///< Peers to contact while no leader is known or the leader does not answer.
    LogLevel m_logLevel = LogLevel::Info; ///< Lowest level that is logged.
    LogFormat m_logFormat = LogFormat::KeyValue; ///< Format of log lines.
    scheduler::SchedulerOptions m_scheduler; ///< Options of the scheduler.
    std::optional<Duration> m_keyRevocation; ///< Time after its removal by which no VM accepts a key any more; empty when there is no such limit.
    bool m_handsOverWhenSlow = false; ///< Whether a leader whose VM has become much slower asks another VM to lead.
    bool m_rejectsHopeless = false; ///< Whether submissions that can't be started in time are refused also where the configuration names no customers.
    Duration m_serveAfterSigterm { 2'600 }; ///< Minimum time after SIGTERM during which clients are still served, so that the load balancer can notice.
    Duration m_shutdownLimit { 4'800 }; ///< Longest time from SIGTERM to the end of the process.
    std::size_t m_relayMinWorkers = 1'000; ///< From this number of workers on, peers forward the leader's orders.
    std::size_t m_ringCapacity = 16'384; ///< Capacity of the decision thread's ring, in items.
    bool m_abortsOnInvariant = false; ///< Whether a broken invariant aborts the process; otherwise it is only counted.
};

/**
 * Parses a start-up file.
 * @param yaml Contents of the file.
 * @return The settings, or an error with the path of the first invalid value, what was found and what to write instead.
 */
Expected<CellStartup> parseCellStartup(const std::string& yaml);

} // namespace bulrushloft::cell
