/** @file output.h Output of bulrushctl: tables for people, JSON for scripts. */
#pragma once

#include "connection/caller_type.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** Exit codes that scripts can rely on. */
enum class ExitCode : std::uint8_t {
    Ok = 0, ///< The command succeeded.
    Failed = 1, ///< The work ran and failed, or its answer was lost.
    BadInput = 2, ///< The command line or an input file is invalid; also any error without a code of its own.
    Unavailable = 3, ///< No entry VM answered, or the shard is changing owners.
    NotRun = 4, ///< The work did not run and will not run unless the caller retries, or the job was cancelled.
    Unknown = 5, ///< The work may have run, or the request or job may have been accepted.
    Conflict = 6, ///< An earlier change of the settings, or an earlier request with the same key and another body, takes precedence.
};

/** Cells of a table by row; the first row holds the column titles. */
using TableRows = std::vector<std::vector<std::string>>;

/** @return The table as text with aligned columns, one line per row. */
std::string formatTable(const TableRows& rows);

/**
 * Prints an answer to standard output; errors go to standard error unless they are printed as JSON.
 * @param answer The answer to print.
 * @param asJson Whether to print JSON instead of text and tables.
 * @return The exit code for the answer.
 */
ExitCode printAnswer(const CallerAnswer& answer, bool asJson);

/**
 * Prints an error to standard error, or as JSON to standard output.
 * @param error The error to print.
 * @param asJson Whether to print JSON.
 * @return Unavailable for an error of that kind, otherwise BadInput.
 */
ExitCode printError(const Error& error, bool asJson);

} // namespace bulrushloft
