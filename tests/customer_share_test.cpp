/**
 * @file customer_share_test.cpp Tests of the shares of customers where room or approvals are short: the order of steps, and pools under the load of
 * some customers. --run_test=share_benchmark prints the time of the decision.
 */
#define BOOST_TEST_MODULE customer_share
#include "core/log_func.h"
#include "customer_fixture.h"
#include "process/scheduler/customer_report.h"
#include "process/scheduler/customer_share.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <numeric>
#include <random>

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

/** The load of one customer. */
struct LoadedCustomer {
    double m_weight = 1; ///< Weight in the configuration.
    double m_jobsPerSecond = 0; ///< Jobs that it usually submits.
    double m_burstFactor = 1; ///< Multiple that it submits in the burst.
};

/** A pool and its customers. Times count from the start. */
struct LoadedPool {
    std::vector<LoadedCustomer> m_customers;
    int m_workers = 20; ///< Workers of eight cores.
    int m_proxies = 0; ///< VMs that send approval requests; 0 if tasks need no approval.
    Duration m_burstStart { 3'000 };
    Duration m_burstEnd { 15'000 };
    Duration m_length { 20'000 }; ///< When the last job is submitted.
    std::uint64_t m_seed = 1;
};

constexpr Duration taskTime { 500 };
constexpr Duration objective { 1'500 }; ///< Jobs that end later are not served.
constexpr std::int64_t tickMs = 10;

/** Runs a scheduler under a load, and counts the jobs that end in time. */
class PoolRun {
public:
    explicit PoolRun(const LoadedPool& pool)
        : m_pool(pool)
        , m_random(pool.m_seed)
        , m_fixture(makeCustomers(pool))
        , m_sent(pool.m_customers.size())
        , m_served(pool.m_customers.size())
    {
        ClusterSettings cluster = makeCustomerCluster(makeCustomers(pool));
        if (pool.m_proxies > 0)
            cluster.m_queues.front().m_approval = ApprovalPolicy { .m_baseCallTimeMs = 150, .m_callTimePerWorkerMs = 2, .m_validity = { 2'000 } };
        setCluster(m_fixture.m_scheduler, cluster);
        for (int i = 0; i < pool.m_proxies; ++i)
            m_fixture.m_scheduler.m_approvalProxies.push_back({ .m_member = "vm" + std::to_string(i), .m_busyUntil = {} });
        for (int i = 0; i < pool.m_workers; ++i)
            m_fixture.adoptWorker("w" + std::to_string(i));
        m_start = m_fixture.m_now;
    }

    void run()
    {
        constexpr Duration drain { 4'000 };
        while (m_fixture.m_now < m_start + m_pool.m_length + drain)
            tick();
    }

    /** @return Share of a customer's jobs that ended in time. */
    double servedShare(std::size_t customer) const { return m_sent[customer] > 0 ? static_cast<double>(m_served[customer]) / static_cast<double>(m_sent[customer]) : 1; }

    /** @return Share of all jobs. */
    double servedShare() const { return static_cast<double>(std::accumulate(m_served.begin(), m_served.end(), 0)) / static_cast<double>(std::accumulate(m_sent.begin(), m_sent.end(), 0)); }

    /** @return Mean share of the worst-served tenth of some customers, from one on. */
    double worstTenth(std::size_t first) const
    {
        std::vector<double> shares;
        for (std::size_t i = first; i < m_sent.size(); ++i)
            shares.push_back(servedShare(i));
        std::sort(shares.begin(), shares.end());
        const std::size_t tenth = (shares.size() + 9) / 10;
        return std::accumulate(shares.begin(), shares.begin() + static_cast<std::ptrdiff_t>(tenth), 0.0) / static_cast<double>(tenth);
    }

private:
    static std::vector<CustomerSettings> makeCustomers(const LoadedPool& pool)
    {
        std::vector<CustomerSettings> customers;
        for (std::size_t i = 0; i < pool.m_customers.size(); ++i)
            customers.push_back(makeCustomer("c" + std::to_string(i), 0, pool.m_customers[i].m_weight));
        return customers;
    }

    void submitJobs()
    {
        const Duration elapsed = m_fixture.m_now - m_start;
        const bool isBurst = elapsed >= m_pool.m_burstStart && elapsed < m_pool.m_burstEnd;
        for (std::size_t i = 0; i < m_pool.m_customers.size() && elapsed < m_pool.m_length; ++i) {
            const LoadedCustomer& customer = m_pool.m_customers[i];
            const double rate = customer.m_jobsPerSecond * (isBurst ? customer.m_burstFactor : 1);
            if (std::uniform_real_distribution<double>(0, 1)(m_random) >= rate * tickMs / 1'000)
                continue;
            const std::string id = std::to_string(1'000'000'000'000'000ULL + m_jobs++);
            JobPlan plan = makeCustomerPlan({ makeCustomerStep(2) }, id, "c" + std::to_string(i));
            plan.m_submittedAt = m_fixture.m_now;
            acceptJob(m_fixture.m_scheduler, std::move(plan), m_fixture.m_now);
            ++m_sent[i];
            m_open.emplace(id, std::pair { i, m_fixture.m_now });
        }
    }

    void answerApprovals()
    {
        for (; !m_approvals.empty() && m_approvals.begin()->first <= m_fixture.m_now; m_approvals.erase(m_approvals.begin())) {
            std::vector<Approval> approvals;
            for (const std::string& worker : m_approvals.begin()->second.m_workers)
                approvals.push_back({ .m_worker = worker, .m_ticket = "t" });
            onApprovals(m_fixture.m_scheduler, m_approvals.begin()->second, approvals, m_fixture.m_now);
        }
    }

    void endTasks()
    {
        for (; !m_ends.empty() && m_ends.begin()->first <= m_fixture.m_now; m_ends.erase(m_ends.begin())) {
            const std::string& worker = m_ends.begin()->second.first;
            const RunningAttempt& running = m_ends.begin()->second.second;
            SyncReport& report = m_fixture.m_reports[worker];
            std::erase_if(report.m_running, [&](const RunningAttempt& each) { return each.m_task == running.m_task; });
            report.m_ended.push_back({ .m_number = ++m_endNumbers[worker], .m_task = running.m_task, .m_attempt = running.m_attempt, .m_end = AttemptEnd::Done, .m_checkpoint = {} });
            m_fixture.report(worker);
        }
    }

    void countEnds()
    {
        std::erase_if(m_open, [&](const auto& entry) {
            const auto& [customer, sentAt] = entry.second;
            const bool isEnded = findStage(m_fixture.m_scheduler, entry.first) == JobStage::Complete;
            m_served[customer] += isEnded && m_fixture.m_now - sentAt <= objective ? 1 : 0;
            return isEnded;
        });
    }

    void tick()
    {
        submitJobs();
        answerApprovals();
        endTasks();
        m_fixture.m_now = m_fixture.m_now + Duration { tickMs };
        SchedulerEffects effects;
        scheduler::step(m_fixture.m_scheduler, m_fixture.m_now, effects);
        m_fixture.record();
        for (const ApprovalRequest& request : effects.m_approvalRequests)
            m_approvals.emplace(m_fixture.m_now + Duration { 150 + 2 * static_cast<std::int64_t>(request.m_workers.size()) }, request);
        for (const auto& start : effects.m_starts) {
            m_fixture.answer(start, OrderStatus::Done);
            m_ends.emplace(m_fixture.m_now + taskTime, std::pair { start.m_to.m_worker, RunningAttempt { .m_task = start.m_order.m_task, .m_attempt = start.m_order.m_attempt, .m_checkpoint = {}, .m_percent = 10, .m_loadMetric = 0 } });
        }
        for (const auto& sync : effects.m_syncs)
            m_fixture.report(sync.m_to.m_worker);
        countEnds();
    }

    LoadedPool m_pool;
    std::mt19937_64 m_random;
    CustomerFixture m_fixture;
    TimePoint m_start;
    std::uint64_t m_jobs = 0;
    std::multimap<TimePoint, std::pair<std::string, RunningAttempt>> m_ends; ///< Worker and attempt, by the time of its end.
    std::multimap<TimePoint, ApprovalRequest> m_approvals; ///< By the time of their answer.
    std::map<std::string, std::uint64_t> m_endNumbers;
    std::map<std::string, std::pair<std::size_t, TimePoint>> m_open; ///< Customer and time of submission of the jobs that have not ended.
    std::vector<int> m_sent;
    std::vector<int> m_served;
};

/** Checks that the worst-served tenth of the customers from one on stays within a tenth of the share of all. */
void checkServed(const LoadedPool& pool, std::size_t firstOther)
{
    openLog({ .m_level = LogLevel::Off, .m_process = "test" });
    constexpr double permitted = 0.1;
    PoolRun run(pool);
    run.run();
    BOOST_TEST_MESSAGE("served: all " << run.servedShare() << ", worst tenth of the others " << run.worstTenth(firstOther) << ", first " << run.servedShare(0));
    BOOST_TEST(run.worstTenth(firstOther) >= run.servedShare() - permitted);
    BOOST_TEST(run.worstTenth(firstOther) >= 1 - permitted); // Their own load fits the pool.
}

/** @return Steps of customers in turn, in one group. */
std::vector<ShareStep> makeSteps(std::size_t count, std::size_t customers, double demand)
{
    std::vector<ShareStep> steps;
    for (std::size_t i = 0; i < count; ++i)
        steps.push_back({ .m_group = 0, .m_customer = i % customers, .m_demand = demand, .m_approvals = 0 });
    return steps;
}

} // namespace

// The steps of a customer with an excess, which are as urgent as those of the others, took most of the room.
BOOST_AUTO_TEST_CASE(steps_below_their_share_come_first)
{
    const std::vector<ShareStep> steps { { .m_customer = 0, .m_demand = 0.1 }, { .m_customer = 0, .m_demand = 0.1 }, { .m_customer = 1, .m_demand = 0.1 }, { .m_customer = 0, .m_demand = 0.1 } };
    const std::vector<CustomerShare> customers { { .m_share = 0.5, .m_current = 0.45, .m_average = 0.5 }, { .m_share = 0.5, .m_current = 0.1, .m_average = 0.5 } };
    const std::vector<std::size_t> expected { 0, 2, 1, 3 };
    BOOST_TEST(orderByShare(steps, customers) == expected, boost::test_tools::per_element());
}

// Shares must not move work without a customer, nor change the order of classes and priorities.
BOOST_AUTO_TEST_CASE(other_work_and_other_groups_keep_their_places)
{
    const std::vector<ShareStep> steps { { .m_group = 0, .m_customer = 0 }, { .m_group = 0, .m_customer = {} }, { .m_group = 1, .m_customer = 1 }, { .m_group = 0, .m_customer = 1 } };
    const std::vector<CustomerShare> customers { { .m_share = 0.5, .m_current = 0.9, .m_average = 0.9 }, { .m_share = 0.5 } };
    const std::vector<std::size_t> expected { 3, 1, 2, 0 };
    BOOST_TEST(orderByShare(steps, customers) == expected, boost::test_tools::per_element());
}

// Room is not short for a customer that has few tasks, but its approval requests must not take the calls of the others.
BOOST_AUTO_TEST_CASE(approvals_count_as_well)
{
    const std::vector<ShareStep> steps { { .m_customer = 0, .m_approvals = 0.01 }, { .m_customer = 1, .m_approvals = 0.01 } };
    const std::vector<CustomerShare> customers { { .m_share = 0.5, .m_approvals = 0.8 }, { .m_share = 0.5, .m_approvals = 0.2 } };
    const std::vector<std::size_t> expected { 1, 0 };
    BOOST_TEST(orderByShare(steps, customers) == expected, boost::test_tools::per_element());
}

// Compensation without an end would let a customer that was idle for long displace all others later.
BOOST_AUTO_TEST_CASE(compensation_is_limited)
{
    BOOST_TEST(entitlementOf({ .m_share = 0.125, .m_average = 0 }) == 0.625);
    BOOST_TEST(entitlementOf({ .m_share = 0.5, .m_average = 0 }) == 1);
    BOOST_TEST(entitlementOf({ .m_share = 0.25, .m_average = 0.25 }) == 0.25);
    BOOST_TEST(entitlementOf({ .m_share = 0.25, .m_average = 1 }) == 0);
    BOOST_TEST(averageAfter(0, 1, shareAveraging) > 0.6);
    BOOST_TEST(averageAfter(1, 0, shareAveraging * 5) < 0.01);
}

BOOST_AUTO_TEST_CASE(weights_without_a_sum_give_equal_shares)
{
    const std::vector<double> expected { 0.5, 0.5 };
    BOOST_TEST(fairShares({ 0, 0 }) == expected, boost::test_tools::per_element());
    BOOST_TEST(fairShares({ 3, 1 }).front() == 0.75);
    BOOST_TEST(fairShares({}).empty());
}

// One customer that sends 7.5 times its usual load made the jobs of all others late.
BOOST_AUTO_TEST_CASE(one_high_load_customer_among_twenty)
{
    LoadedPool pool;
    pool.m_customers.assign(20, { .m_jobsPerSecond = 6.4 });
    pool.m_customers.front().m_burstFactor = 7.5;
    checkServed(pool, 1);
}

// The same where approval calls are short and workers are not.
BOOST_AUTO_TEST_CASE(one_high_load_customer_does_not_take_the_approval_calls)
{
    LoadedPool pool;
    pool.m_proxies = 12;
    pool.m_customers.assign(20, { .m_jobsPerSecond = 2.2 });
    pool.m_customers.front().m_burstFactor = 7.5;
    checkServed(pool, 1);
}

// Two customers of much weight and more load must not starve the small ones.
BOOST_AUTO_TEST_CASE(two_heavy_and_eighteen_small_customers)
{
    LoadedPool pool;
    pool.m_customers.assign(20, { .m_weight = 1, .m_jobsPerSecond = 1.5 });
    for (std::size_t i = 0; i < 2; ++i)
        pool.m_customers[i] = { .m_weight = 20, .m_jobsPerSecond = 50, .m_burstFactor = 2 };
    checkServed(pool, 2);
}

// A customer beyond its share must get what the others leave.
BOOST_AUTO_TEST_CASE(nothing_stays_idle)
{
    LoadedPool pool;
    pool.m_customers.assign(20, { .m_jobsPerSecond = 0.5 });
    pool.m_customers.front() = { .m_jobsPerSecond = 120 };
    openLog({ .m_level = LogLevel::Off, .m_process = "test" });
    PoolRun run(pool);
    run.run();
    BOOST_TEST(run.servedShare() >= 0.95);
}

// With thousands of customers, the metrics and the log would grow without a bound.
BOOST_AUTO_TEST_CASE(reports_are_limited_to_fifty_customers)
{
    constexpr std::size_t customers = 200;
    std::vector<CustomerSettings> settings;
    for (std::size_t i = 0; i < customers; ++i)
        settings.push_back(makeCustomer("c" + std::to_string(i), 1'000));
    CustomerFixture fixture(settings);
    fixture.adoptWorker("w1");
    acceptJob(fixture.m_scheduler, makeCustomerPlan({ makeCustomerStep(3) }, "00000000000000aa", "c7"), fixture.m_now);
    BOOST_TEST(fixture.startAll() == 1U);
    const std::vector<CustomerReport> reports = reportCustomers(fixture.m_scheduler);
    BOOST_REQUIRE(reports.size() == maxReportedCustomers + 1);
    BOOST_TEST(reports.front().m_name == "c7");
    BOOST_TEST(reports.front().m_running.m_cpuMilli == 1'000);
    BOOST_TEST(reports.front().m_waiting == 2U);
    BOOST_TEST(reports.front().m_heldSteps == 1U);
    BOOST_TEST(reports.back().m_name == otherCustomers);
    BOOST_TEST(reports.back().m_cap.m_cpuMilli == static_cast<std::int64_t>(customers - maxReportedCustomers) * 1'000);
}

// Prints the time of one decision; no bound, as it depends on the machine.
BOOST_AUTO_TEST_CASE(share_benchmark, *boost::unit_test::disabled())
{
    constexpr int rounds = 200;
    for (const std::size_t customers : { std::size_t { 20 }, std::size_t { 2'000 } }) {
        const std::vector<ShareStep> steps = makeSteps(1'000, customers, 0.001);
        std::vector<CustomerShare> shares(customers, { .m_share = 1.0 / static_cast<double>(customers), .m_current = 0, .m_average = 0 });
        const auto start = std::chrono::steady_clock::now();
        std::size_t sum = 0;
        for (int i = 0; i < rounds; ++i)
            sum += orderByShare(steps, shares).front();
        const auto elapsed = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now() - start).count();
        BOOST_TEST(sum == 0U);
        std::cout << customers << " customers, " << steps.size() << " steps: " << static_cast<double>(elapsed) / rounds / 1'000 << " us for a decision\n";
    }
}
