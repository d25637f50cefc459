/** @file scheduler_workers.cpp Workers: announcements, leases, health, and the calls to them. */
#include "core/log_func.h"
#include "process/scheduler/active_workers.h"
#include "process/scheduler/better_place.h"
#include "process/scheduler/crash_record.h"
#include "process/scheduler/late_start.h"
#include "process/scheduler/order_health.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "process/scheduler/start_tickets.h"
#include "process/scheduler/stray_attempt.h"
#include "process/scheduler/suspect_placement.h"
#include "request/plan_func.h"

#include <algorithm>
#include <cmath>

namespace bulrushloft::scheduler {

namespace {

    constexpr std::uint32_t unansweredCallsUntilSilent = 2;
    constexpr Duration firstRetryDelay { 20 };
    constexpr Duration silentRetryDelay { 150 };
    constexpr Duration lossyPeriod { 5'000 }; ///< After a lost order, syncs stay short for this long, so that ends are noticed without delay.
    constexpr Duration lossySyncWait { 160 };
    constexpr Duration lossySyncTimeoutMargin { 90 }; ///< Lower bound of the margin, which grows with the mean answer time.
    constexpr Duration syncTimeoutMargin { 600 }; ///< Added to the time for which the worker holds a sync open.
    constexpr Duration firstStartTimeout { 180 }; ///< Short, because starts of the same attempt are idempotent and can be repeated soon.
    constexpr Duration startTimeout { 450 };
    constexpr Duration lossyStartTimeout { 70 }; ///< Lower bound of the timeout, which grows with the mean answer time.
    constexpr Duration goneWorkerRetryDelay { 1'000 };
    constexpr std::int64_t maxIdleSyncsPerSecond = 300; ///< Total over all idle workers.
    constexpr double healthHalfLifeMs = 5'000;
    constexpr double quarantineFailureThreshold = 2.5;
    constexpr Duration failureQuarantine { 3'000 };

    /** @return Whether a label names a rack; rack labels contain a hyphen. */
    bool isRackLabel(const std::string& label)
    {
        return label.find('-') != std::string::npos;
    }

    /** @return Monotonic time of the leader by which the worker's clock has passed a deadline, even if that clock runs slow. */
    TimePoint latestPassingTime(const Scheduler& scheduler, const Worker& worker, std::int64_t deadlineMs)
    {
        const double leftMs = static_cast<double>(deadlineMs - worker.m_clock.m_ms) / (1.0 - scheduler.m_options.m_clockDrift);
        return worker.m_clock.m_readAt + Duration { static_cast<std::int64_t>(std::ceil(leftMs)) + 1 };
    }

    /** @return Whether the current attempt may have been started by another process than the one that has reported. */
    bool mayRunInOtherProcess(const Task& task)
    {
        return task.m_otherProcessUntil > TimePoint {};
    }

    /** @return Time by which the lease of an attempt has run out that another process may have started: that process shortens the lease to the longest one. */
    TimePoint otherLeaseEndBound(const Scheduler& scheduler, const Task& task)
    {
        const double longestMs = static_cast<double>(scheduler.m_options.m_longestLease.m_ms) / (1.0 - scheduler.m_options.m_clockDrift);
        return task.m_otherProcessUntil + Duration { static_cast<std::int64_t>(std::ceil(longestMs)) + 1 };
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

    TimePoint leaseEndBound(const Scheduler& scheduler, const Worker& worker)
    {
        return worker.m_clock.m_ms == 0 ? worker.m_earlierLeasesEndAt : latestPassingTime(scheduler, worker, worker.m_leaseUntilMs);
    }

    OrderTarget targetOf(const Scheduler& scheduler, const Worker& worker)
    {
        return { .m_worker = worker.m_announcement.m_id, .m_address = worker.m_announcement.m_address, .m_token = scheduler.m_options.m_token };
    }

    std::int64_t leaseDeadline(const Scheduler& scheduler, const Worker& worker, TimePoint now)
    {
        if (worker.m_clock.m_ms == 0)
            return 0;
        // Calls to a worker that does not answer must not extend its lease, or its tasks would never count as lost.
        if (worker.m_unansweredCalls > 0)
            return worker.m_leaseUntilMs;
        return std::max(worker.m_leaseUntilMs, worker.m_promptClock.m_ms + (now - worker.m_promptClock.m_readAt).m_ms + scheduler.m_options.m_lease.m_ms);
    }

    void updateMeanAnswerTime(Scheduler& scheduler, Duration answerTime)
    {
        constexpr double newAnswerWeight = 0.1;
        scheduler.m_meanAnswerMs += (static_cast<double>(answerTime.m_ms) - scheduler.m_meanAnswerMs) * newAnswerWeight;
    }

    Duration lossyTimeout(const Scheduler& scheduler, Duration minTimeout, Duration maxTimeout)
    {
        constexpr double meanAnswerMultiple = 4;
        return std::clamp(Duration { static_cast<std::int64_t>(scheduler.m_meanAnswerMs * meanAnswerMultiple) }, minTimeout, maxTimeout);
    }

    void updateClock(const Scheduler& scheduler, Worker& worker, const ClockReading& reading, bool isOld)
    {
        const ClockReading& prompt = worker.m_promptClock;
        const auto passedMs = static_cast<std::int64_t>(static_cast<double>((reading.m_readAt - prompt.m_readAt).m_ms) * (1.0 - scheduler.m_options.m_clockDrift));
        if (!isOld || prompt.m_ms == 0 || reading.m_ms >= prompt.m_ms + passedMs)
            worker.m_promptClock = reading;
        worker.m_clock = reading;
    }

    void countAnswer(Scheduler& scheduler, WorkerIndex index, bool hasAnswered, TimePoint now)
    {
        Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        if (hasAnswered) {
            // A worker that answers again after few unanswered calls was healthy: the calls were lost on the way.
            const bool wasLoss = worker.m_unansweredCalls > 0 && worker.m_unansweredCalls <= unansweredCallsUntilSilent && worker.m_state == WorkerState::Adopted;
            if (wasLoss)
                scheduler.m_lossyUntil = now + lossyPeriod;
            worker.m_unansweredCalls = 0;
            worker.m_answeredAt = now;
            worker.m_outage.m_isOver = true;
            return;
        }
        noteFailedCall(worker, now);
        ++worker.m_unansweredCalls;
        worker.m_isProcessConfirmed = false;
        if (!worker.m_isSyncPending)
            worker.m_nextSyncAt = now + (worker.m_unansweredCalls == 1 ? firstRetryDelay : silentRetryDelay);
        if (worker.m_state == WorkerState::Adopted && worker.m_unansweredCalls >= unansweredCallsUntilSilent) {
            worker.m_state = WorkerState::Silent;
            logEvent(LogLevel::Warning, "worker-silent", { { "worker", worker.m_announcement.m_id }, { "unanswered", worker.m_unansweredCalls }, { "tasks", worker.m_tasks.size() }, { "answered_ms_ago", (now - worker.m_answeredAt).m_ms } });
        }
    }

    bool isReportingProcess(const Scheduler& scheduler, const Worker& worker, std::int64_t clockMs, TimePoint now)
    {
        if (clockMs == 0 || worker.m_clock.m_ms == 0 || worker.m_hasOtherProcess)
            return false;
        // The process that reported ran after the report was requested. One that is older than the request is the same.
        const auto sinceRequestMs = static_cast<double>((now - worker.m_reportedSyncSentAt).m_ms);
        const bool isOlderThanRequest = static_cast<double>(clockMs) * (1.0 - scheduler.m_options.m_clockDrift) > sinceRequestMs;
        const auto latestClockMs = worker.m_clock.m_ms + static_cast<std::int64_t>(std::ceil(sinceRequestMs * (1.0 + scheduler.m_options.m_clockDrift))) + 1;
        return isOlderThanRequest && clockMs >= worker.m_clock.m_ms && clockMs <= latestClockMs;
    }

    void requestReport(Worker& worker, TimePoint now)
    {
        worker.m_hasOtherProcess = true;
        worker.m_isProcessConfirmed = false;
        worker.m_isSyncPending = false; // The process that holds it open may be gone.
        worker.m_nextSyncAt = now;
    }

    bool acceptsTasks(const Worker& worker, TimePoint now)
    {
        return worker.m_isAnnounced && worker.m_state == WorkerState::Adopted && !worker.m_announcement.m_isDraining && worker.m_unexpectedAttempts == 0 && worker.m_suspects == 0
            && worker.m_unansweredCalls == 0 && worker.m_health.m_quarantinedUntil <= now && !isHeldOutForOrders(worker, now);
    }

    double slowdownOf(const Worker& worker)
    {
        constexpr std::uint32_t enoughSamples = 3;
        return worker.m_health.m_samples < enoughSamples ? 1.0 : std::exp(worker.m_health.m_logSlowdown);
    }

    void countOutcome(Scheduler& scheduler, const TaskRef& ref, bool isDone, TimePoint now)
    {
        Task& task = ref.task();
        Worker& worker = scheduler.m_workers[static_cast<std::size_t>(task.m_worker)];
        WorkerHealth& health = worker.m_health;
        decay(health, now);
        if (isDone) {
            ++scheduler.m_counters.m_done;
            health.m_successes += 1;
            const double runTimeMs = static_cast<double>((now - task.m_confirmedAt).m_ms);
            const bool isComparable = runTimeMs > 0 && !planOf(*ref.m_run).m_isBestEffort && task.m_attempt == 1 && task.m_checkpointAtStart.empty();
            // Run times are learned as those near the data, which are what a better place is compared by.
            const double factor = scheduler.m_options.m_waitsForBetterPlace ? placeFactorOf(scheduler, *ref.m_run, worker) * ref.m_run->m_gangFactor : 1;
            if (isComparable)
                learnRunTime(scheduler, *ref.m_run, health, std::log(runTimeMs / factor));
            return;
        }
        ++scheduler.m_counters.m_failed;
        const bool isDifferentJob = health.m_lastFailedJob != ref.m_run->m_job->m_plan.m_id;
        health.m_lastFailedJob = ref.m_run->m_job->m_plan.m_id;
        health.m_failures += isDifferentJob ? 1.0 : 0.25;
        if (health.m_failures >= quarantineFailureThreshold && health.m_failures > health.m_successes * 0.5) {
            health.m_quarantinedUntil = now + failureQuarantine;
            logEvent(LogLevel::Warning, "worker-quarantined", { { "worker", worker.m_announcement.m_id }, { "cause", "attempts of different jobs failed" }, { "failures", static_cast<int>(health.m_failures) }, { "successes", static_cast<int>(health.m_successes) } });
        }
    }

    namespace {

        /**
         * Stops tasks on a draining worker so that they run elsewhere: those still starting, long-running ones, and those that
         * can't end before the worker leaves but can save a checkpoint.
         */
        void evacuateDraining(Scheduler& scheduler, Worker& worker, TimePoint now)
        {
            const Duration timeLeft = worker.m_announcement.m_remainingDrainTime - (now - worker.m_drainingSince);
            const std::vector<TaskRef> tasks = worker.m_tasks;
            for (const TaskRef& ref : tasks) {
                const StepPlan& plan = planOf(*ref.m_run);
                Task& task = ref.task();
                if (task.m_phase == RunPhase::Starting || plan.m_isLongRunning) {
                    stopTaskAndGang(scheduler, ref, now);
                    continue;
                }
                const Duration remainingRunTime = plan.m_estimatedRunTime * (100 - std::clamp(task.m_percent, 0, 100)) / 100;
                constexpr Duration margin { 300 };
                if (task.m_phase == RunPhase::Running && remainingRunTime + margin > timeLeft && plan.m_isCheckpointing)
                    stopTaskAndGang(scheduler, ref, now);
            }
        }

        /** @return Whether all attempts that may be on a worker fit its present capacity, including those that are being stopped. */
        bool isWithinCapacity(const Worker& worker)
        {
            return fitsInto(worker.m_granted, worker.m_announcement.m_capacity);
        }

        /** @return Whether the attempts on a worker fit its present capacity once those that are being stopped have ended. */
        bool willBeWithinCapacity(const Worker& worker)
        {
            Resources kept;
            for (const TaskRef& ref : worker.m_tasks) {
                if (ref.task().m_phase != RunPhase::Stopping)
                    kept = kept + grantOf(*ref.m_run);
            }
            return fitsInto(kept, worker.m_announcement.m_capacity);
        }

        /**
         * @return Whether a placed task has to be withdrawn from a worker whose capacity is exceeded. A start that may have arrived
         * is stopped only if it doesn't fit after the stops under way; until then, it is not repeated.
         */
        bool mustWithdraw(const Task& task, const Worker& worker)
        {
            if (task.m_phase == RunPhase::Recording)
                return true;
            const bool isWaiting = task.m_phase == RunPhase::Starting && !task.m_isCallPending;
            return isWaiting && (!task.m_mayHaveArrived || !willBeWithinCapacity(worker));
        }

        /**
         * Withdraws placed tasks whose start is not confirmed from a worker whose capacity has shrunk since their placement, the
         * latest first, until the others fit. Workers don't always refuse what exceeds their capacity.
         */
        void withdrawExcessStarts(Scheduler& scheduler, Worker& worker, TimePoint now)
        {
            const std::vector<TaskRef> tasks = worker.m_tasks;
            for (auto ref = tasks.rbegin(); ref != tasks.rend() && !isWithinCapacity(worker); ++ref) {
                const Task& task = ref->task();
                if (!mustWithdraw(task, worker))
                    continue;
                logEvent(LogLevel::Info, "start-withdrawn", { { "task", format(nameOf(*ref)) }, { "attempt", task.m_attempt }, { "worker", worker.m_announcement.m_id }, { "cause", "the worker's capacity has shrunk" }, { "may_have_arrived", task.m_mayHaveArrived }, { "granted_cpu", worker.m_granted.m_cpuMilli }, { "capacity_cpu", worker.m_announcement.m_capacity.m_cpuMilli } });
                stopTaskAndGang(scheduler, *ref, now);
            }
        }

        /** Marks attempts on a worker whose lease has run out as lost. Those that another process may have started wait for its lease. */
        void loseExpiredTasks(Scheduler& scheduler, const Worker& worker, TimePoint now)
        {
            const std::vector<TaskRef> tasks = worker.m_tasks;
            for (const TaskRef& ref : tasks) {
                if (!mayRunInOtherProcess(ref.task()) || now >= otherLeaseEndBound(scheduler, ref.task()))
                    markTaskLost(scheduler, ref, "the worker's lease has run out", now);
            }
        }

        /** Marks a worker that does not answer as gone, and its attempts as lost, once its lease has run out. */
        void stepLeases(Scheduler& scheduler, WorkerIndex index, TimePoint now)
        {
            Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
            if (worker.m_unansweredCalls == 0)
                return;
            if (worker.m_state == WorkerState::Gone)
                return loseExpiredTasks(scheduler, worker, now);
            if (now < leaseEndBound(scheduler, worker))
                return;
            logEvent(LogLevel::Warning, "worker-gone", { { "worker", worker.m_announcement.m_id }, { "cause", "its lease has run out" }, { "tasks", worker.m_tasks.size() }, { "has_answered", worker.m_clock.m_ms != 0 }, { "unanswered", worker.m_unansweredCalls }, { "answered_ms_ago", (now - worker.m_answeredAt).m_ms }, { "lease_until", worker.m_leaseUntilMs } });
            worker.m_state = WorkerState::Gone;
            forgetStrays(scheduler, worker);
            worker.m_unexpected.clear();
            recountLingering(scheduler, index);
            loseExpiredTasks(scheduler, worker, now);
        }

        /** @return Whether a worker is healthy and has neither attempts nor ends that await acknowledgement. */
        bool isIdle(const Worker& worker)
        {
            return worker.m_state == WorkerState::Adopted && worker.m_unansweredCalls == 0 && worker.m_tasks.empty() && worker.m_unexpectedAttempts == 0 && worker.m_pendingEnds.empty();
        }

        /**
         * A worker may restart under its id and count its ends from 1 again. An acknowledgement meant for its former process would
         * delete ends that have not been read, and their tasks would run again. An answer to a start does not tell the processes apart.
         * @return The number of the end up to which ends are acknowledged with the next sync; 0 for none.
         */
        std::uint64_t ackFor(const Worker& worker)
        {
            return worker.m_isProcessConfirmed ? worker.m_ackedEndNumber : 0;
        }

        /** @return How long a worker may hold a sync open; short where the end of a probation is waited for. */
        Duration syncWaitOf(const Scheduler& scheduler, const Worker& worker, TimePoint now)
        {
            const bool isProbationWatched = worker.m_suspects > 0 || isHeldForSuspect(worker, now);
            return isProbationWatched ? std::min(probationPeriod, scheduler.m_options.m_syncWait) : scheduler.m_options.m_syncWait;
        }

        void sendSync(Scheduler& scheduler, Worker& worker, TimePoint now, SchedulerEffects& effects)
        {
            const bool isHealthy = worker.m_state == WorkerState::Adopted && worker.m_unansweredCalls == 0;
            SyncOrder order { .m_leaseUntilMs = std::nullopt, .m_ackedEndNumber = ackFor(worker), .m_wait = {} };
            const std::int64_t deadline = leaseDeadline(scheduler, worker, now);
            // A process that has started again would take the deadline of the former one's clock for the longest lease, each time.
            if (deadline > 0 && worker.m_unansweredCalls == 0 && !worker.m_hasOtherProcess && !isRenewalWithheld(worker, now)) {
                order.m_leaseUntilMs = deadline;
                worker.m_leaseUntilMs = deadline;
                scheduler.m_leasesRenewedAt = now;
            }
            const bool isLossy = now < scheduler.m_lossyUntil;
            if (isHealthy && worker.m_pendingEnds.empty() && !isIdle(worker))
                order.m_wait = isLossy ? lossySyncWait : syncWaitOf(scheduler, worker, now);
            worker.m_isSyncPending = true;
            worker.m_syncSentAt = now;
            ++scheduler.m_counters.m_syncs;
            const Duration timeout = order.m_wait + (isLossy ? lossyTimeout(scheduler, lossySyncTimeoutMargin, syncTimeoutMargin) : syncTimeoutMargin);
            worker.m_syncTimeoutAt = now + timeout;
            effects.m_syncs.push_back({ targetOf(scheduler, worker), order, timeout });
        }

        /** @return Time at which the next sync of a worker is due; idle workers are polled rarely, just to track their clocks and detect failures. */
        TimePoint syncDueAt(const Scheduler& scheduler, const Worker& worker)
        {
            if (!isIdle(worker))
                return worker.m_nextSyncAt;
            const auto count = static_cast<std::int64_t>(scheduler.m_activeWorkers.size());
            const Duration interval { std::max(scheduler.m_options.m_idleSyncInterval.m_ms, count * 1'000 / maxIdleSyncsPerSecond) };
            return std::max(worker.m_nextSyncAt, worker.m_answeredAt + interval);
        }

        void stepSync(Scheduler& scheduler, Worker& worker, TimePoint now, SchedulerEffects& effects)
        {
            const bool isNeeded = worker.m_isAnnounced || !worker.m_tasks.empty() || !worker.m_strays.empty();
            if (worker.m_isSyncPending || now < syncDueAt(scheduler, worker) || !isNeeded || worker.m_announcement.m_address.m_port == 0)
                return;
            sendSync(scheduler, worker, now, effects);
            if (worker.m_state == WorkerState::Gone)
                worker.m_nextSyncAt = now + goneWorkerRetryDelay;
        }

        /** @return Timeout of a start call; while orders get lost, an early repeat costs less than waiting. */
        Duration startTimeoutOf(const Scheduler& scheduler, const Task& task, TimePoint now)
        {
            if (now < scheduler.m_lossyUntil)
                return lossyTimeout(scheduler, lossyStartTimeout, startTimeout);
            return task.m_mayHaveArrived ? startTimeout : firstStartTimeout;
        }

        void sendStart(Scheduler& scheduler, const TaskRef& ref, TimePoint now, SchedulerEffects& effects)
        {
            Task& task = ref.task();
            Worker& worker = scheduler.m_workers[static_cast<std::size_t>(task.m_worker)];
            const std::int64_t deadline = startDeadline(scheduler, worker, now);
            worker.m_leaseUntilMs = std::max(worker.m_leaseUntilMs, deadline);
            noteStartDeadline(task, worker, deadline);
            task.m_isCallPending = true;
            task.m_startSentAt = now;
            task.m_ticket = ticketTextFor(ref);
            const Duration timeout = startTimeoutOf(scheduler, task, now);
            task.m_otherProcessUntil = now + timeout;
            ++task.m_tries;
            ++scheduler.m_counters.m_starts;
            effects.m_starts.push_back({ targetOf(scheduler, worker), { .m_task = nameOf(ref), .m_attempt = task.m_attempt, .m_payload = ref.m_run->m_job->m_plan.m_payload, .m_leaseUntilMs = deadline, .m_checkpoint = task.m_checkpoint, .m_ticket = task.m_ticket }, timeout });
        }

        void stepTaskCalls(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects)
        {
            const std::vector<TaskRef> tasks = scheduler.m_startingOrStopping;
            for (const TaskRef& ref : tasks) {
                Task& task = ref.task();
                if (task.m_isCallPending || now < task.m_nextCallAt)
                    continue;
                Worker& worker = scheduler.m_workers[static_cast<std::size_t>(task.m_worker)];
                // Each start may extend the lease of a process that has started again, so a worker that does not answer is asked for a report first.
                const bool isStartDue = task.m_phase == RunPhase::Starting && isWithinCapacity(worker) && worker.m_unansweredCalls < unansweredCallsUntilSilent && hasTicketsToStart(ref, now);
                const bool isStopDue = task.m_phase == RunPhase::Stopping && !task.m_isStopAcknowledged;
                if ((!isStartDue && !isStopDue) || !takeOrderTurn(worker, now))
                    continue;
                if (isStartDue) {
                    sendStart(scheduler, ref, now, effects);
                } else {
                    task.m_isCallPending = true;
                    effects.m_stops.push_back({ targetOf(scheduler, worker), { .m_task = nameOf(ref), .m_attempt = task.m_attempt } });
                }
            }
        }

    } // namespace

    void stepCalls(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects)
    {
        for (const WorkerIndex i : scheduler.m_activeWorkers) {
            Worker& worker = scheduler.m_workers[static_cast<std::size_t>(i)];
            stepLeases(scheduler, i, now);
            if (worker.m_announcement.m_isDraining && worker.m_state == WorkerState::Adopted)
                evacuateDraining(scheduler, worker, now);
            if (!isWithinCapacity(worker))
                withdrawExcessStarts(scheduler, worker, now);
            withdrawUndelivered(scheduler, i, now);
            stepLateStarts(scheduler, i, now, effects);
            stepSync(scheduler, worker, now, effects);
        }
        stepTaskCalls(scheduler, now, effects);
    }

} // namespace detail

void updateWorker(Scheduler& scheduler, const WorkerAnnouncement& announcement, TimePoint now)
{
    const auto [found, isNew] = scheduler.m_workerById.try_emplace(announcement.m_id, static_cast<WorkerIndex>(scheduler.m_workers.size()));
    if (isNew)
        scheduler.m_workers.emplace_back();
    detail::activateWorker(scheduler, found->second);
    Worker& worker = scheduler.m_workers[static_cast<std::size_t>(found->second)];
    if (announcement.m_isDraining && !worker.m_announcement.m_isDraining) {
        worker.m_drainingSince = now;
        logEvent(LogLevel::Info, "worker-draining", { { "worker", announcement.m_id }, { "tasks", worker.m_tasks.size() }, { "leaves_in_ms", announcement.m_remainingDrainTime.m_ms } });
    }
    const bool hasRestarted = worker.m_processStartMs != 0 && announcement.m_processStartMs > worker.m_processStartMs;
    if (hasRestarted && announcement.m_processStartMs != worker.m_announcement.m_processStartMs)
        detail::requestReport(worker, now);
    const bool hasMoved = worker.m_announcement.m_address != announcement.m_address;
    if (hasMoved && worker.m_announcement.m_address.m_port != 0) {
        worker.m_movedAt = now;
        worker.m_orders = {};
    }
    if (isNew || hasRestarted || hasMoved || !worker.m_isAnnounced) {
        worker.m_nextSyncAt = now;
        worker.m_isProcessConfirmed = false;
        if (!scheduler.m_isInitialLoad)
            logEvent(LogLevel::Info, "worker-announced", { { "worker", announcement.m_id }, { "pool", announcement.m_pool }, { "address", format(announcement.m_address) }, { "has_restarted", hasRestarted } });
    }
    const bool servesOtherPool = worker.m_announcement.m_pool != announcement.m_pool;
    worker.m_announcement = announcement;
    if (servesOtherPool)
        detail::recountPool(scheduler, found->second);
    scheduler.m_changedWorkers.push_back(found->second);
    worker.m_isAnnounced = true;
    if (const auto speed = scheduler.m_restoredSpeeds.extract(announcement.m_id); !speed.empty() && worker.m_health.m_samples == 0) {
        worker.m_health.m_logSlowdown = speed.mapped().m_logSlowdown;
        worker.m_health.m_samples = speed.mapped().m_samples;
    }
    worker.m_rack.clear();
    for (const std::string& label : announcement.m_labels) {
        if (isRackLabel(label))
            worker.m_rack = label;
    }
    scheduler.m_needsPlacing = true;
}

void removeWorker(Scheduler& scheduler, const std::string& id, TimePoint now)
{
    const auto found = scheduler.m_workerById.find(id);
    if (found == scheduler.m_workerById.end())
        return;
    Worker& worker = scheduler.m_workers[static_cast<std::size_t>(found->second)];
    if (worker.m_isAnnounced)
        logEvent(LogLevel::Info, "worker-announcement-removed", { { "worker", id }, { "tasks", worker.m_tasks.size() } });
    if (worker.m_isAnnounced)
        worker.m_removedAt = now;
    worker.m_isAnnounced = false;
}

} // namespace bulrushloft::scheduler
