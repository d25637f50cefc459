/** @file moved_queue_load.h A scheduler with workers in two pools, whose queues are sent from one to the other, and later leaders that go on from its records. */
#pragma once

#include "approval_load.h"
#include "request/plan_codec.h"
#include "request/plan_func.h"
#include "version/cluster_func.h"

#include <boost/test/unit_test.hpp>

namespace bulrushloft::test {

inline constexpr const char* formerPool = "pool";
inline constexpr const char* newPool = "other";

using Workers = std::set<std::string>;

/** A queue "plain" without and a queue "asked" with approvals, and workers in two pools: f0, f1 and so on in the former one, n0, n1 and so on in the new one. */
struct MovedQueueLoad : ApprovalLoad {
    MovedQueueLoad(int formerWorkers, int newWorkers)
        : ApprovalLoad(0, 3, 1.0)
    {
        m_keepsRecords = true;
        send(formerPool);
        for (int i = 0; i < formerWorkers; ++i)
            addWorker("f" + std::to_string(i), formerPool);
        for (int i = 0; i < newWorkers; ++i)
            addWorker("n" + std::to_string(i), newPool);
        run({ 50 });
    }

    void addWorker(const std::string& id, const std::string& pool)
    {
        m_workers[id].m_pool = pool;
        adopt(id);
    }

