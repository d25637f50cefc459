/** @file customer_usage.cpp Ledger of the attempts of customers. */
#include "process/scheduler/customer_usage.h"

#include "core/log_func.h"
#include "process/scheduler/scheduler_detail.h"
#include "request/plan_func.h"
#include "version/customer_cap.h"

#include <algorithm>

namespace bulrushloft::scheduler::detail {

namespace {

    void add(CustomerUsage& customer, PoolUsage* pool, const Resources& size)
    {
        customer.m_running = customer.m_running + size;
        ++customer.m_attempts;
        if (pool)
            pool->m_running = pool->m_running + size;
    }

    void subtract(CustomerUsage& customer, PoolUsage* pool, const Resources& size)
    {
        customer.m_running = customer.m_running - size;
        --customer.m_attempts;
        ++customer.m_releases;
        if (pool)
            pool->m_running = pool->m_running - size;
    }

    /**
     * The ledger holds attempts from their placement, before the record and the start, until their end is listed, while the cap is about what runs. Of tasks of half a
     * second that is a tenth and more, so that a ledger held to the cap leaves part of it unused. Within the permitted overrun what runs stays below it in any case.
     * @return What the ledger of a customer may hold; an amount of 0 means no limit.
     */
    Resources ledgerLimitOf(const Scheduler& scheduler, const CustomerUsage& customer)
    {
        const auto extended = [&](std::int64_t amount) { return static_cast<std::int64_t>(static_cast<double>(amount) * (1 + scheduler.m_options.m_capOverrun)); };
        return { .m_cpuMilli = extended(customer.m_cap.m_cpuMilli), .m_memoryMb = extended(customer.m_cap.m_memoryMb), .m_gpus = extended(customer.m_cap.m_gpus) };
    }

    /** @return The usage of the pool that a worker serves, by the customer of a job; of the pool of the job while the worker has not been announced. */
    PoolUsage* usageAt(const Worker& worker, const Job& job)
    {
        const std::string& pool = worker.m_announcement.m_pool;
        return pool.empty() ? job.m_poolUsage : &job.m_customer->m_pools[pool];
    }

    /** Adds an attempt that may run on a worker, unless it is current or its job has no customer. */
    void addLingering(Scheduler& scheduler, std::int32_t index, const TaskName& name, std::uint32_t attempt, std::vector<CountedAttempt>& attempts)
    {
        const TaskRef ref = findTask(scheduler, name);
        if (!ref.m_run || !ref.m_run->m_job->m_customer)
            return;
        const bool isCurrent = ref.task().m_worker == index && ref.task().m_attempt == attempt && ref.task().m_phase != RunPhase::None;
        const bool isKnown = std::any_of(attempts.begin(), attempts.end(), [&](const CountedAttempt& each) { return each.m_attempt == attempt && each.m_task == name; });
        if (!isCurrent && !isKnown)
            attempts.push_back({ .m_customer = ref.m_run->m_job->m_customer, .m_pool = usageAt(scheduler.m_workers[static_cast<std::size_t>(index)], *ref.m_run->m_job), .m_task = name, .m_attempt = attempt, .m_size = planOf(*ref.m_run).m_size });
    }

    /** Logs once that a gang does not fit under a cap that was reduced after its submission. */
    void reportUnfit(const Scheduler& scheduler, StepRun& run)
    {
        const StepPlan& plan = planOf(run);
        const CustomerUsage& customer = *run.m_job->m_customer;
        if (!plan.m_isGang || run.m_isCapReported || canRunAlone(plan.m_size, plan.m_count, customer.m_cap, scheduler.m_options.m_capOverrun))
            return;
        run.m_isCapReported = true;
        logEvent(LogLevel::Warning, "gang-exceeds-cap", { { "step", format(nameOf({ &run, 0 })) }, { "customer", customer.m_name }, { "tasks", plan.m_count }, { "cap_cpu", customer.m_cap.m_cpuMilli }, { "cap_mem_mb", customer.m_cap.m_memoryMb }, { "cap_gpus", customer.m_cap.m_gpus } });
    }

