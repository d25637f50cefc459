/** @file error_type.h Typed errors whose messages name the remedy. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace bulrushloft {

/** What went wrong, as callers and scripts tell it apart. */
enum class ErrorKind : std::uint8_t {
    InvalidInput, ///< The input is malformed or out of range.
    UnknownName, ///< A team, job, pool or path does not exist.
    Conflict, ///< Another change or another body came first.
    TooLarge, ///< A size is beyond what is allowed or can ever fit.
    QuotaExceeded, ///< The team has used what it may use.
    Overloaded, ///< A bounded queue is full.
    Unavailable, ///< Something that is needed cannot be reached now.
    TimedOut, ///< The deadline passed.
    BrokenAnswer, ///< An answer arrived incomplete or damaged.
    Stale, ///< The sender's epoch or generation has been superseded.
    Internal, ///< A fault of the program.
};

/** An error with its remedy. */
struct Error {
    ErrorKind m_kind = ErrorKind::Internal; ///< What went wrong.
    std::string m_message; ///< What was found, in one sentence.
    std::string m_remedy; ///< What the reader can do about it.
};

template <typename Value>
using Expected = tl::expected<Value, Error>;

/**
 * Makes the error side of an Expected.
 * @param kind What went wrong.
 * @param message What was found.
 * @param remedy What to do about it.
 */
tl::unexpected<Error> fail(ErrorKind kind, std::string message, std::string remedy);

/** @return The name of the kind, as messages and metrics show it. */
std::string_view nameOf(ErrorKind kind);

/** @return Message and remedy as one line for logs and terminals. */
std::string describe(const Error& error);

} // namespace bulrushloft
