/** @file scheduler_place.cpp Placement passes: waiting steps in the order of their urgency, and the workers that their tasks get. */
#include "core/log_func.h"
#include "process/scheduler/approvals.h"
#include "process/scheduler/better_place.h"
#include "process/scheduler/crash_record.h"
#include "process/scheduler/order_health.h"
#include "process/scheduler/place_wait.h"
#include "process/scheduler/placement_cost.h"
#include "process/scheduler/pool_view.h"
#include "process/scheduler/reservation.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/share_order.h"
#include "process/scheduler/stray_attempt.h"
#include "process/scheduler/suspect_placement.h"
#include "process/scheduler/urgency.h"
#include "request/plan_func.h"

#include <algorithm>

namespace bulrushloft::scheduler::detail {

namespace {

    /** @return Monotonic time at which the job was accepted, or its occurrence became due. */
    TimePoint dueTimeOf(const Scheduler& scheduler, const StepRun& run)
    {
        const JobPlan& plan = run.m_job->m_plan;
        if (plan.m_occurrenceCount == 0)
            return run.m_job->m_acceptedAt;
        return plan.m_firstStart + plan.m_period * run.m_occurrence - scheduler.m_wallOffset;
    }

    constexpr Duration predictionInterval { 250 }; ///< Predictions change slowly, and thousands of steps may wait.

    /** @return Core-seconds that a job still needs; a GPU counts as eight cores. */
    double remainingWork(const Scheduler& scheduler, const Job& job)
    {
        constexpr double coresPerGpu = 8;
        std::vector<double> openTasks(job.m_plan.m_steps.size());
        for (const auto& run : job.m_runs)
            openTasks[run->m_step] += static_cast<double>(run->m_tasks.size() - run->m_doneCount);
        double work = 0;
        for (std::uint32_t step = 0; step < openTasks.size(); ++step) {
            const Resources& size = job.m_plan.m_steps[step].m_size;
            const double cores = static_cast<double>(size.m_cpuMilli) / 1'000 + coresPerGpu * static_cast<double>(size.m_gpus);
            work += openTasks[step] * cores * static_cast<double>(predictRunTime(scheduler, job, step).m_ms) / 1'000;
        }
        return work;
    }

    /**
     * Load: schedules with 20,000 due occurrences, or jobs of 12,000 independent steps, all of which wait. What is predicted of the whole job takes a walk
     * over all of them, so it is done once for the job and not for each waiting step.
     * @return The predictions, at most as old as predictionInterval.
     */
    const JobForecast& forecastOf(const Scheduler& scheduler, Job& job, TimePoint now)
    {
        JobForecast& forecast = job.m_forecast;
        if (forecast.m_at.m_ms != 0 && now - forecast.m_at < predictionInterval)
            return forecast;
        forecast.m_at = now;
        forecast.m_remainingTimes = predictCriticalPaths(scheduler, job);
        forecast.m_criticalPath = *std::max_element(forecast.m_remainingTimes.begin(), forecast.m_remainingTimes.end());
        forecast.m_remainingWork = remainingWork(scheduler, job);
        return forecast;
    }

    UrgencyInput urgencyInputOf(const Scheduler& scheduler, const StepRun& run, TimePoint now)
    {
        const QueuePolicy& queue = queuePolicyOf(*run.m_job);
        const JobForecast& forecast = forecastOf(scheduler, *run.m_job, now);
        const auto objectiveMs = static_cast<std::int64_t>(queue.m_slackFactor * static_cast<double>(forecast.m_criticalPath.m_ms)) + queue.m_latencyTarget.m_ms;
        return { .m_isLongRunning = planOf(run).m_isLongRunning, .m_dueAt = dueTimeOf(scheduler, run), .m_objective = { objectiveMs }, .m_remaining = forecast.m_remainingTimes[run.m_step], .m_remainingWork = forecast.m_remainingWork };
    }

    /** @return The step's urgency, from predictions that are updated at intervals. */
    Urgency stepUrgency(const Scheduler& scheduler, StepRun& run, TimePoint now)
    {
        if (run.m_urgencyInputAt.m_ms == 0 || now - run.m_urgencyInputAt >= predictionInterval) {
            run.m_urgencyInput = urgencyInputOf(scheduler, run, now);
            run.m_urgencyInputAt = now;
        }
        return urgencyOf(run.m_urgencyInput, now);
    }

