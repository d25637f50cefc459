/** @file approval_load.h A scheduler with simulated workers, approvals and records, for tests of steps that need approvals. */
#pragma once

#include "core/hash_func.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace bulrushloft::test {

using namespace scheduler;

inline constexpr Duration stepLength { 10 };
inline constexpr Duration gangRunTime { 3'600 };
inline constexpr double gangSlackFactor = 2.2;
inline constexpr Duration gangLatencyTarget { 1'000 };

inline QueueSettings makeQueue(const std::string& name, double slack, Duration target, const ApprovalPolicy& policy)
{
    return { .m_name = name, .m_host = "h", .m_pathPrefix = "/" + name + "/", .m_pool = "pool", .m_priority = 0, .m_failureLimit = 3, .m_slackFactor = slack, .m_latencyTarget = target, .m_timeout = { 3'000 }, .m_approval = policy };
}

/** A scheduler whose workers, approvals and records are simulated. Workers refuse starts whose ticket has lapsed. */
struct ApprovalLoad {
    /** A simulated attempt. */
    struct Run {
        TaskName m_task;
        std::uint32_t m_attempt = 0;
        TimePoint m_endsAt;
        TimePoint m_startedAt {};
    };

    /** A simulated worker. */
    struct SimulatedWorker {
        std::vector<Run> m_runs;
        std::vector<EndedAttempt> m_ended;
        std::uint64_t m_lastEnd = 0;
        bool m_isSyncDue = false;
        TimePoint m_syncSentAt; ///< When the sync was sent that has no answer yet; zero for none.
        std::int64_t m_process = 1; ///< Start of its process; a later one knows nothing of the former one's attempts and tickets.
        TimePoint m_startedAt { -5'000 }; ///< When its process started, from which its clock counts.
        TimePoint m_silentUntil; ///< Until then it is out of reach; what it runs goes on.
        bool m_isGone = false; ///< It has left for good, with all that it ran.
        std::string m_pool = "pool"; ///< Pool that it announces.
        Resources m_capacity { .m_cpuMilli = 32'000, .m_memoryMb = 131'072, .m_gpus = 8 }; ///< Capacity that it announces.
        double m_slowdown = 1; ///< Run time on it divided by that on a worker of mean speed.
        std::string m_rack = "r1-1"; ///< Rack label that it announces.
    };

    Scheduler m_scheduler;
    TimePoint m_now { 1'000 };
    std::map<std::string, SimulatedWorker> m_workers;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<std::string, Duration> m_waits; ///< Time from acceptance to the first start, by job.
    double m_approvedShare; ///< Share of approved workers.
    std::map<std::string, double> m_approvedShareByQueue; ///< Share of approved workers of the queues where it differs.
    std::uint64_t m_requests = 0;
    bool m_areRequestsAnswered = true; ///< Whether approval requests are answered; they fail otherwise.
    double m_callFactor = 1; ///< Time that approval requests take, divided by the expected one.
    bool m_areCallsSerial = false; ///< Whether a VM begins a call only when its former one has ended, as VMs with one open call at a time do.
    std::map<std::string, TimePoint> m_callEnds; ///< End of the last call of each VM, if they are serial.
    std::function<void(const ApprovalRequest&, TimePoint)> m_onAnswered; ///< If set, is told of each answered request and when it was sent.
    std::string m_failingVm; ///< VM that doesn't reach the approval service, so that its requests time out; empty for none.
    int m_ticketsToRefuse = 0; ///< Number of starts whose ticket is refused although it has not lapsed.
    std::size_t m_latestNamed = 0; ///< Number of workers named in the latest request.
    std::size_t m_mostNamed = 0; ///< Largest number of workers named in a request.
    std::set<std::pair<std::string, std::uint64_t>> m_placedSteps; ///< Job and batch of each placement of tasks of a step.
    std::uint64_t m_starts = 0;
    std::uint64_t m_lapsedStarts = 0; ///< Starts that were sent with a lapsed ticket, and refused.
    std::uint64_t m_stoppedMembers = 0; ///< Running members of gangs that were stopped.
    std::function<Duration()> m_recordTime; ///< Time after which an append of records is durable; appends become so in their order. Records are durable at once when unset.
    bool m_isProgressReported = false; ///< Whether workers report the progress of what they run.
    std::function<double(const TaskName&)> m_estimateError; ///< Run time of a task divided by the caller's estimate; 1 when unset.
    std::deque<std::pair<std::uint64_t, TimePoint>> m_appends; ///< Batches that are not durable yet, with the time at which they will be.
    int m_nextJob = 1;
    ClusterSettings m_cluster; ///< The configuration in force.
    std::map<std::string, QueueSettings> m_queues; ///< Queues by name, as the latest version says that has named them.
    bool m_keepsRecords = false; ///< Whether m_recorded is filled.
    std::map<std::string, std::string> m_recorded; ///< The newest record of each key, as soon as it is sent.

    explicit ApprovalLoad(int workers, int proxies, double approvedShare)
        : m_approvedShare(approvedShare)
    {
        m_scheduler.m_options.m_token = 1;
        m_scheduler.m_isInitialLoad = false;
        const ApprovalPolicy gangPolicy { .m_baseCallTimeMs = 490, .m_callTimePerWorkerMs = 7, .m_validity = { 2'000 } };
        const ApprovalPolicy smallPolicy { .m_baseCallTimeMs = 160, .m_callTimePerWorkerMs = 2.3, .m_validity = { 2'000 } };
        const ApprovalPolicy quickPolicy { .m_baseCallTimeMs = 25, .m_callTimePerWorkerMs = 0.35, .m_validity = { 2'000 } };
        configure({ .m_version = 1, .m_queues = { makeQueue("gang", gangSlackFactor, gangLatencyTarget, gangPolicy), makeQueue("small", 4, { 3'000 }, smallPolicy), makeQueue("quick", 2, { 300 }, quickPolicy) }, .m_pools = { { .m_name = "pool" } } });
        for (int i = 0; i < proxies; ++i)
            m_scheduler.m_approvalProxies.push_back({ .m_member = "vm-" + std::to_string(i), .m_busyUntil = {} });
        for (int i = 0; i < workers; ++i)
            adopt("w" + std::to_string(i));
    }

    /** Puts a version of the configuration into force. */
    void configure(const ClusterSettings& cluster)
    {
        m_cluster = cluster;
        for (const QueueSettings& each : cluster.m_queues)
            m_queues[each.m_name] = each;
        setCluster(m_scheduler, m_cluster);
    }

    /** @return A queue as the latest version says that has named it. */
    const QueueSettings& queue(const std::string& name) const { return m_queues.at(name); }

    void adopt(const std::string& id)
    {
        m_workers[id];
        announce(id);
        SchedulerEffects effects;
        onSyncAnswer(m_scheduler, id, OrderStatus::Done, { .m_clockMs = 5'000, .m_processStartMs = 1, .m_running = {}, .m_ended = {} }, m_now, m_now, effects);
    }

    void announce(const std::string& id, bool isDraining = false)
    {
        updateWorker(m_scheduler, { .m_id = id, .m_pool = m_workers.at(id).m_pool, .m_address = { "127.0.0.1", 9 }, .m_zone = "a", .m_machine = {}, .m_capacity = m_workers.at(id).m_capacity, .m_labels = { "a", m_workers.at(id).m_rack }, .m_isDraining = isDraining, .m_remainingDrainTime = { isDraining ? 4'500 : 0 }, .m_processStartMs = m_workers.at(id).m_process }, m_now);
    }

    std::string nextJobId() const
    {
        char text[17];
        std::snprintf(text, sizeof(text), "%016x", static_cast<unsigned>(m_nextJob));
        return text;
    }

    std::string submit(const std::string& queue, const StepPlan& step)
    {
        std::string text = nextJobId();
        ++m_nextJob;
        acceptJob(m_scheduler, { .m_id = text, .m_queue = queue, .m_policy = { .m_pool = this->queue(queue).m_pool }, .m_payload = "p", .m_steps = { step }, .m_firstStart = {}, .m_period = {}, .m_occurrenceCount = 0, .m_submittedAt = m_now }, m_now);
        return text;
    }

    std::string submitGang(std::uint32_t width, std::int64_t gpus)
    {
        StepPlan step { .m_count = width, .m_size = { .m_cpuMilli = 15'000, .m_memoryMb = 63'000, .m_gpus = gpus }, .m_estimatedRunTime = gangRunTime };
        step.m_isGang = true;
        return submit("gang", step);
    }

    void submitSmall(std::uint32_t width)
    {
        submit("small", { .m_count = width, .m_size = { .m_cpuMilli = 2'800, .m_memoryMb = 11'000, .m_gpus = 1 }, .m_estimatedRunTime = { 3'000 } });
    }

    bool isApprovedFor(const std::string& queue, const std::string& job, const std::string& worker) const
    {
        const auto found = m_approvedShareByQueue.find(queue);
        const double share = found == m_approvedShareByQueue.end() ? m_approvedShare : found->second;
        return static_cast<double>(stableHash(worker, stableHash(job)) % 1'000) < share * 1'000;
    }

    bool isApproved(const std::string& job, const std::string& worker) const
    {
        return isApprovedFor(m_scheduler.m_jobs.at(job)->m_plan.m_queue, job, worker);
    }

    const std::optional<ApprovalPolicy>& policyOf(const std::string& job) const { return queue(m_scheduler.m_jobs.at(job)->m_plan.m_queue).m_approval; }

    void answer(const ApprovalRequest& request)
    {
        ++m_requests;
        m_latestNamed = request.m_workers.size();
        m_mostNamed = std::max(m_mostNamed, request.m_workers.size());
        if (request.m_member == m_failingVm) {
            constexpr Duration approvalTimeout { 2'500 };
            m_events.emplace(m_now + approvalTimeout, [this, request] { onApprovals(m_scheduler, request, std::nullopt, m_now); });
            return;
        }
        const auto& policy = policyOf(request.m_step.m_job);
        const Duration duration { static_cast<std::int64_t>((policy->m_baseCallTimeMs + policy->m_callTimePerWorkerMs * static_cast<double>(request.m_workers.size())) * m_callFactor) };
        const TimePoint endsAt = (m_areCallsSerial ? std::max(m_now, m_callEnds[request.m_member]) : m_now) + duration;
        m_callEnds[request.m_member] = endsAt;
        m_events.emplace(endsAt, [this, request, policy, sentAt = m_now] {
            if (m_onAnswered)
                m_onAnswered(request, sentAt);
            std::vector<Approval> approvals;
            for (const std::string& worker : request.m_workers) {
                if (isApproved(request.m_step.m_job, worker))
                    approvals.push_back({ .m_worker = worker, .m_ticket = std::to_string((m_now + policy->m_validity).m_ms) + " " + std::to_string(m_workers.at(worker).m_process) });
            }
            onApprovals(m_scheduler, request, m_areRequestsAnswered ? std::optional(approvals) : std::nullopt, m_now);
        });
    }

    /** @return Whether a task runs outside the rack of its data, or in a gang that is spread over racks and slower there. */
    bool isRemote(const TaskName& task, const SimulatedWorker& worker)
    {
        const StepRun& run = *detail::findTask(m_scheduler, task).m_run;
        const StepPlan& step = detail::planOf(run);
        const bool isElsewhere = !step.m_dataRack.empty() && step.m_dataRack != worker.m_rack;
        const bool isSpread = step.m_isRackLocal && std::any_of(run.m_attemptsByWorker.begin(), run.m_attemptsByWorker.end(), [&](const auto& entry) { return m_scheduler.m_workers[static_cast<std::size_t>(entry.first)].m_rack != worker.m_rack; });
        return isElsewhere || isSpread;
    }

    void start(const AddressedOrder<StartOrder>& order)
    {
        if (!isReachable(order.m_to.m_worker)) {
            m_events.emplace(m_now + order.m_timeout, [this, order] { answerStart(order, OrderStatus::NoAnswer); });
            return;
        }
        const JobPlan& plan = m_scheduler.m_jobs.at(order.m_order.m_task.m_job)->m_plan;
        const StepPlan& step = plan.m_steps[order.m_order.m_task.m_step];
        SimulatedWorker& worker = m_workers[order.m_to.m_worker];
        const bool isThere = std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [&](const Run& run) { return run.m_task == order.m_order.m_task && run.m_attempt == order.m_order.m_attempt; });
        if (isThere)
            return answerStart(order, OrderStatus::Done);
        if (policyOf(plan.m_id) && m_now.m_ms > std::stoll(order.m_order.m_ticket)) {
            ++m_lapsedStarts;
            return answerStart(order, OrderStatus::InvalidTicket);
        }
        const bool isOfOtherProcess = policyOf(plan.m_id) && !order.m_order.m_ticket.ends_with(" " + std::to_string(worker.m_process));
        if (isOfOtherProcess || m_ticketsToRefuse > 0) {
            m_ticketsToRefuse -= isOfOtherProcess ? 0 : 1;
            return answerStart(order, OrderStatus::InvalidTicket);
        }
        const double remoteFactor = isRemote(order.m_order.m_task, worker) ? m_scheduler.m_options.m_remoteFactor : 1;
        const double runMs = static_cast<double>(step.m_estimatedRunTime.m_ms) * worker.m_slowdown * remoteFactor * (m_estimateError ? m_estimateError(order.m_order.m_task) : 1);
        const TimePoint endsAt = step.m_isLongRunning ? farFuture : m_now + Duration { static_cast<std::int64_t>(runMs) };
        worker.m_runs.push_back({ .m_task = order.m_order.m_task, .m_attempt = order.m_order.m_attempt, .m_endsAt = endsAt, .m_startedAt = m_now });
        ++m_starts;
        m_waits.try_emplace(plan.m_id, m_now - m_scheduler.m_jobs.at(plan.m_id)->m_acceptedAt);
        answerStart(order, OrderStatus::Done);
    }

    void answerStart(const AddressedOrder<StartOrder>& order, OrderStatus status)
    {
        SchedulerEffects effects;
        onStartAnswer(m_scheduler, order.m_to.m_worker, order.m_order.m_task, order.m_order.m_attempt, { .m_status = status, .m_clockMs = status == OrderStatus::NoAnswer ? 0 : clockOf(m_workers[order.m_to.m_worker]) }, m_now, effects);
    }

    void stop(const AddressedOrder<StopOrder>& order)
    {
        SimulatedWorker& worker = m_workers[order.m_to.m_worker];
        if (!isReachable(order.m_to.m_worker)) {
            m_events.emplace(m_now + order.m_timeout, [this, order] { answerStop(order, OrderStatus::NoAnswer); });
            return;
        }
        const auto stopped = std::erase_if(worker.m_runs, [&](const Run& run) { return run.m_task == order.m_order.m_task && run.m_attempt == order.m_order.m_attempt; });
        m_stoppedMembers += m_scheduler.m_jobs.at(order.m_order.m_task.m_job)->m_plan.m_steps[order.m_order.m_task.m_step].m_isGang ? stopped : 0;
        if (stopped > 0)
            worker.m_ended.push_back({ .m_number = ++worker.m_lastEnd, .m_task = order.m_order.m_task, .m_attempt = order.m_order.m_attempt, .m_end = AttemptEnd::Stopped, .m_checkpoint = {} });
        answerStop(order, OrderStatus::Done);
    }

    void answerStop(const AddressedOrder<StopOrder>& order, OrderStatus status)
    {
        SchedulerEffects effects;
        onStopAnswer(m_scheduler, order.m_to.m_worker, order.m_order.m_task, order.m_order.m_attempt, status, m_now, effects);
    }

    /** From now on the store confirms no records. */
    void holdRecords()
    {
        m_recordTime = [] { return Duration { 3'600'000 }; };
    }

    void keepRecords(const std::vector<KeyedRecord>& records)
    {
        for (const KeyedRecord& each : records) {
            if (m_keepsRecords && each.m_value.empty())
                m_recorded.erase(each.m_key);
            else if (m_keepsRecords)
                m_recorded[each.m_key] = each.m_value;
        }
    }

    /** Appends the records when the pipeline has room for a batch, and reports those that are durable. */
    void record()
    {
        constexpr std::size_t maxAppends = 4;
        if (!m_recordTime || m_appends.size() < maxAppends) {
            const TimePoint durableAt = m_now + (m_recordTime ? m_recordTime() : Duration {});
            m_appends.emplace_back(m_scheduler.m_nextBatch, m_appends.empty() ? durableAt : std::max(m_appends.back().second, durableAt));
            keepRecords(takeRecords(m_scheduler));
        }
        while (!m_appends.empty() && m_appends.front().second <= m_now) {
            onRecorded(m_scheduler, m_appends.front().first, m_now);
            m_appends.pop_front();
        }
    }

    std::int64_t clockOf(const SimulatedWorker& worker) const { return (m_now - worker.m_startedAt).m_ms; }

    bool isReachable(const std::string& id) const { return !m_workers.at(id).m_isGone && m_now >= m_workers.at(id).m_silentUntil; }

    /** Kills the process of a worker, with all that it runs. */
    void kill(SimulatedWorker& worker) const
    {
        worker.m_runs.clear();
        worker.m_ended.clear();
        worker.m_lastEnd = 0;
        worker.m_startedAt = m_now;
        ++worker.m_process;
    }

    int percentOf(const Run& run) const
    {
        return run.m_endsAt == farFuture ? -1 : static_cast<int>((m_now - run.m_startedAt).m_ms * 100 / std::max<std::int64_t>(1, (run.m_endsAt - run.m_startedAt).m_ms));
    }

    void sync(const std::string& id, SimulatedWorker& worker)
    {
        SyncReport report { .m_clockMs = clockOf(worker), .m_processStartMs = worker.m_process, .m_running = {}, .m_ended = worker.m_ended };
        for (const Run& run : worker.m_runs)
            report.m_running.push_back({ .m_task = run.m_task, .m_attempt = run.m_attempt, .m_checkpoint = {}, .m_percent = m_isProgressReported ? percentOf(run) : -1, .m_loadMetric = 0 });
        SchedulerEffects effects;
        onSyncAnswer(m_scheduler, id, OrderStatus::Done, report, m_now, m_now, effects);
        worker.m_ended.clear();
        worker.m_isSyncDue = false;
        worker.m_syncSentAt = {};
    }

    /** Has a worker answer a sync at its next chance; one that is out of reach until the call times out does not. */
    void sendSync(const AddressedOrder<SyncOrder>& sync)
    {
        SimulatedWorker& worker = m_workers[sync.m_to.m_worker];
        worker.m_isSyncDue = isReachable(sync.m_to.m_worker);
        worker.m_syncSentAt = m_now;
        m_events.emplace(m_now + sync.m_timeout, [this, id = sync.m_to.m_worker, sentAt = m_now] {
            SimulatedWorker& each = m_workers[id];
            if (each.m_syncSentAt != sentAt)
                return;
            each.m_isSyncDue = false;
            SchedulerEffects effects;
            onSyncAnswer(m_scheduler, id, OrderStatus::NoAnswer, {}, sentAt, m_now, effects);
        });
    }

    void tick()
    {
        m_now = m_now + stepLength;
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto event = m_events.begin()->second;
            m_events.erase(m_events.begin());
            event();
        }
        for (auto& [id, worker] : m_workers) {
            std::erase_if(worker.m_runs, [&, each = &worker](const Run& run) {
                if (m_now < run.m_endsAt)
                    return false;
                each->m_ended.push_back({ .m_number = ++each->m_lastEnd, .m_task = run.m_task, .m_attempt = run.m_attempt, .m_end = AttemptEnd::Done, .m_checkpoint = {} });
                return true;
            });
            if ((worker.m_isSyncDue || !worker.m_ended.empty()) && isReachable(id))
                sync(id, worker);
        }
        SchedulerEffects effects;
        scheduler::step(m_scheduler, m_now, effects);
        for (const auto& sync : effects.m_syncs)
            sendSync(sync);
        for (const ApprovalRequest& request : effects.m_approvalRequests)
            answer(request);
        for (const TaskRef& ref : m_scheduler.m_recording)
            m_placedSteps.emplace(ref.m_run->m_job->m_plan.m_id, ref.task().m_batch);
        record();
        for (const auto& order : effects.m_starts)
            start(order);
        for (const auto& order : effects.m_stops)
            stop(order);
    }

    void run(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end;)
            tick();
    }
};

} // namespace bulrushloft::test
