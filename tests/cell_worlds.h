/** @file cell_worlds.h Runs of simulated cells with consecutive seeds, with settings from the environment. */
#pragma once

#include "cell_simulation.h"
#include "core/log_func.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>

namespace bulrushloft::test {

inline std::uint64_t fromEnvironment(const char* name, std::uint64_t fallback)
{
    const char* const text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

inline int intFromEnvironment(const char* name, int fallback)
{
    return static_cast<int>(fromEnvironment(name, static_cast<std::uint64_t>(fallback)));
}

/** Runs simulations; each violation is an error whose message begins with the settings that replay it. */
inline void runSimulations(std::uint64_t seed, std::uint64_t count, CellSimulationOptions options)
{
    openLog({ .m_level = std::getenv("CELL_LOG") ? LogLevel::Info : LogLevel::Off, .m_process = "cell" });
    CellSimulationResult total;
    int broken = 0;
    for (std::uint64_t i = 0; i < count; ++i) {
        options.m_seed = seed + i;
        const CellSimulationResult result = runCellSimulation(options);
        total.m_startedAttempts += result.m_startedAttempts;
        total.m_terms += result.m_terms;
        total.m_accepted += result.m_accepted;
        total.m_approvalCalls += result.m_approvalCalls;
        total.m_refusedTickets += result.m_refusedTickets;
        total.m_soundSubmissions += result.m_soundSubmissions;
        total.m_soundAccepted += result.m_soundAccepted;
        total.m_longestWaitMs = std::max(total.m_longestWaitMs, result.m_longestWaitMs);
        total.m_lateJobs += result.m_lateJobs;
        total.m_lateServed += result.m_lateServed;
        total.m_cuts += result.m_cuts;
        total.m_doubleTerms += result.m_doubleTerms;
        total.m_guardedAttempts += result.m_guardedAttempts;
        total.m_silentCount += result.m_silentCount;
        total.m_silentAccepted += result.m_silentAccepted;
        total.m_silentEnds += result.m_silentEnds;
        total.m_longestSilentGapMs = std::max(total.m_longestSilentGapMs, result.m_longestSilentGapMs);
        total.m_resetConnections += result.m_resetConnections;
        total.m_mostHalfOpen = std::max(total.m_mostHalfOpen, result.m_mostHalfOpen);
        total.m_crashes += result.m_crashes;
        total.m_crashedAttempts += result.m_crashedAttempts;
        total.m_lapsedAttempts += result.m_lapsedAttempts;
        total.m_keyCalls += result.m_keyCalls;
        total.m_keyCallsPassed += result.m_keyCallsPassed;
        total.m_removedKeyCalls += result.m_removedKeyCalls;
        total.m_graceCallsPassed += result.m_graceCallsPassed;
        broken += result.m_violations.empty() ? 0 : 1;
        for (const std::string& violation : result.m_violations)
            BOOST_ERROR("CELL_SEED=" << options.m_seed << " CELL_WORLDS=1: " << violation);
    }
    std::cout << count << " simulations from seed " << seed << ": " << total.m_accepted << " jobs accepted, " << total.m_startedAttempts << " attempts, " << total.m_terms << " terms";
    if (options.m_needsApprovals)
        std::cout << ", " << total.m_approvalCalls << " approval calls, " << total.m_refusedTickets << " refused tickets, " << total.m_lateServed << " of " << total.m_lateJobs << " served after recovery";
    if (options.m_slowLossyStore.m_length.m_ms > 0)
        std::cout << ", " << total.m_soundAccepted << " of " << total.m_soundSubmissions << " submissions accepted once the store is sound, at most " << total.m_longestWaitMs << " ms waiting in a partition";
    if (options.m_zoneCut.m_count > 0)
        std::cout << ", " << total.m_cuts << " cuts, two leaders at once in " << total.m_doubleTerms << ", " << broken << " simulations broken";
    if (options.m_storeOutage.m_length.m_ms > 0)
        std::cout << ", " << total.m_lapsedAttempts << " of " << total.m_guardedAttempts << " attempts lapsed, " << broken << " simulations broken";
    if (options.m_silentPartitions.m_length.m_ms > 0)
        std::cout << ", " << total.m_silentAccepted << " of " << total.m_silentCount << " submissions accepted and " << total.m_silentEnds << " tasks ended while partitions were silent, at most " << total.m_longestSilentGapMs << " ms without an end, " << broken << " simulations broken";
    if (options.m_connectionFaults.m_workerCap > 0)
        std::cout << ", " << total.m_resetConnections << " connections reset by full workers, at most " << total.m_mostHalfOpen << " half-open ones at a worker, " << broken << " simulations broken";
    if (options.m_crashSeries.m_count > 0)
        std::cout << ", " << total.m_crashes << " crashes of workers under " << total.m_crashedAttempts << " attempts, " << broken << " simulations broken";
    if (options.m_keyChanges.m_customers > 0)
        std::cout << ", " << total.m_keyCallsPassed << " of " << total.m_keyCalls << " calls with valid keys passed, " << total.m_graceCallsPassed << " with keys removed within the limit, " << total.m_removedKeyCalls << " calls with keys removed before, " << broken << " simulations broken";
    std::cout << "\n";
}

/** @return Options of simulations without random faults, whose load has attempts that run for longer than a new leader waits for earlier leases. */
inline CellSimulationOptions makeLongRunOptions()
{
    CellSimulationOptions options;
    options.m_nodes = intFromEnvironment("CELL_NODES", 7);
    options.m_workers = intFromEnvironment("CELL_WORKERS", 24);
    options.m_jobs = intFromEnvironment("CELL_JOBS", 30);
    options.m_faults = intFromEnvironment("CELL_FAULTS", 0);
    options.m_lateOrderShare = static_cast<double>(fromEnvironment("CELL_LATE", 0)) / 100;
    options.m_longRunShare = 0.15;
    options.m_stopsAtViolation = !std::getenv("CELL_GO_ON");
    return options;
}

/** @return Options of simulations in which all daemons lose power under a backlog and racks of workers crash, with a load that fits the workers. */
inline CellSimulationOptions makeOutageOptions()
{
    CellSimulationOptions options;
    options.m_nodes = intFromEnvironment("CELL_NODES", 8);
    options.m_workers = intFromEnvironment("CELL_WORKERS", 40);
    options.m_jobs = intFromEnvironment("CELL_JOBS", 220);
    options.m_faults = 0;
    options.m_lateOrderShare = 0;
    options.m_needsApprovals = true;
    options.m_powerLoss = { .m_at = { 8'000 }, .m_downTime = { 1'300 }, .m_backlogJobs = intFromEnvironment("CELL_BACKLOG", 40) };
    options.m_rackWaves = { .m_count = intFromEnvironment("CELL_WAVES", 3), .m_first = { 7'000 }, .m_interval = { 7'000 }, .m_downTime = { 5'000 } };
    options.m_finishTime = { 14'000 }; // The platform's finish_s.
    options.m_stopsAtViolation = !std::getenv("CELL_GO_ON");
    options.m_loadDuration = { 26'000 }; // So that jobs are submitted later than 12 s after the daemons are back, for RECOVER.
    options.m_recoveryDuration = { 30'000 };
    return options;
}

} // namespace bulrushloft::test
