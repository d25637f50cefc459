/** @file cell_term.cpp The leader's term as a lease: asks members, keeps their list, and waits for earlier leaders to stop. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"
#include "process/cell/cell_func.h"
#include "process/scheduler/scheduler_func.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr Duration askInterval { 500 }; ///< Several questions fit into the time for which an answer counts.
    constexpr Duration listCheckInterval { 200 };
    constexpr Duration removalAfter { 10'000 }; ///< A member that is not heard of for so long leaves the list; longer than a restart takes.
    constexpr Duration reportInterval { 1'000 };

    /** @return Whether all earlier leaders have stopped renewing leases, so that the list may get members that they don't ask. */
    bool areEarlierTermsSettled(const CellNode& node)
    {
        return node.m_now >= node.m_termLease.m_earlierStoppedAt;
    }

    /** @return Whether the term before this one is that of the known former leader. */
    bool isDirectSuccessor(const CellNode& node)
    {
        return node.m_termLease.m_formerRecordsEnd + 1 == node.m_term;
    }

    /** @return By when leaders of terms before the former one have stopped, as the store and this daemon's own knowledge of the former term show; nothing if they don't. */
    std::optional<TimePoint> stopBeforeFormer(const CellNode& node)
    {
        const TermLease& lease = node.m_termLease;
        if (!isDirectSuccessor(node))
            return std::nullopt;
        if (lease.m_loadedList && lease.m_loadedList->m_settledTerm == lease.m_former.m_token)
            return TimePoint {};
        const auto knownFor = knownForOf(agesOf(node.m_begunTerms, node.m_now), lease.m_former.m_token);
        if (!knownFor)
            return std::nullopt;
        return node.m_now - *knownFor + earlierRenewalBound(lease.m_loadedList, node.m_options.m_self, node.m_options.m_termLease);
    }

    /** @return By when all earlier leaders have stopped because the former one is seen to have; nothing if others may go on, or the former one may. */
    std::optional<TimePoint> stopByFormer(const TermLease& lease)
    {
        if (!lease.m_formerStoppedAt || !lease.m_beforeFormerStoppedAt)
            return std::nullopt;
        return std::max(*lease.m_formerStoppedAt, *lease.m_beforeFormerStoppedAt);
    }

    /** Asks all listed members whether they know a later term, while the store shows nothing. */
    void askMembers(CellNode& node)
    {
        TermLease& lease = node.m_termLease;
        if (node.m_now < lease.m_nextAskAt || !isStoreEvidenceOld(lease.m_evidence, node.m_options.m_termLease, node.m_lastBootTime))
            return;
        lease.m_nextAskAt = node.m_now + askInterval;
        for (const auto& [id, askedAt] : lease.m_evidence.m_memberAskedAt) {
            const auto address = addressOfMember(id);
            if (!address)
                continue;
            callMember(node, *address, [&node, id = id, term = node.m_term, now = node.m_lastBootTime](const PeerHeartbeatAnswer& answer) {
                if (node.m_term == term && memberIdOf(answer.m_from) == id && answer.m_leader.m_token <= term)
                    noteMemberAnswer(node.m_termLease.m_evidence, id, now);
            });
        }
    }

    /** Logs, once a second, on what a leader goes on while the store shows nothing. */
    void reportEvidence(CellNode& node)
    {
        TermLease& lease = node.m_termLease;
        const TermEvidence& evidence = lease.m_evidence;
        const TimePoint now = node.m_lastBootTime;
        if (node.m_now < lease.m_nextReportAt || !isStoreEvidenceOld(evidence, node.m_options.m_termLease, now))
            return;
        lease.m_nextReportAt = node.m_now + reportInterval;
        const auto earlier = [](const auto& one, const auto& other) { return one.second < other.second; };
        const auto oldest = std::min_element(evidence.m_memberAskedAt.begin(), evidence.m_memberAskedAt.end(), earlier);
        const bool hasMembers = oldest != evidence.m_memberAskedAt.end();
        logEvent(LogLevel::Info, "leads-without-store", { { "token", node.m_term }, { "store_asked_ms_ago", (now - evidence.m_storeAskedAt).m_ms }, { "is_list_stored", evidence.m_isListStored }, { "members", evidence.m_memberAskedAt.size() }, { "oldest_member", hasMembers ? oldest->first : std::string() }, { "member_asked_ms_ago", hasMembers && oldest->second.m_ms > 0 ? (now - oldest->second).m_ms : -1 }, { "gives_orders", !node.m_isAwaitingConfirmation }, { "renewed_ms_ago", renewalAgeMs(node) } });
    }

    /** Takes it up that the store has confirmed a list: members that are not on it need not be asked any more. */
    void confirmMemberList(CellNode& node)
    {
        TermLease& lease = node.m_termLease;
        if (!lease.m_sentList || node.m_writer.m_confirmedBatch < lease.m_sentBatch)
            return;
        lease.m_storedList = *std::exchange(lease.m_sentList, std::nullopt);
        lease.m_evidence.m_isListStored = true;
        const std::vector<std::string>& members = lease.m_storedList.m_members;
        std::erase_if(lease.m_evidence.m_memberAskedAt, [&](const auto& entry) { return !std::binary_search(members.begin(), members.end(), entry.first); });
        logEvent(LogLevel::Info, "members-listed", { { "token", node.m_term }, { "members", members.size() }, { "settled_term", lease.m_storedList.m_settledTerm } });
    }

    /** @return The list as it should be: this VM, the peers that have been heard of, and listed members unless they have been silent for long. */
    MemberList makeMemberList(CellNode& node)
    {
        TermLease& lease = node.m_termLease;
        for (const auto& [name, peer] : node.m_peers) {
            if (peer.m_lastContactAt.m_ms > 0)
                lease.m_heardAt[memberIdOf(peer.m_member)] = peer.m_lastContactAt;
        }
        std::erase_if(lease.m_heardAt, [&](const auto& entry) { return node.m_now - entry.second > removalAfter; });
        MemberList list { .m_settledTerm = node.m_term, .m_members = { memberIdOf(node.m_options.m_self) } };
        for (const auto& [id, heardAt] : lease.m_heardAt)
            list.m_members.push_back(id);
        std::sort(list.m_members.begin(), list.m_members.end());
        return list;
    }

    /** Has the list written when members have joined or left. Not before earlier leaders have stopped: they don't ask those that join. */
    void updateMemberList(CellNode& node)
    {
        TermLease& lease = node.m_termLease;
        confirmMemberList(node);
        if (node.m_now < lease.m_nextListCheckAt || lease.m_sentList || !areEarlierTermsSettled(node))
            return;
        lease.m_nextListCheckAt = node.m_now + listCheckInterval;
        MemberList list = makeMemberList(node);
        if (list == lease.m_storedList)
            lease.m_dueList.reset();
        else
            lease.m_dueList = std::move(list);
    }

    /** Takes it up that earlier leaders have stopped sooner than was known. @param from The daemon that shows it. */
    void bringStopForward(CellNode& node, TimePoint stoppedAt, std::string_view event, const PeerMember& from)
    {
        TermLease& lease = node.m_termLease;
        if (stoppedAt >= lease.m_earlierStoppedAt)
            return;
        logEvent(LogLevel::Info, event, { { "token", node.m_term }, { "from", from.m_name }, { "earlier_by_ms", (lease.m_earlierStoppedAt - stoppedAt).m_ms }, { "stopped_ms_ago", (node.m_now - stoppedAt).m_ms } });
        lease.m_earlierStoppedAt = stoppedAt;
        scheduler::boundEarlierLeases(*node.m_scheduler, stoppedAt);
    }

    /** @return When leaders of terms before the given one had stopped, as a listed member shows that has known of terms for some time; nothing if it doesn't. */
    std::optional<TimePoint> stopShownBy(const CellNode& node, const std::vector<BegunTermAge>& terms, std::uint64_t token)
    {
        const auto knownFor = knownForOf(terms, token);
        return knownFor ? earlierStopShownBy(*knownFor, node.m_now, node.m_options.m_termLease) : std::nullopt;
    }

    /** @return Whether this leader has read the records of earlier terms but these may still go on. */
    bool isWaitingForEarlierTerms(const CellNode& node)
    {
        return node.m_role == Role::Leading && node.m_termLease.m_earlierStoppedAt != farFuture && !areEarlierTermsSettled(node);
    }

} // namespace

