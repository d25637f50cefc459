/** @file order_health.h Starts and stops that a worker does not answer, although it may answer syncs. */
#pragma once

#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::scheduler::detail {

/*
 * An answer to a sync says that a worker lives, not that an order reaches it: a worker may accept no further connection and
 * go on to answer on those that it has. So orders are judged by their own answers. While they fail, nothing new is placed on
 * the worker, its unconfirmed starts are withdrawn, and a wait for a stop ends at a time that no renewal moves.
 */

/** Notes the outcome of a start or a stop. Outcomes that say nothing of the way to the worker change nothing. */
void noteOrderOutcome(Worker& worker, OrderStatus status, TimePoint now);

/** @return Whether starts and stops have got no answer from a worker for a while. */
bool areOrdersFailing(const Worker& worker, TimePoint now);

/** @return Whether nothing is to be placed on a worker because of its orders. While they fail, tasks are placed now and then to find out whether they do. */
bool isHeldOutForOrders(const Worker& worker, TimePoint now);

/** @return Whether an order may be sent: while orders fail, one is sent at a time, at intervals. Notes it as sent. */
bool takeOrderTurn(Worker& worker, TimePoint now);

/** Withdraws the starts that have not been confirmed from a worker that does not answer, or that answers syncs only. */
void withdrawUndelivered(Scheduler& scheduler, WorkerIndex index, TimePoint now);

/** @return Additional cost of a worker that has answered no order lately, for a task whose start could not be delivered elsewhere; 0 for other tasks. */
double undeliveredCost(const Task& task, const Worker& worker, TimePoint now);

/** @return Whether leases are not renewed, as a stop has not been delivered for so long that the attempt has to end with its lease. */
bool isRenewalWithheld(const Worker& worker, TimePoint now);

/**
 * @return The lease deadline that a start carries, in milliseconds on the worker's clock; 0 when its clock is unknown. It is near
 * unless the worker has answered an order lately, so that a start without an answer is soon too late to be carried out and the task
 * can run elsewhere; syncs renew the lease all the same.
 */
std::int64_t startDeadline(const Scheduler& scheduler, const Worker& worker, TimePoint now);

/** Notes that a start call of a task's current attempt is sent, with the lease deadline that it carries. */
void noteStartDeadline(Task& task, const Worker& worker, std::int64_t deadlineMs);

/**
 * Tells whether no start of an attempt that is to be stopped can take effect any more, though the worker has not answered the stop.
 * @param report A report of the worker that does not list the attempt.
 */
bool isStartRuledOut(const Task& task, const SyncReport& report, TimePoint now);

} // namespace bulrushloft::scheduler::detail
