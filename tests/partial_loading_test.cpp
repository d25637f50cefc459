/** @file partial_loading_test.cpp A leader that can't read the submissions and cancellations that VMs have stored themselves: what it goes on with, and what it leaves alone. */
#define BOOST_TEST_MODULE partial_loading
#include <boost/test/unit_test.hpp>

#include "fakes/one_vm_cell.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
using namespace bulrushloft::test;

namespace {

const StorePartition submissions { .m_topic = jobsTopic, .m_partition = submissionPartition };
const StorePartition cancellationCopies { .m_topic = jobsTopic, .m_partition = cancellationPartition };

/** A cell in which a single partition of the topic of jobs can be silent. */
struct SilentSubmissionsFixture : OneVmCell {
    /** Begins a term whose leader can't read submissions, but the copies of cancellations. */
    void restartWithoutSubmissions()
    {
        m_silentPartitions = { submissions };
        startNode();
        stepUntilLeading();
        step(100);
    }

    /** @return The answer to a client that cancels a job while a new leader is still loading, so that the VM stores the cancellation itself; empty without one. */
    std::optional<ClientStatus> cancelWhileLoading(const std::string& id)
    {
        m_jobsDelay = Duration { 500 };
        startNode();
        while (m_node->m_role != Role::Loading)
            step();
        std::optional<ClientStatus> status;
        onClientCall(*m_node, { .m_verb = ClientVerb::Cancel, .m_host = "h", .m_path = "/q/" + id, .m_body = {}, .m_arrivedAt = m_now, .m_deadline = m_now + Duration { 1'000 } }, [&](const ClientReply& reply) { status = reply.m_status; });
        step(100);
        m_jobsDelay = {};
        return status;
    }

    /** @return Whether a partition holds a record with the key. */
    bool isStored(const StorePartition& partition, const std::string& key)
    {
        const StoreNewestAnswer answer = m_store.newest({ .m_partition = partition, .m_after = {} });
        return std::any_of(answer.m_records.begin(), answer.m_records.end(), [&](const KeyedRecord& record) { return record.m_key == key; });
    }
};

/** Two jobs run; then a term begins that can't read the submissions. */
struct RunningJobsFixture : OneVmCell {
    RunningJobsFixture()
    {
        stepUntilLeading();
        BOOST_REQUIRE((submit(knownJob) == WriteOutcome::Recorded));
        append(jobsTopic, directJob, encodeJob(directJob));
        step(100);
        BOOST_REQUIRE(m_startedJobs.size() == 2U);
    }
};

} // namespace

// The partition of submissions answered nobody for 30 s. The leader, which had read all progress within 0.1 s, served nothing: no job was accepted, placed or ended.
BOOST_FIXTURE_TEST_CASE(a_leader_that_cannot_read_submissions_serves_the_jobs_it_knows, RunningJobsFixture)
{
    restartWithoutJobs();
    BOOST_TEST((query(knownJob).m_status == QueryStatus::Known));
    finish(knownJob);
    step(50);
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    BOOST_TEST((cancel(newJob) == WriteOutcome::Recorded));
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Cancelled));
    BOOST_TEST(startsOf(knownJob) == 1U);
}

// An unread job would be answered as unknown, and jobs counted without the unread ones (LOST, MIXED).
BOOST_FIXTURE_TEST_CASE(a_leader_that_cannot_read_submissions_does_not_deny_unread_jobs, RunningJobsFixture)
{
    restartWithoutJobs();
    BOOST_TEST((query(directJob).m_status == QueryStatus::NotLeading));
    BOOST_TEST((query(newJob).m_status == QueryStatus::NotLeading));
    BOOST_TEST((ask(PeerPendingJobsQuery { .m_queue = "q" }).m_status == QueryStatus::NotLeading));
    BOOST_TEST((cancel(directJob) == WriteOutcome::NotAccepted));
    BOOST_TEST((cancel(newJob) == WriteOutcome::NotAccepted));
    bringJobsBack();
    BOOST_TEST((query(directJob).m_status == QueryStatus::Known));
    BOOST_TEST((query(newJob).m_status == QueryStatus::NoSuchJob));
    BOOST_TEST((ask(PeerPendingJobsQuery { .m_queue = "q" }).m_status == QueryStatus::Known));
}

// Attempts of unread jobs look like attempts that nobody wants; stopped, they would be lost, and their room is not free.
BOOST_FIXTURE_TEST_CASE(attempts_of_unread_jobs_go_on, RunningJobsFixture)
{
    restartWithoutJobs();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    step(100);
    BOOST_TEST(m_stoppedJobs.empty());
    bringJobsBack();
    BOOST_TEST(m_stoppedJobs.empty());
    BOOST_TEST(startsOf(newJob) == 0U); // Both workers are full.
    finish(directJob);
    step(100);
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
    BOOST_TEST(startsOf(directJob) == 1U);
    BOOST_TEST(startsOf(newJob) == 1U);
}

// An end of an unread job that is acknowledged without effect would be forgotten, and the task would run again (TWICE).
BOOST_FIXTURE_TEST_CASE(an_end_of_an_unread_job_is_kept, RunningJobsFixture)
{
    restartWithoutJobs();
    finish(directJob);
    step(100);
    finish(knownJob);
    step(100);
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    bringJobsBack();
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
    BOOST_TEST(startsOf(directJob) == 1U);
    for (const auto& [id, worker] : m_workers)
        BOOST_TEST(worker.m_ended.empty(), id);
}

// The end must also outlive a leader that never reads the submissions: it is left unacknowledged for the next term.
BOOST_FIXTURE_TEST_CASE(an_end_of_an_unread_job_is_left_to_the_next_term, RunningJobsFixture)
{
    restartWithoutJobs();
    finish(directJob);
    step(100);
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded)); // Ends are acknowledged with the records that follow them.
    step(300);
    m_areJobsSilent = false;
    startNode();
    stepUntilLeading();
    step(100);
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
    BOOST_TEST(startsOf(directJob) == 1U);
}