std::int64_t renewalAgeMs(const CellNode& node)
{
    const bool hasRenewed = node.m_scheduler && node.m_scheduler->m_leasesRenewedAt.m_ms > 0;
    return hasRenewed ? (node.m_now - node.m_scheduler->m_leasesRenewedAt).m_ms : -1;
}

void beginTermLease(CellNode& node, const LeaderClaim& former, std::uint64_t formerRecordsEnd)
{
    node.m_termLease = TermLease {};
    node.m_termLease.m_former = former;
    node.m_termLease.m_formerRecordsEnd = std::max(former.m_token, formerRecordsEnd);
    if (memberIdOf(former.m_member) == memberIdOf(node.m_options.m_self)) // An earlier process of this VM, or this one.
        node.m_termLease.m_formerStoppedAt = node.m_now;
}

void restoreMemberList(CellNode& node, const std::string& record)
{
    TermLease& lease = node.m_termLease;
    auto list = decodeMemberList(record);
    if (!list) {
        logEvent(LogLevel::Error, "member-list-unusable", { { "error", describe(list.error()) } });
        lease.m_loadedList = MemberList {}; // This VM counts as not listed, and nobody is asked.
        return;
    }
    for (const std::string& id : list->m_members) {
        if (id == memberIdOf(node.m_options.m_self))
            continue;
        lease.m_evidence.m_memberAskedAt.emplace(id, TimePoint {});
        lease.m_heardAt.emplace(id, node.m_now);
    }
    lease.m_evidence.m_isListStored = true;
    lease.m_storedList = *list;
    lease.m_loadedList = std::move(*list);
}

