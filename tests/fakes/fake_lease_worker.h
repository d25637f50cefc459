/** @file fake_lease_worker.h In-memory worker that runs task attempts under a lease, with a fencing token and a list of ended attempts. */
#pragma once

#include "connection/order_type.h"

#include <functional>
#include <map>
#include <optional>

namespace bulrushloft::test {

/** A worker. Functions that take `now` expect the simulated time in ms; the worker's own clock has another origin. */
struct FakeLeaseWorker {
    /** A running attempt. */
    struct Run {
        std::uint32_t m_attempt = 0; ///< Attempt number.
        std::int64_t m_endsAtMs = 0; ///< Planned end on the worker's clock.
        bool m_isStopping = false; ///< A stop order has arrived; the attempt ends at the next tick.
        std::int64_t m_startedAtMs = 0; ///< Start on the worker's clock.
    };

    std::string m_id; ///< Stays the same across restarts, unless the new process is renamed.
    int m_renamings = 0; ///< How often it was renamed.
    std::int64_t m_processStartMs = 1; ///< Simulated time at which the process started; the leader recognises a restart by a changed value.
    std::int64_t m_clockOriginMs = 0; ///< Simulated time at which the worker's clock was 0.
    std::int64_t m_longestLeaseMs = 6'000; ///< Upper bound of the remaining lease, in ms; longer ones are shortened to it.
    static constexpr std::int64_t fullCpuMilli = 4'000; ///< Capacity in thousandths of a core before it shrinks.
    std::int64_t m_capacityCpuMilli = fullCpuMilli; ///< Present capacity in thousandths of a core. The worker does not guard it: it starts what it is ordered to.
    std::int64_t m_shrunkAtMs = 0; ///< Simulated time at which the capacity shrank; unused while it is full.
    std::int64_t m_taskCpuMilli = 1'000; ///< CPU use of each task in thousandths of a core.
    std::uint64_t m_token = 0; ///< Highest fencing token seen; orders with a lower one are rejected.
    std::int64_t m_leaseUntilMs = 0; ///< End of the lease on the worker's clock.
    std::map<TaskName, Run> m_running; ///< Running attempts.
    std::map<TaskName, std::uint32_t> m_highestEndedAttempt; ///< Highest attempt of each task that has ended or was ordered to stop; start orders up to it are answered with Superseded, unless that attempt is still running.
    std::vector<EndedAttempt> m_ended; ///< Ended attempts that the leader has not acknowledged.
    std::uint64_t m_lastEndNumber = 0; ///< Number of the latest end; ends are numbered from 1 in each process.
    std::uint64_t m_lastEndBeforeExpiry = 0; ///< Number of the latest end before the last tick with an expired lease; ends up to it count as not acknowledged, so m_onAck is not called for them.
    bool m_isUnreachable = false; ///< Network partition: attempts keep running, but orders are not delivered.
    bool m_isDown = false; ///< The process is not running.
    bool m_isDark = false; ///< While the process is down, calls get neither an answer nor a reset.
    bool m_takesOrders = true; ///< Whether it answers other calls than syncs; otherwise their connections are reset, and they are not carried out.
    double m_closedShare = 0; ///< Share of the new connections, 0 to 1, that it resets.
    std::function<bool(const FakeLeaseWorker&, const StartOrder&)> m_isTicketValid; ///< Whether the ticket of a start is valid; unset if none is needed.
    std::function<void(const FakeLeaseWorker&, const TaskName&, std::uint32_t)> m_onStart; ///< Called before an attempt starts.
    std::function<void(const FakeLeaseWorker&, const TaskName&, std::uint32_t, AttemptEnd)> m_onEnd; ///< Called after an attempt has ended.
    std::function<void(const FakeLeaseWorker&, const EndedAttempt&)> m_onAck; ///< Called for each end that the leader acknowledges, except those up to m_lastEndBeforeExpiry.

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
        const bool isLeaseExpired = clockAt(now) > m_leaseUntilMs;
        const auto running = m_running;
        if (isLeaseExpired)
            m_lastEndBeforeExpiry = m_lastEndNumber;
        for (const auto& [task, run] : running) {
            if (isLeaseExpired)
                recordEnd(task, AttemptEnd::LeaseExpired);
            else if (run.m_isStopping)
                recordEnd(task, AttemptEnd::Stopped);
            else if (clockAt(now) >= run.m_endsAtMs)
                recordEnd(task, AttemptEnd::Done);
        }
    }

