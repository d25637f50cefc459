/** @file order_type.h Orders of the leader to workers, and what workers report. */
#pragma once

#include "core/address_type.h"
#include "core/clock_type.h"
#include "request/plan_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bulrushloft {

/** A worker as it announces itself. */
struct WorkerAnnouncement {
    std::string m_id; ///< Names one life of a machine, but for restarts in place.
    std::string m_pool; ///< Pool that it serves.
    Address m_address; ///< Where it takes orders.
    std::string m_zone; ///< Its availability zone.
    std::string m_machine; ///< The machine that it is a life of; may be empty.
    Resources m_capacity; ///< What it has.
    std::vector<std::string> m_labels; ///< Its kind and its rack.
    bool m_isDraining = false; ///< It takes no new tasks.
    Duration m_remainingDrainTime; ///< Least time that is left while it drains.
    std::int64_t m_processStartMs = 0; ///< Start of the process in Unix milliseconds; 0 when not told.
};

/** How an order to a worker ended. */
enum class OrderStatus : std::uint8_t {
    Done, ///< Carried out, or it was so already.
    NoAnswer, ///< May have been carried out, or may be seconds later.
    NotSent, ///< Surely never reached the worker.
    Fenced, ///< The worker has seen a higher token.
    Superseded, ///< The attempt or a later one has been there and ended.
    LeaseExpired, ///< The lease deadline had passed on the worker's clock.
    InsufficientCapacity, ///< It does not fit.
    InvalidTicket, ///< The ticket is missing or too old.
    Unhealthy, ///< The worker refuses for now; nothing was done.
    WrongInstance, ///< Another worker answers at the address.
    Invalid, ///< The worker can't read the order.
};

/** Starts an attempt of a task. */
struct StartOrder {
    TaskName m_task; ///< Which task.
    std::uint32_t m_attempt = 0; ///< Which attempt.
    std::string m_payload; ///< The job's payload.
    std::int64_t m_leaseUntilMs = 0; ///< Lease deadline on the worker's clock.
    std::string m_checkpoint; ///< Where to resume; empty for the beginning.
    std::string m_ticket; ///< Approval; empty for none.
};

/** Stops an attempt of a task, or bars it when it has not arrived. */
struct StopOrder {
    TaskName m_task; ///< Which task.
    std::uint32_t m_attempt = 0; ///< Which attempt.
};

/** Lets a task work at a share of its speed. */
struct PaceOrder {
    TaskName m_task; ///< Which task.
    std::uint32_t m_attempt = 0; ///< Which attempt.
    std::uint32_t m_percent = 100; ///< 0 to 100.
};

/** Renews the lease of a worker, acknowledges ends and asks for its lists. */
struct SyncOrder {
    std::optional<std::int64_t> m_leaseUntilMs; ///< Lease deadline on the worker's clock; unset before its clock is known.
    std::uint64_t m_ackedEndNumber = 0; ///< Ends up to this number are recorded.
    Duration m_wait; ///< How long the worker may wait for an end.
};

/** One attempt that a worker runs. */
struct RunningAttempt {
    TaskName m_task; ///< Which task.
    std::uint32_t m_attempt = 0; ///< Which attempt.
    std::string m_checkpoint; ///< Its newest checkpoint; may be empty.
    int m_percent = 0; ///< Its progress; 100 for a lasting task that is at work.
    int m_loadMetric = 0; ///< Tail of response times in ms of a serving task; else thousandths of a core in use.
};

/** How an attempt ended at a worker. */
enum class AttemptEnd : std::uint8_t {
    Done, ///< Ran to its end.
    Failed, ///< Failed by its own fault or the worker's.
    Stopped, ///< Stopped by an order.
    LeaseExpired, ///< The lease ran out.
    GangBroken, ///< Another member of the gang ended.
    GangIncomplete, ///< The other members of the gang did not come in time.
};

/** One attempt that has ended at a worker. */
struct EndedAttempt {
    std::uint64_t m_number = 0; ///< Number of the end, from 1 in each life of the worker.
    TaskName m_task; ///< Which task.
    std::uint32_t m_attempt = 0; ///< Which attempt.
    AttemptEnd m_end = AttemptEnd::Failed; ///< How.
    std::string m_checkpoint; ///< Its last checkpoint; may be empty.
};

/** What a worker answers to a sync. */
struct SyncReport {
    std::int64_t m_clockMs = 0; ///< The worker's clock.
    std::int64_t m_processStartMs = 0; ///< Start of its process in Unix milliseconds; 0 when not told.
    std::vector<RunningAttempt> m_running; ///< All that runs.
    std::vector<EndedAttempt> m_ended; ///< Ends that are not acknowledged.
};

/** One approved worker with its ticket. */
struct Approval {
    std::string m_worker; ///< Id of the worker.
    std::string m_ticket; ///< To be shown with each start.
};

/** Whom an order goes to and under which token. */
struct OrderTarget {
    std::string m_worker; ///< Id of the worker.
    Address m_address; ///< Its address.
    std::uint64_t m_token = 0; ///< Fencing token of the leader.
};

/** An order with its target. */
template <typename Order>
struct AddressedOrder {
    OrderTarget m_to; ///< Which worker.
    Order m_order; ///< What.
    Duration m_timeout { 800 }; ///< Without an answer by then the order counts as unanswered.
};

/** An order that a peer passes on to a worker. */
struct RelayedOrder {
    std::uint64_t m_number = 0; ///< Given by the leader; the report names it.
    OrderTarget m_to; ///< Which worker.
    Duration m_timeout; ///< How long the worker's answer is waited for.
    std::variant<StartOrder, StopOrder, SyncOrder> m_order; ///< What.
};

/** How a relayed order ended. */
struct OrderReport {
    std::uint64_t m_number = 0; ///< Which order.
    OrderStatus m_status = OrderStatus::NoAnswer; ///< How it ended.
    SyncReport m_sync; ///< What the worker told, when a sync was Done.
};

} // namespace bulrushloft
