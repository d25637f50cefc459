/** @file history.h What really ran where, for the checkers. */
#pragma once

#include "core/clock_type.h"
#include "request/job_type.h"

#include <map>
#include <string>
#include <vector>

namespace bulrushloft {

/** One run of one thing on one endpoint. */
struct RunInterval {
    std::string m_workItem; ///< "shard:job/task" or the key of a request.
    std::string m_endpoint; ///< Where it ran.
    TimePoint m_start; ///< On the clock that all fakes share.
    TimePoint m_end = farFuture; ///< Still running while in the far future.
    std::string m_result; ///< How it ended.
};

/** All runs, and all breaches of a limit that an endpoint has seen. */
struct History {
    std::vector<RunInterval> m_runs; ///< In order of start.
    std::vector<std::string> m_limitViolations; ///< In words.

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

/** @return Two runs of one thing that overlap in time, in words; empty when there are none. */
inline std::vector<std::string> findOverlaps(const History& history)
{
    std::map<std::string, std::vector<const RunInterval*>> byWorkItem;
    std::vector<std::string> overlaps;
    for (const RunInterval& run : history.m_runs) {
        for (const RunInterval* const other : byWorkItem[run.m_workItem]) {
            if (run.m_start < other->m_end && other->m_start < run.m_end)
                overlaps.push_back(run.m_workItem + " ran on " + other->m_endpoint + " from " + std::to_string(other->m_start.m_ms) + " and on " + run.m_endpoint + " from " + std::to_string(run.m_start.m_ms) + " at once");
        }
        byWorkItem[run.m_workItem].push_back(&run);
    }
    return overlaps;
}

/** @return Number of runs of a thing. */
inline std::size_t countRuns(const History& history, const std::string& workItem)
{
    std::size_t count = 0;
    for (const RunInterval& run : history.m_runs)
        count += run.m_workItem == workItem ? 1 : 0;
    return count;
}

} // namespace bulrushloft
