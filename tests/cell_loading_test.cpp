/** @file cell_loading_test.cpp Loading at the start of a term, from a store that answers late and more than once. */
#define BOOST_TEST_MODULE cell_loading
#include <boost/test/unit_test.hpp>

#include "fakes/fake_store.h"
#include "process/cell/cell_func.h"
#include "process/scheduler/scheduler_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_codec.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
using bulrushloft::test::FakeStore;

namespace {

constexpr int jobCount = 40; ///< Enough for the first page to hold all submissions and some progress.
constexpr const char* progressTopic = "keyed.progress";

ClusterSettings makeCluster()
{
    return { .m_version = 1, .m_queues = { { .m_name = "q", .m_host = "h", .m_pathPrefix = "/q/", .m_pool = "pool", .m_priority = 0, .m_failureLimit = 3, .m_slackFactor = 2, .m_latencyTarget = { 1'000 }, .m_timeout = { 3'000 }, .m_approval = {} } }, .m_pools = { { .m_name = "pool" } } };
}

std::string idOf(int number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto index = static_cast<std::size_t>(number);
    return std::string(1, digits[index % 16]) + std::string(1, digits[index / 16 % 16]) + "00000000000000";
}

/** A daemon whose reads of progress are answered by the test case. */
struct LoadingFixture {
    struct PendingPage {
        StoreNewestRead m_call;
        std::function<void(StoreNewestAnswer)> m_onAnswer;
    };

