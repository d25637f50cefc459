/** @file record_parts_test.cpp Records of the leader that are larger than the store takes, such as the progress of a job of thousands of tasks. */
#define BOOST_TEST_MODULE record_parts
#include <boost/test/unit_test.hpp>

#include "fakes/one_vm_cell.h"
#include "process/cell/record_parts.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
using namespace bulrushloft::test;

namespace {

constexpr std::size_t storeRecordBytes = 262'144; ///< Limit of the store.
constexpr int largeJobTasks = 12'000;
constexpr int workerCount = 13; ///< Each has room for 1,000 of its tasks.

std::string makeText(std::size_t bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes; ++i)
        text += static_cast<char>('a' + i % 23);
    return text;
}

/** A store's records of a partition. */
struct Records {
    std::map<std::string, std::string> m_records;
    PartCounts m_counts;

    void write(const std::string& key, const std::string& value)
    {
        for (const KeyedRecord& part : splitRecord(m_counts, { .m_key = key, .m_value = value })) {
            BOOST_TEST(part.m_key.size() + part.m_value.size() < storeRecordBytes);
            if (part.m_value.empty())
                m_records.erase(part.m_key);
            else
                m_records.insert_or_assign(part.m_key, part.m_value);
        }
    }

    /** @return The records as the next leader reads them, which then knows the numbers of parts. */
    std::map<std::string, std::string> read()
    {
        m_counts.clear();
        std::map<std::string, std::string> records = m_records;
        joinParts(m_counts, records);
        return records;
    }
};

/** A cell with many workers and a store that refuses records that are too large. */
struct LargeJobFixture : OneVmCell {
    LargeJobFixture()
    {
        for (int i = static_cast<int>(m_workers.size()) + 1; i <= workerCount; ++i) {
            const std::string id = "w" + std::to_string(i);
            m_workers[id] = {};
            append(workersTopic, id, "1");
        }
        m_onAppend = [](const StoreAppend& append) -> std::optional<StoreAppendAnswer> {
            const bool isTooLarge = std::any_of(append.m_records.begin(), append.m_records.end(), [](const KeyedRecord& record) { return record.m_key.size() + record.m_value.size() + 1 > storeRecordBytes; });
            return isTooLarge ? std::optional(StoreAppendAnswer { .m_status = StoreStatus::NotDone, .m_reason = "too large" }) : std::nullopt;
        };
        stepUntilLeading();
    }

    std::optional<WriteOutcome> submitLargeJob()
    {
        const StepPlan step { .m_count = largeJobTasks, .m_size = { .m_cpuMilli = 1, .m_memoryMb = 1, .m_gpus = 0 }, .m_estimatedRunTime = { 500 } };
        return write(PeerSubmit { .m_plan = encodePlan({ .m_id = knownJob, .m_queue = "q", .m_policy = { .m_pool = "pool" }, .m_payload = "p", .m_steps = { step }, .m_firstStart = {}, .m_period = {}, .m_occurrenceCount = 0, .m_submittedAt = { 1'000 } }) });
    }

    std::size_t countParts()
    {
        std::size_t parts = 0;
        const StorePartition progress { .m_topic = "keyed.progress" };
        StoreNewestAnswer page = m_store.newest({ .m_partition = progress, .m_after = {} });
        for (const KeyedRecord& record : page.m_records)
            parts += record.m_key.front() == '#' ? 1 : 0;
        return parts;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_large_record_is_read_as_it_was_written)
{
    Records store;
    for (const std::size_t bytes : { maxRecordBytes, maxRecordBytes + 1, maxRecordBytes * 3, maxRecordBytes * 5 + 7, std::size_t { 10 } }) {
        store.write("a", makeText(bytes));
        store.write("~worker:w#1", "x");
        const std::map<std::string, std::string> records = store.read();
        BOOST_TEST((records.at("a") == makeText(bytes)));
        BOOST_TEST(records.at("~worker:w#1") == "x");
        BOOST_TEST(records.size() == 2U);
    }
}

// Parts that stay behind would be read by each leader for ever.
BOOST_AUTO_TEST_CASE(no_part_outlives_its_record)
{
    Records store;
    store.write("a", makeText(maxRecordBytes * 4));
    store.write("a", makeText(maxRecordBytes * 2));
    BOOST_TEST(store.m_records.size() == 2U);
    store.read();
    store.write("a", makeText(maxRecordBytes * 3));
    store.read();
    store.write("a", {});
    BOOST_TEST(store.m_records.empty());
}

BOOST_AUTO_TEST_CASE(a_record_with_a_missing_part_is_not_used)
{
    Records store;
    store.write("a", makeText(maxRecordBytes * 3));
    store.m_records.erase("#1#a");
    BOOST_TEST(store.read().at("a").empty());
}

// The store refused the progress record of one job for ever, and no other job started any more, under no later leader either (LOST).
BOOST_FIXTURE_TEST_CASE(a_job_whose_record_is_too_large_runs_beside_others, LargeJobFixture)
{
    BOOST_TEST((submitLargeJob() == WriteOutcome::Recorded));
    step(300);
    BOOST_TEST(startsOf(knownJob) == static_cast<std::size_t>(largeJobTasks));
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    step(100);
    BOOST_TEST(startsOf(newJob) == 1U);
    BOOST_TEST(countParts() > 0U);
    startNode();
    stepUntilLeading();
    step(300);
    BOOST_TEST(startsOf(knownJob) == static_cast<std::size_t>(largeJobTasks)); // No task is started twice.
    finish(knownJob);
    finish(newJob);
    step(300);
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Complete));
    BOOST_TEST(countParts() == 0U);
}

// A plan that the store refuses took the submissions with it that were appended beside it.
BOOST_FIXTURE_TEST_CASE(a_plan_that_is_too_large_for_the_store_is_rejected, OneVmCell)
{
    stepUntilLeading();
    const auto submitSteps = [this](std::size_t steps) {
        const StepPlan plan { .m_count = 1, .m_size = { .m_cpuMilli = 1'000, .m_memoryMb = 1, .m_gpus = 0 }, .m_estimatedRunTime = { 500 } };
        m_node->m_decoders.m_plan = [plan, steps](const std::string&) -> Expected<JobPlan> { return JobPlan { .m_steps = std::vector<StepPlan>(steps, plan) }; };
        std::optional<ClientStatus> status;
        onClientCall(*m_node, { .m_verb = ClientVerb::Submit, .m_host = "h", .m_path = std::string("/q/") + newJob, .m_body = {}, .m_arrivedAt = m_now, .m_deadline = m_now + Duration { 1'000 } }, [&](const ClientReply& reply) { status = reply.m_status; });
        step(50);
        return status;
    };
    BOOST_TEST((submitSteps(20'000) == ClientStatus::Invalid));
    BOOST_TEST((submitSteps(10) == ClientStatus::Accepted));
}
