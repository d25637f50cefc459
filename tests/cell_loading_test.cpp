/** @file cell_loading_test.cpp What a leader reads at the beginning of its term, from a store that answers late and twice. */
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

constexpr int jobCount = 40; ///< So that the first page holds all submissions and some progress.
constexpr const char* progressTopic = "keyed.progress";

ClusterSettings makeCluster()
{
    return { .m_version = 1, .m_queues = { { .m_name = "q", .m_host = "h", .m_pathPrefix = "/q/", .m_pool = "pool", .m_priority = 0, .m_attemptLimit = 3, .m_slackFactor = 2, .m_latencyTarget = { 1'000 }, .m_timeout = { 3'000 }, .m_approval = {} } }, .m_pools = { { .m_name = "pool" } } };
}

std::string idOf(int number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto index = static_cast<std::size_t>(number);
    return std::string(1, digits[index % 16]) + std::string(1, digits[index / 16 % 16]) + "00000000000000";
}

/** A daemon whose reads of progress are answered by the test. */
struct LoadingBench {
    struct HeldPage {
        StoreNewestRead m_call;
        std::function<void(StoreNewestAnswer)> m_onAnswer;
    };

    FakeStore m_store;
    std::vector<std::function<void()>> m_answers; ///< Delivered at the next step.
    std::vector<HeldPage> m_pages; ///< Reads of progress that the test answers.
    std::unique_ptr<CellNode> m_node;
    TimePoint m_now { 10'000 };

    LoadingBench()
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
        m_node->m_bootSeenAt = m_now;
    }

    /** Jobs of two steps of two tasks, the first task of each done. */
    void storeJobs()
    {
        scheduler::Scheduler writer;
        scheduler::setCluster(writer, makeCluster());
        for (int i = 0; i < jobCount; ++i) {
            const StepPlan step { .m_count = 2, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1, .m_gpus = 0 }, .m_estimate = { 500 } };
            StepPlan second = step;
            second.m_after = { 0 };
            JobPlan plan { .m_id = idOf(i), .m_queue = "q", .m_pool = "pool", .m_payload = "p", .m_steps = { step, second }, .m_firstDue = {}, .m_period = {}, .m_repeats = 0, .m_submittedAt = { 1'000 } };
            const std::string record = encodePlan(plan);
            scheduler::acceptAndRecord(writer, std::move(plan), record, m_now);
            scheduler::StepRun& run = *writer.m_jobs.at(idOf(i))->m_runs.front();
            run.m_tasks.front().m_fate = scheduler::TaskFate::Done;
        }
        m_store.append({ .m_partition = { .m_topic = progressTopic }, .m_records = takeRecords(writer), .m_writer = {}, .m_expectedEnd = {} });
    }

    CellPorts makePorts()
    {
        CellPorts ports;
        const auto later = [this](auto onAnswer, auto answer) { m_answers.push_back([onAnswer, answer] { onAnswer(answer); }); };
        ports.m_append = [this, later](const StoreAppend& append, Duration, const std::function<void(StoreAppendAnswer)>& onAnswer) { later(onAnswer, m_store.append(append)); };
        ports.m_read = [this, later](const StoreRead& read, Duration, const std::function<void(StoreReadAnswer)>& onAnswer) {
            if (m_pages.empty()) // While progress is read the store is silent otherwise.
                later(onAnswer, m_store.read(read));
        };
        ports.m_newest = [this, later](const StoreNewestRead& newest, Duration, const std::function<void(StoreNewestAnswer)>& onAnswer) {
            if (newest.m_partition.m_topic == progressTopic)
                m_pages.push_back({ newest, onAnswer });
            else
                later(onAnswer, m_store.newest(newest));
        };
        return ports;
    }

    void step(Duration later = { 10 })
    {
        m_now = m_now + later;
        m_node->m_now = m_now;
        for (const auto& answer : std::exchange(m_answers, {}))
            answer();
        stepCell(*m_node, m_now, m_now);
    }

    void answerPage(std::size_t index)
    {
        const HeldPage page = m_pages[index];
        page.m_onAnswer(m_store.newest(page.m_call));
    }

    void stepUntilPages(std::size_t count)
    {
        for (int i = 0; i < 400 && m_pages.size() < count; ++i)
            step();
        BOOST_REQUIRE(m_pages.size() >= count);
    }
};

} // namespace

// A page that was asked for twice came twice after the rest had been divided: tasks counted as done twice, and steps began early.
BOOST_AUTO_TEST_CASE(a_page_that_comes_twice_is_taken_once)
{
    LoadingBench bench;
    bench.stepUntilPages(2); // The first page, and the same again as the store was silent.
    BOOST_TEST(bench.m_pages[0].m_call.m_after == bench.m_pages[1].m_call.m_after);
    bench.step({ 300 }); // Slow enough for the rest to be divided.
    bench.answerPage(0);
    bench.step();
    bench.answerPage(1);
    bench.step();
    for (std::size_t i = 2; i < bench.m_pages.size() || bench.m_node->m_role == Role::Loading; ++i) {
        bench.stepUntilPages(i + 1);
        bench.answerPage(i);
        bench.step();
    }
    BOOST_REQUIRE(bench.m_node->m_role == Role::Leading);
    BOOST_TEST(bench.m_node->m_scheduler->m_jobs.size() == static_cast<std::size_t>(jobCount));
    for (const auto& [id, job] : bench.m_node->m_scheduler->m_jobs) {
        BOOST_TEST(job->m_runs.front()->m_doneCount == 1U, id);
        BOOST_TEST(job->m_openTasks == 3U, id);
    }
}