// A VM has stored the submission and the cancellation, and has acknowledged both; then a late copy of the submission arrives (UNASKED).
BOOST_FIXTURE_TEST_CASE(a_late_copy_of_a_submission_does_not_run_while_its_cancellation_is_unread, OneVmCell)
{
    stepUntilLeading();
    m_areJobsSilent = true;
    append(jobsTopic, newJob, encodeJob(newJob));
    append(jobsTopic, std::string("!") + newJob, "cancelled");
    m_store.append({ .m_partition = cancellationCopies, .m_records = { { .m_key = std::string("!") + newJob, .m_value = "cancelled" } }, .m_writer = {}, .m_expectedEnd = {} });
    restartWithoutJobs();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    step(300);
    BOOST_TEST(startsOf(newJob) == 0U);
    startNode(); // A hand-over does not make it known either.
    stepUntilLeading();
    step(300);
    BOOST_TEST(startsOf(newJob) == 0U);
    bringJobsBack();
    BOOST_TEST(startsOf(newJob) == 0U);
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Cancelled));
}

// The same, and the next term loads whole.
BOOST_FIXTURE_TEST_CASE(a_late_copy_of_a_submission_is_cancelled_by_the_next_term_that_reads_the_cancellation, OneVmCell)
{
    stepUntilLeading();
    m_areJobsSilent = true;
    append(jobsTopic, std::string("!") + newJob, "cancelled");
    restartWithoutJobs();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    m_areJobsSilent = false;
    startNode();
    stepUntilLeading();
    step(100);
    BOOST_TEST(startsOf(newJob) == 0U);
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Cancelled));
}

// A job accepted meanwhile starts as soon as no unread record can cancel it.
BOOST_FIXTURE_TEST_CASE(a_job_accepted_without_submissions_starts_once_they_are_read, OneVmCell)
{
    restartWithoutJobs();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded)); // The same job.
    append(jobsTopic, newJob, encodeJob(newJob)); // And once more, by a VM.
    bringJobsBack();
    BOOST_TEST(startsOf(newJob) == 1U);
    finish(newJob);
    step(100);
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Complete));
}

BOOST_FIXTURE_TEST_CASE(a_cancellation_that_a_vm_has_stored_applies_once_it_is_read, RunningJobsFixture)
{
    restartWithoutJobs();
    append(jobsTopic, std::string("!") + directJob, "cancelled");
    append(jobsTopic, std::string("!") + knownJob, "cancelled");
    bringJobsBack();
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Cancelled));
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Cancelled));
    BOOST_TEST(stopsOf(directJob) >= 1U);
    BOOST_TEST(stopsOf(knownJob) >= 1U);
}

