/** @file silent_claims_test.cpp VMs that can't begin a term while the partition of the claims answers nothing. */
#define BOOST_TEST_MODULE silent_claims
#include <boost/test/unit_test.hpp>

#include "fakes/silent_partitions_cell.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
using namespace bulrushloft::test;

namespace {

constexpr int stepMs = 10;
constexpr int firstSilenceMs = 2'000;
constexpr int lastSilenceMs = 16'000;
constexpr int silenceIncrementMs = 130; ///< No divisor of any timeout, so that the silence ends at all points between two attempts.
constexpr int resumptionMs = 600; ///< The claims are asked for twice a second; the rest of a takeover takes less than 100 ms here.
const StorePartition claimsPartition { .m_topic = "keyed.leader" };

/** A VM that has led, whose process starts anew, and a job that was stored since. */
struct RestartedCell : SilentPartitionsCell {
    RestartedCell()
    {
        constexpr int settlingSteps = 100;
        writeConfig(1);
        stepUntilLeading();
        step(settlingSteps);
        append(jobsTopic, newJob, encodeJob(newJob));
    }

    /** Ends a silence that has begun. @return Time until the VM starts the stored job, in ms. */
    int endSilence(int silenceMs)
    {
        constexpr int longestMs = 20'000;
        step(silenceMs / stepMs);
        BOOST_TEST(startsOf(newJob) == 0U);
        m_silent.clear();
        int waitedMs = 0;
        for (; startsOf(newJob) == 0 && waitedMs < longestMs; waitedMs += stepMs)
            step();
        return waitedMs;
    }
};

} // namespace

// The listing of the claims had six attempts in flight, 0.5 s apart, that time out after 4 s: none was sent for 1.5 s of each 4 s.
BOOST_AUTO_TEST_CASE(a_vm_that_has_not_listed_the_claims_leads_soon_after_they_are_back)
{
    for (int silenceMs = firstSilenceMs; silenceMs < lastSilenceMs; silenceMs += silenceIncrementMs) {
        RestartedCell cell;
        cell.m_silent = { claimsPartition };
        cell.restart();
        const int waitedMs = cell.endSilence(silenceMs);
        BOOST_TEST(waitedMs <= resumptionMs, "silence of " << silenceMs << " ms: " << waitedMs << " ms");
    }
}

BOOST_AUTO_TEST_CASE(a_vm_whose_claim_is_unanswered_leads_soon_after_the_claims_are_back)
{
    for (int silenceMs = firstSilenceMs; silenceMs < lastSilenceMs; silenceMs += silenceIncrementMs) {
        RestartedCell cell;
        cell.restart();
        cell.m_node->m_sentClaim.m_call.m_notBefore = cell.m_now + Duration { 200 };
        cell.step(10);
        BOOST_REQUIRE(cell.m_node->m_leaderTail.m_isListingComplete);
        cell.m_silent = { claimsPartition };
        const int waitedMs = cell.endSilence(silenceMs);
        BOOST_TEST(waitedMs <= resumptionMs, "silence of " << silenceMs << " ms: " << waitedMs << " ms");
    }
}
