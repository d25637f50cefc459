/** @file scheduler_place.cpp Placement of waiting tasks on workers. */
#include "process/scheduler/approvals.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/urgency.h"
#include "request/plan_func.h"

#include <algorithm>
#include <cmath>

namespace bulrushloft::scheduler::detail {

namespace {

    constexpr std::size_t maxBlockedSteps = 96; ///< A placement pass ends once more steps than this could not be placed completely.

    /** A waiting step and its sort key. */
    struct RankedStep {
        Urgency m_urgency;
        StepRun* m_run = nullptr;
    };

    /** State of one placement pass. */
    struct PlacementPass {
        TimePoint m_now; ///< Monotonic time of the pass.
        std::vector<bool> m_isReserved; ///< Whether each worker is reserved for a blocked step of higher urgency, by index.
        std::unordered_map<std::string, std::size_t> m_reservations; ///< Number of reserved workers, by pool.
    };

    /** @return Number of open tasks without an attempt. */
    std::uint32_t countUnplaced(const StepRun& run)
    {
        const auto isUnplaced = [](const Task& task) { return task.m_resolution == TaskResolution::Open && task.m_phase == RunPhase::None; };
        return static_cast<std::uint32_t>(std::count_if(run.m_tasks.begin(), run.m_tasks.end(), isUnplaced));
    }

    /** @return Monotonic time at which the job was accepted, or its occurrence became due. */
    TimePoint dueTimeOf(const Scheduler& scheduler, const StepRun& run)
    {
        const JobPlan& plan = run.m_job->m_plan;
        if (plan.m_occurrenceCount == 0)
            return run.m_job->m_acceptedAt;
        return plan.m_firstStart + plan.m_period * run.m_occurrence - scheduler.m_wallOffset;
    }

    /** @return Core-seconds that a job still needs; a GPU counts as eight cores. */
    double remainingWork(const Scheduler& scheduler, const Job& job)
    {
        constexpr double coresPerGpu = 8;
        double work = 0;
        for (const auto& run : job.m_runs) {
            const Resources& size = planOf(*run).m_size;
            const double cores = static_cast<double>(size.m_cpuMilli) / 1'000 + coresPerGpu * static_cast<double>(size.m_gpus);
            const double open = static_cast<double>(run->m_tasks.size() - run->m_doneCount);
            work += open * cores * static_cast<double>(predictRunTime(scheduler, job, run->m_step).m_ms) / 1'000;
        }
        return work;
    }

    Urgency stepUrgency(const Scheduler& scheduler, const StepRun& run, TimePoint now)
    {
        const Job& job = *run.m_job;
        const QueueSettings& queue = queueOf(scheduler, job);
        const Duration criticalPath = predictCriticalPath(scheduler, job);
        const auto objectiveMs = static_cast<std::int64_t>(queue.m_slackFactor * static_cast<double>(criticalPath.m_ms)) + queue.m_latencyTarget.m_ms;
        return urgencyOf({ .m_isLongRunning = planOf(run).m_isLongRunning,
                             .m_dueAt = dueTimeOf(scheduler, run),
                             .m_objective = { objectiveMs },
                             .m_remaining = predictCriticalPathFrom(scheduler, job, run.m_step),
                             .m_remainingWork = remainingWork(scheduler, job) },
            now);
    }

    bool hasLabel(const Worker& worker, const std::string& label)
    {
        return label.empty() || std::find(worker.m_announcement.m_labels.begin(), worker.m_announcement.m_labels.end(), label) != worker.m_announcement.m_labels.end();
    }

    Resources freeOf(const Worker& worker)
    {
        return worker.m_announcement.m_capacity - worker.m_granted;
    }

    /** @return Whether the worker may run tasks of the step and could hold one if it were empty. */
    bool isSuitable(const StepRun& run, const Worker& worker, TimePoint now)
    {
        return worker.m_announcement.m_pool == run.m_job->m_plan.m_pool && acceptsTasks(worker, now) && hasLabel(worker, planOf(run).m_label)
            && fitsInto(grantOf(run), worker.m_announcement.m_capacity);
    }