TimePoint boundEarlierTerms(CellNode& node)
{
    TermLease& lease = node.m_termLease;
    constexpr std::uint64_t firstTerm = 1;
    const Duration wait = node.m_term == firstTerm ? Duration {} : earlierRenewalBound(lease.m_loadedList, node.m_options.m_self, node.m_options.m_termLease);
    lease.m_earlierStoppedAt = lease.m_fencedAt + wait;
    lease.m_beforeFormerStoppedAt = stopBeforeFormer(node);
    if (const auto stoppedAt = stopByFormer(lease))
        lease.m_earlierStoppedAt = std::min(lease.m_earlierStoppedAt, *stoppedAt);
    logEvent(LogLevel::Info, "earlier-terms", { { "token", node.m_term }, { "former_token", lease.m_former.m_token }, { "former_leader", lease.m_former.m_member.m_name }, { "is_list_stored", lease.m_loadedList.has_value() }, { "listed", lease.m_loadedList ? lease.m_loadedList->m_members.size() : 0 }, { "is_self_listed", lease.m_loadedList && isListed(*lease.m_loadedList, memberIdOf(node.m_options.m_self)) }, { "settled_term", lease.m_loadedList ? lease.m_loadedList->m_settledTerm : 0 }, { "bound_ms", wait.m_ms }, { "former_alone_in_ms", lease.m_beforeFormerStoppedAt ? std::max((*lease.m_beforeFormerStoppedAt - node.m_now).m_ms, std::int64_t {}) : -1 }, { "has_former_stopped", lease.m_formerStoppedAt.has_value() }, { "stop_in_ms", (lease.m_earlierStoppedAt - node.m_now).m_ms } });
    return lease.m_earlierStoppedAt;
}

void noteFormerLeader(CellNode& node, const PeerMember& from, std::uint64_t knownToken)
{
    TermLease& lease = node.m_termLease;
    const bool hasTerm = node.m_role == Role::Leading || node.m_role == Role::Loading;
    if (!hasTerm || lease.m_formerStoppedAt || memberIdOf(from) != memberIdOf(lease.m_former.m_member) || knownToken < node.m_term)
        return;
    lease.m_formerStoppedAt = node.m_now;
    const auto stoppedAt = stopByFormer(lease);
    if (stoppedAt && isWaitingForEarlierTerms(node))
        bringStopForward(node, *stoppedAt, "former-leader-stopped", from);
}

