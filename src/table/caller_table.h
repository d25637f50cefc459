/** @file caller_table.h Names of the enum values in calls from callers and in the answers to them. */
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
