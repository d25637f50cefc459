/** @file leadership_wait.cpp Log lines about a takeover that takes long. */
#include "process/cell/leadership_wait.h"

#include "core/log_func.h"
#include "process/cell/partition_silence.h"
#include "process/scheduler/wait_report.h"
#include "table/cell_table.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    constexpr Duration reportInterval { 1'000 };
    constexpr Duration adoptionWatch { 15'000 }; ///< How long after a takeover workers without an answer are reported; longer than any lease of an earlier term.

    LeadershipWait loadingWaitOf(const CellNode& node)
    {
        const std::vector<JournalLoad>& journals = node.m_load.m_journals;
        if (!std::all_of(journals.begin(), journals.end(), [](const JournalLoad& each) { return each.m_isFenced; }))
            return LeadershipWait::FenceUnanswered;
        const auto isRangeRead = [](const LoadRange& range) { return range.m_isRead; };
        const auto isRead = [&](const JournalLoad& each) { return !each.m_ranges.empty() && std::all_of(each.m_ranges.begin(), each.m_ranges.end(), isRangeRead); };
        return std::all_of(journals.begin(), journals.end(), isRead) ? LeadershipWait::JobsNotCaughtUp : LeadershipWait::PagesOutstanding;
    }

    LeadershipWait followerWaitOf(const CellNode& node)
    {
        if (!node.m_cluster)
            return LeadershipWait::ConfigurationUnknown;
        if (!node.m_isStoreReached)
            return LeadershipWait::StoreNotReached;
        return node.m_leaderTail.m_isListingComplete ? LeadershipWait::ClaimNotDue : LeadershipWait::LeaderTopicNotListed;
    }

    LeadershipWait leadingWaitOf(const CellNode& node)
    {
        if (!node.m_scheduler)
            return LeadershipWait::None;
        if (node.m_scheduler->m_areSubmissionsUnread)
            return LeadershipWait::SubmissionsUnread;
        return node.m_scheduler->m_isInitialLoad ? LeadershipWait::WorkersNotListed : LeadershipWait::None;
    }

    /** @return When the daemon began to wait for a leader, or for the answer to its claim, or to load, or to lead. */
    TimePoint waitingSince(const CellNode& node)
    {
        if (node.m_role == Role::Claiming)
            return node.m_sentClaim.m_firstSentAt;
        if (node.m_role == Role::Leading)
            return node.m_loadedAt;
        return node.m_role == Role::Loading ? node.m_load.m_startedAt : node.m_leaderMonitor.m_answeredAt;
    }

    void logWait(const CellNode& node, LeadershipWait wait)
    {
        std::size_t recordsRead = 0;
        std::ptrdiff_t outstanding = 0;
        std::uint32_t unanswered = 0;
        for (const JournalLoad& load : node.m_load.m_journals) {
            recordsRead += load.m_progress.size();
            outstanding += std::count_if(load.m_ranges.begin(), load.m_ranges.end(), [](const LoadRange& range) { return !range.m_isRead; });
            unanswered += load.m_isFenced ? 0 : load.m_fence.m_inFlight;
            for (const LoadRange& range : load.m_ranges)
                unanswered += range.m_call.m_inFlight;
        }
        const StorePartition awaited = awaitedPartition(node, wait);
        const OtherPartitions others = otherPartitions(node.m_storeTraffic, awaited, node.m_now);
        logEvent(LogLevel::Info, "leadership-waits", { { "for", findName(leadershipWaitNames, wait) }, { "waited_ms", (node.m_now - waitingSince(node)).m_ms }, { "token", node.m_term }, { "known_token", node.m_leader.m_token }, { "claims", node.m_counters.m_claims }, { "unanswered_calls", unanswered }, { "ranges_outstanding", outstanding }, { "records_read", recordsRead }, { "jobs_listed", node.m_jobsTail.m_isListingComplete }, { "jobs_next_offset", node.m_jobsTail.m_nextOffset }, { "jobs_calls_in_flight", node.m_jobsTail.m_call.m_inFlight }, { "jobs_last_call_ms_ago", (node.m_now - node.m_jobsTail.m_call.m_lastAttemptAt).m_ms }, { "store_last_answer_ms_ago", (node.m_now - node.m_storeLastContactAt).m_ms }, { "topic", awaited.m_topic }, { "part", awaited.m_partition }, { "topic_silent_ms", partitionSilence(node.m_storeTraffic, awaited, node.m_now).m_ms }, { "others_answering", others.m_answering }, { "others_silent", others.m_silent }, { "peers", node.m_peers.size() }, { "peers_newest_config", node.m_configFetch.m_newestVersion } });
    }

    /** @return Whether a leader waits for workers, which is then logged if due. */
    bool reportAdoption(const CellNode& node, bool isDue)
    {
        if (node.m_role != Role::Leading || node.m_now - node.m_loadedAt > adoptionWatch)
            return false;
        const scheduler::AdoptionState state = scheduler::findAdoptionState(*node.m_scheduler);
        if (node.m_workersTail.m_isListingComplete && state.m_new + state.m_silent == 0)
            return false;
        if (isDue)
            logEvent(LogLevel::Info, "workers-not-adopted", { { "token", node.m_term }, { "loaded_ms_ago", (node.m_now - node.m_loadedAt).m_ms }, { "are_listed", node.m_workersTail.m_isListingComplete }, { "workers", node.m_scheduler->m_workers.size() }, { "new", state.m_new }, { "silent", state.m_silent }, { "tasks", state.m_tasks }, { "leases_end_in_ms", state.m_tasks > 0 ? (state.m_leasesEndAt - node.m_now).m_ms : 0 } });
        return true;
    }

} // namespace

