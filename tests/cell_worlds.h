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
    for (std::uint64_t i = 0; i < count; ++i) {
        options.m_seed = seed + i;
        const CellSimulationResult result = runCellSimulation(options);
        total.m_startedAttempts += result.m_startedAttempts;
        total.m_terms += result.m_terms;
        total.m_accepted += result.m_accepted;
        total.m_approvalCalls += result.m_approvalCalls;
        total.m_refusedTickets += result.m_refusedTickets;
        total.m_lateJobs += result.m_lateJobs;
        total.m_lateServed += result.m_lateServed;
        for (const std::string& violation : result.m_violations)
            BOOST_ERROR("CELL_SEED=" << options.m_seed << " CELL_WORLDS=1: " << violation);
    }
    std::cout << count << " simulations from seed " << seed << ": " << total.m_accepted << " jobs accepted, " << total.m_startedAttempts << " attempts, " << total.m_terms << " terms";
    if (options.m_needsApprovals)
        std::cout << ", " << total.m_approvalCalls << " approval calls, " << total.m_refusedTickets << " refused tickets, " << total.m_lateServed << " of " << total.m_lateJobs << " served after recovery";
    std::cout << "\n";
}

} // namespace bulrushloft::test