    /** A worker on which a step may run now, with its cost. */
    struct Candidate {
        double m_cost = 0;
        std::uint32_t m_position = 0; ///< Position in the pool's view.

        /** Orders a heap with the lowest cost at its top. */
        bool operator<(const Candidate& other) const { return m_cost > other.m_cost; }
    };

    /** Places the tasks of one step in one pass. */
    class StepPlacement {
    public:
        StepPlacement(Scheduler& scheduler, StepRun& run, Urgency urgency, PoolView& view, TimePoint now)
            : m_scheduler(scheduler)
            , m_run(run)
            , m_view(view)
            , m_now(now)
            , m_size(grantOf(run))
            , m_policy(queuePolicyOf(*run.m_job).m_approval)
            , m_urgency(urgency)
            , m_speedWeight(speedWeightOf(queuePolicyOf(*run.m_job), urgency))
            , m_toPlace(countAllowed(scheduler, run, countPlaceable(run, now)))
        {
        }

        /** Places what fits; requests the approvals that the rest lacks. */
        void place(SchedulerEffects& effects)
        {
            const bool isGang = planOf(m_run).m_isGang;
            m_run.m_waitsForPlace = false;
            if (m_toPlace == 0 || (isGang && m_run.m_activeAttempts > 0))
                return;
            findCandidates();
            isolateSuspects();
            const bool isFitting = !isGang || (m_isolation.m_ready.size() == m_suspects.size() && totalRoom() + m_suspects.size() >= m_toPlace);
            const bool mayPlace = isFitting && !(isGang && waitsForOneRack());
            if (mayPlace && isGang)
                prepareGang();
            if (mayPlace) {
                placeSuspects();
                placeTasks();
            }
            if (m_toPlace > 0 && m_policy)
                request(effects);
        }

        /** @return Whether tasks are left that wait for room or for a VM that sends their approval request. */
        bool isLeftShort() const
        {
            return m_toPlace > 0 && (!m_policy || m_run.m_isApprovalRequestDelayed || m_run.m_approval.m_pendingRequests == 0);
        }

        /** Reserves workers for the tasks without a worker, if they are large, so that streams of small tasks don't starve them. */
        void reserve(const ReservationLimits& limits)
        {
            const bool isGang = planOf(m_run).m_isGang;
            if (m_run.m_hasReservations || m_run.m_waitsForPlace) // From the share of late steps, or there is room that the step leaves to others.
                return;
            m_run.m_reservedReadyAt = farFuture;
            if (m_toPlace == 0 || (isGang && m_run.m_activeAttempts > 0) || m_view.m_reservedCount >= limits.m_workers || m_view.m_reservingSteps >= limits.m_steps || (isGang && !wouldFitIfEmpty()))
                return;
            if (m_run.m_reservingSince.m_ms == 0)
                m_run.m_reservingSince = m_now;
            if (!isReservationPhase(m_now - m_run.m_reservingSince))
                return;
            const Reservation chosen = chooseReservation(reservationCandidates(), m_toPlace, limits.m_workers - m_view.m_reservedCount);
            if (chosen.m_room >= m_toPlace)
                m_run.m_reservedReadyAt = chosen.m_readyAt;
            reserveWorkers(m_scheduler, m_view, chosen.m_positions, m_run);
        }

    private:
        Worker& workerAt(std::uint32_t position) { return m_scheduler.m_workers[static_cast<std::size_t>(m_view.m_workers[position])]; }

        bool isApproved(std::uint32_t position) const { return !m_policy || m_run.m_approval.m_tickets.contains(m_view.m_workers[position]); }

        /** @return Number of further tasks that the step's limit of tasks on one worker allows there. */
        std::int64_t remainingLimitAt(std::uint32_t position) const
        {
            const std::uint32_t limit = planOf(m_run).m_perWorkerLimit;
            if (limit == 0)
                return static_cast<std::int64_t>(m_run.m_tasks.size());
            const auto found = m_run.m_attemptsByWorker.find(m_view.m_workers[position]);
            const std::uint32_t existing = found == m_run.m_attemptsByWorker.end() ? 0 : found->second;
            return existing >= limit ? 0 : limit - existing;
        }

