/** @file capped_customer_estimate_test.cpp Tests of the estimate for submissions of a customer that is at its cap. */
#define BOOST_TEST_MODULE capped_customer_estimate
#include <boost/test/unit_test.hpp>

#include "customer_fixture.h"
#include "process/cell/service_load.h"
#include "process/cell/submission_gate.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;

namespace {

constexpr const char* poolName = "pool";
constexpr const char* customerName = "hot";
constexpr TimePoint now { 10'000 };

SubmissionNeed makeNeed(const std::string& customer)
{
    return { .m_pool = poolName, .m_customer = customer, .m_uses = { true, false, false }, .m_objective = { 1'000 }, .m_criticalPath = { 500 } };
}

/** @return A load in which one customer's cap of 10 cores is in use and its waiting work takes the given time of all of them; the pool has room. */
ServiceEstimate makeEstimate(double waitMs, Duration oldestWait)
{
    constexpr double capCores = 10'000;
    PoolLoad customer { .m_capacity = { capCores, 0, 0 }, .m_free = {}, .m_bands = {}, .m_oldestWait = oldestWait };
    customer.m_bands[bandOf({ 400 })] = { .m_size = { capCores, 0, 0 }, .m_work = { capCores * waitMs, 0, 0 } };
    ServiceEstimate estimate { .m_madeAt = now, .m_load = {} };
    estimate.m_load.m_customers.emplace(customerName, customer);
    return estimate;
}

SubmissionGate makeGate(ServiceEstimate estimate, double weight)
{
    SubmissionGate gate;
    beginGateTerm(gate, 1, now - Duration { 5'000 });
    applyCustomers(gate, std::make_shared<const ClusterSettings>(ClusterSettings { .m_version = 1, .m_customers = { { .m_name = customerName, .m_weight = weight } } }), now);
    gate.m_estimate = std::move(estimate);
    return gate;
}

} // namespace

/** Guards against jobs beyond a customer's rate that are accepted while its cap is in use: they delay those within its rate. */
BOOST_AUTO_TEST_CASE(jobs_beyond_the_rate_are_refused_while_the_cap_is_in_use)
{
    SubmissionGate gate = makeGate(makeEstimate(600, {}), 1);
    constexpr int depth = 5;
    for (int i = 0; i < depth; ++i)
        BOOST_TEST((decide(gate, { .m_job = "in" + std::to_string(i), .m_customer = customerName, .m_need = makeNeed(customerName) }, now).m_cause == GateCause::Accepted));
    const GateDecision decision = decide(gate, { .m_job = "beyond", .m_customer = customerName, .m_need = makeNeed(customerName) }, now);
    BOOST_TEST((decision.m_cause == GateCause::OverRate));
    BOOST_TEST(decision.m_isCustomerOver);
    BOOST_TEST(decision.m_retryAfter.m_ms >= 1'000);
}

/** Guards against jobs within the rate that wait behind a cap until they are of no use. */
BOOST_AUTO_TEST_CASE(jobs_that_the_cap_makes_hopeless_are_refused_as_over_the_limit)
{
    SubmissionGate gate = makeGate(makeEstimate(8'000, { 2'000 }), 100);
    const GateDecision decision = decide(gate, { .m_job = "a", .m_customer = customerName, .m_need = makeNeed(customerName) }, now);
    BOOST_TEST((decision.m_cause == GateCause::Hopeless));
    BOOST_TEST(decision.m_isCustomerOver);
}

/** Guards against one customer's cap holding back others. */
BOOST_AUTO_TEST_CASE(other_customers_do_not_wait_for_it)
{
    const ServiceEstimate estimate = makeEstimate(8'000, { 2'000 });
    BOOST_TEST(!assess(estimate, makeNeed("other"), now).m_isShort);
    BOOST_TEST(!assess(estimate, makeNeed({}), now).m_isShort);
    BOOST_TEST(assess(estimate, makeNeed(customerName), now).m_isShort);
}

/** Guards against work that waits for room under a cap being missed, or taken for a backlog of its pool, which makes others be refused. */
BOOST_AUTO_TEST_CASE(work_that_a_cap_holds_back_waits_for_its_customer_only)
{
    test::CustomerFixture fixture({ test::makeCustomer(customerName, 2'000) });
    fixture.adoptWorker("w1");
    scheduler::acceptJob(fixture.m_scheduler, test::makeCustomerPlan({ test::makeCustomerStep(2) }, "00000000000000aa", customerName), fixture.m_now);
    BOOST_TEST(fixture.startAll() == 2U);
    scheduler::acceptJob(fixture.m_scheduler, test::makeCustomerPlan({ test::makeCustomerStep(6) }, "00000000000000bb", customerName), fixture.m_now);
    BOOST_TEST(fixture.startAll() == 0U);
    const ServiceEstimate estimate { .m_madeAt = fixture.m_now, .m_load = collectLoad(fixture.m_scheduler, 1, fixture.m_now) };
    SubmissionNeed need { .m_pool = test::customerPool, .m_customer = customerName, .m_uses = { true, true, false }, .m_objective = { 2'000 }, .m_criticalPath = { 500 } };
    BOOST_TEST(assess(estimate, need, fixture.m_now).m_waitInTime.m_ms >= 1'000);
    BOOST_TEST(assess(estimate, need, fixture.m_now).m_isShort);
    need.m_customer = "other";
    BOOST_TEST(assess(estimate, need, fixture.m_now).m_waitLate.m_ms == 0);
}
