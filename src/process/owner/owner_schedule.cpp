/** @file owner_schedule.cpp The scheduling pass: decides on which workers waiting tasks run and in which order they are placed. */
#include "process/owner/owner_detail.h"

#include "core/hash_func.h"
#include "process/journal/shard_state_func.h"
#include "process/owner/health_func.h"
#include "request/estimate_func.h"
#include "request/job_func.h"
#include "request/placement_func.h"

#include <algorithm>
#include <queue>

namespace bulrushloft::detail {

namespace {

    constexpr std::uint32_t maxTasksPerTurn = 8;
    constexpr std::size_t maxPlacementsPerPass = 2'000;
    constexpr Duration passInterval { 2 };
    constexpr double minCapacity = 1.0;
    constexpr Duration maxLearnedSizeWait { 10'000 };

    /** A waiting job's turn to have tasks placed; operator< orders by urgency. */
    struct Turn {
        std::int64_t m_priority = 0; ///< Priority of its class, raised the longer the job waits.
        double m_share = 0; ///< Dominant share of its team divided by the team's weight; smaller shares go first.
        JobNumber m_job; ///< The job; older jobs go first among equals.

        bool operator<(const Turn& other) const
        {
            if (m_priority != other.m_priority)
                return m_priority < other.m_priority;
            if (m_share != other.m_share)
                return m_share > other.m_share;
            return m_job > other.m_job;
        }
    };

    /** State of one scheduling pass. */
    struct Pass {
        std::vector<WorkerOffer> m_offers; ///< Workers that accept tasks.
        Resources m_total; ///< Sum of the capacities of those workers.
        std::vector<Resources> m_unplaceableSizes; ///< Task sizes for which no worker was found in this pass.
        std::size_t m_placed = 0; ///< Number of tasks placed so far.
        TimePoint m_now; ///< Monotonic time of the pass.
        bool m_isUnjournaled = false; ///< Whether idempotent tasks start before their placement is recorded.
    };

    std::uint32_t hashName(const std::string& name)
    {
        return static_cast<std::uint32_t>(stableHash(name));
    }

    bool acceptsTasks(const ShardOwner& owner, const Worker& worker, TimePoint now)
    {
        return worker.m_link == LinkState::Adopted && worker.m_isListed && !isLeaving(owner, worker) && isHealthy(worker, now);
    }

    Pass beginPass(const ShardOwner& owner, TimePoint now)
    {
        Pass pass;
        pass.m_now = now;
        pass.m_isUnjournaled = mayStartTasksUnjournaled(owner, now);
        for (std::size_t index = 0; index < owner.m_workers.size(); ++index) {
            const Worker& worker = owner.m_workers[index];
            if (!acceptsTasks(owner, worker, now))
                continue;
            pass.m_offers.push_back({ .m_free = worker.m_capacity - worker.m_granted, .m_capacity = worker.m_capacity, .m_zone = hashName(worker.m_vm.m_zone), .m_rack = hashName(worker.m_vm.m_rack), .m_worker = index });
            pass.m_total = pass.m_total + worker.m_capacity;
        }
        return pass;
    }

    double dominantShare(const Resources& granted, const Resources& total)
    {
        const auto fraction = [](std::int64_t amount, std::int64_t whole) {
            return static_cast<double>(amount) / std::max(static_cast<double>(whole), minCapacity);
        };
        return std::max({ fraction(granted.m_cpuMilli, total.m_cpuMilli), fraction(granted.m_memoryMb, total.m_memoryMb), fraction(granted.m_gpus, total.m_gpus) });
    }

    const ClassPolicy& classOf(const ShardOwner& owner, const JobSpec& spec)
    {
        static const ClassPolicy fallback;
        const auto found = owner.m_policy->m_classes.find(spec.m_workClass);
        return found == owner.m_policy->m_classes.end() ? fallback : found->second;
    }

    Turn turnOf(ShardOwner& owner, const Pass& pass, const Job& job, const QueuedJob& queued)
    {
        const ClassPolicy& workClass = classOf(owner, job.m_spec);
        const auto team = owner.m_policy->m_teams.find(job.m_spec.m_team);
        const std::int64_t weight = team == owner.m_policy->m_teams.end() ? 1 : team->second.m_weight;
        const std::int64_t aging = (pass.m_now - queued.m_waitingSince).m_ms / std::max<std::int64_t>(workClass.m_agingInterval.m_ms, 1);
        return { .m_priority = workClass.m_priority + aging,
            .m_share = dominantShare(owner.m_teams[job.m_spec.m_team].m_granted, pass.m_total) / static_cast<double>(std::max<std::int64_t>(weight, 1)),
            .m_job = job.m_number };
    }

    bool isWithinQuota(ShardOwner& owner, const JobSpec& spec, const Resources& more)
    {
        const auto team = owner.m_policy->m_teams.find(spec.m_team);
        if (team == owner.m_policy->m_teams.end())
            return true;
        const auto quota = team->second.m_quota.find(owner.m_pool);
        if (quota == team->second.m_quota.end())
            return true;
        const Resources wanted = owner.m_teams[spec.m_team].m_granted + more;
        return fitsInto(wanted * static_cast<std::int64_t>(owner.m_poolShards), quota->second);
    }

    bool isKnownUnplaceable(const Pass& pass, const Resources& size)
    {
        return std::any_of(pass.m_unplaceableSizes.begin(), pass.m_unplaceableSizes.end(), [&size](const Resources& unplaceable) { return fitsInto(unplaceable, size); });
    }

    /**
     * @return The learned size of a task. The declared one is used instead if the learned one is larger and either fits on no
     * worker or has kept the job waiting for long; the declared size was checked at submission.
     */
    Resources taskSize(const ShardOwner& owner, const JobSpec& spec, Duration waited)
    {
        const auto usage = owner.m_state.m_usage.find(usageKey(spec));
        const Resources size = estimateSize(usage == owner.m_state.m_usage.end() ? nullptr : &usage->second, spec.m_declared);
        const bool isLarger = !fitsInto(size, spec.m_declared);
        const bool isTooLarge = isLarger && (waited > maxLearnedSizeWait || countFittingTasks(owner, size) == 0);
        return isTooLarge ? spec.m_declared : size;
    }

    SpreadCounts countPlaced(const ShardOwner& owner, const Job& job)
    {
        SpreadCounts counts;
        for (std::uint32_t task = 0; task < job.m_tasks.size(); ++task) {
            for (const std::uint32_t attempt : { job.m_tasks[task].m_attempt, job.m_tasks[task].m_attempt + 1 }) {
                const auto run = owner.m_runs.find({ .m_job = job.m_number, .m_task = task, .m_attempt = attempt });
                if (run == owner.m_runs.end())
                    continue;
                const VmInfo& vm = owner.m_workers[run->second.m_worker].m_vm;
                addToSpreadCounts(counts, { .m_zone = hashName(vm.m_zone), .m_rack = hashName(vm.m_rack), .m_worker = run->second.m_worker });
            }
        }
        return counts;
    }

    /** @return Workers on which tasks of the job failed before any of its tasks had succeeded. */
    std::vector<std::size_t> workersToAvoid(const ShardOwner& owner, const Job& job)
    {
        std::vector<std::size_t> avoid;
        for (const WorkerIndex failed : job.m_failedWorkers) {
            const std::string& nameWithBoot = owner.m_state.m_workerNames[failed];
            const auto found = owner.m_workerIndex.find(nameWithBoot.substr(0, nameWithBoot.rfind('/')));
            if (found != owner.m_workerIndex.end())
                avoid.push_back(found->second);
        }
        return avoid;
    }

    /** Places a task's next attempt on a worker. @return The placement to record. */
    TaskPlacement place(ShardOwner& owner, Pass& pass, const Job& job, std::uint32_t task, std::size_t offer, const Resources& size)
    {
        WorkerOffer& chosenOffer = pass.m_offers[offer];
        chosenOffer.m_free = chosenOffer.m_free - size;
        Worker& worker = owner.m_workers[chosenOffer.m_worker];
        TaskRun run { .m_ref = { .m_job = job.m_number, .m_task = task, .m_attempt = job.m_tasks[task].m_attempt + 1 }, .m_worker = chosenOffer.m_worker, .m_grant = size };
        run.m_boot = worker.m_boot;
        run.m_isHeldStart = job.m_spec.m_kind == JobKind::Gang;
        run.m_queuedAt = owner.m_queue.at(job.m_number).m_waitingSince;
        run.m_placedAt = pass.m_now;
        const bool startsNow = pass.m_isUnjournaled && job.m_spec.m_isIdempotent && !run.m_isHeldStart;
        if (startsNow) {
            run.m_phase = RunPhase::Ready;
            run.m_isUnjournaled = true;
            worker.m_starts.push_back(run.m_ref);
            requestSync(owner, chosenOffer.m_worker);
        }
        addRun(owner, run);
        ++pass.m_placed;
        ++owner.m_counters.m_placements;
        return { .m_ref = run.m_ref, .m_worker = nameWithBoot(worker), .m_grant = size };
    }

    void finishTurn(ShardOwner& owner, const Job& job, std::vector<TaskPlacement> placements)
    {
        const auto queued = owner.m_queue.find(job.m_number);
        owner.m_teams[job.m_spec.m_team].m_waitingTasks -= static_cast<std::int64_t>(placements.size());
        if (queued->second.m_tasks.empty())
            owner.m_queue.erase(queued);
        if (!placements.empty())
            queueRecord(owner, PlaceRecord { std::move(placements) });
    }

    /** Chooses a worker; excluded workers are chosen only if no other fits. */
    std::size_t choosePreferred(const std::vector<WorkerOffer>& offers, PlacementQuery query, std::mt19937_64& random)
    {
        const std::size_t offer = chooseWorker(offers, query, random);
        if (offer != noOffer || !query.m_excludedWorkers)
            return offer;
        query.m_excludedWorkers = nullptr;
        return chooseWorker(offers, query, random);
    }

    /** Places up to maxTasksPerTurn tasks of a job. @return Whether the job may get another turn in this pass. */
    bool placeTurn(ShardOwner& owner, Pass& pass, const Job& job)
    {
        QueuedJob& queued = owner.m_queue.at(job.m_number);
        const Resources size = taskSize(owner, job.m_spec, pass.m_now - queued.m_waitingSince);
        const std::vector<std::size_t> avoid = workersToAvoid(owner, job);
        PlacementQuery query { .m_size = size, .m_policy = classOf(owner, job.m_spec).m_placement };
        SpreadCounts spread;
        if (query.m_policy == PlacementPolicy::Spread) {
            spread = countPlaced(owner, job);
            query.m_spreadCounts = &spread;
        }
        if (!avoid.empty())
            query.m_excludedWorkers = &avoid;
        std::vector<TaskPlacement> placements;
        bool canContinue = true;
        while (placements.size() < maxTasksPerTurn && !queued.m_tasks.empty()) {
            canContinue = isWithinQuota(owner, job.m_spec, size) && !isKnownUnplaceable(pass, size);
            const std::size_t offer = canContinue ? choosePreferred(pass.m_offers, query, owner.m_random) : noOffer;
            if (offer == noOffer) {
                if (canContinue)
                    pass.m_unplaceableSizes.push_back(size);
                canContinue = false;
                break;
            }
            addToSpreadCounts(spread, pass.m_offers[offer]);
            const std::uint32_t task = queued.m_tasks.front();
            queued.m_tasks.pop_front();
            placements.push_back(place(owner, pass, job, task, offer, size));
        }
        canContinue = canContinue && !queued.m_tasks.empty();
        finishTurn(owner, job, std::move(placements));
        return canContinue;
    }

    /** Places all tasks of a gang or none. */
    void placeGang(ShardOwner& owner, Pass& pass, const Job& job)
    {
        QueuedJob& queued = owner.m_queue.at(job.m_number);
        Resources size = taskSize(owner, job.m_spec, pass.m_now - queued.m_waitingSince);
        const bool isTooLarge = countFittingTasks(owner, size) < static_cast<std::int64_t>(queued.m_tasks.size());
        if (isTooLarge)
            size = job.m_spec.m_declared;
        if (!isWithinQuota(owner, job.m_spec, size * static_cast<std::int64_t>(queued.m_tasks.size())))
            return;
        const PlacementQuery query { .m_size = size, .m_policy = classOf(owner, job.m_spec).m_placement };
        std::vector<WorkerOffer> trialOffers = pass.m_offers;
        std::vector<std::size_t> chosen;
        while (chosen.size() < queued.m_tasks.size()) {
            const std::size_t offer = chooseWorker(trialOffers, query, owner.m_random);
            if (offer == noOffer)
                return;
            trialOffers[offer].m_free = trialOffers[offer].m_free - size;
            chosen.push_back(offer);
        }
        std::vector<TaskPlacement> placements;
        for (const std::size_t offer : chosen) {
            const std::uint32_t task = queued.m_tasks.front();
            queued.m_tasks.pop_front();
            placements.push_back(place(owner, pass, job, task, offer, size));
        }
        finishTurn(owner, job, std::move(placements));
    }

    /** @param mustHoldInherited Whether idempotent jobs of earlier terms must wait, as a worker may still run their tasks without a record. */
    bool mayPlace(const ShardOwner& owner, const Job& job, bool mustHoldInherited, TimePoint now)
    {
        const bool isFromEarlierTerm = job.m_acceptedEpoch != owner.m_state.m_epoch;
        if (mustHoldInherited && isFromEarlierTerm && job.m_spec.m_isIdempotent)
            return false;
        if (!isLogSlow(owner, now))
            return true;
        const bool isClosing = owner.m_closingRecords.contains(job.m_number);
        return mayStartTasksUnjournaled(owner, now) && job.m_spec.m_isIdempotent && job.m_spec.m_kind != JobKind::Gang && !isClosing;
    }

} // namespace

void schedule(ShardOwner& owner, TimePoint now)
{
    if (owner.m_isTermOver || owner.m_isReleasing || now < owner.m_nextScheduleAt || owner.m_queue.empty())
        return;
    if (!owner.m_isScheduleDue || now < owner.m_pausedUntil)
        return;
    owner.m_isScheduleDue = false;
    owner.m_nextScheduleAt = now + passInterval;
    const std::int64_t startedAt = steadyMicroseconds();
    Pass pass = beginPass(owner, now);
    const bool mustHoldInherited = owner.m_mayHaveUnjournaledTasks && hasUnresolvedWorker(owner, now);
    std::priority_queue<Turn> turns;
    for (const auto& [number, queued] : owner.m_queue) {
        const Job* const job = findJob(owner.m_state, number);
        if (job && mayPlace(owner, *job, mustHoldInherited, now))
            turns.push(turnOf(owner, pass, *job, queued));
    }
    while (!turns.empty() && pass.m_placed < maxPlacementsPerPass && !pass.m_offers.empty()) {
        const JobNumber number = turns.top().m_job;
        turns.pop();
        const Job& job = owner.m_state.m_jobs.at(number);
        if (job.m_spec.m_kind == JobKind::Gang)
            placeGang(owner, pass, job);
        else if (placeTurn(owner, pass, job))
            turns.push(turnOf(owner, pass, job, owner.m_queue.at(number)));
    }
    if (pass.m_placed >= maxPlacementsPerPass)
        owner.m_isScheduleDue = true;
    if (pass.m_placed == 0)
        return;
    const double seconds = static_cast<double>(steadyMicroseconds() - startedAt) / 1e6 / static_cast<double>(pass.m_placed);
    owner.m_observations.push_back({ .m_span = ObservedSpan::Decision, .m_team = {}, .m_workClass = {}, .m_seconds = seconds });
}

} // namespace bulrushloft::detail
