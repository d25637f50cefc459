/** @file stale_read_test.cpp A leader whose answers about submissions were read long ago: it must not deny jobs that VMs have stored since. */
#define BOOST_TEST_MODULE stale_read
#include <boost/test/unit_test.hpp>

#include "fakes/one_vm_cell.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
using namespace bulrushloft::test;

namespace {

/** A leader that has read the submissions to their end. */
struct LeaderFixture : OneVmCell {
    LeaderFixture()
    {
        stepUntilLeading();
        step(100);
        BOOST_REQUIRE((query(newJob).m_status == QueryStatus::NoSuchJob));
        m_areAnswersDelayed = true;
    }

    /** @return The answer to a query, at once. */
    QueryStatus askAtOnce(const std::string& id) const
    {
        QueryStatus status = QueryStatus::Known;
        onPeerMessage(*m_node, PeerJobQuery { .m_job = id }, [&](const PeerReply& reply) { status = std::get<PeerQueryAnswer>(reply).m_status; });
        return status;
    }
};

} // namespace

// An answer counted as fresh for 2.5 s from its arrival, however long it had been under way.
BOOST_FIXTURE_TEST_CASE(an_answer_counts_from_when_it_was_asked_for, LeaderFixture)
{
    m_jobsDelay = { 3'500 };
    step(1'500); // Reads get more time as they fail.
    const TimePoint readBefore = m_node->m_jobsTail.m_upToDateAt;
    while (m_node->m_jobsTail.m_upToDateAt == readBefore) // Until a read has been answered, and the next one asked for.
        step();
    step();
    append(jobsTopic, newJob, encodeJob(newJob)); // A VM stores a job and acknowledges it.
    std::size_t denials = 0;
    for (int i = 0; i < 360; ++i) {
        denials += askAtOnce(newJob) == QueryStatus::NoSuchJob ? 1 : 0;
        step();
    }
    BOOST_TEST(denials == 0U);
    m_jobsDelay = {};
    step(1'000);
    BOOST_TEST((query(newJob).m_status == QueryStatus::Known));
}

// The clock of the step stands still in a suspension, so that what had been read before counted as fresh after it.
BOOST_FIXTURE_TEST_CASE(nothing_read_before_a_suspension_counts_after_it, LeaderFixture)
{
    m_jobsDelay = { 300 };
    step(100);
    m_suspended = { 1'200 };
    append(jobsTopic, newJob, encodeJob(newJob)); // Stored by a VM that misses its leader.
    std::size_t denials = 0;
    for (int i = 0; i < 30; ++i) {
        step();
        denials += askAtOnce(newJob) == QueryStatus::NoSuchJob ? 1 : 0;
    }
    BOOST_TEST(denials == 0U);
    step(100);
    BOOST_TEST((query(newJob).m_status == QueryStatus::Known));
}

// Counted from the question, the time of a long poll counts as well; it must not keep queries waiting.
BOOST_FIXTURE_TEST_CASE(a_sound_store_answers_queries_of_unknown_jobs_at_once, LeaderFixture)
{
    m_jobsDelay = { 500 }; // What a long poll without new records takes.
    step(300);
    std::size_t denials = 0;
    constexpr int queries = 300;
    for (int i = 0; i < queries; ++i) {
        step();
        denials += askAtOnce(newJob) == QueryStatus::NoSuchJob ? 1 : 0;
    }
    BOOST_TEST(denials == static_cast<std::size_t>(queries));
}
