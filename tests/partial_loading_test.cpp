/** @file partial_loading_test.cpp A leader that can't read the submissions and cancellations that VMs have stored themselves: what it goes on with, and what it leaves alone. */
#define BOOST_TEST_MODULE partial_loading
#include <boost/test/unit_test.hpp>

#include "fakes/fake_store.h"
#include "process/cell/cell_func.h"
#include "process/cell/leader_codec.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_codec.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
using bulrushloft::test::FakeStore;

namespace {

constexpr const char* jobsTopic = "keyed.jobs";
constexpr const char* workersTopic = "workers";
constexpr const char* knownJob = "a000000000000000"; ///< Submitted to the leader, which records its plan beside its progress.
constexpr const char* directJob = "b000000000000000"; ///< Stored by a VM; only its progress is known to a leader that can't read submissions.
constexpr const char* newJob = "c000000000000000";
constexpr Duration longRetention { 150'000 };
constexpr int partialLoadingSteps = 400; ///< Of 10 ms; enough to claim, to load, and to give up waiting for submissions.

ClusterSettings makeCluster()
{
    return { .m_version = 1, .m_queues = { { .m_name = "q", .m_host = "h", .m_pathPrefix = "/q/", .m_pool = "pool", .m_priority = 0, .m_failureLimit = 3, .m_slackFactor = 2, .m_latencyTarget = { 1'000 }, .m_timeout = { 3'000 }, .m_approval = {} } }, .m_pools = { { .m_name = "pool" } } };
}

std::string encodeJob(const std::string& id)
{
    const StepPlan step { .m_count = 1, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1, .m_gpus = 0 }, .m_estimatedRunTime = { 500 } };
    return encodePlan({ .m_id = id, .m_queue = "q", .m_pool = "pool", .m_payload = "p", .m_steps = { step }, .m_firstStart = {}, .m_period = {}, .m_occurrenceCount = 0, .m_submittedAt = { 1'000 } });
}

/** A worker that starts what it is told to start. */
struct FakeWorker {
    std::vector<RunningAttempt> m_running;
    std::vector<EndedAttempt> m_ended; ///< Ends that have not been acknowledged.
    std::uint64_t m_lastEnd = 0; ///< Number of the latest end.
};

/** One VM that leads, terms of which follow each other on one store, and a worker for each of two jobs. */
struct PartialLoadingFixture {
    FakeStore m_store;
    std::map<std::string, FakeWorker> m_workers { { "w1", {} }, { "w2", {} } };
    std::vector<std::string> m_startedJobs; ///< Job of each start, in order; without repeats of an attempt.
    std::vector<std::string> m_stoppedJobs; ///< Job of each stop.
    std::vector<std::function<void()>> m_answers; ///< Answers that are delivered at the next step.
    std::multimap<TimePoint, std::function<void()>> m_lateAnswers; ///< Answers that are delivered later, by time.
    bool m_areJobsSilent = false; ///< The partition of submissions answers nothing.
    bool m_areJobsWritable = false; ///< It carries out and answers appends all the same.
    bool m_areWorkersSilent = false; ///< The partition of the workers' announcements answers nothing.
    Duration m_jobsDelay; ///< How long the partition of submissions takes for an answer.
    Duration m_retention = longRetention; ///< How long ended jobs are kept.
    std::unique_ptr<CellNode> m_node;
    TimePoint m_now { 10'000 };
    std::uint64_t m_instance = 0;

    PartialLoadingFixture()
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
        CellDecoders decoders;
        decoders.m_operator = [](const std::string&, const std::string&) -> OperatorRecord { return makeCluster(); };
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
    void answerRead(const std::string& topic, Duration timeout, const std::function<void(Answer)>& onAnswer, const std::function<Answer()>& perform)
    {
        if (topic != jobsTopic && !(m_areWorkersSilent && topic == workersTopic))
            return deliver(onAnswer, perform());
        if (topic == workersTopic || m_areJobsSilent || m_jobsDelay > timeout)
            m_lateAnswers.emplace(m_now + timeout, [onAnswer] { onAnswer({ .m_status = StoreStatus::Unknown }); });
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
        FakeWorker& worker = m_workers.at(sync.m_to.m_worker);
        std::erase_if(worker.m_ended, [&](const EndedAttempt& ended) { return ended.m_number <= sync.m_order.m_ackedEndNumber; });
        deliver(onAnswer, OrderStatus::Done, SyncReport { .m_clockMs = m_now.m_ms, .m_processStartMs = 5, .m_running = worker.m_running, .m_ended = worker.m_ended });
    }

    CellPorts makePorts()
    {
        CellPorts ports;
        ports.m_append = [this](const StoreAppend& append, Duration, const std::function<void(StoreAppendAnswer)>& onAnswer) {
            const bool isSilent = m_areJobsSilent && !m_areJobsWritable && append.m_partition.m_topic == jobsTopic;
            deliver(onAnswer, isSilent ? StoreAppendAnswer { .m_status = StoreStatus::Unknown } : m_store.append(append));
        };
        ports.m_read = [this](const StoreRead& read, Duration timeout, const std::function<void(StoreReadAnswer)>& onAnswer) {
            answerRead<StoreReadAnswer>(read.m_partition.m_topic, timeout, onAnswer, [this, read] { return m_store.read(read); });
        };
        ports.m_readNewest = [this](const StoreNewestRead& read, Duration timeout, const std::function<void(StoreNewestAnswer)>& onAnswer) {
            answerRead<StoreNewestAnswer>(read.m_partition.m_topic, timeout, onAnswer, [this, read] { return m_store.newest(read); });
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
            stepCell(*m_node, m_now, m_now);
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

/** Two jobs run; then a term begins that can't read the submissions. */
struct RunningJobsFixture : PartialLoadingFixture {
    RunningJobsFixture()
    {
        stepUntilLeading();
        BOOST_REQUIRE((submit(knownJob) == WriteOutcome::Recorded));
        append(jobsTopic, directJob, encodeJob(directJob));
        step(100);
        BOOST_REQUIRE(m_startedJobs.size() == 2U);
    }
};

} // namespace

// The partition of submissions answered nobody for 30 s. The leader, which had read all progress within 0.1 s, served nothing: no job was accepted, placed or ended.
BOOST_FIXTURE_TEST_CASE(a_leader_that_cannot_read_submissions_serves_the_jobs_it_knows, RunningJobsFixture)
{
    restartWithoutJobs();
    BOOST_TEST((query(knownJob).m_status == QueryStatus::Known));
    finish(knownJob);
    step(50);
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    BOOST_TEST((cancel(newJob) == WriteOutcome::Recorded));
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Cancelled));
    BOOST_TEST(startsOf(knownJob) == 1U);
}

// An unread job would be answered as unknown, and jobs counted without the unread ones (LOST, MIXED).
BOOST_FIXTURE_TEST_CASE(a_leader_that_cannot_read_submissions_does_not_deny_unread_jobs, RunningJobsFixture)
{
    restartWithoutJobs();
    BOOST_TEST((query(directJob).m_status == QueryStatus::NotLeading));
    BOOST_TEST((query(newJob).m_status == QueryStatus::NotLeading));
    BOOST_TEST((ask(PeerPendingJobsQuery { .m_queue = "q" }).m_status == QueryStatus::NotLeading));
    BOOST_TEST((cancel(directJob) == WriteOutcome::NotAccepted));
    BOOST_TEST((cancel(newJob) == WriteOutcome::NotAccepted));
    bringJobsBack();
    BOOST_TEST((query(directJob).m_status == QueryStatus::Known));
    BOOST_TEST((query(newJob).m_status == QueryStatus::NoSuchJob));
    BOOST_TEST((ask(PeerPendingJobsQuery { .m_queue = "q" }).m_status == QueryStatus::Known));
}

// Attempts of unread jobs look like attempts that nobody wants; stopped, they would be lost, and their room is not free.
BOOST_FIXTURE_TEST_CASE(attempts_of_unread_jobs_go_on, RunningJobsFixture)
{
    restartWithoutJobs();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    step(100);
    BOOST_TEST(m_stoppedJobs.empty());
    bringJobsBack();
    BOOST_TEST(m_stoppedJobs.empty());
    BOOST_TEST(startsOf(newJob) == 0U); // Both workers are full.
    finish(directJob);
    step(100);
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
    BOOST_TEST(startsOf(directJob) == 1U);
    BOOST_TEST(startsOf(newJob) == 1U);
}

// An end of an unread job that is acknowledged without effect would be forgotten, and the task would run again (TWICE).
BOOST_FIXTURE_TEST_CASE(an_end_of_an_unread_job_is_kept, RunningJobsFixture)
{
    restartWithoutJobs();
    finish(directJob);
    step(100);
    finish(knownJob);
    step(100);
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    bringJobsBack();
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
    BOOST_TEST(startsOf(directJob) == 1U);
    for (const auto& [id, worker] : m_workers)
        BOOST_TEST(worker.m_ended.empty(), id);
}

// The end must also outlive a leader that never reads the submissions: it is left unacknowledged for the next term.
BOOST_FIXTURE_TEST_CASE(an_end_of_an_unread_job_is_left_to_the_next_term, RunningJobsFixture)
{
    restartWithoutJobs();
    finish(directJob);
    step(100);
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded)); // Ends are acknowledged with the records that follow them.
    step(300);
    m_areJobsSilent = false;
    startNode();
    stepUntilLeading();
    step(100);
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
    BOOST_TEST(startsOf(directJob) == 1U);
}

// A VM has stored the submission and the cancellation, and has acknowledged both; then a late copy of the submission arrives (UNASKED).
BOOST_FIXTURE_TEST_CASE(a_late_copy_of_a_submission_does_not_run_while_its_cancellation_is_unread, PartialLoadingFixture)
{
    stepUntilLeading();
    m_areJobsSilent = true;
    append(jobsTopic, newJob, encodeJob(newJob));
    append(jobsTopic, std::string("!") + newJob, "cancelled");
    restartWithoutJobs();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    step(300);
    BOOST_TEST(startsOf(newJob) == 0U);
    startNode(); // A hand-over does not make it known either.
    stepUntilLeading();
    step(300);
    BOOST_TEST(startsOf(newJob) == 0U);
    bringJobsBack();
    BOOST_TEST(startsOf(newJob) == 0U);
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Cancelled));
}

// The same, and the next term loads whole.
BOOST_FIXTURE_TEST_CASE(a_late_copy_of_a_submission_is_cancelled_by_the_next_term_that_reads_the_cancellation, PartialLoadingFixture)
{
    stepUntilLeading();
    m_areJobsSilent = true;
    append(jobsTopic, std::string("!") + newJob, "cancelled");
    restartWithoutJobs();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    m_areJobsSilent = false;
    startNode();
    stepUntilLeading();
    step(100);
    BOOST_TEST(startsOf(newJob) == 0U);
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Cancelled));
}

