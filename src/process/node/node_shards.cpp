/** @file node_shards.cpp Takes over, keeps and hands over shards. */
#include "process/node/node_detail.h"

#include "core/hash_func.h"
#include "core/log_func.h"
#include "process/journal/journal_func.h"
#include "process/node/member_func.h"
#include "process/owner/owner_func.h"
#include "process/owner/ownership_func.h"

#include <algorithm>

namespace bulrushloft::detail {

namespace {

    constexpr Duration claimDelay { 300 }; ///< Time without an owner before the first-ranked candidate takes over; each further rank adds four times as much.
    constexpr Duration takeoverTimeout { 20'000 };
    constexpr Duration retryDelay { 200 };
    constexpr Duration ownerTimeout { 4'000 }; ///< Time since the owner's latest journal entry after which a shard can be claimed from an owner without heartbeats.
    constexpr Duration isolationTimeout { 3'000 }; ///< An owner without contact to a majority for longer releases the shard.
    constexpr Duration yieldInterval { 60'000 }; ///< Shortest time between two releases of a shard for isolation.
    constexpr Duration yieldDelay { 3'000 }; ///< Extra delay before this daemon takes over a shard that it has recently released for isolation.
    constexpr Duration firstSnapshotDelay { 500 };
    constexpr Duration releaseWait { 1'000 }; ///< Time that a successor gets to load the shard before it is released; also how long a journal read waits for the release.
    constexpr Duration handoverRetryInterval { 3'000 }; ///< Time after which a successor is chosen and asked again.
    constexpr std::uint64_t ownerTicketBase = 1ULL << 40; ///< Owners' tickets start here so that they differ from the node's.

    std::string journalStream(const std::string& shard) { return "journal." + shard; }
    std::string snapshotStream(const std::string& shard) { return "snapshot." + shard; }

    std::uint32_t countOwned(const Heartbeat& heartbeat)
    {
        return static_cast<std::uint32_t>(heartbeat.m_shards.size());
    }

    /** @return Number of shards that this daemon owns or is taking over. */
    std::uint32_t countOwnedHere(const Node& node)
    {
        return static_cast<std::uint32_t>(std::count_if(node.m_shards.begin(), node.m_shards.end(), [](const auto& slot) { return slot.second.m_role != ShardRole::Idle; }));
    }

    std::vector<OwnerCandidate> listCandidates(const Node& node, bool includesSelf, TimePoint now)
    {
        std::vector<OwnerCandidate> candidates;
        for (const auto& [name, member] : node.m_members) {
            if (isAlive(member, now) && member.m_lastHeartbeat.m_state == MemberState::Ready)
                candidates.push_back({ .m_member = name, .m_ownedCount = countOwned(member.m_lastHeartbeat) });
        }
        if (includesSelf)
            candidates.push_back({ .m_member = node.m_options.m_member, .m_ownedCount = countOwnedHere(node) });
        return candidates;
    }

    std::size_t rankOf(const Node& node, const std::string& shard, TimePoint now)
    {
        const std::vector<std::string> ranked = rankCandidates(shard, listCandidates(node, true, now));
        const auto found = std::find(ranked.begin(), ranked.end(), node.m_options.m_member);
        return static_cast<std::size_t>(found - ranked.begin());
    }

    void beginLoading(ShardSlot& slot, TimePoint now)
    {
        slot.m_role = ShardRole::LoadingSnapshot;
        slot.m_assembler = {};
        slot.m_snapshotNext = {};
        slot.m_state = {};
        slot.m_state.m_shard = slot.m_name;
        slot.m_isReadInFlight = false;
        slot.m_isAppendInFlight = false;
        slot.m_claimBytes.clear();
        slot.m_retryAt = now;
        slot.m_takeoverDeadline = now + takeoverTimeout;
        logEvent(LogLevel::Info, "shard-loading", { { "shard", slot.m_name } });
    }

    void abandonTakeover(ShardSlot& slot, std::string_view reason)
    {
        logEvent(LogLevel::Info, "takeover-abandoned", { { "shard", slot.m_name }, { "reason", reason } });
        slot.m_role = ShardRole::Idle;
        slot.m_isTakeoverRequested = false;
        slot.m_ownerlessSince = {};
        slot.m_state = {};
        slot.m_assembler = {};
    }

    void read(ShardSlot& slot, const std::string& stream, Offset from, Duration waitFor, std::uint64_t& lastTicket, Effects& effects)
    {
        slot.m_isReadInFlight = true;
        slot.m_ticket = ++lastTicket;
        effects.m_reads.push_back({ .m_stream = stream, .m_from = from, .m_waitFor = waitFor, .m_ticket = slot.m_ticket });
    }

    void stepIdle(Node& node, ShardSlot& slot, TimePoint now)
    {
        if (slot.m_isTakeoverRequested)
            return beginLoading(slot, now);
        if (findOwner(node.m_members, slot.m_name, now)) {
            slot.m_ownerlessSince = {};
            return;
        }
        if (slot.m_ownerlessSince.m_ms == 0)
            slot.m_ownerlessSince = now;
        const bool hasYieldedRecently = slot.m_yieldedAt.m_ms != 0 && now - slot.m_yieldedAt < yieldInterval;
        const Duration delay = claimDelay * static_cast<std::int64_t>(rankOf(node, slot.m_name, now) * 4 + 1) + (hasYieldedRecently ? yieldDelay : Duration {});
        if (now - slot.m_ownerlessSince >= delay)
            beginLoading(slot, now);
    }

    bool isOwnerAlive(const Node& node, const ShardState& state, TimePoint now)
    {
        const auto member = node.m_members.find(state.m_ownerMember);
        return member != node.m_members.end() && isAlive(member->second, now) && member->second.m_lastHeartbeat.m_instance == state.m_owner;
    }

    void beginClaim(Node& node, ShardSlot& slot, TimePoint now)
    {
        const ShardState& state = slot.m_state;
        JournalEntry entry { .m_epoch = {}, .m_writer = node.m_options.m_instance, .m_sequence = 1, .m_wall = toWall(now, node.m_options.m_owner.m_wallOffset) };
        entry.m_records.emplace_back(ClaimRecord { .m_member = node.m_options.m_member, .m_address = node.m_options.m_address, .m_supersedes = state.m_epoch });
        slot.m_claimBytes = encodeEntry(entry);
        slot.m_role = ShardRole::Claiming;
        slot.m_retryAt = now;
    }

    /** @return Whether the process of the shard's last owner is known to have ended. */
    bool isOwnerStopped(const Node& node, const ShardState& state)
    {
        if (state.m_ownerMember == node.m_options.m_member)
            return true;
        const bool isListedAsGone = std::any_of(node.m_vms.m_vms.begin(), node.m_vms.m_vms.end(), [&state](const VmInfo& vm) { return vm.m_name == state.m_ownerMember && vm.m_state == VmState::Gone; });
        const auto member = node.m_members.find(state.m_ownerMember);
        if (isListedAsGone || member == node.m_members.end())
            return isListedAsGone;
        return member->second.m_lastHeartbeat.m_instance > state.m_owner || (member->second.m_refusesConnections && member->second.m_lastHeartbeat.m_instance == state.m_owner);
    }

    /**
     * Called when the journal has been replayed to its end. Claims the shard if the last term is over, or if a majority of the
     * daemons is in contact and neither heartbeats nor recent journal entries show that the owner is alive. Otherwise abandons the
     * takeover, or keeps reading the journal until the owner releases the shard or times out.
     */
    void decideClaim(Node& node, ShardSlot& slot, TimePoint logNow, TimePoint now, Effects& effects)
    {
        const ShardState& state = slot.m_state;
        const bool isTermOver = state.m_epoch.m_value == 0 || state.m_isReleased || isOwnerStopped(node, state);
        const bool isSilent = node.m_hasMajority && !isOwnerAlive(node, state, now) && logNow - state.m_lastEntryLogTime >= ownerTimeout;
        if (isTermOver || isSilent)
            return beginClaim(node, slot, now);
        const bool mayStillTimeOut = !isOwnerAlive(node, state, now);
        if (!slot.m_isTakeoverRequested && !mayStillTimeOut)
            return abandonTakeover(slot, "its owner is alive");
        if (!slot.m_isTakeoverRequested && findOwner(node.m_members, slot.m_name, now))
            return abandonTakeover(slot, "another daemon owns it");
        read(slot, journalStream(slot.m_name), slot.m_state.m_next, releaseWait, node.m_lastTicket, effects);
    }

    void sendClaim(Node& node, ShardSlot& slot, Effects& effects)
    {
        slot.m_isAppendInFlight = true;
        slot.m_ticket = ++node.m_lastTicket;
        effects.m_appends.push_back({ .m_stream = journalStream(slot.m_name), .m_bytes = slot.m_claimBytes, .m_ticket = slot.m_ticket });
    }

    /** Marks the former owners whose processes are already known to have ended. */
    void markStoppedFormerOwners(const Node& node, ShardOwner& owner, TimePoint now)
    {
        for (const FormerOwnerState& formerState : std::vector<FormerOwnerState>(owner.m_formerOwnerStates)) {
            const FormerOwner& former = formerState.m_former;
            const auto member = node.m_members.find(former.m_member);
            const bool isReplaced = member != node.m_members.end() && member->second.m_lastHeartbeat.m_instance > former.m_instance;
            const bool refusesConnections = member != node.m_members.end() && member->second.m_refusesConnections && member->second.m_lastHeartbeat.m_instance == former.m_instance;
            if (former.m_member == node.m_options.m_member || isReplaced || refusesConnections)
                markFormerOwnerStopped(owner, former.m_instance, now);
        }
    }

    void becomeOwner(Node& node, ShardSlot& slot, TimePoint now)
    {
        slot.m_role = ShardRole::Owning;
        slot.m_isTakeoverRequested = false;
        slot.m_ownerlessSince = {};
        OwnerOptions options = node.m_options.m_owner;
        slot.m_owner = std::make_unique<ShardOwner>(makeOwner(options, std::move(slot.m_state), node.m_policy, now));
        slot.m_state = {};
        slot.m_owner->m_lastTicket = ownerTicketBase;
        setVmList(*slot.m_owner, node.m_vms, now);
        markStoppedFormerOwners(node, *slot.m_owner, now);
        slot.m_writer = {};
        // The entries before the takeover may be close to the end of the log's retention, so the first snapshot is written soon.
        slot.m_writer.m_nextAt = now + firstSnapshotDelay;
        node.m_nextHeartbeatAt = now;
        logEvent(LogLevel::Info, "shard-owned", { { "shard", slot.m_name }, { "epoch", slot.m_owner->m_state.m_epoch.m_value }, { "former_owners", slot.m_owner->m_formerOwnerStates.size() }, { "jobs", slot.m_owner->m_state.m_jobs.size() } });
    }

    void retire(Node& node, ShardSlot& slot)
    {
        logEvent(LogLevel::Info, "shard-ownership-ended", { { "shard", slot.m_name }, { "epoch", slot.m_owner->m_state.m_epoch.m_value }, { "released", slot.m_owner->m_isReleasing ? 1 : 0 } });
        node.m_retiredOwners.push_back(std::move(slot.m_owner));
        slot.m_role = ShardRole::Idle;
        slot.m_ownerlessSince = {};
        slot.m_writer = {};
        node.m_nextHeartbeatAt = {};
    }

    /** Asks a successor to load the shard, and releases the shard once the successor has had time to load it, or at once if there is no candidate. */
    void stepHandover(Node& node, ShardSlot& slot, TimePoint now, Effects& effects)
    {
        if (slot.m_successor.empty() || (now - slot.m_successorAskedAt > handoverRetryInterval && !slot.m_owner->m_isReleasing)) {
            const std::vector<std::string> ranked = rankCandidates(slot.m_name, listCandidates(node, false, now));
            slot.m_successorAskedAt = now;
            if (ranked.empty()) {
                beginRelease(*slot.m_owner, effects);
                slot.m_successor = "nobody";
                return;
            }
            slot.m_successor = ranked.front();
            effects.m_shardTakeovers.push_back({ .m_to = node.m_members.at(slot.m_successor).m_lastHeartbeat.m_address, .m_shard = slot.m_name });
            return;
        }
        if (now - slot.m_successorAskedAt >= releaseWait)
            beginRelease(*slot.m_owner, effects);
    }

    void stepSnapshot(Node& node, ShardSlot& slot, TimePoint now, Effects& effects)
    {
        SnapshotWriter& writer = slot.m_writer;
        const bool isIdle = writer.m_nextEntry >= writer.m_entries.size() && !writer.m_isInFlight;
        if (isIdle && now >= writer.m_nextAt && !slot.m_owner->m_isReleasing) {
            const std::uint64_t id = stableHash(slot.m_name, node.m_options.m_instance.m_value) ^ slot.m_owner->m_state.m_next.m_value;
            writer.m_entries = splitSnapshot(id, encodeShardState(slot.m_owner->m_state));
            writer.m_covered = slot.m_owner->m_state.m_next;
            writer.m_nextEntry = 0;
        }
        stepSnapshotWriter(writer, snapshotStream(slot.m_name), node.m_lastTicket, now, effects);
    }

    /** Releases the shard when this daemon reaches the log but not a majority of its peers, so that a better connected daemon takes over. */
    void stepIsolation(ShardSlot& slot, TimePoint now, Effects& effects)
    {
        const ShardOwner& owner = *slot.m_owner;
        const bool isIsolated = owner.m_hasSilentPeer && !owner.m_hasMajority && now - owner.m_lastFullReadAt < isolationTimeout;
        if (!isIsolated)
            slot.m_isolatedSince = {};
        else if (slot.m_isolatedSince.m_ms == 0)
            slot.m_isolatedSince = now;
        const bool hasYieldedRecently = slot.m_yieldedAt.m_ms != 0 && now - slot.m_yieldedAt < yieldInterval;
        if (!isIsolated || now - slot.m_isolatedSince < isolationTimeout || hasYieldedRecently)
            return;
        slot.m_yieldedAt = now;
        logEvent(LogLevel::Warning, "shard-yielded", { { "shard", slot.m_name }, { "reason", "no heartbeats from a majority of the daemons" } });
        beginRelease(*slot.m_owner, effects);
    }

    void stepOwning(Node& node, ShardSlot& slot, TimePoint now, Effects& effects)
    {
        if (slot.m_owner->m_isTermOver)
            return retire(node, slot);
        stepIsolation(slot, now, effects);
        if (node.m_memberState == MemberState::Leaving)
            stepHandover(node, slot, now, effects);
        stepSnapshot(node, slot, now, effects);
    }

    void stepSlot(Node& node, ShardSlot& slot, TimePoint now, Effects& effects)
    {
        const bool isTakingOver = slot.m_role != ShardRole::Idle && slot.m_role != ShardRole::Owning;
        const bool mayTakeOver = node.m_memberState == MemberState::Ready;
        if (isTakingOver && slot.m_role != ShardRole::Claiming && (!mayTakeOver || now >= slot.m_takeoverDeadline))
            return abandonTakeover(slot, "the takeover timed out or the daemon is leaving");
        switch (slot.m_role) {
        case ShardRole::Idle:
            if (mayTakeOver)
                stepIdle(node, slot, now);
            return;
        case ShardRole::LoadingSnapshot:
            if (!slot.m_isReadInFlight && now >= slot.m_retryAt)
                read(slot, snapshotStream(slot.m_name), slot.m_snapshotNext, {}, node.m_lastTicket, effects);
            return;
        case ShardRole::Replaying:
            if (!slot.m_isReadInFlight && now >= slot.m_retryAt)
                read(slot, journalStream(slot.m_name), slot.m_state.m_next, {}, node.m_lastTicket, effects);
            return;
        case ShardRole::Claiming:
            if (!slot.m_isAppendInFlight && !slot.m_isReadInFlight && now >= slot.m_retryAt)
                sendClaim(node, slot, effects);
            return;
        case ShardRole::Owning:
            return stepOwning(node, slot, now, effects);
        }
    }

    void onSnapshotRead(ShardSlot& slot, const LogReadAnswer& answer, TimePoint now)
    {
        for (const LogEntry& entry : answer.m_entries) {
            addSnapshotEntry(slot.m_assembler, entry.m_bytes);
            slot.m_snapshotNext = Offset { entry.m_offset.m_value + 1 };
        }
        slot.m_snapshotNext = std::max(slot.m_snapshotNext, answer.m_oldest);
        slot.m_retryAt = now;
        if (slot.m_snapshotNext < answer.m_end)
            return;
        if (!slot.m_assembler.m_complete.empty()) {
            auto state = decodeShardState(slot.m_assembler.m_complete);
            if (state && state->m_shard == slot.m_name)
                slot.m_state = std::move(*state);
            else
                logEvent(LogLevel::Error, "snapshot-unusable", { { "shard", slot.m_name }, { "error", state ? "it belongs to another shard" : describe(state.error()) } });
        }
        slot.m_assembler = {};
        slot.m_role = ShardRole::Replaying;
    }

    void replay(ShardSlot& slot, const LogReadAnswer& answer)
    {
        for (const LogEntry& read : answer.m_entries) {
            if (read.m_offset != slot.m_state.m_next)
                continue;
            const auto entry = decodeEntry(read.m_bytes);
            if (entry)
                applyEntry(slot.m_state, *entry, read.m_offset, read.m_time);
            else
                skipMalformedEntry(slot.m_state, read.m_offset);
        }
    }

    void onJournalRead(Node& node, ShardSlot& slot, const LogReadAnswer& answer, TimePoint now, Effects& effects)
    {
        if (answer.m_oldest > slot.m_state.m_next) {
            logEvent(LogLevel::Error, "journal-gap", { { "shard", slot.m_name }, { "oldest", answer.m_oldest.m_value }, { "expected", slot.m_state.m_next.m_value }, { "remedy", "check that snapshots of the shard are written within the log's retention; see docs/OPERATIONS.md" } });
            return abandonTakeover(slot, "the log has dropped entries that no snapshot covers");
        }
        const Epoch before = slot.m_state.m_epoch;
        replay(slot, answer);
        slot.m_retryAt = now;
        if (slot.m_role == ShardRole::Claiming) {
            const bool isOwnClaim = slot.m_state.m_owner == node.m_options.m_instance && slot.m_state.m_epoch != before;
            if (isOwnClaim)
                return becomeOwner(node, slot, now);
            if (slot.m_state.m_epoch != before)
                return abandonTakeover(slot, "another daemon claimed it first");
            slot.m_retryAt = now + retryDelay;
            return;
        }
        if (slot.m_state.m_next >= answer.m_end)
            decideClaim(node, slot, answer.m_now, now, effects);
    }

} // namespace

void stepShards(Node& node, TimePoint now, Effects& effects)
{
    for (const std::string& name : listShards(*node.m_policy))
        node.m_shards[name].m_name = name;
    for (auto& [name, slot] : node.m_shards)
        stepSlot(node, slot, now, effects);
    std::erase_if(node.m_retiredOwners, [](const auto& retired) { return !hasWaitingCallers(*retired); });
}

bool onShardAppend(Node& node, const AppendEffect& sent, const LogAppendResult& result, TimePoint now, Effects& effects)
{
    for (auto& [name, slot] : node.m_shards) {
        if (sent.m_stream == snapshotStream(name)) {
            onWriterResult(slot.m_writer, sent.m_ticket, result.has_value(), now);
            if (slot.m_owner && slot.m_writer.m_nextEntry >= slot.m_writer.m_entries.size() && !slot.m_writer.m_entries.empty()) {
                slot.m_writer.m_entries.clear();
                slot.m_writer.m_nextEntry = 0;
                slot.m_writer.m_nextAt = now + node.m_policy->m_limits.m_snapshotInterval;
            }
            return true;
        }
        if (sent.m_stream != journalStream(name))
            continue;
        if (slot.m_owner) {
            onAppendResult(*slot.m_owner, sent.m_ticket, result, now, effects);
        } else if (slot.m_role == ShardRole::Claiming && slot.m_ticket == sent.m_ticket) {
            slot.m_isAppendInFlight = false;
            read(slot, sent.m_stream, slot.m_state.m_next, {}, node.m_lastTicket, effects);
        }
        return true;
    }
    return false;
}

bool onShardRead(Node& node, const ReadEffect& sent, const LogReadResult& result, TimePoint now, Effects& effects)
{
    for (auto& [name, slot] : node.m_shards) {
        const bool isJournal = sent.m_stream == journalStream(name);
        if (!isJournal && sent.m_stream != snapshotStream(name))
            continue;
        if (slot.m_owner) {
            if (isJournal)
                onReadResult(*slot.m_owner, sent.m_ticket, result, now, effects);
            return true;
        }
        if (!slot.m_isReadInFlight || slot.m_ticket != sent.m_ticket)
            return true;
        slot.m_isReadInFlight = false;
        if (!result)
            slot.m_retryAt = now + retryDelay;
        else if (slot.m_role == ShardRole::LoadingSnapshot)
            onSnapshotRead(slot, *result, now);
        else if (slot.m_role != ShardRole::Idle)
            onJournalRead(node, slot, *result, now, effects);
        return true;
    }
    return false;
}

} // namespace bulrushloft::detail

namespace bulrushloft {

void onTakeShard(Node& node, const std::string& shard, TimePoint now)
{
    const auto slot = node.m_shards.find(shard);
    if (slot == node.m_shards.end() || node.m_memberState != MemberState::Ready)
        return;
    slot->second.m_isTakeoverRequested = true;
    slot->second.m_takeoverDeadline = now + detail::takeoverTimeout;
}

} // namespace bulrushloft
