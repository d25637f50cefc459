/** @file expired_job_test.cpp Jobs whose state is no longer kept: none may run again, whatever of their records is deleted when the leader changes. */
#define BOOST_TEST_MODULE expired_job
#include <boost/test/unit_test.hpp>

#include "fakes/one_vm_cell.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
using namespace bulrushloft::test;

namespace {

constexpr const char* progressTopic = "keyed.progress";
constexpr Duration shortRetention { 3'000 };
constexpr int retentionSteps = 400; ///< Of 10 ms; after so many, ended jobs are past their retention.
constexpr int outageSteps = 450; ///< Of 10 ms.
constexpr int repetitionSteps = 1'000; ///< Of 10 ms; after so many, an append that was refused has been repeated.

/** A job that a VM has stored and one that the leader has recorded, which end and are kept for a short time. */
struct ExpiredJobFixture : OneVmCell {
    std::vector<std::pair<TimePoint, std::size_t>> m_deletions; ///< Time and number of records of each append that deletes records of jobs.

    ExpiredJobFixture()
    {
        m_retention = shortRetention;
        startNode();
        stepUntilLeading();
        BOOST_REQUIRE((submit(knownJob) == WriteOutcome::Recorded));
        append(jobsTopic, directJob, encodeJob(directJob));
        step(100);
        BOOST_REQUIRE(m_startedJobs.size() == 2U);
        answerDeletions([](const StoreAppend&) { return std::nullopt; });
    }

    /** Sets how appends are answered that delete records of jobs. */
    void answerDeletions(const std::function<std::optional<StoreAppendAnswer>(const StoreAppend&)>& answer)
    {
        m_onAppend = [this, answer](const StoreAppend& append) -> std::optional<StoreAppendAnswer> {
            if (append.m_partition.m_topic != jobsTopic || !append.m_records.front().m_value.empty())
                return std::nullopt;
            m_deletions.emplace_back(m_now, append.m_records.size());
            return answer(append);
        };
    }

    void refuseDeletions()
    {
        answerDeletions([](const StoreAppend&) { return StoreAppendAnswer { .m_status = StoreStatus::NotDone }; });
    }

    void carryOutDeletions()
    {
        answerDeletions([](const StoreAppend&) { return std::nullopt; });
    }

    void finishJobs()
    {
        finish(knownJob);
        finish(directJob);
        step(50);
        BOOST_REQUIRE(isAtStage(knownJob, scheduler::JobStage::Complete));
        BOOST_REQUIRE(isAtStage(directJob, scheduler::JobStage::Complete));
    }

    /** Begins another term and leaves it time to start what it takes for new. */
    void changeLeader()
    {
        startNode();
        stepUntilLeading();
        step(200);
    }

    /** @return Whether the topic holds a record of the job under one of the keys in use. */
    bool holds(const std::string& topic, const std::string& job)
    {
        const StoreNewestAnswer newest = m_store.newest({ .m_partition = { .m_topic = topic } });
        return std::any_of(newest.m_records.begin(), newest.m_records.end(), [&](const KeyedRecord& record) { return record.m_key.ends_with(job); });
    }

    void checkIsForgotten(const std::string& job)
    {
        BOOST_TEST(startsOf(job) == 1U);
        BOOST_TEST(!holds(jobsTopic, job));
        BOOST_TEST(!holds(progressTopic, job));
        BOOST_TEST((query(job).m_status == QueryStatus::NoSuchJob));
    }
};

} // namespace

// The append was refused once and never repeated; its job ran again in the next term (TWICE).
BOOST_FIXTURE_TEST_CASE(a_refused_deletion_is_repeated, ExpiredJobFixture)
{
    finishJobs();
    refuseDeletions();
    step(retentionSteps + outageSteps);
    BOOST_TEST(m_deletions.size() >= 2U);
    carryOutDeletions();
    step(repetitionSteps);
    changeLeader();
    checkIsForgotten(directJob);
    checkIsForgotten(knownJob);
}

// The progress was deleted with the next batch of records, whether the submission was deleted or not.
BOOST_FIXTURE_TEST_CASE(a_later_leader_knows_a_job_whose_deletion_was_refused, ExpiredJobFixture)
{
    finishJobs();
    refuseDeletions();
    step(retentionSteps + 100);
    BOOST_TEST(!m_deletions.empty());
    changeLeader();
    BOOST_TEST(startsOf(directJob) == 1U);
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Complete));
    carryOutDeletions();
    step(retentionSteps + repetitionSteps);
    changeLeader();
    checkIsForgotten(directJob);
}

