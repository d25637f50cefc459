/** @file malformed_input_test.cpp Malformed messages, records and unexpected errors leave the process running. */
#define BOOST_TEST_MODULE malformed_input
#include <boost/test/unit_test.hpp>

#include "connection/peer_codec.h"
#include "core/event_loop.h"
#include "core/guard_func.h"
#include "fakes/fake_store.h"
#include "platform/job_codec.h"
#include "platform/operator_codec.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "process/cell/cell_func.h"
#include "process/cell/leader_codec.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_codec.h"
#include "request/plan_func.h"

#include <future>
#include <random>

using namespace bulrushloft;
using namespace bulrushloft::cell;
using bulrushloft::test::FakeStore;

namespace {

constexpr const char* jobId = "5c0e7a21d94b36f8";

JobPlan makePlan()
{
    return { .m_id = jobId, .m_queue = "q", .m_policy = { .m_pool = "p" }, .m_payload = "payload", .m_steps = { { .m_count = 3, .m_size = { .m_cpuMilli = 1'000 } }, { .m_count = 2, .m_predecessors = { 0 }, .m_isGang = true } } };
}

PeerMember makeMember(const std::string& name, std::uint16_t port)
{
    return { .m_name = name, .m_address = { "127.0.0.1", port }, .m_instance = 1, .m_strength = 50 };
}

/** @return One message of each kind. */
std::vector<PeerMessage> sampleMessages()
{
    const TaskName task { .m_job = jobId, .m_occurrence = 0, .m_step = 1, .m_index = 2 };
    const OrderTarget target { .m_worker = "w", .m_address = { "127.0.0.1", 9 }, .m_token = 1 };
    OrderReport report { .m_number = 1, .m_status = OrderStatus::Done, .m_sync = { .m_clockMs = 5, .m_processStartMs = 6, .m_running = {}, .m_ended = {} } };
    report.m_sync.m_running.push_back({ .m_task = task, .m_attempt = 1 });
    report.m_sync.m_ended.push_back({ .m_number = 1, .m_task = task, .m_attempt = 1, .m_end = AttemptEnd::Done, .m_checkpoint = {} });
    return {
        PeerHeartbeat { .m_from = makeMember("a", 2), .m_leader = { .m_token = 1, .m_member = makeMember("self", 1) }, .m_configVersion = 3, .m_membersVersion = 1, .m_isStoreReached = true },
        PeerJobQuery { .m_job = jobId },
        PeerPendingJobsQuery { .m_queue = "q" },
        PeerAppend { .m_append = { .m_partition = { .m_topic = "keyed.jobs" }, .m_records = { { .m_key = "k", .m_value = "v" } }, .m_writer = {}, .m_expectedEnd = {} } },
        PeerApprovalRequest { .m_step = task, .m_workers = { "w" } },
        PeerTakeOver { .m_token = 1 },
        PeerSubmit { .m_plan = encodePlan(makePlan()) },
        PeerCancel { .m_job = jobId },
        PeerOrders { .m_from = makeMember("a", 2), .m_orders = { { .m_number = 1, .m_to = target, .m_timeout = { 500 }, .m_order = StopOrder { .m_task = task, .m_attempt = 1 } } } },
        PeerReports { .m_token = 1, .m_reports = { report } },
        PeerConfigRequest { .m_newerThan = 0 },
    };
}

std::string mutate(std::string bytes, std::mt19937_64& random)
{
    const auto pick = [&](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
    for (std::size_t changes = 1 + pick(4); changes > 0 && !bytes.empty(); --changes) {
        switch (pick(4)) {
        case 0:
            bytes[pick(bytes.size())] = static_cast<char>(pick(256));
            break;
        case 1:
            bytes.erase(pick(bytes.size()), 1 + pick(4));
            break;
        case 2:
            bytes.insert(pick(bytes.size()), 1, static_cast<char>(pick(256)));
            break;
        default:
            bytes += bytes.substr(pick(bytes.size()));
        }
    }
    return bytes;
}

/** A daemon that leads; its store answers within the call, its peers and workers never. */
struct LeaderFixture {
    FakeStore m_store;
    std::unique_ptr<CellNode> m_node;
    std::vector<std::function<void()>> m_answers; ///< Answers that are delivered at the next step.
    TimePoint m_now { 10'000 };

    LeaderFixture()
    {
        m_store.append({ .m_partition = { .m_topic = "op" }, .m_records = { { .m_key = "config", .m_value = "1" } }, .m_writer = {}, .m_expectedEnd = {} });
        CellOptions options;
        options.m_self = makeMember("self", 1);
        options.m_topics = { .m_operator = "op", .m_workers = "workers" };
        CellDecoders decoders;
        decoders.m_operator = [](const std::string&, const std::string&) -> OperatorRecord { return ClusterSettings { .m_version = 1, .m_queues = { { .m_name = "q", .m_pool = "p" } }, .m_pools = { { .m_name = "p" } } }; };
        decoders.m_worker = platform::decodeWorkerEntry;
        m_node = makeCell(std::move(options), makePorts(), std::move(decoders), m_now, {});
        m_node->m_lastBootTime = m_now;
        run({ 2'000 });
        BOOST_REQUIRE((m_node->m_role == Role::Leading));
    }

    CellPorts makePorts()
    {
        CellPorts ports;
        const auto deliverLater = [this](auto onAnswer, auto answer) { m_answers.push_back([onAnswer, answer] { onAnswer(answer); }); };
        ports.m_append = [this, deliverLater](const StoreAppend& append, Duration, const std::function<void(StoreAppendAnswer)>& onAnswer) { deliverLater(onAnswer, m_store.append(append)); };
        ports.m_read = [this, deliverLater](const StoreRead& read, Duration, const std::function<void(StoreReadAnswer)>& onAnswer) { deliverLater(onAnswer, m_store.read(read)); };
        ports.m_readNewest = [this, deliverLater](const StoreNewestRead& newest, Duration, const std::function<void(StoreNewestAnswer)>& onAnswer) { deliverLater(onAnswer, m_store.newest(newest)); };
        ports.m_callPeer = [](const Address&, const PeerMessage&, Duration, const std::function<void(std::optional<PeerReply>)>&) { /* Never answered. */ };
        ports.m_start = [](const AddressedOrder<StartOrder>&, Duration, const std::function<void(const StartAnswer&)>&) { /* Never answered. */ };
        ports.m_stop = [](const AddressedOrder<StopOrder>&, Duration, const std::function<void(OrderStatus)>&) { /* Never answered. */ };
        ports.m_pace = [](const AddressedOrder<PaceOrder>&, Duration, const std::function<void(OrderStatus)>&) { /* Never answered. */ };
        ports.m_sync = [](const AddressedOrder<SyncOrder>&, Duration, const std::function<void(OrderStatus, const SyncReport&)>&) { /* Never answered. */ };
        ports.m_requestApprovals = [](const TaskName&, const std::vector<std::string>&, Duration, const std::function<void(std::optional<std::vector<Approval>>)>&) { /* Never answered. */ };
        return ports;
    }

    void run(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end;) {
            m_now = m_now + Duration { 10 };
            m_node->m_now = m_now;
            for (const auto& answer : std::exchange(m_answers, {}))
                answer();
            stepCell(*m_node, m_now, m_now);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(deeply_nested_input_does_not_exhaust_the_stack)
{
    const std::string nestedArrays(2'000'000, '\x81');
    const std::string nestedMaps(2'000'000, '\xa1');
    const std::string endlessArrays(2'000'000, '\x9f');
    for (const std::string& bytes : { nestedArrays, nestedMaps, endlessArrays }) {
        BOOST_TEST(!decodePeerMessage(bytes));
        BOOST_TEST(!decodePeerReply(bytes));
        BOOST_TEST(!decodePlan(bytes));
        BOOST_TEST(!decodeClaim(bytes));
    }
    const std::string nestedText(2'000'000, '[');
    BOOST_TEST(!platform::decodeJobBody(nestedText));
    BOOST_TEST(!platform::decodeSyncReport(nestedText));
    BOOST_TEST(!platform::decodeWorkerEntry("w", nestedText));
}

// A start or an approval request with such an id can't be written as JSON: the exception would end the leader.
BOOST_AUTO_TEST_CASE(a_worker_whose_id_is_not_valid_text_is_not_used)
{
    constexpr const char* entry = R"({"service":"p","addr":"127.0.0.1:8080","state":"ready","capacity":{"cpu":16000}})";
    BOOST_TEST(platform::decodeWorkerEntry("i-1", entry).has_value());
    for (const char* id : { "", "\xff\xfe", "i-\xc3\x28", "i\n1", "i 1" })
        BOOST_TEST(!platform::decodeWorkerEntry(id, entry).has_value());
}

// Reported by other operators: one odd entry among those of the workers ended the processes that read the list again and again, or they stopped following it.
BOOST_AUTO_TEST_CASE(odd_worker_entries_name_no_worker_and_do_not_hide_the_others)
{
    constexpr std::size_t longestRecordBytes = 262'144; // As on the users' platform.
    const std::string nested = std::string(longestRecordBytes / 2 - 200, '[') + std::string(longestRecordBytes / 2 - 200, ']');
    const auto entry = [](const std::string& address, const std::string& capacity, const std::string& further) {
        return R"({"service":"p","state":"ready","addr":")" + address + R"(","capacity":)" + capacity + further + "}";
    };
    const std::string sound = entry("127.0.0.1:8080", R"({"cpu":16000,"mem_mb":64000})", R"(,"born":1790000000000)");
    std::vector<std::string> odd { nested, entry("127.0.0.1:8080", nested, ""), std::string(longestRecordBytes, '{') };
    for (const char* const number : { "1e300", "-1e300", "1e400", "9223372036854775807", "9223372036854775808", "99999999999999999999", "-9223372036854775808", "-1", "true", "\"8\"", "[[[8]]]" }) {
        for (const char* const field : { "cpu", "mem_mb", "gpu" })
            odd.push_back(entry("127.0.0.1:8080", std::string("{\"") + field + "\":" + number + "}", ""));
        for (const char* const field : { "born", "remaining_ms" })
            odd.push_back(entry("127.0.0.1:8080", "{\"cpu\":16000}", std::string(",\"") + field + "\":" + number));
    }
    for (const char* const address : { "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999999999999", "127.0.0.1:-1", "127.0.0.1:", "127.0.0.1", "" })
        odd.push_back(entry(address, "{\"cpu\":16000}", ""));
    LeaderFixture fixture;
    const std::uint64_t term = fixture.m_node->m_term;
    const auto write = [&](const std::string& id, const std::string& value) { fixture.m_store.append({ .m_partition = { .m_topic = "workers" }, .m_records = { { .m_key = id, .m_value = value } }, .m_writer = {}, .m_expectedEnd = {} }); };
    const auto isKnown = [&](const std::string& id) { return fixture.m_node->m_scheduler && fixture.m_node->m_scheduler->m_workerById.contains(id); };
    for (std::size_t i = 0; i < odd.size(); ++i) {
        BOOST_TEST(!platform::decodeWorkerEntry("w", odd[i]).has_value(), odd[i].substr(0, 120));
        write("odd-" + std::to_string(i), odd[i]);
        write("sound-" + std::to_string(i), sound);
        for (int j = 0; j < 10 && !isKnown("sound-" + std::to_string(i)); ++j) // The list is read at intervals.
            BOOST_REQUIRE_NO_THROW(fixture.run({ 100 }));
        BOOST_TEST(isKnown("sound-" + std::to_string(i)));
        BOOST_TEST(!isKnown("odd-" + std::to_string(i)));
    }
    BOOST_TEST(fixture.m_node->m_term == term);
    abandonTerm(*fixture.m_node); // A daemon that begins with the whole list comes through as well.
    BOOST_REQUIRE_NO_THROW(fixture.run({ 3'000 }));
    BOOST_TEST((fixture.m_node->m_role == Role::Leading));
    BOOST_TEST(fixture.m_node->m_scheduler->m_workers.size() == odd.size()); // One sound worker for each odd entry.
}

BOOST_AUTO_TEST_CASE(jobs_that_would_exhaust_the_memory_or_overflow_are_refused)
{
    const auto isRefused = [](const JobPlan& plan) { return !validatePlan(plan) && !decodePlan(encodePlan(plan)); };
    JobPlan plan = makePlan();
    BOOST_TEST(decodePlan(encodePlan(plan)).has_value());
    plan.m_steps[0].m_count = UINT32_MAX;
    BOOST_TEST(isRefused(plan));
    plan = makePlan();
    plan.m_steps[0].m_size.m_cpuMilli = INT64_MAX;
    BOOST_TEST(isRefused(plan));
    plan = makePlan();
    plan.m_occurrenceCount = 5;
    plan.m_period = { INT64_MAX / 2 };
    BOOST_TEST(isRefused(plan));
    plan = makePlan();
    plan.m_steps[0].m_estimatedRunTime = { INT64_MAX };
    BOOST_TEST(isRefused(plan));
}

BOOST_AUTO_TEST_CASE(occurrences_that_are_all_due_at_once_are_opened_in_parts)
{
    scheduler::Scheduler scheduler;
    scheduler::setCluster(scheduler, { .m_version = 1, .m_queues = { { .m_name = "q", .m_pool = "p" } }, .m_pools = { { .m_name = "p" } } });
    JobPlan plan = makePlan();
    plan.m_occurrenceCount = UINT32_MAX;
    plan.m_period = { 0 };
    scheduler::acceptJob(scheduler, plan, { 1'000 });
    BOOST_TEST(scheduler.m_jobs.at(jobId)->m_openTasks < maxTasksPerJob + 10);
}

BOOST_AUTO_TEST_CASE(values_that_an_enumeration_does_not_have_are_refused)
{
    BOOST_TEST(!decodePeerReply(encodePeerReply(PeerAppendAnswer { { .m_status = static_cast<StoreStatus>(99) } })));
    BOOST_TEST(!decodePeerReply(encodePeerReply(PeerWriteAnswer { .m_outcome = static_cast<WriteOutcome>(99) })));
    BOOST_TEST(!decodePeerReply(encodePeerReply(PeerQueryAnswer { .m_status = static_cast<QueryStatus>(99) })));
    BOOST_TEST(!decodePeerReply(encodePeerReply(PeerQueryAnswer { .m_status = QueryStatus::Known, .m_stage = 99 })));
    OrderReport report { .m_number = 1, .m_status = static_cast<OrderStatus>(99) };
    BOOST_TEST(!decodePeerMessage(encodePeerMessage(PeerReports { .m_token = 1, .m_reports = { report } })));
}

BOOST_AUTO_TEST_CASE(mutated_messages_are_refused_or_handled)
{
    constexpr int rounds = 400;
    std::mt19937_64 random(20261204);
    LeaderFixture fixture;
    std::size_t decoded = 0;
    for (int round = 0; round < rounds; ++round) {
        for (const PeerMessage& sample : sampleMessages()) {
            const auto message = decodePeerMessage(mutate(encodePeerMessage(sample), random));
            decodePeerReply(mutate(encodePeerMessage(sample), random)).has_value();
            if (!message)
                continue;
            ++decoded;
            BOOST_REQUIRE_NO_THROW(onPeerMessage(*fixture.m_node, *message, [](const PeerReply& reply) { encodePeerReply(reply); }));
        }
        BOOST_REQUIRE_NO_THROW(fixture.run({ 20 }));
    }
    BOOST_TEST(decoded > 100U); // Otherwise only the decoder was tested.
}

BOOST_AUTO_TEST_CASE(mutated_records_are_refused_or_restored)
{
    constexpr int rounds = 3'000;
    std::mt19937_64 random(20261205);
    scheduler::Scheduler source;
    scheduler::setCluster(source, { .m_version = 1, .m_queues = { { .m_name = "q", .m_pool = "p" } }, .m_pools = { { .m_name = "p" } } });
    scheduler::acceptAndRecord(source, makePlan(), encodePlan(makePlan()), { 1'000 });
    const std::vector<KeyedRecord> records = scheduler::takeRecords(source);
    BOOST_REQUIRE(records.size() == 2U);
    for (int round = 0; round < rounds; ++round) {
        scheduler::Scheduler target;
        target.m_queues = source.m_queues;
        const auto plan = decodePlan(mutate(records[0].m_value, random));
        scheduler::restorePlan(target, plan ? *plan : makePlan(), { 2'000 });
        const std::string id = target.m_jobs.begin()->first;
        BOOST_REQUIRE_NO_THROW(scheduler::restoreProgress(target, id, mutate(records[1].m_value, random), { 2'000 }).has_value());
        BOOST_REQUIRE_NO_THROW(scheduler::finishRestoring(target, { 5'000 }, { 2'000 }));
        scheduler::SchedulerEffects effects;
        BOOST_REQUIRE_NO_THROW(scheduler::step(target, { 2'100 }, effects));
    }
}

BOOST_AUTO_TEST_CASE(an_exception_of_one_callback_does_not_end_its_thread)
{
    BOOST_TEST(!runGuarded("test", [] { throw std::runtime_error("expected by the test"); }));
    EventLoop loop("test");
    loop.post([] { throw std::runtime_error("expected by the test"); });
    std::promise<void> done;
    loop.post([&] { done.set_value(); });
    BOOST_TEST((done.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready));
}

// The records are the truth: a leader whose state may be half changed starts over from them.
BOOST_AUTO_TEST_CASE(a_leader_with_an_unexpected_error_gives_up_its_term_and_loads_again)
{
    LeaderFixture fixture;
    const std::uint64_t term = fixture.m_node->m_term;
    abandonTerm(*fixture.m_node);
    BOOST_TEST((fixture.m_node->m_role == Role::Follower));
    fixture.run({ 3'000 });
    BOOST_TEST((fixture.m_node->m_role == Role::Leading));
    BOOST_TEST(fixture.m_node->m_term > term);
}
