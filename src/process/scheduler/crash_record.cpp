/** @file crash_record.cpp Crashes of workers. */
#include "process/scheduler/crash_record.h"

#include "core/log_func.h"
#include "process/scheduler/scheduler_detail.h"

namespace bulrushloft::scheduler::detail {

namespace {

    void logCrash(const Worker& worker, std::string_view proof, TimePoint now)
    {
        if (!worker.m_tasks.empty())
            logEvent(LogLevel::Warning, "worker-crashed", { { "worker", worker.m_announcement.m_id }, { "proof", proof }, { "tasks", worker.m_tasks.size() }, { "is_draining", worker.m_announcement.m_isDraining }, { "answered_ms_ago", (now - worker.m_answeredAt).m_ms } });
    }

} // namespace

void loseTasksToCrash(Scheduler& scheduler, WorkerIndex index, TimePoint now)
{
    logCrash(scheduler.m_workers[static_cast<std::size_t>(index)], "another worker answers at its address", now);
    markTasksLost(scheduler, index, "another worker answers at its address", now);
}

void noteRestart(Scheduler& scheduler, WorkerIndex index, TimePoint now)
{
    logCrash(scheduler.m_workers[static_cast<std::size_t>(index)], "its process has started again", now);
}

} // namespace bulrushloft::scheduler::detail
