/** @file one_vm_cell.h A cell of one VM, terms of which follow each other on one store, whose partition of submissions can be made to fail. */
#pragma once

#include <boost/test/unit_test.hpp>

#include "fakes/fake_store.h"
#include "process/cell/cell_func.h"
#include "process/cell/leader_codec.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_codec.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bulrushloft::test {

using namespace cell;

constexpr const char* jobsTopic = "keyed.jobs";
constexpr const char* workersTopic = "workers";
constexpr const char* knownJob = "a000000000000000"; ///< Submitted to the leader, which records its plan beside its progress.
constexpr const char* directJob = "b000000000000000"; ///< Stored by a VM; only its progress is known to a leader that can't read submissions.
constexpr const char* newJob = "c000000000000000";
constexpr Duration longRetention { 150'000 };
constexpr int partialLoadingSteps = 400; ///< Of 10 ms; enough to claim, to load, and to give up waiting for submissions.

inline ClusterSettings makeCluster()
{
    return { .m_version = 1, .m_queues = { { .m_name = "q", .m_host = "h", .m_pathPrefix = "/q/", .m_pool = "pool", .m_priority = 0, .m_failureLimit = 3, .m_slackFactor = 2, .m_latencyTarget = { 1'000 }, .m_timeout = { 3'000 }, .m_approval = {} } }, .m_pools = { { .m_name = "pool" } } };
}

inline std::string encodeJob(const std::string& id)
{
    const StepPlan step { .m_count = 1, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1, .m_gpus = 0 }, .m_estimatedRunTime = { 500 } };
    return encodePlan({ .m_id = id, .m_queue = "q", .m_policy = { .m_pool = "pool" }, .m_payload = "p", .m_steps = { step }, .m_firstStart = {}, .m_period = {}, .m_occurrenceCount = 0, .m_submittedAt = { 1'000 } });
}

/** A worker that starts what it is told to start. */
struct SimpleWorker {
    std::vector<RunningAttempt> m_running;
    std::vector<EndedAttempt> m_ended; ///< Ends that have not been acknowledged.
    std::uint64_t m_lastEnd = 0; ///< Number of the latest end.
};

/** One VM that leads, terms of which follow each other on one store, and a worker for each of two jobs. */
struct OneVmCell {
    FakeStore m_store;
    std::map<std::string, SimpleWorker> m_workers { { "w1", {} }, { "w2", {} } };
    std::vector<std::string> m_startedJobs; ///< Job of each start, in order; without repeats of an attempt.
    std::vector<std::string> m_stoppedJobs; ///< Job of each stop.
    std::vector<std::function<void()>> m_answers; ///< Answers that are delivered at the next step.
    std::multimap<TimePoint, std::function<void()>> m_lateAnswers; ///< Answers that are delivered later, by time.
    bool m_areJobsSilent = false; ///< The partition of submissions answers nothing.
    bool m_areJobsWritable = false; ///< It carries out and answers appends all the same.
    bool m_areWorkersSilent = false; ///< The partition of the workers' announcements answers nothing.
    std::set<StorePartition> m_silentPartitions; ///< They carry out and answer nothing.
    std::function<std::optional<StoreAppendAnswer>(const StoreAppend&)> m_onAppend; ///< If set, is asked before an append is carried out, and answers it in place of the store if it returns an answer.
    Duration m_jobsDelay; ///< How long the partition of submissions takes for an answer.
    bool m_areAnswersDelayed = false; ///< That time passes after the read is carried out, not before.
    Duration m_suspended; ///< Time that the VM has spent in suspensions.
    Duration m_retention = longRetention; ///< How long ended jobs are kept.
    std::vector<CustomerSettings> m_customers; ///< Customers in the configuration; read when a node starts.
    bool m_rejectsHopeless = false; ///< As in CellOptions; read when a node starts.
    std::unique_ptr<CellNode> m_node;
    TimePoint m_now { 10'000 };
    std::uint64_t m_instance = 0;

    OneVmCell()
    {
        append("op", "config", "1");
        for (const auto& [id, worker] : m_workers)
            append(workersTopic, id, "1");
        startNode();
    }

    void append(const std::string& topic, const std::string& key, const std::string& value)
    {
        m_store.append({ .m_partition = { .m_topic = topic }, .m_records = { { .m_key = key, .m_value = value } }, .m_writer = {}, .m_expectedEnd = {} });
    }

    /** Starts the VM's process, or starts it anew, which begins another term. */
    void startNode()
    {
        m_answers.clear();
        m_lateAnswers.clear();
        CellOptions options;
        options.m_self = { .m_name = "n", .m_address = { "127.0.0.1", 1 }, .m_instance = ++m_instance, .m_strength = 50 };
        options.m_topics = { .m_operator = "op", .m_workers = workersTopic };
        options.m_scheduler.m_endedJobRetention = m_retention;
        options.m_rejectsHopeless = m_rejectsHopeless;
        CellDecoders decoders;
        decoders.m_operator = [customers = m_customers](const std::string&, const std::string&) -> OperatorRecord {
            ClusterSettings cluster = makeCluster();
            cluster.m_customers = customers;
            return cluster;
        };
        decoders.m_worker = [](const std::string& id, const std::string&) {
            return std::optional(WorkerAnnouncement { .m_id = id, .m_pool = "pool", .m_address = { "127.0.0.1", 9 }, .m_zone = "a", .m_machine = {}, .m_capacity = { .m_cpuMilli = 1'000, .m_memoryMb = 10'000, .m_gpus = 0 }, .m_labels = { "a", "r1-1" } });
        };
        decoders.m_plan = [](const std::string&) -> Expected<JobPlan> { return JobPlan {}; };
        m_node = makeCell(std::move(options), makePorts(), std::move(decoders), m_now, {});
        m_node->m_lastBootTime = m_now;
    }

    /** Passes an answer to its caller at the next step. */
    template <typename Callback, typename... Answer>
    void deliver(const Callback& onAnswer, const Answer&... answer)
    {
        m_answers.push_back([onAnswer, answer...] { onAnswer(answer...); });
    }

    /** Answers a read, late or not at all when it is one of submissions. */
    template <typename Answer>
    void answerRead(const StorePartition& partition, Duration timeout, const std::function<void(Answer)>& onAnswer, const std::function<Answer()>& perform)
    {
        const std::string& topic = partition.m_topic;
        if (m_silentPartitions.contains(partition)) {
            m_lateAnswers.emplace(m_now + timeout, [onAnswer] { onAnswer({ .m_status = StoreStatus::Unknown }); });
            return;
        }
        if (topic != jobsTopic && !(m_areWorkersSilent && topic == workersTopic))
            return deliver(onAnswer, perform());
        if (topic == workersTopic || m_areJobsSilent || m_jobsDelay > timeout)
            m_lateAnswers.emplace(m_now + timeout, [onAnswer] { onAnswer({ .m_status = StoreStatus::Unknown }); });
        else if (m_areAnswersDelayed)
            m_lateAnswers.emplace(m_now + m_jobsDelay, [onAnswer, answer = perform()] { onAnswer(answer); });
        else
            m_lateAnswers.emplace(m_now + m_jobsDelay, [onAnswer, perform] { onAnswer(perform()); });
    }

    void answerStart(const AddressedOrder<StartOrder>& start, const std::function<void(const StartAnswer&)>& onAnswer)
    {
        m_startedJobs.push_back(start.m_order.m_task.m_job);
        m_workers.at(start.m_to.m_worker).m_running.push_back({ .m_task = start.m_order.m_task, .m_attempt = start.m_order.m_attempt, .m_checkpoint = {}, .m_percent = -1, .m_loadMetric = 0 });
        deliver(onAnswer, StartAnswer { .m_status = OrderStatus::Done, .m_clockMs = m_now.m_ms });
    }

    void answerSync(const AddressedOrder<SyncOrder>& sync, const std::function<void(OrderStatus, const SyncReport&)>& onAnswer)
    {
        SimpleWorker& worker = m_workers.at(sync.m_to.m_worker);
        std::erase_if(worker.m_ended, [&](const EndedAttempt& ended) { return ended.m_number <= sync.m_order.m_ackedEndNumber; });
        deliver(onAnswer, OrderStatus::Done, SyncReport { .m_clockMs = m_now.m_ms, .m_processStartMs = 5, .m_running = worker.m_running, .m_ended = worker.m_ended });
    }

    CellPorts makePorts()
    {
        CellPorts ports;
        ports.m_append = [this](const StoreAppend& append, Duration timeout, const std::function<void(StoreAppendAnswer)>& onAnswer) {
            if (m_silentPartitions.contains(append.m_partition)) {
                m_lateAnswers.emplace(m_now + timeout, [onAnswer] { onAnswer({ .m_status = StoreStatus::Unknown }); });
                return;
            }
            const bool isSilent = m_areJobsSilent && !m_areJobsWritable && append.m_partition.m_topic == jobsTopic;
            if (const auto answer = m_onAppend ? m_onAppend(append) : std::nullopt)
                return deliver(onAnswer, *answer);
            deliver(onAnswer, isSilent ? StoreAppendAnswer { .m_status = StoreStatus::Unknown } : m_store.append(append));
        };
        ports.m_read = [this](const StoreRead& read, Duration timeout, const std::function<void(StoreReadAnswer)>& onAnswer) {
            answerRead<StoreReadAnswer>(read.m_partition, timeout, onAnswer, [this, read] { return m_store.read(read); });
        };
        ports.m_readNewest = [this](const StoreNewestRead& read, Duration timeout, const std::function<void(StoreNewestAnswer)>& onAnswer) {
            answerRead<StoreNewestAnswer>(read.m_partition, timeout, onAnswer, [this, read] { return m_store.newest(read); });
        };
        ports.m_callPeer = [this](const Address&, const PeerMessage&, Duration, const std::function<void(std::optional<PeerReply>)>& onReply) { deliver(onReply, std::optional<PeerReply>()); };
        ports.m_start = [this](const AddressedOrder<StartOrder>& start, Duration, const std::function<void(const StartAnswer&)>& onAnswer) { answerStart(start, onAnswer); };
        ports.m_stop = [this](const AddressedOrder<StopOrder>& stop, Duration, const std::function<void(OrderStatus)>& onAnswer) {
            m_stoppedJobs.push_back(stop.m_order.m_task.m_job);
            std::erase_if(m_workers.at(stop.m_to.m_worker).m_running, [&](const RunningAttempt& running) { return running.m_task == stop.m_order.m_task; });
            deliver(onAnswer, OrderStatus::Done);
        };
        ports.m_sync = [this](const AddressedOrder<SyncOrder>& sync, Duration, const std::function<void(OrderStatus, const SyncReport&)>& onAnswer) { answerSync(sync, onAnswer); };
        return ports;
    }

    void step(int count = 1)
    {
        for (int i = 0; i < count; ++i) {
            m_now = m_now + Duration { 10 };
            m_node->m_now = m_now;
            for (const auto& answer : std::exchange(m_answers, {}))
                answer();
            while (!m_lateAnswers.empty() && m_lateAnswers.begin()->first <= m_now)
                m_lateAnswers.extract(m_lateAnswers.begin()).mapped()();
            stepCell(*m_node, m_now, m_now + m_suspended);
        }
    }

    void stepUntilLeading()
    {
        for (int i = 0; i < partialLoadingSteps && m_node->m_role != Role::Leading; ++i)
            step();
        BOOST_REQUIRE((m_node->m_role == Role::Leading));
    }

    /** Begins a term whose leader can't read submissions. */
    void restartWithoutJobs()
    {
        m_areJobsSilent = true;
        startNode();
        stepUntilLeading();
        step(100);
    }

    /** Lets the leader read the submissions to their end. */
    void bringJobsBack()
    {
        m_areJobsSilent = false;
        step(500);
        BOOST_REQUIRE(m_node->m_jobsTail.m_isCaughtUp);
    }

    /** @return The outcome of a submission to the leader; empty without one. */
    std::optional<WriteOutcome> submit(const std::string& id) { return write(PeerSubmit { .m_plan = encodeJob(id) }); }

    /** @return The outcome of a cancellation at the leader; empty without one. */
    std::optional<WriteOutcome> cancel(const std::string& id) { return write(PeerCancel { .m_job = id }); }

    std::optional<WriteOutcome> write(const PeerMessage& message)
    {
        const auto outcome = std::make_shared<std::optional<WriteOutcome>>();
        onPeerMessage(*m_node, message, [outcome](const PeerReply& reply) { *outcome = std::get<PeerWriteAnswer>(reply).m_outcome; });
        step(20);
        return *outcome;
    }

    PeerQueryAnswer ask(const PeerMessage& message)
    {
        const auto answer = std::make_shared<PeerQueryAnswer>();
        onPeerMessage(*m_node, message, [answer](const PeerReply& reply) { *answer = std::get<PeerQueryAnswer>(reply); });
        step(20);
        return *answer;
    }

    PeerQueryAnswer query(const std::string& id) { return ask(PeerJobQuery { .m_job = id }); }

    bool isAtStage(const std::string& id, scheduler::JobStage stage)
    {
        const PeerQueryAnswer answer = query(id);
        return answer.m_status == QueryStatus::Known && answer.m_stage == static_cast<std::uint8_t>(stage);
    }

    std::size_t startsOf(const std::string& id) const { return static_cast<std::size_t>(std::count(m_startedJobs.begin(), m_startedJobs.end(), id)); }
    std::size_t stopsOf(const std::string& id) const { return static_cast<std::size_t>(std::count(m_stoppedJobs.begin(), m_stoppedJobs.end(), id)); }

    /** Ends the running attempts of a job. */
    void finish(const std::string& id, AttemptEnd end = AttemptEnd::Done)
    {
        for (auto& [name, worker] : m_workers) {
            for (const RunningAttempt& running : worker.m_running) {
                if (running.m_task.m_job == id)
                    worker.m_ended.push_back({ .m_number = ++worker.m_lastEnd, .m_task = running.m_task, .m_attempt = running.m_attempt, .m_end = end, .m_checkpoint = {} });
            }
            std::erase_if(worker.m_running, [&](const RunningAttempt& running) { return running.m_task.m_job == id; });
        }
    }
};

} // namespace bulrushloft::test