        /** @return Whether a worker gets a single task, which shows whether orders reach it again. */
        bool isProbed(std::uint32_t position) const { return areOrdersFailing(m_scheduler.m_workers[static_cast<std::size_t>(m_view.m_workers[position])], m_now); }

        /** @return Number of further tasks of the step that fit on a worker now. */
        std::uint32_t roomAt(std::uint32_t position) const
        {
            const std::int64_t limit = remainingLimitAt(position);
            return static_cast<std::uint32_t>(countFitting(m_size, m_view.m_free[position], isProbed(position) ? std::min<std::int64_t>(limit, 1) : limit));
        }

        /** @return Positions of the suitable workers that have room for a task. */
        std::vector<std::uint32_t> findSuitableRoom()
        {
            std::vector<std::uint32_t> positions = findRoom(m_view, m_size, m_run);
            const bool hasLabel = !planOf(m_run).m_label.empty();
            std::erase_if(positions, [&](std::uint32_t position) { return remainingLimitAt(position) == 0 || (hasLabel && !isSuitable(m_run, workerAt(position))); });
            return positions;
        }

        void findCandidates()
        {
            if (!m_policy) {
                for (const std::uint32_t position : findSuitableRoom())
                    m_candidates.push_back({ .m_cost = 0, .m_position = position });
                return;
            }
            for (const auto& [worker, ticket] : m_run.m_approval.m_tickets) {
                const auto position = m_now <= ticket.m_usableUntil ? findPosition(m_scheduler, m_view, worker) : std::nullopt;
                if (position && hasRoom(m_view, *position, m_size, m_run) && remainingLimitAt(*position) > 0)
                    m_candidates.push_back({ .m_cost = 0, .m_position = *position });
            }
        }

        /** Requests missing approvals; without a VM that is free to send the request, the step is examined again when one is. */
        void request(SchedulerEffects& effects)
        {
            if (!mayRequestWithinCap(m_scheduler, m_run))
                return;
            m_run.m_isApprovalRequestDelayed = !canRequestApprovals(m_scheduler, m_run, *m_policy, m_now);
            if (m_run.m_isApprovalRequestDelayed && m_run.m_approvalRequestedAt.m_ms == 0)
                m_run.m_approvalRequestedAt = m_now;
            if (m_run.m_isApprovalRequestDelayed)
                return;
            const std::uint32_t pending = m_run.m_approval.m_pendingRequests;
            requestApprovals(m_scheduler, m_run, { .m_policy = *m_policy, .m_tasks = m_toPlace, .m_speedWeight = m_speedWeight }, m_view, m_now, effects);
            if (CustomerUsage* const customer = m_run.m_job->m_customer; customer && pending == 0 && m_run.m_approval.m_pendingRequests > 0)
                customer->m_requested = customer->m_requested + planOf(m_run).m_size * m_toPlace;
        }

        std::uint32_t totalRoom() const
        {
            std::uint32_t room = 0;
            for (const Candidate& candidate : m_candidates)
                room += roomAt(candidate.m_position);
            return room;
        }

        /** Gives all members the same attempt number and the checkpoint with the most progress. */
        void prepareGang()
        {
            m_run.m_gangFactor = m_factorOfGang;
            std::uint32_t attempt = 0;
            const Task* mostAdvanced = nullptr;
            for (const Task& task : m_run.m_tasks) {
                attempt = std::max(attempt, task.m_attempt);
                if (!task.m_checkpoint.empty() && (!mostAdvanced || task.m_percent > mostAdvanced->m_percent))
                    mostAdvanced = &task;
            }
            const std::string checkpoint = mostAdvanced ? mostAdvanced->m_checkpoint : std::string();
            for (Task& task : m_run.m_tasks) {
                task.m_attempt = attempt;
                task.m_checkpoint = checkpoint;
            }
        }

        /** Restricts the candidates to one rack if some rack has room for all tasks. @return Whether one has. */
        bool restrictToOneRack()
        {
            std::unordered_map<std::string, std::vector<Candidate>> byRack;
            for (const Candidate& candidate : m_candidates)
                byRack[workerAt(candidate.m_position).m_rack].push_back(candidate);
            for (auto& [rack, candidates] : byRack) {
                std::uint32_t room = 0;
                for (const Candidate& candidate : candidates)
                    room += roomAt(candidate.m_position);
                if (room < m_run.m_tasks.size())
                    continue;
                m_candidates = std::move(candidates);
                return true;
            }
            return false;
        }

