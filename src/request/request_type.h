/** @file request_type.h Requests to runners: keys, states and what the journal keeps of them. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushloft {

/** Where a non-idempotent request stands, as the journal knows it. */
enum class RequestState : std::uint8_t {
    Intended, ///< May have been dispatched; no outcome is recorded.
    Done, ///< Ran; the answer was received whole.
    Failed, ///< Ran and reported a failure.
    NotRun, ///< Proved never to have run, and never will.
    Unknown, ///< May have run; no outcome can be had any more.
};

/** What the journal keeps of a non-idempotent request. */
struct RequestRecord {
    RequestState m_state = RequestState::Intended; ///< Where it stands.
    std::uint64_t m_digest = 0; ///< Hash of the body, to tell a retry from another request under the same key.
    std::string m_runner; ///< The runner that it may have been dispatched to, as "name/boot".
    std::string m_dispatch; ///< Id of the dispatch.
    TimePoint m_wall; ///< Calendar time of the latest change.
};

std::string_view nameOf(RequestState state);

} // namespace bulrushloft
