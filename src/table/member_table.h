/** @file member_table.h Names of the daemon states. */
#pragma once

#include "core/enum_table.h"
#include "process/node/member_type.h"

namespace bulrushloft {

constexpr std::array<EnumName<MemberState>, 3> memberStateNames { {
    { MemberState::Starting, "starting" },
    { MemberState::Ready, "ready" },
    { MemberState::Leaving, "leaving" },
} };

} // namespace bulrushloft
