/** @file journal_table.h Names of the journal entry verdicts. */
#pragma once

#include "core/enum_table.h"
#include "process/journal/journal_type.h"

namespace bulrushloft {

constexpr std::array<EnumName<EntryVerdict>, 4> entryVerdictNames { {
    { EntryVerdict::Applied, "applied" },
    { EntryVerdict::Superseded, "superseded" },
    { EntryVerdict::Duplicate, "duplicate" },
    { EntryVerdict::Malformed, "malformed" },
} };

} // namespace bulrushloft
