/** @file cell_simulation_caps.cpp Customers of a simulation, whose caps change, and the check of what they have running. */
#include "cell_simulation_base.h"

namespace bulrushloft::test {

std::string CellSimulation::customerOf(const std::string& body) const
{
    constexpr std::size_t customerDigit = 3; // After those of makePlan().
    return body.size() > customerDigit ? "c" + body.substr(customerDigit) : std::string();
}

std::vector<CustomerSettings> CellSimulation::makeCustomers(std::int64_t version) const
{
    std::vector<CustomerSettings> customers;
    const auto& caps = m_options.m_caps.m_cpuMilli;
    for (int i = 0; i < m_options.m_caps.m_customers; ++i) {
        const std::int64_t cap = caps.at((static_cast<std::size_t>(version) - 1 + static_cast<std::size_t>(i)) % caps.size());
        customers.push_back({ .m_name = "c" + std::to_string(i), .m_keys = { "c" + std::to_string(i) }, .m_weight = 1, .m_cap = { .m_cpuMilli = cap, .m_memoryMb = 0, .m_gpus = 0 } });
    }
    return customers;
}

void CellSimulation::scheduleCapChanges()
{
    const CustomerCaps& caps = m_options.m_caps;
    for (int i = 0; i < caps.m_changes; ++i) {
        schedule((caps.m_firstChange + caps.m_changeInterval * i).m_ms, [this, i] {
            m_configChanges.push_back(m_now);
            m_store.append({ .m_partition = { .m_topic = "op" }, .m_records = { { .m_key = configKey, .m_value = std::to_string(i + 2) } }, .m_writer = {}, .m_expectedEnd = {} });
        });
    }
}

std::int64_t CellSimulation::highestCap(const std::string& customer) const
{
    std::int64_t highest = 0;
    for (std::size_t version = 1; version <= m_configChanges.size() + 1; ++version) {
        // A leader that the store does not reach learns of a change when it is in touch again, or has been replaced.
        const bool isReplaced = version <= m_configChanges.size() && m_now > std::max(m_configChanges[version - 1], m_disruptedUntil) + contactTime.m_ms;
        for (const CustomerSettings& settings : makeCustomers(static_cast<std::int64_t>(version)))
            highest = std::max(highest, settings.m_name == customer && !isReplaced ? settings.m_cap.m_cpuMilli : 0);
    }
    return highest;
}

void CellSimulation::checkCap(const TaskName& started, const std::string& attemptName)
{
    const std::string customer = customerOf(jobOf(started).m_body);
    if (customer.empty() || m_options.m_caps.m_customers == 0)
        return;
    Resources running = stepOf(started).m_size;
    for (const FakeLeaseWorker& worker : m_workers) {
        for (const auto& [task, run] : worker.m_running) {
            if (customerOf(jobOf(task).m_body) == customer)
                running = running + stepOf(task).m_size;
        }
    }
    const std::int64_t cap = highestCap(customer);
    m_result.m_fullCapStarts += running.m_cpuMilli + stepOf(started).m_size.m_cpuMilli > cap ? 1 : 0;
    m_result.m_highestCapUse = std::max(m_result.m_highestCapUse, static_cast<double>(running.m_cpuMilli) / static_cast<double>(cap));
    const auto allowed = static_cast<std::int64_t>(static_cast<double>(cap) * (1 + m_options.m_caps.m_overrun)) + stepOf(started).m_size.m_cpuMilli;
    if (running.m_cpuMilli > allowed)
        reportViolation("CAP: " + attemptName + " raises what " + customer + " has running to CPU " + std::to_string(running.m_cpuMilli) + ", above its cap of " + std::to_string(cap));
}

} // namespace bulrushloft::test
