/** @file waiting_step_test.cpp Steps that wait are tried again in bounded time, whatever became of their workers, tickets, requests and records. */
#define BOOST_TEST_MODULE waiting_step
#include <boost/test/unit_test.hpp>

#include "process/scheduler/approvals.h"
#include "wait_watch.h"

#include <iostream>

using namespace bulrushloft;
using namespace bulrushloft::scheduler;
using namespace bulrushloft::test;

namespace {

constexpr Duration longestWait { 3'000 }; ///< The users' bound for a job with nothing running that could run (LOST).
constexpr Duration finishTime { 14'000 }; ///< Time after the end of the load from which that bound holds (finish_s).

/** A load during which workers, approvals, VMs and records fail. */
struct TroubledLoad {
    static constexpr int workers = 60;
    static constexpr int proxies = 7;
    ApprovalLoad m_load { workers, proxies, 0.4 };
    std::mt19937_64 m_random;
    std::mt19937_64 m_recordRandom;
    std::vector<std::string> m_present; ///< Workers that have not left.
    std::vector<std::string> m_jobs;
    WaitWatch m_watch;
    int m_nextWorker = 0;

    explicit TroubledLoad(std::uint64_t seed)
        : m_random(seed)
        , m_recordRandom(seed)
    {
        for (int i = 0; i < workers; ++i)
            m_present.push_back("w" + std::to_string(i));
    }

    bool happens(unsigned percent) { return m_random() % 100 < percent; }

    void submit()
    {
        if (happens(9))
            m_jobs.push_back(m_load.submitGang(static_cast<std::uint32_t>(4 + m_random() % 2), happens(50) ? 4 : 8));
        if (happens(2))
            m_jobs.push_back(m_load.submit("small", { .m_count = 68, .m_size = { .m_cpuMilli = 15'000, .m_memoryMb = 1'000, .m_gpus = 0 }, .m_estimatedRunTime = { 1'000 } }));
        if (happens(30))
            m_jobs.push_back(m_load.submit("quick", { .m_count = static_cast<std::uint32_t>(1 + m_random() % 10), .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1'000, .m_gpus = 0 }, .m_estimatedRunTime = { 400 } }));
        if (happens(2) && !m_jobs.empty())
            cancelJob(m_load.m_scheduler, m_jobs[m_random() % m_jobs.size()], m_load.m_now);
    }

    void leave(const std::string& id)
    {
        m_load.kill(m_load.m_workers.at(id));
        m_load.m_workers.at(id).m_isGone = true;
        removeWorker(m_load.m_scheduler, id, m_load.m_now);
        std::erase(m_present, id);
        m_present.push_back("n" + std::to_string(m_nextWorker++));
        m_load.adopt(m_present.back());
    }

    void disturbWorker()
    {
        const std::string id = m_present[m_random() % m_present.size()];
        ApprovalLoad::SimulatedWorker& worker = m_load.m_workers.at(id);
        if (happens(5))
            worker.m_silentUntil = m_load.m_now + Duration { static_cast<std::int64_t>(200 + m_random() % 8'000) };
        if (happens(3)) {
            m_load.kill(worker);
            m_load.announce(id);
        }
        if (happens(3))
            leave(id);
        if (happens(2)) {
            constexpr Duration drainTime { 4'500 };
            m_load.announce(id, true);
            m_load.m_events.emplace(m_load.m_now + drainTime, [this, id] {
                if (!m_load.m_workers.at(id).m_isGone)
                    leave(id);
            });
        }
    }

    void disturbApprovals()
    {
        if (happens(10))
            m_load.m_areRequestsAnswered = !m_load.m_areRequestsAnswered;
        auto& all = m_load.m_scheduler.m_approvalProxies;
        if (happens(5) && all.size() > 2)
            all.erase(all.begin() + static_cast<std::ptrdiff_t>(m_random() % all.size()));
        if (happens(8) && all.size() < proxies)
            all.push_back({ .m_member = "vm-again", .m_busyUntil = {} });
    }

    void runTroubled(Duration length)
    {
        m_load.m_recordTime = [this] { return Duration { std::uniform_int_distribution<std::int64_t>(10, 1'500)(m_recordRandom) }; };
        for (const TimePoint end = m_load.m_now + length; m_load.m_now < end;) {
            submit();
            disturbWorker();
            disturbApprovals();
            m_load.run({ 100 });
        }
        m_load.m_recordTime = nullptr;
        m_load.m_areRequestsAnswered = true;
        m_load.m_scheduler.m_approvalProxies.resize(proxies, { .m_member = "vm-again", .m_busyUntil = {} });
        for (auto& [id, worker] : m_load.m_workers)
            worker.m_silentUntil = {};
    }

    void runWatched(Duration length)
    {
        constexpr Duration interval { 100 };
        for (const TimePoint end = m_load.m_now + length; m_load.m_now < end;) {
            m_load.run(interval);
            m_watch.check(m_load);
        }
    }

    /** Checks that what is counted for requests under way has been counted back. */
    void checkCounts() const
    {
        BOOST_TEST(isConsistent(m_load.m_scheduler));
        for (const Worker& worker : m_load.m_scheduler.m_workers)
            BOOST_TEST(worker.m_pendingNames == 0U);
        for (const auto& [id, job] : m_load.m_scheduler.m_jobs) {
            const ApprovalState& state = job->m_runs.front()->m_approval;
            BOOST_TEST(state.m_pendingRequests == 0U);
            BOOST_TEST(state.m_askedWorkers == 0U);
            const bool isAnyPending = std::any_of(state.m_tickets.begin(), state.m_tickets.end(), [](const auto& entry) { return entry.second.m_isRenewalPending; });
            BOOST_TEST(!isAnyPending);
        }
    }
};

} // namespace

// Steps that could run waited for up to 40 s, until the day ended, after workers, approvals and records had failed.
BOOST_AUTO_TEST_CASE(steps_run_soon_after_workers_approvals_and_records_have_failed)
{
    constexpr Duration troubleLength { 40'000 };
    constexpr Duration watchedLength { 30'000 }; // All that was accepted can run in this time.
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        TroubledLoad troubled(seed);
        troubled.runTroubled(troubleLength);
        troubled.runWatched(finishTime);
        const Duration longestBefore = std::exchange(troubled.m_watch, {}).m_longest;
        troubled.runWatched(watchedLength);
        const auto open = std::count_if(troubled.m_jobs.begin(), troubled.m_jobs.end(), [&](const std::string& job) { return !isFinal(troubled.m_load.m_scheduler.m_jobs.at(job)->m_stage); });
        std::cout << "seed " << seed << ": " << troubled.m_jobs.size() << " jobs, " << open << " not ended, longest wait " << longestBefore.m_ms << " ms, after " << finishTime.m_ms << " ms: " << troubled.m_watch.m_longest.m_ms << " ms (" << troubled.m_watch.m_longestJob << "), " << troubled.m_load.m_requests << " requests, " << troubled.m_load.m_lapsedStarts << " lapsed starts, " << troubled.m_load.m_scheduler.m_counters.m_placements << " placements\n";
        BOOST_TEST(open == 0);
        BOOST_TEST(troubled.m_watch.m_longest.m_ms <= longestWait.m_ms);
        troubled.checkCounts();
    }
}

// A start was refused while a request that named its worker was under way: the worker counted as asked for good, so that the step
// expected an approval and sent no further request, with most of the room free.
BOOST_AUTO_TEST_CASE(a_worker_whose_ticket_is_refused_while_it_is_asked_for_does_not_count_as_asked_for_good)
{
    ApprovalLoad load(1, 7, 1.0);
    const std::string job = load.submit("gang", { .m_count = 1, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1'000, .m_gpus = 0 }, .m_estimatedRunTime = { 1'000 } });
    StepRun& run = *load.m_scheduler.m_jobs.at(job)->m_runs.front();
    while (run.m_approval.m_askedWorkers == 0)
        load.tick();
    detail::forgetTicket(run, 0);
    BOOST_TEST(isConsistent(load.m_scheduler));
    load.run({ 1'000 });
    BOOST_TEST(run.m_approval.m_askedWorkers == 0U);
    BOOST_TEST(load.m_starts == 1U);
}

namespace {

constexpr Duration recordTime { 1'500 };

/** A gang of four that is placed and waits for its record. */
struct PlacedGang {
    ApprovalLoad m_load { 10, 7, 1.0 };
    StepRun& m_run;

    PlacedGang()
        : m_run(*m_load.m_scheduler.m_jobs.at(m_load.submitGang(4, 8))->m_runs.front())
    {
        m_load.m_recordTime = [] { return recordTime; };
        while (m_run.m_activeAttempts == 0)
            m_load.tick();
    }

    std::string workerOf(std::uint32_t member) const { return m_load.m_scheduler.m_workers[static_cast<std::size_t>(m_run.m_tasks[member].m_worker)].m_announcement.m_id; }

    /** Runs until all that was placed before would have been started, and the gang has been placed anew. */
    void finish()
    {
        m_load.run(recordTime * 2);
        m_load.m_recordTime = nullptr;
        m_load.run(longestWait);
    }
};

} // namespace

// A member was withdrawn from a worker that drained, and the others were started all the same: they waited on their workers until the gang time-out.
BOOST_AUTO_TEST_CASE(a_gang_that_loses_a_place_to_a_drain_before_its_start_starts_nowhere_until_it_is_complete)
{
    PlacedGang gang;
    gang.m_load.announce(gang.workerOf(1), true);
    gang.finish();
    BOOST_TEST(gang.m_load.m_starts == 4U);
    BOOST_TEST(gang.m_run.m_tasks[0].m_attempt == 2U);
}

// A member was lost to a crash of its worker while the records of the gang were awaited, and the others were started all the same.
BOOST_AUTO_TEST_CASE(a_gang_that_loses_a_place_to_a_crash_before_its_start_starts_nowhere_until_it_is_complete)
{
    PlacedGang gang;
    const std::string id = gang.workerOf(1);
    gang.m_load.m_workers.at(id).m_isGone = true;
    removeWorker(gang.m_load.m_scheduler, id, gang.m_load.m_now);
    SchedulerEffects effects;
    onSyncAnswer(gang.m_load.m_scheduler, id, OrderStatus::WrongInstance, {}, gang.m_load.m_now, gang.m_load.m_now, effects);
    gang.finish();
    BOOST_TEST(gang.m_load.m_starts == 4U);
    BOOST_TEST(gang.m_run.m_tasks[0].m_attempt == 2U);
}

// A task whose start had never been sent kept its place on a worker that had fallen silent until the worker's lease had run out.
BOOST_AUTO_TEST_CASE(a_start_that_was_never_sent_does_not_wait_for_the_lease_of_a_silent_worker)
{
    ApprovalLoad load(10, 7, 1.0);
    const std::string job = load.submit("gang", { .m_count = 1, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1'000, .m_gpus = 1 }, .m_estimatedRunTime = { 1'000 } });
    const Task& task = load.m_scheduler.m_jobs.at(job)->m_runs.front()->m_tasks.front();
    load.m_recordTime = [] { return Duration { 3'000 }; };
    while (task.m_phase == RunPhase::None)
        load.tick();
    const std::string id = load.m_scheduler.m_workers[static_cast<std::size_t>(task.m_worker)].m_announcement.m_id;
    load.m_workers.at(id).m_silentUntil = farFuture;
    load.m_recordTime = [] { return Duration { 500 }; };
    load.run({ 2'500 }); // Two calls to the worker time out.
    load.run(longestWait);
    BOOST_TEST(load.m_starts == 1U);
}

// A start that a worker had not answered waited for the worker's lease, and its ticket was renewed over and over meanwhile.
BOOST_AUTO_TEST_CASE(tickets_are_not_renewed_for_a_worker_that_does_not_answer)
{
    ApprovalLoad load(10, 7, 1.0);
    const std::string job = load.submit("gang", { .m_count = 1, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1'000, .m_gpus = 1 }, .m_estimatedRunTime = { 1'000 } });
    const Task& task = load.m_scheduler.m_jobs.at(job)->m_runs.front()->m_tasks.front();
    load.m_recordTime = [] { return Duration { 100 }; };
    while (task.m_phase == RunPhase::None)
        load.tick();
    load.m_workers.at(load.m_scheduler.m_workers[static_cast<std::size_t>(task.m_worker)].m_announcement.m_id).m_silentUntil = farFuture;
    load.run({ 4'500 }); // The lease ends after 5 s.
    BOOST_TEST((task.m_phase == RunPhase::Starting));
    BOOST_TEST(load.m_requests == 1U);
}
