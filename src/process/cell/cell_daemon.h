/** @file cell_daemon.h The daemon of a cell: a thread for input and output, one that decides, joined by a bounded ring. */
#pragma once

#include "process/cell/cell_startup.h"

namespace bulrushloft::cell {

/** A running daemon; lives for the process. */
class CellDaemon {
public:
    struct Impl;

    explicit CellDaemon(const CellStartup& settings);
    ~CellDaemon();
    CellDaemon(const CellDaemon&) = delete;
    CellDaemon& operator=(const CellDaemon&) = delete;

    /**
     * Opens the sockets and starts the threads.
     * @return Nothing, or an error that names the remedy.
     */
    Expected<void> start();

    /** Takes a start-up file that has changed; what needs a restart stays as it is. */
    void reload(const CellStartup& settings);

    /** Hands the leadership over, serves until the balancer has noticed, answers what is open; returns when done. */
    void shutDown();

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace bulrushloft::cell
