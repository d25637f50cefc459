/** @file runner_table.h Names of the dispatch states. */
#pragma once

#include "connection/runner_type.h"
#include "core/enum_table.h"

namespace bulrushloft {

constexpr std::array<EnumName<DispatchState>, 4> dispatchStateNames { {
    { DispatchState::NeverStarted, "never" },
    { DispatchState::Running, "running" },
    { DispatchState::Done, "done" },
    { DispatchState::Failed, "failed" },
} };

} // namespace bulrushloft
