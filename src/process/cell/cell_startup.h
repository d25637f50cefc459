/** @file cell_startup.h The start-up file of a daemon of the cell. */
#pragma once

#include "core/log_func.h"
#include "process/cell/cell_base.h"

namespace bulrushloft::cell {

/** What a daemon reads at its start, and again on SIGHUP. */
struct CellStartup {
    std::string m_member; ///< Name of this VM.
    std::string m_zone; ///< Its availability zone.
    double m_cpuShare = 1; ///< Its share of a core.
    std::size_t m_descriptors = 4'096; ///< Descriptors that the process may open; half of them may be idle connections to workers.
    double m_linkMbps = 1'000; ///< Bandwidth of its link in Mbit/s.
    Address m_clients; ///< Where clients call.
    Address m_readiness; ///< Where the platform asks whether it is ready.
    Address m_peers; ///< Where other daemons call.
    Address m_metrics; ///< Where metrics are read.
    Address m_store; ///< The metadata store.
    Address m_approvals; ///< The service that approves workers; port 0 for none.
    std::vector<Address> m_seeds; ///< Peers to ask before any is known.
    LogLevel m_logLevel = LogLevel::Info; ///< Lowest level that is written.
    LogFormat m_logFormat = LogFormat::KeyValue; ///< Form of the lines.
    scheduler::SchedulerOptions m_scheduler; ///< Times of the scheduler.
    Duration m_serveAfterSigterm { 2'600 }; ///< After SIGTERM, time in which the balancer notices.
    Duration m_shutdownLimit { 4'800 }; ///< After SIGTERM, longest time until the process ends.
    std::size_t m_relayMinWorkers = 1'000; ///< With so many workers the leader's orders are passed on by peers.
    std::size_t m_ringCapacity = 16'384; ///< Items that the ring of the deciding thread holds.
    bool m_abortsOnInvariant = false; ///< Whether a broken invariant ends the process or is only counted.
};

/**
 * Reads a start-up file.
 * @param yaml Contents of the file.
 * @return The settings, or the path of the first bad value, what was found and what to write instead.
 */
Expected<CellStartup> parseCellStartup(const std::string& yaml);

} // namespace bulrushloft::cell
