/** @file daemon.h The daemon of an entry VM: a decision thread that receives events from the I/O threads through a bounded ring. */
#pragma once

#include "process/node/startup_type.h"

#include <memory>

namespace bulrushloft {

/** A running daemon; lives as long as the process. */
class Daemon {
public:
    struct Impl;

    explicit Daemon(const StartupSettings& settings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /**
     * Opens the sockets and starts the threads.
     * @return An error with a remedy when a socket can't be opened.
     */
    Expected<void> start();

    /** Applies a changed start-up file; only the log level changes without a restart. */
    static void reload(const StartupSettings& settings);

    /** Hands over the shards, completes the calls in flight and stops; returns when done or when the shutdown limit has passed. */
    void shutDown();

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace bulrushloft
