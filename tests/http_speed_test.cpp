/** @file http_speed_test.cpp Requests a second of the HTTP server. The measurement runs only by name: http_speed_test --run_test=requests_a_second */
#define BOOST_TEST_MODULE http_speed
#include <boost/test/unit_test.hpp>

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "loopback_host.h"

#include <atomic>
#include <chrono>
#include <ctime>
#include <thread>

using namespace bulrushloft;

namespace {

/** A server that responds at once, and clients that send their next request when the response has come. */
struct SpeedFixture {
    EventLoop m_serverLoop { "server" };
    EventLoop m_clientLoop { "client" };
    Address m_address { ownLoopbackHost(), 7'760 };
    HttpServer m_server { m_serverLoop };
    HttpClient m_client { m_clientLoop, {} };
    SharedBody m_body;
    std::atomic<std::uint64_t> m_served { 0 };
    std::atomic<std::uint64_t> m_failed { 0 };
    std::atomic<bool> m_isStopping { false };

    SpeedFixture()
    {
        BOOST_REQUIRE(m_server.listen({ .m_address = m_address }, [body = makeBody("{}")](const HttpRequest&, const HttpResponder& respond) { respond({ .m_status = 200, .m_headers = { { "Content-Type", "application/json" } }, .m_body = body }); }));
    }

    ~SpeedFixture()
    {
        m_clientLoop.stop();
        m_serverLoop.stop();
    }

    void send()
    {
        m_client.send({ .m_address = m_address, .m_request = { .m_method = "POST", .m_target = "/q/0123456789abcdef", .m_headers = { { "Host", "h.example" }, { "Deadline-Ms", "3000" } }, .m_body = m_body } }, [this](const HttpResult& result) {
            ++(result ? m_served : m_failed);
            if (!m_isStopping)
                send();
        });
    }

    void run(std::size_t bodyBytes, int connections, std::chrono::milliseconds length)
    {
        m_body = makeBody(std::string(bodyBytes, 'x'));
        m_isStopping = false;
        const std::uint64_t before = m_served;
        const std::clock_t cpuBefore = std::clock();
        for (int i = 0; i < connections; ++i)
            send();
        std::this_thread::sleep_for(length);
        const std::uint64_t served = m_served - before;
        const double cpuMicroseconds = 1e6 * static_cast<double>(std::clock() - cpuBefore) / CLOCKS_PER_SEC;
        m_isStopping = true;
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        BOOST_TEST_MESSAGE(bodyBytes << " bytes: " << served * 1'000 / static_cast<std::uint64_t>(length.count()) << " requests a second, " << cpuMicroseconds / static_cast<double>(served) << " us of CPU each, client included");
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(requests_are_served, SpeedFixture)
{
    run(300, 4, std::chrono::milliseconds(200));
    BOOST_TEST(m_served > 0u);
    BOOST_TEST(m_failed == 0u);
}

BOOST_FIXTURE_TEST_CASE(requests_a_second, SpeedFixture, *boost::unit_test::disabled())
{
    for (int round = 0; round < 3; ++round) {
        run(300, 8, std::chrono::milliseconds(3'000));
        run(262'144, 8, std::chrono::milliseconds(3'000));
    }
    BOOST_TEST(m_failed == 0u);
}