// A VM has stored a cancellation and acknowledged it while no leader served; the next leader can't read it, and starts the job's task again (UNASKED).
BOOST_FIXTURE_TEST_CASE(a_vm_tells_the_leader_of_the_cancellations_that_it_has_stored, RunningJobsFixture)
{
    m_areJobsSilent = true;
    m_areJobsWritable = true;
    startNode();
    while (m_node->m_role != Role::Loading)
        step();
    std::optional<ClientStatus> status;
    onClientCall(*m_node, { .m_verb = ClientVerb::Cancel, .m_host = "h", .m_path = std::string("/q/") + knownJob, .m_body = {}, .m_arrivedAt = m_now, .m_deadline = m_now + Duration { 1'000 } }, [&](const ClientReply& reply) { status = reply.m_status; });
    step(50);
    BOOST_TEST((status == ClientStatus::Cancelled));
    stepUntilLeading();
    step(100);
    finish(knownJob, AttemptEnd::Failed);
    step(100);
    BOOST_TEST(startsOf(knownJob) == 1U);
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Cancelled));
}

// A job that is in both topics and is forgotten while the topic of submissions is unread would be new when that is read (TWICE).
BOOST_FIXTURE_TEST_CASE(ended_jobs_do_not_expire_while_submissions_are_unread, RunningJobsFixture)
{
    append(jobsTopic, knownJob, encodeJob(knownJob));
    finish(knownJob);
    finish(directJob);
    step(100);
    m_retention = Duration { 1'000 };
    restartWithoutJobs();
    step(300);
    bringJobsBack();
    BOOST_TEST(startsOf(knownJob) == 1U);
    BOOST_TEST(startsOf(directJob) == 1U);
}

// The progress of a job shows that it exists; a copy of its submission must not release it while its cancellation is unread (UNASKED).
BOOST_FIXTURE_TEST_CASE(a_copy_of_the_submission_of_an_unread_job_does_not_release_it, RunningJobsFixture)
{
    append(jobsTopic, std::string("!") + directJob, "cancelled");
    restartWithoutJobs();
    BOOST_TEST((submit(directJob) == WriteOutcome::Recorded));
    finish(directJob, AttemptEnd::Failed);
    step(200);
    bringJobsBack();
    BOOST_TEST(startsOf(directJob) == 1U);
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Cancelled));
}

// The submissions that a process has read in an earlier term say nothing about those stored since.
BOOST_FIXTURE_TEST_CASE(a_leader_does_not_deny_jobs_by_what_it_read_in_an_earlier_term, OneVmCell)
{
    m_node->m_options.m_maxJobsStaleness = Duration { 60'000 };
    stepUntilLeading();
    BOOST_TEST((query(newJob).m_status == QueryStatus::NoSuchJob));
    m_areJobsSilent = true;
    append("keyed.leader", claimKey, encodeClaim({ .m_name = "other", .m_address = { "127.0.0.1", 2 }, .m_instance = 9, .m_strength = 50 }));
    append(jobsTopic, newJob, encodeJob(newJob));
    while (m_node->m_role == Role::Leading)
        step();
    stepUntilLeading();
    BOOST_TEST((query(newJob).m_status == QueryStatus::NotLeading));
}

// A copy of a submission whose job has ended, as its progress shows, is no new job.
BOOST_FIXTURE_TEST_CASE(a_copy_of_the_submission_of_an_ended_unread_job_does_not_run_again, RunningJobsFixture)
{
    finish(directJob);
    step(100);
    restartWithoutJobs();
    BOOST_TEST((submit(directJob) == WriteOutcome::Recorded));
    step(100);
    bringJobsBack();
    BOOST_TEST(startsOf(directJob) == 1U);
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
}

// A store that is slow but answers is loaded whole: otherwise cancellations that it holds would be read after their jobs' tasks have started (UNASKED).
BOOST_FIXTURE_TEST_CASE(a_leader_waits_for_submissions_of_a_store_that_answers_slowly, RunningJobsFixture)
{
    m_jobsDelay = Duration { 650 };
    startNode();
    stepUntilLeading();
    BOOST_TEST(m_node->m_jobsTail.m_isCaughtUp);
    BOOST_TEST((query(directJob).m_status == QueryStatus::Known));
}

// The announcements are another topic of their own: without them and without copies of them (silent_workers_test has those), attempts go on at the addresses that their records name.
BOOST_FIXTURE_TEST_CASE(a_leader_that_cannot_list_workers_goes_on_with_the_tasks_it_knows, RunningJobsFixture)
{
    for (const auto& [id, worker] : m_workers)
        append("keyed.progress", "~worker:" + id, "");
    m_areWorkersSilent = true;
    startNode();
    stepUntilLeading();
    step(300);
    BOOST_TEST(m_stoppedJobs.empty());
    finish(directJob);
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
    BOOST_TEST(startsOf(newJob) == 0U);
    m_areWorkersSilent = false;
    step(500);
    BOOST_TEST(startsOf(newJob) == 1U);
}

// After a loss of power the partition of submissions stayed silent for 24 s, and no job that the leader accepted meanwhile ran (RECOVER).
BOOST_FIXTURE_TEST_CASE(a_leader_that_cannot_read_submissions_runs_new_jobs, SilentSubmissionsFixture)
{
    restartWithoutSubmissions();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    step(100);
    BOOST_TEST(startsOf(newJob) == 1U);
    finish(newJob);
    step(100);
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Complete));
    m_silentPartitions.clear();
    step(500);
    BOOST_TEST(startsOf(newJob) == 1U);
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Complete));
}

