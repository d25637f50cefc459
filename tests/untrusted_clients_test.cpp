/** @file untrusted_clients_test.cpp A daemon whose clients send more than any sound client does. */
#define BOOST_TEST_MODULE untrusted_clients
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "connection/http_client.h"
#include "daemon_process.h"
#include "loopback_host.h"
#include "process_status.h"
#include "raw_client.h"
#include "stand_in_store.h"
#include "startup_template.h"

#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>

using namespace bulrushloft;
using namespace bulrushloft::soak;

namespace {

// The smallest VM has 120 MB. What is checked is the daemon's peak, with the crowd's connections still open.
constexpr std::size_t memoryBoundKb = 120 * 1'024;
// So few that a small crowd of idle connections exceeds them; the smallest VM has 3,075.
constexpr std::size_t descriptorBound = 600;
constexpr std::size_t crowdSize = 24;
constexpr std::size_t idleCrowdSize = 700;
constexpr std::size_t megabyte = 1'000'000;
constexpr std::size_t blockBytes = 64'000;
constexpr std::uint16_t clientsPort = 7'801;
constexpr std::uint16_t readinessPort = 7'802;
constexpr std::uint16_t peersPort = 7'803;
constexpr std::uint16_t firstStorePort = 7'804;
constexpr std::uint16_t metricsPort = 9'464; // Fixed in deploy/cell.yaml.

constexpr const char* chunkedHead = "POST /q/0000000000000001 HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string repeat(const std::string& text, std::size_t bytes)
{
    std::string repeated;
    while (repeated.size() + text.size() <= bytes)
        repeated += text;
    return repeated;
}

std::string headWithLength(std::size_t bytes)
{
    return "POST /q/0000000000000001 HTTP/1.1\r\nHost: h.example\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/** @return A line of a head or trailer, 64 bytes long, so that a reader of 512 bytes finds only whole lines. */
std::string fieldLine()
{
    return "x-field: " + std::string(53, 'v') + "\r\n";
}

std::string headOf64Bytes()
{
    return "GET /q/0000000000000001" + std::string(30, 'x') + " HTTP/1.1\r\n";
}

/** @return A chunk with 64,000 bytes of data. */
std::string chunk()
{
    return "fa00\r\n" + std::string(blockBytes, 'x') + "\r\n";
}

RawSending endlessTrailers()
{
    return { .m_opening = std::string(chunkedHead) + "2\r\n{}\r\n0\r\n", .m_block = repeat(fieldLine(), blockBytes), .m_repetitions = 10 * megabyte / blockBytes };
}

/** A daemon with the deployed start-up file for a small VM, and the store that it needs. */
struct DaemonFixture {
    static inline std::uint16_t storePort = firstStorePort; ///< Each fixture has a port of its own, as a server listens until its process ends.
    std::string m_host = ownLoopbackHost();
    std::string m_directory = (std::filesystem::temp_directory_path() / ("untrusted-" + std::to_string(getpid()))).string();
    EventLoop m_loop { "platform" };
    StandInStore m_store { m_loop, 1 };
    HttpClient m_client { m_loop, {} };
    std::unique_ptr<DaemonProcess> m_daemon;

    DaemonFixture()
    {
        std::filesystem::create_directory(m_directory);
        ++storePort;
        BOOST_REQUIRE(m_store.listen({ m_host, storePort }));
        m_loop.post([this] { m_store.write("keyed.op", "config", R"({"version":1,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","service":"pool","priority":0,"max_attempts":3,"slack_factor":3,"target_latency_ms":1000,"timeout_ms":3000}],"services":[{"name":"pool","admission_control":false}]})"); });
        m_daemon = std::make_unique<DaemonProcess>(DaemonSetup { .m_program = DAEMON_PROGRAM, .m_name = "n1", .m_directory = m_directory, .m_startupFile = makeStartupFile() });
        m_daemon->start();
        constexpr int startSeconds = 60;
        for (int i = 0; i < startSeconds * 10 && call({ m_host, readinessPort }, "GET", "/bulrushloft/readyz", {}) != 200; ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }

    ~DaemonFixture()
    {
        m_daemon.reset();
        m_loop.stop();
        std::filesystem::remove_all(m_directory);
    }

    std::string makeStartupFile() const
    {
        std::ifstream file(STARTUP_TEMPLATE);
        std::stringstream text;
        text << file.rdbuf();
        const auto address = [this](std::uint16_t port) { return format(Address { m_host, port }); };
        return fillTemplate(text.str(), { { "node_name", "n1" }, { "zone", "a" }, { "ip", m_host }, { "limits.cpu_share", "0.5" }, { "limits.link_mbps", "1000" }, { "limits.max_fds", std::to_string(descriptorBound) }, { "limits.memory_mb", "120" }, { "listen.front", address(clientsPort) }, { "listen.readiness", address(readinessPort) }, { "listen.control", address(peersPort) }, { "platform.addr", address(storePort) }, { "bounds.hold_max_ms", "10000" }, { "bounds.gang_timeout_ms", "5000" }, { "bounds.remote_factor", "2" } });
    }

    /** @return Status of the response; 0 without one. */
    unsigned call(const Address& address, const std::string& method, const std::string& target, const std::string& body)
    {
        const HttpResult result = sendAndWait(m_client, { .m_address = address, .m_request = { .m_method = method, .m_target = target, .m_headers = { { "Host", "h.example" } }, .m_body = makeBody(body) }, .m_timeout = { 10'000 } });
        return result ? result->m_status : 0;
    }

    /** Waits until the daemon has read what the crowd sent, so far as it reads it: its memory stays the same. */
    void settle() const
    {
        constexpr int longestSeconds = 30;
        constexpr int sameEnough = 5;
        std::size_t before = 0;
        for (int same = 0, i = 0; same < sameEnough && i < longestSeconds * 5; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
            const std::size_t now = readStatus(m_daemon->pid(), "VmRSS");
            same = now == before ? same + 1 : 0;
            before = now;
        }
    }

    /** @return Whether a submission was accepted; repeated under its id, as a sound client does. */
    bool isServed()
    {
        constexpr int tries = 10;
        for (int i = 0; i < tries; ++i) {
            if (call({ m_host, clientsPort }, "POST", "/q/0123456789abcdef", R"({"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":1}]})") == 200)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
        }
        return false;
    }

    void check() const
    {
        settle();
        BOOST_REQUIRE(m_daemon->isRunning());
        BOOST_TEST_MESSAGE("VmRSS " << readStatus(m_daemon->pid(), "VmRSS") << " kB, VmHWM " << readStatus(m_daemon->pid(), "VmHWM") << " kB, " << countDescriptors(m_daemon->pid()) << " descriptors");
        BOOST_TEST(readStatus(m_daemon->pid(), "VmRSS") < memoryBoundKb);
        BOOST_TEST(readStatus(m_daemon->pid(), "VmHWM") < memoryBoundKb);
        BOOST_TEST(countDescriptors(m_daemon->pid()) <= descriptorBound);
    }

    /** Runs a crowd against a listener and checks the daemon with the crowd connected and after it. */
    void checkWith(std::uint16_t port, const RawSending& sending, std::size_t count = crowdSize)
    {
        {
            const RawCrowd crowd({ m_host, port }, count, sending);
            check();
        }
        BOOST_TEST(isServed());
        BOOST_TEST(m_daemon->isRunning());
        check();
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_daemon_without_such_clients_stays_within_the_bounds, DaemonFixture)
{
    check();
    BOOST_TEST(isServed());
}

// The reader kept a whole trailer until it ended: 24 clients took the memory of a small VM.
BOOST_FIXTURE_TEST_CASE(endless_trailers, DaemonFixture)
{
    checkWith(clientsPort, endlessTrailers());
}

// The same through each other listener.
BOOST_FIXTURE_TEST_CASE(endless_trailers_to_peers, DaemonFixture)
{
    checkWith(peersPort, endlessTrailers());
}

BOOST_FIXTURE_TEST_CASE(endless_trailers_to_readiness, DaemonFixture)
{
    checkWith(readinessPort, endlessTrailers());
}

BOOST_FIXTURE_TEST_CASE(endless_trailers_to_metrics, DaemonFixture)
{
    checkWith(metricsPort, endlessTrailers());
}

// A chunk's line was kept until it ended, as a trailer was.
BOOST_FIXTURE_TEST_CASE(endless_chunk_line, DaemonFixture)
{
    checkWith(clientsPort, { .m_opening = std::string(chunkedHead) + "2;x=", .m_block = std::string(blockBytes, 'x'), .m_repetitions = 10 * megabyte / blockBytes });
}

// Each connection could hold a body of 8 MiB, so that few of them took the memory of a small VM.
BOOST_FIXTURE_TEST_CASE(announced_bodies_that_never_end, DaemonFixture)
{
    checkWith(clientsPort, { .m_opening = headWithLength(8 * megabyte), .m_block = std::string(blockBytes, 'x'), .m_repetitions = 7 * megabyte / blockBytes });
}

BOOST_FIXTURE_TEST_CASE(chunked_bodies_that_never_end, DaemonFixture)
{
    checkWith(clientsPort, { .m_opening = chunkedHead, .m_block = chunk(), .m_repetitions = 7 * megabyte / blockBytes });
}

BOOST_FIXTURE_TEST_CASE(bodies_to_peers_that_never_end, DaemonFixture)
{
    checkWith(peersPort, { .m_opening = headWithLength(8 * megabyte), .m_block = std::string(blockBytes, 'x'), .m_repetitions = 7 * megabyte / blockBytes });
}

BOOST_FIXTURE_TEST_CASE(announced_bodies_far_over_the_limit, DaemonFixture)
{
    checkWith(clientsPort, { .m_opening = headWithLength(1'000 * megabyte), .m_block = std::string(blockBytes, 'x'), .m_repetitions = 12 * megabyte / blockBytes });
}

BOOST_FIXTURE_TEST_CASE(chunked_bodies_far_over_the_limit, DaemonFixture)
{
    checkWith(clientsPort, { .m_opening = chunkedHead, .m_block = chunk(), .m_repetitions = 12 * megabyte / blockBytes });
}

BOOST_FIXTURE_TEST_CASE(heads_over_the_limit, DaemonFixture)
{
    checkWith(clientsPort, { .m_opening = "GET /q/0000000000000001 HTTP/1.1\r\nHost: h.example\r\n" + repeat(fieldLine(), 65'536) + "\r\n", .m_block = {}, .m_repetitions = 0 });
}

// Each read of 512 bytes ends with a whole line, so that a reader which only limits what it has not parsed yet finds no end.
BOOST_FIXTURE_TEST_CASE(endless_heads, DaemonFixture)
{
    checkWith(clientsPort, { .m_opening = headOf64Bytes(), .m_block = repeat(fieldLine(), blockBytes), .m_repetitions = 6 * megabyte / blockBytes });
}

BOOST_FIXTURE_TEST_CASE(endless_empty_lines, DaemonFixture)
{
    checkWith(clientsPort, { .m_opening = {}, .m_block = repeat("\r\n", blockBytes), .m_repetitions = 4 * megabyte / blockBytes });
}

// Each listener accepted 2,048 connections, whatever descriptors the VM has.
BOOST_FIXTURE_TEST_CASE(idle_connections_beyond_the_descriptors, DaemonFixture)
{
    {
        const RawCrowd crowd({ m_host, clientsPort }, idleCrowdSize, {});
        check();
        BOOST_TEST(isServed());
    }
    check();
}

// An operator finds from the metrics which limit clients exceed, as few refusals have a log line.
BOOST_FIXTURE_TEST_CASE(refusals_are_counted_in_the_metrics, DaemonFixture)
{
    constexpr std::size_t count = 3;
    {
        const RawCrowd crowd({ m_host, clientsPort }, count, endlessTrailers());
        settle();
    }
    const HttpResult metrics = sendAndWait(m_client, { .m_address = { m_host, metricsPort }, .m_request = { .m_method = "GET", .m_target = "/metrics" }, .m_timeout = { 10'000 } });
    BOOST_REQUIRE(metrics);
    const std::string_view text = viewOf(metrics->m_body);
    BOOST_TEST(text.find(R"(bulrush_http_refused_total{kind="clients/trailer-too-large"} 3)") != std::string_view::npos);
    BOOST_TEST(text.find(R"(bulrush_http_refused_total{kind="peers/trailer-too-large"} 0)") != std::string_view::npos);
}
