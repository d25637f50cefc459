/** @file codec.cpp Encoding of the parts that journal entries and snapshots have in common. */
#include "process/journal/codec_func.h"

#include "process/journal/codec_enum.h"

namespace bulrushloft {

using Json = nlohmann::json;

namespace {

    constexpr unsigned jobKindCount = 3;

} // namespace

Json encodeResources(const Resources& resources)
{
    return Json::array({ resources.m_cpuMilli, resources.m_memoryMb, resources.m_gpus });
}

Resources decodeResources(const Json& row)
{
    return { .m_cpuMilli = row.at(0), .m_memoryMb = row.at(1), .m_gpus = row.at(2) };
}

Json encodeSpec(const JobSpec& spec)
{
    return Json::array({ spec.m_key, spec.m_name, spec.m_team, spec.m_workClass, spec.m_pool, static_cast<unsigned>(spec.m_kind),
        spec.m_taskCount, encodeResources(spec.m_declared), spec.m_declaredRunTime.m_ms, spec.m_isIdempotent, spec.m_failureLimit,
        spec.m_payload });
}

JobSpec decodeSpec(const Json& row)
{
    JobSpec spec;
    spec.m_key = row.at(0);
    spec.m_name = row.at(1);
    spec.m_team = row.at(2);
    spec.m_workClass = row.at(3);
    spec.m_pool = row.at(4);
    spec.m_kind = decodeEnum<JobKind>(row.at(5), jobKindCount);
    spec.m_taskCount = row.at(6);
    spec.m_declared = decodeResources(row.at(7));
    spec.m_declaredRunTime.m_ms = row.at(8);
    spec.m_isIdempotent = row.at(9);
    spec.m_failureLimit = row.at(10);
    spec.m_payload = row.at(11);
    return spec;
}

Json encodeUsage(const TaskUsage& usage)
{
    return Json::array({ usage.m_peakCpuMilli, usage.m_peakMemoryMb, usage.m_runTime.m_ms });
}

TaskUsage decodeUsage(const Json& row)
{
    return { .m_peakCpuMilli = row.at(0), .m_peakMemoryMb = row.at(1), .m_runTime = { row.at(2) } };
}

} // namespace bulrushloft
