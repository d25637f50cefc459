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
    std::int64_t m_startedAt = 0; ///< World time at which its clock was 0.
    std::int64_t m_capacityMilli = 4'000;
    std::int64_t m_taskMilli = 1'000;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::map<TaskName, Run> m_running;
    std::map<TaskName, std::uint32_t> m_highestEnded;
    std::vector<EndedAttempt> m_ended;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_lapsedUpTo = 0; ///< The lease has run out after these ends; they count as not acknowledged.
    bool m_isDark = false; ///< Runs on, but neither hears nor answers.
    bool m_isDown = false; ///< Its process has ended.
    std::function<void(const FakeLeaseWorker&, const TaskName&, std::uint32_t)> m_onStart;
    std::function<void(const FakeLeaseWorker&, const TaskName&, std::uint32_t, AttemptEnd)> m_onEnd;
    std::function<void(const FakeLeaseWorker&, const EndedAttempt&)> m_onAck;

    std::int64_t clock(std::int64_t now) const { return now - m_startedAt; }

    void end(const TaskName& task, AttemptEnd how)
    {
        const std::uint32_t attempt = m_running.at(task).m_attempt;
        m_running.erase(task);
        m_highestEnded[task] = std::max(m_highestEnded[task], attempt);
        m_ended.push_back({ .m_number = ++m_lastEnd, .m_task = task, .m_attempt = attempt, .m_end = how, .m_checkpoint = {} });
        m_onEnd(*this, task, attempt, how);
    }

    void tick(std::int64_t now)
    {
        if (m_isDown)
            return;
        const bool isLapsed = clock(now) > m_leaseUntilMs;
        const auto running = m_running;
        if (isLapsed)
            m_lapsedUpTo = m_lastEnd;
        for (const auto& [task, run] : running) {
            if (isLapsed)
                end(task, AttemptEnd::LeaseExpired);
            else if (run.m_isStopping)
                end(task, AttemptEnd::Stopped);
            else if (clock(now) >= run.m_endsAtMs)
                end(task, AttemptEnd::Done);
        }
    }

    bool takeToken(std::uint64_t token)
    {
        if (token < m_token)
            return false;
        m_token = token;
        return true;
    }

    OrderStatus start(const StartOrder& order, std::uint64_t token, std::int64_t runMs, std::int64_t now)
    {
        if (!takeToken(token))
            return OrderStatus::Fenced;
        if (order.m_leaseUntilMs < clock(now))
            return OrderStatus::LeaseExpired;
        m_leaseUntilMs = std::max(m_leaseUntilMs, order.m_leaseUntilMs);
        const auto there = m_running.find(order.m_task);
        if (there != m_running.end() && there->second.m_attempt == order.m_attempt)
            return OrderStatus::Done;
        const auto ended = m_highestEnded.find(order.m_task);
        if (ended != m_highestEnded.end() && order.m_attempt <= ended->second)
            return OrderStatus::Superseded;
        m_onStart(*this, order.m_task, order.m_attempt);
        m_running[order.m_task] = { .m_attempt = order.m_attempt, .m_endsAtMs = clock(now) + runMs, .m_isStopping = false };
        return OrderStatus::Done;
    }

    OrderStatus stop(const StopOrder& order, std::uint64_t token)
    {
        if (!takeToken(token))
            return OrderStatus::Fenced;
        m_highestEnded[order.m_task] = std::max(m_highestEnded[order.m_task], order.m_attempt);
        const auto there = m_running.find(order.m_task);
        if (there != m_running.end() && there->second.m_attempt <= order.m_attempt)
            there->second.m_isStopping = true;
        return OrderStatus::Done;
    }

    std::optional<SyncReport> sync(const SyncOrder& order, std::uint64_t token, std::int64_t now)
    {
        if (!takeToken(token))
            return std::nullopt;
        if (order.m_leaseUntilMs)
            m_leaseUntilMs = std::max(m_leaseUntilMs, *order.m_leaseUntilMs);
        std::erase_if(m_ended, [&](const EndedAttempt& ended) {
            if (ended.m_number > order.m_ackedEndNumber)
                return false;
            if (ended.m_number > m_lapsedUpTo)
                m_onAck(*this, ended);
            return true;
        });
        SyncReport report { .m_clockMs = clock(now), .m_processStartMs = m_processStartMs, .m_running = {}, .m_ended = m_ended };
        for (const auto& [task, run] : m_running)
            report.m_running.push_back({ .m_task = task, .m_attempt = run.m_attempt, .m_checkpoint = {}, .m_percent = static_cast<int>(clock(now) % 100), .m_loadMetric = 0 });
        return report;
    }

    /** The process ends, and all that runs with it. */
    void crash()
    {
        m_isDown = true;
        const auto running = std::exchange(m_running, {});
        for (const auto& [task, run] : running)
            m_onEnd(*this, task, run.m_attempt, AttemptEnd::LeaseExpired);
    }

    /** Another process starts under the same id, knowing nothing. */
    void restart(std::int64_t now)
    {
        m_highestEnded.clear();
        m_ended.clear();
        m_lastEnd = 0;
        m_lapsedUpTo = 0;
        m_token = 0;
        m_leaseUntilMs = 0;
        m_processStartMs = now;
        m_startedAt = now;
        m_isDown = false;
    }
};

} // namespace bulrushloft::test
