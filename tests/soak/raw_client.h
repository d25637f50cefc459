/** @file raw_client.h Clients that send bytes of their own over a plain socket. */
#pragma once

#include "core/address_type.h"

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bulrushloft::soak {

/** What one client sends: an opening, then a block again and again. */
struct RawSending {
    std::string m_opening;
    std::string m_block;
    std::size_t m_repetitions = 0;
};

/** A connection to a server, open until the object ends. */
class RawClient {
public:
    explicit RawClient(const Address& address)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(address.m_port);
        inet_pton(AF_INET, address.m_host.c_str(), &to.sin_addr);
        constexpr timeval limit { 10, 0 }; // A server may stop reading; the client then gives up.
        setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        constexpr int on = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        m_isOpen = connect(m_socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0;
    }

    ~RawClient() { close(m_socket); }
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;

    bool isOpen() const { return m_isOpen; }

    /** @return Whether the whole text was taken. */
    bool send(std::string_view text) const
    {
        while (!text.empty()) {
            const ssize_t count = ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            text.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    /** Sends until the server refuses to take more. */
    void send(const RawSending& sending) const
    {
        bool isTaken = send(sending.m_opening);
        for (std::size_t i = 0; isTaken && i < sending.m_repetitions; ++i)
            isTaken = send(sending.m_block);
    }

    /** Ends the sending side only. */
    void endSending() const { shutdown(m_socket, SHUT_WR); }

    /** Closes with a reset instead of an end. */
    void setReset() const
    {
        constexpr linger abrupt { 1, 0 };
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &abrupt, sizeof(abrupt));
    }

    /** @return What arrives until the server closes, nothing comes for 10 s, or this many bytes have come. */
    std::string receive(std::size_t most = 1'000'000) const
    {
        std::string text;
        char buffer[4'096];
        while (text.size() < most) {
            const ssize_t count = recv(m_socket, buffer, sizeof(buffer), 0);
            if (count <= 0)
                break;
            text.append(buffer, static_cast<std::size_t>(count));
        }
        return text;
    }

private:
    int m_socket;
    bool m_isOpen = false;
};

/** Clients that send at the same time, and stay connected. */
class RawCrowd {
public:
    RawCrowd(const Address& address, std::size_t count, const RawSending& sending)
    {
        for (std::size_t i = 0; i < count; ++i)
            m_clients.push_back(std::make_unique<RawClient>(address));
        std::vector<std::thread> threads;
        for (const auto& client : m_clients)
            threads.emplace_back([&client, &sending] { client->send(sending); });
        for (std::thread& thread : threads)
            thread.join();
    }

private:
    std::vector<std::unique_ptr<RawClient>> m_clients;
};

} // namespace bulrushloft::soak
