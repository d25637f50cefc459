/** @file service_estimate_test.cpp When a submission could start, from the work that waits in its pool. */
#define BOOST_TEST_MODULE service_estimate
#include <boost/test/unit_test.hpp>

#include "process/cell/service_estimate.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;

namespace {

constexpr TimePoint madeAt { 50'000 };
constexpr std::size_t cpu = 0;
constexpr std::size_t gpu = 2;

/** A full pool of 100 cores and 10 GPUs on which nothing waits. */
PoolLoad makeFullPool()
{
    PoolLoad pool;
    pool.m_capacity = { 100'000, 0, 10 };
    pool.m_oldestWait = { 5'000 };
    return pool;
}

/** Adds tasks that keep the whole pool busy for a time, in one resource. */
void addWork(PoolLoad& pool, std::size_t band, std::size_t dimension, Duration wait)
{
    pool.m_bands[band].m_size[dimension] += pool.m_capacity[dimension];
    pool.m_bands[band].m_work[dimension] += pool.m_capacity[dimension] * static_cast<double>(wait.m_ms);
}

ServiceEstimate makeEstimate(const PoolLoad& pool)
{
    return { .m_madeAt = madeAt, .m_load = { .m_pools = { { "pool", pool } } } };
}

SubmissionNeed makeNeed(Duration slack)
{
    constexpr Duration runTime { 1'000 };
    return { .m_pool = "pool", .m_uses = { true, true, false }, .m_objective = runTime + slack, .m_criticalPath = runTime };
}

} // namespace

BOOST_AUTO_TEST_CASE(without_waiting_work_the_estimate_is_zero)
{
    const ServiceProspect prospect = assess(makeEstimate(makeFullPool()), makeNeed({ 10 }), madeAt);
    BOOST_TEST(prospect.m_waitLate.m_ms == 0);
    BOOST_TEST((!prospect.m_isShort && !prospect.m_isHopeless));
}

// Work with much slack is placed after urgent work, which it must not get refused.
BOOST_AUTO_TEST_CASE(work_with_more_slack_does_not_delay_urgent_work)
{
    PoolLoad pool = makeFullPool();
    addWork(pool, bandOf({ 20'000 }), cpu, { 30'000 });
    BOOST_TEST(!assess(makeEstimate(pool), makeNeed({ 1'000 }), madeAt).m_isShort);
    BOOST_TEST(!assess(makeEstimate(pool), makeNeed({ 1'000 }), madeAt).m_isHopeless);
    BOOST_TEST(assess(makeEstimate(pool), makeNeed({ 20'000 }), madeAt).m_isShort);
}

// Tasks that need no GPU start beside a queue for GPUs.
BOOST_AUTO_TEST_CASE(only_the_resources_that_a_submission_uses_count)
{
    PoolLoad pool = makeFullPool();
    addWork(pool, 0, gpu, { 60'000 });
    SubmissionNeed need = makeNeed({ 1'000 });
    BOOST_TEST(!assess(makeEstimate(pool), need, madeAt).m_isShort);
    need.m_uses[gpu] = true;
    BOOST_TEST(assess(makeEstimate(pool), need, madeAt).m_isShort);
    BOOST_TEST(assess(makeEstimate(pool), need, madeAt).m_isHopeless);
}

// A wait of 12 s is hopeless for a useful start within 5 s, not within 11 s; half as much is not hopeless for either.
BOOST_AUTO_TEST_CASE(hopeless_is_what_can_not_start_within_three_times_the_objective)
{
    PoolLoad pool = makeFullPool();
    addWork(pool, 0, cpu, { 12'000 });
    BOOST_TEST(assess(makeEstimate(pool), makeNeed({ 1'000 }), madeAt).m_isHopeless);
    BOOST_TEST(!assess(makeEstimate(pool), makeNeed({ 3'000 }), madeAt).m_isHopeless);
    pool.m_oldestWait = { 900 };
    BOOST_TEST(!assess(makeEstimate(pool), makeNeed({ 1'000 }), madeAt).m_isHopeless); // Nothing has waited yet, so the estimate is doubtful.
    PoolLoad shorter = makeFullPool();
    addWork(shorter, 0, cpu, { 6'000 });
    BOOST_TEST(!assess(makeEstimate(shorter), makeNeed({ 1'000 }), madeAt).m_isHopeless);
}

BOOST_AUTO_TEST_CASE(an_estimate_loses_its_weight_with_its_age)
{
    PoolLoad pool = makeFullPool();
    addWork(pool, 0, cpu, { 10'000 });
    const auto waitAfter = [&](Duration age) { return assess(makeEstimate(pool), makeNeed({ 1'000 }), madeAt + age).m_waitLate.m_ms; };
    BOOST_TEST(waitAfter({ 1'000 }) == 10'000);
    BOOST_TEST(waitAfter({ 2'000 }) == 5'000);
    BOOST_TEST(waitAfter({ 3'000 }) == 0);
}

// The approvals are short, not the workers: each VM makes one call at a time.
BOOST_AUTO_TEST_CASE(approval_calls_count_for_their_kind)
{
    PoolLoad pool = makeFullPool();
    pool.m_bands[0].m_slowCallMs = 20'000;
    ServiceEstimate estimate = makeEstimate(pool);
    estimate.m_load.m_slowVms = 10;
    estimate.m_load.m_callSlowdown = 4;
    SubmissionNeed need = makeNeed({ 6'000 });
    BOOST_TEST(assess(estimate, need, madeAt).m_waitLate.m_ms == 0);
    need.m_needsApproval = true;
    BOOST_TEST(assess(estimate, need, madeAt).m_waitLate.m_ms == 0);
    need.m_isSlowCall = true;
    BOOST_TEST(assess(estimate, need, madeAt).m_waitLate.m_ms == 8'000);
    BOOST_TEST(assess(estimate, need, madeAt).m_isShort);
}
