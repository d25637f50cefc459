/** @file place_wait_load_test.cpp Random loads on two racks: waits for better places end, keep no job from running for long, and let tasks end earlier. */
#define BOOST_TEST_MODULE place_wait_load
#include <boost/test/unit_test.hpp>

#include "rack_load.h"
#include "wait_watch.h"

#include <ctime>
#include <iostream>

using namespace bulrushloft;
using namespace bulrushloft::scheduler;
using namespace bulrushloft::test;

namespace {

constexpr Duration longestWait { 3'000 }; ///< The users' bound for a job with nothing running that could run (LOST).

/** What became of a load. */
struct LoadResult {
    double m_meanMs = 0; ///< Mean time from the acceptance of a job to its end.
    Duration m_longestWait; ///< See WaitWatch.
    PlaceWaitCounters m_counters;
    bool m_isConsistent = true;
    std::size_t m_openJobs = 0; ///< Jobs that did not end in time.
};

/** Random jobs on two racks of 12 workers. */
struct RandomLoad {
    static constexpr int rackWorkers = 12;
    RackLoad m_load;
    std::mt19937_64 m_random;
    WaitWatch m_watch;
    std::vector<std::string> m_jobs;
    bool m_hasFaults;

    RandomLoad(std::uint64_t seed, bool waits, bool hasFaults)
        : m_load(rackWorkers, rackWorkers, waits)
        , m_random(seed)
        , m_hasFaults(hasFaults)
    {
        m_load.m_scheduler.m_options.m_endedJobRetention = { 3'600'000 };
        m_load.m_estimateError = [](const TaskName& task) {
            constexpr unsigned tailPercent = 3;
            const std::uint64_t hash = stableHash(task.m_job, task.m_index);
            return hash % 100 < tailPercent ? 7 : 0.5 + static_cast<double>(hash / 100 % 100) / 100;
        };
    }

    bool happens(unsigned percent) { return m_random() % 100 < percent; }

    void submit()
    {
        const Duration length { static_cast<std::int64_t>(300 + m_random() % 2'500) };
        const std::string rack = happens(70) ? nearRack : farRack;
        const std::string queue = happens(30) ? "quick" : "plain";
        const auto width = static_cast<std::uint32_t>(1 + m_random() % 3);
        StepPlan step = RackLoad::makeStep(width, happens(70) ? rack : "", length);
        if (happens(15)) {
            step.m_isGang = true;
            step.m_isRackLocal = true;
            step.m_dataRack.clear();
        }
        m_jobs.push_back(m_load.submit(queue, step));
    }

    void disturb()
    {
        const std::string id = (happens(50) ? "near" : "far") + std::to_string(m_random() % rackWorkers);
        ApprovalLoad::SimulatedWorker& worker = m_load.m_workers.at(id);
        const unsigned choice = m_random() % 300;
        if (choice < 2) {
            m_load.kill(worker);
            m_load.announce(id);
        } else if (choice < 4) {
            worker.m_silentUntil = m_load.m_now + Duration { 2'000 };
        } else if (choice < 6) {
            m_load.announce(id, choice == 4);
        }
    }

    LoadResult play(Duration length, unsigned percentPerTick)
    {
        constexpr Duration drainTime { 120'000 };
        for (const TimePoint end = m_load.m_now + length; m_load.m_now < end;) {
            if (happens(percentPerTick))
                submit();
            if (m_hasFaults)
                disturb();
            m_load.tick();
            m_watch.check(m_load);
        }
        for (int i = 0; i < rackWorkers; ++i) {
            m_load.announce("near" + std::to_string(i));
            m_load.announce("far" + std::to_string(i));
        }
        const auto isOpen = [&](const std::string& id) { return !isFinal(m_load.m_scheduler.m_jobs.at(id)->m_stage); };
        for (const TimePoint end = m_load.m_now + drainTime; m_load.m_now < end && std::any_of(m_jobs.begin(), m_jobs.end(), isOpen);)
            m_load.tick();
        LoadResult result { .m_longestWait = m_watch.m_longest, .m_counters = m_load.counters(), .m_isConsistent = isConsistent(m_load.m_scheduler) };
        for (const std::string& id : m_jobs) {
            const Job& job = *m_load.m_scheduler.m_jobs.at(id);
            result.m_openJobs += isFinal(job.m_stage) ? 0 : 1;
            result.m_meanMs += static_cast<double>((job.m_endedAt - job.m_acceptedAt).m_ms) / static_cast<double>(m_jobs.size());
        }
        return result;
    }
};

LoadResult play(std::uint64_t seed, bool waits, bool hasFaults, unsigned percentPerTick)
{
    constexpr Duration length { 60'000 };
    RandomLoad random(seed, waits, hasFaults);
    const LoadResult result = random.play(length, percentPerTick);
    std::cout << "seed " << seed << (waits ? " waits" : " off") << (hasFaults ? " faults" : "") << ": " << random.m_jobs.size() << " jobs, mean " << result.m_meanMs << " ms, longest wait " << result.m_longestWait.m_ms << " ms (" << random.m_watch.m_longestJob << "), " << result.m_counters.m_begun << " begun, " << result.m_counters.m_ended << " ended, " << result.m_counters.m_givenUp << " given up, " << result.m_counters.m_waitedMs << " ms, " << result.m_openJobs << " not ended\n";
    return result;
}

constexpr std::uint64_t seeds = 8;

} // namespace

// A step that leaves places to others could wait for good, or keep what it has counted.
BOOST_AUTO_TEST_CASE(every_wait_ends_and_no_job_that_could_run_waits_for_3_s)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        constexpr unsigned light = 5;
        const LoadResult result = play(seed, true, false, light);
        BOOST_TEST(result.m_openJobs == 0U);
        BOOST_TEST(result.m_isConsistent);
        BOOST_TEST(result.m_longestWait.m_ms <= longestWait.m_ms);
        BOOST_TEST(result.m_counters.m_begun == result.m_counters.m_ended + result.m_counters.m_givenUp);
    }
}

// Workers that crash, fall silent or drain while steps wait for them.
BOOST_AUTO_TEST_CASE(every_wait_ends_when_workers_fail)
{
    for (std::uint64_t seed = 101; seed <= 100 + seeds; ++seed) {
        constexpr unsigned light = 5;
        const LoadResult result = play(seed, true, true, light);
        BOOST_TEST(result.m_openJobs == 0U);
        BOOST_TEST(result.m_isConsistent);
    }
}

// A pass over hundreds of steps that wait for a better place, each of which is examined in each pass, took longer than the interval between two passes.
BOOST_AUTO_TEST_CASE(a_pass_over_steps_that_wait_for_a_place_takes_less_than_half_of_the_interval)
{
    constexpr int rackWorkers = 350;
    constexpr int steps = 300;
    constexpr int passes = 100;
    constexpr double halfIntervalUs = 2'000; ///< Passes are at least 4 ms apart.
    RackLoad load(rackWorkers, rackWorkers);
    load.fillNear(rackWorkers, { 1'000 });
    for (int i = 0; i < steps; ++i)
        load.submit("plain", RackLoad::makeStep(1, nearRack));
    load.run({ 100 });
    BOOST_TEST(load.counters().m_begun == static_cast<std::uint64_t>(steps));
    timespec from {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &from);
    for (int i = 0; i < passes; ++i) {
        SchedulerEffects effects;
        detail::placeWaiting(load.m_scheduler, load.m_now, effects);
    }
    timespec to {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &to);
    const double us = (static_cast<double>(to.tv_sec - from.tv_sec) * 1e6 + static_cast<double>(to.tv_nsec - from.tv_nsec) / 1e3) / passes;
    std::cout << "a pass over " << steps << " steps that wait for a place takes " << us << " us\n";
    BOOST_TEST(us < halfIntervalUs);
}

// Waiting that makes jobs end later than starting at once.
BOOST_AUTO_TEST_CASE(jobs_end_earlier_with_waiting_than_without)
{
    double on = 0;
    double off = 0;
    for (std::uint64_t seed = 201; seed <= 200 + seeds; ++seed) {
        constexpr unsigned heavy = 7;
        on += play(seed, true, false, heavy).m_meanMs;
        off += play(seed, false, false, heavy).m_meanMs;
    }
    BOOST_TEST(on < off);
}