BOOST_FIXTURE_TEST_CASE(a_deletion_whose_answer_is_lost_is_repeated, ExpiredJobFixture)
{
    finishJobs();
    answerDeletions([this](const StoreAppend& append) {
        if (m_deletions.size() > 1)
            m_store.append(append);
        return StoreAppendAnswer { .m_status = StoreStatus::Unknown };
    });
    step(retentionSteps + outageSteps);
    changeLeader();
    BOOST_TEST(startsOf(directJob) == 1U);
    carryOutDeletions();
    step(retentionSteps + repetitionSteps);
    changeLeader();
    checkIsForgotten(directJob);
}

// The leader ends between the deletion of the submission and that of the progress, which no later term can match to a job.
BOOST_FIXTURE_TEST_CASE(progress_that_has_outlived_its_submission_is_dropped, ExpiredJobFixture)
{
    finishJobs();
    answerDeletions([this](const StoreAppend& append) {
        m_store.append(append);
        return StoreAppendAnswer { .m_status = StoreStatus::Unknown };
    });
    step(retentionSteps + 100);
    BOOST_TEST(!m_deletions.empty());
    BOOST_TEST(holds(progressTopic, directJob));
    changeLeader();
    checkIsForgotten(directJob);
}

// Its plan is in the topic of progress; a VM has stored it too, as the leader's answer came late.
BOOST_FIXTURE_TEST_CASE(a_job_that_the_leader_recorded_and_a_vm_stored_is_deleted_from_both, ExpiredJobFixture)
{
    append(jobsTopic, knownJob, encodeJob(knownJob));
    step(50);
    finishJobs();
    step(retentionSteps + repetitionSteps);
    changeLeader();
    checkIsForgotten(knownJob);
    checkIsForgotten(directJob);
}

// The same, and the copy is not read before the job is past its retention.
BOOST_FIXTURE_TEST_CASE(a_copy_that_the_leader_reads_late_is_deleted_too, ExpiredJobFixture)
{
    finishJobs();
    m_areJobsSilent = true;
    m_areJobsWritable = true;
    append(jobsTopic, knownJob, encodeJob(knownJob));
    step(retentionSteps);
    m_areJobsSilent = false;
    step(repetitionSteps);
    changeLeader();
    checkIsForgotten(knownJob);
    checkIsForgotten(directJob);
}

// A copy of the submission that is stored between the deletion and the deletion of the progress.
BOOST_FIXTURE_TEST_CASE(a_copy_that_is_stored_after_the_deletion_is_deleted_too, ExpiredJobFixture)
{
    finishJobs();
    answerDeletions([this](const StoreAppend& deletion) -> std::optional<StoreAppendAnswer> {
        const StoreAppendAnswer answer = m_store.append(deletion);
        if (m_deletions.size() == 1)
            append(jobsTopic, directJob, encodeJob(directJob));
        return answer;
    });
    step(retentionSteps + repetitionSteps);
    changeLeader();
    checkIsForgotten(directJob);
}

