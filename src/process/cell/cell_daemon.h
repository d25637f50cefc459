/** @file cell_daemon.h A cell daemon: an I/O thread and a decision thread, connected by bounded rings. */
#pragma once

#include "process/cell/cell_startup.h"

namespace bulrushloft::cell {

/** A running daemon; lives as long as the process. */
class CellDaemon {
public:
    struct Impl;

    explicit CellDaemon(const CellStartup& settings);
    ~CellDaemon();
    CellDaemon(const CellDaemon&) = delete;
    CellDaemon& operator=(const CellDaemon&) = delete;

    /**
     * Opens the sockets and starts the threads.
     * @return An error with its remedy if a socket can't be opened.
     */
    Expected<void> start();

    /** Applies a changed start-up file: log level, seeds and scheduler options. Other settings need a restart. */
    void reload(const CellStartup& settings);

    /**
     * Hands the leadership over and serves clients until the load balancer has noticed and open calls are answered.
     * Blocks until done; the wait is bounded by the shutdown limit.
     */
    void shutDown();

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace bulrushloft::cell
