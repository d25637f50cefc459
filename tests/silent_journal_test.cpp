/** @file silent_journal_test.cpp Issue 42: the partition that holds the leader's records answers nothing while the store answers otherwise. */
#define BOOST_TEST_MODULE silent_journal
#include <boost/test/unit_test.hpp>

#include "fakes/one_vm_cell.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
using namespace bulrushloft::test;

namespace {

const StorePartition firstJournal { .m_topic = "keyed.progress", .m_partition = 0 };
const StorePartition claims { .m_topic = "keyed.leader", .m_partition = 0 };
constexpr int moveSteps = 150; ///< Of 10 ms; enough to notice the silence and to change the partition.
constexpr int targetSteps = 45; ///< Enough to find another partition, too few to write to it.
constexpr int settleSteps = 300; ///< Enough to read and to write all records once a partition answers again.

/** Two jobs run, one known from the leader's records alone. */
struct SilentJournalFixture : OneVmCell {
    SilentJournalFixture()
    {
        stepUntilLeading();
        BOOST_REQUIRE((submit(knownJob) == WriteOutcome::Recorded));
        append(jobsTopic, directJob, encodeJob(directJob));
        step(100);
        BOOST_REQUIRE(m_startedJobs.size() == 2U);
    }

    void silenceJournal() { m_silentPartitions.insert({ .m_topic = "keyed.progress", .m_partition = m_node->m_writerJournal }); }

    /** @return Whether a job is known and has not ended. Records are written before a start, so a later term may not know that a task has started. */
    bool isOpen(const std::string& id) { return isAtStage(id, scheduler::JobStage::Pending) || isAtStage(id, scheduler::JobStage::Active); }

    void restart()
    {
        startNode();
        stepUntilLeading();
        step(100);
    }

    void endSilence()
    {
        m_silentPartitions.clear();
        step(settleSteps);
    }
};

} // namespace

// 23 s without a placement, an end or an accepted job: the records' partition was away, and a new leader waited for it as well.
BOOST_FIXTURE_TEST_CASE(a_leader_goes_on_while_its_journal_is_silent, SilentJournalFixture)
{
    silenceJournal();
    BOOST_TEST((submit(newJob) != WriteOutcome::Recorded));
    step(moveSteps);
    BOOST_TEST(m_node->m_writerJournal != firstJournal.m_partition);
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    finish(knownJob);
    step(50);
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    BOOST_TEST(startsOf(newJob) == 1U);
    BOOST_TEST(m_node->m_counters.m_terms == 1U);
}

BOOST_FIXTURE_TEST_CASE(the_next_leader_reads_the_journal_that_was_moved_to, SilentJournalFixture)
{
    silenceJournal();
    finish(knownJob);
    step(moveSteps);
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    step(50);
    restart();
    BOOST_TEST(!m_node->m_scheduler->m_isProgressUnread);
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    BOOST_TEST(isOpen(directJob));
    BOOST_TEST(isOpen(newJob));
    endSilence();
    restart();
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    BOOST_TEST(m_startedJobs.size() == 3U);
    BOOST_TEST(m_stoppedJobs.empty());
}

// What an earlier term has left in a partition must not come back when a later one moves to it.
BOOST_FIXTURE_TEST_CASE(records_left_in_a_partition_do_not_return_with_it, SilentJournalFixture)
{
    m_store.append({ .m_partition = { .m_topic = "keyed.progress", .m_partition = 1 }, .m_records = { { .m_key = "e000000000000000", .m_value = "old" } }, .m_writer = {}, .m_expectedEnd = {} });
    silenceJournal();
    finish(knownJob);
    step(moveSteps);
    BOOST_REQUIRE(m_node->m_writerJournal == 1U);
    const StoreNewestAnswer page = m_store.newest({ .m_partition = { .m_topic = "keyed.progress", .m_partition = 1 }, .m_after = {} });
    BOOST_TEST(std::none_of(page.m_records.begin(), page.m_records.end(), [](const KeyedRecord& record) { return record.m_key == "e000000000000000"; }));
}

BOOST_FIXTURE_TEST_CASE(a_journal_that_answers_again_soon_is_kept, SilentJournalFixture)
{
    silenceJournal();
    submit(newJob);
    m_silentPartitions.clear();
    step(moveSteps);
    BOOST_TEST(m_node->m_writerJournal == firstJournal.m_partition);
    BOOST_TEST((query(newJob).m_status == QueryStatus::Known));
}

// A second silence, of the partition that was moved to, and of others beside it.
BOOST_FIXTURE_TEST_CASE(a_leader_moves_again_past_silent_partitions, SilentJournalFixture)
{
    for (std::uint32_t partition = 0; partition < 6; ++partition)
        m_silentPartitions.insert({ .m_topic = "keyed.progress", .m_partition = partition });
    finish(knownJob);
    step(moveSteps);
    BOOST_TEST(m_node->m_writerJournal >= 6U);
    silenceJournal();
    finish(directJob);
    step(moveSteps);
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
    endSilence();
    restart();
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
    BOOST_TEST(m_startedJobs.size() == 2U);
}