// It must not run a job whose cancellation was acknowledged (UNASKED).
BOOST_FIXTURE_TEST_CASE(a_leader_that_cannot_read_submissions_knows_cancellations_by_their_copies, SilentSubmissionsFixture)
{
    BOOST_TEST((cancelWhileLoading(newJob) == ClientStatus::Cancelled));
    BOOST_TEST(isStored(cancellationCopies, std::string("!") + newJob));
    restartWithoutSubmissions();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    step(100);
    BOOST_TEST(startsOf(newJob) == 0U);
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Cancelled));
}

// A job that an earlier leader has held may have been cancelled, too.
BOOST_FIXTURE_TEST_CASE(a_held_job_is_cancelled_by_the_copy_of_its_cancellation, SilentSubmissionsFixture)
{
    BOOST_TEST((cancelWhileLoading(newJob) == ClientStatus::Cancelled));
    m_silentPartitions = { submissions, cancellationCopies };
    startNode();
    stepUntilLeading();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    BOOST_TEST((submit(knownJob) == WriteOutcome::Recorded));
    step(100);
    BOOST_TEST(m_startedJobs.empty());
    restartWithoutSubmissions();
    step(100);
    BOOST_TEST(startsOf(newJob) == 0U);
    BOOST_TEST(startsOf(knownJob) == 1U);
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Cancelled));
}

// A cancellation without a copy is unknown to a leader that can't read the other partition.
BOOST_FIXTURE_TEST_CASE(a_cancellation_without_a_copy_is_not_acknowledged, SilentSubmissionsFixture)
{
    for (const StorePartition& silent : { submissions, cancellationCopies }) {
        m_silentPartitions = { silent };
        const auto status = cancelWhileLoading(newJob);
        BOOST_TEST((status && *status != ClientStatus::Cancelled));
    }
}

// The leader goes on reading the copies, as VMs that reach both partitions store further cancellations.
BOOST_FIXTURE_TEST_CASE(a_later_copy_of_a_cancellation_applies_while_submissions_are_unread, SilentSubmissionsFixture)
{
    restartWithoutSubmissions();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    step(100);
    BOOST_TEST(startsOf(newJob) == 1U);
    m_store.append({ .m_partition = cancellationCopies, .m_records = { { .m_key = std::string("!") + newJob, .m_value = "cancelled" } }, .m_writer = {}, .m_expectedEnd = {} });
    step(200);
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Cancelled));
    BOOST_TEST(stopsOf(newJob) >= 1U);
}

// The copy of a cancellation that outlives its job would cancel a later job with the same id.
BOOST_FIXTURE_TEST_CASE(copies_of_cancellations_are_deleted_with_their_jobs, SilentSubmissionsFixture)
{
    m_retention = Duration { 3'000 };
    append(jobsTopic, newJob, encodeJob(newJob));
    BOOST_TEST((cancelWhileLoading(newJob) == ClientStatus::Cancelled));
    BOOST_TEST(isStored(cancellationCopies, std::string("!") + newJob));
    m_silentPartitions = { cancellationCopies };
    stepUntilLeading();
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Cancelled));
    step(800);
    BOOST_TEST(isStored(submissions, newJob)); // Deleted first, the job would be forgotten before the copy.
    m_silentPartitions.clear();
    step(2'000);
    BOOST_TEST(!isStored(submissions, newJob));
    BOOST_TEST(!isStored(submissions, std::string("!") + newJob));
    BOOST_TEST(!isStored(cancellationCopies, std::string("!") + newJob));
}
