/** @file cell_simulation.h Daemons of a cell, a store, workers and clients under a controlled clock, with faults and checks. */
#pragma once

#include "process/cell/cell_func.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace bulrushloft::test {

/** How hard a world is. */
struct CellSimulationOptions {
    std::uint64_t m_seed = 1; ///< Decides all that is random.
    int m_nodes = 4; ///< Daemons.
    int m_workers = 6; ///< Workers of the one pool.
    int m_jobs = 60; ///< Jobs that clients submit.
    int m_faults = 6; ///< Faults, at random times.
    double m_lateOrderShare = 0.03; ///< Share of orders that are not answered and carried out later.
    Duration m_loadDuration { 20'000 }; ///< Time in which jobs arrive.
    Duration m_recoveryDuration { 40'000 }; ///< Time without faults in which all must end.
};

/** What a world has shown. */
struct CellSimulationResult {
    std::vector<std::string> m_violations; ///< Broken promises; empty when all held.
    int m_accepted = 0; ///< Jobs that were told as accepted.
    int m_complete = 0; ///< Of these, told as complete.
    int m_cancelled = 0; ///< Cancelled by their clients.
    int m_refused = 0; ///< Only ever told that nothing was done.
    std::uint64_t m_terms = 0; ///< Terms begun.
    std::uint64_t m_attempts = 0; ///< Attempts that ran on workers.
};

/** Runs one world to its end. */
CellSimulationResult runCellSimulation(const CellSimulationOptions& options);

} // namespace bulrushloft::test
