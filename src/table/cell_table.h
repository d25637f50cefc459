/** @file cell_table.h Text names of the cell's enum values. */
#pragma once

#include "core/enum_table.h"
#include "process/cell/leadership_wait.h"

namespace bulrushloft::cell {

constexpr std::array<EnumName<LeadershipWait>, 11> leadershipWaitNames { {
    { LeadershipWait::None, "nothing" },
    { LeadershipWait::ConfigurationUnknown, "configuration" },
    { LeadershipWait::StoreNotReached, "store" },
    { LeadershipWait::LeaderTopicNotListed, "listing-of-claims" },
    { LeadershipWait::ClaimNotDue, "turn-to-claim" },
    { LeadershipWait::ClaimUnanswered, "answer-to-claim" },
    { LeadershipWait::FenceUnanswered, "answer-to-fence" },
    { LeadershipWait::PagesOutstanding, "records" },
    { LeadershipWait::JobsNotCaughtUp, "end-of-jobs" },
    { LeadershipWait::SubmissionsUnread, "end-of-jobs-while-leading" },
    { LeadershipWait::WorkersNotListed, "listing-of-workers" },
} };

} // namespace bulrushloft::cell
