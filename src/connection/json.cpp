/** @file json.cpp Functions shared by the JSON codecs. */
#include "connection/json_func.h"

namespace bulrushloft {

using Json = nlohmann::json;

Json toJson(const TaskRef& ref)
{
    return Json::array({ ref.m_job.m_value, ref.m_task, ref.m_attempt });
}

TaskRef taskRefFromJson(const Json& row)
{
    return { .m_job = JobNumber { row.at(0).get<std::uint64_t>() }, .m_task = row.at(1), .m_attempt = row.at(2) };
}

Json toJson(const Resources& resources)
{
    return Json::array({ resources.m_cpuMilli, resources.m_memoryMb, resources.m_gpus });
}

Resources resourcesFromJson(const Json& row)
{
    return { .m_cpuMilli = row.at(0), .m_memoryMb = row.at(1), .m_gpus = row.at(2) };
}

Json toJson(const FencingToken& token)
{
    return Json::array({ token.m_epoch.m_value, token.m_generation });
}

FencingToken fencingTokenFromJson(const Json& row)
{
    return { .m_epoch = { row.at(0).get<std::uint64_t>() }, .m_generation = row.at(1) };
}

Json toJson(const TaskUsage& usage)
{
    return Json::array({ usage.m_peakCpuMilli, usage.m_peakMemoryMb, usage.m_runTime.m_ms });
}

TaskUsage taskUsageFromJson(const Json& row)
{
    return { .m_peakCpuMilli = row.at(0), .m_peakMemoryMb = row.at(1), .m_runTime = { row.at(2) } };
}

std::string dumpJson(const Json& value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace bulrushloft
