/** @file http_reader_fuzz_test.cpp Random and hostile requests, responses and bodies. FUZZ_FACTOR multiplies the number of cases, FUZZ_SEED sets the seed. */
#define BOOST_TEST_MODULE http_reader_fuzz
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "connection/http_reader.h"
#include "connection/http_refusal.h"
#include "connection/peer_codec.h"
#include "mutation.h"
#include "platform/job_codec.h"
#include "platform/operator_codec.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "process/cell/leader_codec.h"
#include "request/plan_codec.h"

using namespace bulrushloft;
using bulrushloft::test::fuzzRounds;
using bulrushloft::test::fuzzSeed;
using bulrushloft::test::mutate;
using bulrushloft::test::pick;

namespace {

constexpr std::size_t wholePiece = SIZE_MAX;

/** Small limits, so that small inputs reach them. */
HttpMessageLimits smallLimits()
{
    return { .m_headBytes = 512, .m_fields = 8, .m_emptyLines = 2, .m_chunkLineBytes = 32, .m_trailerBytes = 64, .m_bodyBytes = 256 };
}

/** What a reader has made of some bytes. */
struct ReadResult {
    HttpReadState m_state = HttpReadState::NeedsMore;
    HttpRefusal m_refusal = HttpRefusal::Malformed;
    std::string m_body;
    std::size_t m_fields = 0;
    std::size_t m_mostHeld = 0;
};

/** Reads one message in pieces of at most so many bytes, or of random sizes. */
template <bool isRequest>
ReadResult read(std::string_view bytes, const HttpMessageLimits& limits, std::size_t pieceBytes, std::mt19937_64* random = nullptr)
{
    HttpReader<isRequest> reader;
    reader.begin(limits);
    ReadResult result;
    while (result.m_state == HttpReadState::NeedsMore && !bytes.empty()) {
        const auto room = reader.prepare();
        const std::size_t wanted = random == nullptr ? pieceBytes : 1 + pick(*random, pieceBytes);
        const std::size_t count = std::min({ wanted, room.size(), bytes.size() });
        std::copy_n(bytes.data(), count, static_cast<char*>(room.data()));
        bytes.remove_prefix(count);
        result.m_state = reader.take(count);
        result.m_mostHeld = std::max(result.m_mostHeld, reader.heldBytes());
    }
    result.m_refusal = reader.refusal();
    if (result.m_state == HttpReadState::Complete) {
        const auto message = reader.release();
        result.m_body = message.body();
        result.m_fields = static_cast<std::size_t>(std::distance(message.begin(), message.end()));
    }
    return result;
}

/** @return Whether both are complete and the same, or neither is complete. */
bool isSameMessage(const ReadResult& one, const ReadResult& other)
{
    return (one.m_state == HttpReadState::Complete) == (other.m_state == HttpReadState::Complete) && one.m_body == other.m_body && one.m_fields == other.m_fields;
}

/** @return Status of a refusal, 200 for a complete request, 0 for one that needs more. */
unsigned statusFor(std::string_view bytes, const HttpMessageLimits& limits = smallLimits(), std::size_t pieceBytes = wholePiece)
{
    const ReadResult result = read<true>(bytes, limits, pieceBytes);
    if (result.m_state == HttpReadState::NeedsMore)
        return 0;
    return result.m_state == HttpReadState::Complete ? 200 : statusOf(result.m_refusal);
}

std::string post(const std::string& fields, const std::string& body)
{
    return "POST /q/0123456789abcdef HTTP/1.1\r\nHost: h.example\r\n" + fields + "\r\n" + body;
}

std::string chunked(const std::string& body)
{
    return post("Transfer-Encoding: chunked\r\n", body);
}

std::string repeat(const std::string& text, std::size_t count)
{
    std::string repeated;
    for (std::size_t i = 0; i < count; ++i)
        repeated += text;
    return repeated;
}

/** A request, and the status that it gets; 0 if more of it is awaited. */
struct KnownCase {
    const char* m_name;
    std::string m_request;
    unsigned m_status;
};

std::ostream& operator<<(std::ostream& out, const KnownCase& known)
{
    return out << known.m_name;
}

std::vector<KnownCase> knownCases()
{
    const std::string longText(1'000, 'x');
    return {
        { "sound request", post("Content-Length: 2\r\n", "{}"), 200 },
        { "sound request in chunks", chunked("2\r\n{}\r\n0\r\n\r\n"), 200 },
        { "chunk with an extension", chunked("2;a=b\r\n{}\r\n0\r\n\r\n"), 200 },
        { "short trailer", chunked("2\r\n{}\r\n0\r\nx-a: b\r\n\r\n"), 200 },
        { "long trailer", chunked("2\r\n{}\r\n0\r\nx-a: " + longText + "\r\n\r\n"), 431 },
        { "endless trailer", chunked("2\r\n{}\r\n0\r\n" + repeat("x-a: b\r\n", 100)), 431 },
        { "long extension", chunked("2;a=" + longText + "\r\n{}\r\n0\r\n\r\n"), 400 },
        { "endless extension", chunked("2;a=" + longText), 400 },
        { "long extension of the last chunk", chunked("2\r\n{}\r\n0;a=" + longText + "\r\n\r\n"), 400 },
        { "announced body over the limit", post("Content-Length: 257\r\n", {}), 413 },
        { "body in one chunk over the limit", chunked("101\r\n"), 413 },
        { "body in chunks over the limit", chunked(repeat("40\r\n" + std::string(64, 'x') + "\r\n", 5)), 413 },
        { "chunk size that overflows", chunked("ffffffffffffffff0\r\n"), 400 },
        { "largest chunk size", chunked("ffffffffffffffff\r\n"), 413 },
        { "negative chunk size", chunked("-1\r\n"), 400 },
        { "negative length", post("Content-Length: -1\r\n", {}), 400 },
        { "length that overflows", post("Content-Length: 18446744073709551616\r\n", {}), 400 },
        { "largest length", post("Content-Length: 18446744073709551615\r\n", {}), 413 },
        { "length of 10,000 digits", post("Content-Length: " + std::string(400, '9') + "\r\n", {}), 400 },
        { "two lengths", post("Content-Length: 2\r\nContent-Length: 3\r\n", "{}"), 400 },
        { "length and chunks", post("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\n\r\n"), 400 },
        { "chunks and length", post("Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", "2\r\n{}\r\n0\r\n\r\n"), 400 },
        { "bare line feeds", "GET / HTTP/1.1\nHost: x\n\n", 400 },
        { "NUL in a field", post(std::string("x-a: b\0c\r\n", 10), {}), 400 },
        { "NUL in the path", std::string("GET /\0 HTTP/1.1\r\n\r\n", 19), 400 },
        { "control byte in a field's name", post("x\x01: b\r\n", {}), 400 },
        { "empty lines before a request", "\r\n\r\n" + post({}, {}), 200 },
        { "too many empty lines", "\r\n\r\n\r\n" + post({}, {}), 400 },
        { "endless empty lines", repeat("\r\n", 1'000), 400 },
        { "long path", "GET /" + longText + " HTTP/1.1\r\n\r\n", 414 },
        { "endless path", "GET /" + longText, 414 },
        { "endless method", std::string(1'000, 'G'), 414 },
        { "long head", post("x-a: " + longText + "\r\n", {}), 431 },
        { "endless head in lines", "GET / HTTP/1.1\r\n" + repeat("x-a: b\r\n", 1'000), 431 },
        { "too many fields", "GET / HTTP/1.1\r\n" + repeat("a:\r\n", 9) + "\r\n", 431 },
        { "as many fields as allowed", "GET / HTTP/1.1\r\n" + repeat("a:\r\n", 8) + "\r\n", 200 },
        { "unfinished body", post("Content-Length: 2\r\n", "{"), 0 },
        { "other protocol", std::string("\x16\x03\x01\x02\x00\x01\x00\x01", 8), 400 },
        { "future version", "GET / HTTP/2.0\r\n\r\n", 400 },
    };
}

} // namespace

// Each gets its status. A malformed head that arrives in pieces may be found so only at its end, for which its limits of bytes and time hold.
BOOST_DATA_TEST_CASE(hostile_request_is_refused, boost::unit_test::data::make(knownCases()), known)
{
    BOOST_TEST(statusFor(known.m_request) == known.m_status);
    for (const std::size_t pieceBytes : { std::size_t { 1 }, std::size_t { 7 }, std::size_t { 64 } }) {
        const unsigned status = statusFor(known.m_request, smallLimits(), pieceBytes);
        BOOST_TEST((status == known.m_status || (known.m_status == 400 && status == 0)), "in pieces of " << pieceBytes << ": " << status);
    }
}

// Beast's default limit of a head is 8 KiB, so that heads of 8 to 16 KiB were refused.
BOOST_AUTO_TEST_CASE(head_of_16384_bytes_passes_in_any_fields)
{
    constexpr std::size_t soundHead = 16'384;
    const std::string opening = "GET /q/0123456789abcdef HTTP/1.1\r\nHost: h.example\r\n";
    const std::size_t room = soundHead - opening.size() - 2;
    const std::string oneField = "x: " + std::string(room - 5, 'v') + "\r\n";
    const std::string manyFields = repeat("a:\r\n", room / 4);
    const std::string longTarget = "GET /" + std::string(soundHead - 18, 'p') + " HTTP/1.1\r\n\r\n";
    for (const std::size_t pieceBytes : { wholePiece, std::size_t { 1 }, std::size_t { 64 }, std::size_t { 1'400 } }) {
        BOOST_TEST(statusFor(opening + oneField + "\r\n", {}, pieceBytes) == 200u);
        BOOST_TEST(statusFor(opening + manyFields + "\r\n", {}, pieceBytes) == 200u);
        BOOST_TEST(statusFor(longTarget, {}, pieceBytes) == 200u);
    }
}

BOOST_AUTO_TEST_CASE(body_of_262144_bytes_passes_announced_and_in_chunks)
{
    const std::string body(262'144, 'x');
    HttpMessageLimits limits;
    limits.m_bodyBytes = body.size();
    for (const std::size_t pieceBytes : { wholePiece, std::size_t { 999 } }) {
        BOOST_TEST(read<true>(post("Content-Length: 262144\r\n", body), limits, pieceBytes).m_body.size() == body.size());
        BOOST_TEST(read<true>(chunked("40000\r\n" + body + "\r\n0\r\n\r\n"), limits, pieceBytes).m_body.size() == body.size());
        BOOST_TEST(read<true>(chunked(repeat("1\r\nx\r\n", body.size()) + "0\r\n\r\n"), limits, pieceBytes).m_body.size() == body.size());
    }
}

BOOST_AUTO_TEST_CASE(request_of_random_bytes_takes_bounded_memory)
{
    std::mt19937_64 random(fuzzSeed(20261207));
    const std::vector<KnownCase> samples = knownCases();
    std::size_t complete = 0;
    constexpr std::size_t mostHeld = 16 * 1'024; // A piece of 4 KiB, what is left of the one before, and what the limits allow.
    for (std::size_t round = 0; round < fuzzRounds(20'000); ++round) {
        const std::string request = mutate(samples[pick(random, samples.size())].m_request, random);
        const ReadResult whole = read<true>(request, smallLimits(), wholePiece);
        const ReadResult pieces = read<true>(request, smallLimits(), 64, &random);
        BOOST_REQUIRE_MESSAGE(isSameMessage(whole, pieces), "round " << round << " depends on the pieces: " << request);
        BOOST_REQUIRE_MESSAGE(whole.m_mostHeld <= mostHeld && pieces.m_mostHeld <= mostHeld, "round " << round << " held " << whole.m_mostHeld << " or " << pieces.m_mostHeld << " bytes: " << request);
        BOOST_REQUIRE_MESSAGE(whole.m_body.size() <= smallLimits().m_bodyBytes, "round " << round << " has a body over the limit: " << request);
        complete += whole.m_state == HttpReadState::Complete ? 1 : 0;
    }
    BOOST_TEST(complete > 100u); // Otherwise only refusals were tested.
}

BOOST_AUTO_TEST_CASE(response_of_random_bytes_takes_bounded_memory)
{
    std::mt19937_64 random(fuzzSeed(20261208));
    const std::vector<std::string> samples {
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\n\r\nto the end",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\n{}\r\n0\r\nx-a: b\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 200 OK\r\n" + repeat("x-a: b\r\n", 1'000),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" + repeat("x-a: b\r\n", 1'000),
    };
    constexpr std::size_t mostHeld = 16 * 1'024;
    for (std::size_t round = 0; round < fuzzRounds(10'000); ++round) {
        const std::string response = mutate(samples[pick(random, samples.size())], random);
        const ReadResult whole = read<false>(response, smallLimits(), wholePiece);
        const ReadResult pieces = read<false>(response, smallLimits(), 64, &random);
        BOOST_REQUIRE_MESSAGE(isSameMessage(whole, pieces), "round " << round << " depends on the pieces: " << response);
        BOOST_REQUIRE_MESSAGE(whole.m_mostHeld <= mostHeld && pieces.m_mostHeld <= mostHeld, "round " << round << " held " << whole.m_mostHeld << " or " << pieces.m_mostHeld << " bytes: " << response);
    }
}

namespace {

/** Passes a text to each decoder of a text body; none may throw. */
void decodeText(const std::string& text)
{
    platform::decodeJobBody(text).has_value();
    platform::decodeSyncReport(text).has_value();
    platform::decodeWorkerEntry("w", text).has_value();
    platform::decodeStoreNewestAnswer(text);
    platform::decodeStoreReadAnswer(text, 0);
    platform::decodeOperatorRecord("config", text);
    platform::decodeTaskName(text).has_value();
    const HttpRequest request { .m_method = "POST", .m_target = "/q/" + text.substr(0, 100), .m_headers = { { "Host", text.substr(0, 50) }, { "Deadline-Ms", text.substr(0, 30) }, { "Api-Key", text.substr(0, 30) } }, .m_body = makeBody(text) };
    platform::decodeClientCall(request, { 1 });
}

/** Passes bytes to each decoder of a binary body. */
void decodeBytes(const std::string& bytes)
{
    decodePeerMessage(bytes).has_value();
    decodePeerReply(bytes).has_value();
    decodePlan(bytes).has_value();
    cell::decodeClaim(bytes).has_value();
    platform::decodeStoreReadAnswer(bytes, 0);
}

/** A job's body with a text in the place of each kind of value. */
std::vector<std::string> bodiesWith(const std::string& value)
{
    return { value, R"({"spec":)" + value + R"(,"steps":[{"count":1}]})", R"({"spec":"s","steps":)" + value + "}", R"({"spec":"s","steps":[)" + value + "]}",
        R"({"spec":"s","steps":[{"count":)" + value + R"(,"cpu":)" + value + R"(,"after":)" + value + "}]}", R"({"running":[)" + value + R"(],"finished":[[)" + value + "]],\"clock_ms\":" + value + "}",
        R"({"version":)" + value + R"(,"routes":[)" + value + R"(],"services":)" + value + R"(,"tenants":[)" + value + R"(,{"name":"t","weight":)" + value + "}]}",
        R"({"items":[)" + value + R"(,{"key":"k","value":)" + value + R"(,"offset":)" + value + "}]}" };
}

} // namespace

// A number, nesting or text that a decoder does not expect must be refused by it, not end the process.
BOOST_AUTO_TEST_CASE(hostile_values_do_not_end_the_decoders)
{
    constexpr std::size_t depth = 100'000;
    const std::vector<std::string> values { std::string(depth, '['), std::string(depth, '[') + std::string(depth, ']'), repeat(R"({"a":)", depth) + "1" + std::string(depth, '}'), repeat(R"([{"a":)", depth),
        std::string(10'000, '9'), "-" + std::string(10'000, '9'), "0." + std::string(10'000, '9'), "1e" + std::string(10'000, '9'), "1e308", "-1e308", "1e400", "18446744073709551615", "-9223372036854775808",
        "\"\xff\xfe\"", "\"\xc0\xaf\"", "\"\xed\xa0\x80\"", R"("\ud800")", R"("\u0000")", std::string("\"\0\"", 3), "\"" + std::string(1'000'000, 'x') + "\"", "null", "true", "[]", "{}", "[[]]", "[[null,null,null,null,null]]", R"(["1.1.1.1",-1,1e300,1e300,1e300])", "" };
    for (const std::string& value : values) {
        for (const std::string& body : bodiesWith(value)) {
            BOOST_REQUIRE_NO_THROW(decodeText(body));
            BOOST_REQUIRE_NO_THROW(decodeBytes(body));
        }
    }
}

// A value whose length is no multiple of four was decoded into a buffer that was too short by up to 2 bytes.
BOOST_AUTO_TEST_CASE(base64_of_any_length_is_decoded_within_its_buffer)
{
    for (std::size_t length = 0; length < 100; ++length) {
        const auto answer = platform::decodeStoreNewestAnswer(R"({"items":[{"key":"k","value":")" + std::string(length, 'Q') + "\"}]}");
        BOOST_REQUIRE(answer.m_records.size() == 1u);
        BOOST_TEST(answer.m_records[0].m_value.size() == length * 6 / 8);
    }
}

BOOST_AUTO_TEST_CASE(random_text_does_not_end_the_decoders)
{
    std::mt19937_64 random(fuzzSeed(20261209));
    const std::vector<std::string> samples {
        R"({"spec":"s","steps":[{"count":3,"cpu":1000,"mem_mb":10,"gpu":0,"estimated_ms":5,"after":[],"gang":true,"constraints":"c","affinity":"r1"},{"count":1,"after":[0]}],"repeat_count":2,"period_ms":100})",
        R"({"clock_ms":5,"born":6,"running":[["5c0e7a21d94b36f8.0.1.2",1,0,50,3]],"finished":[[1,"5c0e7a21d94b36f8.0.1.2",1,"done",0]]})",
        R"({"service":"p","addr":"127.0.0.1:8080","state":"ready","capacity":{"cpu":16000,"mem_mb":5},"labels":["a"]})",
        R"({"items":[{"key":"k","value":"QUJD","offset":3}],"has_more":false,"end":4})",
        R"({"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/q/","service":"p","priority":0,"slack_factor":3,"advice":{"decide_ms":25}}],"services":[{"name":"p"}],"tenants":[{"name":"t","api_keys":["k"],"weight":1,"cap":{"cpu":1}}]})",
    };
    for (std::size_t round = 0; round < fuzzRounds(4'000); ++round)
        BOOST_REQUIRE_NO_THROW(decodeText(mutate(samples[pick(random, samples.size())], random)));
}

BOOST_AUTO_TEST_CASE(random_bytes_do_not_end_the_decoders)
{
    std::mt19937_64 random(fuzzSeed(20261210));
    const JobPlan plan { .m_id = "5c0e7a21d94b36f8", .m_queue = "q", .m_policy = { .m_pool = "p" }, .m_payload = "payload", .m_steps = { { .m_count = 3 }, { .m_count = 2, .m_predecessors = { 0 } } } };
    const std::vector<std::string> samples { encodePlan(plan), encodePeerMessage(PeerSubmit { .m_plan = encodePlan(plan) }), encodePeerMessage(PeerHeartbeat { .m_from = { .m_name = "a", .m_address = { "127.0.0.1", 2 } } }),
        encodePeerMessage(PeerApprovalRequest { .m_step = { .m_job = plan.m_id }, .m_workers = { "w" } }), encodePeerReply(PeerWriteAnswer {}), encodePeerReply(PeerQueryAnswer {}) };
    for (std::size_t round = 0; round < fuzzRounds(10'000); ++round)
        BOOST_REQUIRE_NO_THROW(decodeBytes(mutate(samples[pick(random, samples.size())], random)));
}
