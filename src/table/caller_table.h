/** @file caller_table.h Names of the enums in answers to callers and in their calls. */
#pragma once

#include "connection/caller_type.h"
#include "core/enum_table.h"

namespace bulrushloft {

constexpr std::array<EnumName<RunCertainty>, 5> runCertaintyNames { {
    { RunCertainty::Done, "done" },
    { RunCertainty::AnswerLost, "answer-lost" },
    { RunCertainty::Failed, "failed" },
    { RunCertainty::NotRun, "not-run" },
    { RunCertainty::Unknown, "unknown" },
} };

constexpr std::array<EnumName<WaitUntil>, 3> waitUntilNames { {
    { WaitUntil::Now, "now" },
    { WaitUntil::Started, "started" },
    { WaitUntil::Ended, "ended" },
} };

} // namespace bulrushloft