    /** @return Number of further tasks of the step that fit on a worker now. */
    std::uint32_t roomFor(const StepRun& run, WorkerIndex index, const Worker& worker)
    {
        const Resources size = grantOf(run);
        const Resources free = freeOf(worker);
        auto count = static_cast<std::int64_t>(run.m_tasks.size());
        if (size.m_cpuMilli > 0)
            count = std::min(count, free.m_cpuMilli / size.m_cpuMilli);
        if (size.m_memoryMb > 0)
            count = std::min(count, free.m_memoryMb / size.m_memoryMb);
        if (size.m_gpus > 0)
            count = std::min(count, free.m_gpus / size.m_gpus);
        if (const std::uint32_t limit = planOf(run).m_perWorkerLimit; limit > 0) {
            const auto found = run.m_attemptsByWorker.find(index);
            const std::uint32_t existing = found == run.m_attemptsByWorker.end() ? 0 : found->second;
            count = std::min<std::int64_t>(count, existing >= limit ? 0 : limit - existing);
        }
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, count));
    }

    /** @return Sum of the free fractions of each resource; GPUs count twice. */
    double freeShareOf(const Resources& left, const Resources& capacity)
    {
        const auto share = [](std::int64_t part, std::int64_t whole) { return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0; };
        return share(left.m_cpuMilli, capacity.m_cpuMilli) + share(left.m_memoryMb, capacity.m_memoryMb) + 2 * share(left.m_gpus, capacity.m_gpus);
    }

    /** @return Cost of placing serving and best-effort tasks on the same worker, where they slow each other down. */
    double interference(const StepPlan& plan, const Worker& worker)
    {
        constexpr double costPerInterferingTask = 2.0;
        double cost = 0;
        for (const TaskRef& ref : worker.m_tasks) {
            const StepPlan& other = planOf(*ref.m_run);
            if ((plan.m_isBestEffort && other.m_tailLatencyTarget.m_ms > 0) || (plan.m_tailLatencyTarget.m_ms > 0 && other.m_isBestEffort))
                cost += costPerInterferingTask;
        }
        return cost;
    }

    /** @return Weight of a worker's speed in its cost: jobs with little slack get fast workers, jobs with much slack leave them free. */
    double speedWeightOf(const QueueSettings& queue, Urgency urgency)
    {
        constexpr double tightSlack = 2;
        constexpr double looseSlack = 3;
        constexpr double tightWeight = 4;
        constexpr double middleWeight = 1;
        constexpr double looseWeight = 0.5;
        if (urgency.m_class != UrgencyClass::InTime || queue.m_slackFactor >= looseSlack)
            return looseWeight;
        return queue.m_slackFactor < tightSlack ? tightWeight : middleWeight;
    }

    /** @return Cost of running a task on a worker; the worker with the lowest cost is chosen. */
    double costOf(const Scheduler& scheduler, const StepRun& run, const Task& task, WorkerIndex index, double speedWeight)
    {
        constexpr double remoteWeight = 3.0;
        constexpr double failedOnWorkerWeight = 6.0;
        constexpr double failingWeight = 1.0;
        constexpr double colocationWeight = 0.5;
        const StepPlan& plan = planOf(run);
        const Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        double cost = freeShareOf(freeOf(worker) - grantOf(run), worker.m_announcement.m_capacity);
        cost += speedWeight * slowdownOf(worker);
        cost += failingWeight * worker.m_health.m_failures / (1 + worker.m_health.m_successes);
        cost += interference(plan, worker);
        if (!plan.m_dataRack.empty() && plan.m_dataRack != worker.m_rack)
            cost += remoteWeight * (scheduler.m_options.m_remoteFactor - 1);
        if (std::find(task.m_failedOn.begin(), task.m_failedOn.end(), index) != task.m_failedOn.end())
            cost += failedOnWorkerWeight;
        if (const auto found = run.m_attemptsByWorker.find(index); plan.m_isLongRunning && found != run.m_attemptsByWorker.end())
            cost += colocationWeight * found->second;
        return cost;
    }

    /** Workers that may run tasks of a step. */
    struct Candidates {
        std::vector<WorkerIndex> m_fitting; ///< Suitable workers; first those that have room for a task and are not reserved.
        std::size_t m_withRoom = 0; ///< Number of workers at the beginning of m_fitting that have room and are not reserved.
        std::vector<WorkerIndex> m_usable; ///< Workers with room that are not reserved and have a ticket where one is required.
        std::uint32_t m_usableRoom = 0; ///< Number of tasks that fit on the usable workers.
    };

    Candidates findWorkers(const Scheduler& scheduler, const StepRun& run, bool needsTicket, const PlacementPass& pass)
    {
        Candidates candidates;
        std::vector<WorkerIndex> full;
        for (WorkerIndex i = 0; i < static_cast<WorkerIndex>(scheduler.m_workers.size()); ++i) {
            const Worker& worker = scheduler.m_workers[static_cast<std::size_t>(i)];
            if (!isSuitable(run, worker, pass.m_now))
                continue;
            const std::uint32_t room = pass.m_isReserved[static_cast<std::size_t>(i)] ? 0 : roomFor(run, i, worker);
            (room > 0 ? candidates.m_fitting : full).push_back(i);
            if (room == 0 || (needsTicket && !hasTicket(run, i, pass.m_now)))
                continue;
            candidates.m_usable.push_back(i);
            candidates.m_usableRoom += room;
        }
        candidates.m_withRoom = candidates.m_fitting.size();
        candidates.m_fitting.insert(candidates.m_fitting.end(), full.begin(), full.end());
        return candidates;
    }

    /**
     * Places one task on the usable worker with the lowest cost.
     * @param usable Candidate workers; a worker that becomes full is removed.
     * @return Whether the task was placed.
     */
    bool placeOnCheapest(Scheduler& scheduler, StepRun& run, std::uint32_t index, std::vector<WorkerIndex>& usable, double speedWeight, TimePoint now)
    {
        std::size_t best = usable.size();
        double bestCost = 0;
        for (std::size_t i = 0; i < usable.size(); ++i) {
            const double cost = costOf(scheduler, run, run.m_tasks[index], usable[i], speedWeight);
            if (best == usable.size() || cost < bestCost) {
                best = i;
                bestCost = cost;
            }
        }
        if (best == usable.size())
            return false;
        const WorkerIndex worker = usable[best];
        const auto ticket = run.m_approval.m_approved.find(worker);
        placeTask(scheduler, { &run, index }, worker, ticket == run.m_approval.m_approved.end() ? std::string() : ticket->second.first, now);
        if (roomFor(run, worker, scheduler.m_workers[static_cast<std::size_t>(worker)]) == 0)
            usable.erase(usable.begin() + static_cast<std::ptrdiff_t>(best));
        return true;
    }

    /** Gives all members of a gang the same attempt number and the checkpoint with the most progress. */
    void alignGang(StepRun& run)
    {
        std::uint32_t attempt = 0;
        const Task* mostAdvanced = nullptr;
        for (const Task& task : run.m_tasks) {
            attempt = std::max(attempt, task.m_attempt);
            if (!task.m_checkpoint.empty() && (!mostAdvanced || task.m_percent > mostAdvanced->m_percent))
                mostAdvanced = &task;
        }
        const std::string checkpoint = mostAdvanced ? mostAdvanced->m_checkpoint : std::string();
        for (Task& task : run.m_tasks) {
            task.m_attempt = attempt;
            task.m_checkpoint = checkpoint;
        }
    }

    /** Restricts the usable workers to one rack if the step prefers that and some rack has room for all tasks. */
    void restrictToOneRack(const Scheduler& scheduler, const StepRun& run, Candidates& candidates)
    {
        if (!planOf(run).m_isRackLocal)
            return;
        std::unordered_map<std::string, std::vector<WorkerIndex>> byRack;
        for (const WorkerIndex worker : candidates.m_usable)
            byRack[scheduler.m_workers[static_cast<std::size_t>(worker)].m_rack].push_back(worker);
        for (auto& [rack, workers] : byRack) {
            std::uint32_t room = 0;
            for (const WorkerIndex worker : workers)
                room += roomFor(run, worker, scheduler.m_workers[static_cast<std::size_t>(worker)]);
            if (room >= run.m_tasks.size()) {
                candidates.m_usable = workers;
                return;
            }
        }
    }

    /** @return Whether all members of a gang would fit on its approved candidate workers if those were empty. */
    bool wouldFitIfEmpty(const Scheduler& scheduler, const StepRun& run, std::uint32_t tasks, bool needsTicket, const Candidates& candidates)
    {
        std::int64_t room = 0;
        const Resources size = grantOf(run);
        for (const WorkerIndex index : candidates.m_fitting) {
            if (needsTicket && !run.m_approval.m_approved.contains(index))
                continue;
            const Resources& capacity = scheduler.m_workers[static_cast<std::size_t>(index)].m_announcement.m_capacity;
            std::int64_t here = tasks;
            if (size.m_cpuMilli > 0)
                here = std::min(here, capacity.m_cpuMilli / size.m_cpuMilli);
            if (size.m_memoryMb > 0)
                here = std::min(here, capacity.m_memoryMb / size.m_memoryMb);
            if (size.m_gpus > 0)
                here = std::min(here, capacity.m_gpus / size.m_gpus);
            room += here;
        }
        return room >= tasks;
    }

    /** Reserves the workers with the most free resources for a blocked step of large tasks, so that streams of small tasks don't starve it. */
    void reserveFor(const Scheduler& scheduler, StepRun& run, std::uint32_t tasks, bool needsTicket, const Candidates& candidates, PlacementPass& pass)
    {
        const StepPlan& plan = planOf(run);
        constexpr Duration maxReservationTime { 30'000 }; ///< A step that can't be placed within this time must not keep others from running.
        if (plan.m_isGang && !wouldFitIfEmpty(scheduler, run, tasks, needsTicket, candidates))
            return;
        if (run.m_reservingSince.m_ms == 0)
            run.m_reservingSince = pass.m_now;
        if (pass.m_now - run.m_reservingSince > maxReservationTime)
            return;
        constexpr std::size_t reservationDivisor = 3; ///< At most 1/reservationDivisor of the candidate workers are reserved.
        std::size_t& reserved = pass.m_reservations[run.m_job->m_plan.m_pool];
        const std::size_t maxReserved = candidates.m_fitting.size() / reservationDivisor;
        constexpr int largeTaskDivisor = 4; ///< A task is large when it needs at least 1/largeTaskDivisor of a worker's CPU or GPUs.
        std::vector<std::pair<double, WorkerIndex>> byFreeShare; // Free shares are negated, so that the workers with the most free resources come first.
        for (const WorkerIndex index : candidates.m_fitting) {
            const Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
            const Resources& capacity = worker.m_announcement.m_capacity;
            const bool isLarge = plan.m_size.m_cpuMilli * largeTaskDivisor >= capacity.m_cpuMilli || (capacity.m_gpus > 0 && plan.m_size.m_gpus * largeTaskDivisor >= capacity.m_gpus);
            const bool isApproved = !needsTicket || run.m_approval.m_approved.contains(index);
            if (!isLarge || !isApproved || pass.m_isReserved[static_cast<std::size_t>(index)])
                continue;
            byFreeShare.emplace_back(-freeShareOf(freeOf(worker), capacity), index);
        }
        std::sort(byFreeShare.begin(), byFreeShare.end());
        for (std::size_t i = 0; i < byFreeShare.size() && i < tasks && reserved < maxReserved; ++i, ++reserved)
            pass.m_isReserved[static_cast<std::size_t>(byFreeShare[i].second)] = true;
    }

    /**
     * Places the tasks of a step; when some can't be placed, requests approvals and reserves workers for them.
     * @return Whether all tasks of the step have a worker now.
     */
    bool placeStep(Scheduler& scheduler, StepRun& run, Urgency urgency, PlacementPass& pass, SchedulerEffects& effects)
    {
        std::uint32_t toPlace = countUnplaced(run);
        const bool isGang = planOf(run).m_isGang;
        if (toPlace == 0 || (isGang && run.m_activeAttempts > 0))
            return toPlace == 0;
        const auto& policy = queueOf(scheduler, *run.m_job).m_approval;
        Candidates candidates = findWorkers(scheduler, run, policy.has_value(), pass);
        const double speedWeight = speedWeightOf(queueOf(scheduler, *run.m_job), urgency);
        if (isGang && candidates.m_usableRoom >= toPlace) {
            restrictToOneRack(scheduler, run, candidates);
            alignGang(run);
        }
        const bool mayPlace = !isGang || candidates.m_usableRoom >= toPlace;
        for (std::uint32_t i = 0; mayPlace && i < run.m_tasks.size(); ++i) {
            if (run.m_tasks[i].m_resolution != TaskResolution::Open || run.m_tasks[i].m_phase != RunPhase::None)
                continue;
            if (!placeOnCheapest(scheduler, run, i, candidates.m_usable, speedWeight, pass.m_now))
                break;
            --toPlace;
        }
        if (toPlace == 0)
            return true;
        if (policy)
            requestApprovals(scheduler, run, *policy, candidates.m_fitting, candidates.m_withRoom, pass.m_now, effects);
        reserveFor(scheduler, run, toPlace, policy.has_value(), candidates, pass);
        return false;
    }

} // namespace

void placeWaiting(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects)
{
    scheduler.m_needsPlacing = false;
    scheduler.m_placedAt = now;
    std::vector<RankedStep> ranked;
    std::vector<StepRun*> remaining;
    for (StepRun* run : scheduler.m_waitingSteps) {
        run->m_isWaiting = !isFinal(run->m_job->m_stage) && countUnplaced(*run) > 0;
        if (!run->m_isWaiting)
            continue;
        remaining.push_back(run);
        if (run->m_isReleased)
            ranked.push_back({ stepUrgency(scheduler, *run, now), run });
    }
    scheduler.m_waitingSteps = std::move(remaining);
    if (ranked.empty())
        return;
    std::sort(ranked.begin(), ranked.end(), [](const RankedStep& one, const RankedStep& other) { return one.m_urgency < other.m_urgency; });
    PlacementPass pass { .m_now = now, .m_isReserved = std::vector<bool>(scheduler.m_workers.size(), false), .m_reservations = {} };
    std::size_t blocked = 0;
    for (const RankedStep& step : ranked) {
        if (!placeStep(scheduler, *step.m_run, step.m_urgency, pass, effects) && ++blocked > maxBlockedSteps)
            break;
    }
}

} // namespace bulrushloft::scheduler::detail
