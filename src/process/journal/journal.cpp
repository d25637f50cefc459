/** @file journal.cpp Execution of journal entries. */
#include "process/journal/journal_func.h"

#include "core/invariant.h"
#include "process/journal/job_cmd.h"
#include "process/journal/ownership_cmd.h"
#include "process/journal/request_cmd.h"
#include "request/job_func.h"
#include "table/journal_table.h"

namespace bulrushloft {

namespace {

    /** What a command needs besides the state and its record. */
    struct RecordContext {
        const JournalEntry& m_entry;
        Offset m_offset;
        CommandMode m_mode;
    };

    Expected<void> execute(ShardState& state, const RecordContext& context, const Record& record)
    {
        const TimePoint wall = context.m_entry.m_wall;
        if (const auto* claim = std::get_if<ClaimRecord>(&record))
            return claimShard(state, context.m_entry, *claim, context.m_offset, context.m_mode);
        if (std::holds_alternative<ReleaseRecord>(record))
            return releaseShard(state, context.m_mode);
        if (const auto* accept = std::get_if<AcceptJobRecord>(&record))
            return acceptJob(state, *accept, wall, context.m_mode);
        if (const auto* placement = std::get_if<PlaceRecord>(&record))
            return placeTasks(state, *placement, context.m_mode);
        if (const auto* outcomes = std::get_if<OutcomeRecord>(&record))
            return recordOutcomes(state, *outcomes, wall, context.m_mode);
        if (const auto* cancel = std::get_if<CancelJobRecord>(&record))
            return cancelJob(state, *cancel, wall, context.m_mode);
        if (const auto* intent = std::get_if<IntendRequestRecord>(&record))
            return recordRequestIntent(state, *intent, wall, context.m_mode);
        if (const auto* finish = std::get_if<FinishRequestRecord>(&record))
            return finishRequest(state, *finish, wall, context.m_mode);
        if (std::holds_alternative<FencedRecord>(record))
            return fenceFormerOwners(state, context.m_mode);
        if (std::holds_alternative<KeepaliveRecord>(record))
            return {};
        return removeExpired(state, std::get<ExpireRecord>(record), context.m_mode);
    }

    bool isClaim(const JournalEntry& entry)
    {
        return entry.m_records.size() == 1 && std::holds_alternative<ClaimRecord>(entry.m_records.front());
    }

    EntryVerdict verdictOf(const ShardState& state, const JournalEntry& entry)
    {
        if (isClaim(entry))
            return std::get<ClaimRecord>(entry.m_records.front()).m_supersedes == state.m_epoch ? EntryVerdict::Applied : EntryVerdict::Superseded;
        const bool isCurrent = entry.m_epoch == state.m_epoch && entry.m_writer == state.m_owner && state.m_epoch.m_value != 0;
        if (!isCurrent || state.m_isReleased)
            return EntryVerdict::Superseded;
        return entry.m_sequence > state.m_lastSequence ? EntryVerdict::Applied : EntryVerdict::Duplicate;
    }

} // namespace

std::string_view nameOf(EntryVerdict verdict)
{
    return findName(entryVerdictNames, verdict);
}

EntryResult applyEntry(ShardState& state, const JournalEntry& entry, Offset offset, TimePoint logTime)
{
    BULRUSH_INVARIANT(offset == state.m_next, "journal entries are applied in log order");
    state.m_next = Offset { offset.m_value + 1 };
    EntryResult result { .m_verdict = verdictOf(state, entry), .m_results = {} };
    if (result.m_verdict != EntryVerdict::Applied)
        return result;
    state.m_lastSequence = entry.m_sequence;
    for (const Record& record : entry.m_records) {
        const bool isMisplacedClaim = std::holds_alternative<ClaimRecord>(record) && !isClaim(entry);
        if (isMisplacedClaim)
            result.m_results.push_back(fail(ErrorKind::InvalidInput, "the claim shares its entry with other records", "append a claim as an entry of its own"));
        else
            result.m_results.push_back(execute(state, { entry, offset, CommandMode::Execute }, record));
    }
    // Updated last, because a claim stores the time of the preceding entry, since which the former owner has written nothing.
    state.m_lastEntryLogTime = logTime;
    return result;
}

EntryResult skipMalformedEntry(ShardState& state, Offset offset)
{
    BULRUSH_INVARIANT(offset == state.m_next, "journal entries are applied in log order");
    state.m_next = Offset { offset.m_value + 1 };
    return { .m_verdict = EntryVerdict::Malformed, .m_results = {} };
}

Expected<void> testRecord(const ShardState& state, const Record& record)
{
    const JournalEntry entry;
    // In test mode commands don't change the state, so the cast lets testing and execution share one function.
    return execute(const_cast<ShardState&>(state), { entry, state.m_next, CommandMode::Test }, record);
}

Expected<void> checkConsistency(const ShardState& state)
{
    const auto mismatch = [&state](const std::string& message) {
        return fail(ErrorKind::Internal, "shard " + state.m_shard + ": " + message, "report this error with the journal of the shard");
    };
    for (const auto& [number, job] : state.m_jobs) {
        const auto byKey = state.m_jobByKey.find(job.m_spec.m_key);
        if (byKey == state.m_jobByKey.end() || byKey->second != number)
            return mismatch("the key of job " + std::to_string(number.m_value) + " is missing from the key cache");
        if (number >= state.m_nextJob)
            return mismatch("job " + std::to_string(number.m_value) + " has a number that has not been assigned yet");
        if (job.m_tasks.empty() && stateOf(job) == JobState::Done)
            continue;
        std::array<std::uint32_t, taskStateCount> counts {};
        for (const TaskRecord& task : job.m_tasks)
            ++counts[static_cast<std::size_t>(task.m_state)];
        if (counts != job.m_counts)
            return mismatch("the task counts of job " + std::to_string(number.m_value) + " differ from its tasks");
    }
    if (state.m_jobByKey.size() != state.m_jobs.size())
        return mismatch("the key cache and the set of jobs differ in size");
    for (WorkerIndex index = 0; index < state.m_workerNames.size(); ++index) {
        const auto byName = state.m_workerByName.find(state.m_workerNames[index]);
        if (byName == state.m_workerByName.end() || byName->second != index)
            return mismatch("worker " + state.m_workerNames[index] + " is missing from the name cache");
    }
    return {};
}

} // namespace bulrushloft
