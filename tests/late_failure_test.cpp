/** @file late_failure_test.cpp Failures that are reported after their attempt counted as lost. */
#define BOOST_TEST_MODULE late_failure
#include <boost/test/unit_test.hpp>

#include "fakes/answer_fixture.h"

using namespace bulrushloft;
using namespace bulrushloft::scheduler;
using namespace bulrushloft::test;

// An end as failed that comes after the attempt counted as lost is acknowledged, and not counted.
BOOST_AUTO_TEST_CASE(a_late_end_as_failed_counts_as_a_failure)
{
    AnswerFixture fixture;
    fixture.adopt("w1");
    fixture.submit(firstJob, makeStep());
    fixture.run({ 50 });
    fixture.answerStarts();
    fixture.run({ 50 });
    scheduler::removeWorker(fixture.m_scheduler, "w1", fixture.m_now);
    detail::markTasksLost(fixture.m_scheduler, 0, "its lease has run out", fixture.m_now);
    fixture.worker("w1").m_state = WorkerState::Gone;
    fixture.answerSync("w1", { .m_ended = { makeEnd(1, taskOf(firstJob), 1, AttemptEnd::Failed) } });
    BOOST_TEST(detail::findTask(fixture.m_scheduler, taskOf(firstJob)).task().m_failures == 1);
    fixture.run({ 100 });
    BOOST_TEST(fixture.worker("w1").m_ackedEndNumber == 1U); // It is taken note of.
}
