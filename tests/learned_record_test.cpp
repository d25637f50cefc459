/** @file learned_record_test.cpp What one term has learned about run times and workers is known to the next one. */
#define BOOST_TEST_MODULE learned_record
#include <boost/test/unit_test.hpp>

#include "process/scheduler/learned_record.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"

#include <cmath>

using namespace bulrushloft;
using namespace bulrushloft::scheduler;

namespace {

constexpr Duration realRunTime { 4'000 };

JobPlan makePlan(std::uint64_t number, Duration estimate)
{
    char id[17];
    std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(number));
    return { .m_id = id, .m_queue = "q", .m_policy = { .m_pool = "p" }, .m_payload = {}, .m_steps = { { .m_count = 4, .m_size = { .m_cpuMilli = 1'000 }, .m_estimatedRunTime = estimate } } };
}

/** A scheduler of one term with its workers announced. */
struct TermFixture {
    Scheduler m_scheduler;

    TermFixture()
    {
        setCluster(m_scheduler, { .m_version = 1, .m_queues = { { .m_name = "q", .m_pool = "p" } }, .m_pools = { { .m_name = "p" } } });
    }

    void announce(const std::string& id)
    {
        updateWorker(m_scheduler, { .m_id = id, .m_pool = "p", .m_address = { "127.0.0.1", 9 }, .m_capacity = { .m_cpuMilli = 8'000, .m_memoryMb = 8'000 } }, { 1'000 });
    }

    Worker& worker(const std::string& id) { return m_scheduler.m_workers[static_cast<std::size_t>(m_scheduler.m_workerById.at(id))]; }

    /** Runs jobs whose estimates are far off, half of their tasks on a worker of half the speed. */
    void learn()
    {
        for (std::uint64_t i = 0; i < 30; ++i) {
            const JobPlan plan = makePlan(i, { i % 2 == 0 ? 400 : 30'000 });
            acceptJob(m_scheduler, plan, { 1'000 });
            StepRun& run = *m_scheduler.m_jobs.at(plan.m_id)->m_runs.front();
            for (const char* id : { "fast", "slow", "fast", "slow" })
                detail::learnRunTime(m_scheduler, run, worker(id).m_health, std::log(static_cast<double>(realRunTime.m_ms) * (id == std::string("slow") ? 2 : 1)));
        }
    }

    Duration predict(Duration estimate)
    {
        const JobPlan plan = makePlan(1'000, estimate);
        acceptJob(m_scheduler, plan, { 2'000 });
        return detail::predictRunTime(m_scheduler, *m_scheduler.m_jobs.at(plan.m_id), 0);
    }
};

} // namespace

// After a takeover a gang that runs for 5.5 s was predicted to take 0.2 s, as its caller had estimated; it counted as late at once and waited for 45 s.
BOOST_AUTO_TEST_CASE(a_later_term_predicts_run_times_as_the_one_before)
{
    TermFixture former;
    former.announce("fast");
    former.announce("slow");
    former.learn();
    const auto record = takeLearnedRecord(former.m_scheduler, { 10'000 });
    BOOST_REQUIRE(record.has_value());
    TermFixture later;
    BOOST_REQUIRE(restoreLearned(later.m_scheduler, record->m_value).has_value());
    later.announce("fast");
    later.announce("slow");
    constexpr Duration badEstimate { 200 };
    const Duration predicted = later.predict(badEstimate);
    BOOST_TEST(predicted.m_ms == former.predict(badEstimate).m_ms);
    BOOST_TEST(predicted.m_ms > realRunTime.m_ms / 2);
    BOOST_TEST(later.worker("slow").m_health.m_logSlowdown > later.worker("fast").m_health.m_logSlowdown + 0.3);
    BOOST_TEST(later.m_scheduler.m_workers.size() == 2U); // No worker is created from the record: it may have left.
}

BOOST_AUTO_TEST_CASE(the_record_is_written_at_intervals_and_only_with_news)
{
    TermFixture term;
    term.announce("fast");
    term.announce("slow");
    BOOST_TEST(!takeLearnedRecord(term.m_scheduler, { 10'000 }).has_value());
    term.learn();
    BOOST_TEST(takeLearnedRecord(term.m_scheduler, { 10'010 }).has_value());
    BOOST_TEST(!takeLearnedRecord(term.m_scheduler, { 20'000 }).has_value());
    term.learn();
    BOOST_TEST(!takeLearnedRecord(term.m_scheduler, { 11'000 }).has_value());
}

BOOST_AUTO_TEST_CASE(a_malformed_record_is_refused)
{
    TermFixture term;
    for (const std::string& record : { std::string(), std::string("x"), std::string("\x83\x01\x81\x81\x61q\x80"), std::string(1'000, '\x81') })
        BOOST_TEST(!restoreLearned(term.m_scheduler, record).has_value());
}
