/** @file active_workers_test.cpp Workers that crash and come back under new ids, until their table holds many that are long gone. */
#define BOOST_TEST_MODULE active_workers
#include <boost/test/unit_test.hpp>

#include "fakes/approval_load.h"

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

constexpr int poolSize = 40;
constexpr int replacedAtOnce = 12;
constexpr Duration expiry { 3'000 }; ///< After which the announcement of a crashed worker is removed.

/** A pool in which part of the workers crashes each second; others answer at their addresses. */
struct CrashSeries : ApprovalLoad {
    std::deque<std::string> m_living; ///< The oldest first.
    int m_nextWorker = poolSize;

    CrashSeries()
        : ApprovalLoad(poolSize, 8, 1)
    {
        for (int i = 0; i < poolSize; ++i)
            m_living.push_back("w" + std::to_string(i));
    }

    void crash(const std::string& id)
    {
        SimulatedWorker& worker = m_workers.at(id);
        worker.m_isGone = true;
        worker.m_runs.clear();
        SchedulerEffects effects;
        onSyncAnswer(m_scheduler, id, OrderStatus::NoAnswer, {}, m_now, m_now, effects);
        onSyncAnswer(m_scheduler, id, OrderStatus::WrongInstance, {}, m_now, m_now, effects);
        m_events.emplace(m_now + expiry, [this, id] { removeWorker(m_scheduler, id, m_now); });
        const std::string next = "w" + std::to_string(m_nextWorker++);
        adopt(next);
        m_living.push_back(next);
    }

    void crashSome()
    {
        for (int i = 0; i < replacedAtOnce; ++i) {
            crash(m_living.front());
            m_living.pop_front();
        }
    }
};

} // namespace

// Each step looked at all workers ever known, and the idle poll was spread over them: 13,000 after 40 s on the large site.
BOOST_AUTO_TEST_CASE(steps_pass_over_workers_that_are_long_gone)
{
    CrashSeries world;
    constexpr int seconds = 60;
    constexpr std::size_t sheddingSeconds = 12; // Announced for 3 s, and a lease for 6 s at most.
    for (int i = 0; i < seconds; ++i) {
        world.submitSmall(20);
        world.crashSome();
        world.run({ 1'000 });
        BOOST_TEST_REQUIRE(isConsistent(world.m_scheduler));
        BOOST_TEST_REQUIRE(world.m_scheduler.m_activeWorkers.size() <= poolSize + sheddingSeconds * replacedAtOnce);
    }
    BOOST_TEST(world.m_scheduler.m_workers.size() == static_cast<std::size_t>(world.m_nextWorker));
    BOOST_TEST(world.m_scheduler.m_counters.m_done > 0u);
}

// A worker that was retired and answers late, or is announced again, would never be synced and stopped.
BOOST_AUTO_TEST_CASE(retired_worker_is_taken_up_again_when_it_is_heard_of)
{
    CrashSeries world;
    world.crashSome();
    world.run({ 20'000 });
    const auto isActive = [&](const std::string& id) { return world.m_scheduler.m_workers[static_cast<std::size_t>(world.m_scheduler.m_workerById.at(id))].m_isActive; };
    BOOST_TEST_REQUIRE(!isActive("w0"));
    SchedulerEffects effects;
    const TaskName unknown { .m_job = "00000000000000ff", .m_occurrence = 0, .m_step = 0, .m_index = 0 };
    onSyncAnswer(world.m_scheduler, "w0", OrderStatus::Done, { .m_clockMs = 30'000, .m_processStartMs = 1, .m_running = { { .m_task = unknown, .m_attempt = 1, .m_checkpoint = {}, .m_percent = -1, .m_loadMetric = 0 } }, .m_ended = {} }, world.m_now, world.m_now, effects);
    BOOST_TEST(effects.m_stops.size() == 1u);
    BOOST_TEST(isConsistent(world.m_scheduler));
    BOOST_TEST_REQUIRE(!isActive("w1"));
    world.m_workers.at("w1").m_isGone = false;
    world.announce("w1");
    BOOST_TEST(isActive("w1"));
    world.run({ 3'000 });
    BOOST_TEST((world.m_scheduler.m_workers[static_cast<std::size_t>(world.m_scheduler.m_workerById.at("w1"))].m_state == WorkerState::Adopted));
    BOOST_TEST(isConsistent(world.m_scheduler));
}