void noteBegunTerms(CellNode& node, const PeerMember& from, const std::vector<BegunTermAge>& terms)
{
    for (const BegunTermAge& term : terms) {
        if (term.m_token <= node.m_leader.m_token)
            noteBegunTerm(node.m_begunTerms, term.m_token, node.m_now);
    }
    TermLease& lease = node.m_termLease;
    const bool wasAsked = !lease.m_loadedList || isListed(*lease.m_loadedList, memberIdOf(from));
    if (!wasAsked || !isWaitingForEarlierTerms(node))
        return;
    if (const auto stoppedAt = stopShownBy(node, terms, node.m_term))
        bringStopForward(node, *stoppedAt, "earlier-terms-stopped", from);
    const auto beforeFormer = isDirectSuccessor(node) ? stopShownBy(node, terms, lease.m_former.m_token) : std::nullopt;
    if (!beforeFormer)
        return;
    lease.m_beforeFormerStoppedAt = std::min(lease.m_beforeFormerStoppedAt.value_or(farFuture), *beforeFormer);
    if (const auto stoppedAt = stopByFormer(lease))
        bringStopForward(node, *stoppedAt, "former-leader-stopped", from);
}

void checkTermLease(CellNode& node)
{
    const TermEvidence& evidence = node.m_termLease.m_evidence;
    const TimePoint now = node.m_lastBootTime;
    if (node.m_role != Role::Leading || node.m_isAwaitingConfirmation || mayRenewLeases(evidence, node.m_options.m_termLease, now))
        return;
    logEvent(LogLevel::Warning, "term-lease-lapsed", { { "token", node.m_term }, { "store_asked_ms_ago", (now - evidence.m_storeAskedAt).m_ms }, { "proven_ms_ago", (now - provenAt(evidence, node.m_options.m_termLease)).m_ms }, { "members", evidence.m_memberAskedAt.size() }, { "renewed_ms_ago", renewalAgeMs(node) } });
    requireConfirmation(node);
}

void stepTermLease(CellNode& node)
{
    if (node.m_role != Role::Leading)
        return;
    reportEvidence(node);
    if (!isActiveLeader(node))
        return;
    askMembers(node);
    updateMemberList(node);
}

std::optional<KeyedRecord> copyMemberList(const CellNode& node)
{
    const TermLease& lease = node.m_termLease;
    if (!lease.m_sentList && !lease.m_evidence.m_isListStored)
        return std::nullopt;
    return KeyedRecord { .m_key = memberListKey, .m_value = encodeMemberList(lease.m_sentList.value_or(lease.m_storedList)) };
}

std::optional<KeyedRecord> takeMemberList(CellNode& node, std::uint64_t batch)
{
    TermLease& lease = node.m_termLease;
    if (!lease.m_dueList)
        return std::nullopt;
    lease.m_sentList = *std::exchange(lease.m_dueList, std::nullopt);
    lease.m_sentBatch = batch;
    // Asked from now on: the store may hold the list before it confirms it.
    for (const std::string& id : lease.m_sentList->m_members) {
        if (id != memberIdOf(node.m_options.m_self))
            lease.m_evidence.m_memberAskedAt.emplace(id, TimePoint {});
    }
    return KeyedRecord { .m_key = memberListKey, .m_value = encodeMemberList(*lease.m_sentList) };
}

} // namespace bulrushloft::cell::detail

namespace bulrushloft::cell {

void onPeerRefused(CellNode& node, const Address& address, TimePoint askedAt)
{
    if (node.m_role != Role::Leading)
        return;
    for (auto& [id, latestAskedAt] : node.m_termLease.m_evidence.m_memberAskedAt) {
        if (addressOfMember(id) == address)
            latestAskedAt = std::max(latestAskedAt, askedAt);
    }
}

} // namespace bulrushloft::cell
