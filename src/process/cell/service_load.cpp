/** @file service_load.cpp Collection of the load of pools from the scheduler's state. */
#include "process/cell/service_load.h"

#include "process/scheduler/approval_proxy.h"
#include "process/scheduler/approvals.h"
#include "process/scheduler/scheduler_detail.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    using namespace scheduler;

    constexpr std::size_t maxSteps = 2'000; ///< Steps looked at in one collection; about 1 ms on a slow VM.

    ResourceSums toSums(const Resources& size, double factor)
    {
        return { static_cast<double>(size.m_cpuMilli) * factor, static_cast<double>(size.m_memoryMb) * factor, static_cast<double>(size.m_gpus) * factor };
    }

    void add(ResourceSums& sums, const ResourceSums& other)
    {
        for (std::size_t i = 0; i < sums.size(); ++i)
            sums[i] += other[i];
    }

    /** @return Whether a worker can be expected to run tasks soon. One that was silent for a short time, or that this leader has not reached yet, counts. */
    bool isCapacity(const Worker& worker, TimePoint now)
    {
        constexpr Duration shortSilence { 5'000 };
        if (!worker.m_isAnnounced || worker.m_announcement.m_isDraining || worker.m_state == WorkerState::Gone || worker.m_health.m_quarantinedUntil > now)
            return false;
        return worker.m_state != WorkerState::Silent || now - worker.m_answeredAt <= shortSilence;
    }

    void addWorker(PoolLoad& pool, const Worker& worker, TimePoint now)
    {
        add(pool.m_capacity, toSums(worker.m_announcement.m_capacity, 1));
        for (const TaskRef& ref : worker.m_tasks) {
            if (detail::planOf(*ref.m_run).m_isLongRunning)
                add(pool.m_capacity, toSums(detail::grantOf(*ref.m_run), -1));
        }
        const Resources free = worker.m_announcement.m_capacity - worker.m_granted;
        if (detail::acceptsTasks(worker, now) && fitsInto(pool.m_smallest, free))
            add(pool.m_free, toSums(free, 1));
    }

    /**
     * While calls take longer than expected, requests queue up at the VMs, so those that are under way count as well as those still to be sent.
     * @return Time of the requests that a waiting step has sent, or needs to send next if it has neither approvals nor a request under way.
     */
    double callTimeOf(const StepRun& run, const std::optional<ApprovalPolicy>& policy, std::uint32_t tasks)
    {
        constexpr std::size_t maxNames = 30; // As the scheduler limits requests.
        const std::uint32_t requests = std::max(run.m_approval.m_pendingRequests, run.m_approval.m_tickets.empty() ? 1U : 0U);
        if (!policy || requests == 0)
            return 0;
        return requests * static_cast<double>(detail::approvalRequestDuration(*policy, std::min<std::size_t>(tasks, maxNames)).m_ms);
    }

    /** @return How long a task of the step has waited, judged by the first and the last one. */
    Duration waitOf(const StepRun& run, TimePoint now)
    {
        Duration wait;
        for (const Task* const task : { &run.m_tasks.front(), &run.m_tasks.back() }) {
            if (task->m_resolution == TaskResolution::Open && task->m_phase == RunPhase::None)
                wait = std::max(wait, now - task->m_waitingSince);
        }
        return wait;
    }

    /** @return What the urgency of a step follows from. One that the cap of its customer has held back since its release has not been ranked yet. */
    UrgencyInput urgencyInputOf(const StepRun& run)
    {
        if (run.m_urgencyInputAt.m_ms > 0)
            return run.m_urgencyInput;
        const Job& job = *run.m_job;
        const QueuePolicy& queue = detail::queuePolicyOf(job);
        const Duration objective = Duration { static_cast<std::int64_t>(queue.m_slackFactor * static_cast<double>(job.m_criticalPath.m_ms)) } + queue.m_latencyTarget;
        return { .m_isLongRunning = detail::planOf(run).m_isLongRunning, .m_dueAt = job.m_acceptedAt, .m_objective = objective, .m_remaining = job.m_criticalPath };
    }

    /** @return Band of a waiting step; nothing for overdue ones, which are placed after all others. */
    std::optional<std::size_t> bandOfStep(const StepRun& run, TimePoint now)
    {
        const Urgency urgency = urgencyOf(urgencyInputOf(run), now);
        switch (urgency.m_class) {
        case UrgencyClass::LongRunning:
            return 0;
        case UrgencyClass::InTime:
            return bandOf(urgency.m_key - now);
        case UrgencyClass::Late:
            return lateBand;
        case UrgencyClass::Overdue:
            break;
        }
        return std::nullopt;
    }

    /** Adds a waiting step to its pool. @param factor Number of waiting steps for which it stands. */
    void addStep(const Scheduler& scheduler, PoolLoad& pool, const StepRun& run, double factor, TimePoint now)
    {
        const std::uint32_t tasks = detail::countUnplaced(run);
        const auto band = bandOfStep(run, now);
        if (tasks == 0 || !band)
            return;
        BandLoad& load = pool.m_bands[*band];
        const Resources size = detail::grantOf(run);
        pool.m_smallest = { .m_cpuMilli = std::min(pool.m_smallest.m_cpuMilli, size.m_cpuMilli), .m_memoryMb = std::min(pool.m_smallest.m_memoryMb, size.m_memoryMb), .m_gpus = std::min(pool.m_smallest.m_gpus, size.m_gpus) };
        const double sizeFactor = factor * tasks;
        // A long-running task never gives its place back, so it adds no work; its size keeps the free resources from counting.
        const bool isLongRunning = detail::planOf(run).m_isLongRunning;
        // A task holds its resources from its placement on, and runs only when the record of that is durable.
        const double holdMs = isLongRunning ? 0 : static_cast<double>(detail::predictRunTime(scheduler, *run.m_job, run.m_step).m_ms) + scheduler.m_meanRecordMs;
        add(load.m_size, toSums(size, sizeFactor));
        add(load.m_work, toSums(size, sizeFactor * holdMs));
        const auto& policy = detail::queuePolicyOf(*run.m_job).m_approval;
        const double callMs = callTimeOf(run, policy, tasks) * factor;
        (policy && detail::isSlowPolicy(*policy) ? load.m_slowCallMs : load.m_quickCallMs) += callMs;
        if (!isLongRunning)
            pool.m_oldestWait = std::max(pool.m_oldestWait, waitOf(run, now));
    }

    void addSteps(const Scheduler& scheduler, ServiceLoad& load, TimePoint now)
    {
        const std::size_t count = scheduler.m_waitingSteps.size();
        const std::size_t stride = (count + maxSteps - 1) / maxSteps;
        // The first step differs from one collection to the next, so that no kind of step is left out for long.
        for (std::size_t i = stride <= 1 ? 0 : static_cast<std::size_t>(now.m_ms) % stride; i < count; i += stride) {
            const StepRun& run = *scheduler.m_waitingSteps[i];
            if (!run.m_isReleased || isFinal(run.m_job->m_stage))
                continue;
            // A step that waits for room under a cap takes nothing from others in its pool meanwhile.
            const bool isHeld = run.m_heldAtRelease != 0;
            const bool isRanked = run.m_urgencyInputAt.m_ms > 0;
            if (isRanked && !isHeld)
                addStep(scheduler, load.m_pools[detail::poolOf(*run.m_job)], run, static_cast<double>(stride), now);
            const CustomerUsage* const customer = run.m_job->m_customer;
            if (customer && !(customer->m_cap == Resources {}) && (isRanked || isHeld))
                addStep(scheduler, load.m_customers[customer->m_name], run, static_cast<double>(stride), now);
        }
    }

    /** Takes the caps of customers as the capacity for their work. An amount of 0 is no limit, so that nothing waits for it. */
    void addCaps(const Scheduler& scheduler, ServiceLoad& load)
    {
        for (auto& [name, customerLoad] : load.m_customers) {
            const CustomerUsage& customer = scheduler.m_customers.at(name);
            customerLoad.m_capacity = toSums(customer.m_cap, 1);
            customerLoad.m_free = toSums(customer.m_cap - customer.m_running, 1);
        }
    }

} // namespace