        TimePoint endAfter(TimePoint start, double factor) const
        {
            return start + Duration { static_cast<std::int64_t>(static_cast<double>(predictRunTime(m_scheduler, *m_run.m_job, m_run.m_step).m_ms) * factor) };
        }

        /** Restricts the candidates of a gang that is slower across racks to one rack, if possible. @return Whether it waits for a rack, although it would fit into several. */
        bool waitsForOneRack()
        {
            if (!planOf(m_run).m_isRackLocal)
                return false;
            const bool isInOneRack = restrictToOneRack();
            m_factorOfGang = isInOneRack || !m_scheduler.m_options.m_waitsForBetterPlace ? 1 : m_scheduler.m_options.m_remoteFactor;
            if (isInOneRack || !mayWaitForPlace(m_scheduler, m_run, m_urgency) || !m_suspects.empty())
                return false;
            const auto place = findGangPlace(m_scheduler, m_run, m_view, endAfter(m_now, m_factorOfGang - 1), m_now);
            if (!place)
                return false;
            bool isWaiting = true;
            for (Task& task : m_run.m_tasks)
                isWaiting = isWaiting && waitForPlace(m_scheduler, m_run, task, { .m_roomAt = place->m_roomAt, .m_factorNow = m_factorOfGang, .m_factorThen = 1 }, m_now);
            for (std::size_t i = 0; isWaiting && i < place->m_positions.size(); ++i)
                claimPlace(m_view, place->m_positions[i], m_run, endAfter(place->m_roomAt, 1));
            return isWaiting;
        }

        /** @return Whether a task leaves room on a worker unused to wait for a better place. */
        bool waitsInsteadOf(std::uint32_t position, Task& task)
        {
            if (planOf(m_run).m_isGang || !mayWaitForPlace(m_scheduler, m_run, m_urgency))
                return false;
            const double factorNow = placeFactorOf(m_scheduler, m_run, workerAt(position));
            const auto place = factorNow > 1 ? findBetterPlace(m_scheduler, m_run, task, m_view, m_now) : std::nullopt;
            const bool isFree = place && place->m_roomAt <= m_now && std::any_of(m_candidates.begin(), m_candidates.end(), [&](const Candidate& candidate) { return candidate.m_position == place->m_position; });
            if (!place || isFree || !waitForPlace(m_scheduler, m_run, task, { .m_roomAt = place->m_roomAt, .m_factorNow = factorNow, .m_factorThen = place->m_factor }, m_now))
                return false;
            claimPlace(m_view, place->m_position, m_run, endAfter(place->m_roomAt, place->m_factor));
            return true;
        }

        double costAt(std::uint32_t position) const { return costOf(m_scheduler, m_run, m_view.m_workers[position], m_speedWeight); }

        void rankCandidates()
        {
            for (Candidate& candidate : m_candidates)
                candidate.m_cost = costAt(candidate.m_position);
            std::make_heap(m_candidates.begin(), m_candidates.end());
        }

        /** @return Whether the decision to wait is the same for all candidates. Steps that wait are examined in each pass, and need no costs then. */
        bool areAllFarFromData()
        {
            const bool mayWait = !planOf(m_run).m_isGang && !planOf(m_run).m_dataRack.empty() && mayWaitForPlace(m_scheduler, m_run, m_urgency) && !m_candidates.empty();
            if (mayWait && earliestRoomNearData(m_scheduler, m_run, m_view, m_now) > m_now)
                return true;
            return mayWait && std::all_of(m_candidates.begin(), m_candidates.end(), [&](const Candidate& candidate) { return workerAt(candidate.m_position).m_rack != planOf(m_run).m_dataRack; });
        }

        void placeTasks()
        {
            bool isUnranked = areAllFarFromData();
            if (!isUnranked)
                rankCandidates();
            for (std::uint32_t i = 0; i < m_run.m_tasks.size() && m_toPlace > 0 && !m_candidates.empty(); ++i) {
                const Task& task = m_run.m_tasks[i];
                const bool isPlaceable = isToPlace(task) && std::find(m_suspects.begin(), m_suspects.end(), i) == m_suspects.end();
                if (!isPlaceable || (isUnranked && waitsInsteadOf(m_candidates.back().m_position, m_run.m_tasks[i])))
                    continue;
                if (std::exchange(isUnranked, false))
                    rankCandidates();
                placeOnCheapest(i);
            }
        }

