/** @file term_lease_test.cpp The bound that ties how long a leader may renew leases to how long a later one waits. */
#define BOOST_TEST_MODULE term_lease
#include <boost/test/unit_test.hpp>

#include "process/cell/term_lease.h"

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
