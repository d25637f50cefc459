/** @file fake_lease_worker.h A worker that runs attempts under a lease, with a fencing token and a list of ends. */
#pragma once

#include "connection/order_type.h"

#include <functional>
#include <map>
#include <optional>

namespace bulrushloft::test {

/** One worker; time is given by the caller. */
struct FakeLeaseWorker {
    struct Run {
        std::uint32_t m_attempt = 0;
        std::int64_t m_endsAtMs = 0; ///< On the worker's clock.
        bool m_isStopping = false;
    };

    std::string m_id;
    std::int64_t m_processStartMs = 1;
    std::int64_t m_clockOriginMs = 0; ///< CellSimulation time at which its clock was 0.
    std::int64_t m_capacityCpuMilli = 4'000;
    std::int64_t m_taskCpuMilli = 1'000;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::map<TaskName, Run> m_running;
    std::map<TaskName, std::uint32_t> m_highestEndedAttempt;
    std::vector<EndedAttempt> m_ended;
    std::uint64_t m_lastEndNumber = 0;
    std::uint64_t m_lastExpiredEnd = 0; ///< The lease has run out after these ends; they count as not acknowledged.
    bool m_isUnreachable = false; ///< Runs on, but neither hears nor answers.
    bool m_isDown = false; ///< Its process has ended.
    std::function<void(const FakeLeaseWorker&, const TaskName&, std::uint32_t)> m_onStart;
    std::function<void(const FakeLeaseWorker&, const TaskName&, std::uint32_t, AttemptEnd)> m_onEnd;
    std::function<void(const FakeLeaseWorker&, const EndedAttempt&)> m_onAck;

    std::int64_t clockAt(std::int64_t now) const { return now - m_clockOriginMs; }

    void recordEnd(const TaskName& task, AttemptEnd outcome)
    {
        const std::uint32_t attempt = m_running.at(task).m_attempt;
        m_running.erase(task);
        m_highestEndedAttempt[task] = std::max(m_highestEndedAttempt[task], attempt);
        m_ended.push_back({ .m_number = ++m_lastEndNumber, .m_task = task, .m_attempt = attempt, .m_end = outcome, .m_checkpoint = {} });
        m_onEnd(*this, task, attempt, outcome);
    }

    void tick(std::int64_t now)
    {
        if (m_isDown)
            return;
        const bool isLapsed = clockAt(now) > m_leaseUntilMs;
        const auto running = m_running;
        if (isLapsed)
            m_lastExpiredEnd = m_lastEndNumber;
        for (const auto& [task, run] : running) {
            if (isLapsed)
                recordEnd(task, AttemptEnd::Lapsed);
            else if (run.m_isStopping)
                recordEnd(task, AttemptEnd::Stopped);
            else if (clockAt(now) >= run.m_endsAtMs)
                recordEnd(task, AttemptEnd::Done);
        }
    }

    bool acceptToken(std::uint64_t token)
    {
        if (token < m_token)
            return false;
        m_token = token;
        return true;
    }

    OrderStatus start(const StartOrder& order, std::uint64_t token, std::int64_t runMs, std::int64_t now)
    {
        if (!acceptToken(token))
            return OrderStatus::Fenced;
        if (order.m_leaseUntilMs < clockAt(now))
            return OrderStatus::LeaseOver;
        m_leaseUntilMs = std::max(m_leaseUntilMs, order.m_leaseUntilMs);
        const auto found = m_running.find(order.m_task);
        if (found != m_running.end() && found->second.m_attempt == order.m_attempt)
            return OrderStatus::Done;
        const auto ended = m_highestEndedAttempt.find(order.m_task);
        if (ended != m_highestEndedAttempt.end() && order.m_attempt <= ended->second)
            return OrderStatus::Superseded;
        m_onStart(*this, order.m_task, order.m_attempt);
        m_running[order.m_task] = { .m_attempt = order.m_attempt, .m_endsAtMs = clockAt(now) + runMs, .m_isStopping = false };
        return OrderStatus::Done;
    }

    OrderStatus stop(const StopOrder& order, std::uint64_t token)
    {
        if (!acceptToken(token))
            return OrderStatus::Fenced;
        m_highestEndedAttempt[order.m_task] = std::max(m_highestEndedAttempt[order.m_task], order.m_attempt);
        const auto found = m_running.find(order.m_task);
        if (found != m_running.end() && found->second.m_attempt <= order.m_attempt)
            found->second.m_isStopping = true;
        return OrderStatus::Done;
    }

    std::optional<SyncReport> sync(const SyncOrder& order, std::uint64_t token, std::int64_t now)
    {
        if (!acceptToken(token))
            return std::nullopt;
        if (order.m_leaseUntilMs)
            m_leaseUntilMs = std::max(m_leaseUntilMs, *order.m_leaseUntilMs);
        std::erase_if(m_ended, [&](const EndedAttempt& ended) {
            if (ended.m_number > order.m_ackedEnds)
                return false;
            if (ended.m_number > m_lastExpiredEnd)
                m_onAck(*this, ended);
            return true;
        });
        SyncReport report { .m_clockMs = clockAt(now), .m_bornMs = m_processStartMs, .m_running = {}, .m_ended = m_ended };
        for (const auto& [task, run] : m_running)
            report.m_running.push_back({ .m_task = task, .m_attempt = run.m_attempt, .m_checkpoint = {}, .m_percent = static_cast<int>(clockAt(now) % 100), .m_figure = 0 });
        return report;
    }

    /** The process ends, and all that runs with it. */
    void crash()
    {
        m_isDown = true;
        const auto running = std::exchange(m_running, {});
        for (const auto& [task, run] : running)
            m_onEnd(*this, task, run.m_attempt, AttemptEnd::Lapsed);
    }

    /** Another process starts under the same id, knowing nothing. */
    void restart(std::int64_t now)
    {
        m_highestEndedAttempt.clear();
        m_ended.clear();
        m_lastEndNumber = 0;
        m_lastExpiredEnd = 0;
        m_token = 0;
        m_leaseUntilMs = 0;
        m_processStartMs = now;
        m_clockOriginMs = now;
        m_isDown = false;
    }
};

} // namespace bulrushloft::test
