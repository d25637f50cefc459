/** @file request_table.h Names of the request states. */
#pragma once

#include "core/enum_table.h"
#include "request/request_type.h"

namespace bulrushloft {

constexpr std::array<EnumName<RequestState>, 5> requestStateNames { {
    { RequestState::Intended, "intended" },
    { RequestState::Done, "done" },
    { RequestState::Failed, "failed" },
    { RequestState::NotRun, "not-run" },
    { RequestState::Unknown, "unknown" },
} };

} // namespace bulrushloft
