/** @file http_table.h Text names of the enum values of HTTP calls. */
#pragma once

#include "connection/http_type.h"
#include "core/enum_table.h"

namespace bulrushloft {

constexpr std::array<EnumName<CallEnd>, 7> callEndNames { {
    { CallEnd::Refused, "refused" },
    { CallEnd::NotConnected, "not-connected" },
    { CallEnd::NoFreeConnection, "no-free-connection" },
    { CallEnd::TimedOut, "timed-out" },
    { CallEnd::Closed, "closed" },
    { CallEnd::Reset, "reset" },
    { CallEnd::Malformed, "malformed" },
} };

} // namespace bulrushloft
