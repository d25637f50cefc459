/** @file connection_owner.h Finds the process that holds the calling end of a loopback connection. */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <sys/types.h>

namespace bulrushloft::soak {

/** A connection over IPv4; addresses and ports are in network byte order. */
struct ConnectionEnds {
    std::uint32_t m_callerAddress = 0;
    std::uint16_t m_callerPort = 0;
    std::uint32_t m_calledAddress = 0;
    std::uint16_t m_calledPort = 0;
};

/**
 * Looks a connection up in the kernel and in the open files of some processes, which must belong to the same user.
 * @return Index of the process in the list; nothing when none of them holds the connection.
 */
std::optional<std::size_t> findConnectionOwner(const ConnectionEnds& ends, const std::vector<pid_t>& processes);

} // namespace bulrushloft::soak
