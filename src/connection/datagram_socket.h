/** @file datagram_socket.h A UDP socket on an event loop. */
#pragma once

#include "core/address_type.h"
#include "core/event_loop.h"

#include <functional>
#include <memory>
#include <string>

namespace bulrushloft {

/** Largest datagram that is read or sent, in bytes. */
constexpr std::size_t maxDatagramBytes = 8'192;

/** Sends and receives datagrams; lives for the process. */
class DatagramSocket {
public:
    struct Impl;

    explicit DatagramSocket(EventLoop& loop);
    ~DatagramSocket();

    /**
     * Binds and begins to receive.
     * @param onDatagram Called with each datagram on the loop's thread.
     */
    Expected<void> open(const Address& address, std::function<void(std::string)> onDatagram);

    /** Sends a datagram; may be called from any thread. Losses are not reported. */
    void send(const Address& to, const std::string& bytes);

    /** @return Bytes sent so far. */
    std::uint64_t countBytesSent() const;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace bulrushloft
