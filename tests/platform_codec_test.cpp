/** @file platform_codec_test.cpp Tests the codecs of the platform's messages, of plans and of peer messages, and the parser of start-up files, including malformed input. */
#define BOOST_TEST_MODULE platform_codec
#include <boost/test/unit_test.hpp>

#include "connection/peer_codec.h"
#include "platform/job_codec.h"
#include "platform/operator_codec.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "process/cell/cell_startup.h"
#include "request/plan_codec.h"
#include "request/plan_func.h"
#include "version/cluster_func.h"

#include <rapidcheck.h>

using namespace bulrushloft;
using namespace bulrushloft::platform;

namespace {

constexpr const char* jobBody = R"({"spec":"s","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,"mem_mb":1024,"gpu":2,"estimated_ms":7000,"after":[0],"checkpointing":true,"gang":true,"image":"i","target_ms":50,"anti_affinity":2,"max_unavailable":1}]})";
constexpr const char* clusterConfig = R"({"version":7,"routes":[{"name":"a","host":"h.example","path_prefix":"/a/","service":"s1","priority":1,"max_attempts":4,"slack_factor":2.2,"target_latency_ms":1000,"advice":{"decide_ms":530.0,"interval_ms":7.6,"valid_ms":2000}},{"name":"b","host":"h.example","path_prefix":"/a/b/","service":"s2"}],"services":[{"name":"s1"},{"name":"s2","admission_control":true}]})";
constexpr const char* workerEntry = R"({"service":"s1","addr":"10.0.0.9:8080","zone":"z","state":"draining","remaining_ms":1500,"capacity":{"cpu":16000,"mem_mb":32768},"labels":["a","r1-3"],"born":123})";
constexpr const char* startupText = "member: n\nzone: z\nlisten: {clients: \"127.0.0.1:1\", readiness: \"127.0.0.1:2\", peers: \"127.0.0.1:3\"}\nplatform: {store: \"127.0.0.1:4\"}\n";

} // namespace

BOOST_AUTO_TEST_CASE(job_bodies_are_decoded_into_plans)
{
    const auto plan = decodeJobBody(jobBody);
    BOOST_REQUIRE(plan);
    BOOST_REQUIRE(plan->m_steps.size() == 2U);
    BOOST_TEST(plan->m_steps[0].m_dataRack == "r1-3");
    BOOST_TEST(plan->m_steps[1].m_isGang);
    BOOST_TEST(plan->m_steps[1].m_size.m_gpus == 2);
    BOOST_TEST(plan->m_steps[1].m_perWorkerLimit == 2U);
    BOOST_TEST(plan->m_steps[1].m_tailLatencyTarget.m_ms == 50);
    BOOST_TEST((plan->m_steps[1].m_predecessors == std::vector<std::uint32_t> { 0 }));
}

BOOST_AUTO_TEST_CASE(invalid_jobs_are_rejected_with_a_remedy)
{
    for (const char* body : { "", "[]", "{}", "{\"steps\":3}", "{\"steps\":[{\"count\":-1}]}", "{\"steps\":[{\"after\":\"x\"}]}", "{\"steps\":[{\"count\":1}" }) {
        const auto plan = decodeJobBody(body);
        BOOST_TEST(!plan);
        if (!plan)
            BOOST_TEST(!plan.error().m_remedy.empty());
    }
    auto plan = *decodeJobBody(jobBody);
    plan.m_id = "5c0e7a21d94b36f8";
    BOOST_TEST(validatePlan(plan).has_value());
    auto cyclic = plan;
    cyclic.m_steps[0].m_predecessors = { 1 };
    BOOST_TEST(!validatePlan(cyclic));
    auto oversized = plan;
    oversized.m_payload.assign(maxPayloadBytes + 1, 'x');
    BOOST_TEST((validatePlan(oversized).error().m_kind == ErrorKind::TooLarge));
    auto withInvalidId = plan;
    withInvalidId.m_id = "xyz";
    BOOST_TEST(!validatePlan(withInvalidId));
    auto empty = plan;
    empty.m_steps.clear();
    BOOST_TEST(!validatePlan(empty));
}

