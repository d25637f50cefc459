/** @file admission_load_test.cpp Loads beyond the capacity, replayed with and without the leader's gate: who is refused, and what is served in time. */
#define BOOST_TEST_MODULE admission_load
#include <boost/test/unit_test.hpp>

#include "gated_sources.h"

#include <random>

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

constexpr double minValueShare = 0.98; ///< Worth of the results with the gate, as a share of that without it: refusals may not cost more.
constexpr double maxWronglyRefused = 0.05; ///< Share of the jobs refused as hopeless that would have been served in time.

/** A load, replayed with the gate and without. */
struct Comparison {
    GatedLoad m_with;
    GatedLoad m_without;

    Comparison(int workers, int proxies, const std::vector<CustomerSettings>& customers, const std::function<void(GatedLoad&)>& replay)
        : m_with(workers, proxies, true, customers)
        , m_without(workers, proxies, false, customers)
    {
        replay(m_with);
        replay(m_without);
        print("with", m_with.result());
        std::cout << "  refused as hopeless although in time without the gate: " << wronglyRefused() << "\n";
        print("without", m_without.result());
    }

    /** @return Jobs refused as hopeless that were served in time without the gate. */
    int wronglyRefused() const
    {
        return static_cast<int>(std::count_if(m_with.m_offers.begin(), m_with.m_offers.end(), [&](const auto& entry) { return entry.second.m_cause == cell::GateCause::Hopeless && m_without.isInTime(entry.first); }));
    }

    /** Checks that the refusals have cost little. */
    void checkWorth() const
    {
        const GatedResult with = m_with.result();
        BOOST_TEST(with.value() >= minValueShare * m_without.result().value());
        BOOST_TEST(wronglyRefused() <= maxWronglyRefused * with.m_refusedHopeless);
    }
};

} // namespace

