/** @file ownership_cmd.cpp Commands on the ownership of a shard. */
#include "process/ownership_cmd.h"

namespace bulrushloft {

Expected<void> claimShard(ShardState& state, const JournalEntry& entry, const ClaimRecord& record, Offset offset, CommandMode mode)
{
    if (record.m_supersedes != state.m_epoch)
        return fail(ErrorKind::Stale, "the claim of " + record.m_member + " supersedes term " + std::to_string(record.m_supersedes.m_value) + ", but the current term is " + std::to_string(state.m_epoch.m_value), "replay the journal and claim again if the shard has no live owner");
    if (mode == CommandMode::Test)
        return {};

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