        /** Moves the candidate with the lowest cost for a task to the end of the list. */
        void moveCheapestToEnd(const Task& task)
        {
            if (task.m_failedOn.empty() && !task.m_wasUndelivered)
                return std::pop_heap(m_candidates.begin(), m_candidates.end());
            const auto costFor = [&](const Candidate& candidate) {
                return candidate.m_cost + failedBeforeCost(task, m_view.m_workers[candidate.m_position]) + undeliveredCost(task, workerAt(candidate.m_position), m_now);
            };
            const auto cheapest = std::min_element(m_candidates.begin(), m_candidates.end(), [&](const Candidate& one, const Candidate& other) { return costFor(one) < costFor(other); });
            std::iter_swap(cheapest, m_candidates.end() - 1);
            std::make_heap(m_candidates.begin(), m_candidates.end() - 1);
        }

        void placeOnCheapest(std::uint32_t index)
        {
            moveCheapestToEnd(m_run.m_tasks[index]);
            const std::uint32_t position = m_candidates.back().m_position;
            Task& task = m_run.m_tasks[index];
            if (waitsInsteadOf(position, task))
                return std::push_heap(m_candidates.begin(), m_candidates.end());
            endPlaceWait(m_scheduler, task, (planOf(m_run).m_isGang ? m_factorOfGang : placeFactorOf(m_scheduler, m_run, workerAt(position))) <= 1, m_now);
            placeTask(m_scheduler, { &m_run, index }, m_view.m_workers[position], m_now);
            m_view.m_free[position] = isProbed(position) ? Resources {} : m_view.m_free[position] - m_size;
            --m_toPlace;
            if (roomAt(position) == 0)
                return m_candidates.pop_back();
            m_candidates.back().m_cost = costAt(position);
            std::push_heap(m_candidates.begin(), m_candidates.end());
        }

        bool isToPlace(const Task& task) const { return task.m_resolution == TaskResolution::Open && task.m_phase == RunPhase::None && !isHeldForStray(task, m_now); }