BOOST_AUTO_TEST_CASE(the_longest_path_prefix_selects_the_queue)
{
    const auto record = decodeOperatorRecord("config", clusterConfig);
    const auto* const cluster = std::get_if<ClusterSettings>(&record);
    BOOST_REQUIRE(cluster);
    BOOST_TEST(findQueue(*cluster, "h.example", "/a/1")->m_name == "a");
    BOOST_TEST(findQueue(*cluster, "h.example", "/a/b/1")->m_name == "b");
    BOOST_TEST(findQueue(*cluster, "h.example", "/c/") == nullptr);
    BOOST_TEST(findQueue(*cluster, "other", "/a/1") == nullptr);
    BOOST_TEST(cluster->m_queues[0].m_approval->m_baseCallTimeMs == 530.0);
    BOOST_TEST(!cluster->m_queues[1].m_approval.has_value());
    BOOST_TEST(cluster->m_pools[1].m_hasAdmissionControl);
}

BOOST_AUTO_TEST_CASE(malformed_worker_entries_are_ignored)
{
    const auto announcement = decodeWorkerEntry("i-1", workerEntry);
    BOOST_REQUIRE(announcement);
    BOOST_TEST(announcement->m_isDraining);
    BOOST_TEST(announcement->m_remainingDrainTime.m_ms == 1'500);
    BOOST_TEST(announcement->m_processStartMs == 123);
    BOOST_TEST(announcement->m_capacity.m_gpus == 0);
    for (const char* entry : { "", "{}", "null", "[1]", "{\"service\":3,\"addr\":\"10.0.0.9:1\",\"state\":\"ready\",\"capacity\":{}}", "{\"service\":\"s\",\"addr\":\"nowhere\",\"state\":\"ready\",\"capacity\":{}}", "{\"service\":\"s\",\"addr\":\"10.0.0.9:1\",\"state\":\"asleep\",\"capacity\":{}}", "{\"service\":\"s\",\"addr\":\"10.0.0.9:1\",\"state\":\"ready\"}", "\xff\xfe" })
        BOOST_TEST(!decodeWorkerEntry("i-1", entry));
}

BOOST_AUTO_TEST_CASE(store_records_survive_encoding_and_decoding)
{
    const std::string offset(8, '\0');
    const std::string body = encodeRecords({ { .m_key = "k", .m_value = "value" }, { .m_key = "gone", .m_value = {} } });
    const auto answer = decodeStoreReadAnswer(offset + offset + body, 40);
    BOOST_REQUIRE(answer.m_records.size() == 2U);
    BOOST_TEST(answer.m_records[0].m_value == "value");
    BOOST_TEST(answer.m_records[1].m_offset == 41U);
    BOOST_TEST(answer.m_records[1].m_value.empty());
    const auto page = decodeStoreNewestAnswer(R"({"items":[{"key":"config","value":"aGVsbG8=","offset":4}],"has_more":true,"end":6})");
    BOOST_REQUIRE(page.m_records.size() == 1U);
    BOOST_TEST(page.m_records[0].m_value == "hello");
    BOOST_TEST(page.m_hasMore);
    BOOST_TEST((decodeStoreNewestAnswer("nonsense").m_status == StoreStatus::Unknown));
}

BOOST_AUTO_TEST_CASE(malformed_sync_reports_and_task_names_are_rejected)
{
    const auto report = decodeSyncReport(R"({"clock_ms":482113,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41,7]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
    BOOST_REQUIRE(report);
    BOOST_TEST(report->m_running[0].m_task.m_index == 17U);
    BOOST_TEST(report->m_running[0].m_loadMetric == 7);
    BOOST_TEST((report->m_ended[0].m_end == AttemptEnd::Done));
    // Numbers that no integer can hold must not be converted.
    for (const char* body : { "", "{\"running\":[[1]]}", "{\"finished\":[[\"x\"]]}", "[]x", R"({"running":[["a.0.1.17",1e300,"",41]]})", R"({"running":[["a.0.1.17",-1,"",41]]})", R"({"finished":[[1e300,"a.0.1.9",1,"done",""]]})" })
        BOOST_TEST(!decodeSyncReport(body));
    for (const char* name : { "", "a", "a.1", "a.1.2", "a.x.2.3", "a.1.2.3x" })
        BOOST_TEST(!decodeTaskName(name));
}

BOOST_AUTO_TEST_CASE(plans_and_peer_messages_survive_encoding_and_decoding)
{
    rc::check([](const std::string& payload, std::uint16_t count, bool isGang) {
        JobPlan plan { .m_id = "5c0e7a21d94b36f8", .m_queue = "q", .m_policy = { .m_pool = "p" }, .m_payload = "x" + std::to_string(payload.size()), .m_steps = { { .m_count = count, .m_size = {}, .m_estimatedRunTime = { count }, .m_predecessors = {}, .m_isGang = isGang } } };
        const auto decodedPlan = decodePlan(encodePlan(plan));
        RC_ASSERT(decodedPlan.has_value());
        RC_ASSERT(decodedPlan->m_payload == plan.m_payload);
        RC_ASSERT(decodedPlan->m_steps[0].m_count == count);
        RC_ASSERT(decodedPlan->m_steps[0].m_isGang == isGang);
        const PeerMessage message = PeerSubmit { .m_plan = payload };
        const auto decodedMessage = decodePeerMessage(encodePeerMessage(message));
        RC_ASSERT(decodedMessage.has_value());
        RC_ASSERT(std::get<PeerSubmit>(*decodedMessage).m_plan == payload);
    });
}

BOOST_AUTO_TEST_CASE(decoders_do_not_crash_on_arbitrary_bytes)
{
    rc::check([](const std::string& bytes) {
        decodePlan(bytes).has_value();
        decodeJobBody(bytes).has_value();
        decodePeerMessage(bytes).has_value();
        decodePeerReply(bytes).has_value();
        decodeOperatorRecord("config", bytes);
        decodeOperatorRecord("wave/1", bytes);
        decodeWorkerEntry("i", bytes);
        decodeSyncReport(bytes);
        decodeTaskName(bytes);
        decodeStoreReadAnswer(bytes, 0);
        decodeStoreNewestAnswer(bytes);
        decodeClientCall({ .m_method = "GET", .m_target = bytes, .m_headers = { { "Deadline-Ms", bytes } }, .m_body = makeBody(bytes) }, {});
    });
}

BOOST_AUTO_TEST_CASE(client_replies_have_the_http_form_that_the_platform_expects)
{
    BOOST_TEST(encodeClientReply({ .m_status = ClientStatus::Accepted }).m_status == 200U);
    BOOST_TEST(encodeClientReply({ .m_status = ClientStatus::NoSuchQueue }).m_status == 404U);
    BOOST_TEST(encodeClientReply({ .m_status = ClientStatus::NoSuchJob }).m_status == 410U);
    BOOST_TEST(encodeClientReply({ .m_status = ClientStatus::Invalid }).m_status == 400U);
    BOOST_TEST(encodeClientReply({ .m_status = ClientStatus::Unknown }).m_status == 504U);
    const auto refused = encodeClientReply({ .m_status = ClientStatus::NotDone, .m_retryAfter = { 1'200 } });
    BOOST_TEST(refused.m_status == 503U);
    BOOST_TEST(findHeader(refused.m_headers, "Retry-After") == "2");
    const auto known = encodeClientReply({ .m_status = ClientStatus::Known, .m_stage = static_cast<std::uint8_t>(scheduler::JobStage::Cancelled) });
    BOOST_TEST(viewOf(known.m_body) == "{\"state\":\"canceled\"}");
}

BOOST_AUTO_TEST_CASE(start_up_files_are_validated)
{
    const auto settings = cell::parseCellStartup(startupText);
    BOOST_REQUIRE(settings);
    BOOST_TEST(settings->m_store.m_port == 4);
    const auto missing = cell::parseCellStartup("member: n\n");
    BOOST_REQUIRE(!missing);
    BOOST_TEST(!missing.error().m_remedy.empty());
    const auto unknown = cell::parseCellStartup(std::string(startupText) + "colour: red\n");
    BOOST_REQUIRE(!unknown);
    BOOST_TEST(unknown.error().m_message.find("colour") != std::string::npos);
    BOOST_TEST(!cell::parseCellStartup(std::string(startupText) + "times: {lease_ms: soon}\n"));
    BOOST_TEST(!cell::parseCellStartup(":::\n- ["));
}
