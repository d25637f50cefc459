/** @file caller_json.cpp JSON form of jobs, endpoints, settings and the cell. */
#include "connection/caller_json.h"

#include "request/job_func.h"
#include "table/caller_table.h"
#include "table/job_table.h"
#include "table/settings_table.h"

#include <stdexcept>

namespace bulrushloft {

using Json = nlohmann::json;

namespace {

    template <typename Enum, std::size_t Size>
    Enum enumFrom(const std::array<EnumName<Enum>, Size>& table, const std::string& name, const char* field)
    {
        const auto value = findValue(table, name);
        if (!value)
            throw std::invalid_argument("\"" + std::string(field) + "\" is \"" + name + "\"; expected one of: " + listNames(table));
        return *value;
    }

    Json taskToJson(const TaskView& task)
    {
        return { { "task", task.m_task }, { "state", nameOf(task.m_state) }, { "attempt", task.m_attempt }, { "failures", task.m_failures },
            { "worker", task.m_worker }, { "running", task.m_isRunning } };
    }

    TaskView taskFromJson(const Json& row)
    {
        return { .m_task = row.at("task"), .m_state = enumFrom(taskStateNames, row.at("state"), "state"), .m_attempt = row.at("attempt"), .m_failures = row.at("failures"), .m_worker = row.at("worker"), .m_isRunning = row.at("running") };
    }

    Json resourcesToJsonObject(const Resources& size)
    {
        return { { "cpu_milli", size.m_cpuMilli }, { "memory_mb", size.m_memoryMb }, { "gpus", size.m_gpus } };
    }