// A job accepted meanwhile starts as soon as no unread record can cancel it.
BOOST_FIXTURE_TEST_CASE(a_job_accepted_without_submissions_starts_once_they_are_read, PartialLoadingFixture)
{
    restartWithoutJobs();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded)); // The same job.
    append(jobsTopic, newJob, encodeJob(newJob)); // And once more, by a VM.
    bringJobsBack();
    BOOST_TEST(startsOf(newJob) == 1U);
    finish(newJob);
    step(100);
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Complete));
}

BOOST_FIXTURE_TEST_CASE(a_cancellation_that_a_vm_has_stored_applies_once_it_is_read, RunningJobsFixture)
{
    restartWithoutJobs();
    append(jobsTopic, std::string("!") + directJob, "cancelled");
    append(jobsTopic, std::string("!") + knownJob, "cancelled");
    bringJobsBack();
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Cancelled));
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Cancelled));
    BOOST_TEST(stopsOf(directJob) >= 1U);
    BOOST_TEST(stopsOf(knownJob) >= 1U);
}

// A VM has stored a cancellation and acknowledged it while no leader served; the next leader can't read it, and starts the job's task again (UNASKED).
BOOST_FIXTURE_TEST_CASE(a_vm_tells_the_leader_of_the_cancellations_that_it_has_stored, RunningJobsFixture)
{
    m_areJobsSilent = true;
    m_areJobsWritable = true;
    startNode();
    while (m_node->m_role != Role::Loading)
        step();
    std::optional<ClientStatus> status;
    onClientCall(*m_node, { .m_verb = ClientVerb::Cancel, .m_host = "h", .m_path = std::string("/q/") + knownJob, .m_body = {}, .m_arrivedAt = m_now, .m_deadline = m_now + Duration { 1'000 } }, [&](const ClientReply& reply) { status = reply.m_status; });
    step(50);
    BOOST_TEST((status == ClientStatus::Cancelled));
    stepUntilLeading();
    step(100);
    finish(knownJob, AttemptEnd::Failed);
    step(100);
    BOOST_TEST(startsOf(knownJob) == 1U);
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Cancelled));
}

// A job that is in both topics and is forgotten while the topic of submissions is unread would be new when that is read (TWICE).
BOOST_FIXTURE_TEST_CASE(ended_jobs_do_not_expire_while_submissions_are_unread, RunningJobsFixture)
{
    append(jobsTopic, knownJob, encodeJob(knownJob));
    finish(knownJob);
    finish(directJob);
    step(100);
    m_retention = Duration { 1'000 };
    restartWithoutJobs();
    step(300);
    bringJobsBack();
    BOOST_TEST(startsOf(knownJob) == 1U);
    BOOST_TEST(startsOf(directJob) == 1U);
}

// The progress of a job shows that it exists; a copy of its submission must not release it while its cancellation is unread (UNASKED).
BOOST_FIXTURE_TEST_CASE(a_copy_of_the_submission_of_an_unread_job_does_not_release_it, RunningJobsFixture)
{
    append(jobsTopic, std::string("!") + directJob, "cancelled");
    restartWithoutJobs();
    BOOST_TEST((submit(directJob) == WriteOutcome::Recorded));
    finish(directJob, AttemptEnd::Failed);
    step(200);
    bringJobsBack();
    BOOST_TEST(startsOf(directJob) == 1U);
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Cancelled));
}

