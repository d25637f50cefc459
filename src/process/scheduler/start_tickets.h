/** @file start_tickets.h Tickets of placed tasks whose start has still to be sent. */
#pragma once

#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::scheduler::detail {

/*
 * A start is sent when the record of its placement is durable, which takes seconds while the store is slow or its answers get lost.
 * The ticket that was valid at the placement may have lapsed by then, and the worker would refuse the start. So a start carries the
 * newest ticket of its step for the worker, and waits on its place for a new one if that has lapsed.
 */

/** @return Whether the start of a placed task can be sent now: its ticket is usable, and so are those of the other members of a gang that has not begun to start. */
bool hasTicketsToStart(const TaskRef& ref, TimePoint now);

/** @return The ticket that a start of a task sent now carries; empty when none is needed. */
std::string ticketTextFor(const TaskRef& ref);

/** Handles the refusal of a start's ticket. The approval stays; the ticket is not used again. @return Whether the start is to be sent again with a new one. */
bool dropRefusedTicket(const TaskRef& ref, TimePoint now);

/** Notes how long the record of a placement took to become durable. */
void updateMeanRecordTime(Scheduler& scheduler, Duration recordTime);

/** Requests new tickets for placed tasks whose start needs one, and withdraws placements that can't get one. */
void stepStartTickets(Scheduler& scheduler, TimePoint now, SchedulerEffects& effects);

} // namespace bulrushloft::scheduler::detail
