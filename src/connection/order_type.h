/** @file order_type.h Orders that the leader sends to workers, and the reports of workers. */
#pragma once

#include "core/address_type.h"
#include "core/clock_type.h"
#include "request/plan_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bulrushloft {

/** Description of a worker, which the worker itself registers in the store. */
struct WorkerAnnouncement {
    std::string m_id; ///< Identifies one boot of a machine; a process that restarts in place keeps it.
    std::string m_pool; ///< Pool that the worker serves.
    Address m_address; ///< Address at which the worker accepts orders.
    std::string m_zone; ///< Availability zone.
    std::string m_machine; ///< Machine that the worker runs on; empty when unknown.
    Resources m_capacity; ///< Total resources.
    std::vector<std::string> m_labels; ///< Labels that give the kind and the rack of the worker.
    bool m_isDraining = false; ///< Whether the worker accepts no new tasks because it is about to shut down.
    Duration m_remainingDrainTime; ///< Minimum time until the worker shuts down; only meaningful while draining.
    std::int64_t m_processStartMs = 0; ///< Start time of the process in Unix milliseconds; 0 when not reported.
};

/** Outcome of an order to a worker. */
enum class OrderStatus : std::uint8_t {
    Done, ///< Carried out, now or by an earlier order.
    NoAnswer, ///< No answer: the order may have been carried out, or still be carried out seconds later.
    NotSent, ///< The order definitely never reached the worker.
    Fenced, ///< The worker has seen a higher fencing token.
    Superseded, ///< This attempt or a later one has already ended at the worker, or has been stopped there.
    LeaseExpired, ///< The lease deadline in the order had already passed on the worker's clock.
    InsufficientCapacity, ///< The worker has too few free resources for the task.
    InvalidTicket, ///< The approval ticket is missing or has expired.
    Unhealthy, ///< The worker refused the order for the time being; it had no effect.
    WrongInstance, ///< A different worker answers at the address.
    Invalid, ///< The worker rejected the order as malformed.
    Unreported, ///< The peer that forwarded it has failed: like NoAnswer, but nothing speaks against the worker.
    NotForwarded, ///< The peer that was to forward it did not take it: like NotSent, but nothing speaks against the worker. Never reported by a peer.
};

/** Starts an attempt of a task. */
struct StartOrder {
    TaskName m_task; ///< Name of the task.
    std::uint32_t m_attempt = 0; ///< Number of the attempt.
    std::string m_payload; ///< Payload of the job.
    std::int64_t m_leaseUntilMs = 0; ///< Lease deadline on the worker's clock.
    std::string m_checkpoint; ///< Checkpoint to resume from; empty to start from the beginning.
    std::string m_ticket; ///< Approval ticket; empty when no approval is required.
};

/** Stops an attempt of a task; if its start order arrives later, the worker refuses it. */
struct StopOrder {
    TaskName m_task; ///< Name of the task.
    std::uint32_t m_attempt = 0; ///< Number of the attempt.
};

/** Limits a task to a percentage of its full speed. */
struct PaceOrder {
    TaskName m_task; ///< Name of the task.
    std::uint32_t m_attempt = 0; ///< Number of the attempt.
    std::uint32_t m_percent = 100; ///< Share of the full speed, 0 to 100.
};

/** Renews the lease of a worker, acknowledges ended attempts and requests a SyncReport. */
struct SyncOrder {
    std::optional<std::int64_t> m_leaseUntilMs; ///< Lease deadline on the worker's clock; unset until that clock is known.
    std::uint64_t m_ackedEndNumber = 0; ///< Highest EndedAttempt::m_number to acknowledge: the ends up to it are recorded in the store; 0 acknowledges none.
    Duration m_wait; ///< Maximum time that the worker may hold the answer back until an attempt ends.
};

/** An attempt that is running on a worker. */
struct RunningAttempt {
    TaskName m_task; ///< Name of the task.
    std::uint32_t m_attempt = 0; ///< Number of the attempt.
    std::string m_checkpoint; ///< Latest checkpoint; empty when there is none.
    int m_percent = 0; ///< Progress in percent; 100 for a long-running task that is operational.
    int m_loadMetric = 0; ///< Tail response time in milliseconds for a task that serves requests, otherwise CPU use in thousandths of a core.
};

/** Reason why an attempt ended at a worker. */
enum class AttemptEnd : std::uint8_t {
    Done, ///< Ran to completion.
    Failed, ///< Failed through a fault of the task or the worker.
    Stopped, ///< Stopped by an order.
    LeaseExpired, ///< The worker's lease expired.
    GangBroken, ///< Another task of the gang ended.
    GangIncomplete, ///< The other tasks of the gang did not start in time.
};

/** An attempt that has ended at a worker. */
struct EndedAttempt {
    std::uint64_t m_number = 0; ///< Sequence number of the end; counts from 1 after each start of the worker process.
    TaskName m_task; ///< Name of the task.
    std::uint32_t m_attempt = 0; ///< Number of the attempt.
    AttemptEnd m_end = AttemptEnd::Failed; ///< Reason for the end.
    std::string m_checkpoint; ///< Last checkpoint; empty when there is none.
};

/** Answer of a worker to a StartOrder. */
struct StartAnswer {
    OrderStatus m_status = OrderStatus::NoAnswer; ///< Outcome.
    std::int64_t m_clockMs = 0; ///< Time on the worker's clock in milliseconds; 0 when not reported.
};

/** Answer of a worker to a SyncOrder. */
struct SyncReport {
    std::int64_t m_clockMs = 0; ///< Time on the worker's clock in milliseconds.
    std::int64_t m_processStartMs = 0; ///< Start time of the worker process in Unix milliseconds; 0 when not reported.
    std::vector<RunningAttempt> m_running; ///< All running attempts.
    std::vector<EndedAttempt> m_ended; ///< Ended attempts that have not been acknowledged.
};

/** Approval of a worker for the tasks of a step. */
struct Approval {
    std::string m_worker; ///< Id of the worker.
    std::string m_ticket; ///< Ticket to send along with each start order.
};

/** Recipient of an order and the fencing token to send it with. */
struct OrderTarget {
    std::string m_worker; ///< Id of the worker.
    Address m_address; ///< Address of the worker.
    std::uint64_t m_token = 0; ///< Fencing token of the leader's term.
};

/** An order with its recipient and timeout. */
template <typename Order>
struct AddressedOrder {
    OrderTarget m_to; ///< Recipient.
    Order m_order; ///< The order.
    Duration m_timeout { 800 }; ///< Time to wait for the answer; after it the outcome is NoAnswer.
};

/** An order that a peer forwards to a worker on behalf of the leader. */
struct RelayedOrder {
    std::uint64_t m_number = 0; ///< Id that the leader assigns; the OrderReport repeats it.
    OrderTarget m_to; ///< Recipient.
    Duration m_timeout; ///< Time that the peer waits for the worker's answer.
    std::variant<StartOrder, StopOrder, SyncOrder> m_order; ///< The order.
};

/** Outcome of a RelayedOrder, reported to the leader. */
struct OrderReport {
    std::uint64_t m_number = 0; ///< Id of the order.
    OrderStatus m_status = OrderStatus::NoAnswer; ///< Outcome.
    SyncReport m_sync; ///< The worker's answer when a SyncOrder ended with Done; of other answers only the worker's clock, if they tell it.
};

} // namespace bulrushloft
