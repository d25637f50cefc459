/** @file error_type.h Typed errors that carry a message and a remedy. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace bulrushloft {

/** Kind of an error; callers and scripts distinguish errors by it. */
enum class ErrorKind : std::uint8_t {
    InvalidInput, ///< The input is malformed or out of range.
    UnknownName, ///< A team, job, pool or path does not exist.
    Conflict, ///< An earlier change, or an earlier request with another body, takes precedence.
    TooLarge, ///< A size exceeds its limit or any capacity that exists.
    QuotaExceeded, ///< The team has used up its quota.
    Overloaded, ///< A bounded queue is full.
    Unavailable, ///< A required resource or service cannot be reached now.
    TimedOut, ///< The deadline has passed.
    BrokenAnswer, ///< An answer arrived incomplete or damaged.
    Stale, ///< The sender's epoch, generation or attempt has been superseded.
    Internal, ///< A fault in the program itself.
};

/** An error with its remedy. */
struct Error {
    ErrorKind m_kind = ErrorKind::Internal; ///< Kind of the error.
    std::string m_message; ///< Description of what happened, in one sentence.
    std::string m_remedy; ///< What the caller or operator can do about it; may be empty.
};

template <typename Value>
using Expected = tl::expected<Value, Error>;

/**
 * Creates an error that converts to any Expected.
 * @param kind Kind of the error.
 * @param message Description of what happened, in one sentence.
 * @param remedy What the caller or operator can do about it; may be empty.
 */
tl::unexpected<Error> fail(ErrorKind kind, std::string message, std::string remedy);

/** @return The name of the kind in messages and metrics. */
std::string_view nameOf(ErrorKind kind);

/** @return Kind, message and remedy as one line for logs and terminals. */
std::string describe(const Error& error);

} // namespace bulrushloft