        /** Lists the suspects to place. A gang with more of them than workers can be isolated at once is placed as usual after a while. */
        void findSuspects()
        {
            constexpr Duration maxGangWait { 2'000 };
            for (std::uint32_t i = 0; m_run.m_hadSuspects && i < m_run.m_tasks.size() && m_suspects.size() < m_toPlace; ++i) {
                const Task& task = m_run.m_tasks[i];
                if (!isToPlace(task) || !isSuspect(task))
                    continue;
                if (planOf(m_run).m_isGang && m_now - task.m_waitingSince > maxGangWait)
                    return m_suspects.clear();
                m_suspects.push_back(i);
            }
        }

        std::vector<IsolationCandidate> isolationCandidates()
        {
            std::vector<IsolationCandidate> candidates;
            for (std::uint32_t i = 0; i < m_view.m_workers.size(); ++i) {
                const Worker& worker = workerAt(i);
                const bool isFree = !m_view.m_reservedFor[i] || m_view.m_reservedFor[i] == &m_run;
                if (!isFree || !isApproved(i) || !isSuitable(m_run, worker) || remainingLimitAt(i) == 0 || !fitsInto(m_size, worker.m_announcement.m_capacity))
                    continue;
                const bool hasUsableTicket = !m_policy || m_now <= m_run.m_approval.m_tickets.at(m_view.m_workers[i]).m_usableUntil;
                const bool isReady = hasUsableTicket && fitsInto(m_size, m_view.m_free[i]) && isReadyForSuspect(worker);
                candidates.push_back({ .m_position = i, .m_isReady = isReady, .m_isHeld = isHeldForSuspect(worker, m_now), .m_roomAt = expectedRoomAt(m_scheduler, m_view, i, m_size, m_now), .m_tasks = worker.m_tasks.size() });
            }
            return candidates;
        }

        void hold(std::uint32_t position)
        {
            constexpr Duration holdPeriod { 3'000 };
            Worker& worker = workerAt(position);
            if (!isHeldForSuspect(worker, m_now)) {
                logEvent(LogLevel::Info, "worker-held-for-suspect", { { "worker", worker.m_announcement.m_id }, { "step", format(nameOf({ &m_run, m_suspects.front() })) }, { "tasks", worker.m_tasks.size() } });
                worker.m_heldForSuspectUntil = m_now + holdPeriod;
                m_view.m_hasHeldWorkers = true;
                reserveWorkers(m_scheduler, m_view, { position }, m_run);
            }
        }

        /** Chooses workers for the suspects, and holds some where that takes time; these are not available to other tasks. */
        void isolateSuspects()
        {
            findSuspects();
            if (!m_suspects.empty()) {
                const auto held = static_cast<std::size_t>(std::count_if(m_view.m_workers.begin(), m_view.m_workers.end(), [&](WorkerIndex index) { return isHeldForSuspect(m_scheduler.m_workers[static_cast<std::size_t>(index)], m_now); }));
                const std::size_t limit = maxHeldWorkers(m_view.m_workers.size());
                m_isolation = chooseIsolation(isolationCandidates(), m_suspects.size(), limit > held ? limit - held : 0);
                for (const std::uint32_t position : m_isolation.m_toHold)
                    hold(position);
            }
            if (m_isolation.m_ready.empty() && !m_view.m_hasHeldWorkers)
                return;
            std::erase_if(m_candidates, [&](const Candidate& candidate) {
                const bool isTaken = std::find(m_isolation.m_ready.begin(), m_isolation.m_ready.end(), candidate.m_position) != m_isolation.m_ready.end();
                const bool isReserved = m_view.m_reservedFor[candidate.m_position]; // Held workers are; the others need not be looked up.
                return isTaken || (isReserved && isHeldForSuspect(workerAt(candidate.m_position), m_now));
            });
        }

        /** Places suspects on the workers chosen for them; nothing else is placed there until they have passed their probation. */
        void placeSuspects()
        {
            for (std::size_t i = 0; i < m_isolation.m_ready.size(); ++i) {
                const std::uint32_t position = m_isolation.m_ready[i];
                const TaskRef ref { &m_run, m_suspects[i] };
                Worker& worker = workerAt(position);
                logEvent(LogLevel::Info, "task-isolated", { { "task", format(nameOf(ref)) }, { "worker", worker.m_announcement.m_id }, { "beside", worker.m_tasks.size() }, { "crashes", ref.task().m_crashes } });
                if (isHeldForSuspect(worker, m_now))
                    worker.m_reservedFor = nullptr;
                worker.m_heldForSuspectUntil = {};
                placeTask(m_scheduler, ref, m_view.m_workers[position], m_now);
                ref.task().m_isIsolated = true;
                m_view.m_free[position] = {};
                --m_toPlace;
            }
        }

        /** @return Whether all members of a gang would fit on its approved workers if those were empty. */
        bool wouldFitIfEmpty()
        {
            std::int64_t room = 0;
            for (std::uint32_t i = 0; i < m_view.m_workers.size() && room < m_toPlace; ++i) {
                if (isApproved(i) && isSuitable(m_run, workerAt(i)))
                    room += countFitting(m_size, workerAt(i).m_announcement.m_capacity, m_toPlace);
            }
            return room >= m_toPlace;
        }

        void addReservationCandidate(std::vector<ReservationCandidate>& candidates, std::uint32_t position)
        {
            const Worker& worker = workerAt(position);
            const bool isEligible = !m_view.m_reservedFor[position] && isLargeOn(planOf(m_run).m_size, worker.m_announcement.m_capacity) && isSuitable(m_run, worker) && remainingLimitAt(position) > 0;
            if (!isEligible)
                return;
            candidates.push_back({ .m_position = position, .m_readyAt = expectedRoomAt(m_scheduler, m_view, position, m_size, m_now), .m_room = std::max<std::uint32_t>(1, roomAt(position)), .m_wasReserved = worker.m_lastReservedFor == &m_run });
        }

        std::vector<ReservationCandidate> reservationCandidates()
        {
            std::vector<ReservationCandidate> candidates;
            for (std::uint32_t i = 0; !m_policy && i < m_view.m_workers.size(); ++i)
                addReservationCandidate(candidates, i);
            for (const auto& [worker, ticket] : m_run.m_approval.m_tickets) {
                const auto position = m_policy ? findPosition(m_scheduler, m_view, worker) : std::nullopt;
                if (position)
                    addReservationCandidate(candidates, *position);
            }
            return candidates;
        }

        /** @return Whether a task is so large on a worker that streams of small tasks could keep it waiting for ever. */
        static bool isLargeOn(const Resources& size, const Resources& capacity)
        {
            constexpr int largeTaskDivisor = 4; ///< A task is large when it needs at least 1/largeTaskDivisor of a worker's CPU or GPUs.
            return size.m_cpuMilli * largeTaskDivisor >= capacity.m_cpuMilli || (capacity.m_gpus > 0 && size.m_gpus * largeTaskDivisor >= capacity.m_gpus);
        }

        Scheduler& m_scheduler;
        StepRun& m_run;
        PoolView& m_view;
        TimePoint m_now;
        Resources m_size; ///< Resources that one task reserves.
        const std::optional<ApprovalPolicy>& m_policy;
        Urgency m_urgency;
        double m_speedWeight;
        double m_factorOfGang = 1; ///< Run time of a gang in the places that are free now divided by the one in one rack.
        std::uint32_t m_toPlace; ///< Open tasks without an attempt that are not held for an earlier one, as many as the customer's cap allows.
        std::vector<std::uint32_t> m_suspects; ///< Tasks to place apart from others; each index into the step's tasks.
        Isolation m_isolation; ///< Workers for them.
        std::vector<Candidate> m_candidates; ///< Workers on which tasks of the step may start now.
    };

    /** @return Whether an approval request of the step was delayed and can be sent now. */
    bool isDelayedRequestDue(Scheduler& scheduler, const StepRun& run, TimePoint now)
    {
        const auto& policy = queuePolicyOf(*run.m_job).m_approval;
        return run.m_isApprovalRequestDelayed && policy && canRequestApprovals(scheduler, run, *policy, now);
    }

    /** @return Whether a pass has to examine a step that an earlier pass has left waiting. */
    bool isPromising(Scheduler& scheduler, const StepRun& run, const PoolView& view, TimePoint now)
    {
        return run.m_isChanged || run.m_waitsForPlace || hasNewRoom(view, grantOf(run), run) || isDelayedRequestDue(scheduler, run, now);
    }

    /** Removes steps without tasks to place from the list of waiting ones. @return The released ones of the others that are to be examined, the most urgent first. */
    std::vector<RankedStep> rankWaiting(Scheduler& scheduler, const PoolViews& views, bool isFullPass, TimePoint now)
    {
        std::vector<RankedStep> ranked;
        std::erase_if(scheduler.m_waitingSteps, [&](StepRun* run) {
            run->m_isWaiting = !isFinal(run->m_job->m_stage) && countUnplaced(*run) > 0;
            if (!run->m_isWaiting || !run->m_isReleased)
                return !run->m_isWaiting;
            const auto view = views.find(poolOf(*run->m_job));
            const std::uint32_t placeable = view != views.end() ? countPlaceable(*run, now) : 0;
            if (placeable > 0 && !isHeldByCap(scheduler, *run, placeable, now) && (isFullPass || isPromising(scheduler, *run, view->second, now)))
                ranked.push_back({ stepUrgency(scheduler, *run, now), run });
            return false;
        });
        std::stable_sort(ranked.begin(), ranked.end(), [](const RankedStep& one, const RankedStep& other) { return one.m_urgency < other.m_urgency; });
        orderRanked(scheduler, ranked, now);
        return ranked;
    }

    /** @return Whether this pass examines all waiting steps and makes the reservations anew. */
    bool isFullPassDue(const Scheduler& scheduler, TimePoint now)
    {
        constexpr Duration minInterval { 50 };
        constexpr std::size_t waitingStepsPerMs = 10; // Keeps the share of time that full passes take about constant.
        return now - scheduler.m_fullPassAt >= minInterval + Duration { static_cast<std::int64_t>(scheduler.m_waitingSteps.size() / waitingStepsPerMs) };
    }

    PoolView& viewOf(PoolViews& views, const StepRun& run)
    {
        return views.find(poolOf(*run.m_job))->second;
    }

    /** Reserves a share of each pool for late steps before more urgent steps are placed. The share does not count against that of the others. */
    void reserveLateShare(Scheduler& scheduler, const std::vector<RankedStep>& ranked, PoolViews& views, TimePoint now)
    {
        for (const RankedStep& step : ranked) {
            if (step.m_urgency.m_class < UrgencyClass::Late)
                continue;
            PoolView& view = viewOf(views, *step.m_run);
            StepPlacement(scheduler, *step.m_run, step.m_urgency, view, now).reserve(lateShareOf(view.m_workers.size()));
        }
        for (auto& [pool, view] : views) {
            view.m_reservedCount = 0;
            view.m_reservingSteps = 0;
        }
    }

    /**
     * Lets the steps that have waited longest send an approval request through the VMs that are kept for them, whatever their urgency.
     * Load: requests for urgent steps take all other VMs as long as such steps keep coming, and the late ones would never run.
     */
    void serveStarvedSteps(Scheduler& scheduler, const std::vector<RankedStep>& ranked, PoolViews& views, TimePoint now, SchedulerEffects& effects)
    {
        std::vector<RankedStep> starved;
        std::copy_if(ranked.begin(), ranked.end(), std::back_inserter(starved), [&](const RankedStep& step) {
            const auto& policy = queuePolicyOf(*step.m_run->m_job).m_approval;
            return policy && isStarvedOfApprovals(*step.m_run, *policy, now);
        });
        std::stable_sort(starved.begin(), starved.end(), [](const RankedStep& one, const RankedStep& other) { return one.m_run->m_approvalRequestedAt < other.m_run->m_approvalRequestedAt; });
        orderRanked(scheduler, starved, now);
        for (const RankedStep& step : starved) {
            step.m_run->m_mayUseKeptProxies = true;
            if (canRequestApprovals(scheduler, *step.m_run, *queuePolicyOf(*step.m_run->m_job).m_approval, now))
                StepPlacement(scheduler, *step.m_run, step.m_urgency, viewOf(views, *step.m_run), now).place(effects);
            step.m_run->m_mayUseKeptProxies = false;
        }
    }

    /** Ends all reservations except those of workers that are held for a suspect. */
    void clearReservations(Scheduler& scheduler, TimePoint now)
    {
        for (const WorkerIndex index : scheduler.m_activeWorkers) {
            Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
            worker.m_lastReservedFor = isHeldForSuspect(worker, now) ? nullptr : std::exchange(worker.m_reservedFor, nullptr);
        }
        for (StepRun* run : scheduler.m_waitingSteps)
            run->m_hasReservations = false;
    }

} // namespace

std::uint32_t countUnplaced(const StepRun& run)
{
    // Tasks of a gang that has ended as done may still have attempts.
    const std::uint32_t settled = run.m_doneCount + run.m_activeAttempts;
    return settled >= run.m_tasks.size() ? 0 : static_cast<std::uint32_t>(run.m_tasks.size()) - settled;
}

void placeWaiting(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects)
{
    scheduler.m_needsPlacing = false;
    scheduler.m_placedAt = now;
    if (scheduler.m_waitingSteps.empty())
        return;
    const bool isFullPass = isFullPassDue(scheduler, now);
    if (isFullPass) {
        scheduler.m_fullPassAt = now;
        clearReservations(scheduler, now);
    }
    PoolViews views = takePoolViews(scheduler, now);
    sumRequested(scheduler);
    if (isFullPass)
        updateShares(scheduler, views, now);
    const std::vector<RankedStep> ranked = rankWaiting(scheduler, views, isFullPass, now);
    if (isFullPass) {
        reserveLateShare(scheduler, ranked, views, now);
        serveStarvedSteps(scheduler, ranked, views, now, effects);
    }
    for (const RankedStep& step : ranked) {
        PoolView& view = viewOf(views, *step.m_run);
        StepPlacement placement(scheduler, *step.m_run, step.m_urgency, view, now);
        step.m_run->m_isChanged = false;
        placement.place(effects);
        if (placement.isLeftShort())
            noteShortage(scheduler, poolOf(*step.m_run->m_job), now);
        if (isFullPass)
            placement.reserve(reservationLimitsOf(view.m_workers.size()));
    }
    for (const RankedStep& step : ranked)
        pausePlaceWait(scheduler, *step.m_run, viewOf(views, *step.m_run), now);
}

} // namespace bulrushloft::scheduler::detail
