/** @file customer_fixture.h A scheduler with customers on a simulated clock, with workers that answer at once. */
#pragma once

#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"

#include <boost/test/unit_test.hpp>

namespace bulrushloft::test {

using namespace scheduler;

inline constexpr const char* customerQueue = "q";
inline constexpr const char* customerPool = "pool";

/** @return A configuration with one queue. */
inline ClusterSettings makeCustomerCluster(std::vector<CustomerSettings> customers)
{
    return { .m_version = 1,
        .m_queues = { { .m_name = customerQueue, .m_host = "h", .m_pathPrefix = "/q/", .m_pool = customerPool, .m_priority = 0, .m_failureLimit = 3, .m_slackFactor = 2, .m_latencyTarget = { 1'000 }, .m_timeout = { 3'000 }, .m_approval = {} } },
        .m_pools = { { .m_name = customerPool } },
        .m_customers = std::move(customers) };
}

inline CustomerSettings makeCustomer(const std::string& name, std::int64_t capCpuMilli, double weight = 1)
{
    return { .m_name = name, .m_keys = {}, .m_weight = weight, .m_cap = { .m_cpuMilli = capCpuMilli, .m_memoryMb = 0, .m_gpus = 0 } };
}

inline StepPlan makeCustomerStep(std::uint32_t count, std::int64_t cpuMilli = 1'000, bool isGang = false)
{
    return { .m_count = count, .m_size = { .m_cpuMilli = cpuMilli, .m_memoryMb = 100, .m_gpus = 0 }, .m_estimatedRunTime = { 500 }, .m_predecessors = {}, .m_isGang = isGang };
}

inline JobPlan makeCustomerPlan(std::vector<StepPlan> steps, const std::string& id, const std::string& customer)
{
    return { .m_id = id, .m_queue = customerQueue, .m_policy = { .m_pool = customerPool }, .m_payload = "payload", .m_steps = std::move(steps), .m_firstStart = {}, .m_period = {}, .m_occurrenceCount = 0, .m_submittedAt = { 1'000 }, .m_customer = customer };
}

/** A scheduler, and what its workers would report. */
struct CustomerFixture {
    Scheduler m_scheduler;
    TimePoint m_now { 1'000 };
    std::map<std::string, SyncReport> m_reports; ///< By worker.

    explicit CustomerFixture(std::vector<CustomerSettings> customers)
    {
        m_scheduler.m_options.m_token = 1;
        m_scheduler.m_isInitialLoad = false;
        setCluster(m_scheduler, makeCustomerCluster(std::move(customers)));
    }

    SchedulerEffects step(Duration elapsed = { 10 })
    {
        m_now = m_now + elapsed;
        SchedulerEffects effects;
        scheduler::step(m_scheduler, m_now, effects);
        BOOST_TEST(isConsistent(m_scheduler));
        return effects;
    }

    std::vector<KeyedRecord> record()
    {
        const std::uint64_t batch = m_scheduler.m_nextBatch;
        auto records = takeRecords(m_scheduler);
        onRecorded(m_scheduler, batch, m_now);
        return records;
    }

    void adoptWorker(const std::string& id, std::int64_t cpuMilli = 8'000)
    {
        updateWorker(m_scheduler, { .m_id = id, .m_pool = customerPool, .m_address = { "127.0.0.1", 9 }, .m_zone = "a", .m_machine = {}, .m_capacity = { .m_cpuMilli = cpuMilli, .m_memoryMb = 100'000, .m_gpus = 0 }, .m_labels = {} }, m_now);
        step();
        report(id);
    }

    /** Answers a sync with the worker's report. */
    void report(const std::string& id, OrderStatus status = OrderStatus::Done)
    {
        SyncReport& report = m_reports[id];
        report.m_clockMs = m_now.m_ms + 5'000;
        SchedulerEffects effects;
        onSyncAnswer(m_scheduler, id, status, report, m_now, m_now, effects);
        report.m_ended.clear();
    }

    void answer(const AddressedOrder<StartOrder>& start, OrderStatus status)
    {
        SchedulerEffects effects;
        onStartAnswer(m_scheduler, start.m_to.m_worker, start.m_order.m_task, start.m_order.m_attempt, { .m_status = status, .m_clockMs = m_now.m_ms + 5'000 }, m_now, effects);
        if (status == OrderStatus::Done)
            m_reports[start.m_to.m_worker].m_running.push_back({ .m_task = start.m_order.m_task, .m_attempt = start.m_order.m_attempt, .m_checkpoint = {}, .m_percent = 10, .m_loadMetric = 0 });
    }

    /** Places, records and starts what is due. @return Number of starts. */
    std::size_t startAll()
    {
        std::size_t starts = 0;
        for (int i = 0; i < 8; ++i) {
            const SchedulerEffects effects = step({ 20 });
            record();
            starts += effects.m_starts.size();
            for (const auto& start : effects.m_starts)
                answer(start, OrderStatus::Done);
        }
        return starts;
    }

    /** Ends up to a number of running attempts of a customer as done. */
    void end(const std::string& customer, std::size_t count)
    {
        for (auto& entry : m_reports) {
            const std::string& id = entry.first;
            SyncReport& report = entry.second;
            std::uint64_t number = m_scheduler.m_workers[static_cast<std::size_t>(m_scheduler.m_workerById.at(id))].m_highestSeenEnd;
            std::erase_if(report.m_running, [&](const RunningAttempt& running) {
                const auto job = m_scheduler.m_jobs.find(running.m_task.m_job);
                if (count == 0 || job == m_scheduler.m_jobs.end() || job->second->m_plan.m_customer != customer)
                    return false;
                report.m_ended.push_back({ .m_number = ++number, .m_task = running.m_task, .m_attempt = running.m_attempt, .m_end = AttemptEnd::Done, .m_checkpoint = {} });
                --count;
                return true;
            });
            this->report(id);
        }
    }

    const CustomerUsage& customer(const std::string& name) const { return m_scheduler.m_customers.at(name); }
    std::int64_t runningCpu(const std::string& name) const { return customer(name).m_running.m_cpuMilli; }
};

} // namespace bulrushloft::test
