/** @file share_order.cpp Hooks of the customers' shares in placement passes and approval requests. */
#include "process/scheduler/share_order.h"

#include "process/scheduler/approvals.h"
#include "process/scheduler/customer_share.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/stray_attempt.h"

#include <algorithm>

namespace bulrushloft::scheduler::detail {

namespace {

    constexpr Duration shortageMemory { 1'000 }; ///< Shortages come and go with each task that ends; the order must not change with them.

    /** A group of steps that are compared with each other. */
    using GroupKey = std::tuple<std::string_view, UrgencyClass, int>;

    /** Collects the steps in the form that orderByShare() takes. */
    class ShareInput {
    public:
        ShareInput(const Scheduler& scheduler, TimePoint now)
            : m_scheduler(scheduler)
            , m_now(now)
        {
        }

        void add(const RankedStep& ranked)
        {
            const Job& job = *ranked.m_run->m_job;
            const auto pool = m_scheduler.m_pools.find(poolOf(job));
            const bool isShort = pool != m_scheduler.m_pools.end() && m_now < pool->second.m_shortUntil;
            if (!job.m_customer || !isShort)
                return m_steps.push_back({});
            const QueuePolicy& queue = queuePolicyOf(job);
            ShareStep step { .m_group = m_groups.try_emplace(GroupKey { poolOf(job), ranked.m_urgency.m_class, queue.m_priority }, m_groups.size()).first->second, .m_customer = positionOf(*job.m_poolUsage, pool->second) };
            step.m_demand = dominantShare(planOf(*ranked.m_run).m_size * countAllowed(m_scheduler, *ranked.m_run, countPlaceable(*ranked.m_run, m_now)), pool->second.m_capacity);
            if (queue.m_approval && pool->second.m_approvals > 0)
                step.m_approvals = static_cast<double>(approvalRequestDuration(*queue.m_approval, 1).m_ms) / std::max(pool->second.m_approvals, static_cast<double>(shareAveraging.m_ms));
            m_steps.push_back(step);
        }

        std::vector<std::size_t> order() { return orderByShare(m_steps, std::move(m_customers)); }

    private:
        std::size_t positionOf(const PoolUsage& usage, const PoolShares& pool)
        {
            const auto [found, isNew] = m_positions.try_emplace(&usage, m_customers.size());
            if (isNew)
                m_customers.push_back({ .m_share = usage.m_share, .m_current = dominantShare(usage.m_running, pool.m_capacity), .m_average = usage.m_average, .m_approvals = pool.m_approvals > 0 ? usage.m_approvals / pool.m_approvals : 0 });
            return found->second;
        }

        const Scheduler& m_scheduler;
        TimePoint m_now;
        std::vector<ShareStep> m_steps;
        std::vector<CustomerShare> m_customers;
        std::unordered_map<const PoolUsage*, std::size_t> m_positions;
        std::map<GroupKey, std::size_t> m_groups;
    };

    Resources capacityOf(const Scheduler& scheduler, const PoolView& view)
    {
        Resources sum;
        for (const WorkerIndex index : view.m_workers)
            sum = sum + scheduler.m_workers[static_cast<std::size_t>(index)].m_announcement.m_capacity;
        return sum;
    }

    /**
     * Updates a customer's averages. They begin with what it has running: with an average of zero, all customers would be compensated after each
     * change of leader.
     */
    void updateAverages(PoolUsage& usage, PoolShares& pool, TimePoint now)
    {
        const double current = dominantShare(usage.m_running, pool.m_capacity);
        const TimePoint updatedAt = std::exchange(usage.m_averagedAt, now);
        const Duration elapsed = now - updatedAt;
        usage.m_average = updatedAt == TimePoint {} ? current : averageAfter(usage.m_average, current, elapsed);
        usage.m_approvals = averageAfter(usage.m_approvals, 0, elapsed);
        pool.m_approvals += usage.m_approvals;
    }

} // namespace

void updateShares(Scheduler& scheduler, const PoolViews& views, TimePoint now)
{
    if (scheduler.m_customers.empty())
        return;
    for (const auto& [name, view] : views) {
        PoolShares& pool = scheduler.m_pools[name];
        pool.m_capacity = capacityOf(scheduler, view);
        pool.m_approvals = 0;
    }
    for (const StepRun* const run : scheduler.m_waitingSteps) {
        if (run->m_job->m_poolUsage && run->m_isReleased)
            run->m_job->m_poolUsage->m_isActive = true;
    }
    std::map<std::string_view, std::pair<std::vector<PoolUsage*>, std::vector<double>>> active;
    for (auto& [name, customer] : scheduler.m_customers) {
        for (auto& [pool, usage] : customer.m_pools) {
            const bool isActive = std::exchange(usage.m_isActive, false) || usage.m_running != Resources {};
            if (!isActive)
                continue;
            active[pool].first.push_back(&usage);
            active[pool].second.push_back(customer.m_weight);
        }
    }
    for (const auto& [pool, entries] : active) {
        const std::vector<double> shares = fairShares(entries.second);
        for (std::size_t i = 0; i < shares.size(); ++i)
            entries.first[i]->m_share = shares[i];
    }
    for (auto& [name, customer] : scheduler.m_customers) {
        for (auto& [pool, usage] : customer.m_pools)
            updateAverages(usage, scheduler.m_pools[pool], now);
    }
}

void noteShortage(Scheduler& scheduler, const std::string& pool, TimePoint now)
{
    if (!scheduler.m_customers.empty())
        scheduler.m_pools[pool].m_shortUntil = now + shortageMemory;
}

void orderRanked(const Scheduler& scheduler, std::vector<RankedStep>& ranked, TimePoint now)
{
    const bool isAnyShort = std::any_of(scheduler.m_pools.begin(), scheduler.m_pools.end(), [&](const auto& pool) { return now < pool.second.m_shortUntil; });
    if (!isAnyShort || ranked.size() < 2)
        return;
    ShareInput input(scheduler, now);
    for (const RankedStep& step : ranked)
        input.add(step);
    std::vector<RankedStep> ordered;
    ordered.reserve(ranked.size());
    for (const std::size_t position : input.order())
        ordered.push_back(ranked[position]);
    ranked = std::move(ordered);
}

void countApprovalRequest(const StepRun& run, Duration duration)
{
    if (PoolUsage* const usage = run.m_job->m_poolUsage)
        usage->m_approvals += static_cast<double>(duration.m_ms);
}

} // namespace bulrushloft::scheduler::detail
