/** @file snapshot.cpp Encoding of snapshots as CBOR. */
#include "process/journal/snapshot_func.h"

#include "process/journal/codec_enum.h"
#include "process/journal/codec_func.h"
#include "process/journal/journal_func.h"

namespace bulrushloft {

using Json = nlohmann::json;

namespace {

    constexpr unsigned formatVersion = 1;
    constexpr std::size_t maxPartBytes = 128 * 1024;
    constexpr unsigned requestStateCount = 5;

    Json encodeTask(const TaskRecord& task)
    {
        return Json::array({ static_cast<unsigned>(task.m_state), task.m_mayHaveRun, task.m_failures, task.m_attempt, task.m_worker, encodeResources(task.m_grant) });
    }

    TaskRecord decodeTask(const Json& row)
    {
        TaskRecord task;
        task.m_state = decodeEnum<TaskState>(row.at(0), taskStateCount);
        task.m_mayHaveRun = row.at(1);
        task.m_failures = row.at(2);
        task.m_attempt = row.at(3);
        task.m_worker = row.at(4);
        task.m_grant = decodeResources(row.at(5));
        return task;
    }

    Json encodeJob(const Job& job)
    {
        Json tasks = Json::array();
        for (const TaskRecord& task : job.m_tasks)
            tasks.push_back(encodeTask(task));
        return Json::array({ job.m_number.m_value, encodeSpec(job.m_spec), job.m_acceptedWall.m_ms, job.m_endedWall.m_ms, job.m_acceptedEpoch.m_value,
            job.m_isCancelRequested, job.m_isAbandoned, std::move(tasks), job.m_failedWorkers, job.m_counts });
    }

    Job decodeJob(const Json& row)
    {
        Job job;
        job.m_number.m_value = row.at(0);
        job.m_spec = decodeSpec(row.at(1));
        job.m_acceptedWall.m_ms = row.at(2);
        job.m_endedWall.m_ms = row.at(3);
        job.m_acceptedEpoch.m_value = row.at(4);
        job.m_isCancelRequested = row.at(5);
        job.m_isAbandoned = row.at(6);
        for (const Json& task : row.at(7))
            job.m_tasks.push_back(decodeTask(task));
        job.m_failedWorkers = row.at(8).get<std::vector<WorkerIndex>>();
        job.m_counts = row.at(9);
        return job;
    }

    Json encodeJobs(const ShardState& state)
    {
        Json jobs = Json::array();
        for (const auto& [number, job] : state.m_jobs)
            jobs.push_back(encodeJob(job));
        return jobs;
    }

    Json encodeRequests(const ShardState& state)
    {
        Json requests = Json::array();
        for (const auto& [key, request] : state.m_requests)
            requests.push_back(Json::array({ key, static_cast<unsigned>(request.m_state), request.m_digest, request.m_runner, request.m_dispatch, request.m_wall.m_ms }));
        return requests;
    }

    Json encodeHistories(const ShardState& state)
    {
        Json histories = Json::array();
        for (const auto& [key, history] : state.m_usage) {
            Json samples = Json::array();
            for (const UsageSample& sample : history.m_samples)
                samples.push_back(Json::array({ sample.m_cpuPermille, sample.m_memoryPermille, sample.m_runTime.m_ms }));
            histories.push_back(Json::array({ key, std::move(samples), history.m_count, history.m_outOfMemoryPermille }));
        }
        return histories;
    }

    void decodeHistories(const Json& rows, ShardState& state)
    {
        for (const Json& row : rows) {
            UsageHistory& history = state.m_usage[row.at(0)];
            for (std::size_t i = 0; i < estimateSampleCount; ++i) {
                const Json& sample = row.at(1).at(i);
                history.m_samples.at(i) = { .m_cpuPermille = sample.at(0), .m_memoryPermille = sample.at(1), .m_runTime = { sample.at(2) } };
            }
            history.m_count = row.at(2);
            history.m_outOfMemoryPermille = row.at(3);
        }
    }

    void decodeRequests(const Json& rows, ShardState& state)
    {
        for (const Json& row : rows) {
            state.m_requests[row.at(0)] = { .m_state = decodeEnum<RequestState>(row.at(1), requestStateCount), .m_digest = row.at(2), .m_runner = row.at(3), .m_dispatch = row.at(4), .m_wall = { row.at(5) } };
        }
    }

    Json encodeFormerOwners(const ShardState& state)
    {
        Json formerOwners = Json::array();
        for (const FormerOwner& former : state.m_formerOwners)
            formerOwners.push_back(Json::array({ former.m_instance.m_value, former.m_member, former.m_address.m_host, former.m_address.m_port, former.m_hasReleased, former.m_lastEntryLogTime.m_ms }));
        return formerOwners;
    }