ServiceLoad collectLoad(const Scheduler& scheduler, double callSlowdown, TimePoint now)
{
    ServiceLoad load { .m_pools = {}, .m_callSlowdown = callSlowdown };
    if (scheduler.m_waitingSteps.empty())
        return load;
    addSteps(scheduler, load, now);
    for (const WorkerIndex index : scheduler.m_activeWorkers) {
        const Worker& worker = scheduler.m_workers[static_cast<std::size_t>(index)];
        const auto pool = load.m_pools.find(worker.m_announcement.m_pool);
        if (pool != load.m_pools.end() && isCapacity(worker, now))
            addWorker(pool->second, worker, now);
    }
    addCaps(scheduler, load);
    std::erase_if(load.m_pools, [](const auto& entry) { return entry.second.m_capacity == ResourceSums {}; });
    const std::size_t vms = scheduler.m_approvalProxies.size();
    load.m_quickVms = static_cast<double>(vms - std::min(vms, detail::countSlowProxies(scheduler)));
    load.m_slowVms = static_cast<double>(vms - std::min(vms, detail::countReservedProxies(scheduler)));
    return load;
}

Duration loadInterval(const Scheduler& scheduler)
{
    constexpr Duration shortest { 100 };
    constexpr std::size_t stepsPerMs = 20;
    constexpr Duration longest { 300 }; // Far below the age from which on an estimate counts for less.
    return std::min(longest, shortest + Duration { static_cast<std::int64_t>(scheduler.m_waitingSteps.size() / stepsPerMs) });
}

