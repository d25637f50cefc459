/** @file queue_policy_codec.cpp Encoding of the policy of a queue as an array. */
#include "request/queue_policy_codec.h"

#include "request/plan_type.h"

#include <algorithm>
#include <cmath>

namespace bulrushloft {

using Json = nlohmann::json;

namespace {

    constexpr std::size_t approvalIndex = 5; ///< Position of the policy for approvals; the array ends before it if none are needed.
    constexpr double maxFactor = 1e6; ///< Largest slack factor.
    constexpr double maxCallTimeMs = 1e9; ///< Longest call to an approval service.

    /** @return The number, as far as it lies between 0 and a limit; 0 if it is not a number. */
    double readAmount(const Json& value, double limit)
    {
        const auto number = value.get<double>();
        return std::isnan(number) ? 0 : std::clamp(number, 0.0, limit);
    }

    Duration readDuration(const Json& value)
    {
        return { std::clamp(value.get<std::int64_t>(), std::int64_t {}, maxPlanTime.m_ms) };
    }

} // namespace

Json policyToJson(const QueuePolicy& policy)
{
    Json row = Json::array({ policy.m_version, policy.m_priority, policy.m_failureLimit, policy.m_slackFactor, policy.m_latencyTarget.m_ms });
    if (policy.m_approval)
        row.push_back(Json::array({ policy.m_approval->m_baseCallTimeMs, policy.m_approval->m_callTimePerWorkerMs, policy.m_approval->m_validity.m_ms }));
    return row;
}

QueuePolicy policyFromJson(const Json& row)
{
    QueuePolicy policy { .m_version = row.at(0),
        .m_pool = {},
        .m_priority = row.at(1),
        .m_failureLimit = std::max(1U, row.at(2).get<std::uint32_t>()),
        .m_slackFactor = readAmount(row.at(3), maxFactor),
        .m_latencyTarget = readDuration(row.at(4)),
        .m_approval = {} };
    if (row.size() > approvalIndex) {
        const Json& approval = row.at(approvalIndex);
        policy.m_approval = ApprovalPolicy { .m_baseCallTimeMs = readAmount(approval.at(0), maxCallTimeMs), .m_callTimePerWorkerMs = readAmount(approval.at(1), maxCallTimeMs), .m_validity = readDuration(approval.at(2)) };
    }
    return policy;
}

} // namespace bulrushloft
