/** @file late_report_test.cpp Reports on orders that come after the leader has stopped waiting for them. */
#define BOOST_TEST_MODULE late_report
#include <boost/test/unit_test.hpp>

#include "fakes/relay_fixture.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
using bulrushloft::test::RelayFixture;
using bulrushloft::test::relayStep;
using bulrushloft::test::workerCount;

namespace {

constexpr const char* job = "0000000000000010";
constexpr Duration lateReportDelay { 3'000 }; ///< Longer than a leader waits for the report on a sync.

} // namespace

// Reports were discarded when they came after the timeout: the leader took healthy workers for gone and ran finished tasks again (TWICE 839).
BOOST_AUTO_TEST_CASE(a_task_whose_end_is_reported_late_is_not_started_again)
{
    RelayFixture fixture;
    fixture.m_doTasksEnd = true;
    fixture.m_reportDelay = lateReportDelay;
    fixture.submit(job);
    fixture.run({ 9'000 }); // Longer than the lease of a worker that does not answer.
    fixture.m_reportDelay = {};
    fixture.run({ 6'000 });
    BOOST_TEST(fixture.m_attempts[job].size() == 1U);
    BOOST_TEST((fixture.m_node->m_scheduler->m_jobs.at(job)->m_stage == scheduler::JobStage::Complete));
}

// The same reports, for workers without tasks: they would get none for as long as the reports are late.
BOOST_AUTO_TEST_CASE(workers_whose_reports_are_late_do_not_count_as_silent)
{
    RelayFixture fixture;
    fixture.m_reportDelay = lateReportDelay;
    fixture.run({ 20'000 });
    BOOST_TEST(fixture.countWorkers(scheduler::WorkerState::Adopted) == static_cast<std::size_t>(workerCount));
}
