/** @file plan_codec.cpp CBOR encoding of job plans. */
#include "request/plan_codec.h"

#include "core/cbor.h"
#include "request/plan_func.h"
#include "request/queue_policy_codec.h"

namespace bulrushloft {

using Json = nlohmann::json;

namespace {

    /** Format version, the first element of an encoded plan; increased with every change of the format. */
    constexpr int planFormatVersion = 1;

    constexpr std::size_t poolIndex = 3; ///< Position of the pool in an encoded plan.
    constexpr std::size_t customerIndex = 10; ///< Position of the customer in an encoded plan, which ends before it if there is neither a customer nor a policy.
    constexpr std::size_t policyIndex = 11; ///< Position of the policy of the queue; earlier releases did not write it.

    /** Bit flags of an encoded step. */
    enum StepFlag : unsigned {
        GangFlag = 1,
        RackLocalFlag = 2,
        CheckpointingFlag = 4,
        SpeculativeFlag = 8,
        LongRunningFlag = 16,
        BestEffortFlag = 32,
    };

    Json stepToJson(const StepPlan& step)
    {
        const unsigned flags = (step.m_isGang ? GangFlag : 0U) | (step.m_isRackLocal ? RackLocalFlag : 0U) | (step.m_isCheckpointing ? CheckpointingFlag : 0U)
            | (step.m_isSpeculative ? SpeculativeFlag : 0U) | (step.m_isLongRunning ? LongRunningFlag : 0U) | (step.m_isBestEffort ? BestEffortFlag : 0U);
        return Json::array({ step.m_count, step.m_size.m_cpuMilli, step.m_size.m_memoryMb, step.m_size.m_gpus, step.m_estimatedRunTime.m_ms, step.m_predecessors, flags,
            step.m_label, step.m_dataRack, step.m_perWorkerLimit, step.m_image, step.m_tailLatencyTarget.m_ms, step.m_unavailableLimit });
    }

    StepPlan stepFromJson(const Json& row)
    {
        const auto flags = row.at(6).get<unsigned>();
        return { .m_count = row.at(0),
            .m_size = { .m_cpuMilli = row.at(1), .m_memoryMb = row.at(2), .m_gpus = row.at(3) },
            .m_estimatedRunTime = { row.at(4).get<std::int64_t>() },
            .m_predecessors = row.at(5).get<std::vector<std::uint32_t>>(),
            .m_isGang = (flags & GangFlag) != 0,
            .m_isRackLocal = (flags & RackLocalFlag) != 0,
            .m_isCheckpointing = (flags & CheckpointingFlag) != 0,
            .m_isSpeculative = (flags & SpeculativeFlag) != 0,
            .m_isLongRunning = (flags & LongRunningFlag) != 0,
            .m_isBestEffort = (flags & BestEffortFlag) != 0,
            .m_label = row.at(7),
            .m_dataRack = row.at(8),
            .m_perWorkerLimit = row.at(9),
            .m_image = row.at(10),
            .m_tailLatencyTarget = { row.at(11).get<std::int64_t>() },
            .m_unavailableLimit = row.at(12) };
    }

} // namespace

std::string encodePlan(const JobPlan& plan)
{
    Json steps = Json::array();
    for (const StepPlan& step : plan.m_steps)
        steps.push_back(stepToJson(step));
    Json root = Json::array({ planFormatVersion, plan.m_id, plan.m_queue, plan.m_policy.m_pool, plan.m_payload, std::move(steps), plan.m_firstStart.m_ms, plan.m_period.m_ms, plan.m_occurrenceCount, plan.m_submittedAt.m_ms });
    const bool hasPolicy = plan.m_policy.m_version > 0;
    if (!plan.m_customer.empty() || hasPolicy)
        root.push_back(plan.m_customer);
    if (hasPolicy)
        root.push_back(policyToJson(plan.m_policy));
    const std::vector<std::uint8_t> bytes = Json::to_cbor(root);
    return { bytes.begin(), bytes.end() };
}

Expected<JobPlan> decodePlan(const std::string& bytes)
{
    try {
        const Json root = decodeCbor(bytes);
        if (root.at(0) != planFormatVersion)
            return fail(ErrorKind::InvalidInput, "the record of a job has the unsupported format version " + root.at(0).dump(), "run the same version of the daemon on all VMs");
        JobPlan plan { .m_id = root.at(1),
            .m_queue = root.at(2),
            .m_policy = root.size() > policyIndex ? policyFromJson(root.at(policyIndex)) : QueuePolicy {},
            .m_payload = root.at(4),
            .m_steps = {},
            .m_firstStart = { root.at(6).get<std::int64_t>() },
            .m_period = { root.at(7).get<std::int64_t>() },
            .m_occurrenceCount = root.at(8),
            .m_submittedAt = { root.at(9).get<std::int64_t>() },
            .m_customer = root.size() > customerIndex ? root.at(customerIndex).get<std::string>() : std::string() };
        plan.m_policy.m_pool = root.at(poolIndex);
        for (const Json& row : root.at(5))
            plan.m_steps.push_back(stepFromJson(row));
        if (auto valid = validateStructure(plan); !valid)
            return tl::unexpected(valid.error());
        return plan;
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, std::string("the record of a job can't be decoded: ") + error.what(), "check whether another program writes to the topic");
    }
}

} // namespace bulrushloft
