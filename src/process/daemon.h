/** @file daemon.h The daemon of an entry VM: one thread for each duty, joined by a bounded ring. */
#pragma once

#include "process/startup_type.h"

#include <memory>

namespace bulrushloft {

/** A running daemon; lives for the process. */
class Daemon {
public:
    struct Impl;

    explicit Daemon(const StartupSettings& settings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /**
     * Opens the sockets and starts the threads.
     * @return Nothing, or an error that names the remedy.
     */
    Expected<void> start();

    /** Takes a start-up file that has changed; only its log level takes effect without a restart. */
    static void reload(const StartupSettings& settings);

    /** Hands the shards over, answers what is in flight and ends; returns when all is done or the limit has passed. */
    void shutDown();

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace bulrushloft
