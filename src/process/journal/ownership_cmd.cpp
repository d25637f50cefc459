/** @file ownership_cmd.cpp Commands that change the owner of a shard. */
#include "process/journal/ownership_cmd.h"

namespace bulrushloft {

namespace {

    constexpr std::size_t maxFormerOwners = 64;

    /** Adds the owner whose term ends to the former owners, because it may not have noticed yet. */
    void addFormerOwner(ShardState& state)
    {
        if (state.m_epoch.m_value == 0)
            return;
        std::erase_if(state.m_formerOwners, [&state](const FormerOwner& former) { return former.m_instance == state.m_owner; });
        state.m_formerOwners.push_back({ .m_instance = state.m_owner, .m_member = state.m_ownerMember, .m_address = state.m_ownerAddress, .m_hasReleased = state.m_isReleased, .m_lastEntryLogTime = state.m_lastEntryLogTime });
        if (state.m_formerOwners.size() > maxFormerOwners)
            state.m_formerOwners.erase(state.m_formerOwners.begin());
    }

} // namespace

Expected<void> fenceFormerOwners(ShardState& state, CommandMode mode)
{
    if (mode == CommandMode::Execute)
        state.m_formerOwners.clear();
    return {};
}

Expected<void> claimShard(ShardState& state, const JournalEntry& entry, const ClaimRecord& record, Offset offset, CommandMode mode)
{
    if (record.m_supersedes != state.m_epoch)
        return fail(ErrorKind::Stale, "the claim by " + record.m_member + " supersedes term " + std::to_string(record.m_supersedes.m_value) + ", but the current term is " + std::to_string(state.m_epoch.m_value), "replay the journal and claim again if the shard has no live owner");
    if (mode == CommandMode::Test)
        return {};

    addFormerOwner(state);
    state.m_epoch = Epoch { offset.m_value + 1 };
    state.m_owner = entry.m_writer;
    state.m_ownerMember = record.m_member;
    state.m_ownerAddress = record.m_address;
    state.m_isReleased = false;
    state.m_lastSequence = entry.m_sequence;
    return {};
}

Expected<void> releaseShard(ShardState& state, CommandMode mode)
{
    if (mode == CommandMode::Execute)
        state.m_isReleased = true;
    return {};
}

} // namespace bulrushloft