SubmissionNeed needOf(const Scheduler& scheduler, JobPlan& plan)
{
    SubmissionNeed need;
    need.m_pool = detail::poolFor(scheduler, plan);
    need.m_customer = plan.m_customer;
    for (const StepPlan& step : plan.m_steps) {
        if (!step.m_predecessors.empty())
            continue;
        need.m_uses[0] |= !step.m_isBestEffort && step.m_size.m_cpuMilli > 0;
        need.m_uses[1] |= step.m_size.m_memoryMb > 0;
        need.m_uses[2] |= step.m_size.m_gpus > 0;
    }
    const QueuePolicy queue = detail::queuePolicyFor(scheduler, plan); // A copy, as it may be that of the plan.
    Job job;
    job.m_plan = std::move(plan);
    need.m_criticalPath = detail::predictCriticalPath(scheduler, job);
    need.m_objective = Duration { static_cast<std::int64_t>(queue.m_slackFactor * static_cast<double>(need.m_criticalPath.m_ms)) } + queue.m_latencyTarget;
    need.m_needsApproval = queue.m_approval.has_value();
    need.m_isSlowCall = queue.m_approval && detail::isSlowPolicy(*queue.m_approval);
    plan = std::move(job.m_plan);
    return need;
}

bool isEstimable(const JobPlan& plan, TimePoint wallNow)
{
    const bool isLongRunning = std::any_of(plan.m_steps.begin(), plan.m_steps.end(), [](const StepPlan& step) { return step.m_isLongRunning; });
    return !plan.m_steps.empty() && !isLongRunning && plan.m_occurrenceCount == 0 && plan.m_firstStart <= wallNow;
}

double averageSlowdown(const Scheduler& scheduler, const ApprovalRequest& request, double former, TimePoint sentAt, TimePoint now)
{
    constexpr double newWeight = 0.1;
    constexpr double longest = 10;
    const auto job = scheduler.m_jobs.find(request.m_step.m_job);
    if (job == scheduler.m_jobs.end())
        return former;
    const auto& policy = detail::queuePolicyOf(*job->second).m_approval;
    if (!policy)
        return former;
    const double expected = std::max(1.0, static_cast<double>(detail::approvalRequestDuration(*policy, request.m_workers.size()).m_ms));
    const auto proxy = std::find_if(scheduler.m_approvalProxies.begin(), scheduler.m_approvalProxies.end(), [&](const ApprovalProxy& each) { return each.m_member == request.m_member; });
    const TimePoint begunAt = proxy == scheduler.m_approvalProxies.end() ? sentAt : std::max(sentAt, proxy->m_answeredAt);
    return former + newWeight * (std::clamp(static_cast<double>((now - begunAt).m_ms) / expected, 1.0, longest) - former);
}

} // namespace bulrushloft::cell
