/** @file large_message_test.cpp Large requests and responses on an event loop that is busy with much else. */
#define BOOST_TEST_MODULE large_message
#include <boost/test/unit_test.hpp>

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "loopback_host.h"

#include <functional>
#include <future>
#include <thread>

using namespace bulrushloft;

namespace {

constexpr std::size_t largeBytes = 4 * 1024 * 1024; ///< The store's answer to a read of much that was missed.
constexpr Duration timeout { 1'500 };

/** A server and a client on loops of their own, one of which runs other work of 1 ms in each of its turns. */
struct LargeMessageFixture {
    EventLoop m_serverLoop { "server" };
    EventLoop m_clientLoop { "client" };
    static inline std::uint16_t lastPort = 7'750; ///< Each fixture has a port of its own.
    Address m_address { ownLoopbackHost(), ++lastPort };
    HttpServer m_server { m_serverLoop };
    HttpClient m_client { m_clientLoop, {} };

    LargeMessageFixture()
    {
        BOOST_REQUIRE(m_server.listen({ .m_address = m_address }, [](const HttpRequest& request, const HttpResponder& respond) {
            respond({ .m_status = 200, .m_headers = {}, .m_body = makeBody(std::string(viewOf(request.m_body).empty() ? largeBytes : 1, 'x')) });
        }));
    }

    ~LargeMessageFixture()
    {
        m_clientLoop.stop();
        m_serverLoop.stop();
    }

    static void keepBusy(EventLoop& loop)
    {
        loop.post([&loop] {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            keepBusy(loop);
        });
    }

    HttpResult call(std::string body)
    {
        std::promise<HttpResult> promise;
        const TimePoint sentAt = steadyNow();
        m_client.send({ .m_address = m_address, .m_request = { .m_method = "POST", .m_target = "/", .m_headers = {}, .m_body = makeBody(std::move(body)) }, .m_timeout = timeout }, [&promise](HttpResult result) { promise.set_value(std::move(result)); });
        HttpResult result = promise.get_future().get();
        BOOST_TEST((steadyNow() - sentAt).m_ms <= timeout.m_ms); // Before, it came after 9 s all the same: timers had no turn while data arrived.
        return result;
    }
};

} // namespace

// Read in pieces of 512 bytes, a large response took thousands of turns of the loop, and came long after its time limit.
BOOST_FIXTURE_TEST_CASE(large_response_takes_few_turns_of_a_busy_loop, LargeMessageFixture)
{
    BOOST_REQUIRE(call({}).has_value());
    keepBusy(m_clientLoop);
    const HttpResult result = call({});
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(viewOf(result->m_body).size() == largeBytes);
}

// The same of a request, such as many orders or reports in one message.
BOOST_FIXTURE_TEST_CASE(large_request_takes_few_turns_of_a_busy_loop, LargeMessageFixture)
{
    keepBusy(m_serverLoop);
    BOOST_TEST(call(std::string(largeBytes, 'x')).has_value());
}
