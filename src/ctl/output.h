/** @file output.h What bulrushctl prints: tables for people, JSON for scripts. */
#pragma once

#include "connection/caller_type.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** Exit codes that scripts can rely on. */
enum class ExitCode : std::uint8_t {
    Ok = 0, ///< Done.
    Failed = 1, ///< The work ran and failed, or the answer was an error.
    BadInput = 2, ///< The command line or the input is wrong.
    Unavailable = 3, ///< No answer could be had.
    NotRun = 4, ///< The work did not run and never will under this call.
    Unknown = 5, ///< The work may have run.
    Conflict = 6, ///< Another change came first.
};

/** Rows of a table; the first one is the heading. */
using TableRows = std::vector<std::vector<std::string>>;

/** @return The rows with aligned columns. */
std::string formatTable(const TableRows& rows);

/**
 * Prints an answer.
 * @param answer What came.
 * @param asJson JSON instead of a table.
 * @return The exit code that goes with it.
 */
ExitCode printAnswer(const CallerAnswer& answer, bool asJson);

/** Prints an error to standard error. @return Its exit code. */
ExitCode printError(const Error& error, bool asJson);

} // namespace bulrushloft
