/** @file config_check.cpp Checks of a configuration before it is sent. */
#include "version/config_check.h"

#include <algorithm>

namespace bulrushloft {

namespace {

    using Findings = std::vector<ConfigFinding>;

    std::string entryName(std::string_view kind, const std::string& name)
    {
        return std::string(kind) + " " + (name.empty() ? "without a name" : name);
    }

    bool hasPool(const ClusterSettings& cluster, const std::string& name)
    {
        return std::any_of(cluster.m_pools.begin(), cluster.m_pools.end(), [&](const PoolSettings& pool) { return pool.m_name == name; });
    }

    bool hasKeys(const ClusterSettings& cluster)
    {
        return std::any_of(cluster.m_customers.begin(), cluster.m_customers.end(), [](const CustomerSettings& customer) { return !customer.m_keys.empty(); });
    }

    /** @param index Index of the queue. */
    void checkMatching(const ClusterSettings& cluster, std::size_t index, Findings& findings)
    {
        const QueueSettings& queue = cluster.m_queues[index];
        const std::string entry = entryName("queue", queue.m_name);
        if (queue.m_name.empty() || queue.m_host.empty() || queue.m_pathPrefix.empty())
            findings.push_back({ .m_fault = ConfigFault::Error, .m_entry = entry, .m_text = "name, host and path_prefix must be given" });
        if (!hasPool(cluster, queue.m_pool))
            findings.push_back({ .m_fault = ConfigFault::NeverMatches, .m_entry = entry, .m_text = "its service \"" + queue.m_pool + "\" does not exist; its tasks never start" });
        for (std::size_t earlier = 0; earlier < index; ++earlier) {
            const QueueSettings& other = cluster.m_queues[earlier];
            if (other.m_host == queue.m_host && other.m_pathPrefix == queue.m_pathPrefix)
                findings.push_back({ .m_fault = ConfigFault::NeverMatches, .m_entry = entry, .m_text = "hidden by queue " + other.m_name + ", which has the same host and path_prefix" });
            if (other.m_name == queue.m_name)
                findings.push_back({ .m_fault = ConfigFault::Error, .m_entry = entry, .m_text = "an earlier queue has this name" });
        }
        if (cluster.m_requiresKeys && !queue.m_isAnonymous && !hasKeys(cluster))
            findings.push_back({ .m_fault = ConfigFault::NeverMatches, .m_entry = entry, .m_text = "it needs a key, and no customer has one" });
    }

    void checkLimits(const QueueSettings& queue, Findings& findings)
    {
        const std::string entry = entryName("queue", queue.m_name);
        if (queue.m_timeout.m_ms <= 0)
            findings.push_back({ .m_fault = ConfigFault::Error, .m_entry = entry, .m_text = "timeout_ms must be above 0" });
        if (queue.m_latencyTarget > queue.m_timeout)
            findings.push_back({ .m_fault = ConfigFault::Contradiction, .m_entry = entry, .m_text = "target_latency_ms is above timeout_ms" });
        if (queue.m_slackFactor < 1)
            findings.push_back({ .m_fault = ConfigFault::Contradiction, .m_entry = entry, .m_text = "slack_factor below 1 asks for jobs that end before their tasks can" });
        if (queue.m_approval && static_cast<double>(queue.m_approval->m_validity.m_ms) <= queue.m_approval->m_baseCallTimeMs)
            findings.push_back({ .m_fault = ConfigFault::Contradiction, .m_entry = entry, .m_text = "approvals expire (valid_ms) before they are expected (decide_ms)" });
    }

    void checkPools(const ClusterSettings& cluster, Findings& findings)
    {
        for (const PoolSettings& pool : cluster.m_pools) {
            const bool isUsed = std::any_of(cluster.m_queues.begin(), cluster.m_queues.end(), [&](const QueueSettings& queue) { return queue.m_pool == pool.m_name; });
            if (!isUsed)
                findings.push_back({ .m_fault = ConfigFault::NeverMatches, .m_entry = entryName("service", pool.m_name), .m_text = "no queue uses it" });
        }
    }

    void checkCustomer(const CustomerSettings& customer, Findings& findings)
    {
        const std::string entry = entryName("customer", customer.m_name);
        const bool hasCap = customer.m_cap != Resources {};
        if (customer.m_keys.empty())
            findings.push_back({ .m_fault = ConfigFault::NeverMatches, .m_entry = entry, .m_text = "it has no valid key" });
        if (hasCap && customer.m_weight == 0)
            findings.push_back({ .m_fault = ConfigFault::Contradiction, .m_entry = entry, .m_text = "it has a cap, but its weight is 0, so it is entitled to nothing" });
    }

    template <typename Entry, typename Describe>
    void describeEntries(std::string_view kind, const std::vector<Entry>& inForce, const std::vector<Entry>& next, const Describe& describe, std::vector<std::string>& lines)
    {
        const auto find = [](const std::vector<Entry>& entries, const std::string& name) {
            const auto found = std::find_if(entries.begin(), entries.end(), [&](const Entry& entry) { return entry.m_name == name; });
            return found == entries.end() ? nullptr : &*found;
        };
        for (const Entry& entry : inForce) {
            if (!find(next, entry.m_name))
                lines.push_back(entryName(kind, entry.m_name) + " removed");
        }
        for (const Entry& entry : next) {
            const Entry* const former = find(inForce, entry.m_name);
            const std::string changes = former ? describe(*former, entry) : std::string();
            if (!former)
                lines.push_back(entryName(kind, entry.m_name) + " added");
            else if (!changes.empty())
                lines.push_back(entryName(kind, entry.m_name) + ":" + changes);
        }
    }

