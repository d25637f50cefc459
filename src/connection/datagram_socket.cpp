/** @file datagram_socket.cpp UDP socket on Boost.Asio. */
#include "connection/datagram_socket.h"

#include "core/event_loop_impl.h"

#include <array>
#include <atomic>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

namespace bulrushloft {

using Udp = boost::asio::ip::udp;

struct DatagramSocket::Impl : std::enable_shared_from_this<DatagramSocket::Impl> {
    explicit Impl(EventLoop& loop)
        : m_socket(loop.impl().m_context)
    {
    }

    void receive()
    {
        m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender, [self = shared_from_this()](boost::system::error_code error, std::size_t count) {
            if (error == boost::asio::error::operation_aborted)
                return;
            if (!error)
                self->m_onDatagram(std::string(self->m_buffer.data(), count));
            self->receive();
        });
    }

    Udp::socket m_socket;
    Udp::endpoint m_sender;
    std::array<char, maxDatagramBytes> m_buffer {};
    std::function<void(std::string)> m_onDatagram;
    std::atomic<std::uint64_t> m_bytesSent { 0 };
};

DatagramSocket::DatagramSocket(EventLoop& loop)
    : m_impl(std::make_shared<Impl>(loop))
{
}

DatagramSocket::~DatagramSocket() = default;

Expected<void> DatagramSocket::open(const Address& address, std::function<void(std::string)> onDatagram)
{
    m_impl->m_onDatagram = std::move(onDatagram);
    const Udp::endpoint endpoint(boost::asio::ip::make_address(address.m_host), address.m_port);
    boost::system::error_code error;
    m_impl->m_socket.open(endpoint.protocol(), error);
    if (!error)
        m_impl->m_socket.bind(endpoint, error);
    if (error)
        return fail(ErrorKind::Unavailable, "cannot receive datagrams on " + format(address) + ": " + error.message(), "stop the process that uses the address or choose another one in the start-up file");
    boost::asio::post(m_impl->m_socket.get_executor(), [impl = m_impl] { impl->receive(); });
    return {};
}

void DatagramSocket::send(const Address& to, const std::string& bytes)
{
    boost::asio::post(m_impl->m_socket.get_executor(), [impl = m_impl, to, bytes] {
        boost::system::error_code ignored;
        const auto host = boost::asio::ip::make_address(to.m_host, ignored);
        if (ignored)
            return;
        impl->m_socket.send_to(boost::asio::buffer(bytes), Udp::endpoint(host, to.m_port), 0, ignored);
        impl->m_bytesSent += bytes.size();
    });
}

std::uint64_t DatagramSocket::countBytesSent() const
{
    return m_impl->m_bytesSent;
}

} // namespace bulrushloft
