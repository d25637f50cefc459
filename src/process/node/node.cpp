/** @file node.cpp Periodic work of the node, tracking of its peers, and handling of events. */
#include "process/node/node_detail.h"

#include "core/log_func.h"
#include "process/node/member_func.h"
#include "process/owner/owner_func.h"
#include "process/owner/ownership_func.h"
#include "version/settings_func.h"

#include <algorithm>
#include <set>

namespace bulrushloft {

namespace {

    constexpr Duration timerInterval { 50 };
    constexpr Duration probeInterval { 500 };
    constexpr Duration contactTimeout { 2'300 }; ///< A peer silent for longer counts as out of contact.
    constexpr Duration memberRetention { 60'000 }; ///< A peer silent for longer no longer counts as a member when the majority is determined.
    constexpr Duration recentTermPeriod { 10'000 }; ///< How long heartbeats announce a new term.
    constexpr Duration pauseThreshold { 1'000 }; ///< A longer gap between steps is treated as a pause of the process.
    constexpr Duration pauseRecoveryTime { 2'500 }; ///< Longest time after a pause during which owners start no new work.
    constexpr std::size_t snapshotRetryDelayMs = 1'000; ///< Delay before a snapshot is restarted after a failed append.

    Heartbeat makeHeartbeat(Node& node, TimePoint now)
    {
        Heartbeat heartbeat;
        heartbeat.m_cell = node.m_options.m_cell;
        heartbeat.m_member = node.m_options.m_member;
        heartbeat.m_instance = node.m_options.m_instance;
        heartbeat.m_sequence = ++node.m_heartbeatSequence;
        heartbeat.m_address = node.m_options.m_address;
        heartbeat.m_zone = node.m_options.m_zone;
        heartbeat.m_state = node.m_memberState;
        heartbeat.m_settingsVersion = node.m_settings.m_version;
        for (const auto& [name, slot] : node.m_shards) {
            if (slot.m_owner && !slot.m_owner->m_isTermOver)
                heartbeat.m_shards.push_back({ .m_shard = name, .m_epoch = slot.m_owner->m_state.m_epoch });
        }
        for (const auto& [name, term] : node.m_knownTerms) {
            if (now - term.m_receivedAt < recentTermPeriod)
                heartbeat.m_recentTerms.push_back({ .m_shard = name, .m_epoch = term.m_epoch });
        }
        return heartbeat;
    }

    /** Records a term announced by a peer; heartbeats repeat recent terms so that an owner learns of its successor through third daemons too. */
    void updateKnownTerm(Node& node, const OwnedShard& owned, TimePoint now)
    {
        KnownTerm& known = node.m_knownTerms[owned.m_shard];
        if (owned.m_epoch > known.m_epoch)
            known = { .m_epoch = owned.m_epoch, .m_receivedAt = now };
        const auto slot = node.m_shards.find(owned.m_shard);
        ShardOwner* const owner = slot == node.m_shards.end() ? nullptr : slot->second.m_owner.get();
        if (owner && owned.m_epoch > owner->m_state.m_epoch)
            requireFreshRead(*owner);
    }

    std::vector<Address> listPeers(const Node& node, TimePoint now)
    {
        std::set<Address> peers(node.m_options.m_seeds.begin(), node.m_options.m_seeds.end());
        for (const VmInfo& vm : node.m_vms.m_vms) {
            if (vm.m_role == VmRole::Entry && vm.m_state != VmState::Gone)
                peers.insert(vm.m_address);
        }
        for (const auto& [name, member] : node.m_members) {
            if (isAlive(member, now))
                peers.insert(member.m_lastHeartbeat.m_address);
        }
        peers.erase(node.m_options.m_address);
        return { peers.begin(), peers.end() };
    }

    void stepHeartbeats(Node& node, TimePoint now, Effects& effects)
    {
        if (now < node.m_nextHeartbeatAt)
            return;
        node.m_nextHeartbeatAt = now + node.m_options.m_heartbeatInterval;
        effects.m_heartbeats.push_back({ .m_to = listPeers(node, now), .m_bytes = encodeHeartbeat(makeHeartbeat(node, now)) });
    }

    /** @return Whether the owner of some shard here still needs proof that this member, a former owner, has stopped. */
    bool needsStopProof(const Node& node, const std::string& member)
    {
        return std::any_of(node.m_shards.begin(), node.m_shards.end(), [&member](const auto& slot) {
            const ShardOwner* const owner = slot.second.m_owner.get();
            return owner && std::any_of(owner->m_formerOwnerStates.begin(), owner->m_formerOwnerStates.end(), [&member](const FormerOwnerState& formerState) { return formerState.m_former.m_member == member && !formerState.m_isStopped; });
        });
    }

    /** Probes whether a process still listens at the addresses of silent peers; a refused connection proves that it has ended. */
    void stepProbes(Node& node, TimePoint now, Effects& effects)
    {
        if (now < node.m_nextProbeAt)
            return;
        node.m_nextProbeAt = now + probeInterval;
        for (const auto& [name, member] : node.m_members) {
            const bool isSilent = now - member.m_receivedAt > node.m_options.m_heartbeatInterval * 3 / 2;
            if (isSilent && (!member.m_refusesConnections || needsStopProof(node, name)) && (isAlive(member, now) || needsStopProof(node, name)))
                effects.m_peerProbes.push_back({ .m_member = name, .m_instance = member.m_lastHeartbeat.m_instance, .m_address = member.m_lastHeartbeat.m_address });
        }
    }

    /** Updates what the owners know of their peers: whether any peer is silent, so that it may have claimed a shard unnoticed, and whether a majority of the daemons is in contact. */
    void stepContact(Node& node, TimePoint now)
    {
        std::size_t known = 1;
        std::size_t inContact = 1;
        for (const auto& [name, member] : node.m_members) {
            const bool isExpired = member.m_refusesConnections || now - member.m_receivedAt > memberRetention;
            if (isExpired)
                continue;
            ++known;
            inContact += now - member.m_receivedAt < contactTimeout ? 1 : 0;
        }
        node.m_hasMajority = inContact * 2 > known;
        for (auto& [name, slot] : node.m_shards) {
            if (slot.m_owner)
                setPeerContact(*slot.m_owner, inContact < known, node.m_hasMajority);
        }
    }

    void stepReadiness(Node& node, TimePoint now)
    {
        if (node.m_memberState != MemberState::Starting)
            return;
        const bool isSettled = now - node.m_startedAt >= node.m_options.m_settleTime;
        if (!isSettled || !node.m_hasVmList || !node.m_settingsReader.m_isCaughtUp)
            return;
        const bool isBehind = std::any_of(node.m_members.begin(), node.m_members.end(), [&](const auto& member) {
            return isAlive(member.second, now) && member.second.m_lastHeartbeat.m_settingsVersion > node.m_settings.m_version;
        });
        if (isBehind)
            return;
        node.m_memberState = MemberState::Ready;
        node.m_nextHeartbeatAt = now;
        logEvent(LogLevel::Info, "ready", { { "member", node.m_options.m_member }, { "settings_version", node.m_settings.m_version } });
    }

    /** Marks a member's processes up to and including the given instance as stopped, for all owners here; a stopped former owner renews no leases, so they expire. */
    void markProcessStopped(Node& node, const std::string& member, InstanceId upTo, TimePoint now)
    {
        for (auto& [name, slot] : node.m_shards) {
            ShardOwner* const owner = slot.m_owner.get();
            if (!owner)
                continue;
            for (const FormerOwnerState& formerState : std::vector<FormerOwnerState>(owner->m_formerOwnerStates)) {
                if (formerState.m_former.m_member == member && formerState.m_former.m_instance <= upTo)
                    markFormerOwnerStopped(*owner, formerState.m_former.m_instance, now);
            }
        }
    }

    template <typename Handle>
    void withOwner(Node& node, const std::string& shard, Handle handle)
    {
        const auto slot = node.m_shards.find(shard);
        if (slot != node.m_shards.end() && slot->second.m_owner)
            handle(*slot->second.m_owner);
    }

} // namespace

Node makeNode(const NodeOptions& options, TimePoint now)
{
    Node node;
    node.m_options = options;
    node.m_options.m_owner.m_instance = options.m_instance;
    node.m_options.m_owner.m_member = options.m_member;
    node.m_startedAt = now;
    node.m_policy = std::make_shared<Policy>();
    return node;
}

void detectPause(Node& node, TimePoint now)
{
    // After a pause the VM list may be outdated and the owner's term may have ended. No new work is started until the platform has confirmed the list,
    // for at most pauseRecoveryTime, and none without a record until the journal has been read.
    const bool wasPaused = node.m_lastStepAt.m_ms != 0 && now - node.m_lastStepAt > pauseThreshold;
    node.m_lastStepAt = now;
    for (auto& [name, slot] : node.m_shards) {
        ShardOwner* const owner = slot.m_owner.get();
        if (!owner)
            continue;
        if (wasPaused) {
            owner->m_pausedUntil = now + pauseRecoveryTime;
            requireFreshRead(*owner);
        } else if (node.m_vmListConfirmedAt > owner->m_pausedUntil - pauseRecoveryTime) {
            owner->m_pausedUntil = {};
        }
    }
}

void step(Node& node, TimePoint now, Effects& effects)
{
    detectPause(node, now);
    for (auto& [name, slot] : node.m_shards) {
        if (slot.m_owner)
            step(*slot.m_owner, now, effects);
    }
    if (now >= node.m_nextTimersAt) {
        node.m_nextTimersAt = now + timerInterval;
        stepReadiness(node, now);
        detail::stepSettings(node, now, effects);
        detail::stepShards(node, now, effects);
        stepHeartbeats(node, now, effects);
        stepProbes(node, now, effects);
        stepContact(node, now);
    }
    detail::stepCalls(node, now, effects);
    detail::completeCalls(node, now, effects);
}

TimePoint nextDeadline(const Node& node, TimePoint now)
{
    TimePoint next = node.m_nextTimersAt;
    if (!node.m_callTimers.empty())
        next = std::min(next, node.m_callTimers.begin()->first);
    for (const auto& [name, slot] : node.m_shards) {
        if (slot.m_owner)
            next = std::min(next, nextDeadline(*slot.m_owner, now));
    }
    return std::max(next, now);
}

void onAppendResult(Node& node, const AppendEffect& sent, const LogAppendResult& result, TimePoint now, Effects& effects)
{
    if (!detail::onSettingsAppend(node, sent, result, now))
        detail::onShardAppend(node, sent, result, now, effects);
    detail::completeCalls(node, now, effects);
}

void onReadResult(Node& node, const ReadEffect& sent, const LogReadResult& result, TimePoint now, Effects& effects)
{
    if (!detail::onSettingsRead(node, sent, result, now, effects))
        detail::onShardRead(node, sent, result, now, effects);
    detail::completeCalls(node, now, effects);
}

void onVmListUnchanged(Node& node, TimePoint now)
{
    node.m_vmListConfirmedAt = now;
}

void onVmList(Node& node, VmList list, TimePoint now)
{
    node.m_hasVmList = true;
    node.m_vmListConfirmedAt = now;
    if (list.m_version < node.m_vms.m_version)
        return;
    node.m_vms = std::move(list);
    for (auto& [name, slot] : node.m_shards) {
        if (slot.m_owner)
            setVmList(*slot.m_owner, node.m_vms, now);
    }
}

void onHeartbeat(Node& node, const Heartbeat& heartbeat, TimePoint now)
{
    if (heartbeat.m_cell != node.m_options.m_cell || heartbeat.m_member == node.m_options.m_member)
        return;
    const HeartbeatOutcome outcome = applyHeartbeat(node.m_members, heartbeat, now);
    if (outcome == HeartbeatOutcome::Ignored)
        return;
    if (outcome == HeartbeatOutcome::NewInstance)
        markProcessStopped(node, heartbeat.m_member, InstanceId { heartbeat.m_instance.m_value - 1 }, now);
    for (const OwnedShard& owned : heartbeat.m_shards)
        updateKnownTerm(node, owned, now);
    for (const OwnedShard& owned : heartbeat.m_recentTerms)
        updateKnownTerm(node, owned, now);
    for (auto& [name, slot] : node.m_shards) {
        // A peer whose heartbeat does not list the shard no longer acts as its owner.
        const bool isOwnedByPeer = std::any_of(heartbeat.m_shards.begin(), heartbeat.m_shards.end(), [&name = name](const OwnedShard& owned) { return owned.m_shard == name; });
        if (slot.m_owner && !isOwnedByPeer)
            markFormerOwnerStopped(*slot.m_owner, heartbeat.m_instance, now);
    }
}

void onPeerConnectionRefused(Node& node, const ProbePeerEffect& sent, TimePoint now)
{
    const auto found = node.m_members.find(sent.m_member);
    if (found != node.m_members.end() && found->second.m_lastHeartbeat.m_instance == sent.m_instance) {
        if (!found->second.m_refusesConnections)
            logEvent(LogLevel::Warning, "member-refuses-connections", { { "member", sent.m_member } });
        found->second.m_refusesConnections = true;
    }
    markProcessStopped(node, sent.m_member, sent.m_instance, now);
}

void onWorkerAdopted(Node& node, const AdoptWorkerEffect& sent, const EndpointResult<AdoptWorkerAnswer>& result, TimePoint now, TimePoint sentAt)
{
    withOwner(node, sent.m_link.m_shard, [&](ShardOwner& owner) { onWorkerAdopted(owner, sent, result, now, sentAt); });
}

void onWorkerSynced(Node& node, const SyncWorkerEffect& sent, const EndpointResult<SyncWorkerAnswer>& result, TimePoint now)
{
    withOwner(node, sent.m_link.m_shard, [&](ShardOwner& owner) { onWorkerSynced(owner, sent, result, now); });
}

void onRunnerAdopted(Node& node, const AdoptRunnerEffect& sent, const EndpointResult<RunnerReport>& result, TimePoint now, TimePoint sentAt, Effects& effects)
{
    withOwner(node, sent.m_link.m_shard, [&](ShardOwner& owner) { onRunnerAdopted(owner, sent, result, now, sentAt, effects); });
    detail::completeCalls(node, now, effects);
}

void onRunnerProbed(Node& node, const ProbeRunnerEffect& sent, const EndpointResult<RunnerReport>& result, TimePoint now, TimePoint sentAt, Effects& effects)
{
    withOwner(node, sent.m_link.m_shard, [&](ShardOwner& owner) { onRunnerProbed(owner, sent, result, now, sentAt, effects); });
    detail::completeCalls(node, now, effects);
}

void onDispatchAnswered(Node& node, const std::string& shard, const std::string& dispatch, const EndpointResult<DispatchAnswer>& result, TimePoint now, Effects& effects)
{
    withOwner(node, shard, [&](ShardOwner& owner) { onDispatchAnswered(owner, dispatch, result, now, effects); });
    for (const auto& retired : node.m_retiredOwners) {
        if (retired->m_state.m_shard == shard)
            onDispatchAnswered(*retired, dispatch, result, now, effects);
    }
    detail::completeCalls(node, now, effects);
}

void beginShutdown(Node& node)
{
    node.m_memberState = MemberState::Leaving;
    node.m_nextHeartbeatAt = {};
}

bool isShutdownComplete(const Node& node)
{
    const bool ownsNothing = std::all_of(node.m_shards.begin(), node.m_shards.end(), [](const auto& slot) { return !slot.second.m_owner; });
    return ownsNothing && node.m_retiredOwners.empty() && node.m_calls.empty();
}

Expected<void> checkNode(const Node& node)
{
    for (const auto& [name, slot] : node.m_shards) {
        if (!slot.m_owner)
            continue;
        if (auto checked = checkOwner(*slot.m_owner); !checked)
            return checked;
    }
    return {};
}

namespace detail {

    bool isFirstMember(const Node& node, TimePoint now)
    {
        return std::none_of(node.m_members.begin(), node.m_members.end(), [&](const auto& member) {
            return member.first < node.m_options.m_member && isAlive(member.second, now) && member.second.m_lastHeartbeat.m_state == MemberState::Ready;
        });
    }

    void stepSnapshotWriter(SnapshotWriter& writer, const std::string& stream, std::uint64_t& lastTicket, TimePoint now, Effects& effects)
    {
        if (writer.m_isInFlight || writer.m_nextEntry >= writer.m_entries.size() || now < writer.m_nextAt)
            return;
        writer.m_isInFlight = true;
        writer.m_ticket = ++lastTicket;
        effects.m_appends.push_back({ .m_stream = stream, .m_bytes = writer.m_entries[writer.m_nextEntry], .m_ticket = writer.m_ticket });
    }

    void onWriterResult(SnapshotWriter& writer, std::uint64_t ticket, bool isConfirmed, TimePoint now)
    {
        if (!writer.m_isInFlight || writer.m_ticket != ticket)
            return;
        writer.m_isInFlight = false;
        if (!isConfirmed) {
            // The failed append may still have stored the part, and a retry would store it twice; the snapshot is restarted so that readers find a complete one.
            writer.m_nextEntry = 0;
            writer.m_nextAt = now + Duration { static_cast<std::int64_t>(snapshotRetryDelayMs) };
            return;
        }
        ++writer.m_nextEntry;
    }

} // namespace detail

} // namespace bulrushloft
