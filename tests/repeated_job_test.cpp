/** @file repeated_job_test.cpp A job with thousands of occurrences, most of which have ended. */
#define BOOST_TEST_MODULE repeated_job
#include <boost/test/unit_test.hpp>

#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"

#include <chrono>

using namespace bulrushloft;
using namespace bulrushloft::scheduler;

namespace {

constexpr const char* jobId = "a000000000000000";
constexpr std::uint32_t occurrences = 3'500;
constexpr std::uint32_t openOccurrences = 2; ///< The latest ones are not done.
constexpr TimePoint start { 10'000'000 };
constexpr std::chrono::milliseconds longestRound { 450 }; ///< Half of the time after which a leader counts as lost; a VM may have a quarter of a core.

Scheduler makeScheduler()
{
    Scheduler scheduler;
    setCluster(scheduler, { .m_version = 1, .m_queues = { { .m_name = "q", .m_pool = "pool" } }, .m_pools = { { .m_name = "pool" } } });
    return scheduler;
}

JobPlan makePlan()
{
    const StepPlan step { .m_count = 1, .m_size = { .m_cpuMilli = 100, .m_memoryMb = 16, .m_gpus = 0 }, .m_estimatedRunTime = { 20 } };
    StepPlan second = step;
    second.m_predecessors = { 0 };
    return { .m_id = jobId, .m_queue = "q", .m_policy = { .m_pool = "pool" }, .m_payload = "p", .m_steps = { step, second }, .m_firstStart = { 1'000 }, .m_period = { 16 }, .m_occurrenceCount = occurrences, .m_submittedAt = { 1'000 } };
}

/** @return The progress record of a job of which all occurrences but the latest ones are done. */
std::string makeProgress()
{
    Scheduler writer = makeScheduler();
    acceptJob(writer, makePlan(), start);
    for (const auto& run : writer.m_jobs.at(jobId)->m_runs) {
        if (run->m_occurrence + openOccurrences >= occurrences)
            continue;
        run->m_tasks.front().m_resolution = TaskResolution::Done;
        run->m_doneCount = 1;
    }
    return takeRecords(writer).back().m_value;
}

} // namespace

// A new leader took 14 s of a core for such a job, answered no heartbeat meanwhile and was replaced, as was each one after it (LOST).
BOOST_AUTO_TEST_CASE(a_leader_restores_a_job_of_many_occurrences_in_time)
{
    const std::string progress = makeProgress();
    Scheduler scheduler = makeScheduler();
    scheduler.m_areSubmissionsUnread = true;
    scheduler.m_areCancellationsUnread = true;
    const auto before = std::chrono::steady_clock::now();
    restorePlan(scheduler, makePlan(), start);
    BOOST_REQUIRE(restoreProgress(scheduler, jobId, progress, start));
    finishRestoring(scheduler, start, start);
    finishSubmissions(scheduler, start);
    BOOST_TEST((std::chrono::steady_clock::now() - before < longestRound / 4));
    const Job& job = *scheduler.m_jobs.at(jobId);
    BOOST_TEST(job.m_runs.size() == occurrences * 2U);
    BOOST_TEST(job.m_openTasks == openOccurrences * 2U);
    const auto waiting = std::count_if(job.m_runs.begin(), job.m_runs.end(), [](const auto& run) { return run->m_isReleased && run->m_doneCount == 0; });
    BOOST_TEST(waiting == openOccurrences); // The first step of each.
}

// The same without a change of the leader: all occurrences of a job that is handed in late are due at once.
BOOST_AUTO_TEST_CASE(a_job_whose_occurrences_are_all_due_is_accepted_in_time)
{
    Scheduler scheduler = makeScheduler();
    const auto before = std::chrono::steady_clock::now();
    acceptJob(scheduler, makePlan(), start);
    BOOST_TEST((std::chrono::steady_clock::now() - before < longestRound / 4));
    const auto waiting = std::count_if(scheduler.m_waitingSteps.begin(), scheduler.m_waitingSteps.end(), [](const StepRun* run) { return run->m_step == 0; });
    BOOST_TEST(waiting == occurrences);
    BOOST_TEST(scheduler.m_waitingSteps.size() == occurrences);
}
