/** @file cell_worker_copy.cpp Keeps copies of the workers' announcements in the leader's records, and uses them while the workers' topic is silent. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/scheduler/scheduler_func.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration listingPatience { 1'000 }; ///< Without an answer about workers for so long, a leader uses the copies.
    constexpr Duration maxCopyDelay { 1'000 }; ///< Copies wait for so long for other records to be written with.
    constexpr std::size_t maxNewCopies = 500; ///< Copies of workers that had none, in one batch; about 80 KB.
    constexpr std::size_t maxKeyBytes = 255; ///< Longest key that the store takes.

    const scheduler::Worker* findAnnounced(const CellNode& node, const std::string& id)
    {
        const auto found = node.m_scheduler->m_workerById.find(id);
        if (found == node.m_scheduler->m_workerById.end())
            return nullptr;
        const scheduler::Worker& worker = node.m_scheduler->m_workers[static_cast<std::size_t>(found->second)];
        return worker.m_isAnnounced ? &worker : nullptr;
    }

    /** @return The record that a worker's copy should have; empty when it should have none. */
    std::string wantedCopy(const CellNode& node, const std::string& id)
    {
        const scheduler::Worker* const worker = findAnnounced(node, id);
        return worker ? encodeWorkerCopy(worker->m_announcement) : std::string();
    }

    /** @return Whether the workers' topic has been silent for too long since the term began. */
    bool isListingLate(const CellNode& node)
    {
        const TopicTail& tail = node.m_workersTail;
        return !tail.m_isListingComplete && node.m_now - std::max(node.m_workerCopies.m_waitingSince, tail.m_answeredAt) >= listingPatience;
    }

    /** Announces the workers that have a copy and that the listing has not shown so far. */
    void useCopies(CellNode& node)
    {
        node.m_workerCopies.m_isUsed = true;
        std::size_t used = 0;
        for (const auto& [id, record] : node.m_workerCopies.m_stored) {
            const auto announcement = decodeWorkerCopy(id, record);
            if (!announcement) {
                logEvent(LogLevel::Error, "worker-copy-unusable", { { "worker", id }, { "error", describe(announcement.error()) } });
                continue;
            }
            if (findAnnounced(node, id))
                continue;
            scheduler::updateWorker(*node.m_scheduler, *announcement, node.m_now);
            ++used;
        }
        logEvent(LogLevel::Warning, "worker-copies-used", { { "workers", used }, { "copies", node.m_workerCopies.m_stored.size() }, { "token", node.m_term }, { "waited_ms", (node.m_now - node.m_workerCopies.m_waitingSince).m_ms } });
    }

    /** Compares all copies with what is announced. From now on changes of single workers are followed. */
    void keepCopies(CellNode& node)
    {
        WorkerCopies& copies = node.m_workerCopies;
        copies.m_isKept = true;
        if (std::exchange(copies.m_isRewriteDue, false))
            copies.m_stored.clear();
        for (const auto& [id, record] : copies.m_stored)
            noteWorkerChanged(node, id);
        for (const scheduler::Worker& worker : node.m_scheduler->m_workers)
            noteWorkerChanged(node, worker.m_announcement.m_id);
    }

} // namespace

void noteWorkerChanged(CellNode& node, const std::string& id)
{
    WorkerCopies& copies = node.m_workerCopies;
    if (!copies.m_isKept)
        return;
    const auto stored = copies.m_stored.find(id);
    const bool isCurrent = wantedCopy(node, id) == (stored == copies.m_stored.end() ? std::string() : stored->second);
    if (isCurrent) {
        copies.m_due.erase(id);
        return;
    }
    if (std::string_view(workerCopyPrefix).size() + id.size() > maxKeyBytes)
        return;
    copies.m_due.insert(id);
    if (!copies.m_dueSince)
        copies.m_dueSince = node.m_now;
}

void markWorkerCopiesDue(CellNode& node)
{
    node.m_workerCopies.m_isRewriteDue = true;
    if (node.m_workerCopies.m_isKept)
        keepCopies(node);
}

bool areWorkerCopiesDue(const CellNode& node)
{
    const WorkerCopies& copies = node.m_workerCopies;
    return copies.m_dueSince && node.m_now - *copies.m_dueSince >= maxCopyDelay;
}

std::vector<KeyedRecord> takeWorkerCopies(CellNode& node)
{
    WorkerCopies& copies = node.m_workerCopies;
    std::vector<KeyedRecord> records;
    std::set<std::string> postponed;
    std::size_t newCopies = 0;
    for (const std::string& id : std::exchange(copies.m_due, {})) {
        std::string record = wantedCopy(node, id);
        // A changed copy is written at once: a task that is placed at a new address must not be stored beside the old one.
        if (!copies.m_stored.contains(id) && ++newCopies > maxNewCopies) {
            postponed.insert(id);
            continue;
        }
        if (record.empty())
            copies.m_stored.erase(id);
        else
            copies.m_stored[id] = record;
        records.push_back({ .m_key = workerCopyPrefix + id, .m_value = std::move(record) });
    }
    copies.m_dueSince = postponed.empty() ? std::nullopt : std::optional(node.m_now);
    copies.m_due = std::move(postponed);
    return records;
}

void restoreWorkerCopy(CellNode& node, const std::string& key, const std::string& record)
{
    node.m_workerCopies.m_stored[key.substr(std::string_view(workerCopyPrefix).size())] = record;
}

void stepWorkerCopies(CellNode& node)
{
    WorkerCopies& copies = node.m_workerCopies;
    if (node.m_role != Role::Leading || copies.m_isKept)
        return;
    const bool areUsed = isListingLate(node) && !copies.m_stored.empty();
    if (!areUsed && !node.m_workersTail.m_isListingComplete)
        return;
    if (areUsed)
        useCopies(node);
    keepCopies(node);
}

} // namespace bulrushloft::cell::detail
