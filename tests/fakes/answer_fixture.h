/** @file answer_fixture.h A scheduler whose workers' answers are played by a test case. */
#pragma once

#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"

#include <optional>

namespace bulrushloft::test {

using namespace scheduler;

inline constexpr const char* firstJob = "5c0e7a21d94b36f8";
inline constexpr const char* secondJob = "5c0e7a21d94b36f9";
inline constexpr std::int64_t firstProcess = 1'000;
inline constexpr std::int64_t secondProcess = 9'000;

inline TaskName taskOf(const std::string& job, std::uint32_t index = 0)
{
    return { .m_job = job, .m_occurrence = 0, .m_step = 0, .m_index = index };
}

inline EndedAttempt makeEnd(std::uint64_t number, const TaskName& task, std::uint32_t attempt, AttemptEnd end)
{
    return { .m_number = number, .m_task = task, .m_attempt = attempt, .m_end = end, .m_checkpoint = {} };
}

/** A scheduler whose workers' answers are played by the test case; records are durable at once. */
struct AnswerFixture {
    Scheduler m_scheduler;
    TimePoint m_now { 10'000 };
    std::vector<AddressedOrder<StartOrder>> m_starts; ///< Starts sent.
    std::vector<AddressedOrder<StopOrder>> m_stops; ///< Stops sent.
    std::vector<std::pair<std::string, SyncOrder>> m_syncs; ///< Syncs sent, with their worker.

    AnswerFixture()
    {
        m_scheduler.m_options.m_token = 1;
        m_scheduler.m_isInitialLoad = false;
        setCluster(m_scheduler, { .m_version = 1, .m_queues = { { .m_name = "q", .m_pool = "p", .m_failureLimit = 2 } }, .m_pools = { { .m_name = "p" } } });
    }

    void adopt(const std::string& id)
    {
        announce(id, 0);
        run({ 50 });
        answerSync(id, {});
    }

    void announce(const std::string& id, std::int64_t process)
    {
        updateWorker(m_scheduler, { .m_id = id, .m_pool = "p", .m_address = { "127.0.0.1", 9 }, .m_zone = "z", .m_machine = {}, .m_capacity = { .m_cpuMilli = 4'000, .m_memoryMb = 4'000 }, .m_processStartMs = process }, m_now);
    }

    void submit(const std::string& id, const StepPlan& step)
    {
        acceptJob(m_scheduler, { .m_id = id, .m_queue = "q", .m_policy = { .m_pool = "p" }, .m_payload = "x", .m_steps = { step } }, m_now);
    }

    void run(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end;) {
            m_now = m_now + Duration { 10 };
            SchedulerEffects effects;
            scheduler::step(m_scheduler, m_now, effects);
            m_starts.insert(m_starts.end(), effects.m_starts.begin(), effects.m_starts.end());
            m_stops.insert(m_stops.end(), effects.m_stops.begin(), effects.m_stops.end());
            for (const auto& sync : effects.m_syncs)
                m_syncs.emplace_back(sync.m_to.m_worker, sync.m_order);
            const std::uint64_t batch = m_scheduler.m_nextBatch;
            takeRecords(m_scheduler);
            onRecorded(m_scheduler, batch, m_now);
        }
    }

    Worker& worker(const std::string& id) { return m_scheduler.m_workers[static_cast<std::size_t>(m_scheduler.m_workerById.at(id))]; }

    /** @param sentAt When the sync was sent that is answered; by default the latest one. */
    void answerSync(const std::string& id, SyncReport report, OrderStatus status = OrderStatus::Done, std::optional<TimePoint> sentAt = {})
    {
        report.m_clockMs = report.m_clockMs == 0 ? m_now.m_ms : report.m_clockMs;
        report.m_processStartMs = report.m_processStartMs == 0 ? firstProcess : report.m_processStartMs;
        SchedulerEffects effects;
        onSyncAnswer(m_scheduler, id, status, report, sentAt.value_or(worker(id).m_syncSentAt), m_now, effects);
    }

    void answerStarts()
    {
        for (const auto& start : std::exchange(m_starts, {})) {
            SchedulerEffects effects;
            onStartAnswer(m_scheduler, start.m_to.m_worker, start.m_order.m_task, start.m_order.m_attempt, { .m_status = OrderStatus::Done, .m_clockMs = m_now.m_ms }, m_now, effects);
        }
    }
};

inline StepPlan makeStep(std::uint32_t count = 1)
{
    return { .m_count = count, .m_size = { .m_cpuMilli = 1'000 }, .m_estimatedRunTime = { 5'000 } };
}

} // namespace bulrushloft::test
