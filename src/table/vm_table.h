/** @file vm_table.h Names of VM roles and states. */
#pragma once

#include "connection/vm_list_type.h"
#include "core/enum_table.h"

namespace bulrushloft {

constexpr std::array<EnumName<VmRole>, 3> vmRoleNames { {
    { VmRole::Entry, "entry" },
    { VmRole::Worker, "worker" },
    { VmRole::Runner, "runner" },
} };

constexpr std::array<EnumName<VmState>, 3> vmStateNames { {
    { VmState::Live, "live" },
    { VmState::Leaving, "leaving" },
    { VmState::Gone, "gone" },
} };

} // namespace bulrushloft