    /**
     * Holds back the other steps of a customer for a step that has been held back for long.
     * Load: a customer at its cap has a stream of small tasks, and each takes the room that has appeared before it suffices for a gang.
     */
    void collectRoom(const Scheduler& scheduler, const StepRun& run, TimePoint now)
    {
        constexpr Duration longWait { 2'000 };
        constexpr std::int64_t collectMs = 5'000; // Room under the cap is unused meanwhile, so that the step gets a part of the time only.
        constexpr std::int64_t periodMs = 20'000;
        constexpr Duration renewal { 500 }; // Held steps are examined at least this often.
        const Duration waited = now - run.m_heldSince - longWait;
        CustomerUsage& customer = *run.m_job->m_customer;
        const bool isOthersTurn = customer.m_collectsFor && customer.m_collectsFor != &run && now < customer.m_collectsUntil;
        const StepPlan& plan = planOf(run);
        const bool isLarge = plan.m_isGang || !isWithinCap(plan.m_size, customer.m_cap);
        if (!isLarge || isOthersTurn || waited.m_ms < 0 || waited.m_ms % periodMs >= collectMs || !canRunAlone(plan.m_size, plan.m_isGang ? plan.m_count : 1, customer.m_cap, scheduler.m_options.m_capOverrun))
            return;
        customer.m_collectsFor = &run;
        customer.m_collectsUntil = now + renewal;
    }

    /** Sums by customer, for the check of the ledgers. */
    struct Sums {
        Resources m_running;
        std::uint32_t m_attempts = 0;
    };

} // namespace

CustomerUsage& findOrCreateCustomer(Scheduler& scheduler, const std::string& name)
{
    CustomerUsage& customer = scheduler.m_customers.try_emplace(name).first->second;
    customer.m_name = name;
    return customer;
}

void setCustomers(Scheduler& scheduler, const ClusterSettings& cluster)
{
    for (const CustomerSettings& settings : cluster.m_customers) {
        CustomerUsage& customer = findOrCreateCustomer(scheduler, settings.m_name);
        customer.m_cap = settings.m_cap;
        customer.m_weight = settings.m_weight;
        customer.m_isConfigured = true;
        ++customer.m_releases;
    }
}

void assignCustomer(Scheduler& scheduler, Job& job)
{
    if (job.m_plan.m_customer.empty())
        return;
    job.m_customer = &findOrCreateCustomer(scheduler, job.m_plan.m_customer);
    assignPoolUsage(job);
}

void assignPoolUsage(Job& job)
{
    if (job.m_customer)
        job.m_poolUsage = &job.m_customer->m_pools[poolOf(job)];
}

void countAttempt(Scheduler& scheduler, const TaskRef& ref)
{
    const Job& job = *ref.m_run->m_job;
    if (!job.m_customer)
        return;
    ref.task().m_countedIn = usageAt(scheduler.m_workers[static_cast<std::size_t>(ref.task().m_worker)], job);
    add(*job.m_customer, ref.task().m_countedIn, planOf(*ref.m_run).m_size);
}

void releaseAttempt(const TaskRef& ref)
{
    if (ref.m_run->m_job->m_customer)
        subtract(*ref.m_run->m_job->m_customer, std::exchange(ref.task().m_countedIn, nullptr), planOf(*ref.m_run).m_size);
}

void recountPool(Scheduler& scheduler, std::int32_t worker)
{
    const Worker& host = scheduler.m_workers[static_cast<std::size_t>(worker)];
    for (const TaskRef& ref : host.m_tasks) {
        const Job& job = *ref.m_run->m_job;
        if (!job.m_customer)
            continue;
        const Resources& size = planOf(*ref.m_run).m_size;
        PoolUsage* const former = std::exchange(ref.task().m_countedIn, usageAt(host, job));
        former->m_running = former->m_running - size;
        ref.task().m_countedIn->m_running = ref.task().m_countedIn->m_running + size;
    }
    recountLingering(scheduler, worker);
}

void recountLingering(Scheduler& scheduler, std::int32_t worker)
{
    Worker& host = scheduler.m_workers[static_cast<std::size_t>(worker)];
    if (scheduler.m_customers.empty() || (host.m_lingering.empty() && host.m_lateStarts.empty() && host.m_unexpected.empty()))
        return;
    std::vector<CountedAttempt> attempts;
    for (const auto& [name, attempt] : host.m_unexpected)
        addLingering(scheduler, worker, name, attempt, attempts);
    for (const LateStart& late : host.m_lateStarts) {
        if (!late.m_isRefused)
            addLingering(scheduler, worker, late.m_task, late.m_attempt, attempts);
    }
    for (const CountedAttempt& each : attempts)
        add(*each.m_customer, each.m_pool, each.m_size);
    const bool hadSome = !host.m_lingering.empty();
    for (const CountedAttempt& each : std::exchange(host.m_lingering, std::move(attempts)))
        subtract(*each.m_customer, each.m_pool, each.m_size);
    scheduler.m_needsPlacing = scheduler.m_needsPlacing || hadSome;
}

std::uint32_t countAllowed(const Scheduler& scheduler, const StepRun& run, std::uint32_t limit)
{
    const CustomerUsage* const customer = run.m_job->m_customer;
    if (!customer || limit == 0)
        return limit;
    const StepPlan& plan = planOf(run);
    const auto allowed = static_cast<std::uint32_t>(countWithinCap(plan.m_size, customer->m_running, ledgerLimitOf(scheduler, *customer), limit));
    const std::uint32_t together = plan.m_isGang ? limit : 1;
    if (allowed >= together)
        return plan.m_isGang ? limit : allowed;
    return customer->m_attempts == 0 && canRunAlone(plan.m_size, together, customer->m_cap, scheduler.m_options.m_capOverrun) ? together : 0;
}

bool isHeldByCap(Scheduler& scheduler, StepRun& run, std::uint32_t placeable, TimePoint now)
{
    CustomerUsage* const customer = run.m_job->m_customer;
    if (!customer || placeable == 0)
        return false;
    const bool isUnchanged = run.m_heldAtRelease == customer->m_releases && !run.m_isChanged;
    if (isUnchanged || countAllowed(scheduler, run, placeable) == 0) {
        run.m_heldAtRelease = customer->m_releases;
        run.m_heldSince = run.m_heldSince == TimePoint {} ? now : run.m_heldSince;
        run.m_isApprovalRequestDelayed = false;
        run.m_isChanged = false;
        reportUnfit(scheduler, run);
        collectRoom(scheduler, run, now);
        return true;
    }
    if (customer->m_collectsFor == &run)
        customer->m_collectsFor = nullptr;
    if (customer->m_collectsFor && now < customer->m_collectsUntil)
        return true;
    run.m_isChanged = run.m_isChanged || run.m_heldAtRelease != 0;
    run.m_heldAtRelease = 0;
    run.m_heldSince = {};
    return false;
}

void sumRequested(Scheduler& scheduler)
{
    if (scheduler.m_customers.empty())
        return;
    for (auto& [name, customer] : scheduler.m_customers)
        customer.m_requested = {};
    for (const StepRun* const run : scheduler.m_waitingSteps) {
        CustomerUsage* const customer = run->m_job->m_customer;
        if (customer && run->m_approval.m_pendingRequests > 0)
            customer->m_requested = customer->m_requested + planOf(*run).m_size * countUnplaced(*run);
    }
}

bool mayRequestWithinCap(const Scheduler& scheduler, const StepRun& run)
{
    const CustomerUsage* const customer = run.m_job->m_customer;
    if (!customer || customer->m_requested == Resources {} || run.m_approval.m_pendingRequests > 0)
        return true;
    return countWithinCap(planOf(run).m_size, customer->m_running + customer->m_requested, ledgerLimitOf(scheduler, *customer), 1) > 0;
}

bool areCustomersConsistent(const Scheduler& scheduler)
{
    std::map<const CustomerUsage*, Sums> sums;
    std::map<const PoolUsage*, Resources> pools;
    const auto count = [&](const CustomerUsage* customer, const PoolUsage* pool, const Resources& size) {
        sums[customer].m_running = sums[customer].m_running + size;
        ++sums[customer].m_attempts;
        if (pool)
            pools[pool] = pools[pool] + size;
    };
    for (const auto& [id, job] : scheduler.m_jobs) {
        for (const auto& run : job->m_runs) {
            for (const Task& task : run->m_tasks) {
                if (job->m_customer && task.m_phase != RunPhase::None)
                    count(job->m_customer, task.m_countedIn, planOf(*run).m_size);
            }
        }
    }
    for (const Worker& worker : scheduler.m_workers) {
        for (const CountedAttempt& each : worker.m_lingering)
            count(each.m_customer, each.m_pool, each.m_size);
    }
    for (const auto& [id, attempts] : scheduler.m_unreadAttempts) {
        for (const CountedAttempt& each : attempts)
            count(each.m_customer, each.m_pool, each.m_size);
    }
    return std::all_of(scheduler.m_customers.begin(), scheduler.m_customers.end(), [&](const auto& entry) {
        const CustomerUsage& customer = entry.second;
        const bool arePoolsRight = std::all_of(customer.m_pools.begin(), customer.m_pools.end(), [&](const auto& pool) { return pools[&pool.second] == pool.second.m_running; });
        return arePoolsRight && sums[&customer].m_running == customer.m_running && sums[&customer].m_attempts == customer.m_attempts;
    });
}

} // namespace bulrushloft::scheduler::detail