    /** @return The next version, which sends the queues to the given pools; both to the first if only that is given. Without a pool it names neither. */
    ClusterSettings makeNext(const std::string& pool, const std::string& poolOfAsked = {}) const
    {
        ClusterSettings next { .m_version = m_cluster.m_version + 1, .m_queues = {}, .m_pools = { { .m_name = formerPool }, { .m_name = newPool } }, .m_customers = m_cluster.m_customers };
        QueueSettings plain = makeQueue("plain", 4, { 1'000 }, {});
        plain.m_approval.reset();
        plain.m_pool = pool;
        QueueSettings asked = makeQueue("asked", 4, { 1'000 }, { .m_baseCallTimeMs = 25, .m_callTimePerWorkerMs = 0.35, .m_validity = { 2'000 } });
        asked.m_pool = poolOfAsked.empty() ? pool : poolOfAsked;
        if (!pool.empty())
            next.m_queues = { plain, asked };
        return next;
    }

    /** Puts the next version into force; see makeNext(). */
    void send(const std::string& pool, const std::string& poolOfAsked = {})
    {
        configure(makeNext(pool, poolOfAsked));
        BOOST_TEST(isConsistent(m_scheduler));
    }

    /** A worker drains, and leaves. */
    void takeAway(const std::string& id)
    {
        announce(id, true);
        runChecked({ 1'000 });
        lose(id);
    }

    /** A worker is gone with all that it runs, and its announcement is removed. */
    void lose(const std::string& id)
    {
        m_workers.at(id).m_runs.clear();
        m_workers.at(id).m_isGone = true;
        removeWorker(m_scheduler, id, m_now);
    }

    /** Runs on and checks at each tick that no task runs twice, and that what the scheduler keeps is consistent. */
    void runChecked(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end;) {
            tick();
            std::set<TaskName> running;
            for (const auto& [id, worker] : m_workers) {
                for (const Run& run : worker.m_runs)
                    BOOST_TEST(running.insert(run.m_task).second, bulrushloft::format(run.m_task) << " runs twice, the second time on " << id);
            }
            BOOST_TEST(isConsistent(m_scheduler));
        }
    }

    /** @return Workers that run tasks of a job. */
    Workers workersOf(const std::string& job) const
    {
        Workers workers;
        for (const auto& [id, worker] : m_workers) {
            for (const Run& run : worker.m_runs) {
                if (run.m_task.m_job == job)
                    workers.insert(id);
            }
        }
        return workers;
    }

    /** @return Whether tasks of a job run, and all of them on workers of a pool. */
    bool runsIn(const std::string& job, const std::string& pool) const
    {
        const Workers workers = workersOf(job);
        return !workers.empty() && std::all_of(workers.begin(), workers.end(), [&](const std::string& id) { return m_workers.at(id).m_pool == pool; });
    }

    std::size_t countRuns(const std::string& job) const
    {
        std::size_t count = 0;
        for (const auto& [id, worker] : m_workers)
            count += static_cast<std::size_t>(std::count_if(worker.m_runs.begin(), worker.m_runs.end(), [&](const Run& run) { return run.m_task.m_job == job; }));
        return count;
    }

    /** Ends the attempts of a job on a worker. */
    void end(const std::string& id, const std::string& job, AttemptEnd how)
    {
        SimulatedWorker& worker = m_workers.at(id);
        std::erase_if(worker.m_runs, [&](const Run& run) {
            if (run.m_task.m_job == job)
                worker.m_ended.push_back({ .m_number = ++worker.m_lastEnd, .m_task = run.m_task, .m_attempt = run.m_attempt, .m_end = how, .m_checkpoint = {} });
            return run.m_task.m_job == job;
        });
    }

    const Job& job(const std::string& id) const { return *m_scheduler.m_jobs.at(id); }
    JobStage stageOf(const std::string& id) const { return findStage(m_scheduler, id).value(); }

    /** @return A plan as a VM makes it that has the given version, by default the one in force. */
    JobPlan makePlan(const std::string& queue, std::vector<StepPlan> steps, const ClusterSettings& known)
    {
        const std::string id = nextJobId();
        ++m_nextJob;
        const auto found = std::find_if(known.m_queues.begin(), known.m_queues.end(), [&](const QueueSettings& each) { return each.m_name == queue; });
        return { .m_id = id, .m_queue = queue, .m_policy = bulrushloft::policyOf(*found, known.m_version), .m_payload = "p", .m_steps = std::move(steps), .m_firstStart = m_now, .m_period = { 1'000 }, .m_occurrenceCount = 0, .m_submittedAt = m_now };
    }
    JobPlan makePlan(const std::string& queue, std::vector<StepPlan> steps) { return makePlan(queue, std::move(steps), m_cluster); }

    /** Hands a plan in at the leader, which records it. @return Its id. */
    std::string submitPlan(const JobPlan& plan)
    {
        const std::string record = encodePlan(plan);
        acceptAndRecord(m_scheduler, decodePlan(record).value(), record, m_now);
        return plan.m_id;
    }

    std::string submitSteps(const std::string& queue, const std::vector<StepPlan>& steps) { return submitPlan(makePlan(queue, steps)); }
    std::string submit(const std::string& queue, const StepPlan& step) { return submitSteps(queue, { step }); }

    /** A later leader begins with the configuration in force and what the former one has recorded. */
    void takeOver()
    {
        const SchedulerOptions former = m_scheduler.m_options;
        const auto proxies = m_scheduler.m_approvalProxies;
        m_scheduler = Scheduler {};
        m_scheduler.m_options = former;
        ++m_scheduler.m_options.m_token;
        m_scheduler.m_approvalProxies = proxies;
        m_scheduler.m_isInitialLoad = false;
        m_events.clear();
        m_appends.clear();
        setCluster(m_scheduler, m_cluster);
        restoreAll();
        for (auto& [id, worker] : m_workers) {
            worker.m_isSyncDue = false;
            worker.m_syncSentAt = {};
            if (!worker.m_isGone)
                announce(id);
        }
        finishRestoring(m_scheduler, m_now + Duration { 3'000 }, m_now);
    }

    /** Restores the records in the order in which a leader does. */
    void restoreAll()
    {
        const std::string planPrefix = planKey({});
        const auto records = m_recorded;
        for (const auto& [key, value] : records) {
            if (key.starts_with(planPrefix))
                restorePlan(m_scheduler, decodePlan(value).value(), m_now);
        }
        for (const auto& [key, value] : records) {
            if (key.starts_with(queueRecordPrefix))
                BOOST_TEST(restoreQueue(m_scheduler, key, value).has_value());
            else if (!key.starts_with(planPrefix))
                BOOST_TEST(restoreProgress(m_scheduler, key, value, m_now).has_value());
        }
    }

    bool hasQueueRecord(const std::string& queue) const { return m_recorded.contains(queueRecordPrefix + queue); }
};

/** @return A step of tasks of a quarter of a worker. */
inline StepPlan makeQuarterStep(std::uint32_t count = 1, Duration runTime = { 5'000 })
{
    return { .m_count = count, .m_size = { .m_cpuMilli = 8'000, .m_memoryMb = 1'000, .m_gpus = 0 }, .m_estimatedRunTime = runTime };
}

inline StepPlan makeLastingStep(std::uint32_t count = 1)
{
    StepPlan step = makeQuarterStep(count);
    step.m_isLongRunning = true;
    return step;
}

} // namespace bulrushloft::test
