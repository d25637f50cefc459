/** @file admission_light_test.cpp Loads that look larger than they are: a cell with room refuses nothing. */
#define BOOST_TEST_MODULE admission_light
#include <boost/test/unit_test.hpp>

#include "gated_sources.h"

#include <random>

using namespace bulrushloft;
using namespace bulrushloft::test;

// At a third of the capacity there is room for all, also for a customer that sends 7.5 times its usual load, on uneven workers and with some tasks that take 7 times as long.
BOOST_AUTO_TEST_CASE(a_lightly_loaded_cell_refuses_nothing)
{
    constexpr double usual = jobsPerSecond / 6.0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        GatedLoad load(poolWorkers, vms, true, makeCustomers(usual));
        std::mt19937_64 random(seed);
        std::uniform_real_distribution<double> slowdown(0.8, 1.25);
        for (auto& [id, worker] : load.m_workers)
            worker.m_slowdown = slowdown(random);
        load.m_estimateError = [](const TaskName& task) { return stableHash(task.m_job, task.m_index) % 100 < 3 ? 7.0 : 1.0; };
        std::vector<Source> sources = makeCustomerSources(usual);
        runSources(load, sources, { 5'000 });
        sources[0].m_rate *= 7.5;
        std::uniform_real_distribution<double> size(0.5, 2);
        for (Source& source : sources)
            source.m_step.m_size = { .m_cpuMilli = static_cast<std::int64_t>(4'000 * size(random)), .m_memoryMb = 4'000, .m_gpus = 0 };
        runSources(load, sources, { 8'000 });
        sources[0].m_rate /= 7.5;
        for (std::size_t i = 0; i < sources.size(); i += 2) {
            sources[i].m_queue = "quick";
            sources[i].m_step = makeApprovedStep();
        }
        runSources(load, sources, { 10'000 });
        const GatedResult result = load.result();
        BOOST_TEST(result.m_refusedOverRate + result.m_refusedHopeless == 0, "seed " << seed);
    }
}

// A step of many tasks that no worker suits waits for hours beside free workers; it says nothing about the wait of others.
BOOST_AUTO_TEST_CASE(a_step_without_suitable_workers_refuses_nothing_on_a_lightly_loaded_cell)
{
    constexpr double usual = jobsPerSecond / 6.0;
    GatedLoad load(poolWorkers, vms, true, makeCustomers(usual));
    std::vector<Source> sources = makeCustomerSources(usual);
    runSources(load, sources, { 3'000 });
    for (const std::int64_t cores : { 1, 4, 32 }) {
        StepPlan unsuited = makeStep();
        unsuited.m_count = 5'000;
        unsuited.m_size.m_cpuMilli = cores * 1'000;
        unsuited.m_estimatedRunTime = { 20'000 };
        unsuited.m_label = "no worker has this label";
        load.submit("plain", unsuited);
    }
    sources[0].m_rate *= 7.5;
    runSources(load, sources, { 10'000 });
    const GatedResult result = load.result();
    print("beside unsuited steps", result);
    BOOST_TEST(result.m_refusedOverRate + result.m_refusedHopeless == 0);
}

// Callers that say that their tasks take two and a half times as long as they do: by their words the pool is overloaded, in truth it is not, and bursts
// wait for a moment only. All of them are over their rates.
BOOST_AUTO_TEST_CASE(overstated_run_times_refuse_nothing)
{
    constexpr double usual = jobsPerSecond * 1.5;
    GatedLoad load(poolWorkers, vms, true, makeCustomers(usual / 10));
    load.m_estimateError = [](const TaskName&) { return 0.4; };
    std::vector<Source> sources = makeCustomerSources(usual);
    runSources(load, sources, { 5'000 });
    for (int burst = 0; burst < 4; ++burst) {
        for (int i = 0; i < jobsPerSecond * 3 / 2; ++i)
            load.offer("plain", customerName(i % customerCount), makeStep());
        runSources(load, sources, { 3'000 });
    }
    const GatedResult result = load.result();
    print("overstated", result);
    BOOST_TEST(result.m_refusedOverRate + result.m_refusedHopeless == 0);
    BOOST_TEST(result.m_inTime == result.m_offered);
}

// A store that takes 0.8 s for a record delays all starts alike; nobody is served sooner for a refusal.
BOOST_AUTO_TEST_CASE(a_slow_store_refuses_nothing_on_a_lightly_loaded_cell)
{
    constexpr double usual = jobsPerSecond / 6.0;
    GatedLoad load(poolWorkers, vms, true, makeCustomers(usual / 10));
    load.m_recordTime = [] { return Duration { 800 }; };
    std::vector<Source> sources = makeCustomerSources(usual);
    for (std::size_t i = 0; i < sources.size(); i += 2) {
        sources[i].m_queue = "quick";
        sources[i].m_step = makeApprovedStep();
    }
    runSources(load, sources, { 20'000 });
    const GatedResult result = load.result();
    print("slow store", result);
    BOOST_TEST(result.m_refusedOverRate + result.m_refusedHopeless == 0);
}
