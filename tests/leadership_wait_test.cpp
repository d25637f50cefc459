/** @file leadership_wait_test.cpp What a daemon waits for that wants to lead. */
#define BOOST_TEST_MODULE leadership_wait
#include <boost/test/unit_test.hpp>

#include "process/cell/leadership_wait.h"
#include "table/cell_table.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;

namespace {

void checkWait(const CellNode& node, LeadershipWait expected, bool isLeaderWanted = true)
{
    BOOST_TEST(findName(leadershipWaitNames, leadershipWaitOf(node, isLeaderWanted)) == findName(leadershipWaitNames, expected));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_daemon_that_wants_to_claim_waits_for_the_configuration_then_the_store_then_the_claims)
{
    CellNode node;
    checkWait(node, LeadershipWait::ConfigurationUnknown);
    node.m_cluster = std::make_shared<const ClusterSettings>();
    checkWait(node, LeadershipWait::StoreNotReached);
    node.m_isStoreReached = true;
    checkWait(node, LeadershipWait::LeaderTopicNotListed);
    node.m_leaderTail.m_isListingComplete = true;
    checkWait(node, LeadershipWait::ClaimNotDue);
    node.m_role = Role::Claiming;
    checkWait(node, LeadershipWait::ClaimUnanswered);
}

BOOST_AUTO_TEST_CASE(a_daemon_waits_for_nothing_while_another_leads_or_it_ends)
{
    CellNode node;
    checkWait(node, LeadershipWait::None, false);
    node.m_isTerminating = true;
    checkWait(node, LeadershipWait::None);
    node.m_role = Role::Leading;
    checkWait(node, LeadershipWait::None);
}

BOOST_AUTO_TEST_CASE(a_new_leader_waits_for_the_fence_then_the_records_then_the_submissions)
{
    CellNode node;
    node.m_role = Role::Loading;
    checkWait(node, LeadershipWait::FenceUnanswered);
    node.m_load.m_isFenced = true;
    checkWait(node, LeadershipWait::PagesOutstanding);
    node.m_load.m_ranges = { { .m_isRead = true }, { .m_isRead = false } };
    checkWait(node, LeadershipWait::PagesOutstanding);
    node.m_load.m_ranges.back().m_isRead = true;
    checkWait(node, LeadershipWait::JobsNotCaughtUp);
}

BOOST_AUTO_TEST_CASE(a_leader_that_has_not_read_all_submissions_waits_for_them)
{
    CellNode node;
    node.m_role = Role::Leading;
    node.m_scheduler = std::make_unique<scheduler::Scheduler>();
    node.m_scheduler->m_isInitialLoad = false;
    checkWait(node, LeadershipWait::None);
    node.m_scheduler->m_areSubmissionsUnread = true;
    checkWait(node, LeadershipWait::SubmissionsUnread);
}

// Once a leader had led for 15 s, no line said any more that it still knew no announcements.
BOOST_AUTO_TEST_CASE(a_leader_that_has_not_listed_the_workers_waits_for_them)
{
    CellNode node;
    node.m_role = Role::Leading;
    node.m_scheduler = std::make_unique<scheduler::Scheduler>();
    checkWait(node, LeadershipWait::WorkersNotListed);
    node.m_scheduler->m_areSubmissionsUnread = true;
    checkWait(node, LeadershipWait::SubmissionsUnread); // It comes first, as it holds up more.
}

BOOST_AUTO_TEST_CASE(a_wait_is_reported_once_a_second_and_not_within_the_first)
{
    CellNode node;
    node.m_now = { 10'000 };
    reportLeadershipWait(node, true);
    BOOST_TEST(node.m_nextWaitReportAt.m_ms == 11'000);
    node.m_now = { 10'500 };
    reportLeadershipWait(node, true);
    BOOST_TEST(node.m_nextWaitReportAt.m_ms == 11'000);
    reportLeadershipWait(node, false); // A leader is known again; the next wait is counted from its beginning.
    BOOST_TEST(node.m_nextWaitReportAt.m_ms == 11'500);
    node.m_now = { 11'500 };
    reportLeadershipWait(node, true);
    BOOST_TEST(node.m_nextWaitReportAt.m_ms == 12'500);
}

BOOST_AUTO_TEST_CASE(each_wait_for_the_store_names_its_partition)
{
    CellNode node;
    const CellTopics topics { .m_operator = "operator", .m_workers = "workers" };
    node.m_options.m_topics = topics;
    node.m_operatorTail.m_partition = { .m_topic = topics.m_operator };
    node.m_leaderTail.m_partition = { .m_topic = topics.m_leader };
    node.m_jobsTail.m_partition = { .m_topic = topics.m_jobs };
    node.m_workersTail.m_partition = { .m_topic = topics.m_workers };
    const std::vector<std::pair<LeadershipWait, std::string>> expected {
        { LeadershipWait::None, "" },
        { LeadershipWait::ConfigurationUnknown, topics.m_operator },
        { LeadershipWait::StoreNotReached, "" },
        { LeadershipWait::LeaderTopicNotListed, topics.m_leader },
        { LeadershipWait::ClaimNotDue, "" },
        { LeadershipWait::ClaimUnanswered, topics.m_leader },
        { LeadershipWait::FenceUnanswered, topics.m_progress },
        { LeadershipWait::PagesOutstanding, topics.m_progress },
        { LeadershipWait::JobsNotCaughtUp, topics.m_jobs },
        { LeadershipWait::SubmissionsUnread, topics.m_jobs },
        { LeadershipWait::WorkersNotListed, topics.m_workers },
    };
    BOOST_TEST(expected.size() == leadershipWaitNames.size());
    for (const auto& [wait, topic] : expected)
        BOOST_TEST(awaitedPartition(node, wait).m_topic == topic);
}
