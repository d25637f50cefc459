/** @file datagram_socket.h A UDP socket on an event loop. */
#pragma once

#include "core/address_type.h"
#include "core/event_loop.h"

#include <functional>
#include <memory>
#include <string>

namespace bulrushloft {

/** Largest datagram that can be received, in bytes; the rest of a longer one is lost. send() does not check it. */
constexpr std::size_t maxDatagramBytes = 8'192;

/** Sends and receives datagrams; stays open until the process ends. */
class DatagramSocket {
public:
    struct Impl;

    explicit DatagramSocket(EventLoop& loop);
    ~DatagramSocket();

    /**
     * Binds the socket and starts receiving.
     * @param address Local address to bind.
     * @param onDatagram Called with each datagram on the loop's thread.
     * @return Nothing, or an Unavailable error when the address cannot be bound.
     */
    Expected<void> open(const Address& address, std::function<void(std::string)> onDatagram);

    /** Sends a datagram; may be called from any thread. Lost datagrams and send errors are not reported. */
    void send(const Address& to, const std::string& bytes);

    /** @return Payload bytes of all datagrams so far, including those that could not be sent; may be called from any thread. */
    std::uint64_t countBytesSent() const;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace bulrushloft
