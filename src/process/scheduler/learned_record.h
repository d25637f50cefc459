/** @file learned_record.h Record of learned run times and worker speeds, from which a later term goes on. */
#pragma once

#include "process/scheduler/scheduler_base.h"

#include "core/error_type.h"

namespace bulrushloft::scheduler {

constexpr const char* learnedKey = "~learned"; ///< Key of the record; comes after all keys of jobs.

/**
 * Load: a leader is replaced while gangs of whole workers wait. Without learned run times the new leader predicts them from
 * callers' estimates, which are far off, takes jobs that are still in time for late, and lets all others pass them.
 * @return The record, if one is due: at intervals, and only when something has been learned since the last one.
 */
std::optional<KeyedRecord> takeLearnedRecord(Scheduler& scheduler, TimePoint now);

/** @return The record of what is known at present. */
KeyedRecord makeLearnedRecord(const Scheduler& scheduler);

/** Restores learned run times and speeds from a record of an earlier term. @return Nothing, or an error of kind InvalidInput. */
Expected<void> restoreLearned(Scheduler& scheduler, const std::string& record);

} // namespace bulrushloft::scheduler
