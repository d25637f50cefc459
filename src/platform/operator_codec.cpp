/** @file operator_codec.cpp Decodes the records that the operator and the workers write to the store. */
#include "platform/operator_codec.h"

#include "core/log_func.h"
#include "platform/json_read.h"
#include "version/customer.h"

#include <algorithm>

namespace bulrushloft::platform {

using Json = nlohmann::json;

namespace {

    constexpr std::string_view configKey = "config"; ///< Key of the configuration in the operator's topic.

    QueueSettings decodeQueue(const Json& row)
    {
        QueueSettings queue { .m_name = readString(row, "name"),
            .m_host = readString(row, "host"),
            .m_pathPrefix = readString(row, "path_prefix"),
            .m_pool = readString(row, "service"),
            .m_priority = static_cast<int>(readInt(row, "priority")),
            .m_failureLimit = static_cast<std::uint32_t>(std::max<std::int64_t>(1, readInt(row, "max_attempts", 1))),
            .m_slackFactor = readDouble(row, "slack_factor", 1),
            .m_latencyTarget = { readInt(row, "target_latency_ms") },
            .m_timeout = { readInt(row, "timeout_ms", 3'000) },
            .m_approval = {} };
        if (const auto advice = row.find("advice"); advice != row.end() && advice->is_object()) {
            queue.m_approval = ApprovalPolicy { .m_baseCallTimeMs = readDouble(*advice, "decide_ms"),
                .m_callTimePerWorkerMs = readDouble(*advice, "interval_ms"),
                .m_validity = { readInt(*advice, "valid_ms") } };
        }
        queue.m_isAnonymous = readBool(row, "anonymous");
        return queue;
    }

    CustomerSettings decodeCustomer(const Json& row)
    {
        CustomerSettings customer { .m_name = readString(row, "name"), .m_keys = {}, .m_weight = readDouble(row, "weight"), .m_cap = {} };
        if (const auto keys = row.find("api_keys"); keys != row.end() && keys->is_array()) {
            for (const Json& key : *keys)
                customer.m_keys.push_back(key.is_string() ? key.get<std::string>() : std::string()); // An empty key is reported and removed.
        }
        if (const auto cap = row.find("cap"); cap != row.end() && cap->is_object())
            customer.m_cap = { .m_cpuMilli = readInt(*cap, "cpu"), .m_memoryMb = readInt(*cap, "mem_mb"), .m_gpus = readInt(*cap, "gpu") };
        return customer;
    }

    /** Logs faults of customers' entries, a bounded number for each version. Keys appear in none of the lines. */
    void reportCustomerFaults(const std::vector<CustomerFault>& faults, std::uint64_t version)
    {
        constexpr std::size_t maxLines = 20;
        constexpr std::size_t maxNameLength = 64;
        for (std::size_t i = 0; i < std::min(faults.size(), maxLines); ++i)
            logEvent(LogLevel::Warning, "customer-malformed", { { "version", version }, { "customer", faults[i].m_customer.substr(0, maxNameLength) }, { "reason", faults[i].m_reason } });
        if (faults.size() > maxLines)
            logEvent(LogLevel::Warning, "customers-malformed", { { "version", version }, { "not_listed", faults.size() - maxLines } });
    }

    /** An entry that is not an object counts as one without a name. */
    std::vector<CustomerFault> decodeCustomers(const Json& root, ClusterSettings& cluster)
    {
        const auto rows = root.find("tenants");
        if (rows == root.end() || !rows->is_array())
            return {};
        cluster.m_requiresKeys = true;
        for (const Json& row : *rows)
            cluster.m_customers.push_back(row.is_object() ? decodeCustomer(row) : CustomerSettings {});
        return removeMalformedCustomers(cluster.m_customers);
    }

    std::optional<DecodedConfig> decodeCluster(const Json& root)
    {
        const auto routes = root.find("routes");
        const auto services = root.find("services");
        const auto customers = root.find("tenants");
        const bool areCustomersReadable = customers == root.end() || customers->is_null() || customers->is_array(); // Otherwise keys could be accepted, or not needed, against what is meant.
        const bool isComplete = readInt(root, "version") > 0 && routes != root.end() && routes->is_array() && services != root.end() && services->is_array() && areCustomersReadable;
        if (!isComplete)
            return std::nullopt;
        DecodedConfig config;
        ClusterSettings& cluster = config.m_cluster;
        cluster = { .m_version = static_cast<std::uint64_t>(readInt(root, "version")), .m_queues = {}, .m_pools = {} };
        for (const Json& row : *routes)
            cluster.m_queues.push_back(decodeQueue(row));
        for (const Json& row : *services)
            cluster.m_pools.push_back({ .m_name = readString(row, "name"), .m_hasAdmissionControl = readBool(row, "admission_control"), .m_isStandby = readBool(row, "standby") });
        config.m_customerFaults = decodeCustomers(root, cluster);
        return config;
    }

    cell::OperatorRecord decodeWave(const Json& root)
    {
        const auto machines = root.find("machines");
        if (machines == root.end() || !machines->is_array())
            return {};
        MaintenanceWave wave { .m_number = static_cast<std::uint64_t>(readInt(root, "wave")),
            .m_machines = {},
            .m_startWindow = { static_cast<std::int64_t>(readDouble(root, "duration_s") * 1000) },
            .m_maxConcurrent = static_cast<std::uint32_t>(std::max<std::int64_t>(1, readInt(root, "cap", 1))) };
        for (const Json& machine : *machines) {
            if (machine.is_string())
                wave.m_machines.push_back(machine.get<std::string>());
        }
        return wave;
    }

    /** @return Whether an id consists of printable ASCII characters; others can't be sent as JSON text. */
    bool isPrintableName(const std::string& id)
    {
        return !id.empty() && std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c <= '~'; });
    }