// A cancellation is deleted together with the submission: on its own, either would decide about the job in the next term.
BOOST_FIXTURE_TEST_CASE(cancellations_are_deleted_with_their_jobs, ExpiredJobFixture)
{
    append(jobsTopic, std::string("!") + directJob, "cancelled");
    append(jobsTopic, std::string("!") + knownJob, "cancelled");
    step(100);
    BOOST_REQUIRE(isAtStage(directJob, scheduler::JobStage::Cancelled));
    BOOST_REQUIRE(isAtStage(knownJob, scheduler::JobStage::Cancelled));
    refuseDeletions();
    step(retentionSteps + outageSteps);
    changeLeader();
    BOOST_TEST(isAtStage(directJob, scheduler::JobStage::Cancelled));
    carryOutDeletions();
    step(retentionSteps + repetitionSteps);
    changeLeader();
    checkIsForgotten(directJob);
    checkIsForgotten(knownJob);
}

// A submission must not be deleted while its job's end is not stored: the next term would know neither.
BOOST_FIXTURE_TEST_CASE(a_job_whose_end_is_not_stored_does_not_expire, ExpiredJobFixture)
{
    m_onAppend = [](const StoreAppend& append) -> std::optional<StoreAppendAnswer> {
        if (append.m_partition.m_topic == progressTopic && !append.m_records.empty() && append.m_records.front().m_key == directJob)
            return StoreAppendAnswer { .m_status = StoreStatus::Unknown };
        return std::nullopt;
    };
    finish(directJob);
    step(retentionSteps);
    BOOST_TEST(holds(jobsTopic, directJob));
}

// Deletions are not urgent, and the partition is that of submissions.
BOOST_FIXTURE_TEST_CASE(deletions_are_few_while_they_are_refused, ExpiredJobFixture)
{
    constexpr Duration minInterval { 1'000 };
    constexpr std::size_t maxAppends = 8;
    constexpr int steps = 3'000; // Of 10 ms: 30 s.
    finishJobs();
    refuseDeletions();
    step(retentionSteps + steps);
    BOOST_TEST(m_deletions.size() >= 2U);
    BOOST_TEST(m_deletions.size() <= maxAppends);
    for (std::size_t i = 1; i < m_deletions.size(); ++i)
        BOOST_TEST((m_deletions[i].first - m_deletions[i - 1].first >= minInterval));
}

// After an outage many jobs are past their retention at once.
BOOST_FIXTURE_TEST_CASE(a_deletion_holds_a_bounded_number_of_jobs, ExpiredJobFixture)
{
    constexpr std::size_t maxRecords = 2'000;
    constexpr int jobs = 1'200;
    finishJobs();
    refuseDeletions();
    for (int i = 0; i < jobs; ++i) {
        const std::string id = "d" + std::to_string(100'000'000'000'000 + i);
        append(jobsTopic, id, encodeJob(id));
        append(jobsTopic, "!" + id, "cancelled");
    }
    step(retentionSteps + jobs + repetitionSteps);
    carryOutDeletions();
    step(repetitionSteps + repetitionSteps);
    BOOST_TEST(m_node->m_scheduler->m_jobs.empty());
    for (const auto& [sentAt, records] : m_deletions)
        BOOST_TEST(records <= maxRecords);
}

// The leader's records wait for the store; the deletion of the forgotten job's records would follow those of the new one (LOST).
BOOST_FIXTURE_TEST_CASE(a_forgotten_job_that_is_submitted_again_before_its_records_are_dropped_is_kept, ExpiredJobFixture)
{
    scheduler::Scheduler& scheduler = *m_node->m_scheduler;
    finishJobs();
    for (int i = 0; i < retentionSteps && scheduler.m_jobs.contains(knownJob); ++i) {
        m_now = m_now + Duration { 10 };
        scheduler::SchedulerEffects effects;
        scheduler::step(scheduler, m_now, effects);
    }
    BOOST_REQUIRE(!scheduler.m_jobs.contains(knownJob));
    scheduler::acceptAndRecord(scheduler, *decodePlan(encodeJob(knownJob)), encodeJob(knownJob), m_now);
    std::map<std::string, std::string> newest;
    for (const KeyedRecord& record : scheduler::takeRecords(scheduler))
        newest[record.m_key] = record.m_value;
    BOOST_TEST(!newest[knownJob].empty());
    BOOST_TEST(!newest[scheduler::planKey(knownJob)].empty());
}
