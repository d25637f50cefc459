/** @file admission_test.cpp Tests of admission control: submissions are accepted, wait or are refused. */
#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>

#include "process/cell/admission.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;

BOOST_AUTO_TEST_CASE(submissions_are_accepted_at_once_while_the_store_is_idle)
{
    BOOST_CHECK(decideAdmission({ .m_oldestAppendSentAt = std::nullopt, .m_lastContactAt = {}, .m_isReadyForAppend = true }, { 50'000 }) == Admission::Accept);
}

// Load: the store needs 0.6 s for each append. Submissions wait and none is refused.
BOOST_AUTO_TEST_CASE(submissions_wait_while_the_store_is_slow)
{
    const StoreHealth health { .m_oldestAppendSentAt = TimePoint { 10'000 }, .m_lastContactAt = { 10'300 }, .m_isReadyForAppend = false };
    BOOST_CHECK(decideAdmission(health, { 10'600 }) == Admission::Wait);
    BOOST_CHECK(decideAdmission(health, { 11'200 }) == Admission::Wait);
}

// Load: the store is silent for 4 s while 40 jobs a second arrive. Without refusals 109 calls got a 504, which clients can't retry.
BOOST_AUTO_TEST_CASE(submissions_are_refused_once_the_store_is_silent)
{
    const StoreHealth health { .m_oldestAppendSentAt = TimePoint { 10'000 }, .m_lastContactAt = { 9'990 }, .m_isReadyForAppend = false };
    BOOST_CHECK(decideAdmission(health, { 10'900 }) == Admission::Wait);
    BOOST_CHECK(decideAdmission(health, { 11'100 }) == Admission::Refuse);
}

BOOST_AUTO_TEST_CASE(recent_answer_of_the_store_rules_out_an_outage)
{
    BOOST_TEST(hasRecentAnswer({ 9'500 }, { 10'000 }));
    BOOST_TEST(!hasRecentAnswer({ 9'000 }, { 10'000 }));
}
