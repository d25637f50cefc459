/** @file unknown_cancellation_test.cpp Cancellations of jobs that the leader does not know: the answer "no such job" needs proof that nobody else has accepted the job before it was asked. */
#define BOOST_TEST_MODULE unknown_cancellation
#include <boost/test/unit_test.hpp>

#include "fakes/one_vm_cell.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
using namespace bulrushloft::test;

namespace {

constexpr Duration answerTime { 4'000 }; ///< The platform's ack_ms: cancellations are to be answered within it.

/** A leader that has just read the submissions to their end, and a client's cancellation of a job that it doesn't know. */
struct UnknownCancellation : OneVmCell {
    std::optional<ClientStatus> m_status; ///< The client's answer.

    UnknownCancellation()
    {
        stepUntilLeading();
        step(100);
    }

    void cancel()
    {
        const ClientCall call { .m_verb = ClientVerb::Cancel, .m_host = "h", .m_path = std::string("/q/") + newJob, .m_body = {}, .m_arrivedAt = m_now, .m_deadline = m_now + 3'000_ms };
        onClientCall(*m_node, call, [this](const ClientReply& reply) { m_status = reply.m_status; });
    }

    /** @return How long it takes until the client has its answer. */
    Duration stepUntilAnswered()
    {
        const TimePoint sentAt = m_now;
        while (!m_status && m_now - sentAt < answerTime)
            step();
        return m_now - sentAt;
    }

    /** Leaves all calls to a topic unanswered. */
    void silence(const std::string& topic)
    {
        for (std::uint32_t partition = 0; partition < 16; ++partition)
            m_silentPartitions.insert({ .m_topic = topic, .m_partition = partition });
    }
};

} // namespace

// A leader that was cut off denied a job that the next leader had accepted, and the job ran on: UNASKED in review/7.
BOOST_FIXTURE_TEST_CASE(a_leader_that_is_cut_off_from_the_store_denies_no_job, UnknownCancellation)
{
    for (const char* const topic : { jobsTopic, "keyed.leader", "keyed.progress" })
        silence(topic);
    step(20); // Another daemon may lead by now, and has accepted the job.
    cancel();
    stepUntilAnswered();
    BOOST_TEST((m_status != ClientStatus::NoSuchJob));
}

// The claims are read, but not the submissions: a VM may have stored the job itself.
BOOST_FIXTURE_TEST_CASE(a_leader_that_does_not_read_the_submissions_denies_no_job, UnknownCancellation)
{
    silence(jobsTopic);
    cancel();
    stepUntilAnswered();
    BOOST_TEST((m_status != ClientStatus::NoSuchJob));
}

// The submissions are read, but no evidence comes that this daemon still leads.
BOOST_FIXTURE_TEST_CASE(a_leader_without_evidence_of_its_term_denies_no_job, UnknownCancellation)
{
    silence("keyed.leader");
    silence("keyed.progress");
    cancel();
    stepUntilAnswered();
    BOOST_TEST((m_status != ClientStatus::NoSuchJob));
}

BOOST_FIXTURE_TEST_CASE(a_sound_store_shows_soon_that_there_is_no_such_job, UnknownCancellation)
{
    cancel();
    const Duration took = stepUntilAnswered();
    BOOST_REQUIRE(m_status.has_value());
    BOOST_TEST((*m_status == ClientStatus::NoSuchJob));
    BOOST_TEST(took.m_ms < answerTime.m_ms / 2);
}

// A VM has stored the job, and acknowledged it, just before its cancellation came.
BOOST_FIXTURE_TEST_CASE(a_job_that_is_found_meanwhile_is_cancelled, UnknownCancellation)
{
    append(jobsTopic, newJob, encodeJob(newJob));
    cancel();
    stepUntilAnswered();
    BOOST_REQUIRE(m_status.has_value());
    BOOST_TEST((*m_status == ClientStatus::Cancelled));
    step(300);
    BOOST_TEST(std::count(m_startedJobs.begin(), m_startedJobs.end(), std::string(newJob)) == 0);
}

// The term ends while the proof is awaited; the caller must not wait for a leader that has stopped.
BOOST_FIXTURE_TEST_CASE(an_awaited_answer_comes_although_the_term_ends, UnknownCancellation)
{
    silence("keyed.leader");
    silence("keyed.progress");
    cancel();
    step(5);
    abandonTerm(*m_node);
    stepUntilAnswered();
    BOOST_REQUIRE(m_status.has_value());
    BOOST_TEST((*m_status != ClientStatus::NoSuchJob));
}

// A cancellation that is stored already needs no proof: whoever leads finds it in the store.
BOOST_FIXTURE_TEST_CASE(a_stored_cancellation_of_an_unknown_job_is_answered_at_once, UnknownCancellation)
{
    std::optional<WriteOutcome> outcome;
    onPeerMessage(*m_node, PeerCancel { .m_job = newJob, .m_isStored = true }, [&](const PeerReply& reply) { outcome = std::get<PeerWriteAnswer>(reply).m_outcome; });
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((*outcome == WriteOutcome::NoSuchJob));
}
