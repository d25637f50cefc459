/** @file loopback_host.h Loopback addresses of a test process's own, so that test runs on one machine don't take each other's ports. */
#pragma once

#include <string>

#include <unistd.h>

namespace bulrushloft {

/** @return An address under 127.64.0.0/10 that no other process gets; the process id has at most 22 bits. */
inline std::string ownLoopbackHost()
{
    const auto process = static_cast<unsigned>(getpid());
    constexpr unsigned prefix = 64;
    constexpr unsigned byteMask = 0xff;
    return "127." + std::to_string(prefix + (process >> 16)) + "." + std::to_string((process >> 8) & byteMask) + "." + std::to_string(process & byteMask);
}

} // namespace bulrushloft
