/** @file worker_copy.h Copies of the workers' announcements in the leader's own records, for a later leader that can't read the workers' topic. */
#pragma once

#include "connection/order_type.h"
#include "connection/store_type.h"
#include "core/error_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace bulrushloft::cell {

constexpr const char* workerCopyPrefix = "~worker:"; ///< Begins the keys of copies in the topic of progress, which come after all keys of jobs; the worker's id follows.

/** The copies, as the leader knows them in its term. */
struct WorkerCopies {
    std::map<std::string, std::string> m_stored; ///< By worker id: the copies that the store holds, or that are being written.
    std::set<std::string> m_due; ///< Workers whose copy has to be written or deleted.
    std::optional<TimePoint> m_dueSince; ///< Since when there are any.
    TimePoint m_waitingSince; ///< Since when the leader has been waiting for the listing of workers: the beginning of its term.
    bool m_isUsed = false; ///< Whether the copies have been used in this term.
    bool m_isKept = false; ///< Whether they are kept up to date: the records are loaded, and the workers are known from their topic or from the copies.
    bool m_isRewriteDue = false; ///< Whether all copies have to be written again, whatever the store holds.
};

/**
 * @return The record of an announcement. It leaves out what a later leader must not rely on: the time until a draining worker shuts down, and which process of
 * the worker announced it, as another one may answer by then.
 */
std::string encodeWorkerCopy(const WorkerAnnouncement& announcement);

/** @return The announcement of a copy, or an error of kind InvalidInput. */
Expected<WorkerAnnouncement> decodeWorkerCopy(const std::string& id, const std::string& record);

} // namespace bulrushloft::cell