    std::string textOf(const std::string& value) { return "\"" + value + "\""; }
    std::string textOf(bool value) { return value ? "true" : "false"; }
    std::string textOf(double value)
    {
        std::string text = std::to_string(value);
        text.erase(text.find_last_not_of('0') + 1);
        return text.back() == '.' ? text.substr(0, text.size() - 1) : text;
    }
    template <typename Integer>
    requires std::is_integral_v<Integer>
        std::string textOf(Integer value) { return std::to_string(value); }

    template <typename Value>
    void addChange(std::string& changes, std::string_view field, const Value& former, const Value& value)
    {
        if (former != value)
            changes += std::string(changes.empty() ? "" : ",") + " " + std::string(field) + " " + textOf(former) + " -> " + textOf(value);
    }

    void addApprovalChange(std::string& changes, const std::optional<ApprovalPolicy>& former, const std::optional<ApprovalPolicy>& value)
    {
        addChange(changes, "advice", former.has_value(), value.has_value());
        if (!former || !value)
            return;
        addChange(changes, "decide_ms", former->m_baseCallTimeMs, value->m_baseCallTimeMs);
        addChange(changes, "interval_ms", former->m_callTimePerWorkerMs, value->m_callTimePerWorkerMs);
        addChange(changes, "valid_ms", former->m_validity.m_ms, value->m_validity.m_ms);
    }

    std::string describeQueue(const QueueSettings& former, const QueueSettings& queue)
    {
        std::string changes;
        addChange(changes, "host", former.m_host, queue.m_host);
        addChange(changes, "path_prefix", former.m_pathPrefix, queue.m_pathPrefix);
        addChange(changes, "service", former.m_pool, queue.m_pool);
        addChange(changes, "priority", former.m_priority, queue.m_priority);
        addChange(changes, "max_attempts", former.m_failureLimit, queue.m_failureLimit);
        addChange(changes, "slack_factor", former.m_slackFactor, queue.m_slackFactor);
        addChange(changes, "target_latency_ms", former.m_latencyTarget.m_ms, queue.m_latencyTarget.m_ms);
        addChange(changes, "timeout_ms", former.m_timeout.m_ms, queue.m_timeout.m_ms);
        addChange(changes, "anonymous", former.m_isAnonymous, queue.m_isAnonymous);
        addApprovalChange(changes, former.m_approval, queue.m_approval);
        return changes;
    }

    std::string describePool(const PoolSettings& former, const PoolSettings& pool)
    {
        std::string changes;
        addChange(changes, "admission_control", former.m_hasAdmissionControl, pool.m_hasAdmissionControl);
        addChange(changes, "standby", former.m_isStandby, pool.m_isStandby);
        return changes;
    }

    /** @return Number of keys of the first customer that the second lacks. */
    std::size_t countMissing(const CustomerSettings& first, const CustomerSettings& second)
    {
        return static_cast<std::size_t>(std::count_if(first.m_keys.begin(), first.m_keys.end(), [&](const std::string& key) { return std::find(second.m_keys.begin(), second.m_keys.end(), key) == second.m_keys.end(); }));
    }

    std::string describeCustomer(const CustomerSettings& former, const CustomerSettings& customer)
    {
        std::string changes;
        addChange(changes, "weight", former.m_weight, customer.m_weight);
        addChange(changes, "cap cpu", former.m_cap.m_cpuMilli, customer.m_cap.m_cpuMilli);
        addChange(changes, "cap mem_mb", former.m_cap.m_memoryMb, customer.m_cap.m_memoryMb);
        addChange(changes, "cap gpu", former.m_cap.m_gpus, customer.m_cap.m_gpus);
        for (const auto& [count, what] : { std::pair(countMissing(customer, former), "added"), std::pair(countMissing(former, customer), "removed") }) {
            if (count > 0)
                changes += std::string(changes.empty() ? "" : ",") + " keys " + what + ": " + std::to_string(count);
        }
        return changes;
    }

} // namespace

std::vector<ConfigFinding> checkConfig(const ClusterSettings& cluster, const std::vector<CustomerFault>& customerFaults)
{
    Findings findings;
    for (std::size_t i = 0; i < cluster.m_queues.size(); ++i) {
        checkMatching(cluster, i, findings);
        checkLimits(cluster.m_queues[i], findings);
    }
    checkPools(cluster, findings);
    for (const CustomerFault& fault : customerFaults)
        findings.push_back({ .m_fault = ConfigFault::Error, .m_entry = entryName("customer", fault.m_customer), .m_text = std::string(fault.m_reason) + "; it is left out" });
    for (const CustomerSettings& customer : cluster.m_customers)
        checkCustomer(customer, findings);
    return findings;
}

std::vector<ConfigFinding> checkSuccession(const ClusterSettings& inForce, const ClusterSettings& next)
{
    if (next.m_version > inForce.m_version)
        return {};
    return { { .m_fault = ConfigFault::NeverMatches, .m_entry = "version " + std::to_string(next.m_version), .m_text = "it would be ignored, as version " + std::to_string(inForce.m_version) + " is in force; increase the version" } };
}

std::vector<std::string> describeChanges(const ClusterSettings& inForce, const ClusterSettings& next)
{
    std::vector<std::string> lines;
    std::string changes;
    addChange(changes, "version", inForce.m_version, next.m_version);
    addChange(changes, "needs keys", inForce.m_requiresKeys, next.m_requiresKeys);
    if (!changes.empty())
        lines.push_back("configuration:" + changes);
    describeEntries("queue", inForce.m_queues, next.m_queues, describeQueue, lines);
    describeEntries("service", inForce.m_pools, next.m_pools, describePool, lines);
    describeEntries("customer", inForce.m_customers, next.m_customers, describeCustomer, lines);
    return lines;
}

} // namespace bulrushloft
