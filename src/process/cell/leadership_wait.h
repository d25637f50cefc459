/** @file leadership_wait.h Tells what a daemon waits for that wants to lead, or leads and waits for its workers or for a topic. */
#pragma once

#include "process/cell/cell_base.h"

namespace bulrushloft::cell {

/** What a daemon waits for that could lead, or leads. */
enum class LeadershipWait : std::uint8_t {
    None, ///< It leads and lacks nothing, or another daemon leads.
    ConfigurationUnknown, ///< No configuration is known.
    StoreNotReached, ///< The store does not answer this daemon.
    LeaderTopicNotListed, ///< The claims have not been listed.
    ClaimNotDue, ///< Candidates with a better rank claim first.
    ClaimUnanswered, ///< The claim is unanswered.
    FenceUnanswered, ///< The append that fences earlier terms is unanswered.
    PagesOutstanding, ///< Records of earlier terms have not been read.
    JobsNotCaughtUp, ///< The topic of jobs has not been read to its end.
    SubmissionsUnread, ///< It leads, but the topic of jobs has not been read to its end.
    WorkersNotListed, ///< It leads, but the announcements of workers have not been listed, so that it places nothing on workers that it does not know.
};

/** @return What a daemon waits for. @param isLeaderWanted Whether no leader is known, or the known one is suspected to have failed. */
LeadershipWait leadershipWaitOf(const CellNode& node, bool isLeaderWanted);

/** @return The partition of the store that a wait is for; its topic is empty when the wait is not for one. */
StorePartition awaitedPartition(const CellNode& node, LeadershipWait wait);

/** Logs, once a second, what a daemon without a leader waits for, and, for some time after a takeover, the workers that have not answered the new leader. */
void reportLeadershipWait(CellNode& node, bool isLeaderWanted);

} // namespace bulrushloft::cell
