/**
 * @file cell_crash_series_test.cpp Simulations of issue 45 in which many workers crash again and again, and no task is the cause: no job may be shown as
 * failed, none may run twice, and all must complete once the workers stay up.
 * CELL_SEED sets the first seed, CELL_WORLDS the number of simulations of each case, CELL_NODES, CELL_WORKERS and CELL_JOBS the size; CELL_LOG turns on
 * the log; with CELL_GO_ON a violation does not end its simulation. CMakeLists.txt makes each case a test of its own.
 */
#define BOOST_TEST_MODULE cell_crash_series
#include <boost/test/unit_test.hpp>

#include "cell_worlds.h"

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

constexpr std::uint64_t defaultSeed = 4'600;
constexpr std::uint64_t defaultSimulationCount = 4;
constexpr Duration loadAfter { 2'000 }; ///< The load goes on for this long after the last crashes.
constexpr Duration finishTime { 14'000 }; ///< The platform's finish_s.
constexpr Duration settlingTime { 30'000 }; ///< Three steps of each job, whose workers are up, and a wait for the longest lease.
constexpr int jobsPerSecond = 3;

CellSimulationOptions makeOptions(const WorkerCrashSeries& series)
{
    CellSimulationOptions options = makeLongRunOptions();
    options.m_crashSeries = series;
    options.m_longRunShare = 0;
    options.m_finishTime = finishTime;
    options.m_loadDuration = series.m_start + series.m_interval * series.m_count + loadAfter;
    options.m_recoveryDuration = settlingTime;
    options.m_jobs = intFromEnvironment("CELL_JOBS", static_cast<int>(options.m_loadDuration.m_ms * jobsPerSecond / 1'000));
    return options;
}

void run(const CellSimulationOptions& options)
{
    runSimulations(fromEnvironment("CELL_SEED", defaultSeed), fromEnvironment("CELL_WORLDS", defaultSimulationCount), options);
}

} // namespace

// A third of the workers crashed each second; jobs were given up after two or five crashes under one of their tasks.
BOOST_AUTO_TEST_CASE(no_job_is_given_up_when_workers_crash_in_series)
{
    run(makeOptions({ .m_count = 20 }));
}

BOOST_AUTO_TEST_CASE(no_job_is_given_up_when_workers_restart_under_their_id_in_series)
{
    run(makeOptions({ .m_count = 20, .m_isRenamed = false }));
}

BOOST_AUTO_TEST_CASE(no_job_is_given_up_when_dark_workers_crash_in_series)
{
    run(makeOptions({ .m_count = 10, .m_interval = { 2'500 }, .m_downTime = { 1'500 }, .m_darkShare = 0.5 }));
}

// The proof of such a crash came seconds after the last answer, when the attempt might have ended long before.
BOOST_AUTO_TEST_CASE(no_job_is_given_up_when_workers_crash_behind_cuts)
{
    run(makeOptions({ .m_count = 8, .m_share = 0.5, .m_interval = { 4'500 }, .m_cutLength = { 3'500 } }));
}

BOOST_AUTO_TEST_CASE(no_job_is_given_up_when_leaders_are_killed_while_workers_crash)
{
    CellSimulationOptions options = makeOptions({ .m_count = 20 });
    options.m_connectionFaults = { .m_powerLossCount = 5, .m_isKill = true, .m_interval = { 4'000 } };
    run(options);
}

BOOST_AUTO_TEST_CASE(jobs_complete_without_crashes)
{
    CellSimulationOptions options = makeOptions({ .m_count = 20 });
    options.m_crashSeries.m_count = 0;
    run(options);
}
