/** @file submission_gate_test.cpp A leader that refuses submissions: what may be refused, what never, and what the caller is told. */
#define BOOST_TEST_MODULE submission_gate
#include <boost/test/unit_test.hpp>

#include "fakes/one_vm_cell.h"

using namespace bulrushloft;
using namespace bulrushloft::test;

namespace {

constexpr const char* customer = "c";

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016x", static_cast<unsigned>(number));
    return text;
}

PeerSubmit makeSubmission(TimePoint now, const std::string& id, const std::string& customerName, bool isLongRunning = false, TimePoint firstStart = {})
{
    JobPlan plan = *decodePlan(encodeJob(id));
    plan.m_submittedAt = now;
    plan.m_customer = customerName;
    plan.m_steps.front().m_isLongRunning = isLongRunning;
    plan.m_firstStart = firstStart;
    return { .m_plan = encodePlan(plan) };
}

/** A leader whose two workers run what never ends. */
struct FullCell : OneVmCell {
    /** @param isEnabled Whether the configuration has a customer, which is entitled to a job in ten seconds. */
    explicit FullCell(bool isEnabled = true)
    {
        if (isEnabled)
            m_customers = { { .m_name = customer, .m_keys = {}, .m_weight = 0.1, .m_cap = {} } };
        startNode();
        stepUntilLeading();
        step(200);
    }

