/** @file fake_worker.h In-memory worker that runs tasks within its capacity under a lease, with a fencing token and a list of ended tasks. */
#pragma once

#include "connection/worker_type.h"
#include "history.h"

#include <map>
#include <optional>
#include <string>

namespace bulrushloft {

/** A task that runs or is held on the worker. */
struct FakeTask {
    StartTask m_start; ///< Start command.
    bool m_isHeld = false; ///< Whether the task is admitted but not started yet.
    TimePoint m_endsAt = farFuture; ///< Planned end on the shared clock; farFuture if held or endless.
    TimePoint m_startedAt; ///< Start on the shared clock.
    TaskResult m_result = TaskResult::Done; ///< Result at the planned end.
    std::size_t m_run = 0; ///< Index of its run in the history; valid once started.
};

/** A worker. Functions that take `now` expect the time on the clock that all fakes share; the worker's own clock is ahead of it by m_skew. */
struct FakeWorker {
    std::string m_name; ///< Name of the VM.
    std::string m_shard; ///< Name of the shard; prefix of its tasks in the history.
    Resources m_capacity; ///< Total resources.
    std::uint64_t m_boot = 1; ///< Boot id: changes at each reboot.
    FencingToken m_token; ///< Highest fencing token seen.
    bool m_isLeaseExpired = true; ///< Whether the lease has expired or none was granted yet.
    TimePoint m_leaseUntil; ///< End of the lease on the worker's clock.
    Duration m_skew; ///< Worker's clock minus the shared clock.
    std::map<TaskRef, FakeTask> m_tasks; ///< Running and held tasks.
    std::map<TaskRef, FinishedTask> m_finished; ///< Ended tasks that have not been acknowledged.
    bool m_isLeaving = false; ///< Whether its answers report that it is about to shut down.
    bool m_failsEverything = false; ///< Whether every task that starts while this is set fails early.
    bool m_ignoresTokens = false; ///< Whether it accepts stale tokens; set only to verify that the checks detect violations.
    bool m_ignoresLease = false; ///< Whether tasks keep running after the lease has expired; set only to verify that the checks detect violations.
    History* m_history = nullptr; ///< Where runs are recorded.
};

/** Reads a number from a payload of the form "name=value;...". @return The fallback if the payload has no such name. */
inline std::int64_t payloadNumber(const std::string& payload, const std::string& name, std::int64_t fallback)
{
    const std::size_t at = (";" + payload).find(";" + name + "=");
    return at == std::string::npos ? fallback : std::atoll(payload.c_str() + at + name.size() + 1);
}

inline std::string workItemOf(const FakeWorker& worker, const TaskRef& ref)
{
    return worker.m_shard + ":" + std::to_string(ref.m_job.m_value) + "/" + std::to_string(ref.m_task);
}

inline Resources totalGrant(const FakeWorker& worker)
{
    Resources sum;
    for (const auto& [ref, task] : worker.m_tasks)
        sum = sum + task.m_start.m_grant;
    return sum;
}

/** Ends a task. @param result Result of the task; a held task ends as NeverStarted instead. */
inline void finishTask(FakeWorker& worker, const TaskRef& ref, TaskResult result, TimePoint now)
{
    const auto found = worker.m_tasks.find(ref);
    const FakeTask& task = found->second;
    FinishedTask finished { .m_ref = ref, .m_result = task.m_isHeld ? TaskResult::NeverStarted : result };
    if (!task.m_isHeld) {
        const std::string& payload = task.m_start.m_payload;
        finished.m_usage = { .m_peakCpuMilli = std::min(payloadNumber(payload, "cpu", task.m_start.m_grant.m_cpuMilli * 8 / 10), task.m_start.m_grant.m_cpuMilli), .m_peakMemoryMb = payloadNumber(payload, "mem", task.m_start.m_grant.m_memoryMb), .m_runTime = now - task.m_startedAt };
        worker.m_history->end(task.m_run, now, nameOf(result));
    }
    worker.m_finished[ref] = finished;
    worker.m_tasks.erase(found);
}

inline void startTask(FakeWorker& worker, FakeTask& task, TimePoint now)
{
    const std::string& payload = task.m_start.m_payload;
    const Duration runTime { payloadNumber(payload, "run_ms", 1'000) };
    task.m_isHeld = false;
    task.m_startedAt = now;
    task.m_run = worker.m_history->begin(workItemOf(worker, task.m_start.m_ref), worker.m_name, now);
    const bool isTooLarge = payloadNumber(payload, "mem", 0) > task.m_start.m_grant.m_memoryMb;
    const bool fails = worker.m_failsEverything || payloadNumber(payload, "fail", 0) != 0;
    task.m_result = isTooLarge ? TaskResult::OutOfMemory : (fails ? TaskResult::Failed : TaskResult::Done);
    const bool isEndless = payloadNumber(payload, "run_ms", 1'000) == 0;
    task.m_endsAt = isEndless && task.m_result == TaskResult::Done ? farFuture : now + (task.m_result == TaskResult::Done ? runTime : runTime / 5 + Duration { 5 });
}

/** Ends the tasks whose planned end has come, and all tasks if the lease has expired. */
inline void advanceTo(FakeWorker& worker, TimePoint now)
{
    std::vector<TaskRef> ended;
    for (const auto& [ref, task] : worker.m_tasks) {
        if (!task.m_isHeld && task.m_endsAt <= now)
            ended.push_back(ref);
    }
    for (const TaskRef& ref : ended)
        finishTask(worker, ref, worker.m_tasks.at(ref).m_result, now);
    if (worker.m_isLeaseExpired || worker.m_ignoresLease || now + worker.m_skew <= worker.m_leaseUntil)
        return;
    worker.m_isLeaseExpired = true;
    while (!worker.m_tasks.empty())
        finishTask(worker, worker.m_tasks.begin()->first, TaskResult::Lapsed, now);
}

/** Replaces the VM by an empty one: running tasks are lost, and nothing of the old state is kept. */
inline void reboot(FakeWorker& worker, TimePoint now)
{
    while (!worker.m_tasks.empty())
        finishTask(worker, worker.m_tasks.begin()->first, TaskResult::Lapsed, now);
    worker.m_finished.clear();
    worker.m_token = {};
    worker.m_isLeaseExpired = true;
    ++worker.m_boot;
}

inline tl::expected<AdoptWorkerAnswer, StaleToken> adopt(FakeWorker& worker, const AdoptWorkerCall& call, TimePoint now)
{
    advanceTo(worker, now);
    if (call.m_token <= worker.m_token && !worker.m_ignoresTokens)
        return tl::unexpected(StaleToken { worker.m_token });
    worker.m_token = call.m_token;
    // An adoption does not extend a lease that is in force; the new owner has to renew it before it expires.
    if (worker.m_isLeaseExpired) {
        worker.m_isLeaseExpired = false;
        worker.m_leaseUntil = now + worker.m_skew + adoptionLease;
    }
    AdoptWorkerAnswer answer { .m_boot = worker.m_boot, .m_clock = now + worker.m_skew, .m_capacity = worker.m_capacity, .m_isLeaving = worker.m_isLeaving };
    for (const auto& [ref, task] : worker.m_tasks)
        answer.m_running.push_back({ .m_ref = ref, .m_isHeld = task.m_isHeld, .m_grant = task.m_start.m_grant });
    for (const auto& [ref, finished] : worker.m_finished)
        answer.m_finished.push_back(finished);
    return answer;
}

/** Starts or holds a task; a repeated command has no effect. @return Reason for a refusal, or nothing. */
inline std::optional<std::string> tryStartTask(FakeWorker& worker, const StartTask& start, TimePoint now)
{
    if (now + worker.m_skew > worker.m_leaseUntil)
        return "the lease has expired";
    if (worker.m_tasks.contains(start.m_ref) || worker.m_finished.contains(start.m_ref))
        return std::nullopt;
    if (!fitsInto(totalGrant(worker) + start.m_grant, worker.m_capacity)) {
        worker.m_history->m_limitViolations.push_back(worker.m_name + " received a task that exceeds its free capacity");
        return "not enough free capacity";
    }
    FakeTask task { .m_start = start, .m_isHeld = start.m_isHeld };
    if (!task.m_isHeld)
        startTask(worker, task, now);
    worker.m_tasks[start.m_ref] = task;
    return std::nullopt;
}

inline SyncWorkerAnswer report(FakeWorker& worker, TimePoint now)
{
    SyncWorkerAnswer answer { .m_clock = now + worker.m_skew, .m_isLeaving = worker.m_isLeaving };
    for (const auto& [ref, finished] : worker.m_finished)
        answer.m_finished.push_back(finished);
    return answer;
}

inline tl::expected<SyncWorkerAnswer, StaleToken> sync(FakeWorker& worker, const SyncWorkerCall& call, TimePoint now)
{
    advanceTo(worker, now);
    const bool isStale = call.m_token != worker.m_token || call.m_boot != worker.m_boot || worker.m_isLeaseExpired;
    if (isStale && !worker.m_ignoresTokens)
        return tl::unexpected(StaleToken { worker.m_token });
    worker.m_leaseUntil = std::max(worker.m_leaseUntil, call.m_leaseUntil);
    for (const TaskRef& ref : call.m_acks)
        worker.m_finished.erase(ref);
    std::vector<RefusedStart> refused;
    for (const StartTask& start : call.m_starts) {
        if (const auto reason = tryStartTask(worker, start, now))
            refused.push_back({ .m_ref = start.m_ref, .m_reason = *reason });
    }
    for (const TaskRef& ref : call.m_releases) {
        const auto found = worker.m_tasks.find(ref);
        if (found != worker.m_tasks.end() && found->second.m_isHeld)
            startTask(worker, found->second, now);
    }
    for (const StopTask& stop : call.m_stops) {
        if (worker.m_tasks.contains(stop.m_ref))
            finishTask(worker, stop.m_ref, TaskResult::Stopped, now);
    }
    SyncWorkerAnswer answer = report(worker, now);
    answer.m_refused = std::move(refused);
    return answer;
}

} // namespace bulrushloft
