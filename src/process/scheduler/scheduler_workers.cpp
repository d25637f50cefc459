/** @file scheduler_workers.cpp Workers: announced, adopted, leased, silent, gone; and the calls to them. */
#include "core/log_func.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_func.h"

#include <algorithm>
#include <cmath>

namespace bulrushloft::scheduler {

namespace {

    constexpr std::uint32_t unansweredUntilSilent = 2;
    constexpr Duration firstRetry { 20 };
    constexpr Duration silentRetry { 150 };
    constexpr Duration lossyFor { 5'000 }; ///< After a lost order, syncs are short for so long, so that ends are not seen late.
    constexpr Duration lossySyncWait { 160 };
    constexpr Duration lossySyncMargin { 90 };
    constexpr Duration syncMargin { 600 }; ///< Beyond the wait at the worker.
    constexpr Duration firstStartTimeout { 180 }; ///< Lost starts are repeated soon; a repeat of the same attempt does no harm.
    constexpr Duration startTimeout { 450 };
    constexpr Duration lossyStartTimeout { 70 }; ///< The least; longer where answers take longer.
    constexpr Duration goneRetry { 1'000 };
    constexpr std::int64_t mostIdleSyncsPerSecond = 300; ///< Over all idle workers.
    constexpr double healthHalfLifeMs = 5'000;
    constexpr double failuresUntilHeldOut = 2.5;
    constexpr Duration failingHoldOut { 3'000 };

    bool isRackLabel(const std::string& label)
    {
        return label.find('-') != std::string::npos;
    }

    /** @return Our time at which the worker's clock has surely passed a deadline. */
    TimePoint surelyPassed(const Scheduler& scheduler, const Worker& worker, std::int64_t deadlineMs)
    {
        const double left = static_cast<double>(deadlineMs - worker.m_clockMs) / (1.0 - scheduler.m_options.m_clockDrift);
        return worker.m_clockSeenAt + Duration { static_cast<std::int64_t>(std::ceil(left)) + 1 };
    }

    /** @return Our time at which no lease of the worker can be in force any more. */
    TimePoint lapseTime(const Scheduler& scheduler, const Worker& worker)
    {
        return worker.m_clockMs == 0 ? worker.m_lapseAt : surelyPassed(scheduler, worker, worker.m_leaseUntilMs);
    }

    void decay(WorkerHealth& health, TimePoint now)
    {
        const double factor = std::exp2(-static_cast<double>((now - health.m_decayedAt).m_ms) / healthHalfLifeMs);
        health.m_failures *= factor;
        health.m_successes *= factor;
        health.m_decayedAt = now;
    }

} // namespace

namespace detail {

    OrderTarget targetOf(const Scheduler& scheduler, const Worker& worker)
    {
        return { .m_worker = worker.m_notice.m_id, .m_address = worker.m_notice.m_address, .m_token = scheduler.m_options.m_token };
    }

    std::int64_t leaseDeadline(const Scheduler& scheduler, const Worker& worker, TimePoint now)
    {
        if (worker.m_clockMs == 0)
            return 0;
        // Calls to a silent worker must not move the end of its lease, or its tasks would never count as lost.
        if (worker.m_unanswered > 0)
            return worker.m_leaseUntilMs;
        return std::max(worker.m_leaseUntilMs, worker.m_clockMs + (now - worker.m_clockSeenAt).m_ms + scheduler.m_options.m_lease.m_ms);
    }

    void noteAnswerTime(Scheduler& scheduler, Duration took)
    {
        constexpr double weightOfNew = 0.1;
        scheduler.m_usualAnswerMs += (static_cast<double>(took.m_ms) - scheduler.m_usualAnswerMs) * weightOfNew;
    }

    Duration lossyTimeout(const Scheduler& scheduler, Duration least, Duration most)
    {
        constexpr double timesTheUsual = 4;
        return std::clamp(Duration { static_cast<std::int64_t>(scheduler.m_usualAnswerMs * timesTheUsual) }, least, most);
    }

    void noteContact(Scheduler& scheduler, WorkerIndex index, bool hasAnswered, TimePoint now)
    {
        Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        if (hasAnswered) {
            // A worker that answers again soon was well: its orders were lost on the way.
            const bool wasLoss = worker.m_unanswered > 0 && worker.m_unanswered <= unansweredUntilSilent && worker.m_link == WorkerLink::Adopted;
            if (wasLoss)
                scheduler.m_lossyUntil = now + lossyFor;
            worker.m_unanswered = 0;
            worker.m_answeredAt = now;
            return;
        }
        ++worker.m_unanswered;
        if (!worker.m_isSyncOut)
            worker.m_nextSyncAt = now + (worker.m_unanswered == 1 ? firstRetry : silentRetry);
        if (worker.m_link == WorkerLink::Adopted && worker.m_unanswered >= unansweredUntilSilent) {
            worker.m_link = WorkerLink::Silent;
            logEvent(LogLevel::Warning, "worker-silent", { { "worker", worker.m_notice.m_id }, { "unanswered", worker.m_unanswered }, { "tasks", worker.m_tasks.size() }, { "answered_ms_ago", (now - worker.m_answeredAt).m_ms } });
        }
    }

    bool isOpen(const Worker& worker, TimePoint now)
    {
        return worker.m_isListed && worker.m_link == WorkerLink::Adopted && !worker.m_notice.m_isDraining && worker.m_strangers == 0
            && worker.m_unanswered == 0 && worker.m_health.m_heldOutUntil <= now;
    }

    double slownessOf(const Worker& worker)
    {
        constexpr std::uint32_t enoughSamples = 3;
        return worker.m_health.m_samples < enoughSamples ? 1.0 : std::exp(worker.m_health.m_logSlowness);
    }

    void noteOutcome(Scheduler& scheduler, const TaskRef& ref, bool isDone, TimePoint now)
    {
        Task& task = ref.task();
        Worker& worker = scheduler.m_workers[static_cast<std::size_t>(task.m_worker)];
        WorkerHealth& health = worker.m_health;
        decay(health, now);
        if (isDone) {
            ++scheduler.m_counters.m_done;
            health.m_successes += 1;
            const double ran = static_cast<double>((now - task.m_confirmedAt).m_ms);
            const bool isComparable = ran > 0 && !planOf(*ref.m_run).m_isFiller && task.m_attempt == 1 && task.m_checkpointAtStart.empty();
            if (isComparable)
                learnRunTime(scheduler, *ref.m_run, health, std::log(ran));
            return;
        }
        ++scheduler.m_counters.m_failed;
        const bool isOtherJob = health.m_lastFailedJob != ref.m_run->m_job->m_plan.m_id;
        health.m_lastFailedJob = ref.m_run->m_job->m_plan.m_id;
        health.m_failures += isOtherJob ? 1.0 : 0.25;
        if (health.m_failures >= failuresUntilHeldOut && health.m_failures > health.m_successes * 0.5) {
            health.m_heldOutUntil = now + failingHoldOut;
            logEvent(LogLevel::Warning, "worker-held-out", { { "worker", worker.m_notice.m_id }, { "cause", "fails tasks of different jobs" }, { "failures", static_cast<int>(health.m_failures) }, { "successes", static_cast<int>(health.m_successes) } });
        }
    }

    namespace {

        /** A draining worker: tasks that can't end in time are moved while their progress can be saved. */
        void leaveDraining(Scheduler& scheduler, Worker& worker, TimePoint now)
        {
            const Duration left = worker.m_notice.m_remainingDrainTime - (now - worker.m_drainingSince);
            const std::vector<TaskRef> tasks = worker.m_tasks;
            for (const TaskRef& ref : tasks) {
                const StepPlan& plan = planOf(*ref.m_run);
                Task& task = ref.task();
                if (task.m_phase == RunPhase::Starting || plan.m_isLasting) {
                    stopTask(scheduler, ref, now);
                    continue;
                }
                const Duration rest = plan.m_estimate * (100 - std::clamp(task.m_percent, 0, 100)) / 100;
                constexpr Duration margin { 300 };
                if (task.m_phase == RunPhase::Running && rest + margin > left && plan.m_isCheckpointing)
                    stopTask(scheduler, ref, now);
            }
        }

        void stepLeases(Scheduler& scheduler, WorkerIndex index, TimePoint now)
        {
            Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
            if (worker.m_link == WorkerLink::Gone || worker.m_unanswered == 0)
                return;
            if (now < lapseTime(scheduler, worker))
                return;
            logEvent(LogLevel::Warning, "worker-gone", { { "worker", worker.m_notice.m_id }, { "cause", "its lease has run out" }, { "tasks", worker.m_tasks.size() } });
            loseTasks(scheduler, index, "the worker's lease has run out", now);
            worker.m_link = WorkerLink::Gone;
        }

        /** @return Whether nothing runs, starts or waits for its acknowledgement on a worker that is well. */
        bool isIdle(const Worker& worker)
        {
            return worker.m_link == WorkerLink::Adopted && worker.m_unanswered == 0 && worker.m_tasks.empty() && worker.m_strangers == 0 && worker.m_pendingEnds.empty();
        }

        void sendSync(Scheduler& scheduler, Worker& worker, TimePoint now, SchedulerEffects& effects)
        {
            const bool isHealthy = worker.m_link == WorkerLink::Adopted && worker.m_unanswered == 0;
            SyncOrder order { .m_leaseUntilMs = std::nullopt, .m_ackedEndNumber = isHealthy ? worker.m_ackedEndNumber : 0, .m_wait = {} };
            const std::int64_t deadline = leaseDeadline(scheduler, worker, now);
            if (deadline > 0) {
                order.m_leaseUntilMs = deadline;
                worker.m_leaseUntilMs = deadline;
            }
            const bool isLossy = now < scheduler.m_lossyUntil;
            if (isHealthy && worker.m_pendingEnds.empty() && !isIdle(worker))
                order.m_wait = isLossy ? lossySyncWait : scheduler.m_options.m_syncWait;
            worker.m_isSyncOut = true;
            ++scheduler.m_counters.m_syncs;
            effects.m_syncs.push_back({ targetOf(scheduler, worker), order, order.m_wait + (isLossy ? lossyTimeout(scheduler, lossySyncMargin, syncMargin) : syncMargin) });
        }

        /** @return When the next sync of a worker is due; idle ones are only looked at, so that their clocks and losses are known. */
        TimePoint syncDueAt(const Scheduler& scheduler, const Worker& worker)
        {
            if (!isIdle(worker))
                return worker.m_nextSyncAt;
            const auto count = static_cast<std::int64_t>(scheduler.m_workers.size());
            const Duration interval { std::max(scheduler.m_options.m_idleSync.m_ms, count * 1'000 / mostIdleSyncsPerSecond) };
            return std::max(worker.m_nextSyncAt, worker.m_answeredAt + interval);
        }

        void stepSync(Scheduler& scheduler, Worker& worker, TimePoint now, SchedulerEffects& effects)
        {
            const bool isOfUse = worker.m_isListed || !worker.m_tasks.empty();
            if (worker.m_isSyncOut || now < syncDueAt(scheduler, worker) || !isOfUse || worker.m_notice.m_address.m_port == 0)
                return;
            sendSync(scheduler, worker, now, effects);
            if (worker.m_link == WorkerLink::Gone)
                worker.m_nextSyncAt = now + goneRetry;
        }

        /** @return How long a start is waited for; while orders get lost, repeats cost less than waiting. */
        Duration startTimeoutOf(const Scheduler& scheduler, const Task& task, TimePoint now)
        {
            if (now < scheduler.m_lossyUntil)
                return lossyTimeout(scheduler, lossyStartTimeout, startTimeout);
            return task.m_mayHaveArrived ? startTimeout : firstStartTimeout;
        }

        void callStart(Scheduler& scheduler, const TaskRef& ref, TimePoint now, SchedulerEffects& effects)
        {
            Task& task = ref.task();
            Worker& worker = scheduler.m_workers[static_cast<std::size_t>(task.m_worker)];
            const std::int64_t deadline = leaseDeadline(scheduler, worker, now);
            worker.m_leaseUntilMs = std::max(worker.m_leaseUntilMs, deadline);
            task.m_isCallOut = true;
            task.m_calledAt = now;
            ++task.m_tries;
            ++scheduler.m_counters.m_starts;
            effects.m_starts.push_back({ targetOf(scheduler, worker), { .m_task = nameOf(ref), .m_attempt = task.m_attempt, .m_payload = ref.m_run->m_job->m_plan.m_payload, .m_leaseUntilMs = deadline, .m_checkpoint = task.m_checkpoint, .m_ticket = task.m_ticket }, startTimeoutOf(scheduler, task, now) });
        }

        void stepTaskCalls(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects)
        {
            const std::vector<TaskRef> calls = scheduler.m_calls;
            for (const TaskRef& ref : calls) {
                Task& task = ref.task();
                if (task.m_isCallOut || now < task.m_nextCallAt)
                    continue;
                Worker& worker = scheduler.m_workers[static_cast<std::size_t>(task.m_worker)];
                if (task.m_phase == RunPhase::Starting) {
                    callStart(scheduler, ref, now, effects);
                } else if (task.m_phase == RunPhase::Stopping && !task.m_isStopAnswered) {
                    task.m_isCallOut = true;
                    effects.m_stops.push_back({ targetOf(scheduler, worker), { .m_task = nameOf(ref), .m_attempt = task.m_attempt } });
                }
            }
        }

    } // namespace

    void stepCalls(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects)
    {
        for (WorkerIndex i = 0; i < static_cast<WorkerIndex>(scheduler.m_workers.size()); ++i) {
            Worker& worker = scheduler.m_workers[static_cast<std::size_t>(i)];
            stepLeases(scheduler, i, now);
            if (worker.m_notice.m_isDraining && worker.m_link == WorkerLink::Adopted)
                leaveDraining(scheduler, worker, now);
            stepSync(scheduler, worker, now, effects);
        }
        stepTaskCalls(scheduler, now, effects);
    }

} // namespace detail

void updateWorker(Scheduler& scheduler, const WorkerAnnouncement& notice, TimePoint now)
{
    const auto [found, isNew] = scheduler.m_workerById.try_emplace(notice.m_id, static_cast<WorkerIndex>(scheduler.m_workers.size()));
    if (isNew)
        scheduler.m_workers.emplace_back();
    Worker& worker = scheduler.m_workers[static_cast<std::size_t>(found->second)];
    if (notice.m_isDraining && !worker.m_notice.m_isDraining) {
        worker.m_drainingSince = now;
        logEvent(LogLevel::Info, "worker-draining", { { "worker", notice.m_id }, { "tasks", worker.m_tasks.size() }, { "leaves_in_ms", notice.m_remainingDrainTime.m_ms } });
    }
    const bool isReborn = worker.m_processStartMs != 0 && notice.m_processStartMs > worker.m_processStartMs;
    const bool hasMoved = worker.m_notice.m_address != notice.m_address;
    if (isNew || isReborn || hasMoved || !worker.m_isListed) {
        worker.m_nextSyncAt = now;
        if (!scheduler.m_isBeginning)
            logEvent(LogLevel::Info, "worker-listed", { { "worker", notice.m_id }, { "pool", notice.m_pool }, { "address", format(notice.m_address) }, { "is_reborn", isReborn } });
    }
    worker.m_notice = notice;
    worker.m_isListed = true;
    worker.m_rack.clear();
    for (const std::string& label : notice.m_labels) {
        if (isRackLabel(label))
            worker.m_rack = label;
    }
    scheduler.m_needsPlacing = true;
}

void removeWorker(Scheduler& scheduler, const std::string& id, TimePoint)
{
    const auto found = scheduler.m_workerById.find(id);
    if (found == scheduler.m_workerById.end())
        return;
    Worker& worker = scheduler.m_workers[static_cast<std::size_t>(found->second)];
    if (worker.m_isListed)
        logEvent(LogLevel::Info, "worker-unlisted", { { "worker", id }, { "tasks", worker.m_tasks.size() } });
    worker.m_isListed = false;
}

} // namespace bulrushloft::scheduler
