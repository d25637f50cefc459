/** @file request_type.h State of non-idempotent requests, as recorded in the journal. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushloft {

/** State of a non-idempotent request, as recorded in the journal. */
enum class RequestState : std::uint8_t {
    Intended, ///< May have been dispatched; no outcome is recorded.
    Done, ///< Ran, and the complete answer was received.
    Failed, ///< Ran and reported a failure.
    NotRun, ///< The dispatch is known not to have run and will never run; a new dispatch may use the same key.
    Unknown, ///< May have run; the outcome can no longer be determined.
};

/** Journaled state of a non-idempotent request. */
struct RequestRecord {
    RequestState m_state = RequestState::Intended; ///< Current state.
    std::uint64_t m_digest = 0; ///< Hash of the target and the body, to distinguish a retry from another request with the same key.
    std::string m_runner; ///< Runner that the request may have been dispatched to, as "name/boot".
    std::string m_dispatch; ///< Id of the dispatch.
    TimePoint m_wall; ///< Wall-clock time of the latest change.
};

std::string_view nameOf(RequestState state);

} // namespace bulrushloft
