/** @file address_type.h IP address and port of a process. */
#pragma once

#include "core/error_type.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace bulrushloft {

/** Address on which a process listens. */
struct Address {
    std::string m_host; ///< IPv4 or IPv6 address in text form.
    std::uint16_t m_port = 0; ///< Port; 0 if unset.

    auto operator<=>(const Address&) const = default;
};

/**
 * Parses "IP:PORT".
 * @param text For example "127.0.1.1:7400".
 * @return The address, or an InvalidInput error that describes the expected form.
 */
Expected<Address> parseAddress(const std::string& text);

/** @return The address as "IP:PORT". */
std::string format(const Address& address);

} // namespace bulrushloft

template <>
struct std::hash<bulrushloft::Address> {
    std::size_t operator()(const bulrushloft::Address& address) const noexcept
    {
        return std::hash<std::string> {}(address.m_host) * 31 + address.m_port;
    }
};