// A burst that customers send within their rate is short enough to be served; refusing it costs work.
BOOST_AUTO_TEST_CASE(a_burst_on_one_queue_is_served)
{
    constexpr double usual = 36;
    const auto replay = [](GatedLoad& load) {
        std::vector<Source> sources { { "plain", {}, usual / 2, makeStep() }, { "other", {}, usual / 2, makeStep(), 0.5 } };
        runSources(load, sources, { 5'000 });
        sources[0].m_rate *= 2.6;
        runSources(load, sources, { 7'000 });
        sources[0].m_rate = usual / 2;
        runSources(load, sources, { 10'000 });
        load.runGated({ 20'000 });
    };
    const Comparison comparison(poolWorkers, vms, {}, replay);
    BOOST_TEST(comparison.m_with.result().m_refusedHopeless == 0);
    comparison.checkWorth();
}

// Without the gate, the customers that send what they are entitled to are served late because of the one that sends 7.5 times that.
BOOST_AUTO_TEST_CASE(the_excess_of_one_customer_does_not_make_the_others_late)
{
    constexpr double usual = 45;
    const auto replay = [](GatedLoad& load) {
        std::vector<Source> sources = makeCustomerSources(usual);
        runSources(load, sources, { 5'000 });
        sources[0].m_rate *= 7.5;
        runSources(load, sources, { 8'000 });
        sources[0].m_rate /= 7.5;
        runSources(load, sources, { 10'000 });
        load.runGated({ 20'000 });
    };
    const Comparison comparison(poolWorkers, vms, makeCustomers(usual), replay);
    const auto isOther = [](const GatedLoad::Offer& offer) { return offer.m_customer != customerName(0); };
    const GatedResult with = comparison.m_with.result(isOther);
    const GatedResult without = comparison.m_without.result(isOther);
    print("others with", with);
    print("others without", without);
    BOOST_TEST(with.m_refusedOverRate + with.m_refusedHopeless == 0);
    BOOST_TEST(with.m_inTime >= 0.9 * with.m_offered); // A tenth of the calls may be late, as the users ask.
    BOOST_TEST(without.m_inTime < 0.9 * without.m_offered); // Otherwise the load shows nothing.
    BOOST_TEST(comparison.m_with.result().m_refusedOverRate > 0);
}

// Fragments of uneven tasks, uneven workers and tasks that take seven times as long must not hide that the pool is full.
BOOST_AUTO_TEST_CASE(the_excess_of_one_customer_is_noticed_on_an_uneven_pool)
{
    constexpr double usual = 42;
    const auto replay = [](GatedLoad& load) {
        std::mt19937_64 random(3);
        std::uniform_real_distribution<double> slowdown(0.8, 1.25);
        for (auto& [id, worker] : load.m_workers)
            worker.m_slowdown = slowdown(random);
        load.m_estimateError = [](const TaskName& task) { return stableHash(task.m_job, task.m_index) % 100 < 3 ? 7.0 : 1.0; };
        std::vector<Source> sources = makeCustomerSources(usual);
        std::uniform_real_distribution<double> size(0.5, 1.5);
        for (Source& source : sources)
            source.m_step.m_size.m_cpuMilli = static_cast<std::int64_t>(4'000 * size(random));
        runSources(load, sources, { 5'000 });
        sources[0].m_rate *= 7.5;
        runSources(load, sources, { 8'000 });
        sources[0].m_rate /= 7.5;
        runSources(load, sources, { 10'000 });
        load.runGated({ 30'000 });
    };
    const Comparison comparison(poolWorkers, vms, makeCustomers(usual), replay);
    const auto isOther = [](const GatedLoad::Offer& offer) { return offer.m_customer != customerName(0); };
    const GatedResult with = comparison.m_with.result(isOther);
    const GatedResult without = comparison.m_without.result(isOther);
    print("others with", with);
    print("others without", without);
    BOOST_TEST(with.m_refusedOverRate == 0);
    BOOST_TEST(comparison.m_with.result().m_refusedOverRate > 0);
    BOOST_TEST(with.value() >= without.value());
}

// A third of the workers can't serve the load; the gate must not make less of what they do.
BOOST_AUTO_TEST_CASE(a_pool_that_loses_two_thirds_of_its_workers)
{
    constexpr double usual = 36;
    const auto replay = [](GatedLoad& load) {
        std::vector<Source> sources { { "plain", {}, usual, makeStep() } };
        runSources(load, sources, { 5'000 });
        for (int i = 0; i < poolWorkers * 2 / 3; ++i)
            load.m_workers.at("w" + std::to_string(i)).m_isGone = true;
        for (int i = 0; i < poolWorkers * 2 / 3; ++i)
            removeWorker(load.m_scheduler, "w" + std::to_string(i), load.m_now);
        runSources(load, sources, { 40'000 });
        load.runGated({ 40'000 });
    };
    const Comparison comparison(poolWorkers, vms, {}, replay);
    comparison.checkWorth();
}

// A load of seven times the capacity can't be served; callers were left waiting for results that were of no use any more.
BOOST_AUTO_TEST_CASE(what_can_not_be_started_in_time_is_refused_at_once)
{
    constexpr double usual = 36;
    const auto replay = [](GatedLoad& load) {
        std::vector<Source> sources { { "plain", {}, usual, makeStep() } };
        runSources(load, sources, { 3'000 });
        for (int i = 0; i < poolWorkers * 11 / 12; ++i) {
            load.m_workers.at("w" + std::to_string(i)).m_isGone = true;
            removeWorker(load.m_scheduler, "w" + std::to_string(i), load.m_now);
        }
        runSources(load, sources, { 40'000 });
        load.runGated({ 40'000 });
    };
    const Comparison comparison(poolWorkers, vms, {}, replay);
    const GatedResult with = comparison.m_with.result();
    BOOST_TEST(with.m_refusedHopeless > 0);
    BOOST_TEST(with.m_useless < comparison.m_without.result().m_useless);
    comparison.checkWorth();
}

// Approvals, not workers, are scarce: without a measure of the calls the pool looks idle while steps wait for seconds.
BOOST_AUTO_TEST_CASE(approvals_that_take_four_times_as_long)
{
    constexpr double usual = 24;
    std::vector<CustomerSettings> customers = makeCustomers(usual);
    const auto replay = [](GatedLoad& load) {
        std::vector<Source> sources = makeCustomerSources(usual);
        for (Source& source : sources) {
            source.m_queue = "small";
            source.m_step = makeApprovedStep();
        }
        runSources(load, sources, { 5'000 });
        load.m_callFactor = 4;
        sources[0].m_rate *= 7.5;
        runSources(load, sources, { 15'000 });
        load.m_callFactor = 1;
        sources[0].m_rate /= 7.5;
        runSources(load, sources, { 10'000 });
        load.runGated({ 30'000 });
    };
    const Comparison comparison(poolWorkers, vms, customers, replay);
    const auto isOther = [](const GatedLoad::Offer& offer) { return offer.m_customer != customerName(0); };
    print("others with", comparison.m_with.result(isOther));
    print("others without", comparison.m_without.result(isOther));
    BOOST_TEST(comparison.m_with.result().m_refusedOverRate > 0);
    BOOST_TEST(comparison.m_with.result(isOther).m_refusedOverRate == 0);
    BOOST_TEST(comparison.m_with.result(isOther).value() >= comparison.m_without.result(isOther).value());
}

// Each VM that leaves takes the approvals with it that it could have requested.
BOOST_AUTO_TEST_CASE(vms_that_leave_in_three_waves)
{
    constexpr double usual = 24;
    const auto replay = [](GatedLoad& load) {
        std::vector<Source> sources = makeCustomerSources(usual);
        for (Source& source : sources) {
            source.m_queue = "small";
            source.m_step = makeApprovedStep();
        }
        runSources(load, sources, { 5'000 });
        const std::vector<ApprovalProxy> all = load.m_scheduler.m_approvalProxies;
        sources[0].m_rate *= 7.5;
        for (int wave = 0; wave < 3; ++wave) {
            load.m_scheduler.m_approvalProxies.resize(load.m_scheduler.m_approvalProxies.size() - 3);
            runSources(load, sources, { 4'000 });
        }
        sources[0].m_rate /= 7.5;
        load.m_scheduler.m_approvalProxies = all;
        runSources(load, sources, { 10'000 });
        load.runGated({ 30'000 });
    };
    const Comparison comparison(poolWorkers, vms, makeCustomers(usual), replay);
    const auto isOther = [](const GatedLoad::Offer& offer) { return offer.m_customer != customerName(0); };
    print("others with", comparison.m_with.result(isOther));
    print("others without", comparison.m_without.result(isOther));
    BOOST_TEST(comparison.m_with.result().m_refusedOverRate > 0);
    BOOST_TEST(comparison.m_with.result(isOther).m_refusedOverRate == 0);
    BOOST_TEST(comparison.m_with.result(isOther).value() >= comparison.m_without.result(isOther).value());
}

// Callers that say that their tasks take half as long as they do must not make the gate blind for the backlog: run times are learned.
BOOST_AUTO_TEST_CASE(understated_run_times_are_noticed)
{
    constexpr double usual = jobsPerSecond / 2.0;
    const auto replay = [](GatedLoad& load) {
        load.m_estimateError = [](const TaskName&) { return 1.5; };
        std::vector<Source> sources = makeCustomerSources(usual);
        runSources(load, sources, { 5'000 });
        sources[0].m_rate *= 7.5;
        runSources(load, sources, { 8'000 });
        sources[0].m_rate /= 7.5;
        runSources(load, sources, { 5'000 });
        load.runGated({ 30'000 });
    };
    const Comparison comparison(poolWorkers, vms, makeCustomers(usual), replay);
    const auto isOther = [](const GatedLoad::Offer& offer) { return offer.m_customer != customerName(0); };
    const GatedResult with = comparison.m_with.result(isOther);
    print("others with", with);
    print("others without", comparison.m_without.result(isOther));
    BOOST_TEST(with.m_refusedOverRate + with.m_refusedHopeless == 0);
    BOOST_TEST(comparison.m_with.result().m_refusedOverRate > 0);
    BOOST_TEST(with.value() >= comparison.m_without.result(isOther).value());
}