    void decodeFormerOwners(const Json& rows, ShardState& state)
    {
        for (const Json& row : rows)
            state.m_formerOwners.push_back({ .m_instance = { row.at(0).get<std::uint64_t>() }, .m_member = row.at(1), .m_address = { row.at(2), row.at(3) }, .m_hasReleased = row.at(4), .m_lastEntryLogTime = { row.at(5) } });
    }

    ShardState decodeState(const Json& root)
    {
        ShardState state;
        state.m_shard = root.at(1);
        state.m_next.m_value = root.at(2);
        state.m_epoch.m_value = root.at(3);
        state.m_owner.m_value = root.at(4);
        state.m_ownerMember = root.at(5);
        state.m_ownerAddress.m_host = root.at(6);
        state.m_ownerAddress.m_port = root.at(7);
        state.m_isReleased = root.at(8);
        state.m_lastSequence = root.at(9);
        state.m_lastEntryLogTime.m_ms = root.at(10);
        state.m_nextJob.m_value = root.at(11);
        state.m_requestsRetainedSince.m_ms = root.at(12);
        state.m_workerNames = root.at(13).get<std::vector<std::string>>();
        for (const Json& row : root.at(14)) {
            Job job = decodeJob(row);
            state.m_jobByKey[job.m_spec.m_key] = job.m_number;
            state.m_jobs.emplace(job.m_number, std::move(job));
        }
        decodeRequests(root.at(15), state);
        decodeHistories(root.at(16), state);
        decodeFormerOwners(root.at(17), state);
        for (WorkerIndex index = 0; index < state.m_workerNames.size(); ++index)
            state.m_workerByName[state.m_workerNames[index]] = index;
        return state;
    }

} // namespace

std::string encodeShardState(const ShardState& state)
{
    const Json root = Json::array({ formatVersion, state.m_shard, state.m_next.m_value, state.m_epoch.m_value, state.m_owner.m_value,
        state.m_ownerMember, state.m_ownerAddress.m_host, state.m_ownerAddress.m_port, state.m_isReleased, state.m_lastSequence,
        state.m_lastEntryLogTime.m_ms, state.m_nextJob.m_value, state.m_requestsRetainedSince.m_ms, state.m_workerNames, encodeJobs(state),
        encodeRequests(state), encodeHistories(state), encodeFormerOwners(state) });
    std::string bytes;
    Json::to_cbor(root, bytes);
    return bytes;
}

Expected<ShardState> decodeShardState(std::string_view bytes)
{
    try {
        const Json root = Json::from_cbor(bytes);
        if (root.at(0).get<unsigned>() != formatVersion)
            return fail(ErrorKind::InvalidInput, "unsupported snapshot format version " + root.at(0).dump(), "run the release that wrote the snapshot");
        ShardState state = decodeState(root);
        if (auto checked = checkConsistency(state); !checked)
            return tl::unexpected(checked.error());
        return state;
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, std::string("the snapshot can't be decoded: ") + error.what(), "the journal is replayed without the snapshot");
    }
}

std::vector<std::string> splitSnapshot(std::uint64_t id, const std::string& bytes)
{
    const std::size_t count = bytes.size() / maxPartBytes + 1;
    std::vector<std::string> entries;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string part = bytes.substr(index * maxPartBytes, maxPartBytes);
        std::string entry;
        Json::to_cbor(Json::array({ id, index, count, Json::binary(std::vector<std::uint8_t>(part.begin(), part.end())) }), entry);
        entries.push_back(std::move(entry));
    }
    return entries;
}

void addSnapshotEntry(SnapshotAssembler& assembler, std::string_view bytes)
{
    try {
        const Json root = Json::from_cbor(bytes);
        const auto id = root.at(0).get<std::uint64_t>();
        const auto index = root.at(1).get<std::size_t>();
        const auto count = root.at(2).get<std::size_t>();
        const Json::binary_t& part = root.at(3).get_binary();
        if (index == 0) {
            assembler.m_id = id;
            assembler.m_parts.clear();
        }
        if (id != assembler.m_id || index != assembler.m_parts.size())
            return;
        assembler.m_parts.emplace_back(part.begin(), part.end());
        if (assembler.m_parts.size() < count)
            return;
        assembler.m_complete.clear();
        for (const std::string& piece : assembler.m_parts)
            assembler.m_complete += piece;
        assembler.m_parts.clear();
    } catch (const std::exception&) {
        return;
    }
}

} // namespace bulrushloft