    Resources resourcesFromJsonObject(const Json& row)
    {
        return { .m_cpuMilli = row.at("cpu_milli"), .m_memoryMb = row.at("memory_mb"), .m_gpus = row.at("gpus") };
    }

} // namespace

JsonFields::JsonFields(const Json& object)
    : m_object(object)
{
    if (!object.is_object())
        throw std::invalid_argument("the JSON value is not an object; expected {\"field\": value, ...}");
}

const Json* JsonFields::find(const char* name)
{
    m_requestedNames.insert(name);
    const auto found = m_object.find(name);
    return found == m_object.end() ? nullptr : &*found;
}

std::string JsonFields::text(const char* name, const std::string& fallback)
{
    const Json* const value = find(name);
    if (!value)
        return fallback;
    if (!value->is_string())
        throw std::invalid_argument("\"" + std::string(name) + "\" is " + value->dump() + "; expected a string");
    return *value;
}

std::int64_t JsonFields::integer(const char* name, std::int64_t fallback, std::int64_t low, std::int64_t high)
{
    const Json* const value = find(name);
    if (!value)
        return fallback;
    const bool isInRange = value->is_number_integer() && (!value->is_number_unsigned() || value->get<std::uint64_t>() <= INT64_MAX)
        && value->get<std::int64_t>() >= low && value->get<std::int64_t>() <= high;
    if (!isInRange)
        throw std::invalid_argument("\"" + std::string(name) + "\" is " + value->dump() + "; expected an integer from " + std::to_string(low) + " to " + std::to_string(high));
    return *value;
}

bool JsonFields::boolean(const char* name, bool fallback)
{
    const Json* const value = find(name);
    if (!value)
        return fallback;
    if (!value->is_boolean())
        throw std::invalid_argument("\"" + std::string(name) + "\" is " + value->dump() + "; expected true or false");
    return *value;
}

void JsonFields::rejectUnknown() const
{
    std::string known;
    for (const std::string& name : m_requestedNames)
        known += (known.empty() ? "" : ", ") + name;
    for (const auto& item : m_object.items()) {
        if (!m_requestedNames.contains(item.key()))
            throw std::invalid_argument("\"" + item.key() + "\" is not a known field; the fields are: " + known);
    }
}

JobSpec jobSpecFromJson(const Json& object)
{
    constexpr std::int64_t maxAmount = INT64_MAX / 8;
    JsonFields fields(object);
    JobSpec spec;
    spec.m_key = fields.text("key");
    spec.m_name = fields.text("name");
    spec.m_team = fields.text("team");
    spec.m_workClass = fields.text("class", "standard");
    spec.m_pool = fields.text("pool");
    spec.m_kind = enumFrom(jobKindNames, fields.text("kind", "batch"), "kind");
    spec.m_taskCount = static_cast<std::uint32_t>(fields.integer("tasks", 1, 1, taskCountLimit));
    spec.m_declared.m_cpuMilli = fields.integer("cpu_milli", 1'000, 1, maxAmount);
    spec.m_declared.m_memoryMb = fields.integer("memory_mb", 256, 1, maxAmount);
    spec.m_declared.m_gpus = fields.integer("gpus", 0, 0, maxAmount);
    spec.m_declaredRunTime.m_ms = fields.integer("run_time_ms", 0, 0, maxAmount);
    spec.m_isIdempotent = fields.boolean("idempotent", true);
    spec.m_failureLimit = static_cast<std::uint32_t>(fields.integer("failure_limit", 3, 1, 100));
    spec.m_payload = fields.text("payload");
    fields.rejectUnknown();
    return spec;
}

Json jobSpecToJson(const JobSpec& spec)
{
    return { { "key", spec.m_key }, { "name", spec.m_name }, { "team", spec.m_team }, { "class", spec.m_workClass }, { "pool", spec.m_pool },
        { "kind", nameOf(spec.m_kind) }, { "tasks", spec.m_taskCount }, { "cpu_milli", spec.m_declared.m_cpuMilli },
        { "memory_mb", spec.m_declared.m_memoryMb }, { "gpus", spec.m_declared.m_gpus }, { "run_time_ms", spec.m_declaredRunTime.m_ms },
        { "idempotent", spec.m_isIdempotent }, { "failure_limit", spec.m_failureLimit }, { "payload", spec.m_payload } };
}

Json jobViewToJson(const JobView& view)
{
    Json counts = Json::object();
    for (std::size_t state = 0; state < taskStateCount; ++state)
        counts[std::string(taskStateNames[state].m_name)] = view.m_counts[state];
    Json tasks = Json::array();
    for (const TaskView& task : view.m_tasks)
        tasks.push_back(taskToJson(task));
    return { { "id", format(view.m_id) }, { "state", nameOf(view.m_state) }, { "spec", jobSpecToJson(view.m_spec) }, { "counts", std::move(counts) },
        { "running", view.m_runningCount }, { "cancel_requested", view.m_isCancelRequested }, { "reason", view.m_reason },
        { "accepted_ms", view.m_acceptedWall.m_ms }, { "ended_ms", view.m_endedWall.m_ms }, { "tasks", std::move(tasks) } };
}

JobView jobViewFromJson(const Json& object)
{
    JobView view;
    const auto id = parseJobId(object.at("id").get<std::string>());
    if (!id)
        throw std::invalid_argument(id.error().m_message);
    view.m_id = *id;
    view.m_state = enumFrom(jobStateNames, object.at("state"), "state");
    view.m_spec = jobSpecFromJson(object.at("spec"));
    for (std::size_t state = 0; state < taskStateCount; ++state)
        view.m_counts[state] = object.at("counts").at(std::string(taskStateNames[state].m_name));
    view.m_runningCount = object.at("running");
    view.m_isCancelRequested = object.at("cancel_requested");
    view.m_reason = object.at("reason");
    view.m_acceptedWall.m_ms = object.at("accepted_ms");
    view.m_endedWall.m_ms = object.at("ended_ms");
    for (const Json& task : object.at("tasks"))
        view.m_tasks.push_back(taskFromJson(task));
    return view;
}

Json endpointToJson(const EndpointView& view)
{
    return { { "name", view.m_name }, { "kind", view.m_kind }, { "shard", view.m_shard }, { "zone", view.m_zone }, { "rack", view.m_rack },
        { "link", view.m_link }, { "health", view.m_health }, { "capacity", resourcesToJsonObject(view.m_capacity) }, { "granted", resourcesToJsonObject(view.m_granted) },
        { "slots", view.m_slots }, { "in_flight", view.m_inFlight }, { "service_ms", view.m_serviceMs } };
}

EndpointView endpointFromJson(const Json& row)
{
    return { .m_name = row.at("name"), .m_kind = row.at("kind"), .m_shard = row.at("shard"), .m_zone = row.at("zone"), .m_rack = row.at("rack"), .m_link = row.at("link"), .m_health = row.at("health"), .m_capacity = resourcesFromJsonObject(row.at("capacity")), .m_granted = resourcesFromJsonObject(row.at("granted")), .m_slots = row.at("slots"), .m_inFlight = row.at("in_flight"), .m_serviceMs = row.at("service_ms") };
}

Json subtreeToJson(const Subtree& subtree)
{
    return { { "revision", subtree.m_revision.m_value }, { "yaml", subtree.m_yaml }, { "operator", subtree.m_operator }, { "wall_ms", subtree.m_wall.m_ms } };
}

Subtree subtreeFromJson(const Json& row)
{
    return { .m_revision = { row.at("revision").get<std::uint64_t>() }, .m_yaml = row.at("yaml"), .m_operator = row.at("operator"), .m_wall = { row.at("wall_ms") } };
}

Json settingsToJson(const SettingsAnswer& answer)
{
    Json subtrees = Json::object();
    for (const SubtreeView& view : answer.m_subtrees)
        subtrees[view.m_path] = subtreeToJson(view.m_subtree);
    return { { "version", answer.m_version }, { "version_everywhere", answer.m_minVersion }, { "subtrees", std::move(subtrees) } };
}

SettingsAnswer settingsFromJson(const Json& object)
{
    SettingsAnswer answer { .m_version = object.at("version"), .m_minVersion = object.at("version_everywhere") };
    for (const auto& item : object.at("subtrees").items())
        answer.m_subtrees.push_back({ .m_path = item.key(), .m_subtree = subtreeFromJson(item.value()) });
    return answer;
}

Json changeToJson(const ChangeRecord& record)
{
    const SettingsChange& change = record.m_change;
    return { { "id", change.m_id }, { "operator", change.m_operator }, { "path", change.m_path }, { "base", change.m_baseRevision.m_value }, { "yaml", change.m_yaml },
        { "wall_ms", change.m_wall.m_ms }, { "verdict", nameOf(record.m_verdict) }, { "revision", record.m_revision.m_value }, { "reason", record.m_reason } };
}

ChangeRecord changeFromJson(const Json& row)
{
    ChangeRecord record;
    record.m_change = { .m_id = row.at("id"), .m_operator = row.at("operator"), .m_path = row.at("path"), .m_baseRevision = { row.at("base").get<std::uint64_t>() }, .m_yaml = row.at("yaml"), .m_wall = { row.at("wall_ms") } };
    record.m_verdict = enumFrom(changeVerdictNames, row.at("verdict"), "verdict");
    record.m_revision.m_value = row.at("revision");
    record.m_reason = row.at("reason");
    return record;
}

Json cellToJson(const CellAnswer& answer)
{
    Json members = Json::array();
    for (const MemberView& member : answer.m_members)
        members.push_back({ { "name", member.m_name }, { "address", member.m_address }, { "zone", member.m_zone }, { "state", member.m_state }, { "instance", member.m_instance }, { "settings_version", member.m_settingsVersion }, { "silent_ms", member.m_heartbeatAgeMs } });
    Json shards = Json::array();
    for (const ShardView& shard : answer.m_shards)
        shards.push_back({ { "name", shard.m_name }, { "owner", shard.m_owner }, { "address", shard.m_address }, { "epoch", shard.m_epoch } });
    return { { "member", answer.m_member }, { "members", std::move(members) }, { "shards", std::move(shards) } };
}

CellAnswer cellFromJson(const Json& object)
{
    CellAnswer answer { .m_member = object.at("member") };
    for (const Json& row : object.at("members"))
        answer.m_members.push_back({ .m_name = row.at("name"), .m_address = row.at("address"), .m_zone = row.at("zone"), .m_state = row.at("state"), .m_instance = row.at("instance"), .m_settingsVersion = row.at("settings_version"), .m_heartbeatAgeMs = row.at("silent_ms") });
    for (const Json& row : object.at("shards"))
        answer.m_shards.push_back({ .m_name = row.at("name"), .m_owner = row.at("owner"), .m_address = row.at("address"), .m_epoch = row.at("epoch") });
    return answer;
}

} // namespace bulrushloft
