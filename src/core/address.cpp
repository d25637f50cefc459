/** @file address.cpp Parsing and formatting of addresses. */
#include "core/address_type.h"

#include <arpa/inet.h>
#include <charconv>

namespace bulrushloft {

namespace {

    bool isIpAddress(const std::string& host)
    {
        in_addr ipv4 {};
        in6_addr ipv6 {};
        return inet_pton(AF_INET, host.c_str(), &ipv4) == 1 || inet_pton(AF_INET6, host.c_str(), &ipv6) == 1;
    }

} // namespace

Expected<Address> parseAddress(const std::string& text)
{
    const auto malformed = [&text] {
        return fail(ErrorKind::InvalidInput, "\"" + text + "\" is not a valid address", "write an IP address and a port from 1 to 65535, for example 127.0.0.1:7400");
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return malformed();
    unsigned port = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc {} || parsed.ptr != end || port == 0 || port > UINT16_MAX)
        return malformed();
    Address address { .m_host = text.substr(0, colon), .m_port = static_cast<std::uint16_t>(port) };
    if (!isIpAddress(address.m_host))
        return malformed();
    return address;
}

std::string format(const Address& address)
{
    return address.m_host + ":" + std::to_string(address.m_port);
}

} // namespace bulrushloft
