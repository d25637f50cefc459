/** @file caller_table.h Names of the enums in answers to callers and in their calls. */
#pragma once

#include "connection/caller_type.h"
#include "core/enum_table.h"

namespace bulrushloft {

constexpr std::array<EnumName<RunOutcome>, 5> runOutcomeNames { {
    { RunOutcome::Done, "done" },
    { RunOutcome::AnswerLost, "answer-lost" },
    { RunOutcome::Failed, "failed" },
    { RunOutcome::NotRun, "not-run" },
    { RunOutcome::Unknown, "unknown" },
} };

constexpr std::array<EnumName<WaitUntil>, 3> waitUntilNames { {
    { WaitUntil::Now, "now" },
    { WaitUntil::Started, "started" },
    { WaitUntil::Ended, "ended" },
} };

} // namespace bulrushloft
