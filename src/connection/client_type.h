/** @file client_type.h Calls of clients about jobs, and what they are told. */
#pragma once

#include "core/clock_type.h"
#include "request/plan_type.h"

#include <functional>
#include <string>

namespace bulrushloft {

/** What a client wants. */
enum class ClientVerb : std::uint8_t {
    Submit, ///< Hand a job in.
    Query, ///< Where does a job stand?
    Cancel, ///< End a job.
    Count, ///< How many jobs of the queue are pending?
    Unknown, ///< None of these.
};

/** One call of a client. */
struct ClientCall {
    ClientVerb m_verb = ClientVerb::Unknown; ///< What is wanted.
    std::string m_host; ///< Host that the client named, without a port.
    std::string m_path; ///< Path without a query.
    std::string m_body; ///< Body, as sent.
    TimePoint m_arrivedAt; ///< Monotonic time of arrival.
    TimePoint m_deadline; ///< Monotonic time up to which the client waits.
};

/** How a client's call ended. */
enum class ClientStatus : std::uint8_t {
    Accepted, ///< The job is stored.
    Known, ///< The stage is told.
    Cancelled, ///< The cancellation is stored.
    Counted, ///< The count is told.
    NoSuchQueue, ///< No queue has that host and path.
    NoSuchJob, ///< No such job has been accepted.
    Invalid, ///< The call can't be used; the text names the remedy.
    NotDone, ///< Surely nothing was done; come back later.
    Unknown, ///< It may have been done; ask again under the same id.
};

/** The answer to a client's call. */
struct ClientReply {
    ClientStatus m_status = ClientStatus::NotDone; ///< How it ended.
    std::uint8_t m_stage = 0; ///< A scheduler::JobStage, when Known.
    std::uint32_t m_count = 0; ///< When Counted.
    Duration m_retryAfter; ///< When to come back; 0 for no hint.
    std::string m_text; ///< What to change, when Invalid.
};

/** Sends the reply; called once. */
using ClientResponder = std::function<void(const ClientReply&)>;

} // namespace bulrushloft
