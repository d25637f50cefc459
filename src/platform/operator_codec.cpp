/** @file operator_codec.cpp Decodes what the operator and the workers write to the store. */
#include "platform/operator_codec.h"

#include "core/log_func.h"
#include "platform/json_read.h"

#include <algorithm>

namespace bulrushloft::platform {

using Json = nlohmann::json;

namespace {

    QueueSettings queueFrom(const Json& row)
    {
        QueueSettings queue { .m_name = readText(row, "name"),
            .m_host = readText(row, "host"),
            .m_pathPrefix = readText(row, "path_prefix"),
            .m_pool = readText(row, "service"),
            .m_priority = static_cast<int>(readInt(row, "priority")),
            .m_attemptLimit = static_cast<std::uint32_t>(std::max<std::int64_t>(1, readInt(row, "max_attempts", 1))),
            .m_slackFactor = readDouble(row, "slack_factor", 1),
            .m_latencyTarget = { readInt(row, "target_latency_ms") },
            .m_timeout = { readInt(row, "timeout_ms", 3'000) },
            .m_approval = {} };
        if (const auto advice = row.find("advice"); advice != row.end() && advice->is_object()) {
            queue.m_approval = ApprovalPolicy { .m_baseMs = readDouble(*advice, "decide_ms"),
                .m_perWorkerMs = readDouble(*advice, "interval_ms"),
                .m_validity = { readInt(*advice, "valid_ms") } };
        }
        return queue;
    }

    cell::OperatorRecord clusterFrom(const Json& whole)
    {
        const auto routes = whole.find("routes");
        const auto services = whole.find("services");
        const bool isWhole = readInt(whole, "version") > 0 && routes != whole.end() && routes->is_array() && services != whole.end() && services->is_array();
        if (!isWhole)
            return {};
        ClusterSettings cluster { .m_version = static_cast<std::uint64_t>(readInt(whole, "version")), .m_queues = {}, .m_pools = {} };
        for (const Json& row : *routes)
            cluster.m_queues.push_back(queueFrom(row));
        for (const Json& row : *services)
            cluster.m_pools.push_back({ .m_name = readText(row, "name"), .m_guardsCapacity = readBool(row, "admission_control"), .m_isStandby = readBool(row, "standby") });
        return cluster;
    }

    cell::OperatorRecord waveFrom(const Json& whole)
    {
        const auto machines = whole.find("machines");
        if (machines == whole.end() || !machines->is_array())
            return {};
        UpkeepWave wave { .m_number = static_cast<std::uint64_t>(readInt(whole, "wave")),
            .m_machines = {},
            .m_within = { static_cast<std::int64_t>(readDouble(whole, "duration_s") * 1000) },
            .m_atOnce = static_cast<std::uint32_t>(std::max<std::int64_t>(1, readInt(whole, "cap", 1))) };
        for (const Json& machine : *machines) {
            if (machine.is_string())
                wave.m_machines.push_back(machine.get<std::string>());
        }
        return wave;
    }

    Resources capacityFrom(const Json& row)
    {
        return { .m_cpuMilli = readInt(row, "cpu"), .m_memoryMb = readInt(row, "mem_mb"), .m_gpus = readInt(row, "gpu") };
    }

} // namespace

cell::OperatorRecord decodeOperatorRecord(const std::string& key, const std::string& value)
{
    const Json whole = parseJson(value);
    if (!whole.is_object()) {
        logEvent(LogLevel::Warning, "operator-record-unreadable", { { "key", key.substr(0, 40) }, { "bytes", value.size() } });
        return {};
    }
    if (key == "config")
        return clusterFrom(whole);
    return key.starts_with("wave/") ? waveFrom(whole) : cell::OperatorRecord {};
}

std::optional<WorkerAnnouncement> decodeWorkerEntry(const std::string& id, const std::string& value)
{
    const Json entry = parseJson(value);
    if (!entry.is_object())
        return std::nullopt;
    const std::string state = readText(entry, "state");
    const auto address = parseAddress(readText(entry, "addr"));
    const auto capacity = entry.find("capacity");
    const bool isUsable = (state == "ready" || state == "draining") && address && !readText(entry, "service").empty() && capacity != entry.end() && capacity->is_object();
    if (!isUsable)
        return std::nullopt;
    WorkerAnnouncement notice { .m_id = id,
        .m_pool = readText(entry, "service"),
        .m_address = *address,
        .m_zone = readText(entry, "zone"),
        .m_machine = readText(entry, "machine"),
        .m_capacity = capacityFrom(*capacity),
        .m_labels = {},
        .m_isDraining = state == "draining",
        .m_remainingDrainTime = { readInt(entry, "remaining_ms") },
        .m_processStartMs = readInt(entry, "born") };
    if (const auto labels = entry.find("labels"); labels != entry.end() && labels->is_array()) {
        for (const Json& label : *labels) {
            if (label.is_string())
                notice.m_labels.push_back(label.get<std::string>());
        }
    }
    return notice;
}

} // namespace bulrushloft::platform