    /** Submits jobs of nobody: two run, the others wait. */
    void fill(int jobs)
    {
        for (int i = 0; i < jobs; ++i)
            onPeerMessage(*m_node, makeSubmission(m_now, jobId(1'000 + i), {}), [](const PeerReply&) { /* Whether it is recorded shows in what runs. */ });
        step(30);
    }

    PeerWriteAnswer send(const PeerSubmit& submission)
    {
        const auto answer = std::make_shared<std::optional<PeerWriteAnswer>>();
        onPeerMessage(*m_node, submission, [answer](const PeerReply& reply) { *answer = std::get<PeerWriteAnswer>(reply); });
        if (!*answer)
            step(20);
        BOOST_REQUIRE(answer->has_value());
        return **answer;
    }

    PeerWriteAnswer sendFor(const std::string& customerName, int number) { return send(makeSubmission(m_now, jobId(number), customerName)); }

    /** Makes the leader believe that far more waits than can be served. */
    void pretendOverload()
    {
        PoolLoad pool;
        pool.m_capacity = { 2'000, 20'000, 0 };
        pool.m_bands[0].m_size = { 1e6, 1e3, 0 };
        pool.m_bands[0].m_work = { 1e9, 1e6, 0 };
        pool.m_oldestWait = { 5'000 };
        m_node->m_gate.m_estimate = { .m_madeAt = m_now, .m_load = {} };
        m_node->m_gate.m_estimate->m_load.m_pools["pool"] = pool;
    }

    bool isInStore(const std::string& job)
    {
        const CellTopics& topics = m_node->m_options.m_topics;
        StoreNewestAnswer answer = m_store.newest({ .m_partition = { .m_topic = topics.m_progress, .m_partition = m_node->m_writerJournal }, .m_after = {} });
        const StoreNewestAnswer jobs = m_store.newest({ .m_partition = { .m_topic = topics.m_jobs }, .m_after = {} });
        answer.m_records.insert(answer.m_records.end(), jobs.m_records.begin(), jobs.m_records.end());
        return std::any_of(answer.m_records.begin(), answer.m_records.end(), [&](const auto& record) { return record.m_key.find(job) != std::string::npos; });
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_customer_over_its_rate_is_refused_at_once_while_capacity_is_short)
{
    FullCell cell;
    cell.fill(10);
    BOOST_TEST((cell.sendFor(customer, 1).m_outcome == WriteOutcome::Recorded)); // Within its rate.
    const PeerWriteAnswer answer = cell.sendFor(customer, 2);
    BOOST_TEST((answer.m_outcome == WriteOutcome::OverLimit));
    BOOST_TEST(answer.m_retryAfter.m_ms >= 1'000);
    BOOST_TEST(answer.m_retryAfter.m_ms % 1'000 == 0);
    cell.finish(jobId(1'000));
    cell.step(300);
    BOOST_TEST(cell.startsOf(jobId(2)) == 0); // A refusal means that the job never runs.
    BOOST_TEST(!cell.isInStore(jobId(2)));
    BOOST_TEST(cell.isInStore(jobId(1)));
}

BOOST_AUTO_TEST_CASE(a_customer_over_its_rate_is_served_while_there_is_room)
{
    FullCell cell;
    for (int i = 0; i < 4; ++i)
        BOOST_TEST((cell.sendFor(customer, 1 + i).m_outcome == WriteOutcome::Recorded));
}

// The same call without the refusal before it must be judged anew, or a job that was refused once could never run.
BOOST_AUTO_TEST_CASE(a_refused_job_is_a_new_one_when_it_is_submitted_again)
{
    FullCell cell;
    cell.fill(10);
    cell.sendFor(customer, 1);
    BOOST_TEST((cell.sendFor(customer, 2).m_outcome == WriteOutcome::OverLimit));
    for (int i = 0; i < 10; ++i) {
        cell.finish(jobId(1'000 + i));
        cell.finish(jobId(1));
        cell.step(100);
        for (int j = 0; j < 10; ++j)
            cell.finish(jobId(1'000 + j));
    }
    cell.step(200);
    BOOST_TEST((cell.sendFor(customer, 2).m_outcome == WriteOutcome::Recorded));
}

// A repeated call after a lost answer must get the outcome of the job, not a refusal of a job that runs.
BOOST_AUTO_TEST_CASE(a_repeat_is_never_refused)
{
    FullCell cell;
    cell.fill(10);
    BOOST_TEST((cell.sendFor(customer, 1).m_outcome == WriteOutcome::Recorded));
    BOOST_TEST((cell.sendFor(customer, 1).m_outcome == WriteOutcome::Recorded));
    cell.pretendOverload();
    BOOST_TEST((cell.sendFor(customer, 1).m_outcome == WriteOutcome::Recorded));
    // Stored by a VM itself and read by the leader.
    cell.append(jobsTopic, jobId(7), makeSubmission(cell.m_now, jobId(7), customer).m_plan);
    cell.step(100);
    cell.pretendOverload();
    BOOST_TEST((cell.sendFor(customer, 7).m_outcome == WriteOutcome::Recorded));
}

// Two copies of one call while an append is under way: the second must wait for the batch of the first.
BOOST_AUTO_TEST_CASE(a_copy_of_a_submission_that_is_being_recorded_waits_for_its_batch)
{
    FullCell cell;
    cell.fill(10);
    std::vector<WriteOutcome> outcomes;
    for (int i = 0; i < 2; ++i)
        onPeerMessage(*cell.m_node, makeSubmission(cell.m_now, jobId(1), customer), [&](const PeerReply& reply) { outcomes.push_back(std::get<PeerWriteAnswer>(reply).m_outcome); });
    BOOST_TEST(outcomes.empty());
    cell.step(20);
    BOOST_REQUIRE(outcomes.size() == 2);
    BOOST_TEST((outcomes[0] == WriteOutcome::Recorded && outcomes[1] == WriteOutcome::Recorded));
}

BOOST_AUTO_TEST_CASE(what_can_not_be_started_in_time_is_refused)
{
    FullCell cell;
    cell.pretendOverload();
    const PeerWriteAnswer answer = cell.sendFor({}, 3);
    BOOST_TEST((answer.m_outcome == WriteOutcome::Rejected));
    BOOST_TEST(answer.m_retryAfter.m_ms >= 1'000);
    cell.step(300);
    BOOST_TEST(cell.startsOf(jobId(3)) == 0);
}

// A service that must run for days, and a job of tomorrow, do not depend on what waits now.
BOOST_AUTO_TEST_CASE(long_running_and_later_jobs_are_not_refused)
{
    FullCell cell;
    cell.pretendOverload();
    BOOST_TEST((cell.send(makeSubmission(cell.m_now, jobId(3), {}, true)).m_outcome == WriteOutcome::Recorded));
    cell.pretendOverload();
    BOOST_TEST((cell.send(makeSubmission(cell.m_now, jobId(4), {}, false, cell.m_now + Duration { 60'000 })).m_outcome == WriteOutcome::Recorded));
}

BOOST_AUTO_TEST_CASE(old_estimates_refuse_nothing)
{
    FullCell cell;
    cell.pretendOverload();
    cell.m_node->m_gate.m_estimate->m_madeAt = cell.m_now - Duration { 3'000 };
    BOOST_TEST((cell.sendFor({}, 3).m_outcome == WriteOutcome::Recorded));
}

// A leader that has just begun has reached few workers, so all pools look too small to it.
BOOST_AUTO_TEST_CASE(a_new_leader_refuses_nothing_for_a_second)
{
    FullCell cell;
    cell.startNode();
    cell.stepUntilLeading();
    cell.step();
    cell.pretendOverload();
    BOOST_TEST((cell.sendFor({}, 3).m_outcome == WriteOutcome::Recorded));
    cell.step(150);
    cell.pretendOverload();
    BOOST_TEST((cell.sendFor({}, 4).m_outcome == WriteOutcome::Rejected));
}

// What VMs have stored themselves may hold an earlier copy of the call.
BOOST_AUTO_TEST_CASE(nothing_is_refused_while_submissions_are_unread)
{
    FullCell cell;
    cell.restartWithoutJobs();
    cell.step(200);
    cell.pretendOverload();
    const PeerWriteAnswer answer = cell.sendFor({}, 3);
    BOOST_TEST((answer.m_outcome != WriteOutcome::Rejected && answer.m_outcome != WriteOutcome::OverLimit));
}

BOOST_AUTO_TEST_CASE(a_deployment_without_customers_refuses_nothing)
{
    FullCell cell(false);
    cell.fill(10);
    cell.pretendOverload();
    BOOST_TEST((cell.sendFor({}, 3).m_outcome == WriteOutcome::Recorded));
    BOOST_TEST(cell.m_node->m_gate.m_counts.empty());
}

// The estimate of a moment ago must not refuse anything once the operator has removed all customers.
BOOST_AUTO_TEST_CASE(nothing_is_refused_once_the_customers_are_removed)
{
    FullCell cell;
    cell.m_node->m_cluster = std::make_shared<const ClusterSettings>(makeCluster());
    cell.pretendOverload();
    BOOST_TEST((cell.sendFor({}, 3).m_outcome == WriteOutcome::Recorded));
}

// Refusals come as fast as calls do: a line for each would fill the log of a VM.
BOOST_AUTO_TEST_CASE(log_lines_and_counted_customers_are_bounded)
{
    SubmissionGate gate;
    std::uint32_t lines = 0;
    std::uint32_t suppressed = 0;
    for (int i = 0; i < 3'000; ++i)
        lines += takeLogLine(gate, TimePoint { 5'000 + i }, suppressed) ? 1 : 0;
    BOOST_TEST(lines == 60);
    BOOST_TEST(gate.m_suppressedLines + suppressed <= 2'940);
    for (int i = 0; i < 60; ++i)
        gate.m_counts[std::to_string(i)] = { static_cast<std::uint64_t>(i), 1, 0 };
    const auto counts = largestCounts(gate, 50);
    BOOST_REQUIRE(counts.size() == 51);
    BOOST_TEST(counts.front().first == "59");
    BOOST_TEST(counts.back().first == "others");
    BOOST_TEST(counts.back().second[1] == 10);
}

// The caller must see the status and the delay that the leader has decided on.
BOOST_AUTO_TEST_CASE(a_client_is_told_the_status_and_the_delay)
{
    FullCell cell;
    cell.m_node->m_decoders.m_plan = [](const std::string&) -> Expected<JobPlan> { return *decodePlan(encodeJob(jobId(3))); };
    cell.pretendOverload();
    std::optional<ClientReply> reply;
    onClientCall(*cell.m_node, { .m_verb = ClientVerb::Submit, .m_host = "h", .m_path = "/q/" + jobId(3), .m_body = {}, .m_key = {}, .m_arrivedAt = cell.m_now, .m_deadline = cell.m_now + Duration { 3'000 } }, [&](const ClientReply& each) { reply = each; });
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST((reply->m_status == ClientStatus::NotDone));
    BOOST_TEST(reply->m_retryAfter.m_ms >= 30'000); // The work that waits takes longer; the longest delay is told.
}

// A refusal beside a write of the same job that is still under way would be a lie if that write succeeds.
BOOST_AUTO_TEST_CASE(a_client_is_told_nothing_certain_while_an_earlier_copy_is_being_written)
{
    FullCell cell;
    cell.m_node->m_decoders.m_plan = [](const std::string&) -> Expected<JobPlan> { return *decodePlan(encodeJob(jobId(3))); };
    const auto write = std::make_shared<PendingWrite>();
    write->m_records = { { .m_key = jobId(3), .m_value = "plan" } };
    cell.m_node->m_directWriters[0].m_queue.push_back(write);
    cell.pretendOverload();
    std::optional<ClientReply> reply;
    onClientCall(*cell.m_node, { .m_verb = ClientVerb::Submit, .m_host = "h", .m_path = "/q/" + jobId(3), .m_body = {}, .m_key = {}, .m_arrivedAt = cell.m_now, .m_deadline = cell.m_now + Duration { 3'000 } }, [&](const ClientReply& each) { reply = each; });
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST((reply->m_status == ClientStatus::Unknown));
}
