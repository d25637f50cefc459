/** @file plan.cpp Validation of job plans. */
#include "request/plan_func.h"

#include <algorithm>

namespace bulrushloft {

namespace {

    constexpr std::size_t jobIdDigits = 16;

    Expected<void> validateStep(const StepPlan& step, std::size_t index)
    {
        const std::string where = "step " + std::to_string(index);
        if (step.m_count == 0)
            return fail(ErrorKind::InvalidInput, where + " has no tasks", "set its count to 1 or more");
        if (!isNonNegative(step.m_size))
            return fail(ErrorKind::InvalidInput, where + " has a negative size", "set its amounts of CPU, memory and GPUs to 0 or more");
        if (step.m_estimatedRunTime.m_ms < 0)
            return fail(ErrorKind::InvalidInput, where + " has a negative run time", "set its estimated run time to 0 ms or more");
        for (const std::uint32_t earlier : step.m_predecessors) {
            if (earlier >= index)
                return fail(ErrorKind::InvalidInput, where + " depends on step " + std::to_string(earlier), "let steps depend on earlier steps only");
        }
        return {};
    }

} // namespace

Expected<void> validatePlan(const JobPlan& plan)
{
    const bool isHex = std::all_of(plan.m_id.begin(), plan.m_id.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); });
    if (plan.m_id.size() != jobIdDigits || !isHex)
        return fail(ErrorKind::InvalidInput, "the job id does not consist of 16 hexadecimal digits", "choose an id of 16 hexadecimal digits");
    if (plan.m_payload.size() > maxPayloadBytes)
        return fail(ErrorKind::TooLarge, "the payload has " + std::to_string(plan.m_payload.size()) + " bytes", "shorten it to at most " + std::to_string(maxPayloadBytes) + " bytes");
    if (plan.m_steps.empty())
        return fail(ErrorKind::InvalidInput, "the job has no steps", "specify at least one step");
    std::size_t tasks = 0;
    for (std::size_t i = 0; i < plan.m_steps.size(); ++i) {
        if (auto valid = validateStep(plan.m_steps[i], i); !valid)
            return valid;
        tasks += plan.m_steps[i].m_count;
    }
    if (tasks > maxTasksPerJob)
        return fail(ErrorKind::TooLarge, "the job has " + std::to_string(tasks) + " tasks", "split it into jobs of at most " + std::to_string(maxTasksPerJob) + " tasks");
    if (plan.m_occurrenceCount > 0 && plan.m_period.m_ms < 0)
        return fail(ErrorKind::InvalidInput, "the period is negative", "set the period to 0 ms or more");
    return {};
}

std::string format(const TaskName& name)
{
    return name.m_job + "." + std::to_string(name.m_occurrence) + "." + std::to_string(name.m_step) + "." + std::to_string(name.m_index);
}

} // namespace bulrushloft
