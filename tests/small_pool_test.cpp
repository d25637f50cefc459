/** @file small_pool_test.cpp Shares of a pool that round to nothing when few workers are left. */
#define BOOST_TEST_MODULE small_pool
#include <boost/test/unit_test.hpp>

#include "approval_load.h"

using namespace bulrushloft;
using namespace bulrushloft::scheduler;
using namespace bulrushloft::test;

// A late step whose task takes a whole worker must start although urgent small tasks fill each room that appears.
BOOST_AUTO_TEST_CASE(a_late_step_of_a_whole_worker_starts_in_a_small_pool_beside_urgent_small_tasks)
{
    constexpr Duration startLimit { 14'000 }; // The platform's bound for what is left when the load has ended (finish_s).
    for (const int workers : { 1, 2, 3, 5, 6 }) {
        ApprovalLoad load(workers, 7, 1);
        const StepPlan small { .m_count = 1, .m_size = { .m_cpuMilli = 3'200, .m_memoryMb = 100, .m_gpus = 0 }, .m_estimatedRunTime = { 500 } };
        const StepPlan whole { .m_count = 1, .m_size = { .m_cpuMilli = 32'000, .m_memoryMb = 100, .m_gpus = 0 }, .m_estimatedRunTime = { 1'000 } };
        std::string late;
        for (int i = 0; i < 20 + startLimit.m_ms / 100; ++i) {
            if (i == 20) {
                late = load.submit("quick", whole);
                load.m_scheduler.m_jobs.at(late)->m_acceptedAt = load.m_now - Duration { 60'000 };
            }
            for (int j = 0; j < 3 * workers / 2; ++j) // Three quarters of the pool.
                load.submit("quick", small);
            load.run({ 100 });
        }
        BOOST_TEST(load.m_waits.contains(late), workers << " workers");
    }
}

// The mirror: the room that is kept for late steps leaves some for urgent tasks, however many late steps wait.
BOOST_AUTO_TEST_CASE(urgent_small_tasks_start_in_a_small_pool_beside_many_late_steps_of_whole_workers)
{
    constexpr Duration startLimit { 14'000 };
    for (const int workers : { 1, 2, 3, 5, 6 }) {
        ApprovalLoad load(workers, 7, 1);
        const StepPlan small { .m_count = 1, .m_size = { .m_cpuMilli = 3'200, .m_memoryMb = 100, .m_gpus = 0 }, .m_estimatedRunTime = { 500 } };
        const StepPlan whole { .m_count = 1, .m_size = { .m_cpuMilli = 32'000, .m_memoryMb = 100, .m_gpus = 0 }, .m_estimatedRunTime = { 1'000 } };
        for (int i = 0; i < 40 * workers; ++i) {
            const std::string late = load.submit("quick", whole);
            load.m_scheduler.m_jobs.at(late)->m_acceptedAt = load.m_now - Duration { 60'000 };
        }
        load.run({ 1'000 });
        std::vector<std::string> urgent;
        for (int i = 0; i < 20; ++i) {
            urgent.push_back(load.submit("quick", small));
            load.run({ 500 });
        }
        load.run(startLimit);
        const auto waiting = std::count_if(urgent.begin(), urgent.end(), [&](const std::string& job) { return !load.m_waits.contains(job); });
        BOOST_TEST(waiting == 0, workers << " workers, urgent jobs waiting: " << waiting);
    }
}