// The change needs the leader topic; without it either partition must stay the right one.
BOOST_FIXTURE_TEST_CASE(a_leader_whose_claims_are_silent_too_stays_with_its_journal, SilentJournalFixture)
{
    m_silentPartitions.insert(claims);
    silenceJournal();
    finish(knownJob);
    step(moveSteps * 2);
    BOOST_TEST(m_node->m_writerJournal == firstJournal.m_partition);
    endSilence();
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    BOOST_TEST(m_startedJobs.size() == 2U);
}

// The leader topic falls silent once the change has been sent: it may have taken place or not.
BOOST_FIXTURE_TEST_CASE(a_change_without_an_answer_is_settled_later, SilentJournalFixture)
{
    for (const bool isCarriedOut : { false, true }) {
        const std::uint32_t former = m_node->m_writerJournal;
        m_onAppend = [&](const StoreAppend& append) -> std::optional<StoreAppendAnswer> {
            if (append.m_partition != claims)
                return std::nullopt;
            m_silentPartitions.insert(claims);
            if (isCarriedOut)
                m_store.append(append);
            return StoreAppendAnswer { .m_status = StoreStatus::Unknown };
        };
        silenceJournal();
        finish(isCarriedOut ? directJob : knownJob);
        step(moveSteps);
        m_onAppend = nullptr;
        BOOST_TEST(m_node->m_writerJournal == former);
        endSilence();
        BOOST_TEST(m_node->m_writerJournal != former);
        BOOST_TEST(isAtStage(isCarriedOut ? directJob : knownJob, scheduler::JobStage::Complete));
    }
    restart();
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
    BOOST_TEST(m_startedJobs.size() == 2U);
}

// RECOVER: after a loss of all power nothing was served as long as the records' partition was away.
BOOST_FIXTURE_TEST_CASE(a_new_leader_accepts_and_holds_jobs_while_the_records_are_silent, SilentJournalFixture)
{
    silenceJournal();
    restart();
    BOOST_TEST(m_node->m_scheduler->m_isProgressUnread);
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    BOOST_TEST((query(newJob).m_status == QueryStatus::Known));
    BOOST_TEST((query(knownJob).m_status == QueryStatus::NotLeading));
    BOOST_TEST((ask(PeerPendingJobsQuery { .m_queue = "q" }).m_status == QueryStatus::NotLeading));
    finish(knownJob);
    finish(directJob);
    step(100);
    BOOST_TEST(startsOf(newJob) == 0U);
    BOOST_TEST(m_stoppedJobs.empty());
    for (const auto& [id, worker] : m_workers)
        BOOST_TEST(worker.m_ended.size() == 1U, id); // Acknowledged without its record, the task would run again.
    endSilence();
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Active));
    BOOST_TEST(m_startedJobs.size() == 3U);
}

// TWICE: a client that has heard nothing submits a job again that runs already, or has run, as the silent records say.
BOOST_FIXTURE_TEST_CASE(a_job_submitted_again_while_the_records_are_silent_does_not_run_again, SilentJournalFixture)
{
    silenceJournal();
    restart();
    BOOST_TEST((submit(knownJob) == WriteOutcome::Recorded));
    BOOST_TEST((submit(directJob) == WriteOutcome::Recorded));
    step(100);
    finish(directJob);
    step(100);
    BOOST_TEST(m_stoppedJobs.empty());
    endSilence();
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
    BOOST_TEST(isOpen(knownJob));
    finish(knownJob);
    step(50);
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    BOOST_TEST(m_startedJobs.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_job_cancelled_while_the_records_are_silent_is_stopped, SilentJournalFixture)
{
    silenceJournal();
    restart();
    BOOST_TEST((submit(knownJob) == WriteOutcome::Recorded));
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    BOOST_TEST((cancel(newJob) == WriteOutcome::Recorded));
    BOOST_TEST((cancel(knownJob) == WriteOutcome::Recorded));
    endSilence();
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Cancelled));
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Cancelled));
    BOOST_TEST(stopsOf(knownJob) >= 1U);
    BOOST_TEST(startsOf(newJob) == 0U);
}

// Two terms in a row without the records, then one that has them all; held jobs last through all of them.
BOOST_FIXTURE_TEST_CASE(held_jobs_outlive_further_terms, SilentJournalFixture)
{
    silenceJournal();
    restart();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    BOOST_TEST((submit(knownJob) == WriteOutcome::Recorded));
    restart();
    BOOST_TEST(m_node->m_scheduler->m_isProgressUnread);
    BOOST_TEST((query(newJob).m_status == QueryStatus::Known));
    BOOST_TEST(startsOf(newJob) == 0U);
    m_silentPartitions.clear();
    restart();
    BOOST_TEST(!m_node->m_scheduler->m_isProgressUnread);
    BOOST_TEST(isOpen(knownJob));
    finish(knownJob);
    step(100);
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Active));
    BOOST_TEST(m_startedJobs.size() == 3U);
}

