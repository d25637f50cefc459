/** @file better_place.h Search for places that are expected to come free and where a step's tasks run shorter than in those that are free now. */
#pragma once

#include "process/scheduler/pool_view.h"

namespace bulrushloft::scheduler::detail {

/** A place that is expected to come free. */
struct BetterPlace {
    std::uint32_t m_position = 0; ///< Position of the worker in the pool's view.
    TimePoint m_roomAt; ///< When it is expected to be free, and its approval to be known.
    double m_factor = 1; ///< Run time there divided by the one at mean speed near the data.
};

/** Places of a whole gang in one rack that are expected to come free. */
struct GangPlace {
    TimePoint m_roomAt; ///< When all of them are expected to be free.
    std::vector<std::uint32_t> m_positions; ///< Position of the worker of each member in the pool's view.
};

/** @return Run time of the step's tasks on a worker divided by the one at mean speed near their data. */
double placeFactorOf(const Scheduler& scheduler, const StepRun& run, const Worker& worker);

/**
 * Chooses the rack in which a step should run, for its approval requests.
 * @return The rack of its data; for a gang that is slower across racks, the one that has room for all members first as far as approvals allow, a different one for each job among equal ones. Empty for any.
 */
std::string preferredRackOf(const Scheduler& scheduler, const StepRun& run, PoolView& view, TimePoint now);

/** @return Time that a task of the step would take longer on a worker than in the preferred rack; 0 if steps don't wait for better places. */
Duration remoteDelayOf(const Scheduler& scheduler, const StepRun& run, const Worker& worker, const std::string& preferredRack);

/**
 * Finds the place in the rack of a step's data that is expected to come free first.
 * Workers on which the task has failed, that are reserved for others, lack the step's approval or take no orders are left out, and so are places that steps before this one in the pass wait for.
 */
std::optional<BetterPlace> findBetterPlace(Scheduler& scheduler, const StepRun& run, const Task& task, PoolView& view, TimePoint now);

/** @return The earliest time at which a worker in the rack of a step's data is expected to have room for one of its tasks; farFuture for never. */
TimePoint earliestRoomNearData(Scheduler& scheduler, const StepRun& run, PoolView& view, TimePoint now);

/** Finds the rack that is expected to have room for all members of a gang first. @param latest Places that come free later are left out. */
std::optional<GangPlace> findGangPlace(Scheduler& scheduler, const StepRun& run, PoolView& view, TimePoint latest, TimePoint now);

/** What a task would wait for. */
struct PlaceOffer {
    TimePoint m_roomAt; ///< When the better place is expected to be free.
    double m_factorNow = 1; ///< Factor of the best place that is free now.
    double m_factorThen = 1; ///< Factor of the better place.
};

/** @return Whether tasks of the step may leave free places to others at all: their result is still of use, and they have an end. */
bool mayWaitForPlace(const Scheduler& scheduler, const StepRun& run, Urgency urgency);

/** Decides whether a task leaves a free place to others to wait for a better one, and counts the beginning of its wait. @return Whether it waits. */
bool waitForPlace(Scheduler& scheduler, StepRun& run, Task& task, const PlaceOffer& offer, TimePoint now);

/**
 * Stops the clock of a step's waits at the end of a pass that leaves no place for it.
 * Load: bursts above capacity. A place that others take is not unused, and the task would wait in any case; if it were taken far from its data instead,
 * the run would occupy it for remote_factor times as long and the backlog would grow.
 */
void pausePlaceWait(Scheduler& scheduler, StepRun& run, PoolView& view, TimePoint now);

/** Notes that a task of the step waits for room on a worker, so that the steps after it in this pass don't count on the same room. It is not reserved. */
void claimPlace(PoolView& view, std::uint32_t position, const StepRun& run, TimePoint endsAt);

/** Counts the end of a task's wait for a better place, if it waited. @param isBetter Whether its place is better than those that it has left unused. */
void endPlaceWait(Scheduler& scheduler, Task& task, bool isBetter, TimePoint now);

/** Logs the waits for better places, at most once a second and only after changes. */
void reportPlaceWaits(Scheduler& scheduler, TimePoint now);

} // namespace bulrushloft::scheduler::detail
