/** @file place_wait_model.h Racks of equal places on a simulated clock, on which rules for waiting are compared. Deterministic; without a scheduler. */
#pragma once

#include "process/scheduler/place_wait.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <vector>

namespace bulrushloft::test {

using namespace scheduler;

/** A task of the model. */
struct ModelTask {
    TimePoint m_arrivesAt;
    std::size_t m_rack = 0; ///< Rack of its data.
    Duration m_runTime; ///< Run time near its data.
    Duration m_predicted; ///< Predicted run time near its data.
    TimePoint m_since {}; ///< When it first left a free place unused; zero for never.
    TimePoint m_endsAt {}; ///< When it ends; zero while it waits.
    bool m_isRemote = false; ///< It ran outside the rack of its data.
};

/** A load of the model. */
struct ModelLoad {
    const char* m_name = "";
    std::size_t m_places = 0; ///< Places of each rack.
    std::vector<ModelTask> m_tasks; ///< By time of arrival.
};

constexpr std::size_t modelRacks = 4;
constexpr double modelRemoteFactor = 2.5;
constexpr double modelSlackFactor = 2.2; ///< Objective: this multiple of the run time near the data, plus modelTarget.
constexpr Duration modelTarget { 1'000 };

inline Duration objectiveOf(const ModelTask& task)
{
    return Duration { static_cast<std::int64_t>(static_cast<double>(task.m_runTime.m_ms) * modelSlackFactor) } + modelTarget;
}

/** A rule for waiting: whether a task leaves a free place unused. Its input counts the wait from m_since. */
using WaitRule = std::function<bool(const PlaceWaitInput&, TimePoint now)>;

/** What a rule has led to. */
struct ModelResult {
    double m_meanMs = 0; ///< Mean time from arrival to end.
    double m_p95Ms = 0; ///< 95th percentile of that.
    double m_worth = 0; ///< Mean worth: 1 within the objective, 0.2 within three times the objective, else 0.
    double m_remote = 0; ///< Share of the tasks that ran outside the rack of their data.
};

/** Runs a load under a rule; tasks are examined in the order of their arrival. */
class PlaceWaitModel {
public:
    PlaceWaitModel(const ModelLoad& load, WaitRule rule)
        : m_tasks(load.m_tasks)
        , m_places(load.m_places)
        , m_rule(std::move(rule))
    {
    }

    ModelResult run()
    {
        constexpr Duration tick { 10 };
        std::size_t arrived = 0;
        while (arrived < m_tasks.size() || !m_waiting.empty()) {
            m_now = m_now + tick;
            for (auto& rack : m_running)
                std::erase_if(rack, [&](const ModelTask* task) { return task->m_endsAt <= m_now; });
            for (; arrived < m_tasks.size() && m_tasks[arrived].m_arrivesAt <= m_now; ++arrived)
                m_waiting.push_back(&m_tasks[arrived]);
            place();
        }
        return resultOf();
    }

private:
    Duration scaled(Duration length, bool isRemote) const { return { static_cast<std::int64_t>(static_cast<double>(length.m_ms) * (isRemote ? modelRemoteFactor : 1)) }; }

    /** Expected ends of what runs in a rack, the earliest first. */
    std::deque<TimePoint> expectedEnds(std::size_t rack) const
    {
        std::deque<TimePoint> ends;
        for (const ModelTask* task : m_running[rack])
            ends.push_back(std::max(m_now, expectedEndOfAttempt(task->m_endsAt - scaled(task->m_runTime, task->m_isRemote), scaled(task->m_predicted, task->m_isRemote), m_now)));
        std::sort(ends.begin(), ends.end());
        return ends;
    }

    void start(ModelTask& task, std::size_t rack)
    {
        task.m_isRemote = rack != task.m_rack;
        task.m_endsAt = m_now + scaled(task.m_runTime, task.m_isRemote);
        m_running[rack].push_back(&task);
    }

    /** @return Latest start that meets the objective; for a wait that begins later, the latest one whose result is of use. */
    TimePoint latestStartOf(const ModelTask& task) const
    {
        const TimePoint since = task.m_since == TimePoint {} ? m_now : task.m_since;
        const TimePoint inTime = task.m_arrivesAt + objectiveOf(task) - task.m_predicted;
        return since < inTime ? inTime : task.m_arrivesAt + objectiveOf(task) * 3 - task.m_predicted;
    }

    /** @param ends Expected ends in the task's rack; the first is left to it when it waits. */
    bool waits(ModelTask& task, std::deque<TimePoint>& ends) const
    {
        const PlaceWaitInput input {
            .m_since = task.m_since == TimePoint {} ? m_now : task.m_since,
            .m_roomAt = ends.empty() ? farFuture : ends.front(),
            .m_runTime = task.m_predicted,
            .m_factorNow = modelRemoteFactor,
            .m_factorThen = 1,
            .m_latestStart = latestStartOf(task),
            .m_longestWait = { 2'000 },
        };
        if (!m_rule(input, m_now))
            return false;
        task.m_since = input.m_since;
        if (!ends.empty()) {
            const TimePoint endsAt = ends.front() + task.m_predicted;
            ends.pop_front();
            ends.insert(std::upper_bound(ends.begin(), ends.end(), endsAt), endsAt);
        }
        return true;
    }

    void place()
    {
        std::vector<std::deque<TimePoint>> ends;
        for (std::size_t rack = 0; rack < modelRacks; ++rack)
            ends.push_back(expectedEnds(rack));
        std::erase_if(m_waiting, [&](ModelTask* task) {
            const auto emptiest = static_cast<std::size_t>(std::min_element(m_running.begin(), m_running.end(), [](const auto& one, const auto& other) { return one.size() < other.size(); }) - m_running.begin());
            const std::size_t rack = m_running[task->m_rack].size() < m_places ? task->m_rack : emptiest;
            if (m_running[rack].size() >= m_places || (rack != task->m_rack && waits(*task, ends[task->m_rack])))
                return false;
            start(*task, rack);
            return true;
        });
        // What a task leaves to others is not unused: it would wait in any case.
        if (std::all_of(m_running.begin(), m_running.end(), [&](const auto& rack) { return rack.size() >= m_places; })) {
            for (ModelTask* task : m_waiting)
                task->m_since = {};
        }
    }

    ModelResult resultOf() const
    {
        constexpr double lateWorth = 0.2;
        constexpr std::size_t percentile = 95;
        ModelResult result;
        std::vector<double> times;
        const auto count = static_cast<double>(m_tasks.size());
        for (const ModelTask& task : m_tasks) {
            const Duration took = task.m_endsAt - task.m_arrivesAt;
            times.push_back(static_cast<double>(took.m_ms));
            result.m_meanMs += times.back() / count;
            result.m_worth += (took <= objectiveOf(task) ? 1 : took <= objectiveOf(task) * 3 ? lateWorth
                                                                                             : 0)
                / count;
            result.m_remote += (task.m_isRemote ? 1 : 0) / count;
        }
        std::sort(times.begin(), times.end());
        result.m_p95Ms = times[times.size() * percentile / 100];
        return result;
    }

    std::vector<ModelTask> m_tasks;
    std::size_t m_places;
    WaitRule m_rule;
    TimePoint m_now;
    std::vector<std::vector<const ModelTask*>> m_running { modelRacks }; ///< By rack.
    std::deque<ModelTask*> m_waiting; ///< By time of arrival.
};

} // namespace bulrushloft::test
