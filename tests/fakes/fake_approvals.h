/** @file fake_approvals.h In-memory approval service: it approves a fixed part of the pairs of step and worker and answers each calling daemon one call at a time. */
#pragma once

#include "core/hash_func.h"
#include "fake_lease_worker.h"
#include "version/cluster_type.h"

#include <deque>
#include <optional>

namespace bulrushloft::test {

/** The service. Times are simulated milliseconds. */
struct FakeApprovals {
    static constexpr std::size_t maxWaitingCalls = 32; ///< Calls of one daemon that may wait; further ones are refused.

    std::map<std::string, std::deque<std::int64_t>> m_answerTimes; ///< When the calls under way are answered, by calling daemon.

    /** @return Whether a step may run on a worker; this never changes. @param share Approved share of the workers, 0 to 1. */
    static bool isApproved(const TaskName& step, const std::string& worker, double share)
    {
        constexpr std::uint64_t scale = 1'000;
        return static_cast<double>(stableHash(worker, stableHash(step.m_job + "." + std::to_string(step.m_step))) % scale) < share * scale;
    }

    /** Admits a call. @return When it is answered; nothing if too many calls of the daemon wait. */
    std::optional<std::int64_t> admit(const std::string& daemon, const ApprovalPolicy& policy, std::size_t workers, std::int64_t now)
    {
        std::deque<std::int64_t>& calls = m_answerTimes[daemon];
        std::erase_if(calls, [now](std::int64_t answeredAt) { return answeredAt <= now; });
        if (calls.size() > maxWaitingCalls)
            return std::nullopt;
        const std::int64_t startsAt = calls.empty() ? now : calls.back();
        calls.push_back(startsAt + static_cast<std::int64_t>(policy.m_baseCallTimeMs + policy.m_callTimePerWorkerMs * static_cast<double>(workers)));
        return calls.back();
    }

    static std::string ticketPrefix(const TaskName& step, const FakeLeaseWorker& worker)
    {
        return step.m_job + "." + std::to_string(step.m_step) + "@" + worker.m_id + "#" + std::to_string(worker.m_processStartMs) + "<";
    }

    /** @return A ticket for a step on the worker's present process. */
    static std::string makeTicket(const TaskName& step, const FakeLeaseWorker& worker, Duration validity, std::int64_t now)
    {
        return ticketPrefix(step, worker) + std::to_string(now + validity.m_ms);
    }

    /** @return Whether a ticket allows a start on the worker: it is for the step and for this life of the worker, and has not lapsed. */
    static bool isValid(const std::string& ticket, const TaskName& task, const FakeLeaseWorker& worker, std::int64_t now)
    {
        const std::string prefix = ticketPrefix(task, worker);
        return ticket.starts_with(prefix) && std::stoll(ticket.substr(prefix.size())) >= now;
    }
};

} // namespace bulrushloft::test
