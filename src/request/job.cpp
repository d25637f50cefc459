/** @file job.cpp Validation, ids, names and derived states of jobs. */
#include "request/job_func.h"

#include "table/job_table.h"
#include "table/request_table.h"

#include <charconv>

namespace bulrushloft {

namespace {

    constexpr std::size_t nameLimitBytes = 200;
    constexpr std::int64_t cpuLimitMilli = 1'000'000;
    constexpr std::int64_t memoryLimitMb = 64LL * 1024 * 1024;
    constexpr std::int64_t gpuLimit = 1'000;

    Expected<void> checkName(std::string_view field, const std::string& value)
    {
        if (value.empty())
            return fail(ErrorKind::InvalidInput, "\"" + std::string(field) + "\" is empty", "specify a name of 1 to 200 bytes");
        if (value.size() > nameLimitBytes)
            return fail(ErrorKind::TooLarge, "\"" + std::string(field) + "\" has " + std::to_string(value.size()) + " bytes", "specify a name of 1 to 200 bytes");
        return {};
    }

    Expected<void> checkRange(std::string_view field, std::int64_t value, std::int64_t low, std::int64_t high, std::string_view unit)
    {
        if (value >= low && value <= high)
            return {};
        return fail(ErrorKind::InvalidInput, "\"" + std::string(field) + "\" is " + std::to_string(value),
            "specify a value from " + std::to_string(low) + " to " + std::to_string(high) + " " + std::string(unit));
    }

} // namespace

std::string format(const JobId& id)
{
    return id.m_shard + ":" + std::to_string(id.m_number.m_value);
}

std::string format(const TaskRef& ref)
{
    return std::to_string(ref.m_job.m_value) + "/" + std::to_string(ref.m_task) + "#" + std::to_string(ref.m_attempt);
}

std::string_view nameOf(JobKind kind) { return findName(jobKindNames, kind); }
std::string_view nameOf(TaskState state) { return findName(taskStateNames, state); }
std::string_view nameOf(JobState state) { return findName(jobStateNames, state); }
std::string_view nameOf(TaskResult result) { return findName(taskResultNames, result); }
std::string_view nameOf(RequestState state) { return findName(requestStateNames, state); }

Expected<JobId> parseJobId(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    JobId id;
    if (colon != std::string::npos && colon > 0) {
        id.m_shard = text.substr(0, colon);
        const char* const end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, id.m_number.m_value);
        if (parsed.ec == std::errc {} && parsed.ptr == end && id.m_number.m_value > 0)
            return id;
    }
    return fail(ErrorKind::InvalidInput, "\"" + text + "\" is not a job id", "use the id that was returned at submission, such as proof-0:17");
}

Expected<void> checkJobSpec(const JobSpec& spec)
{
    const auto names = { std::pair<std::string_view, const std::string&> { "key", spec.m_key }, { "name", spec.m_name },
        { "team", spec.m_team }, { "class", spec.m_workClass }, { "pool", spec.m_pool } };
    for (const auto& [field, value] : names) {
        if (auto checked = checkName(field, value); !checked)
            return checked;
    }
    if (spec.m_payload.size() > payloadLimitBytes)
        return fail(ErrorKind::TooLarge, "\"payload\" has " + std::to_string(spec.m_payload.size()) + " bytes", "send at most " + std::to_string(payloadLimitBytes) + " bytes");
    if (spec.m_kind == JobKind::Service && !spec.m_isIdempotent)
        return fail(ErrorKind::InvalidInput, "a service is marked as non-idempotent, but services are restarted when their worker is lost", "set \"idempotent\" to true or submit a batch job");
    if (auto checked = checkRange("tasks", spec.m_taskCount, 1, taskCountLimit, "tasks"); !checked)
        return checked;
    if (auto checked = checkRange("cpu_milli", spec.m_declared.m_cpuMilli, 1, cpuLimitMilli, "thousandths of a core"); !checked)
        return checked;
    if (auto checked = checkRange("memory_mb", spec.m_declared.m_memoryMb, 1, memoryLimitMb, "MiB"); !checked)
        return checked;
    if (auto checked = checkRange("gpus", spec.m_declared.m_gpus, 0, gpuLimit, "GPUs"); !checked)
        return checked;
    if (auto checked = checkRange("run_time_ms", spec.m_declaredRunTime.m_ms, 0, INT64_MAX / 8, "ms"); !checked)
        return checked;
    return checkRange("failure_limit", spec.m_failureLimit, 1, 100, "failures");
}

std::uint32_t countTasks(const Job& job, TaskState state)
{
    return job.m_counts[static_cast<std::size_t>(state)];
}

JobState stateOf(const Job& job)
{
    const std::uint32_t waiting = countTasks(job, TaskState::Waiting);
    const std::uint32_t placed = countTasks(job, TaskState::Placed);
    if (waiting == job.m_spec.m_taskCount)
        return JobState::Waiting;
    if (waiting + placed > 0)
        return JobState::Running;
    if (countTasks(job, TaskState::Unknown) > 0)
        return JobState::Unknown;
    if (countTasks(job, TaskState::Failed) > 0)
        return JobState::Failed;
    if (countTasks(job, TaskState::Done) == job.m_spec.m_taskCount)
        return JobState::Done;
    return JobState::Cancelled;
}

std::string usageKey(const JobSpec& spec)
{
    return spec.m_team + "/" + spec.m_name;
}

} // namespace bulrushloft
