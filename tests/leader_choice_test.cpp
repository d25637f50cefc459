/** @file leader_choice_test.cpp Choice of the leader among several VMs. */
#define BOOST_TEST_MODULE leader_choice
#include <boost/test/unit_test.hpp>

#include "process/cell/leader_choice.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;

namespace {

PeerMember makeMember(const std::string& name, double cpuShare, double linkMbps)
{
    return { .m_name = name, .m_address = {}, .m_instance = 1, .m_strength = strengthOf(cpuShare, linkMbps) };
}

} // namespace

// A VM with 0.3 cores and a 10 Mbit/s link came to lead 350 workers after a loss of power: loading took 3.9 s, and its calls timed out.
BOOST_AUTO_TEST_CASE(a_slow_link_makes_a_vm_weak_whatever_its_processor)
{
    const PeerMember slowLink = makeMember("b-10", 0.3, 10);
    const PeerMember strong = makeMember("b-1", 0.5, 200);
    BOOST_TEST(isWeak(slowLink));
    BOOST_TEST(!isWeak(strong));
    BOOST_TEST(!isWeak(makeMember("a-1", 0.25, 1'000)));
    BOOST_TEST(rankOf(strong, { slowLink }, 7) == 0);
    BOOST_TEST(rankOf(slowLink, { strong }, 7) == 1);
}

BOOST_AUTO_TEST_CASE(a_weak_vm_waits_unless_all_are_weak)
{
    const PeerMember weak = makeMember("w", 0.12, 2);
    BOOST_TEST((claimDelayOf(weak, {}) > Duration {}));
    BOOST_TEST((claimDelayOf(weak, { makeMember("s", 0.5, 200) }) > Duration {}));
    BOOST_TEST((claimDelayOf(weak, { makeMember("v", 0.12, 2) }) == Duration {}));
    BOOST_TEST((claimDelayOf(makeMember("s", 0.5, 200), {}) == Duration {}));
}

BOOST_AUTO_TEST_CASE(equal_vms_are_ranked_differently_in_each_term)
{
    const PeerMember one = makeMember("one", 0.25, 1'000);
    const PeerMember other = makeMember("other", 0.25, 1'000);
    int timesRankedFirst = 0;
    for (std::uint64_t term = 1; term <= 64; ++term) {
        BOOST_TEST(rankOf(one, { other }, term) + rankOf(other, { one }, term) == 1);
        timesRankedFirst += rankOf(one, { other }, term) == 0 ? 1 : 0;
    }
    BOOST_TEST(timesRankedFirst > 10);
    BOOST_TEST(timesRankedFirst < 54);
}

// With 900 task starts a second on 0.25 cores there were 50 claims in a day: each leader was replaced within a second of the start of its term.
BOOST_AUTO_TEST_CASE(short_terms_raise_the_suspicion_factor)
{
    BOOST_TEST(suspicionFactorAfter({ 900 }, 1) == 2);
    BOOST_TEST(suspicionFactorAfter({ 900 }, 2) == 4);
    BOOST_TEST(suspicionFactorAfter({ 900 }, 4) == 4);
    BOOST_TEST(suspicionFactorAfter({ 6'000 }, 4) == 1);
}

// Fast heartbeats of 300 VMs would use a third of the processor time of the leader that they follow.
BOOST_AUTO_TEST_CASE(only_top_ranked_followers_use_fast_heartbeats)
{
    const HeartbeatTiming fast;
    BOOST_TEST((timingOf(0, fast).m_interval == fast.m_interval));
    BOOST_TEST((timingOf(39, fast).m_suspectAfter == fast.m_suspectAfter));
    BOOST_TEST((timingOf(40, fast).m_interval > fast.m_interval));
}