// The submissions that a process has read in an earlier term say nothing about those stored since.
BOOST_FIXTURE_TEST_CASE(a_leader_does_not_deny_jobs_by_what_it_read_in_an_earlier_term, PartialLoadingFixture)
{
    m_node->m_options.m_maxJobsStaleness = Duration { 60'000 };
    stepUntilLeading();
    BOOST_TEST((query(newJob).m_status == QueryStatus::NoSuchJob));
    m_areJobsSilent = true;
    append("keyed.leader", claimKey, encodeClaim({ .m_name = "other", .m_address = { "127.0.0.1", 2 }, .m_instance = 9, .m_strength = 50 }));
    append(jobsTopic, newJob, encodeJob(newJob));
    while (m_node->m_role == Role::Leading)
        step();
    stepUntilLeading();
    BOOST_TEST((query(newJob).m_status == QueryStatus::NotLeading));
}

// A copy of a submission whose job has ended, as its progress shows, is no new job.
BOOST_FIXTURE_TEST_CASE(a_copy_of_the_submission_of_an_ended_unread_job_does_not_run_again, RunningJobsFixture)
{
    finish(directJob);
    step(100);
    restartWithoutJobs();
    BOOST_TEST((submit(directJob) == WriteOutcome::Recorded));
    step(100);
    bringJobsBack();
    BOOST_TEST(startsOf(directJob) == 1U);
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
}

// A store that is slow but answers is loaded whole: otherwise cancellations that it holds would be read after their jobs' tasks have started (UNASKED).
BOOST_FIXTURE_TEST_CASE(a_leader_waits_for_submissions_of_a_store_that_answers_slowly, RunningJobsFixture)
{
    m_jobsDelay = Duration { 650 };
    startNode();
    stepUntilLeading();
    BOOST_TEST(m_node->m_jobsTail.m_isCaughtUp);
    BOOST_TEST((query(directJob).m_status == QueryStatus::Known));
}

// The announcements are another topic of their own: without them, attempts go on at the addresses that their records name.
BOOST_FIXTURE_TEST_CASE(a_leader_that_cannot_list_workers_goes_on_with_the_tasks_it_knows, RunningJobsFixture)
{
    m_areWorkersSilent = true;
    startNode();
    stepUntilLeading();
    step(300);
    BOOST_TEST(m_stoppedJobs.empty());
    finish(directJob);
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
    BOOST_TEST(startsOf(newJob) == 0U);
    m_areWorkersSilent = false;
    step(500);
    BOOST_TEST(startsOf(newJob) == 1U);
}
