/** @file unread_usage.cpp What progress records tell of customers, and the count of attempts of jobs that have not been read. */
#include "process/scheduler/unread_usage.h"

#include "process/scheduler/scheduler_detail.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace bulrushloft::scheduler::detail {

using Json = nlohmann::json;

namespace {

    Json toJson(const Resources& amounts)
    {
        return Json::array({ amounts.m_cpuMilli, amounts.m_memoryMb, amounts.m_gpus });
    }

    Resources fromJson(const Json& row)
    {
        return { .m_cpuMilli = row.at(0), .m_memoryMb = row.at(1), .m_gpus = row.at(2) };
    }

    void subtract(Scheduler& scheduler, const CountedAttempt& attempt)
    {
        CustomerUsage& customer = *attempt.m_customer;
        customer.m_running = customer.m_running - attempt.m_size;
        --customer.m_attempts;
        ++customer.m_releases;
        scheduler.m_needsPlacing = true;
    }

    /** Adds the attempts in the row of a step. @param sizes Sizes by step. */
    void addAttempts(const std::string& job, const Json& row, const std::map<std::uint32_t, Resources>& sizes, CustomerUsage& customer, std::vector<CountedAttempt>& attempts)
    {
        const Json& tasks = row.at(4);
        const auto size = sizes.find(row.at(1).get<std::uint32_t>());
        for (std::uint32_t i = 0; size != sizes.end() && i < tasks.size(); ++i) {
            if (tasks[i].is_array() && !tasks[i].at(4).get<std::string>().empty())
                attempts.push_back({ .m_customer = &customer, .m_pool = nullptr, .m_task = { .m_job = job, .m_occurrence = row.at(0), .m_step = size->first, .m_index = i }, .m_attempt = tasks[i].at(1), .m_size = size->second });
        }
    }

} // namespace

Json encodeCustomer(const Job& job)
{
    if (!job.m_customer)
        return nullptr;
    std::map<std::uint32_t, Resources> sizes;
    for (const auto& run : job.m_runs) {
        if (run->m_activeAttempts > 0)
            sizes.emplace(run->m_step, planOf(*run).m_size);
    }
    Json rows = Json::array();
    for (const auto& [step, size] : sizes)
        rows.push_back(Json::array({ step, toJson(size) }));
    return Json::array({ job.m_customer->m_name, toJson(job.m_customer->m_cap), std::move(rows) });
}

void restoreCap(Scheduler& scheduler, const Json& row)
{
    CustomerUsage& customer = findOrCreateCustomer(scheduler, row.at(0));
    if (!customer.m_isConfigured)
        customer.m_cap = fromJson(row.at(1));
}

void countUnread(Scheduler& scheduler, const std::string& job, const Json& decoded)
{
    constexpr std::size_t customerElement = 5;
    releaseUnread(scheduler, job);
    if (decoded.size() <= customerElement)
        return;
    const Json& row = decoded.at(customerElement);
    restoreCap(scheduler, row);
    CustomerUsage& customer = findOrCreateCustomer(scheduler, row.at(0));
    std::map<std::uint32_t, Resources> sizes;
    for (const Json& each : row.at(2))
        sizes.emplace(each.at(0), fromJson(each.at(1)));
    std::vector<CountedAttempt> attempts;
    for (const Json& run : decoded.at(3))
        addAttempts(job, run, sizes, customer, attempts);
    for (const CountedAttempt& each : attempts) {
        customer.m_running = customer.m_running + each.m_size;
        ++customer.m_attempts;
    }
    if (!attempts.empty())
        scheduler.m_unreadAttempts.emplace(job, std::move(attempts));
}

void releaseUnread(Scheduler& scheduler, const std::string& job)
{
    const auto found = scheduler.m_unreadAttempts.extract(job);
    if (found.empty())
        return;
    for (const CountedAttempt& each : found.mapped())
        subtract(scheduler, each);
}

void releaseUnreadEnd(Scheduler& scheduler, const TaskName& task, std::uint32_t attempt)
{
    const auto found = scheduler.m_unreadAttempts.find(task.m_job);
    if (found == scheduler.m_unreadAttempts.end())
        return;
    std::erase_if(found->second, [&](const CountedAttempt& each) {
        const bool hasEnded = each.m_attempt == attempt && each.m_task == task;
        if (hasEnded)
            subtract(scheduler, each);
        return hasEnded;
    });
}

} // namespace bulrushloft::scheduler::detail
