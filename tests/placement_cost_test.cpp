/**
 * @file placement_cost_test.cpp Processor time of placement passes when hundreds of steps wait: on full workers, and on workers
 * with room for which the steps lack approvals. Prints the cost of a pass, also as a multiple of a first-fit search for one task.
 */
#define BOOST_TEST_MODULE placement_cost
#include <boost/test/unit_test.hpp>

#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"

#include <iostream>

#include <ctime>

using namespace bulrushloft;
using namespace bulrushloft::scheduler;

namespace {

constexpr int waitingSteps = 400;
constexpr std::uint32_t stepWidth = 5; ///< 400 steps of this width make 2,000 waiting tasks.
constexpr Duration passInterval { 4 }; ///< Shortest interval between two passes.
constexpr int passes = 150;
constexpr std::int64_t halfWorker = 16'000; ///< CPU of a task, in thousandths of a core.
constexpr std::int64_t wholeWorker = 32'000;

double threadMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

std::string idOf(int number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016x", static_cast<unsigned>(number));
    return text;
}

/** A scheduler with adopted workers and waiting steps. */
struct WaitingLoad {
    Scheduler m_scheduler;
    TimePoint m_now { 1'000 };
    int m_workers;

    /** @param needsApproval Whether steps need approvals, which nobody gives. @param taskCpu CPU of a waiting task; workers have 32 cores. */
    WaitingLoad(int workers, bool needsApproval, std::int64_t taskCpu)
        : m_workers(workers)
    {
        m_scheduler.m_options.m_token = 1;
        m_scheduler.m_isInitialLoad = false;
        QueueSettings queue { .m_name = "q", .m_host = "h", .m_pathPrefix = "/q/", .m_pool = "pool", .m_priority = 0, .m_failureLimit = 3, .m_slackFactor = 1.5, .m_latencyTarget = { 300 }, .m_timeout = { 3'000 }, .m_approval = {} };
        if (needsApproval)
            queue.m_approval = ApprovalPolicy { .m_baseCallTimeMs = 25, .m_callTimePerWorkerMs = 0.35, .m_validity = { 2'000 } };
        setCluster(m_scheduler, { .m_version = 1, .m_queues = { queue }, .m_pools = { { .m_name = "pool" } } });
        for (int i = 0; i < workers; ++i)
            adopt("w" + std::to_string(i));
        if (!needsApproval) // Fills all workers.
            accept(0, static_cast<std::uint32_t>(workers), wholeWorker);
        pass();
        for (int i = 1; i <= waitingSteps; ++i)
            accept(i, stepWidth, taskCpu);
        for (int i = 0; i < 5; ++i)
            pass();
        BOOST_TEST(m_scheduler.m_waitingSteps.size() == static_cast<std::size_t>(waitingSteps));
    }

    void accept(int number, std::uint32_t width, std::int64_t taskCpu)
    {
        const StepPlan step { .m_count = width, .m_size = { .m_cpuMilli = taskCpu, .m_memoryMb = 15'000, .m_gpus = 0 }, .m_estimatedRunTime = { 900 } };
        acceptJob(m_scheduler, { .m_id = idOf(number), .m_queue = "q", .m_policy = { .m_pool = "pool" }, .m_payload = "p", .m_steps = { step }, .m_firstStart = {}, .m_period = {}, .m_occurrenceCount = 0, .m_submittedAt = m_now }, m_now);
    }

    void adopt(const std::string& id)
    {
        updateWorker(m_scheduler, { .m_id = id, .m_pool = "pool", .m_address = { "127.0.0.1", 9 }, .m_zone = "a", .m_machine = {}, .m_capacity = { .m_cpuMilli = wholeWorker, .m_memoryMb = 65'536, .m_gpus = 0 }, .m_labels = { "a", "r1-1" } }, m_now);
        SchedulerEffects effects;
        onSyncAnswer(m_scheduler, id, OrderStatus::Done, { .m_clockMs = 5'000, .m_processStartMs = 1, .m_running = {}, .m_ended = {} }, m_now, m_now, effects);
    }

    /** One pass, after a change as the end of an attempt causes one. */
    void pass()
    {
        m_now = m_now + passInterval + Duration { waitingSteps / 100 };
        Worker& worker = m_scheduler.m_workers[static_cast<std::size_t>(m_now.m_ms % m_workers)];
        updateWorker(m_scheduler, WorkerAnnouncement(worker.m_announcement), m_now);
        SchedulerEffects effects;
        detail::placeWaiting(m_scheduler, m_now, effects);
    }

    double microsecondsPerPass()
    {
        const double from = threadMicroseconds();
        for (int i = 0; i < passes; ++i)
            pass();
        return (threadMicroseconds() - from) / passes;
    }

    /** @return Processor time of a first-fit search for one task that fits nowhere. */
    double microsecondsPerFirstFit() const
    {
        constexpr int searches = 200;
        constexpr Resources tooLarge { 64'000, 1, 0 };
        int found = 0;
        const double from = threadMicroseconds();
        for (int i = 0; i < searches; ++i) {
            for (const Worker& worker : m_scheduler.m_workers) {
                if (!fitsInto(tooLarge, worker.m_announcement.m_capacity - worker.m_granted))
                    continue;
                ++found;
                break;
            }
        }
        BOOST_TEST(found == 0);
        return (threadMicroseconds() - from) / searches;
    }
};

double measure(const char* load, int workers, bool needsApproval, std::int64_t taskCpu)
{
    WaitingLoad waiting(workers, needsApproval, taskCpu);
    const double pass = waiting.microsecondsPerPass();
    const double firstFit = waiting.microsecondsPerFirstFit();
    std::cout << load << ", " << workers << " workers: a pass over " << waiting.m_scheduler.m_waitingSteps.size() << " waiting steps takes " << pass << " us, " << pass / firstFit << " first-fit searches\n";
    return pass;
}

} // namespace

// On the large fleet passes over the waiting steps took more processor time than there is between two of them, so the leader placed
// fewer tasks the more were waiting.
BOOST_AUTO_TEST_CASE(a_pass_over_steps_that_wait_for_room_takes_less_than_half_of_the_interval)
{
    BOOST_TEST(measure("full workers", 1'100, false, wholeWorker) < static_cast<double>(passInterval.m_ms) * 1'000 / 2);
}

BOOST_AUTO_TEST_CASE(a_pass_over_steps_that_wait_for_approvals_takes_less_than_half_of_the_interval)
{
    BOOST_TEST(measure("workers without approval", 1'100, true, halfWorker) < static_cast<double>(passInterval.m_ms) * 1'000 / 2);
}

BOOST_AUTO_TEST_CASE(the_cost_of_a_pass_grows_at_most_linearly_with_the_workers)
{
    const double few = measure("full workers", 120, false, wholeWorker);
    const double many = measure("full workers", 3'200, false, wholeWorker);
    BOOST_TEST(many / few < 3'200.0 / 120);
}
