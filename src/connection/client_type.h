/** @file client_type.h Client calls about jobs and their replies. */
#pragma once

#include "core/clock_type.h"
#include "request/plan_type.h"

#include <functional>
#include <string>

namespace bulrushloft {

/** Kind of a client's call. */
enum class ClientVerb : std::uint8_t {
    Submit, ///< Submits a job.
    Query, ///< Gets the stage of a job, or the number of pending jobs when the path is that of a queue.
    Cancel, ///< Cancels a job.
    Count, ///< Not used; a Query counts the pending jobs of a queue.
    Unknown, ///< Call with any other HTTP method.
};

/** One call of a client. */
struct ClientCall {
    ClientVerb m_verb = ClientVerb::Unknown; ///< Kind of the call.
    std::string m_host; ///< Host header without the port.
    std::string m_path; ///< Path without a query.
    std::string m_body; ///< Request body, not decoded.
    std::string m_key; ///< Key of the customer, a secret; empty if the call carries none.
    TimePoint m_arrivedAt; ///< Monotonic time of arrival.
    TimePoint m_deadline; ///< Monotonic time until which the client waits for the reply.
};

/** How a client's call ended. */
enum class ClientStatus : std::uint8_t {
    Accepted, ///< The job is stored.
    Known, ///< The job exists; the reply has its stage.
    Cancelled, ///< The cancellation is stored.
    Counted, ///< The reply has the number of pending jobs.
    NoSuchQueue, ///< No queue is configured for this host and path.
    NoSuchJob, ///< No job with this id has been accepted.
    Invalid, ///< The call is invalid; the text says what to change.
    NotDone, ///< The call had no effect; the client should retry later.
    UnknownKey, ///< The call carries no key of a customer; it had no effect.
    OverLimit, ///< The call had no effect, as the customer is over its share or its cap; the client should retry later.
    Unknown, ///< The call may have taken effect; the client should retry with the same id.
};

/** Reply to a client's call. */
struct ClientReply {
    ClientStatus m_status = ClientStatus::NotDone; ///< How it ended.
    std::uint8_t m_stage = 0; ///< Stage of the job as a scheduler::JobStage; only for Known.
    std::uint32_t m_count = 0; ///< Number of pending jobs; only for Counted.
    Duration m_retryAfter; ///< Delay before a retry; 0 for no hint.
    std::string m_text; ///< What is wrong and what to change; only for Invalid.
};

/** Sends the reply; must be called exactly once. */
using ClientResponder = std::function<void(const ClientReply&)>;

} // namespace bulrushloft