LeadershipWait leadershipWaitOf(const CellNode& node, bool isLeaderWanted)
{
    switch (node.m_role) {
    case Role::Follower:
        return isLeaderWanted && !node.m_isTerminating ? followerWaitOf(node) : LeadershipWait::None;
    case Role::Claiming:
        return LeadershipWait::ClaimUnanswered;
    case Role::Loading:
        return loadingWaitOf(node);
    case Role::Leading:
        return leadingWaitOf(node);
    }
    return LeadershipWait::None;
}

namespace {

    /** @return The first partition of the leader's records that has not been read. */
    std::uint32_t awaitedJournal(const CellNode& node)
    {
        const std::vector<JournalLoad>& journals = node.m_load.m_journals;
        const auto isRangeUnread = [](const LoadRange& range) { return !range.m_isRead; };
        const auto unread = std::find_if(journals.begin(), journals.end(), [&](const JournalLoad& each) { return each.m_ranges.empty() || std::any_of(each.m_ranges.begin(), each.m_ranges.end(), isRangeUnread); });
        return unread == journals.end() ? node.m_writerJournal : unread->m_partition;
    }

} // namespace

StorePartition awaitedPartition(const CellNode& node, LeadershipWait wait)
{
    switch (wait) {
    case LeadershipWait::ConfigurationUnknown:
        return node.m_operatorTail.m_partition;
    case LeadershipWait::LeaderTopicNotListed:
    case LeadershipWait::ClaimUnanswered:
        return node.m_leaderTail.m_partition;
    case LeadershipWait::FenceUnanswered:
    case LeadershipWait::PagesOutstanding:
        return { .m_topic = node.m_options.m_topics.m_progress, .m_partition = awaitedJournal(node) };
    case LeadershipWait::JobsNotCaughtUp:
    case LeadershipWait::SubmissionsUnread:
        return node.m_jobsTail.m_partition;
    case LeadershipWait::WorkersNotListed:
        return node.m_workersTail.m_partition;
    case LeadershipWait::None:
    case LeadershipWait::StoreNotReached:
    case LeadershipWait::ClaimNotDue:
        return {};
    }
    return {};
}

void reportLeadershipWait(CellNode& node, bool isLeaderWanted)
{
    const LeadershipWait wait = leadershipWaitOf(node, isLeaderWanted);
    const bool isFirst = node.m_nextWaitReportAt.m_ms == 0;
    const bool isDue = !isFirst && node.m_now >= node.m_nextWaitReportAt;
    const bool isWaiting = wait != LeadershipWait::None || reportAdoption(node, isDue);
    if (isDue && wait != LeadershipWait::None)
        logWait(node, wait);
    if (isDue || isFirst || !isWaiting) // What lasts less than an interval is not reported.
        node.m_nextWaitReportAt = node.m_now + reportInterval;
}

} // namespace bulrushloft::cell