    /** @return Nothing if an amount is not a number or so large that sums of a few could overflow. */
    std::optional<Resources> decodeCapacity(const Json& row)
    {
        constexpr std::int64_t maxAmount = 1'000'000'000;
        const auto cpu = readBounded(row, "cpu", maxAmount);
        const auto memory = readBounded(row, "mem_mb", maxAmount);
        const auto gpus = readBounded(row, "gpu", maxAmount);
        return cpu && memory && gpus ? std::optional(Resources { .m_cpuMilli = *cpu, .m_memoryMb = *memory, .m_gpus = *gpus }) : std::nullopt;
    }

} // namespace

std::optional<DecodedConfig> decodeConfig(const std::string& value)
{
    const Json root = parseJson(value);
    return root.is_object() ? decodeCluster(root) : std::nullopt;
}

cell::OperatorRecord decodeOperatorRecord(const std::string& key, const std::string& value)
{
    const Json root = parseJson(value);
    if (!root.is_object()) {
        logEvent(LogLevel::Warning, "operator-record-malformed", { { "key", key.substr(0, 40) }, { "bytes", value.size() } });
        return key == configKey ? cell::OperatorRecord(cell::UnreadableCluster {}) : cell::OperatorRecord {};
    }
    if (key == configKey) {
        auto config = decodeCluster(root);
        if (!config)
            return cell::UnreadableCluster {};
        reportCustomerFaults(config->m_customerFaults, config->m_cluster.m_version);
        return std::move(config->m_cluster);
    }
    return key.starts_with("wave/") ? decodeWave(root) : cell::OperatorRecord {};
}

std::optional<WorkerAnnouncement> decodeWorkerEntry(const std::string& id, const std::string& value)
{
    if (!isPrintableName(id))
        return std::nullopt;
    const Json entry = parseJson(value);
    if (!entry.is_object())
        return std::nullopt;
    const std::string state = readString(entry, "state");
    const auto address = parseAddress(readString(entry, "addr"));
    const auto row = entry.find("capacity");
    const auto capacity = row != entry.end() && row->is_object() ? decodeCapacity(*row) : std::nullopt;
    constexpr std::int64_t maxDrainMs = 1'000'000'000;
    constexpr std::int64_t maxUnixMs = 1'000'000'000'000'000;
    const auto drainMs = readBounded(entry, "remaining_ms", maxDrainMs);
    const auto processStartMs = readBounded(entry, "born", maxUnixMs);
    const bool isUsable = (state == "ready" || state == "draining") && address && !readString(entry, "service").empty() && capacity && drainMs && processStartMs;
    if (!isUsable)
        return std::nullopt;
    WorkerAnnouncement announcement { .m_id = id,
        .m_pool = readString(entry, "service"),
        .m_address = *address,
        .m_zone = readString(entry, "zone"),
        .m_machine = readString(entry, "machine"),
        .m_capacity = *capacity,
        .m_labels = {},
        .m_isDraining = state == "draining",
        .m_remainingDrainTime = { *drainMs },
        .m_processStartMs = *processStartMs };
    if (const auto labels = entry.find("labels"); labels != entry.end() && labels->is_array()) {
        for (const Json& label : *labels) {
            if (label.is_string())
                announcement.m_labels.push_back(label.get<std::string>());
        }
    }
    return announcement;
}

} // namespace bulrushloft::platform
