/** @file error_table.h Names of the error kinds. */
#pragma once

#include "core/enum_table.h"
#include "core/error_type.h"

namespace bulrushloft {

constexpr std::array<EnumName<ErrorKind>, 11> errorKindNames { {
    { ErrorKind::InvalidInput, "invalid-input" },
    { ErrorKind::UnknownName, "unknown-name" },
    { ErrorKind::Conflict, "conflict" },
    { ErrorKind::TooLarge, "too-large" },
    { ErrorKind::QuotaExceeded, "quota-exceeded" },
    { ErrorKind::Overloaded, "overloaded" },
    { ErrorKind::Unavailable, "unavailable" },
    { ErrorKind::TimedOut, "timed-out" },
    { ErrorKind::BrokenAnswer, "broken-answer" },
    { ErrorKind::Stale, "stale" },
    { ErrorKind::Internal, "internal" },
} };

} // namespace bulrushloft