// Once the records have been read and written again, the partition that was silent is not needed any more.
BOOST_FIXTURE_TEST_CASE(records_are_folded_into_one_partition, SilentJournalFixture)
{
    silenceJournal();
    restart();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    BOOST_TEST(m_node->m_journals.size() == 2U);
    endSilence();
    BOOST_TEST(m_node->m_journals.size() == 1U);
    m_silentPartitions.insert(firstJournal);
    restart();
    BOOST_TEST(!m_node->m_scheduler->m_isProgressUnread);
    BOOST_TEST(isOpen(knownJob));
    BOOST_TEST(isOpen(directJob));
    BOOST_TEST((query(newJob).m_status == QueryStatus::Known));
    BOOST_TEST(m_startedJobs.size() == 2U);
}

// The answer about the fold came while another partition was prepared, and made that one, which was empty, the leader's (LOST, TWICE).
BOOST_FIXTURE_TEST_CASE(a_fold_is_not_taken_for_a_move, SilentJournalFixture)
{
    silenceJournal();
    restart();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    m_onAppend = [](const StoreAppend& append) { return append.m_partition == claims ? std::optional(StoreAppendAnswer { .m_status = StoreStatus::Unknown }) : std::nullopt; };
    endSilence();
    BOOST_REQUIRE(m_node->m_journals.size() == 2U);
    silenceJournal();
    finish(knownJob);
    step(targetSteps);
    m_onAppend = nullptr;
    step(settleSteps);
    m_silentPartitions.clear();
    step(settleSteps);
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    restart();
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    BOOST_TEST(isOpen(directJob));
    BOOST_TEST((query(newJob).m_status == QueryStatus::Known));
    BOOST_TEST(m_startedJobs.size() == 3U);
}

// The store takes the first append of a second snapshot for a repeat of the first one's and stores nothing (LOST).
BOOST_FIXTURE_TEST_CASE(a_partition_that_a_term_has_given_up_is_not_used_again, SilentJournalFixture)
{
    const StorePartition second { .m_topic = "keyed.progress", .m_partition = 1 };
    m_store.append({ .m_partition = second, .m_records = { { .m_key = "e000000000000000", .m_value = "old" } }, .m_writer = {}, .m_expectedEnd = {} });
    silenceJournal();
    startNode();
    bool isStored = false;
    m_onAppend = [&](const StoreAppend& append) -> std::optional<StoreAppendAnswer> {
        const bool isSnapshot = append.m_partition == second && append.m_records.front().m_key == "e000000000000000";
        if (!isSnapshot)
            return std::nullopt;
        m_store.append(append);
        isStored = true;
        return StoreAppendAnswer { .m_status = StoreStatus::Unknown };
    };
    for (int i = 0; i < partialLoadingSteps && !isStored; ++i)
        step();
    BOOST_REQUIRE(isStored);
    m_silentPartitions.clear();
    stepUntilLeading();
    m_onAppend = nullptr;
    step(settleSteps);
    BOOST_REQUIRE(m_node->m_writerJournal == firstJournal.m_partition);
    silenceJournal();
    finish(knownJob);
    step(moveSteps);
    BOOST_TEST(m_node->m_writerJournal != firstJournal.m_partition);
    restart();
    BOOST_TEST(isAtStage(knownJob, scheduler::JobStage::Complete));
    BOOST_TEST(isOpen(directJob));
    BOOST_TEST(m_startedJobs.size() == 2U);
}

// A later term without the records wrote less about a job over what an earlier one had noted, and its cancellation was forgotten (UNASKED).
BOOST_FIXTURE_TEST_CASE(a_cancellation_outlives_a_later_term_without_the_records, SilentJournalFixture)
{
    silenceJournal();
    restart();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    BOOST_TEST((cancel(newJob) == WriteOutcome::Recorded));
    restart();
    BOOST_TEST((submit(newJob) == WriteOutcome::Recorded));
    m_silentPartitions.clear();
    restart();
    step(settleSteps);
    BOOST_TEST(isAtStage(newJob, scheduler::JobStage::Cancelled));
    BOOST_TEST(startsOf(newJob) == 0U);
}

// An earlier leader that still writes to the silent partition counts on leases that nobody else renews (TWICE).
BOOST_FIXTURE_TEST_CASE(a_leader_without_the_records_renews_no_lease, SilentJournalFixture)
{
    silenceJournal();
    restart();
    BOOST_TEST(m_node->m_scheduler->m_leasesRenewedAt.m_ms == 0);
    BOOST_TEST(m_node->m_scheduler->m_counters.m_syncs == 0U);
    endSilence();
    BOOST_TEST(m_node->m_scheduler->m_counters.m_syncs > 0U);
}
