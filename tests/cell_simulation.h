/** @file cell_simulation.h Deterministic simulation of a cell: daemons, store, workers and clients on a simulated clock, with fault injection and invariant checks. */
#pragma once

#include "process/cell/cell_func.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace bulrushloft::test {

/** Size, load and faults of a simulation. */
struct CellSimulationOptions {
    std::uint64_t m_seed = 1; ///< Seed of all random choices.
    int m_nodes = 4; ///< Number of daemons.
    int m_workers = 6; ///< Number of workers, all in one pool.
    int m_jobs = 60; ///< Number of jobs that clients submit.
    int m_faults = 6; ///< Number of faults, injected at random times during the load.
    int m_capacityChanges = 0; ///< How often the capacity of a worker shrinks during the load; it grows again seconds later. During half of these, the worker can't be reached.
    double m_lateOrderShare = 0.03; ///< Share of orders, 0 to 1, that time out at the sender and are carried out seconds later.
    Duration m_loadDuration { 20'000 }; ///< Period in which clients submit jobs and faults are injected.
    Duration m_recoveryDuration { 40'000 }; ///< Period after the load, without new faults, in which every accepted job must end.
};

/** Outcome of a simulation. */
struct CellSimulationResult {
    std::vector<std::string> m_violations; ///< Violated guarantees, with the simulated time; empty if all held.
    int m_accepted = 0; ///< Jobs whose submission was acknowledged.
    int m_complete = 0; ///< Accepted jobs that a daemon reported as complete.
    int m_cancelled = 0; ///< Jobs whose cancellation was acknowledged.
    int m_refused = 0; ///< Jobs that were certainly not accepted: each submission was refused or never sent.
    std::uint64_t m_terms = 0; ///< Leader terms that were started.
    std::uint64_t m_startedAttempts = 0; ///< Task attempts that workers started.
};

/**
 * Runs a simulation until its end or the first violation.
 * The counts of jobs and terms are complete only if no violation ended the simulation early.
 */
CellSimulationResult runCellSimulation(const CellSimulationOptions& options);

} // namespace bulrushloft::test
