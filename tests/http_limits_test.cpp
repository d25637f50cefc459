/** @file http_limits_test.cpp Limits of a server over sockets, of the responses that a client reads, and their shares of a VM. */
#define BOOST_TEST_MODULE http_limits
#include <boost/test/unit_test.hpp>

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "loopback_host.h"
#include "process/cell/cell_startup.h"
#include "soak/process_status.h"
#include "soak/raw_client.h"

#include <atomic>
#include <functional>

using namespace bulrushloft;
using bulrushloft::soak::RawClient;

namespace {

/** A server with small limits that counts what it runs. */
struct LimitsFixture {
    static inline std::uint16_t lastPort = 7'770; ///< Each fixture has a port of its own.
    EventLoop m_loop { "server" };
    HttpServer m_server { m_loop };
    Address m_address { ownLoopbackHost(), ++lastPort };
    std::atomic<int> m_ran { 0 };

    void listen(HttpLimits limits, std::size_t responseBytes = 2)
    {
        BOOST_REQUIRE(m_server.listen({ .m_address = m_address, .m_name = "test", .m_limits = limits }, [this, body = makeBody(std::string(responseBytes, 'x'))](const HttpRequest&, const HttpResponder& respond) {
            ++m_ran;
            respond({ .m_status = 200, .m_headers = {}, .m_body = body });
        }));
    }

    ~LimitsFixture() { m_loop.stop(); }

    std::uint64_t refusals(HttpRefusal cause) const { return m_server.refusals()[static_cast<std::size_t>(cause)]; }

