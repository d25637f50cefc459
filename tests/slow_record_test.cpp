/** @file slow_record_test.cpp Starts that wait for their record for longer than their ticket is valid, as when the store's answers get lost. */
#define BOOST_TEST_MODULE slow_record
#include <boost/test/unit_test.hpp>

#include "wait_watch.h"

#include <iostream>

using namespace bulrushloft;
using namespace bulrushloft::scheduler;
using namespace bulrushloft::test;

namespace {

constexpr int workers = 60;
constexpr int proxies = 7;
constexpr double approvedShare = 0.4;
constexpr Duration loadLength { 20'000 };
constexpr Duration longestWait { 3'000 }; ///< The users' bound for a job with nothing running that could run (LOST).

/** Outcome of a load of gangs, wide steps and small steps. */
struct Outcome {
    std::uint64_t m_lapsedStarts = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_requestsInLoad = 0;
    std::uint64_t m_placedSteps = 0; ///< How often tasks of a step were placed together, in the load.
    std::uint64_t m_placements = 0;
    std::uint64_t m_jobs = 0;
    std::uint64_t m_lateJobs = 0; ///< Jobs whose first task started more than 5 s after the submission.
    std::uint64_t m_brokenGangs = 0; ///< Running members of gangs that were stopped.
    Duration m_longestWait; ///< See WaitWatch.
};

Outcome play(std::uint64_t seed, const std::function<Duration(std::mt19937_64&)>& recordTime)
{
    ApprovalLoad load(workers, proxies, approvedShare);
    std::mt19937_64 random(seed);
    std::mt19937_64 recordRandom(seed);
    load.m_recordTime = [&] { return recordTime(recordRandom); };
    WaitWatch watch;
    const auto runFor = [&](Duration length, bool isWatched) {
        constexpr Duration interval { 100 };
        for (const TimePoint end = load.m_now + length; load.m_now < end;) {
            load.run(interval);
            if (isWatched)
                watch.check(load);
        }
    };
    std::vector<std::string> jobs;
    for (const TimePoint end = load.m_now + loadLength; load.m_now < end;) { // Under half of the room is needed.
        if (random() % 100 < 6)
            jobs.push_back(load.submitGang(static_cast<std::uint32_t>(4 + random() % 2), random() % 2 == 0 ? 4 : 8));
        if (random() % 100 < 2)
            jobs.push_back(load.submit("small", { .m_count = 68, .m_size = { .m_cpuMilli = 15'000, .m_memoryMb = 1'000, .m_gpus = 0 }, .m_estimatedRunTime = { 1'000 } }));
        if (random() % 100 < 40)
            jobs.push_back(load.submit("quick", { .m_count = static_cast<std::uint32_t>(1 + random() % 10), .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1'000, .m_gpus = 0 }, .m_estimatedRunTime = { 400 } }));
        runFor({ 100 }, false);
    }
    Outcome outcome { .m_requestsInLoad = load.m_requests, .m_placedSteps = load.m_placedSteps.size() };
    load.m_recordTime = nullptr;
    runFor({ 20'000 }, true);
    constexpr Duration late { 5'000 };
    for (const std::string& job : jobs)
        outcome.m_lateJobs += !load.m_waits.contains(job) || load.m_waits.at(job) > late ? 1 : 0;
    outcome.m_lapsedStarts = load.m_lapsedStarts;
    outcome.m_requests = load.m_requests;
    outcome.m_placements = load.m_scheduler.m_counters.m_placements;
    outcome.m_jobs = jobs.size();
    outcome.m_brokenGangs = load.m_stoppedMembers;
    outcome.m_longestWait = watch.m_longest;
    std::cout << "seed " << seed << ": " << outcome.m_jobs << " jobs, " << outcome.m_lateJobs << " late, " << outcome.m_placements << " placements, " << outcome.m_lapsedStarts << " lapsed starts, " << outcome.m_requestsInLoad << " requests in the load for " << outcome.m_placedSteps << " placements of steps, " << outcome.m_requests << " in all, " << outcome.m_brokenGangs << " running members stopped, longest wait " << outcome.m_longestWait.m_ms << " ms (" << watch.m_longestJob << ")\n";
    return outcome;
}

Duration promptRecord(std::mt19937_64&)
{
    return { 10 };
}

/** As while the answers of the store get lost. */
Duration slowRecord(std::mt19937_64& random)
{
    return { std::uniform_int_distribution<std::int64_t>(100, 3'000)(random) };
}

const StepPlan oneTask { .m_count = 1, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1'000, .m_gpus = 1 }, .m_estimatedRunTime = { 1'000 } };

} // namespace

// Starts waited for their record until their ticket had lapsed, were refused, and their steps asked for approval and were placed anew:
// four hundred requests a second, and gangs that could run and did not.
BOOST_AUTO_TEST_CASE(starts_that_wait_for_their_record_do_not_leave_with_a_lapsed_ticket)
{
    std::uint64_t requests = 0;
    std::uint64_t placedSteps = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const Outcome prompt = play(seed, promptRecord);
        const Outcome slow = play(seed, slowRecord);
        BOOST_TEST(slow.m_lapsedStarts == 0U);
        BOOST_TEST(slow.m_placements == prompt.m_placements); // No work is thrown away.
        BOOST_TEST(slow.m_brokenGangs == 0U);
        BOOST_TEST(slow.m_longestWait.m_ms <= longestWait.m_ms);
        requests += slow.m_requestsInLoad;
        placedSteps += prompt.m_placedSteps;
    }
    BOOST_TEST(requests <= 2 * placedSteps); // One to place tasks of a step, and one to renew their tickets.
}

// A start that could get no new ticket would have kept its place, and its step from running elsewhere, for as long as no VM got an answer.
BOOST_AUTO_TEST_CASE(a_placement_without_a_new_ticket_is_withdrawn_and_the_step_runs_once_approvals_are_answered)
{
    ApprovalLoad load(10, proxies, 1.0);
    load.m_recordTime = [] { return Duration { 2'500 }; }; // The ticket lapses meanwhile.
    const StepRun& run = *load.m_scheduler.m_jobs.at(load.submit("gang", oneTask))->m_runs.front();
    while (run.m_activeAttempts == 0)
        load.tick();
    load.m_areRequestsAnswered = false;
    while (run.m_tasks.front().m_phase == RunPhase::Recording)
        load.tick();
    load.run(longestWait);
    BOOST_TEST(run.m_activeAttempts == 0U);
    BOOST_TEST(load.m_starts == 0U);
    load.m_areRequestsAnswered = true;
    load.m_recordTime = nullptr;
    load.run(longestWait);
    BOOST_TEST(load.m_starts == 1U);
}

// A refused ticket made the approval unknown, and the task was placed anew; yet the worker may run the step as before.
BOOST_AUTO_TEST_CASE(a_start_whose_ticket_is_refused_is_sent_again_with_a_new_one)
{
    ApprovalLoad load(10, proxies, 1.0);
    load.m_ticketsToRefuse = 1;
    const std::string job = load.submit("gang", oneTask);
    load.run({ 2'000 }); // Two requests of 0.5 s.
    const Task& task = load.m_scheduler.m_jobs.at(job)->m_runs.front()->m_tasks.front();
    BOOST_TEST(load.m_ticketsToRefuse == 0);
    BOOST_TEST(load.m_starts == 1U);
    BOOST_TEST(task.m_attempt == 1U);
    BOOST_TEST(load.m_requests == 2U);
    BOOST_TEST(load.m_latestNamed == 1U);
}

// A worker that refuses each ticket must not keep the task.
BOOST_AUTO_TEST_CASE(a_start_whose_tickets_are_refused_again_and_again_gives_up_its_place)
{
    ApprovalLoad load(10, proxies, 1.0);
    load.m_ticketsToRefuse = 4;
    const std::string job = load.submit("gang", oneTask);
    load.run({ 6'000 }); // Six requests of 0.5 s, and as much again.
    const Task& task = load.m_scheduler.m_jobs.at(job)->m_runs.front()->m_tasks.front();
    BOOST_TEST(load.m_starts == 1U);
    BOOST_TEST(task.m_attempt == 2U);
}