    /** @return False if the token is lower than one that was seen before. */
    bool acceptToken(std::uint64_t token)
    {
        if (token < m_token)
            return false;
        m_token = token;
        return true;
    }

    void extendLease(std::int64_t untilMs, std::int64_t now) { m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clockAt(now) + m_longestLeaseMs)); }

    OrderStatus start(const StartOrder& order, std::uint64_t token, std::int64_t runMs, std::int64_t now)
    {
        if (!acceptToken(token))
            return OrderStatus::Fenced;
        if (order.m_leaseUntilMs < clockAt(now))
            return OrderStatus::LeaseExpired;
        extendLease(order.m_leaseUntilMs, now);
        const auto found = m_running.find(order.m_task);
        if (found != m_running.end() && found->second.m_attempt == order.m_attempt)
            return OrderStatus::Done;
        const auto ended = m_highestEndedAttempt.find(order.m_task);
        if (ended != m_highestEndedAttempt.end() && order.m_attempt <= ended->second)
            return OrderStatus::Superseded;
        if (m_isTicketValid && !m_isTicketValid(*this, order))
            return OrderStatus::InvalidTicket;
        m_onStart(*this, order.m_task, order.m_attempt);
        m_running[order.m_task] = { .m_attempt = order.m_attempt, .m_endsAtMs = clockAt(now) + runMs, .m_isStopping = false, .m_startedAtMs = clockAt(now) };
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

    /** @return The report; nothing if the token is lower than one that was seen before. */
    std::optional<SyncReport> sync(const SyncOrder& order, std::uint64_t token, std::int64_t now)
    {
        if (!acceptToken(token))
            return std::nullopt;
        if (order.m_leaseUntilMs)
            extendLease(*order.m_leaseUntilMs, now);
        std::erase_if(m_ended, [&](const EndedAttempt& ended) {
            if (ended.m_number > order.m_ackedEndNumber)
                return false;
            if (ended.m_number > m_lastEndBeforeExpiry)
                m_onAck(*this, ended);
            return true;
        });
        SyncReport report { .m_clockMs = clockAt(now), .m_processStartMs = m_processStartMs, .m_running = {}, .m_ended = m_ended };
        for (const auto& [task, run] : m_running)
            report.m_running.push_back({ .m_task = task, .m_attempt = run.m_attempt, .m_checkpoint = {}, .m_percent = static_cast<int>(clockAt(now) % 100), .m_loadMetric = 0 });
        return report;
    }

    /** Ends the process and all running attempts without recording their ends, so that the leader gets no report of them. */
    void crash()
    {
        m_isDown = true;
        const auto running = std::exchange(m_running, {});
        for (const auto& [task, run] : running)
            m_onEnd(*this, task, run.m_attempt, AttemptEnd::LeaseExpired);
    }

    /** Starts a new process under the same id, without any state of the old one. */
    void restart(std::int64_t now)
    {
        m_highestEndedAttempt.clear();
        m_ended.clear();
        m_lastEndNumber = 0;
        m_lastEndBeforeExpiry = 0;
        m_token = 0;
        m_leaseUntilMs = 0;
        m_processStartMs = now;
        m_clockOriginMs = now;
        m_isDown = false;
    }

    /** @return What stays the same when a process takes another id: the part before the dot. */
    static std::string machineOf(const std::string& id) { return id.substr(0, id.find('.')); }

    /** Gives the process another id than the one before it at the same address. */
    void rename() { m_id = machineOf(m_id) + "." + std::to_string(++m_renamings); }
};

} // namespace bulrushloft::test