    static bool waitFor(const std::function<bool()>& isDone)
    {
        constexpr Duration limit { 20'000 };
        const TimePoint until = steadyNow() + limit;
        while (!isDone() && steadyNow() < until)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        return isDone();
    }
};

constexpr const char* soundRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

// Closing at once, with bytes unread, would reset the connection before the client has read why.
BOOST_FIXTURE_TEST_CASE(refused_client_can_read_the_status, LimitsFixture)
{
    listen({ .m_message = { .m_bodyBytes = 1'000 } });
    const std::vector<std::pair<std::string, std::string>> cases {
        { "POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\n" + std::string(50'000, 'x'), "HTTP/1.1 413 " },
        { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n8000\r\n" + std::string(50'000, 'x'), "HTTP/1.1 413 " },
        { "GET /" + std::string(65'536, 'p') + " HTTP/1.1\r\n\r\n", "HTTP/1.1 414 " },
        { "GET / HTTP/1.1\r\nx-a: " + std::string(65'536, 'p') + "\r\n\r\n", "HTTP/1.1 431 " },
        { "nonsense\r\n\r\n", "HTTP/1.1 400 " },
    };
    for (const auto& [request, status] : cases) {
        const RawClient client(m_address);
        BOOST_TEST(client.send(request));
        const std::string response = client.receive();
        BOOST_TEST(response.starts_with(status), response.substr(0, 60));
    }
    BOOST_TEST(m_ran == 0);
    BOOST_TEST(refusals(HttpRefusal::BodyTooLarge) == 2u);
    BOOST_TEST(refusals(HttpRefusal::Malformed) == 1u);
}

// A client that sends a byte now and then held its connection for the idle time of two minutes, again and again.
BOOST_FIXTURE_TEST_CASE(slow_head_and_body_end_at_their_time_limits, LimitsFixture)
{
    listen({ .m_headTime = { 300 }, .m_bodyTime = { 300 } });
    const RawClient slowHead(m_address);
    BOOST_TEST(slowHead.send("GET / HTTP/1.1\r\nx"));
    BOOST_TEST(slowHead.receive().starts_with("HTTP/1.1 408 "));
    const RawClient slowBody(m_address);
    BOOST_TEST(slowBody.send("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"));
    BOOST_TEST(slowBody.receive().starts_with("HTTP/1.1 408 "));
    const RawClient dripping(m_address);
    while (dripping.send("x")) // Ends when the server has closed the connection.
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    BOOST_TEST(waitFor([this] { return m_server.countConnections() == 0; }));
    BOOST_TEST(refusals(HttpRefusal::HeadTimeout) == 2u);
    BOOST_TEST(refusals(HttpRefusal::BodyTimeout) == 1u);
    BOOST_TEST(m_ran == 0);
}

BOOST_FIXTURE_TEST_CASE(half_closed_client_gets_its_response, LimitsFixture)
{
    listen({});
    const RawClient whole(m_address);
    whole.send(soundRequest);
    whole.endSending();
    BOOST_TEST(whole.receive().starts_with("HTTP/1.1 200 "));
    const RawClient half(m_address);
    half.send("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx");
    half.endSending();
    BOOST_TEST(half.receive().empty());
    BOOST_TEST(waitFor([this] { return m_server.countConnections() == 0; }));
    BOOST_TEST(m_ran == 1);
}

BOOST_FIXTURE_TEST_CASE(reset_in_the_middle_leaves_no_connection, LimitsFixture)
{
    listen({});
    for (const char* part : { "G", "GET / HTTP/1.1\r\n", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{", soundRequest }) {
        const RawClient client(m_address);
        client.send(part);
        client.setReset();
    }
    BOOST_TEST(waitFor([this] { return m_server.countConnections() == 0 && m_server.countInFlight() == 0; }));
}

// Requests that wait on a connection are read one after another, and not at all while a response isn't taken.
BOOST_FIXTURE_TEST_CASE(pipelined_requests_without_reading_are_given_up, LimitsFixture)
{
    constexpr std::size_t responseBytes = 1'000'000;
    listen({ .m_bodyTime = { 500 } }, responseBytes);
    const RawClient client(m_address);
    std::string requests;
    for (int i = 0; i < 1'000; ++i)
        requests += soundRequest;
    client.send(requests);
    BOOST_TEST(waitFor([this] { return m_ran > 0 && m_server.countConnections() == 0; }));
    BOOST_TEST(m_ran < 100); // So many responses of 1 MB at most fit into the sockets' buffers.
    BOOST_TEST(m_server.countInFlight() == 0u);
}

BOOST_FIXTURE_TEST_CASE(pipelined_requests_are_answered_in_turn, LimitsFixture)
{
    listen({});
    const RawClient client(m_address);
    client.send("\r\n" + std::string(soundRequest) + "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}\r\n" + "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string responses = client.receive();
    std::size_t count = 0;
    for (std::size_t at = responses.find("HTTP/1.1 200 "); at != std::string::npos; at = responses.find("HTTP/1.1 200 ", at + 1))
        ++count;
    BOOST_TEST(count == 3u);
}

BOOST_FIXTURE_TEST_CASE(oldest_idle_connection_is_closed_for_a_new_one, LimitsFixture)
{
    constexpr std::size_t limit = 4;
    listen({ .m_connections = limit, .m_closesOldest = true });
    constexpr std::size_t count = 20;
    std::vector<std::unique_ptr<RawClient>> idle;
    idle.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        idle.push_back(std::make_unique<RawClient>(m_address));
    const RawClient ordinary(m_address);
    ordinary.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    BOOST_TEST(ordinary.receive().starts_with("HTTP/1.1 200 "));
    BOOST_TEST(m_server.countConnections() <= limit);
    BOOST_TEST(idle.front()->receive().empty());
    idle.back()->send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"); // The newest ones are still open.
    BOOST_TEST(idle.back()->receive().starts_with("HTTP/1.1 200 "));
}

// Connections that never finish a head would otherwise keep others out for its whole time limit.
BOOST_FIXTURE_TEST_CASE(oldest_unfinished_request_is_given_up_for_a_new_connection, LimitsFixture)
{
    listen({ .m_connections = 4, .m_closesOldest = true });
    std::vector<std::unique_ptr<RawClient>> slow;
    for (int i = 0; i < 20; ++i) {
        slow.push_back(std::make_unique<RawClient>(m_address));
        slow.back()->send("GET / HTTP/1.1\r\n");
    }
    BOOST_TEST(waitFor([this] { return refusals(HttpRefusal::NoConnection) >= 16; }));
    const RawClient ordinary(m_address);
    ordinary.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    BOOST_TEST(ordinary.receive().starts_with("HTTP/1.1 200 "));
}

BOOST_FIXTURE_TEST_CASE(unfinished_bodies_together_stay_within_their_memory, LimitsFixture)
{
    constexpr std::size_t limit = 1'000'000;
    listen({ .m_unfinishedBytes = limit });
    std::vector<std::unique_ptr<RawClient>> held;
    for (int i = 0; i < 10; ++i) {
        held.push_back(std::make_unique<RawClient>(m_address));
        held.back()->send("POST / HTTP/1.1\r\nContent-Length: 300001\r\n\r\n" + std::string(300'000, 'x'));
    }
    BOOST_TEST(waitFor([this] { return refusals(HttpRefusal::NoMemory) >= 7; }));
    const RawClient ordinary(m_address);
    ordinary.send("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 262144\r\n\r\n" + std::string(262'144, 'x'));
    BOOST_TEST(ordinary.receive().starts_with("HTTP/1.1 200 "));
    BOOST_TEST(m_ran == 1);
}

BOOST_FIXTURE_TEST_CASE(connections_from_one_address_are_limited_if_set, LimitsFixture)
{
    listen({ .m_connectionsPerAddress = 2 });
    const RawClient first(m_address);
    const RawClient second(m_address);
    BOOST_TEST(waitFor([this] { return m_server.countConnections() == 2; }));
    const RawClient third(m_address);
    BOOST_TEST(third.receive().empty());
    BOOST_TEST(refusals(HttpRefusal::NoConnection) == 1u);
}

// The client then never got a response, and the connection stayed for ever.
BOOST_FIXTURE_TEST_CASE(handler_that_throws_leaves_no_request_open, LimitsFixture)
{
    BOOST_REQUIRE(m_server.listen({ .m_address = m_address }, [](const HttpRequest&, const HttpResponder&) { throw std::runtime_error("expected by the test"); }));
    const RawClient client(m_address);
    client.send(soundRequest);
    BOOST_TEST(client.receive().starts_with("HTTP/1.1 500 "));
    BOOST_TEST(waitFor([this] { return m_server.countInFlight() == 0 && m_server.countConnections() == 0; }));
}

namespace {

/** A server that answers each connection with an opening and then with blocks without an end. */
class EndlessServer {
public:
    EndlessServer(const Address& address, std::string opening, std::string block)
        : m_listening(socket(AF_INET, SOCK_STREAM, 0))
        , m_opening(std::move(opening))
        , m_block(std::move(block))
    {
        sockaddr_in at {};
        at.sin_family = AF_INET;
        at.sin_port = htons(address.m_port);
        inet_pton(AF_INET, address.m_host.c_str(), &at.sin_addr);
        constexpr int on = 1;
        setsockopt(m_listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        BOOST_REQUIRE(bind(m_listening, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0);
        BOOST_REQUIRE(::listen(m_listening, 16) == 0);
        m_thread = std::thread([this] { serve(); });
    }

    ~EndlessServer()
    {
        shutdown(m_listening, SHUT_RDWR);
        m_thread.join();
        close(m_listening);
    }
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

private:
    void serve()
    {
        constexpr int mostBlocks = 1'000; // Of 64 KB; without limits, the client would take all of it.
        for (int peer = accept(m_listening, nullptr, nullptr); peer >= 0; peer = accept(m_listening, nullptr, nullptr)) {
            ssize_t count = ::send(peer, m_opening.data(), m_opening.size(), MSG_NOSIGNAL);
            for (int i = 0; i < mostBlocks && count > 0; ++i)
                count = ::send(peer, m_block.data(), m_block.size(), MSG_NOSIGNAL);
            close(peer);
        }
    }

    int m_listening;
    std::string m_opening;
    std::string m_block;
    std::thread m_thread;
};

std::string repeat(const std::string& text, std::size_t bytes)
{
    std::string repeated;
    while (repeated.size() + text.size() <= bytes)
        repeated += text;
    return repeated;
}

} // namespace

// A worker, a peer or the store may answer without an end. The call fails, and what was read stays small.
BOOST_AUTO_TEST_CASE(endless_responses_fail_their_calls)
{
    constexpr std::size_t blockBytes = 64'000;
    const std::string line = "x-field: " + std::string(53, 'v') + "\r\n";
    const std::vector<std::pair<std::string, std::string>> cases {
        { "HTTP/1.1 200 OK\r\n", repeat(line, blockBytes) },
        { "HTTP/1.1 200 " + std::string(100, 'x'), std::string(blockBytes, 'x') },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", repeat(line, blockBytes) },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=", std::string(blockBytes, 'x') },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "fa00\r\n" + std::string(blockBytes, 'x') + "\r\n" },
        { "HTTP/1.1 200 OK\r\n\r\n", std::string(blockBytes, 'x') },
    };
    EventLoop loop { "client" };
    HttpClient client(loop, { .m_unfinishedBytes = 8'000'000 });
    constexpr std::size_t allowedKb = 40'000; // 64 MB would be taken without limits.
    const std::size_t before = soak::readStatus(getpid(), "VmHWM");
    std::uint16_t port = 7'790;
    for (const auto& [opening, block] : cases) {
        const Address address { ownLoopbackHost(), ++port };
        const EndlessServer server(address, opening, block);
        const HttpResult result = sendAndWait(client, { .m_address = address, .m_request = {}, .m_timeout = { 20'000 } });
        BOOST_REQUIRE(!result);
        BOOST_TEST((result.error().m_end == CallEnd::Malformed), opening << result.error().m_reason);
    }
    BOOST_TEST(soak::readStatus(getpid(), "VmHWM") - before < allowedKb);
    loop.stop();
}

namespace {

std::string startupFile(const std::string& more)
{
    return "member: n1\nzone: a\nlisten:\n  clients: \"127.0.0.1:1\"\n  readiness: \"127.0.0.1:2\"\n  peers: \"127.0.0.1:3\"\nplatform:\n  store: \"127.0.0.1:4\"\n" + more;
}

} // namespace

// A start-up file without the new fields must change nothing.
BOOST_AUTO_TEST_CASE(startup_file_without_limits_keeps_the_former_ones)
{
    const auto settings = cell::parseCellStartup(startupFile("descriptors: 256\n"));
    BOOST_REQUIRE(settings);
    for (const HttpLimits& limits : { settings->m_limits.m_clients, settings->m_limits.m_readiness, settings->m_limits.m_peers, settings->m_limits.m_metrics }) {
        BOOST_TEST(limits.m_connections == 2'048u);
        BOOST_TEST(limits.m_message.m_bodyBytes == 8u * 1024 * 1024);
        BOOST_TEST(limits.m_unfinishedBytes == 0u);
        BOOST_TEST(limits.m_idleTime.m_ms == 120'000);
        BOOST_TEST(!limits.m_closesOldest);
    }
    BOOST_TEST(settings->m_limits.m_storeResponseBytes == 0u);
}

BOOST_AUTO_TEST_CASE(limits_fit_each_vm)
{
    for (const std::size_t memory : { 64, 120, 250, 512, 4'096 }) {
        for (const std::size_t descriptors : { 256, 600, 3'075, 10'250, 1'048'576 }) {
            const auto settings = cell::parseCellStartup(startupFile("memory_mb: " + std::to_string(memory) + "\ndescriptors: " + std::to_string(descriptors) + "\n"));
            BOOST_REQUIRE_MESSAGE(settings, memory << " MB, " << descriptors << " descriptors: " << (settings ? "" : describe(settings.error())));
            const cell::ConnectionLimits& limits = settings->m_limits;
            const std::size_t connections = limits.m_clients.m_connections + limits.m_readiness.m_connections + limits.m_peers.m_connections + limits.m_metrics.m_connections;
            BOOST_TEST(connections + descriptors / 2 < descriptors);
            BOOST_TEST(limits.m_clients.m_unfinishedBytes + limits.m_peers.m_unfinishedBytes + limits.m_storeResponseBytes < memory * 1'000'000);
            BOOST_TEST(limits.m_clients.m_message.m_bodyBytes >= 262'144u);
            BOOST_TEST(limits.m_clients.m_unfinishedBytes >= 2 * 262'144u);
            BOOST_TEST(limits.m_clients.m_message.m_headBytes >= 16'384u);
        }
    }
}

BOOST_AUTO_TEST_CASE(limits_that_the_vm_does_not_have_are_rejected)
{
    const auto isRejected = [](const std::string& more) { return !cell::parseCellStartup(startupFile(more)); };
    BOOST_TEST(isRejected("memory_mb: 120\nlimits: {unfinished_bytes: 100000000}\n"));
    BOOST_TEST(isRejected("memory_mb: 512\ndescriptors: 600\nlimits: {connections: 500}\n"));
    BOOST_TEST(isRejected("limits: {head_bytes: 8192}\n"));
    BOOST_TEST(isRejected("limits: {body_bytes: 200000}\n"));
    BOOST_TEST(isRejected("limits: {idle_time_ms: 10000}\n"));
    BOOST_TEST(isRejected("limits: {unknown: 1}\n"));
    BOOST_TEST(!isRejected("memory_mb: 120\nlimits: {body_bytes: 262144, connections: 100, head_time_ms: 3000}\n"));
}
