/** @file connection_owner.h Finds the process that holds the calling end of a loopback connection. */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <sys/types.h>

namespace bulrushloft::soak {

/** The calling end of a connection over IPv4. */
struct CallerEndpoint {
    std::uint32_t m_address = 0; ///< Address as the kernel stores it, in network byte order.
    std::uint16_t m_port = 0; ///< Port.
};

/**
 * Looks a connection up in the kernel's table and in the open files of some processes, which must belong to the same user.
 * @return Index of the process in the list; nothing when none of them holds the connection.
 */
std::optional<std::size_t> findConnectionOwner(const CallerEndpoint& caller, const std::vector<pid_t>& processes);

} // namespace bulrushloft::soak
