/** @file queue_record.cpp Records of the policies of queues, from which a later leader goes on; see known_queue.h. */
#include "core/cbor.h"
#include "core/log_func.h"
#include "process/scheduler/scheduler_detail.h"
#include "request/queue_policy_codec.h"

#include <algorithm>

namespace bulrushloft::scheduler {

using Json = nlohmann::json;

namespace {

    constexpr int recordFormat = 1; ///< Format version of a record, its first element; incremented whenever the format changes.
    constexpr std::size_t maxNameBytes = 200; ///< A longer name makes no key: the store takes 255 bytes.

    std::string recordKey(const std::string& queue)
    {
        return queueRecordPrefix + queue;
    }

    KeyedRecord encodeQueue(const std::string& name, const QueuePolicy& policy)
    {
        const std::vector<std::uint8_t> bytes = Json::to_cbor(Json::array({ recordFormat, policy.m_pool, policyToJson(policy) }));
        return { .m_key = recordKey(name), .m_value = { bytes.begin(), bytes.end() } };
    }

    /** @throws std::exception if the record is malformed or of another format. */
    QueuePolicy decodeQueue(const std::string& record)
    {
        const Json root = decodeCbor(record);
        if (root.at(0) != recordFormat)
            throw std::out_of_range("unsupported format version " + root.at(0).dump());
        QueuePolicy policy = policyFromJson(root.at(2));
        policy.m_pool = root.at(1);
        return policy;
    }

    /** @return Whether a later leader may find a job open. */
    bool mayBeFoundOpen(const Scheduler& scheduler, const Job& job)
    {
        return !isFinal(job.m_stage) || job.m_stageBatch > scheduler.m_confirmedBatch;
    }

    /** @return Names of the queues with open jobs whose plans don't say what counts. */
    std::set<std::string> findQueuesToRecord(const Scheduler& scheduler)
    {
        std::set<std::string> names;
        for (const auto& [id, job] : scheduler.m_jobs) {
            const QueuePolicy& policy = detail::queuePolicyOf(*job);
            const bool isKnown = policy.m_version > 0 && job->m_plan.m_queue.size() <= maxNameBytes;
            if (isKnown && mayBeFoundOpen(scheduler, *job) && !detail::isSamePolicy(policy, job->m_plan.m_policy))
                names.insert(job->m_plan.m_queue);
        }
        return names;
    }

} // namespace

Expected<void> restoreQueue(Scheduler& scheduler, const std::string& key, const std::string& record)
{
    const std::string name = key.substr(std::string_view(queueRecordPrefix).size());
    try {
        const QueuePolicy policy = decodeQueue(record);
        detail::takePolicy(scheduler, name, policy);
        scheduler.m_queues[name].m_recordedVersion = policy.m_version;
        scheduler.m_areQueueRecordsDue = true;
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, "the record of queue " + name + " can't be decoded: " + error.what(), "run the same release on all daemons, and check whether another program writes to the topic");
    }
    return {};
}

namespace detail {

    void updateQueueRecords(Scheduler& scheduler)
    {
        if (!std::exchange(scheduler.m_areQueueRecordsDue, false))
            return;
        const std::set<std::string> needed = findQueuesToRecord(scheduler);
        for (auto& [name, queue] : scheduler.m_queues) {
            const bool isNeeded = needed.contains(name);
            if (isNeeded && queue.m_recordedVersion != queue.m_policy.m_version)
                scheduler.m_dueQueues.insert(name);
            const bool isObsolete = !isNeeded && queue.m_recordedVersion > 0 && !scheduler.m_areSubmissionsUnread; // An unread job may need it.
            if (isObsolete)
                scheduler.m_droppedKeys.push_back(recordKey(name));
            if (isObsolete)
                scheduler.m_dueQueues.erase(name);
            queue.m_recordedVersion = isNeeded ? queue.m_policy.m_version : isObsolete ? 0
                                                                                       : queue.m_recordedVersion;
        }
    }

    void renewQueueRecords(Scheduler& scheduler)
    {
        for (const auto& [name, queue] : scheduler.m_queues) {
            if (queue.m_recordedVersion > 0)
                scheduler.m_dueQueues.insert(name);
        }
    }

    std::vector<KeyedRecord> takeQueueRecords(Scheduler& scheduler)
    {
        std::vector<KeyedRecord> records;
        for (const std::string& name : std::exchange(scheduler.m_dueQueues, {}))
            records.push_back(encodeQueue(name, scheduler.m_queues[name].m_policy));
        return records;
    }

    std::vector<KeyedRecord> copyQueueRecords(const Scheduler& scheduler)
    {
        std::vector<KeyedRecord> records;
        for (const auto& [name, queue] : scheduler.m_queues) {
            if (queue.m_recordedVersion > 0)
                records.push_back(encodeQueue(name, queue.m_policy));
        }
        return records;
    }

} // namespace detail

} // namespace bulrushloft::scheduler
