/** @file daemon_process.h A bulrushloftd process on loopback, started, signalled and restarted by the soak. */
#pragma once

#include "connection/http_type.h"

#include <atomic>
#include <string>

#include <sys/types.h>

namespace bulrushloft::soak {

/** Addresses and files of one daemon. */
struct DaemonSetup {
    std::string m_program; ///< Path of bulrushloftd.
    std::string m_name; ///< Member name.
    std::string m_directory; ///< Directory of the start-up file and the log.
    std::string m_startupFile; ///< Contents of the start-up file; if empty, they are made from the fields below.
    Address m_clients; ///< Where the daemon serves clients.
    Address m_readiness; ///< Where it serves readiness checks.
    Address m_peers; ///< Where it serves its peers.
    Address m_advertisedPeers; ///< Address that its peers call, a proxy before m_peers.
    Address m_store; ///< Address of the store, a proxy before the stand-in.
    Address m_approvals; ///< Address of the approval service.
    std::string m_seeds; ///< Peer addresses of other daemons, separated by commas.
    double m_cpuShare = 0.5; ///< Share of a core that the daemon is told it has.
    int m_relayMinWorkers = 1'000; ///< Number of workers from which on orders go through peers.
};

/** One daemon. Ends only the process that it has started, by its id. */
class DaemonProcess {
public:
    explicit DaemonProcess(DaemonSetup setup);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess&) = delete;
    DaemonProcess& operator=(const DaemonProcess&) = delete;

    /** Writes the start-up file and starts the process. */
    void start();

    /** Sends a signal to the running process; does nothing when there is none. */
    void signal(int number) const;

    /** Waits for the process to end. @return Whether it has ended within the limit. */
    bool waitForEnd(Duration limit);

    /** @return Whether the process runs; one that has ended by itself is noticed here. */
    bool isRunning();

    const DaemonSetup& setup() const { return m_setup; }
    pid_t pid() const { return m_pid; }
    int exitStatus() const { return m_exitStatus; } ///< Status of the latest process that has ended, as waitpid() gives it.

private:
    DaemonSetup m_setup;
    std::atomic<pid_t> m_pid { 0 }; ///< Read by the proxies' thread as well.
    int m_exitStatus = 0;
};

} // namespace bulrushloft::soak
