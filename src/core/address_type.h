/** @file address_type.h IP number and port of a process. */
#pragma once

#include "core/error_type.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace bulrushloft {

/** Where a process listens. */
struct Address {
    std::string m_host; ///< IP number in text form.
    std::uint16_t m_port = 0; ///< Port, 0 when unset.

    auto operator<=>(const Address&) const = default;
};

/**
 * Reads "IP:PORT".
 * @param text The text, for example "127.0.1.1:7400".
 * @return The address, or an error that shows the expected form.
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
