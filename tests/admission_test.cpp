/** @file admission_test.cpp Whether submissions are taken, wait or are refused. */
#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>

#include "process/cell/admission.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;

BOOST_AUTO_TEST_CASE(submissions_are_accepted_at_once_while_the_store_is_idle)
{
    BOOST_CHECK(decideAdmission({ .m_oldestAppendSentAt = std::nullopt, .m_lastContactAt = {}, .m_isReadyForAppend = true }, { 50'000 }) == Admission::Accept);
}

// Load: a store that needs 0.6 s for each append; jobs wait for their turn and none is refused.
BOOST_AUTO_TEST_CASE(submissions_wait_while_the_store_is_slow)
{
    const StoreHealth health { .m_oldestAppendSentAt = TimePoint { 10'000 }, .m_lastContactAt = { 10'300 }, .m_isReadyForAppend = false };
    BOOST_CHECK(decideAdmission(health, { 10'600 }) == Admission::Wait);
    BOOST_CHECK(decideAdmission(health, { 11'200 }) == Admission::Wait);
}

// Load: the store is silent for 4 s while 40 jobs a second come; 109 calls were told 504, which clients can't repeat.
BOOST_AUTO_TEST_CASE(submissions_are_refused_once_the_store_is_silent)
{
    const StoreHealth health { .m_oldestAppendSentAt = TimePoint { 10'000 }, .m_lastContactAt = { 9'990 }, .m_isReadyForAppend = false };
    BOOST_CHECK(decideAdmission(health, { 10'900 }) == Admission::Wait);
    BOOST_CHECK(decideAdmission(health, { 11'100 }) == Admission::Refuse);
}

BOOST_AUTO_TEST_CASE(recent_answer_is_younger_than_the_limit)
{
    BOOST_TEST(hasRecentAnswer({ 9'500 }, { 10'000 }));
    BOOST_TEST(!hasRecentAnswer({ 9'000 }, { 10'000 }));
}