    FakeStore m_store;
    std::vector<std::function<void()>> m_answers; ///< Answers that are delivered at the next step.
    std::vector<PendingPage> m_pages; ///< Reads of progress, which the test case answers.
    std::size_t m_answeredPages = 0; ///< Number of reads that answerPagesUntilLeading() has answered.
    std::multimap<TimePoint, std::function<void()>> m_timeouts; ///< Ends of the attempts of the held append.
    bool m_isFenceHeld = false; ///< The append that fences earlier terms reaches the store only later.
    int m_failingReads = 0; ///< Number of further reads of submissions that fail.
    std::vector<Duration> m_readMargins; ///< Time that each read of submissions had for its answer, without its wait.
    bool m_areReadsHeld = false; ///< The store answers no reads that follow a listing.
    std::vector<std::function<void()>> m_heldReads; ///< Reads that the store has not answered yet: those held, and those sent once progress is being read.
    std::unique_ptr<CellNode> m_node;
    TimePoint m_now { 10'000 };

    LoadingFixture()
    {
        m_store.append({ .m_partition = { .m_topic = "op" }, .m_records = { { .m_key = "config", .m_value = "1" } }, .m_writer = {}, .m_expectedEnd = {} });
        storeJobs();
        CellOptions options;
        options.m_self = { .m_name = "n", .m_address = { "127.0.0.1", 1 }, .m_instance = 1, .m_strength = 50 };
        options.m_topics = { .m_operator = "op", .m_workers = "workers" };
        CellDecoders decoders;
        decoders.m_operator = [](const std::string&, const std::string&) -> OperatorRecord { return makeCluster(); };
        decoders.m_worker = [](const std::string&, const std::string&) { return std::optional<WorkerAnnouncement>(); };
        decoders.m_plan = [](const std::string&) -> Expected<JobPlan> { return JobPlan {}; };
        m_node = makeCell(std::move(options), makePorts(), std::move(decoders), m_now, {});
        m_node->m_lastBootTime = m_now;
    }

    static JobPlan makePlan(const std::string& id, const std::vector<StepPlan>& steps)
    {
        return { .m_id = id, .m_queue = "q", .m_policy = { .m_pool = "pool" }, .m_payload = "p", .m_steps = steps, .m_firstStart = {}, .m_period = {}, .m_occurrenceCount = 0, .m_submittedAt = { 1'000 } };
    }

    /** Stores a job that a VM has stored and the former leader has accepted, run and recorded as complete. */
    void storeCompleteJob(const std::string& id)
    {
        const StepPlan step { .m_count = 1, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1, .m_gpus = 0 }, .m_estimatedRunTime = { 500 } };
        m_store.append({ .m_partition = { .m_topic = "keyed.jobs" }, .m_records = { { .m_key = id, .m_value = encodePlan(makePlan(id, { step })) } }, .m_writer = {}, .m_expectedEnd = {} });
        scheduler::Scheduler formerLeader;
        scheduler::setCluster(formerLeader, makeCluster());
        scheduler::acceptJob(formerLeader, makePlan(id, { step }), m_now);
        scheduler::detail::finishTask(formerLeader, { formerLeader.m_jobs.at(id)->m_runs.front().get(), 0 }, m_now);
        m_store.append({ .m_partition = { .m_topic = progressTopic }, .m_records = takeRecords(formerLeader), .m_writer = {}, .m_expectedEnd = {} });
    }

    /** Stores jobs of two steps with two tasks each; the first task of the first step is done. */
    void storeJobs()
    {
        scheduler::Scheduler writer;
        scheduler::setCluster(writer, makeCluster());
        for (int i = 0; i < jobCount; ++i) {
            const StepPlan step { .m_count = 2, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1, .m_gpus = 0 }, .m_estimatedRunTime = { 500 } };
            StepPlan second = step;
            second.m_predecessors = { 0 };
            JobPlan plan = makePlan(idOf(i), { step, second });
            const std::string record = encodePlan(plan);
            scheduler::acceptAndRecord(writer, std::move(plan), record, m_now);
            scheduler::StepRun& run = *writer.m_jobs.at(idOf(i))->m_runs.front();
            run.m_tasks.front().m_resolution = scheduler::TaskResolution::Done;
        }
        m_store.append({ .m_partition = { .m_topic = progressTopic }, .m_records = takeRecords(writer), .m_writer = {}, .m_expectedEnd = {} });
    }

    CellPorts makePorts()
    {
        CellPorts ports;
        const auto deliverLater = [this](auto onAnswer, auto answer) { m_answers.push_back([onAnswer, answer] { onAnswer(answer); }); };
        ports.m_append = [this, deliverLater](const StoreAppend& append, Duration timeout, const std::function<void(StoreAppendAnswer)>& onAnswer) {
            if (!m_isFenceHeld || !append.m_writer)
                deliverLater(onAnswer, m_store.append(append));
            else
                m_timeouts.emplace(m_now + timeout, [onAnswer] { onAnswer({}); });
        };
        ports.m_read = [this, deliverLater](const StoreRead& read, Duration timeout, const std::function<void(StoreReadAnswer)>& onAnswer) {
            if (read.m_partition == StorePartition { .m_topic = "keyed.jobs", .m_partition = submissionPartition }) {
                m_readMargins.push_back(timeout - read.m_wait);
                if (m_failingReads > 0 && m_failingReads-- > 0)
                    return deliverLater(onAnswer, StoreReadAnswer { .m_status = StoreStatus::Unknown });
            }
            if (!m_areReadsHeld && m_pages.empty())
                deliverLater(onAnswer, m_store.read(read));
            else
                m_heldReads.push_back([this, read, onAnswer] { onAnswer(m_store.read(read)); });
        };
        ports.m_readNewest = [this, deliverLater](const StoreNewestRead& newest, Duration, const std::function<void(StoreNewestAnswer)>& onAnswer) {
            if (newest.m_partition.m_topic == progressTopic)
                m_pages.push_back({ newest, onAnswer });
            else
                deliverLater(onAnswer, m_store.newest(newest));
        };
        return ports;
    }

    void step(Duration elapsed = { 10 })
    {
        m_now = m_now + elapsed;
        m_node->m_now = m_now;
        for (const auto& answer : std::exchange(m_answers, {}))
            answer();
        while (!m_timeouts.empty() && m_timeouts.begin()->first <= m_now)
            m_timeouts.extract(m_timeouts.begin()).mapped()();
        stepCell(*m_node, m_now, m_now);
    }

    void answerPage(std::size_t index)
    {
        const PendingPage page = m_pages[index];
        page.m_onAnswer(m_store.newest(page.m_call));
    }

    void answerHeldReads()
    {
        for (const auto& answer : std::exchange(m_heldReads, {}))
            answer();
    }

    /** Answers reads of progress, and other reads unless they are held, as they come. @param steps Maximum number of steps. */
    void answerPagesUntilLeading(int steps)
    {
        for (int i = 0; i < steps && m_node->m_role != Role::Leading; ++i) {
            step();
            if (!m_areReadsHeld)
                answerHeldReads();
            while (m_answeredPages < m_pages.size())
                answerPage(m_answeredPages++);
        }
    }

    void stepUntilPages(std::size_t count)
    {
        for (int i = 0; i < 400 && m_pages.size() < count; ++i)
            step();
        BOOST_REQUIRE(m_pages.size() >= count);
    }
};

} // namespace

// A page that was requested twice was merged again after the remainder had been split into ranges:
// tasks were counted as done twice, and steps began too early.
BOOST_AUTO_TEST_CASE(a_page_that_arrives_twice_is_merged_once)
{
    LoadingFixture fixture;
    fixture.stepUntilPages(4); // The first page of each range, both requested again because the store was silent.
    BOOST_TEST(fixture.m_pages[0].m_call.m_after == fixture.m_pages[2].m_call.m_after);
    fixture.step({ 300 }); // Slow enough for the remainder to be split into ranges.
    fixture.answerPage(0);
    fixture.step();
    fixture.answerPage(2);
    fixture.step();
    fixture.m_answeredPages = 1;
    fixture.answerPagesUntilLeading(600);
    BOOST_REQUIRE(fixture.m_node->m_role == Role::Leading);
    BOOST_TEST(fixture.m_node->m_scheduler->m_jobs.size() == static_cast<std::size_t>(jobCount));
    for (const auto& [id, job] : fixture.m_node->m_scheduler->m_jobs) {
        BOOST_TEST(job->m_runs.front()->m_doneCount == 1U, id);
        BOOST_TEST(job->m_openTasks == 3U, id);
    }
}

// A submission that the former leader accepted while its successor was already listing submissions was accepted again without its progress.
BOOST_AUTO_TEST_CASE(a_job_that_the_former_leader_completes_until_it_is_fenced_stays_complete)
{
    LoadingFixture fixture;
    fixture.m_isFenceHeld = true;
    for (int i = 0; i < 100; ++i)
        fixture.step();
    BOOST_REQUIRE((fixture.m_node->m_role == Role::Loading));
    const std::string id = "0123456789abcdef";
    fixture.m_areReadsHeld = true;
    fixture.storeCompleteJob(id);
    fixture.m_isFenceHeld = false;
    while (!fixture.m_node->m_load.m_journals.front().m_isFenced)
        fixture.step();
    fixture.m_areReadsHeld = false;
    fixture.answerPagesUntilLeading(600);
    BOOST_REQUIRE((fixture.m_node->m_role == Role::Leading));
    fixture.m_pages.clear();
    for (int i = 0; i < 400; ++i)
        fixture.step();
    BOOST_TEST((scheduler::findStage(*fixture.m_node->m_scheduler, id) == scheduler::JobStage::Complete));
}

// A listing took 10 s on slow VMs. Cancellations that were stored behind its position were read 10 s later still; their jobs' tasks started meanwhile.
BOOST_AUTO_TEST_CASE(a_leader_knows_what_was_stored_during_its_listing_before_it_leads)
{
    LoadingFixture fixture;
    const std::string id = idOf(3);
    fixture.m_areReadsHeld = true;
    while (fixture.m_node->m_role != Role::Loading)
        fixture.step();
    while (!fixture.m_node->m_jobsTail.m_isListingComplete)
        fixture.step();
    fixture.m_store.append({ .m_partition = { .m_topic = "keyed.jobs" }, .m_records = { { .m_key = "!" + id, .m_value = "cancelled" } }, .m_writer = {}, .m_expectedEnd = {} });
    fixture.answerPagesUntilLeading(200);
    BOOST_TEST((fixture.m_node->m_role == Role::Loading));
    fixture.m_areReadsHeld = false;
    fixture.answerPagesUntilLeading(600);
    BOOST_REQUIRE((fixture.m_node->m_role == Role::Leading));
    BOOST_TEST((fixture.m_node->m_scheduler->m_jobs.at(id)->m_stage == scheduler::JobStage::Cancelled));
}

// Reads of much that was stored during a listing failed for ten seconds on end, each after 0.7 s. With 4 s for all reads, one lost answer
// held up the list of workers for so long that tasks started on workers that were leaving (DRAIN 91).
BOOST_AUTO_TEST_CASE(a_read_gets_more_time_after_each_that_fails)
{
    LoadingFixture fixture;
    fixture.m_failingReads = 5;
    fixture.answerPagesUntilLeading(600);
    BOOST_REQUIRE((fixture.m_node->m_role == Role::Leading));
    BOOST_REQUIRE(fixture.m_readMargins.size() >= 7U);
    for (std::size_t i = 1; i < 6; ++i)
        BOOST_TEST((fixture.m_readMargins[i] > fixture.m_readMargins[i - 1] || fixture.m_readMargins[i] == Duration { 4'000 }));
    BOOST_TEST((fixture.m_readMargins[6] == fixture.m_readMargins[0])); // The sixth was answered.
}
