/** @file plan.cpp Validation of job plans. */
#include "request/plan_func.h"

#include <algorithm>

namespace bulrushloft {

namespace {

    constexpr std::size_t jobIdDigits = 16;

    bool isPlanTime(Duration time)
    {
        return time.m_ms >= 0 && time <= maxPlanTime;
    }

    Expected<void> validateStepStructure(const StepPlan& step, std::size_t index)
    {
        const std::string where = "step " + std::to_string(index);
        const Resources largest { maxTaskResource, maxTaskResource, maxTaskResource };
        if (!isNonNegative(step.m_size) || !fitsInto(step.m_size, largest))
            return fail(ErrorKind::InvalidInput, where + " has a negative or too large size", "set its amounts of CPU, memory and GPUs to 0 to " + std::to_string(maxTaskResource));
        if (!isPlanTime(step.m_estimatedRunTime) || !isPlanTime(step.m_tailLatencyTarget))
            return fail(ErrorKind::InvalidInput, where + " has a negative or too long run time or latency target", "set them to 0 to " + std::to_string(maxPlanTime.m_ms) + " ms");
        for (const std::uint32_t earlier : step.m_predecessors) {
            if (earlier >= index)
                return fail(ErrorKind::InvalidInput, where + " depends on step " + std::to_string(earlier), "let steps depend on earlier steps only");
        }
        return {};
    }

} // namespace

Expected<void> validateStructure(const JobPlan& plan)
{
    if (plan.m_steps.empty())
        return fail(ErrorKind::InvalidInput, "the job has no steps", "specify at least one step");
    if (plan.m_payload.size() > maxPayloadBytes)
        return fail(ErrorKind::TooLarge, "the payload has " + std::to_string(plan.m_payload.size()) + " bytes", "shorten it to at most " + std::to_string(maxPayloadBytes) + " bytes");
    std::size_t tasks = 0;
    for (std::size_t i = 0; i < plan.m_steps.size(); ++i) {
        if (auto valid = validateStepStructure(plan.m_steps[i], i); !valid)
            return valid;
        tasks += plan.m_steps[i].m_count;
    }
    if (tasks > maxTasksPerJob)
        return fail(ErrorKind::TooLarge, "the job has " + std::to_string(tasks) + " tasks", "split it into jobs of at most " + std::to_string(maxTasksPerJob) + " tasks");
    const Duration firstStart { plan.m_firstStart.m_ms };
    if (!isPlanTime(plan.m_period) || !isPlanTime(firstStart))
        return fail(ErrorKind::InvalidInput, "the first start or the period is negative or too large", "set them to 0 to " + std::to_string(maxPlanTime.m_ms) + " ms");
    return {};
}

Expected<void> validatePlan(const JobPlan& plan)
{
    const bool isHex = std::all_of(plan.m_id.begin(), plan.m_id.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); });
    if (plan.m_id.size() != jobIdDigits || !isHex)
        return fail(ErrorKind::InvalidInput, "the job id does not consist of 16 hexadecimal digits", "choose an id of 16 hexadecimal digits");
    for (std::size_t i = 0; i < plan.m_steps.size(); ++i) {
        if (plan.m_steps[i].m_count == 0)
            return fail(ErrorKind::InvalidInput, "step " + std::to_string(i) + " has no tasks", "set its count to 1 or more");
    }
    return validateStructure(plan);
}

std::string format(const TaskName& name)
{
    return name.m_job + "." + std::to_string(name.m_occurrence) + "." + std::to_string(name.m_step) + "." + std::to_string(name.m_index);
}

} // namespace bulrushloft
