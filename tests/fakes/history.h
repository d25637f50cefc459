/** @file history.h Record of the runs on fake workers and runners, from which tests detect double execution and exceeded limits. */
#pragma once

#include "core/clock_type.h"
#include "request/job_type.h"

#include <map>
#include <string>
#include <vector>

namespace bulrushloft {

/** One run of a task or request on an endpoint. */
struct RunInterval {
    std::string m_workItem; ///< Task as "shard:job/task", or key of a request.
    std::string m_endpoint; ///< Name of the worker or runner.
    TimePoint m_start; ///< Start on the clock that all fakes share.
    TimePoint m_end = farFuture; ///< End on the same clock; farFuture while the run lasts.
    std::string m_result; ///< Result; empty while the run lasts.
};

/** All runs, and all violations of capacity limits that endpoints detected. */
struct History {
    std::vector<RunInterval> m_runs; ///< Ordered by start.
    std::vector<std::string> m_limitViolations; ///< One message for each violation.

    /** Records the start of a run. @return Index of the run, for end(). */
    std::size_t begin(const std::string& workItem, const std::string& endpoint, TimePoint now)
    {
        m_runs.push_back({ .m_workItem = workItem, .m_endpoint = endpoint, .m_start = now });
        return m_runs.size() - 1;
    }

    void end(std::size_t index, TimePoint now, std::string_view result)
    {
        m_runs[index].m_end = now;
        m_runs[index].m_result = result;
    }
};

/** @return One message for each pair of runs of a work item that overlap in time. */
inline std::vector<std::string> findOverlaps(const History& history)
{
    std::map<std::string, std::vector<const RunInterval*>> byWorkItem;
    std::vector<std::string> overlaps;
    for (const RunInterval& run : history.m_runs) {
        for (const RunInterval* const other : byWorkItem[run.m_workItem]) {
            if (run.m_start < other->m_end && other->m_start < run.m_end)
                overlaps.push_back(run.m_workItem + " ran on " + other->m_endpoint + " from " + std::to_string(other->m_start.m_ms) + " ms and at the same time on " + run.m_endpoint + " from " + std::to_string(run.m_start.m_ms) + " ms");
        }
        byWorkItem[run.m_workItem].push_back(&run);
    }
    return overlaps;
}

/** @return Number of runs of a work item. */
inline std::size_t countRuns(const History& history, const std::string& workItem)
{
    std::size_t count = 0;
    for (const RunInterval& run : history.m_runs)
        count += run.m_workItem == workItem ? 1 : 0;
    return count;
}

} // namespace bulrushloft
