/** @file term_lease_test.cpp The bound that ties how long a leader may renew leases to how long a later one waits. */
#define BOOST_TEST_MODULE term_lease
#include <boost/test/unit_test.hpp>

#include "process/cell/cell_detail.h"
#include "process/cell/cell_func.h"
#include "process/cell/term_lease.h"

#include <algorithm>
#include <functional>

using namespace bulrushloft;
using namespace bulrushloft::cell;

namespace {

constexpr TermLeaseOptions options;
constexpr Duration moment { 1 };

/** @return Evidence of a leader that the store has shown at the given time to lead, with two listed members. */
TermEvidence makeEvidence(TimePoint storeAskedAt)
{
    return { .m_storeAskedAt = storeAskedAt, .m_appendedAt = {}, .m_isListStored = true, .m_memberAskedAt = { { "a", {} }, { "b", {} } } };
}

PeerMember makeMember(const std::string& name, std::uint16_t port)
{
    return { .m_name = name, .m_address = { "127.0.0.1", port } };
}

/** Checks that a wait lasts for the limit on the clock of an earlier leader, even where that runs slow, and no longer than needed. */
void checkWait(Duration wait, Duration limit)
{
    const double waitOnSlowClock = static_cast<double>(wait.m_ms) * (1.0 - options.m_clockDrift);
    BOOST_TEST(waitOnSlowClock >= static_cast<double>(limit.m_ms));
    BOOST_TEST(waitOnSlowClock < static_cast<double>(limit.m_ms) + 1.0);
}

constexpr std::uint64_t ownTerm = 5;
constexpr std::uint64_t formerTerm = ownTerm - 1;

/** A leader of term 5 that follows one of term 4, which had settled all before it and is seen to have stopped. Each test changes one of these. */
struct NewLeader {
    std::unique_ptr<CellNode> m_node;
    TimePoint m_fencedAt { 100'000 };

    NewLeader()
    {
        CellOptions cellOptions;
        cellOptions.m_self = makeMember("self", 1);
        m_node = makeCell(std::move(cellOptions), {}, {}, m_fencedAt, {});
        m_node->m_lastBootTime = m_fencedAt;
        m_node->m_role = Role::Leading;
        m_node->m_term = ownTerm;
        m_node->m_leader = { .m_token = ownTerm, .m_member = m_node->m_options.m_self };
        m_node->m_scheduler = std::make_unique<scheduler::Scheduler>();
        detail::beginTermLease(*m_node, { .m_token = formerTerm, .m_member = makeMember("former", 2) }, formerTerm);
        TermLease& lease = m_node->m_termLease;
        lease.m_fencedAt = m_fencedAt;
        noteStoreAnswer(lease.m_evidence, m_fencedAt);
        lease.m_loadedList = MemberList { .m_settledTerm = formerTerm, .m_members = { memberIdOf(makeMember("former", 2)), memberIdOf(makeMember("self", 1)) } };
        lease.m_storedList = *lease.m_loadedList;
    }

    TermLease& lease() const { return m_node->m_termLease; }

    /** The former leader answers with the term that it knows. */
    void answerOfFormer(std::uint64_t knownToken) const { detail::noteFormerLeader(*m_node, makeMember("former", 2), knownToken); }

    /** @return How long after the fence earlier leaders may go on. */
    Duration boundAfterFence() const { return detail::boundEarlierTerms(*m_node) - m_fencedAt; }

    void goTo(TimePoint now) const
    {
        m_node->m_now = now;
        m_node->m_lastBootTime = now;
        noteStoreAnswer(lease().m_evidence, now);
        detail::stepTermLease(*m_node);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_leader_renews_for_the_limit_after_the_store_was_asked)
{
    const TimePoint askedAt { 10'000 };
    const TermEvidence evidence = makeEvidence(askedAt);
    BOOST_TEST(mayRenewLeases(evidence, options, askedAt + options.m_renewalLimit));
    BOOST_TEST(!mayRenewLeases(evidence, options, askedAt + options.m_renewalLimit + moment));
}

BOOST_AUTO_TEST_CASE(one_listed_member_without_an_answer_ends_the_renewals)
{
    const TimePoint askedAt { 10'000 };
    TermEvidence evidence = makeEvidence(askedAt);
    noteMemberAnswer(evidence, "a", askedAt + 4'000_ms);
    BOOST_TEST(!mayRenewLeases(evidence, options, askedAt + 4'500_ms));
    noteMemberAnswer(evidence, "b", askedAt + 2'000_ms);
    BOOST_TEST(mayRenewLeases(evidence, options, askedAt + 5'000_ms));
    BOOST_TEST(!mayRenewLeases(evidence, options, askedAt + 5'001_ms));
}

BOOST_AUTO_TEST_CASE(members_that_are_not_listed_are_no_evidence)
{
    const TimePoint askedAt { 10'000 };
    TermEvidence evidence = makeEvidence(askedAt);
    noteMemberAnswer(evidence, "stranger", askedAt + 4'000_ms);
    BOOST_TEST(!evidence.m_memberAskedAt.contains("stranger"));
    BOOST_TEST(!mayRenewLeases(evidence, options, askedAt + 4'500_ms));
}

BOOST_AUTO_TEST_CASE(members_carry_a_leader_no_further_than_the_limit_of_an_outage)
{
    const TimePoint askedAt { 10'000 };
    TermEvidence evidence = makeEvidence(askedAt);
    for (TimePoint now = askedAt; now <= askedAt + options.m_outageLimit; now = now + 500_ms) {
        noteMemberAnswer(evidence, "a", now);
        noteMemberAnswer(evidence, "b", now);
        BOOST_TEST(mayRenewLeases(evidence, options, now));
    }
    noteMemberAnswer(evidence, "a", askedAt + options.m_outageLimit);
    noteMemberAnswer(evidence, "b", askedAt + options.m_outageLimit);
    BOOST_TEST(!mayRenewLeases(evidence, options, askedAt + options.m_outageLimit + moment));
}

BOOST_AUTO_TEST_CASE(a_leader_whose_list_is_not_stored_needs_the_store)
{
    const TimePoint askedAt { 10'000 };
    TermEvidence evidence { .m_storeAskedAt = askedAt };
    BOOST_TEST(!mayRenewLeases(evidence, options, askedAt + options.m_renewalLimit + moment));
}

BOOST_AUTO_TEST_CASE(a_confirmed_append_counts_from_its_first_attempt)
{
    TermEvidence evidence;
    noteAppendSent(evidence, 1, { 1'000 });
    noteAppendSent(evidence, 2, { 2'000 });
    noteAppendSent(evidence, 2, { 5'000 });
    noteAppendConfirmed(evidence, 2);
    BOOST_TEST(evidence.m_storeAskedAt.m_ms == 2'000);
    noteAppendConfirmed(evidence, 1); // A late answer about an append that the later one has confirmed.
    BOOST_TEST(evidence.m_storeAskedAt.m_ms == 2'000);
}

BOOST_AUTO_TEST_CASE(a_later_leader_waits_for_what_earlier_ones_may_do)
{
    const MemberList list { .m_settledTerm = 3, .m_members = { memberIdOf(makeMember("a", 1)), memberIdOf(makeMember("b", 2)) } };
    checkWait(earlierRenewalBound(std::nullopt, makeMember("a", 1), options), options.m_renewalLimit);
    checkWait(earlierRenewalBound(list, makeMember("b", 2), options), options.m_renewalLimit);
    checkWait(earlierRenewalBound(list, makeMember("c", 3), options), options.m_outageLimit);
}

// A VM that has taken over a listed name at another address was not asked by earlier leaders.
BOOST_AUTO_TEST_CASE(a_listed_name_at_another_address_is_another_member)
{
    const MemberList list { .m_settledTerm = 3, .m_members = { memberIdOf(makeMember("a", 1)) } };
    checkWait(earlierRenewalBound(list, makeMember("a", 2), options), options.m_outageLimit);
    const auto address = addressOfMember(list.m_members.front());
    BOOST_REQUIRE(address.has_value());
    BOOST_TEST((*address == makeMember("a", 1).m_address));
    BOOST_TEST(!addressOfMember("a").has_value());
}

BOOST_AUTO_TEST_CASE(a_list_is_read_as_it_was_written)
{
    const MemberList list { .m_settledTerm = 7, .m_members = { "edge-1@127.0.0.1:1", "edge-2@127.0.0.1:2" } };
    const auto decoded = decodeMemberList(encodeMemberList(list));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == list));
    BOOST_TEST(!decodeMemberList("not a list").has_value());
}

// Earlier leaders don't ask members that join, so that these could begin a term unseen.
BOOST_AUTO_TEST_CASE(the_list_gets_new_members_only_once_earlier_leaders_have_stopped)
{
    const NewLeader leader;
    const TimePoint stopped = detail::boundEarlierTerms(*leader.m_node);
    BOOST_REQUIRE((stopped > leader.m_fencedAt));
    leader.m_node->m_peers["new"] = { .m_member = makeMember("new", 3), .m_lastContactAt = leader.m_fencedAt };
    leader.goTo(stopped - moment);
    BOOST_TEST(!leader.lease().m_dueList.has_value());
    leader.goTo(stopped);
    BOOST_REQUIRE(leader.lease().m_dueList.has_value());
    const MemberList& due = *leader.lease().m_dueList;
    BOOST_TEST(std::binary_search(due.m_members.begin(), due.m_members.end(), memberIdOf(makeMember("new", 3))));
    BOOST_TEST(due.m_settledTerm == ownTerm);
}

BOOST_AUTO_TEST_CASE(a_former_leader_that_has_stopped_ends_the_wait_if_all_before_it_had_stopped)
{
    const NewLeader seenBefore;
    seenBefore.answerOfFormer(ownTerm);
    BOOST_TEST(seenBefore.boundAfterFence().m_ms == 0);
    const NewLeader seenLater;
    checkWait(seenLater.boundAfterFence(), options.m_renewalLimit);
    seenLater.m_node->m_now = seenLater.m_fencedAt + 1'000_ms;
    seenLater.answerOfFormer(ownTerm);
    BOOST_TEST((seenLater.lease().m_earlierStoppedAt == seenLater.m_node->m_now));
}

BOOST_AUTO_TEST_CASE(a_former_leader_that_knows_an_earlier_term_only_may_go_on)
{
    const NewLeader leader;
    leader.answerOfFormer(formerTerm);
    checkWait(leader.boundAfterFence(), options.m_renewalLimit);
}

/** Checks that the stop of the leader of the term before does not shorten the wait, whether it is seen before the records are loaded or after that. */
void checkStopIsNoProof(const std::function<void(TermLease&)>& change)
{
    const NewLeader seenBefore;
    change(seenBefore.lease());
    seenBefore.answerOfFormer(ownTerm);
    checkWait(seenBefore.boundAfterFence(), options.m_renewalLimit);
    const NewLeader seenLater;
    change(seenLater.lease());
    checkWait(seenLater.boundAfterFence(), options.m_renewalLimit);
    const TimePoint stopped = seenLater.lease().m_earlierStoppedAt;
    seenLater.m_node->m_now = seenLater.m_fencedAt + 1'000_ms;
    seenLater.answerOfFormer(ownTerm);
    BOOST_TEST((seenLater.lease().m_earlierStoppedAt == stopped));
}

// A leader of a term before that one may still renew leases: its term was not settled when the list was written.
BOOST_AUTO_TEST_CASE(a_former_leader_is_not_alone_that_had_not_settled_its_own_term)
{
    checkStopIsNoProof([](TermLease& lease) { lease.m_loadedList->m_settledTerm = formerTerm - 1; });
}

// A term between that one and the own one has begun, which this daemon has not known.
BOOST_AUTO_TEST_CASE(a_former_leader_is_not_alone_if_another_term_came_between)
{
    checkStopIsNoProof([](TermLease& lease) {
        lease.m_former.m_token = formerTerm - 1;
        lease.m_formerRecordsEnd = formerTerm - 1;
        lease.m_loadedList->m_settledTerm = formerTerm - 1;
    });
}

// Nothing tells what had stopped when it led.
BOOST_AUTO_TEST_CASE(a_former_leader_is_not_known_to_be_alone_without_a_list)
{
    checkStopIsNoProof([](TermLease& lease) { lease.m_loadedList.reset(); });
}

/** A leader that is not on the list, so that earlier leaders may go on for long without its knowledge. Two others are listed. */
struct NewLeaderNotListed : NewLeader {
    NewLeaderNotListed()
    {
        lease().m_loadedList->m_members = { memberIdOf(makeMember("former", 2)), memberIdOf(makeMember("listed", 3)) };
        lease().m_storedList = *lease().m_loadedList;
        noteBegunTerm(m_node->m_begunTerms, formerTerm, m_fencedAt - 500_ms);
        noteBegunTerm(m_node->m_begunTerms, ownTerm, m_fencedAt);
        detail::boundEarlierTerms(*m_node);
    }

    /** A member tells, a time after the fence, for how long it has known of a term. */
    void hear(const PeerMember& from, Duration afterFence, std::uint64_t token, Duration knownFor) const
    {
        m_node->m_now = m_fencedAt + afterFence;
        detail::noteBegunTerms(*m_node, from, { { .m_token = token, .m_knownFor = knownFor } });
    }

    /** @return How long after the fence earlier leaders may go on. */
    Duration bound() const { return lease().m_earlierStoppedAt - m_fencedAt; }
};

// Such a leader waited for 30 s although all others had told earlier leaders of its term; LOST on the day of review/9.
BOOST_AUTO_TEST_CASE(a_listed_member_that_has_known_the_term_for_the_limit_ends_the_wait)
{
    const NewLeaderNotListed leader;
    checkWait(leader.bound(), options.m_outageLimit);
    leader.hear(makeMember("listed", 3), 3'300_ms, ownTerm, 3'250_ms);
    BOOST_TEST(leader.bound().m_ms <= 3'300);
    BOOST_TEST((leader.bound() >= 50_ms + options.m_renewalLimit));
    leader.goTo(leader.m_node->m_now);
    BOOST_REQUIRE(leader.lease().m_dueList.has_value()); // So that the next leader finds this VM on the list.
    BOOST_TEST(isListed(*leader.lease().m_dueList, memberIdOf(makeMember("self", 1))));
}

BOOST_AUTO_TEST_CASE(what_a_member_has_known_for_too_short_or_is_not_asked_about_ends_no_wait)
{
    const NewLeaderNotListed leader;
    leader.hear(makeMember("listed", 3), 3'300_ms, ownTerm, 3'100_ms); // Less than 3 s / 0.98 on a clock that runs fast.
    leader.hear(makeMember("joined", 4), 4'000_ms, ownTerm, 4'000_ms); // Earlier leaders don't ask it.
    leader.hear(makeMember("listed", 9), 4'000_ms, ownTerm, 4'000_ms); // Another VM that has taken over the name.
    leader.hear(makeMember("listed", 3), 4'000_ms, formerTerm, 4'000_ms); // The former leader may go on.
    checkWait(leader.bound(), options.m_outageLimit);
}

// The leader of the term before could vouch for nothing, as a second change within seconds had made its knowledge void.
BOOST_AUTO_TEST_CASE(what_had_stopped_before_the_former_term_is_known_after_a_second_change)
{
    const NewLeaderNotListed leader;
    leader.lease().m_loadedList->m_settledTerm = formerTerm - 1;
    leader.lease().m_beforeFormerStoppedAt.reset();
    leader.answerOfFormer(ownTerm);
    checkWait(leader.bound(), options.m_outageLimit);
    leader.hear(makeMember("listed", 3), 1'000_ms, formerTerm, 3'200_ms);
    BOOST_TEST(leader.bound().m_ms <= 1'000);
}

/** Checks that the wait counts from the beginning of the former term, which the leader has known for a time, once the leader of that term has stopped. */
void checkWaitFromFormerTerm(const std::vector<std::string>& listed, Duration knownFor, Duration limit)
{
    const NewLeader leader;
    leader.lease().m_loadedList = MemberList { .m_settledTerm = formerTerm - 1, .m_members = listed };
    noteBegunTerm(leader.m_node->m_begunTerms, formerTerm, leader.m_fencedAt - knownFor);
    noteBegunTerm(leader.m_node->m_begunTerms, ownTerm, leader.m_fencedAt);
    leader.answerOfFormer(ownTerm);
    checkWait(leader.boundAfterFence() + knownFor, limit);
}

// A listed VM needs nobody to tell it when the former term began: it has been asked itself since then.
BOOST_AUTO_TEST_CASE(a_listed_leader_counts_from_the_beginning_of_the_former_term)
{
    checkWaitFromFormerTerm({ memberIdOf(makeMember("self", 1)) }, 2'000_ms, options.m_renewalLimit);
}

// The wait was begun anew with each leader of the kind: a leader that waits writes no list.
BOOST_AUTO_TEST_CASE(a_long_wait_is_not_begun_anew_with_a_second_change)
{
    checkWaitFromFormerTerm({ "gone@127.0.0.1:9" }, 20'000_ms, options.m_outageLimit);
}

// The records of a silent partition are unread, and with them perhaps the list.
BOOST_AUTO_TEST_CASE(nothing_ends_the_wait_before_the_list_is_read)
{
    const NewLeader leader;
    leader.lease().m_loadedList.reset();
    BOOST_REQUIRE((leader.lease().m_earlierStoppedAt == farFuture));
    leader.m_node->m_now = leader.m_fencedAt + 5'000_ms;
    detail::noteBegunTerms(*leader.m_node, makeMember("former", 2), { { .m_token = ownTerm, .m_knownFor = 5'000_ms } });
    BOOST_TEST((leader.lease().m_earlierStoppedAt == farFuture));
}

// A claim that has not fenced earlier leaders says nothing about them: the store still carries out their appends.
BOOST_AUTO_TEST_CASE(a_term_that_is_only_claimed_has_not_begun)
{
    const NewLeader leader;
    detail::applyClaim(*leader.m_node, ownTerm + 3, makeMember("next", 5));
    const PeerHeartbeatAnswer answer = detail::answerHeartbeat(*leader.m_node, { .m_from = makeMember("next", 5), .m_leader = { .m_token = ownTerm + 3, .m_member = makeMember("next", 5) } });
    BOOST_TEST(answer.m_leader.m_token == ownTerm + 3);
    BOOST_TEST(!knownForOf(answer.m_begunTerms, ownTerm + 3).has_value());
}
